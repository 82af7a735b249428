package drainer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// listener hands out connections that its drainer knows.
type listener struct {
	net.Listener
	drainer *Drainer
	// stopped is set by stopAccepting, and closed is closed by Close.
	stopped   atomic.Bool
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen returns a listener for a server that the drainer is attached to.
func (d *Drainer) Listen(l net.Listener) net.Listener {
	wrapped := &listener{Listener: l, drainer: d, closed: make(chan struct{})}
	d.listener.Store(wrapped)
	return wrapped
}

// stopAccepting closes the underlying listener. Accept then blocks until Close, as the
// server would end if it returned an error. The kernel resets connections that were not
// accepted by then, so it lets the server accept them first, for maxBacklogWait.
func (l *listener) stopAccepting() {
	for deadline := time.Now().Add(maxBacklogWait); l.hasBacklog() && time.Now().Before(deadline); {
		time.Sleep(backlogPollInterval)
	}
	l.stopped.Store(true)
	_ = l.Listener.Close()
}

// hasBacklog reports whether a connection waits to be accepted.
func (l *listener) hasBacklog() (hasBacklog bool) {
	syscallConn, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	_ = rawConn.Control(func(fd uintptr) {
		ready, pollErr := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		hasBacklog = pollErr == nil && ready > 0
	})
	return hasBacklog
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		if l.stopped.Load() {
			<-l.closed
		}
		return nil, err
	}
	return l.drainer.addConn(accepted), nil
}

// Close closes the listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	drainer *Drainer
	// requests counts the requests.
	requests atomic.Int64

	// The fields below are protected by drainer.mu.

	state http.ConnState
	// isWaiting is set while no byte of the next request was read.
	isWaiting bool
	// isExpired is set if the read deadline is in the past, or that of the first request,
	// so that the server closes the connection unless a byte arrives first. A Close
	// instead would abort a request that was read and is not served yet.
	isExpired bool
}

const (
	// unreadGrace is the time that an expired connection has to read bytes that had
	// arrived before.
	unreadGrace = 5 * time.Millisecond
	// defaultFirstRequestGrace is the value of Drainer.firstRequestGrace.
	defaultFirstRequestGrace = 250 * time.Millisecond
	// maxBacklogWait limits the time until the connections that wait to be accepted are.
	maxBacklogWait      = 250 * time.Millisecond
	backlogPollInterval = time.Millisecond
)

// trackedConn is a conn, or embeds one.
type trackedConn interface {
	tracked() *conn
}

func (c *conn) tracked() *conn { return c }

// findTracked returns the drainer's connection below a server's connection.
func findTracked(nc any) (trackedConn, bool) {
	for {
		c, ok := nc.(trackedConn)
		if ok {
			return c, true
		}
		wrapper, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		nc = wrapper.NetConn()
	}
}

// Close closes the connection. The server's state changes do not report those that are closed
// before it gets them.
func (c *conn) Close() error {
	c.drainer.mu.Lock()
	delete(c.drainer.conns, c)
	c.drainer.mu.Unlock()
	return c.Conn.Close()
}

// expired is a read deadline in the past.
var expired = time.Unix(1, 0)

func (d *Drainer) addConn(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, drainer: d, isWaiting: true}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[c] = struct{}{}
	if d.closesNew {
		c.expire()
	}
	return c
}

// expire makes the server close the connection if it waits for a request. The drainer's
// lock must be held.
func (c *conn) expire() {
	if !c.isWaiting {
		return
	}
	c.isExpired = true
	deadline := expired
	if c.state == http.StateNew {
		deadline = time.Now().Add(c.drainer.firstRequestGrace)
	}
	_ = c.Conn.SetReadDeadline(deadline)
}

// extendExpiry lets an expired connection read what has arrived. It returns false if the
// connection is not expired.
func (c *conn) extendExpiry() bool {
	c.drainer.mu.Lock()
	defer c.drainer.mu.Unlock()
	if c.isExpired {
		_ = c.Conn.SetReadDeadline(time.Now().Add(unreadGrace))
	}
	return c.isExpired
}

// Read reads from the connection. Once a byte of a request was read, the connection is
// not expired any more.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendExpiry() {
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		return n, err
	}
	c.drainer.mu.Lock()
	defer c.drainer.mu.Unlock()
	c.isWaiting = false
	if c.isExpired {
		c.isExpired = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// SetReadDeadline sets the read deadline, unless the connection is expired: the server
// sets the deadline of an idle connection anew.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.drainer.mu.Lock()
	defer c.drainer.mu.Unlock()
	if c.isExpired {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// CloseWrite closes the sending half of the connection. The server uses it to respond
// before it has read everything.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// trackState is called by the server when the state of a connection changes.
func (d *Drainer) trackState(nc net.Conn, state http.ConnState) {
	wrapped, ok := findTracked(nc)
	if !ok {
		return
	}
	c := wrapped.tracked()
	d.mu.Lock()
	defer d.mu.Unlock()
	c.state = state
	switch state {
	case http.StateIdle:
		c.isWaiting = true
		if d.closesWaiting {
			c.expire()
		}
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, c)
	case http.StateNew, http.StateActive:
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

func contextWithConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

func countRequest(ctx context.Context) {
	c, ok := findTracked(ctx.Value(connKey{}))
	if ok {
		c.tracked().requests.Add(1)
	}
}

// ResetOnClose makes the close of a request's connection a reset. The context is that of the
// request.
func ResetOnClose(ctx context.Context) {
	c, ok := findTracked(ctx.Value(connKey{}))
	if !ok {
		return
	}
	lingerer, ok := c.tracked().Conn.(interface{ SetLinger(seconds int) error })
	if ok {
		_ = lingerer.SetLinger(0)
	}
}

// IsReused reports whether the connection of a request carried earlier requests. The
// context is that of the request.
func IsReused(ctx context.Context) bool {
	c, ok := findTracked(ctx.Value(connKey{}))
	return ok && c.tracked().requests.Load() > 1
}
