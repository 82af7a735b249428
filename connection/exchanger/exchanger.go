// Package exchanger is an HTTP/1.1 client for pass-through requests, which are
// selected by parser.Route and forwarded to upstreams unchanged. It has its own
// connection pool, reports whether any byte of a failed request may have been sent,
// never retries, and detects responses that belong to other requests. The calls of
// plain services have another client, dispatcher.ServiceClient.
package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/rationer"
	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	dialTimeout = 400 * time.Millisecond
	// refusalTimeout limits the wait for a connection that is opened only to learn whether
	// anything listens.
	refusalTimeout = 250 * time.Millisecond
	// tcpUserTimeout is how long sent data may stay unacknowledged.
	tcpUserTimeout = 1500 * time.Millisecond
	// keepAliveIdle is the idle time before the first TCP keep-alive probe.
	// Further probes follow every keepAliveInterval. The kernel drops the
	// connection after keepAliveProbes unacknowledged probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
	// defaultIdleTimeout applies to connections whose upstream sends no
	// Keep-Alive timeout. No connection stays idle longer than maxIdleTimeout.
	defaultIdleTimeout = time.Second
	maxIdleTimeout     = 20 * time.Second
	// sendGracePeriod is the maximum wait for a request to be fully sent after its
	// response was read to the end.
	sendGracePeriod = 5 * time.Millisecond
	// idleMargin is subtracted from the Keep-Alive timeout of an upstream, so
	// that a connection is not reused just as the upstream closes it.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerUpstream limits the idle connections to one upstream.
	maxIdlePerUpstream = 32
	// An exchange fails when it has received maxMismatchedResponses responses to
	// other requests.
	maxMismatchedResponses = 2
	// maxDiscardedBytes limits the body of a response to another request. The
	// exchange fails if such a body is longer or of unknown length.
	maxDiscardedBytes = 1 << 20
	bufferBytes       = 4096
	// maxHeadBytes limits the bytes of a response before its body, including those
	// of interim responses.
	maxHeadBytes = 64 << 10
	// minStatus and maxStatus are the lowest and the highest status (RFC 9110, section 15).
	// minFinalStatus is the lowest one of a final response. Interim responses have a lower
	// one.
	minStatus      = 100
	maxStatus      = 599
	minFinalStatus = 200
)

// ErrMismatchedResponse is the cause of an exchange that failed because the upstream
// sent only responses to other requests.
var ErrMismatchedResponse = errors.New("the response belongs to another request")

// ErrHeadTooLarge is the cause of an exchange that failed because the upstream sent
// too many bytes before the body of a response.
var ErrHeadTooLarge = errors.New("the response head exceeds the size limit")

// ErrUnsentRequest is the error of a response that ended with its connection while its
// request was being sent, or after that had failed. The kernel reports a reset only once,
// so that the reader of a response sees a plain end if the sender has met the reset.
var ErrUnsentRequest = errors.New("the connection ended before the request was sent")

// ErrInvalidStatus is the cause of an exchange that failed because the status of the
// response is none.
var ErrInvalidStatus = errors.New("the status of the response is out of range")

// Request is a request as it is sent on the wire.
type Request struct {
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	// Header must not be nil. Exchange sets an empty User-Agent if it has none.
	Header http.Header
	Body   []byte
}

// SendError is the error of a failed exchange.
type SendError struct {
	// MaybeSent is true if any byte of the request may have been sent.
	MaybeSent bool
	// Incomplete is true if a part of a response arrived.
	Incomplete bool
	Err        error
}

// Error returns the text of the underlying error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error { return e.Err }

// MaybeSent reports whether a request that failed with err may have reached the
// upstream. It is true for every error that is not a *SendError.
func MaybeSent(err error) bool {
	var sendErr *SendError
	return err != nil && (!errors.As(err, &sendErr) || sendErr.MaybeSent)
}

// IsIncomplete reports whether a part of the response arrived before an exchange
// failed with err.
func IsIncomplete(err error) bool {
	var sendErr *SendError
	return errors.As(err, &sendErr) && sendErr.Incomplete
}

// Exchanger sends requests to upstreams and keeps a pool of idle connections to
// them. It is safe for concurrent use.
type Exchanger struct {
	// IsMatchingResponse reports whether a response belongs to a request, given
	// the headers of both. By default, every response matches.
	IsMatchingResponse func(response, request http.Header) bool
	// EchoedID returns the id in a header that upstreams copy from a request to its
	// response, or "". A connection never carries two requests with the same id, as an
	// upstream may send an earlier response again, which no id tells apart then. A
	// request without an id gets a connection of its own. If EchoedID is nil, every
	// request may use every connection.
	EchoedID func(header http.Header) string
	// Memory bounds the bytes of all heads that are being read.
	Memory *rationer.Rationer
	// MaxIdle limits the idle connections to all upstreams; zero sets no limit. Requests
	// without an id need a new connection each, and leave it idle.
	MaxIdle int

	clock clockwork.Clock

	mu sync.Mutex
	// idle holds the idle connections to each address, least recently used first.
	idle      map[identifier.Address][]*conn
	idleCount int
	closed    bool
}

// New returns an exchanger and a clean-up function that closes its idle
// connections.
func New(clock clockwork.Clock) (x *Exchanger, cleanup func()) {
	x = &Exchanger{
		IsMatchingResponse: func(http.Header, http.Header) bool { return true },
		clock:              clock,
		idle:               make(map[identifier.Address][]*conn),
	}
	return x, x.close
}

func (x *Exchanger) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.closed = true
	for _, conns := range x.idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	clear(x.idle)
}

// Response is an upstream's response. The caller must close its body.
type Response struct {
	*http.Response
	// Reused is true if the connection carried earlier requests.
	Reused bool
}

// Exchange sends a request once and returns as soon as the response header is
// read. The context covers the whole exchange, including the response body: when
// it ends, the connection is closed. Errors are of type *SendError.
func (x *Exchanger) Exchange(ctx context.Context, address identifier.Address, request Request) (*Response, error) {
	id := x.echoedID(request.Header)
	c, err := x.connect(ctx, address, id)
	if err != nil {
		return nil, &SendError{Err: fmt.Errorf("connect to %s: %w", address, err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp, err := x.roundTrip(c, request) //nolint:bodyclose // responseBody closes it
	if err != nil {
		stop()
		_ = c.Close()
		<-c.sendDone
		defer c.limit.release()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &SendError{MaybeSent: c.bytesWritten.Load() > 0, Incomplete: c.limit.hasRead(), Err: fmt.Errorf("call %s: %w", address, err)}
	}
	c.recordID(id)
	response := &Response{Response: resp, Reused: c.requestCount > 1}
	resp.Body = &responseBody{
		ReadCloser: resp.Body, exchanger: x, conn: c, stop: stop, ctx: ctx, idleTimeout: idleTimeout(resp),
		isUnframed: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
	}
	return response, nil
}

func (x *Exchanger) roundTrip(c *conn, request Request) (*http.Response, error) {
	_, hasUserAgent := request.Header["User-Agent"]
	if !hasUserAgent {
		// An empty value prevents net/http from adding its default.
		request.Header["User-Agent"] = []string{""}
	}
	httpReq := &http.Request{
		Method:        request.Method,
		URL:           &url.URL{Opaque: request.Target},
		Host:          request.Host,
		Header:        request.Header,
		ContentLength: int64(len(request.Body)),
		Body:          http.NoBody,
	}
	if len(request.Body) > 0 {
		httpReq.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	c.bytesWritten.Store(0)
	c.requestCount++
	c.sendDone = make(chan struct{})
	go c.send(httpReq, c.sendDone)
	mismatched := 0
	c.limit.ration = x.Memory.Begin()
	c.limit.start()
	for {
		resp, err := http.ReadResponse(c.reader, httpReq)
		if c.limit.exceeded {
			return nil, ErrHeadTooLarge
		}
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
			return nil, fmt.Errorf("%w: %d", ErrInvalidStatus, resp.StatusCode)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the upstream switched protocols")
		}
		if resp.StatusCode < minFinalStatus {
			continue
		}
		c.limit.stop()
		if x.belongs(resp, request, c) {
			return resp, nil
		}
		mismatched++
		c.notReusable = true
		if mismatched >= maxMismatchedResponses || resp.ContentLength < 0 || resp.ContentLength > maxDiscardedBytes {
			return nil, ErrMismatchedResponse
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err != nil {
			return nil, ErrMismatchedResponse
		}
		c.limit.start()
		// The lines of a head whose beginning is in the buffer cannot be counted.
		c.limit.isPastHead = c.reader.Buffered() > 0
	}
}

// belongs reports whether a response belongs to the request that a connection carries now.
// On a connection with earlier requests, a response without an id does not, as it may be
// bytes that follow an earlier response. A connection whose upstream sent a response
// without an id is not reused, so that this is true of any upstream.
func (x *Exchanger) belongs(resp *http.Response, request Request, c *conn) bool {
	if !x.IsMatchingResponse(resp.Header, request.Header) {
		return false
	}
	isUnmarked := x.EchoedID != nil && x.EchoedID(resp.Header) == "" && x.EchoedID(request.Header) != ""
	if isUnmarked && c.requestCount > 1 {
		return false
	}
	c.notReusable = c.notReusable || isUnmarked
	return true
}

// idleTimeout returns how long a connection may stay idle after a response, or zero
// if it must not be reused.
func idleTimeout(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	announced, ok := parseKeepAliveTimeout(resp.Header.Get("Keep-Alive"))
	if !ok {
		return defaultIdleTimeout
	}
	return min(max(0, announced-idleMargin), maxIdleTimeout)
}

// connect returns a healthy idle connection, or dials a new one.
func (x *Exchanger) connect(ctx context.Context, address identifier.Address, id string) (*conn, error) {
	if id == "" && x.EchoedID != nil {
		return dial(ctx, address)
	}
	for {
		c := x.takeIdle(address, id)
		if c == nil {
			return dial(ctx, address)
		}
		if c.isHealthy() {
			return c, nil
		}
		_ = c.Close()
	}
}

// takeIdle removes from the pool the most recently used idle connection to an address
// that has not carried a request with the id. It closes expired ones on the way and
// returns nil if there is none.
func (x *Exchanger) takeIdle(address identifier.Address, id string) *conn {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock.Now()
	conns := x.idle[address]
	for i := len(conns) - 1; i >= 0; i-- {
		c := conns[i]
		isExpired := !now.Before(c.idleUntil)
		if !isExpired && c.hasCarried(id) {
			continue
		}
		conns = slices.Delete(conns, i, i+1)
		x.idleCount--
		x.idle[address] = conns
		if !isExpired {
			return c
		}
		_ = c.Close()
	}
	if len(conns) == 0 {
		delete(x.idle, address)
	}
	return nil
}

func (x *Exchanger) echoedID(header http.Header) string {
	if x.EchoedID == nil {
		return ""
	}
	return x.EchoedID(header)
}

// awaitSendDone waits up to sendGracePeriod until the sending goroutine ends. A
// response can be read to its end before that goroutine has closed sendDone.
func (x *Exchanger) awaitSendDone(c *conn) {
	select {
	case <-c.sendDone:
		return
	default:
	}
	select {
	case <-c.sendDone:
	case <-x.clock.After(sendGracePeriod):
	}
}

// putIdle puts a connection into the pool, or closes it if it cannot be reused. The
// current response must have been read to the end.
func (x *Exchanger) putIdle(c *conn, timeout time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	reusable := timeout > 0 && !c.notReusable && c.isFullySent() && c.reader.Buffered() == 0
	isFull := len(x.idle[c.address]) >= maxIdlePerUpstream || x.MaxIdle > 0 && x.idleCount >= x.MaxIdle
	if x.closed || !reusable || isFull {
		_ = c.Close()
		return
	}
	c.idleUntil = x.clock.Now().Add(timeout)
	x.idle[c.address] = append(x.idle[c.address], c)
	x.idleCount++
}

// CloseIdle closes the idle connections to an address.
func (x *Exchanger) CloseIdle(address identifier.Address) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.idle[address] {
		_ = c.Close()
	}
	x.idleCount -= len(x.idle[address])
	delete(x.idle, address)
}

// PruneIdle closes the connections whose idle timeout has expired, and those that the
// upstream has closed or sent anything on.
func (x *Exchanger) PruneIdle() {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock.Now()
	for address, conns := range x.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.idleUntil) && c.isHealthy() {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		x.idleCount -= len(conns) - len(kept)
		x.idle[address] = kept
		if len(kept) == 0 {
			delete(x.idle, address)
		}
	}
}

// newReader returns a buffered reader for a connection.
func newReader(r io.Reader) *bufio.Reader {
	return bufio.NewReaderSize(r, bufferBytes)
}
