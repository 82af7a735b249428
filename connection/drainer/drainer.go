// Package drainer keeps track of a graceful shutdown for the server that callers
// connect to: when it began, when it must be complete, and which connections are
// reused for a further request.
package drainer

import (
	"context"
	"net"
	"net/http"
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
}

// New returns a drainer for a server that is not shutting down.
func New(clock clockwork.Clock) *Drainer {
	return &Drainer{clock: clock}
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

// Attach makes the server count the requests of each connection. During a shutdown
// it also closes each connection after its response.
func (d *Drainer) Attach(server *http.Server) {
	next := server.Handler
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
