package exchanger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sassafraspass.dev/sassafraspass/connection/rationer"
	"sassafraspass.dev/sassafraspass/connection/screener"
	"sassafraspass.dev/sassafraspass/identifier"
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	address identifier.Address
	// limit is the source of reader. It bounds the heads of responses.
	limit  *headLimit
	reader *bufio.Reader
	// bytesWritten counts the bytes written for the current request.
	bytesWritten atomic.Int64
	// sendDone is closed when the current request is fully written or writing
	// it failed. sendErr may be read after that.
	sendDone chan struct{}
	sendErr  error
	// requestCount is the number of requests sent so far, and recentIDs holds the ids
	// of the last maxRecentIDs of them.
	requestCount int
	recentIDs    []string
	// notReusable is set if the connection must be closed after the response.
	notReusable bool
	// idleUntil is when an idle connection expires.
	idleUntil time.Time
}

// maxRecentIDs is how many requests a connection can carry before an id is forgotten.
// Attempts with the same id follow each other within the deadline of one request.
const maxRecentIDs = 64

func (c *conn) recordID(id string) {
	if id == "" {
		return
	}
	if len(c.recentIDs) >= maxRecentIDs {
		c.recentIDs = slices.Delete(c.recentIDs, 0, 1)
	}
	c.recentIDs = append(c.recentIDs, id)
}

func (c *conn) hasCarried(id string) bool {
	return id != "" && slices.Contains(c.recentIDs, id)
}

func dial(ctx context.Context, address identifier.Address) (*conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
		Control: func(_, _ string, rawConn syscall.RawConn) error { return SetTCPUserTimeout(rawConn, tcpUserTimeout) },
	}
	netConn, err := dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, err
	}
	limit := &headLimit{source: netConn}
	return &conn{Conn: netConn, address: address, limit: limit, reader: newReader(limit)}, nil
}

// IsRefusing reports whether nothing listens at an address. It is false if that cannot be
// found out within refusalTimeout.
func IsRefusing(ctx context.Context, address identifier.Address) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	c, err := dial(ctx, address)
	if err == nil {
		_ = c.Close()
	}
	return IsRefused(err)
}

// IsRefused reports whether an exchange failed with err because nothing listens at the
// address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// headLimit limits the bytes that are read from a connection while the heads of
// responses are expected. A body has no limit here, as it is passed on in parts.
type headLimit struct {
	source io.Reader
	active bool
	// bytesLeft is how many bytes may still be read while the limit is active.
	bytesLeft int
	// exceeded is set by a read beyond the limit. The parser of a head may report
	// an incomplete line instead of the error of that read.
	exceeded bool
	// ration holds the memory of a head beyond freeHeadBytes and freeHeadLines.
	ration *rationer.Ration
	// scan follows the current head, whose first bytes are in statusLine. lines is the
	// number of lines of the heads before it, and isPastHead is set after the final head.
	scan       screener.HeadScanner
	statusLine []byte
	lines      int
	isPastHead bool
}

const (
	// A head of up to freeHeadBytes and freeHeadLines takes nothing from the memory that
	// all requests share. Each further line takes lineBytes, as its parsed form does.
	freeHeadBytes = 8 << 10
	freeHeadLines = 64
	lineBytes     = 192
	// maxHeadLines limits the lines of a response before its body, including those of
	// interim responses. Responses of ordinary upstreams have less than 100.
	maxHeadLines = 512
	// interimPrefixBytes is the length of the start of a status line that shows whether
	// a response is interim, as "HTTP/1.1 1" does.
	interimPrefixBytes = 10
)

// start allows maxHeadBytes from now on.
func (l *headLimit) start() {
	l.active = true
	l.bytesLeft = maxHeadBytes
	l.scan, l.statusLine, l.lines, l.isPastHead = screener.HeadScanner{}, l.statusLine[:0], 0, false
}

func (l *headLimit) stop() {
	l.active = false
	l.release()
}

func (l *headLimit) release() { l.ration.Release() }

// hasRead reports whether any byte was read since the limit was started.
func (l *headLimit) hasRead() bool { return l.active && l.bytesLeft < maxHeadBytes }

// Read reads from the connection. It fails with ErrHeadTooLarge beyond the limit.
func (l *headLimit) Read(p []byte) (n int, err error) {
	if !l.active {
		return l.source.Read(p)
	}
	if l.bytesLeft <= 0 {
		l.exceeded = true
		return 0, ErrHeadTooLarge
	}
	n, err = l.source.Read(p[:min(len(p), l.bytesLeft)])
	l.bytesLeft -= n
	lines := l.countLines(p[:n])
	held := max(0, maxHeadBytes-l.bytesLeft-freeHeadBytes) + lineBytes*max(0, lines-freeHeadLines)
	if lines > maxHeadLines || !l.ration.Resize(int64(held)) {
		l.exceeded = true
		return 0, ErrHeadTooLarge
	}
	return n, err
}

// countLines returns the number of lines that were read of heads, with those in data.
func (l *headLimit) countLines(data []byte) int {
	for len(data) > 0 && !l.isPastHead {
		missing := max(0, interimPrefixBytes-len(l.statusLine))
		l.statusLine = append(l.statusLine, data[:min(missing, len(data))]...)
		n, isComplete := l.scan.Feed(data)
		data = data[n:]
		if isComplete {
			l.lines += l.scan.Lines()
			l.isPastHead = len(l.statusLine) < interimPrefixBytes || l.statusLine[interimPrefixBytes-1] != '1'
			l.scan, l.statusLine = screener.HeadScanner{}, l.statusLine[:0]
		}
	}
	return l.lines + l.scan.Lines()
}

// SetTCPUserTimeout sets TCP_USER_TIMEOUT, which is how long sent data may stay
// unacknowledged before the kernel drops the connection. Its resolution is a
// millisecond.
func SetTCPUserTimeout(rawConn syscall.RawConn, timeout time.Duration) error {
	var setErr error
	err := rawConn.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// Write writes to the connection and counts the bytes written.
func (c *conn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.bytesWritten.Add(int64(n))
	return n, err
}

// send writes a request and closes done. It runs concurrently with the reading of
// the response, as an upstream may respond before it has read a long body.
func (c *conn) send(req *http.Request, done chan struct{}) {
	defer close(done)
	w := bufio.NewWriterSize(c, bufferBytes)
	c.sendErr = req.Write(w)
	if c.sendErr == nil {
		c.sendErr = w.Flush()
	}
	if c.sendErr != nil && c.bytesWritten.Load() == 0 {
		_ = c.Close()
	}
}

// isFullySent reports whether the current request was written completely.
func (c *conn) isFullySent() bool {
	select {
	case <-c.sendDone:
		return c.sendErr == nil
	default:
		return false
	}
}

// isHealthy reports whether an idle connection is open and has no unread data.
// Data that arrives while no request is in flight would be read as the response to
// the next request.
func (c *conn) isHealthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	healthy := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		healthy = recvErr == unix.EAGAIN
		return true
	})
	return err == nil && healthy
}

// parseKeepAliveTimeout returns the timeout parameter of a Keep-Alive header
// (RFC 2068, section 19.7.1.1).
func parseKeepAliveTimeout(header string) (time.Duration, bool) {
	for _, parameter := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
