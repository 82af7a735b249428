package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/identifier"
)

// HeaderWorkspace names the workspace on whose behalf a call is made.
const HeaderWorkspace = "Sassafraspass-Workspace"

// credentialHeaders carry the caller's credentials, which no upstream may see.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key"}

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ErrCloseDelimited is returned for a response that has neither a Content-Length
// nor a chunked encoding: only the close of the connection ends it, so a truncated
// response cannot be told from a complete one.
var ErrCloseDelimited = errors.New("the response has neither a Content-Length nor a chunked encoding")

// ErrInvalidStatus is returned for a response whose status is none (RFC 9110, section 15).
var ErrInvalidStatus = errors.New("the status of the response is out of range")

// minStatus and maxStatus are the lowest and the highest status of a final response.
const (
	minStatus = 200
	maxStatus = 599
)

// Call is a caller's request to a plain service.
type Call struct {
	Method string
	// Path is the escaped path.
	Path string
	// Query is the raw query without the question mark; it may be empty.
	Query string
	// Header holds the caller's headers, unfiltered.
	Header http.Header
	Body   []byte
	// Workspace is the caller's workspace, empty for an anonymous caller.
	Workspace identifier.WorkspaceName
}

// SendError is the error of a failed call.
type SendError struct {
	// MaybeSent is true if any byte of the call may have been sent.
	MaybeSent bool
	Err       error
}

// Error returns the text of the underlying error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error { return e.Err }

// ServiceClient is a client of plain services, which are selected by
// parser.Service.Paths. Pass-through requests, which are selected by parser.Route,
// have exchanger.Exchanger as their client. ServiceClient is safe for concurrent
// use.
type ServiceClient struct {
	// pooled reuses connections. It carries only idempotent calls.
	pooled *http.Transport
	// unpooled opens a new connection for each call. net/http never resends a
	// request on a connection that was not reused.
	unpooled *http.Transport
}

// NewServiceClient returns a client and a clean-up function that closes its idle
// connections.
func NewServiceClient() (s *ServiceClient, cleanup func()) {
	s = &ServiceClient{pooled: newServiceTransport(false), unpooled: newServiceTransport(true)}
	cleanup = func() {
		s.pooled.CloseIdleConnections()
		s.unpooled.CloseIdleConnections()
	}
	return s, cleanup
}

func newServiceTransport(disableKeepAlives bool) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:      disableKeepAlives,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// SendIdempotent sends a call that net/http may resend. Errors are of type
// *SendError. The caller must close the response body.
func (s *ServiceClient) SendIdempotent(ctx context.Context, address identifier.Address, call Call) (*http.Response, error) {
	return send(ctx, s.pooled, address, call)
}

// SendNonIdempotent sends a call at most once: it uses a new connection and a body
// that cannot be read again, so that net/http never resends the call. Errors are of
// type *SendError. The caller must close the response body.
func (s *ServiceClient) SendNonIdempotent(ctx context.Context, address identifier.Address, call Call) (*http.Response, error) {
	return send(ctx, s.unpooled, address, call)
}

func send(ctx context.Context, transport *http.Transport, address identifier.Address, call Call) (*http.Response, error) {
	var maybeSent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { maybeSent.Store(true) }}
	req, err := newServiceRequest(httptrace.WithClientTrace(ctx, trace), address, call)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, &SendError{MaybeSent: maybeSent.Load(), Err: fmt.Errorf("call %s: %w", address, err)}
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		_ = resp.Body.Close()
		return nil, &SendError{MaybeSent: true, Err: fmt.Errorf("call %s: %w: %d", address, ErrInvalidStatus, resp.StatusCode)}
	}
	delimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.ProtoMajor > 1
	if !delimited {
		_ = resp.Body.Close()
		return nil, &SendError{MaybeSent: true, Err: fmt.Errorf("call %s: %w", address, ErrCloseDelimited)}
	}
	return resp, nil
}

func newServiceRequest(ctx context.Context, address identifier.Address, call Call) (*http.Request, error) {
	target := "http://" + string(address) + call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	body := io.NopCloser(bytes.NewReader(call.Body))
	req, err := http.NewRequestWithContext(ctx, call.Method, target, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(call.Body))
	req.GetBody = nil
	req.Header = UpstreamHeader(call.Header)
	if call.Workspace != "" {
		req.Header.Set(HeaderWorkspace, string(call.Workspace))
	}
	return req, nil
}

// UpstreamHeader returns a copy of a caller's headers without those that an
// upstream must not see: credentials, hop-by-hop headers, Accept-Encoding and a
// workspace that the caller set itself.
func UpstreamHeader(callerHeader http.Header) http.Header {
	header := EndToEndHeader(callerHeader)
	for _, name := range credentialHeaders {
		header.Del(name)
	}
	header.Del(HeaderWorkspace)
	header.Del("Accept-Encoding")
	return header
}

// EndToEndHeader returns a copy of the headers without the hop-by-hop headers, which
// include those that the Connection header lists.
func EndToEndHeader(original http.Header) http.Header {
	header := original.Clone()
	if header == nil {
		header = http.Header{}
	}
	for _, list := range original.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	return header
}

// ReadLimited reads up to limit+1 bytes of a response body. If it read more than
// limit, hasMore is true and the rest of the body is unread.
func ReadLimited(resp *http.Response, limit int64) (prefix []byte, hasMore bool, err error) {
	defer annotator.Annotate(&err, "read response")
	prefix, err = io.ReadAll(io.LimitReader(resp.Body, limit+1))
	return prefix, int64(len(prefix)) > limit, err
}
