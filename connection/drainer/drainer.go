// Package drainer shuts down the server that callers connect to without dropping a
// request that was read: it owns the server's connections, knows which of them wait for
// a request, and says which requests may still be accepted.
package drainer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// endMargin is the time before the end of the shutdown by which a request must end,
	// so that its response reaches the caller.
	endMargin = 200 * time.Millisecond
	// pollInterval is how often Drain checks whether connections are left.
	pollInterval = 20 * time.Millisecond
)

// ErrEnding is the cause of a request's context that ends because the shutdown does.
var ErrEnding = errors.New("the daemon's shutdown ends")

// Shutdown describes a graceful shutdown in progress.
type Shutdown struct {
	Began time.Time
	// KnownBy is the time from which only requests are accepted that end in time.
	KnownBy time.Time
	// Deadline is when the connections that are left are closed.
	Deadline time.Time
}

// RequestDeadline is the time by which requests must end.
func (s Shutdown) RequestDeadline() time.Time {
	return s.Deadline.Add(-endMargin)
}

// Accepts reports whether a request with the given deadline may be accepted now. Once
// callers know of the shutdown, only requests are accepted that end before it does,
// as others may be cut.
func (s Shutdown) Accepts(now, requestDeadline time.Time) bool {
	return now.Before(s.KnownBy) || !requestDeadline.After(s.RequestDeadline())
}

// Drainer shuts down one HTTP server. It is safe for concurrent use.
type Drainer struct {
	clock    clockwork.Clock
	shutdown atomic.Pointer[Shutdown]
	// ending ends when the requests must.
	ending    context.Context
	endSignal context.CancelFunc
	listener  atomic.Pointer[listener]
	// firstRequestGrace is the time that a new connection has for its first request once
	// the listener closes. Callers open connections only to send one.
	firstRequestGrace time.Duration

	mu    sync.Mutex
	conns map[*conn]struct{}
	// closesWaiting is set if connections that wait for a further request are closed, and
	// closesNew if those that wait for their first one are, too.
	closesWaiting bool
	closesNew     bool
}

// New returns a drainer for a server that is not shutting down.
func New(clock clockwork.Clock) *Drainer {
	d := &Drainer{clock: clock, firstRequestGrace: defaultFirstRequestGrace, conns: make(map[*conn]struct{})}
	d.ending, d.endSignal = context.WithCancel(context.Background())
	return d
}

// Begin starts the shutdown. Callers know of it after the time announcement, and
// requests that still run after timeout are cut.
func (d *Drainer) Begin(announcement, timeout time.Duration) Shutdown {
	now := d.clock.Now()
	shutdown := Shutdown{Began: now, KnownBy: now.Add(announcement), Deadline: now.Add(timeout)}
	d.shutdown.Store(&shutdown)
	return shutdown
}

// Shutdown returns the shutdown in progress, and false if there is none.
func (d *Drainer) Shutdown() (Shutdown, bool) {
	shutdown := d.shutdown.Load()
	if shutdown == nil {
		return Shutdown{}, false
	}
	return *shutdown, true
}

// WithEnd returns a context for serving a request. It ends with the cause ErrEnding
// while there is time to respond before the shutdown ends. The caller must call cancel.
func (d *Drainer) WithEnd(ctx context.Context) (servingCtx context.Context, cancel func()) {
	servingCtx, cancelCause := context.WithCancelCause(ctx)
	stop := context.AfterFunc(d.ending, func() { cancelCause(ErrEnding) })
	return servingCtx, func() {
		stop()
		cancelCause(nil)
	}
}

// Attach makes the drainer follow the state of the server's connections, which must
// come from a listener of Listen. During a shutdown, responses announce that their
// connection closes.
func (d *Drainer) Attach(server *http.Server) {
	next := server.Handler
	server.ConnContext = contextWithConn
	server.ConnState = d.trackState
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		countRequest(r.Context())
		_, draining := d.Shutdown()
		if draining {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// CloseIdle closes the connections that carried a request and wait for a further one,
// now and when they become idle.
func (d *Drainer) CloseIdle() {
	d.closeWaiting(func(c *conn) bool { return c.state == http.StateIdle })
}

func (d *Drainer) closeWaiting(matches func(c *conn) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closesWaiting = true
	for c := range d.conns {
		if matches(c) {
			c.expire()
		}
	}
}

// Drain closes the listener and all connections that wait for a request, and returns
// when no connection is left. Unlike http.Server.Shutdown, it serves the requests that
// are read meanwhile. Shortly before the shutdown's deadline it ends the requests that
// still run. It returns the context's error if connections are left when that ends, and
// context.DeadlineExceeded if they are at the deadline. Begin must have been called.
func (d *Drainer) Drain(ctx context.Context) error {
	l := d.listener.Load()
	if l != nil {
		l.stopAccepting()
	}
	d.mu.Lock()
	d.closesNew = true
	d.mu.Unlock()
	d.closeWaiting(func(*conn) bool { return true })
	shutdown, _ := d.Shutdown()
	for d.connCount() > 0 {
		now := d.clock.Now()
		if !now.Before(shutdown.RequestDeadline()) {
			d.endSignal()
		}
		if !now.Before(shutdown.Deadline) {
			return context.DeadlineExceeded
		}
		select {
		case <-d.clock.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (d *Drainer) connCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}
