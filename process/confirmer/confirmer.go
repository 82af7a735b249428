// Package confirmer decides whether a daemon may treat its configuration and its
// epoch as current.
//
// A daemon is current while a recent read of the log to its end confirms it. The
// read may be its own, or that of a peer whose version and epoch are not newer. If a
// majority of the epoch's members hear each other and none of them can read the log,
// the log is taken to be unavailable to everyone. No newer version or epoch can be
// accepted then, so the daemons stay current and service continues.
package confirmer

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	// StaleAfter is how long a daemon counts as current after a read of the log that
	// confirmed it.
	StaleAfter = 4 * time.Second
	// maxReportAge is the highest age of a peer's report that counts towards the
	// majority in an outage of the log.
	maxReportAge = 2500 * time.Millisecond
)

// Never is the confirmation age of a daemon that no read has confirmed.
const Never = time.Duration(-1)

// PeerReport is what a peer's heartbeat says about its version and epoch.
type PeerReport struct {
	Incarnation identifier.Incarnation
	// RequestedAt is when this daemon sent the request for the heartbeat.
	RequestedAt time.Time
	// ConfirmationAge is the time since the peer was last confirmed, or Never.
	ConfirmationAge time.Duration
	// Version and Epoch are the log offsets of the peer's version and epoch.
	Version identifier.Offset
	Epoch   identifier.Position
}

// Confirmer tracks when the daemon's version and epoch were last confirmed.
type Confirmer struct {
	clock clockwork.Clock
	self  identifier.Incarnation
	// Known returns the log offsets of the daemon's version and epoch.
	Known func() (version identifier.Offset, epoch identifier.Position)
	// Members returns the members of the daemon's epoch.
	Members func() []identifier.Incarnation

	mu        sync.Mutex
	lastReads map[identifier.StreamName]time.Time
	reports   map[identifier.Incarnation]PeerReport
}

// New returns a confirmer that requires reads of all the given streams.
func New(clock clockwork.Clock, self identifier.Incarnation, streams ...identifier.StreamName) *Confirmer {
	c := &Confirmer{
		clock:     clock,
		self:      self,
		Known:     func() (identifier.Offset, identifier.Position) { return identifier.NoOffset, identifier.NoPosition },
		Members:   func() []identifier.Incarnation { return nil },
		lastReads: make(map[identifier.StreamName]time.Time),
		reports:   make(map[identifier.Incarnation]PeerReport),
	}
	for _, stream := range streams {
		c.lastReads[stream] = time.Time{}
	}
	return c
}

// RecordLogRead records that a read of a stream, requested at the given time,
// reached the stream's end.
func (c *Confirmer) RecordLogRead(stream identifier.StreamName, requestedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if requestedAt.After(c.lastReads[stream]) {
		c.lastReads[stream] = requestedAt
	}
}

// RecordPeerReport replaces the stored report of a peer.
func (c *Confirmer) RecordPeerReport(report PeerReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports[report.Incarnation] = report
}

// Forget drops the report of a peer that is gone.
func (c *Confirmer) Forget(incarnation identifier.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reports, incarnation)
}

// ConfirmationAge returns the time since the daemon was last confirmed, or Never.
func (c *Confirmer) ConfirmationAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmationAge(c.clock.Now())
}

// IsCurrent reports whether the daemon may act on its version and epoch.
func (c *Confirmer) IsCurrent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	age := c.confirmationAge(now)
	if age != Never && age <= StaleAfter {
		return true
	}
	return c.isOutageAgreedByMajority(now)
}

func (c *Confirmer) confirmationAge(now time.Time) time.Duration {
	confirmedAt := c.oldestRead()
	version, epoch := c.Known()
	for _, report := range c.reports {
		if report.ConfirmationAge == Never || report.Version > version || report.Epoch > epoch {
			continue
		}
		peerConfirmedAt := report.RequestedAt.Add(-report.ConfirmationAge)
		if peerConfirmedAt.After(confirmedAt) {
			confirmedAt = peerConfirmedAt
		}
	}
	if confirmedAt.IsZero() {
		return Never
	}
	return now.Sub(confirmedAt)
}

// oldestRead returns the oldest of the streams' last reads. It is the zero time if a
// stream was never read.
func (c *Confirmer) oldestRead() time.Time {
	var oldest time.Time
	isFirst := true
	for _, readAt := range c.lastReads {
		if isFirst || readAt.Before(oldest) {
			oldest = readAt
		}
		isFirst = false
	}
	return oldest
}

// isOutageAgreedByMajority reports whether a majority of the members, this daemon
// included, hear each other and none of them can read the log.
func (c *Confirmer) isOutageAgreedByMajority(now time.Time) bool {
	version, epoch := c.Known()
	members := c.Members()
	agreeing := 0
	for _, member := range members {
		if member == c.self {
			agreeing++
			continue
		}
		report, known := c.reports[member]
		if !known || now.Sub(report.RequestedAt) > maxReportAge {
			continue
		}
		if report.Version > version || report.Epoch > epoch {
			return false
		}
		if report.ConfirmationAge == Never || now.Sub(report.RequestedAt.Add(-report.ConfirmationAge)) > StaleAfter {
			agreeing++
		}
	}
	return agreeing*2 > len(members)
}
