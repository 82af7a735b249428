// Package abstainer tracks the upstreams that asked to be left alone: those that leave,
// and those that turned a request away and said for how long they want no more. Every
// send to an upstream asks it first.
package abstainer

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
)

const (
	// maxHold limits what an upstream can ask for. It bounds the damage of a nonsensical
	// value.
	maxHold = 10 * time.Minute
	// A hold ends up to returnSpread of its length later at some daemons, at most
	// maxReturnDelay, so that an upstream that turned away all daemons at once does not
	// get all their requests at once when the time is over.
	returnSpread   = 0.25
	maxReturnDelay = time.Second
	// The process that turned a request away may have started after the one in the list. A
	// process that started at most clockTolerance later, by its own clock, or that is read
	// within listDelay may be the one, and is held back for the same time, at most
	// maxSuccessorHold: a wrong hold costs one server for a while.
	clockTolerance   = time.Second
	listDelay        = 5 * time.Second
	maxSuccessorHold = time.Minute
	// departureRetention is how long a departure is remembered, as the list of upstreams
	// may still name the upstream after the store was away. It is reported to peers for
	// reportPeriod.
	departureRetention = 10 * time.Minute
	reportPeriod       = time.Minute
	// maxDepartures limits the departures that are remembered, and maxReported those in
	// one heartbeat.
	maxDepartures = 1024
	maxReported   = 64
)

// Signal is what a response says about its upstream besides the request.
type Signal struct {
	// IsLeaving is set if the upstream is about to leave.
	IsLeaving bool
	// RetryAfter is how long the upstream wants no requests from this daemon, zero if
	// it does not say so.
	RetryAfter time.Duration
	// ColdLeft is how long the upstream is still cold, if HasColdLeft is set.
	ColdLeft    time.Duration
	HasColdLeft bool
}

// Departure says that a process of an upstream is leaving.
type Departure struct {
	Upstream identifier.UpstreamName
	// StartedAt is when the process started. A later process of the same name is
	// another one.
	StartedAt time.Time
	// Age is the time since the upstream said so.
	Age time.Duration
}

// Abstainer holds the departures and the holds that this daemon knows. It is safe for
// concurrent use.
type Abstainer struct {
	// OnDeparture is called without locks when this daemon learns that an upstream is
	// leaving; isOwn is set if the upstream told this daemon itself.
	OnDeparture func(upstream identifier.UpstreamName, isOwn bool)

	clock clockwork.Clock
	// spread returns a random fraction from 0 to 1.
	spread func() float64

	mu         sync.Mutex
	departures map[identifier.UpstreamName]departure
	holds      map[identifier.UpstreamName]*hold
}

type departure struct {
	startedAt time.Time
	saidAt    time.Time
}

// hold is a time for which an upstream wants no requests. An upstream says so to requests
// that were sent with the entry of one of its processes, but the next one may have
// answered already.
type hold struct {
	startedAt time.Time
	saidAt    time.Time
	until     time.Time
	// successor is the start of the newest later process, which was read at successorReadAt.
	successor       time.Time
	successorReadAt time.Time
}

// covers reports whether the process that started at a time may have asked for the hold.
func (h *hold) covers(startedAt, now time.Time) bool {
	switch {
	case !startedAt.After(h.startedAt):
		return true
	case now.Sub(h.saidAt) > maxSuccessorHold:
		return false
	case !startedAt.After(h.saidAt.Add(clockTolerance)):
		return true
	case startedAt.After(h.successor):
		h.successor, h.successorReadAt = startedAt, now
	}
	return h.successor.Equal(startedAt) && h.successorReadAt.Sub(h.saidAt) <= listDelay
}

// New returns an abstainer without departures and holds.
func New(clock clockwork.Clock) *Abstainer {
	return &Abstainer{
		OnDeparture: func(identifier.UpstreamName, bool) {},
		clock:       clock,
		spread:      rand.Float64,
		departures:  make(map[identifier.UpstreamName]departure),
		holds:       make(map[identifier.UpstreamName]*hold),
	}
}

// Observe records what an upstream's response says about the upstream.
func (a *Abstainer) Observe(upstream registrar.Entry, signal Signal) {
	now := a.clock.Now()
	if signal.RetryAfter > 0 {
		a.hold(upstream, now, signal.RetryAfter)
	}
	if signal.IsLeaving && a.recordDeparture(upstream.Name, upstream.StartedAt, now) {
		a.OnDeparture(upstream.Name, true)
	}
}

func (a *Abstainer) hold(upstream registrar.Entry, now time.Time, length time.Duration) {
	length = min(length, maxHold)
	delay := min(time.Duration(a.spread()*returnSpread*float64(length)), maxReturnDelay)
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.holds, func(_ identifier.UpstreamName, h *hold) bool { return !now.Before(h.until) })
	until := now.Add(length + delay)
	known, isHeld := a.holds[upstream.Name]
	if !isHeld || !known.covers(upstream.StartedAt, now) || until.After(known.until) {
		a.holds[upstream.Name] = &hold{startedAt: upstream.StartedAt, saidAt: now, until: until}
	}
}

// recordDeparture reports whether the departure is new.
func (a *Abstainer) recordDeparture(name identifier.UpstreamName, startedAt, saidAt time.Time) (isNew bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known, isKnown := a.departures[name]
	if isKnown && (startedAt.Equal(known.startedAt) || saidAt.Before(known.saidAt)) {
		return false
	}
	a.departures[name] = departure{startedAt: startedAt, saidAt: saidAt}
	a.forgetDepartures()
	return true
}

// forgetDepartures drops departures that are too old and, beyond maxDepartures, the
// oldest.
func (a *Abstainer) forgetDepartures() {
	now := a.clock.Now()
	maps.DeleteFunc(a.departures, func(_ identifier.UpstreamName, d departure) bool { return now.Sub(d.saidAt) > departureRetention })
	for len(a.departures) > maxDepartures {
		names := slices.Collect(maps.Keys(a.departures))
		delete(a.departures, slices.MinFunc(names, func(x, y identifier.UpstreamName) int {
			return a.departures[x].saidAt.Compare(a.departures[y].saidAt)
		}))
	}
}

// IsLeaving reports whether an upstream said that it is leaving. Another process under the
// same name is not.
func (a *Abstainer) IsLeaving(upstream registrar.Entry) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isLeaving(upstream)
}

func (a *Abstainer) isLeaving(upstream registrar.Entry) bool {
	d, ok := a.departures[upstream.Name]
	return ok && upstream.StartedAt.Equal(d.startedAt)
}

// MayUse reports whether an upstream may be sent anything now.
func (a *Abstainer) MayUse(upstream registrar.Entry) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.isLeaving(upstream) && a.holdLeft(upstream) <= 0
}

func (a *Abstainer) holdLeft(upstream registrar.Entry) time.Duration {
	now := a.clock.Now()
	h, ok := a.holds[upstream.Name]
	if !ok || !h.covers(upstream.StartedAt, now) {
		return 0
	}
	return h.until.Sub(now)
}

// Staying returns the upstreams that are not leaving.
func (a *Abstainer) Staying(upstreams []registrar.Entry) []registrar.Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(upstreams), a.isLeaving)
}

// Usable returns the upstreams that may be sent anything now, and the time until the
// first of those that are held back may be again. That is zero if none is held back.
func (a *Abstainer) Usable(upstreams []registrar.Entry) (usable []registrar.Entry, nextReturn time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, upstream := range upstreams {
		left := a.holdLeft(upstream)
		switch {
		case a.isLeaving(upstream):
		case left > 0 && (nextReturn == 0 || left < nextReturn):
			nextReturn = left
		case left <= 0:
			usable = append(usable, upstream)
		}
	}
	return usable, nextReturn
}

// HeldBack returns the names of the given upstreams that must not be sent anything now.
func (a *Abstainer) HeldBack(upstreams []registrar.Entry) (names []identifier.UpstreamName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, upstream := range upstreams {
		if a.isLeaving(upstream) || a.holdLeft(upstream) > 0 {
			names = append(names, upstream.Name)
		}
	}
	return names
}

// Departures returns the departures to report to peers, newest first.
func (a *Abstainer) Departures() (reported []Departure) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for name, d := range a.departures {
		age := max(0, now.Sub(d.saidAt))
		if age <= reportPeriod {
			reported = append(reported, Departure{Upstream: name, StartedAt: d.startedAt, Age: age})
		}
	}
	slices.SortFunc(reported, func(x, y Departure) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Upstream, y.Upstream))
	})
	return reported[:min(len(reported), maxReported)]
}

// Adopt records departures that a peer reported.
func (a *Abstainer) Adopt(reported []Departure) {
	now := a.clock.Now()
	for _, d := range reported {
		if d.Age < 0 || d.Age > departureRetention {
			continue
		}
		if a.recordDeparture(d.Upstream, d.StartedAt, now.Add(-d.Age)) {
			a.OnDeparture(d.Upstream, false)
		}
	}
}
