package screener

import (
	"errors"
	"os"
	"time"

	"sassafraspass.dev/sassafraspass/process/meter"
)

// ErrEvicted is the error of reading a body from a connection that was closed for others.
var ErrEvicted = errors.New("too many connections wait for the rest of a request")

// beginBody says that a request has a body, negative if its length is unknown. It is called
// before the first read of the body.
func (c *conn) beginBody(length int64) {
	c.bodyLeft = max(0, length)
	if length < 0 {
		c.chunks = newChunkScanner()
	}
	c.bodySince = c.server.screener.clock.Now()
	c.server.screener.mu.Lock()
	defer c.server.screener.mu.Unlock()
	if c.phase == phaseServing {
		c.enter(phaseServing, c.server.bodies, c.server.screener.unfinishedBodies)
	}
}

// readBody reads the body, and no byte beyond it.
func (c *conn) readBody(p []byte) (n int, err error) {
	if c.chunks == nil {
		p = p[:min(int64(len(p)), c.bodyLeft)]
	}
	if len(c.pending) > 0 {
		n = c.handOut(p)
	} else {
		n, err = c.readBodyBefore(p)
	}
	isComplete := false
	if c.chunks == nil {
		c.bodyLeft -= int64(n)
		isComplete = c.bodyLeft == 0
	} else {
		var ofBody int
		ofBody, isComplete = c.chunks.feed(p[:n])
		if ofBody < n {
			c.pending = append(append([]byte(nil), p[ofBody:n]...), c.pending...)
			n = ofBody
		}
	}
	if isComplete {
		c.endBody()
	}
	return n, err
}

// endBody ends the reading of a body. The request is then not evicted any more.
func (c *conn) endBody() {
	c.bodyLeft, c.chunks = 0, nil
	c.server.screener.mu.Lock()
	defer c.server.screener.mu.Unlock()
	c.enter(phaseServing)
	_ = c.SetReadDeadline(time.Time{})
}

// readBodyBefore reads before the deadline of the body.
func (c *conn) readBodyBefore(p []byte) (int, error) {
	s := c.server.screener
	limits := c.server.limits()
	s.mu.Lock()
	deadline := s.clock.Now().Add(limits.StallTimeout)
	latest := c.bodySince.Add(limits.BodyTimeout)
	switch {
	case c.isEvicted:
		deadline = expired
	case latest.Before(deadline):
		deadline = latest
	}
	_ = c.SetReadDeadline(deadline)
	s.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	s.mu.Lock()
	isEvicted := c.isEvicted
	s.mu.Unlock()
	c.failure = err
	reason := meter.ClosureBodyTimeout
	if isEvicted {
		c.failure = ErrEvicted
		reason = meter.ClosureBodyEvicted
	}
	s.count(reason, c.server.name)
	return 0, c.failure
}
