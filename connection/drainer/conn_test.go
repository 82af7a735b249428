package drainer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// pause stops the server's goroutine of a connection at one point, so that a test can
// act meanwhile.
type pause struct {
	reached chan struct{}
	resume  chan struct{}
	once    sync.Once
}

func newPause() *pause {
	return &pause{reached: make(chan struct{}), resume: make(chan struct{})}
}

func (p *pause) wait() {
	p.once.Do(func() {
		close(p.reached)
		<-p.resume
	})
}

// pausingListener hands out connections that call hooks before and after the server
// sets a read deadline.
type pausingListener struct {
	net.Listener
	before func(at time.Time)
	after  func(at time.Time)
}

// Accept returns the next connection.
func (l *pausingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausingConn{conn: accepted.(*conn), listener: l}, nil
}

type pausingConn struct {
	*conn
	listener *pausingListener
}

// SetReadDeadline calls the listener's hooks.
func (c *pausingConn) SetReadDeadline(at time.Time) error {
	if c.listener.before != nil {
		c.listener.before(at)
	}
	err := c.conn.SetReadDeadline(at)
	if c.listener.after != nil {
		c.listener.after(at)
	}
	return err
}

// startDraining starts a server that reads a request's body and responds. Its listener
// calls the hooks of l.
func startDraining(t *testing.T, l *pausingListener) *Drainer {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := New(clockwork.NewRealClock())
	l.Listener = d.Listen(inner)
	server := &http.Server{
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, err := io.Copy(io.Discard, r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "served")
		}),
	}
	d.Attach(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return d
}

// dial connects to a server. Reads and writes fail after 5 s.
func dial(t *testing.T, l net.Listener) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c, bufio.NewReader(c)
}

func readServed(is *is.I, in *bufio.Reader) {
	resp, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "served")
}

const (
	secondRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8192\r\n\r\n"
	secondBytes   = 8192
)

// Guards against LOST: a request that was read on an idle connection was dropped, as
// that connection was closed before the request was served.
func TestRequestThatIsReadWhenIdleConnectionsAreClosedIsServed(t *testing.T) {
	tests := []struct {
		name string
		// isPausePoint says at which read deadline of the second request the server
		// pauses, and isAfter whether it does so once the deadline is set.
		isPausePoint func(at time.Time) bool
		isAfter      bool
		head         string
	}{
		{"before the header is parsed", time.Time.IsZero, false, ""},
		{"before the body is read", time.Time.IsZero, true, ""},
		{"between two parts of the header", func(at time.Time) bool { return !at.IsZero() && time.Until(at) < 30*time.Second }, true, "X: " + strings.Repeat("a", 6000) + "\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := newPause()
			armed := make(chan struct{})
			hook := func(at time.Time) {
				select {
				case <-armed:
					if test.isPausePoint(at) {
						p.wait()
					}
				default:
				}
			}
			l := &pausingListener{before: hook}
			if test.isAfter {
				l = &pausingListener{after: hook}
			}
			d := startDraining(t, l)
			c, in := dial(t, l)
			is.Equal(sendRequest(is, c, in), "served")
			close(armed)
			_, err := io.WriteString(c, strings.Replace(secondRequest, "\r\n\r\n", "\r\n"+test.head+"\r\n", 1)+strings.Repeat("b", secondBytes))
			is.NoErr(err)
			<-p.reached
			d.CloseIdle()
			close(p.resume)
			readServed(is, in)
		})
	}
}

// Guards against LOST: net/http drops a request that is read after its Shutdown began.
func TestRequestThatIsReadAfterTheListenerIsClosedIsServed(t *testing.T) {
	is := is.New(t)
	l := &pausingListener{}
	d := startDraining(t, l)
	c, in := dial(t, l)
	_, err := io.WriteString(c, "GET / HT")
	is.NoErr(err)
	awaitRead(t, d)
	d.Begin(0, 5*time.Second)
	drained := make(chan error, 1)
	go func() { drained <- d.Drain(context.Background()) }()
	awaitRefused(t, l)
	_, err = io.WriteString(c, "TP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	readServed(is, in)
	is.NoErr(<-drained)
}

// awaitRead waits until the server has read a byte of each connection's request.
func awaitRead(t *testing.T, d *Drainer) {
	t.Helper()
	await(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		for c := range d.conns {
			if c.isWaiting {
				return false
			}
		}
		return len(d.conns) > 0
	})
}

// awaitRefused waits until the listener refuses connections.
func awaitRefused(t *testing.T, l net.Listener) {
	t.Helper()
	await(t, func() bool {
		c, err := net.Dial("tcp", l.Addr().String())
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
}

func await(t *testing.T, holds func() bool) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(5 * time.Second)
	for !holds() {
		select {
		case <-ticker.C:
		case <-timeout:
			t.Fatal("the condition did not hold within 5 s")
		}
	}
}

// The server sets the deadline of an idle connection after it became idle.
func TestConnectionThatBecomesIdleMeanwhileIsClosed(t *testing.T) {
	is := is.New(t)
	p := newPause()
	l := &pausingListener{before: func(at time.Time) {
		if time.Until(at) > 30*time.Second {
			p.wait()
		}
	}}
	d := startDraining(t, l)
	c, in := dial(t, l)
	is.Equal(sendRequest(is, c, in), "served")
	<-p.reached
	d.CloseIdle()
	close(p.resume)
	_, err := in.ReadByte()
	is.True(errors.Is(err, io.EOF))
}

// halfClosingListener hands out connections that report the closing of their sending half.
type halfClosingListener struct {
	net.Listener
	halfClosed chan struct{}
}

// Accept returns the next connection.
func (l *halfClosingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	return &halfClosingConn{Conn: accepted, halfClosed: l.halfClosed}, err
}

type halfClosingConn struct {
	net.Conn
	halfClosed chan struct{}
}

// CloseWrite reports the call.
func (c *halfClosingConn) CloseWrite() error {
	close(c.halfClosed)
	return nil
}

// Guards against an error response that its caller does not get: a server that closes a
// connection with unread bytes resets it, unless it closes the sending half first.
func TestServerClosesTheSendingHalfAfterATooLargeHeader(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &halfClosingListener{Listener: inner, halfClosed: make(chan struct{})}
	d := New(clockwork.NewRealClock())
	server := &http.Server{MaxHeaderBytes: 1024, ReadHeaderTimeout: time.Second, Handler: http.NotFoundHandler()}
	d.Attach(server)
	go func() { _ = server.Serve(d.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	c, in := dial(t, inner)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 16<<10)+"\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	select {
	case <-l.halfClosed:
	case <-time.After(5 * time.Second):
		t.Fatal("the sending half was not closed")
	}
}

func TestDrainDoesNotWaitForUnusedConnections(t *testing.T) {
	is := is.New(t)
	l := &pausingListener{}
	d := startDraining(t, l)
	_, in := dial(t, l)
	await(t, func() bool { return d.connCount() == 1 })
	d.Begin(0, time.Minute)
	is.NoErr(d.Drain(context.Background()))
	_, err := in.ReadByte()
	is.True(errors.Is(err, io.EOF))
}

// Guards against a reset without an answer: a caller that opens a connection just before the
// listener closes has not sent its request yet.
func TestConnectionOpenedAsTheListenerClosesIsServed(t *testing.T) {
	is := is.New(t)
	l := &pausingListener{}
	d := startDraining(t, l)
	d.firstRequestGrace = 5 * time.Second
	c, in := dial(t, l)
	await(t, func() bool { return d.connCount() == 1 })
	d.Begin(0, 10*time.Second)
	drained := make(chan error, 1)
	go func() { drained <- d.Drain(context.Background()) }()
	awaitRefused(t, l)
	time.Sleep(defaultFirstRequestGrace / 5)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	readServed(is, in)
	is.NoErr(<-drained)
}

// Guards against a reset without an answer: the kernel resets the connections that wait to be
// accepted when their listener closes.
func TestConnectionsThatWaitAreAcceptedBeforeTheListenerCloses(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	d := New(clockwork.NewRealClock())
	l := d.Listen(inner)
	t.Cleanup(func() { _ = l.Close() })
	c, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	d.Begin(0, 5*time.Second)
	go func() { _ = d.Drain(context.Background()) }()
	time.Sleep(maxBacklogWait / 5)
	time.AfterFunc(2*time.Second, func() { _ = l.Close() })
	accepted, err := l.Accept()
	is.NoErr(err)
	is.NoErr(accepted.Close())
}
