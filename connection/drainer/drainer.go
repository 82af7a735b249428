// Package drainer keeps track of a graceful shutdown for the server that callers
// connect to: when it began, when it must be complete, and which connections are
// reused for a further request.
package drainer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// endMargin is the time before the end of the shutdown by which a request must end, so
// that its response reaches the caller.
const endMargin = 100 * time.Millisecond

// Shutdown describes a graceful shutdown in progress.
type Shutdown struct {
	Began time.Time
	// KnownBy is when callers have stopped using addresses that they cached before.
	KnownBy time.Time
	// Deadline is when requests that still run are cut.
	Deadline time.Time
}

// Accepts reports whether a request with the given deadline may be accepted now. Once
// callers know of the shutdown, only requests are accepted that end before it does,
// as others may be cut.
func (s Shutdown) Accepts(now, requestDeadline time.Time) bool {
	return now.Before(s.KnownBy) || !requestDeadline.After(s.Deadline.Add(-endMargin))
}

// Drainer records the beginning of a graceful shutdown and wraps the handler of
// requests. It is safe for concurrent use.
type Drainer struct {
	clock    clockwork.Clock
	shutdown atomic.Pointer[Shutdown]

	mu sync.Mutex
	// idle holds the connections that wait for a further request.
	idle map[net.Conn]struct{}
	// closesIdle is set after CloseIdle.
	closesIdle bool
}

// New returns a drainer for a server that is not shutting down.
func New(clock clockwork.Clock) *Drainer {
	return &Drainer{clock: clock, idle: make(map[net.Conn]struct{})}
}

// Begin starts the shutdown. Callers know of it after the time announcement, and
// requests that still run after timeout are cut.
func (d *Drainer) Begin(announcement, timeout time.Duration) Shutdown {
	now := d.clock.Now()
	shutdown := Shutdown{Began: now, KnownBy: now.Add(announcement), Deadline: now.Add(timeout)}
	d.shutdown.Store(&shutdown)
	return shutdown
}

// CloseIdle makes the server close its idle connections, now and when further ones
// become idle. An expired read deadline closes a connection only if no request has been
// read, while Close would also abort a request that the server is about to serve.
func (d *Drainer) CloseIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closesIdle = true
	for c := range d.idle {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// trackIdle is called by the server when the state of a connection changes.
func (d *Drainer) trackIdle(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state != http.StateIdle {
		delete(d.idle, c)
		return
	}
	if d.closesIdle {
		_ = c.Close()
		return
	}
	d.idle[c] = struct{}{}
}

// Shutdown returns the shutdown in progress, and false if there is none.
func (d *Drainer) Shutdown() (Shutdown, bool) {
	shutdown := d.shutdown.Load()
	if shutdown == nil {
		return Shutdown{}, false
	}
	return *shutdown, true
}

// Attach makes the server count the requests of each connection and, during a shutdown,
// announce in each response that its connection closes.
func (d *Drainer) Attach(server *http.Server) {
	next := server.Handler
	server.ConnState = d.trackIdle
	server.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, requestCountKey{}, &atomic.Int64{})
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		countRequest(r.Context())
		_, draining := d.Shutdown()
		if draining {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// requestCountKey is the context key of a connection's request count.
type requestCountKey struct{}

func countRequest(ctx context.Context) {
	count, ok := ctx.Value(requestCountKey{}).(*atomic.Int64)
	if ok {
		count.Add(1)
	}
}

// IsReused reports whether the connection of a request carried earlier requests. The
// context is that of the request.
func IsReused(ctx context.Context) bool {
	count, ok := ctx.Value(requestCountKey{}).(*atomic.Int64)
	return ok && count.Load() > 1
}
