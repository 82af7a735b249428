// Package screener bounds what clients that respect no limits take of a process: it reads the
// heads of requests before net/http parses them, and owns the connections of all servers of
// a process.
//
// A head is handed to net/http once it is complete. Until then it costs its bytes, where
// net/http's form of it costs up to 17 times as many. Heads of all connections share a
// budget of bytes, and each group of servers has a maximum number of connections. When either is
// spent, the oldest connections are closed that wait for a request, or for the rest of one.
// A connection is never closed while a request that was read completely is served.
package screener

import (
	"container/list"
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/rationer"
	"sassafraspass.dev/sassafraspass/process/meter"
)

const (
	// A parsed head takes about bytesFactor times its bytes and lineBytes for each line
	// while its request is served, in net/http's form and in the copy that is forwarded:
	// 160 bytes a line were measured with lines of 7 bytes.
	bytesFactor = 3
	lineBytes   = 192
	// slowHeadAge is the age from which an unfinished head is closed before idle
	// connections are. The head of an ordinary client is complete within one round trip.
	slowHeadAge = time.Second
	// Connections are evicted once less than 1/roomDivisor of the maximum is free, up to
	// maxEvictions for each new one, so that new ones seldom wait for that.
	roomDivisor  = 8
	maxEvictions = 2
	// roomWait is how long a new connection waits for evicted ones to close.
	roomWait = 50 * time.Millisecond
	// logInterval is the shortest time between two log lines for a reason.
	logInterval = time.Second
)

// Limits bounds the heads of a server's requests and the times of its connections.
type Limits struct {
	// HeadBytes is the maximum size of a head, and HeadLines the maximum number of its
	// lines.
	HeadBytes int
	HeadLines int
	// HeadTimeout is the time from the first byte of a head to its last one.
	HeadTimeout time.Duration
	// IdleTimeout is how long a connection may wait for a request.
	IdleTimeout time.Duration
	// StallTimeout is the longest time without a byte of a body, and BodyTimeout that of
	// a whole body.
	StallTimeout time.Duration
	BodyTimeout  time.Duration
}

// Screener holds the budget that the connections of all servers share. It is safe for
// concurrent use.
type Screener struct {
	clock clockwork.Clock
	log   *slog.Logger
	meter *meter.Meter
	heads *rationer.Rationer

	mu sync.Mutex
	// unfinished holds the connections of all servers with an unfinished head, oldest
	// first.
	unfinished *list.List
	// unfinishedBodies holds those that wait for the rest of a body.
	unfinishedBodies *list.List

	groups   []*Group
	loggedAt map[meter.ClosureReason]time.Time
	unlogged map[meter.ClosureReason]int
}

// New returns a screener without servers. The heads of all connections take up to heads
// bytes; nil sets no limit.
func New(heads *rationer.Rationer, clock clockwork.Clock, log *slog.Logger, m *meter.Meter) *Screener {
	return &Screener{
		clock: clock, log: log, meter: m, heads: heads, unfinished: list.New(), unfinishedBodies: list.New(),
		loggedAt: make(map[meter.ClosureReason]time.Time), unlogged: make(map[meter.ClosureReason]int),
	}
}

// Server follows the connections of one HTTP server.
type Server struct {
	*Group
	limits func() Limits
}

// Group holds the connections of the servers that share a maximum number of them.
type Group struct {
	screener *Screener
	name     string
	maxConns int
	// evictionEnded receives a value when an evicted connection has closed, or stays open
	// as a request arrived on it.
	evictionEnded chan struct{}

	// The fields below are protected by screener.mu.

	conns int
	// evicting is the number of evicted connections that are still open.
	evicting int
	// The lists hold the connections that may be closed, by what they wait for, oldest
	// first.
	waiting *list.List
	heads   *list.List
	bodies  *list.List
}

// AddGroup adds a group with up to maxConns connections; zero sets no limit.
func (s *Screener) AddGroup(name string, maxConns int) *Group {
	g := &Group{
		screener: s, name: name, maxConns: maxConns, evictionEnded: make(chan struct{}, 1),
		waiting: list.New(), heads: list.New(), bodies: list.New(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups = append(s.groups, g)
	return g
}

// NewServer returns a server of the group.
func (g *Group) NewServer(limits func() Limits) *Server {
	return &Server{Group: g, limits: limits}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Attach makes the server follow the requests of an HTTP server, whose connections must come
// from Listen. The HTTP server must set no timeouts for reading. Hooks that it has
// are called, too.
func (s *Server) Attach(server *http.Server) {
	nextContext, nextState, nextHandler := server.ConnContext, server.ConnState, server.Handler
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if nextContext != nil {
			ctx = nextContext(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, nc)
	}
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if nextState != nil {
			nextState(nc, state)
		}
		c, ok := nc.(*conn)
		if ok && state == http.StateIdle {
			c.endRequest()
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if ok && r.ContentLength != 0 {
			c.beginBody(r.ContentLength)
		}
		nextHandler.ServeHTTP(w, r)
		if ok && c.failure != nil {
			// The body failed and the handler has refused the request. net/http would keep
			// the connection for 500 ms more.
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	})
}

// listener hands out the connections of a server.
type listener struct {
	net.Listener
	server *Server
}

// Listen returns a listener for the attached HTTP server.
func (s *Server) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, server: s}
}

// Accept returns the next connection for which there is room. It closes those for which
// there is none.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.makeRoom() {
			return l.server.add(accepted), nil
		}
		_ = accepted.Close()
		l.server.screener.count(meter.ClosureNoConnection, l.server.name)
	}
}

// makeRoom evicts connections if there is little room for new ones. If there is none, it waits
// for them to close. It returns false if there is no room then.
func (g *Group) makeRoom() bool {
	hasRoom, isWorthWaiting := g.evictExcess()
	if hasRoom || !isWorthWaiting {
		return hasRoom
	}
	deadline := g.screener.clock.After(roomWait)
	for !hasRoom && isWorthWaiting {
		select {
		case <-g.evictionEnded:
			hasRoom, isWorthWaiting = g.evictExcess()
		case <-deadline:
			return false
		}
	}
	return hasRoom
}

// evictExcess evicts connections if there is little room. It returns whether there is room for
// one more, and whether evicted ones will close.
func (g *Group) evictExcess() (hasRoom, isWorthWaiting bool) {
	if g.maxConns == 0 {
		return true, false
	}
	g.screener.mu.Lock()
	defer g.screener.mu.Unlock()
	excess := g.conns - g.evicting + 1 - (g.maxConns - g.maxConns/roomDivisor)
	for range min(excess, maxEvictions) {
		victim := g.oldest()
		if victim == nil {
			break
		}
		victim.evict()
	}
	return g.conns < g.maxConns, g.evicting > 0
}

// oldest returns the connection to close first, or nil if requests run on all of them: slow
// heads come first, then idle connections, heads and bodies.
func (g *Group) oldest() *conn {
	head := g.heads.Front()
	if head != nil && g.screener.clock.Since(head.Value.(*conn).since) > slowHeadAge {
		return head.Value.(*conn)
	}
	for _, l := range []*list.List{g.waiting, g.heads, g.bodies} {
		if l.Len() > 0 {
			return l.Front().Value.(*conn)
		}
	}
	return nil
}

// charge sets the bytes that the head of a connection takes. If there is no room, it evicts
// the oldest unfinished heads, and then the oldest requests with unfinished bodies. It
// returns false if there is no room then, or if the connection's own head is the oldest
// and is not complete.
func (s *Screener) charge(c *conn, bytes int, isComplete bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isComplete {
		c.leaveLists()
	}
	for !c.ration.Resize(int64(bytes)) {
		victim := s.unfinished.Front()
		if victim == nil {
			victim = s.unfinishedBodies.Front()
		}
		if victim == nil || victim.Value == c {
			return false
		}
		victim.Value.(*conn).evict()
	}
	return true
}

// count counts a connection that was closed, and logs it at most once in logInterval for
// each reason.
func (s *Screener) count(reason meter.ClosureReason, group string) {
	s.meter.CountClosure(reason)
	s.mu.Lock()
	s.unlogged[reason]++
	count := s.unlogged[reason]
	now := s.clock.Now()
	isDue := now.Sub(s.loggedAt[reason]) >= logInterval
	if isDue {
		s.loggedAt[reason] = now
		s.unlogged[reason] = 0
	}
	s.mu.Unlock()
	if isDue {
		s.log.Info("Connections were closed.", "reason", reason, "group", group, "count", count)
	}
}

// GroupStatus describes the connections of a group.
type GroupStatus struct {
	Connections    int `json:"connections"`
	MaxConnections int `json:"max-connections"`
	Idle           int `json:"idle"`
	Heads          int `json:"unfinished-heads"`
	Bodies         int `json:"unfinished-bodies"`
}

// Status returns the state of each group by its name.
func (s *Screener) Status() map[string]GroupStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	statuses := make(map[string]GroupStatus, len(s.groups))
	for _, g := range s.groups {
		statuses[g.name] = GroupStatus{
			Connections: g.conns, MaxConnections: g.maxConns,
			Idle: g.waiting.Len(), Heads: g.heads.Len(), Bodies: g.bodies.Len(),
		}
	}
	return statuses
}
