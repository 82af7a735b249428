package screener

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"sassafraspass.dev/sassafraspass/connection/rationer"
	"sassafraspass.dev/sassafraspass/process/meter"
)

const (
	// headSlack is how many bytes a head may exceed its limit by. It is that of net/http,
	// and covers clients that count a head in another way.
	headSlack = 4 << 10
	// minBufferBytes is the first size of the buffer of an unfinished head.
	minBufferBytes = 4 << 10
	// maxEmptyLines limits the empty lines before a request. Some clients send one after
	// a body.
	maxEmptyLines = 8
	// unreadGrace is the time that an evicted connection without a request has to read
	// bytes that had arrived before.
	unreadGrace = 5 * time.Millisecond
)

// phase is what a connection waits for.
type phase string

const (
	phaseWaiting phase = "waiting"
	phaseHead    phase = "head"
	// phaseServing is from the end of a head to the end of the response.
	phaseServing phase = "serving"
	phaseClosed  phase = "closed"
)

// expired is a read deadline in the past.
var expired = time.Unix(1, 0)

// conn is a connection of a client. net/http reads from it in one goroutine at a time.
type conn struct {
	net.Conn
	server    *Server
	closeOnce sync.Once

	// The fields below belong to the reading goroutine.

	// pending holds bytes that were read and not handed out. The first scanned of them
	// went through scan, and the first released of them may be handed out.
	pending  []byte
	scanned  int
	released int
	scan     HeadScanner
	// bodyLeft is what is left of a body of known length. chunks is set while one in
	// chunks is read.
	bodyLeft  int64
	chunks    *chunkScanner
	bodySince time.Time
	// failure is the error of all further reads.
	failure error

	// The fields below are protected by screener.mu.

	phase phase
	// since is when the phase began.
	since time.Time
	// entries are the connection's places in the lists of those that may be closed.
	entries   []entry
	isEvicted bool
	ration    *rationer.Ration
}

// entry is an element of a list.
type entry struct {
	list    *list.List
	element *list.Element
}

// add returns an accepted connection as one of the server.
func (s *Server) add(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, server: s, ration: s.screener.heads.Begin()}
	s.screener.mu.Lock()
	defer s.screener.mu.Unlock()
	s.conns++
	c.enter(phaseWaiting, s.waiting)
	return c
}

// enter begins a phase. The connection may be closed for others while it is in lists. The
// screener's lock must be held.
func (c *conn) enter(next phase, lists ...*list.List) {
	c.leaveLists()
	c.phase = next
	c.since = c.server.screener.clock.Now()
	c.setEvicted(false)
	for _, l := range lists {
		c.entries = append(c.entries, entry{list: l, element: l.PushBack(c)})
	}
}

func (c *conn) leaveLists() {
	for _, e := range c.entries {
		e.list.Remove(e.element)
	}
	c.entries = c.entries[:0]
}

// evict makes the connection close. Its reader, which may be blocked, does that. The
// screener's lock must be held.
func (c *conn) evict() {
	c.leaveLists()
	c.setEvicted(true)
	c.ration.Release()
	_ = c.SetReadDeadline(expired)
}

func (c *conn) setEvicted(isEvicted bool) {
	switch {
	case isEvicted && !c.isEvicted:
		c.server.evicting++
	case !isEvicted && c.isEvicted:
		c.server.evicting--
		select {
		case c.server.evictionEnded <- struct{}{}:
		default:
		}
	}
	c.isEvicted = isEvicted
}

// NetConn returns the underlying connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending half of the connection. The server uses it to respond
// before it has read everything.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		s := c.server
		s.screener.mu.Lock()
		defer s.screener.mu.Unlock()
		s.conns--
		c.leaveLists()
		c.setEvicted(false)
		c.phase = phaseClosed
		c.ration.Release()
	})
	return c.Conn.Close()
}

// Read reads from the connection: complete heads, bodies, and, while a request without a
// body is served, the first byte of the next one.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case c.failure != nil:
		return 0, c.failure
	case c.released > 0:
		return c.handOut(p[:min(len(p), c.released)]), nil
	case c.currentPhase() != phaseServing:
		return c.readHead(p)
	case c.bodyLeft > 0 || c.chunks != nil:
		return c.readBody(p)
	}
	return c.readAhead(p)
}

func (c *conn) currentPhase() phase {
	c.server.screener.mu.Lock()
	defer c.server.screener.mu.Unlock()
	return c.phase
}

// handOut moves pending bytes to p.
func (c *conn) handOut(p []byte) int {
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	c.scanned = max(0, c.scanned-n)
	c.released = max(0, c.released-n)
	if len(c.pending) == 0 {
		c.pending = nil
	}
	return n
}

// readAhead reads the first byte of the next request. net/http does so in the background to
// notice that the client has gone. More would not be screened.
func (c *conn) readAhead(p []byte) (n int, err error) {
	p = p[:min(1, len(p))]
	if len(c.pending) > 0 {
		n = c.handOut(p)
	} else {
		n, err = c.Conn.Read(p)
	}
	c.scan.Feed(p[:n])
	return n, err
}

// readHead reads until the head is complete.
func (c *conn) readHead(p []byte) (int, error) {
	limits := c.server.limits()
	for {
		n, isComplete := c.scan.Feed(c.pending[c.scanned:])
		c.scanned += n
		reason := c.violation(limits)
		if reason == "" && isComplete {
			reason = c.beginRequest()
		}
		switch {
		case reason != "":
			return 0, c.refuse(reason)
		case isComplete:
			return c.handOut(p[:min(len(p), c.released)]), nil
		}
		err := c.readMore(p, limits)
		if err != nil {
			return 0, err
		}
	}
}

// violation returns the limit that the head exceeds, or "".
func (c *conn) violation(limits Limits) meter.ClosureReason {
	switch {
	case c.scan.bytes > limits.HeadBytes+headSlack:
		return meter.ClosureHeadBytes
	case c.scan.lines > limits.HeadLines:
		return meter.ClosureHeadLines
	case c.scan.emptyLines > maxEmptyLines:
		return meter.ClosureEmptyLines
	}
	return ""
}

// beginRequest releases a complete head to net/http. From here on the connection is not
// evicted. It returns the reason if there is no room for the parsed head.
func (c *conn) beginRequest() meter.ClosureReason {
	if !c.server.screener.charge(c, bytesFactor*c.scan.bytes+lineBytes*c.scan.lines, true) {
		return meter.ClosureHeadMemory
	}
	c.server.screener.mu.Lock()
	defer c.server.screener.mu.Unlock()
	c.enter(phaseServing)
	_ = c.SetReadDeadline(time.Time{})
	c.released = c.scanned
	c.scan = HeadScanner{}
	return ""
}

// readMore reads further bytes of the head. The buffer p is used while none was read, so that
// an idle connection needs no buffer of its own.
func (c *conn) readMore(p []byte, limits Limits) error {
	if len(c.pending) == 0 {
		n, err := c.readBefore(p, limits)
		c.pending = append(c.pending, p[:n]...)
		return err
	}
	if len(c.pending) == cap(c.pending) {
		size := min(max(minBufferBytes, 2*cap(c.pending)), limits.HeadBytes+headSlack+minBufferBytes)
		c.pending = append(make([]byte, 0, max(size, len(c.pending)+1)), c.pending...)
	}
	if !c.server.screener.charge(c, cap(c.pending), false) {
		return c.refuse(meter.ClosureHeadMemory)
	}
	n, err := c.readBefore(c.pending[len(c.pending):cap(c.pending)], limits)
	c.pending = c.pending[:len(c.pending)+n]
	return err
}

// readBefore reads before the deadline of the current phase. At the deadline, or when the
// connection is evicted, it refuses what it has read of a head.
func (c *conn) readBefore(p []byte, limits Limits) (n int, err error) {
	isLastTry := c.armHeadDeadline(limits)
	for {
		n, err = c.Conn.Read(p)
		if n > 0 {
			return n, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
		reason := c.headTimeout(limits)
		switch {
		case reason == "":
			return 0, err
		case reason == meter.ClosureIdle && !isLastTry:
			isLastTry = true
			_ = c.SetReadDeadline(time.Now().Add(unreadGrace))
		default:
			return 0, c.refuse(reason)
		}
	}
}

// armHeadDeadline sets the read deadline of the current phase, which becomes phaseHead with
// the first byte of a request line. It returns whether the connection was evicted, and
// has only unreadGrace left.
func (c *conn) armHeadDeadline(limits Limits) (isEvicted bool) {
	s := c.server.screener
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.scan.isStarted && c.phase == phaseWaiting {
		c.enter(phaseHead, c.server.heads, s.unfinished)
	}
	timeout := limits.IdleTimeout
	if c.phase == phaseHead {
		timeout = limits.HeadTimeout
	}
	deadline := c.since.Add(timeout)
	if c.isEvicted {
		deadline = time.Now().Add(unreadGrace)
	}
	_ = c.SetReadDeadline(deadline)
	return c.isEvicted
}

// headTimeout returns why a read of a head ended at its deadline, or "" if that was not the
// deadline of this package, or if the connection was idle.
func (c *conn) headTimeout(limits Limits) meter.ClosureReason {
	s := c.server.screener
	s.mu.Lock()
	defer s.mu.Unlock()
	age := s.clock.Since(c.since)
	switch {
	case c.isEvicted && c.phase == phaseHead:
		return meter.ClosureHeadEvicted
	case c.isEvicted:
		return meter.ClosureIdle
	case c.phase == phaseHead && age >= limits.HeadTimeout:
		return meter.ClosureHeadTimeout
	}
	return ""
}

// endRequest is called when a response was sent and the connection waits for a request.
func (c *conn) endRequest() {
	c.bodyLeft, c.chunks = 0, nil
	c.server.screener.mu.Lock()
	defer c.server.screener.mu.Unlock()
	c.ration.Release()
	c.enter(phaseWaiting, c.server.waiting)
}

// refuse responds to a head that is not handed to net/http, where there is one, and makes the
// server close the connection.
func (c *conn) refuse(reason meter.ClosureReason) error {
	c.server.screener.count(reason, c.server.name)
	if c.scan.isStarted || reason == meter.ClosureEmptyLines {
		c.respond(reason)
	}
	c.failure = io.EOF
	return c.failure
}
