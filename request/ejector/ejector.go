// Package ejector ranks the upstreams of plain services by their load and by the
// outcomes of the requests sent to them. It detects outliers passively: an upstream
// that fails clearly more often than its peers is ejected for a while, and then
// probed with a single request of a caller.
package ejector

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
)

const (
	// outcomeHalfLife is the time in which the weight of an outcome halves.
	outcomeHalfLife = 3 * time.Second
	// minOutcomeWeight is the total weight of outcomes that an upstream must have to
	// be ejected as an outlier.
	minOutcomeWeight = 4.0
	// minExcessFailureRate is how far an upstream's failure rate must exceed the
	// mean of its peers for it to be ejected.
	minExcessFailureRate = 0.25
	// The first ejection lasts minEjectionTime. Each further one lasts twice as long,
	// up to maxEjectionTime, until a probe succeeds.
	minEjectionTime = time.Second
	maxEjectionTime = 8 * time.Second
	// maxEjectedFraction is the fraction of the upstreams that may be ejected as
	// outliers at once.
	maxEjectedFraction = 0.5
	// coldPenalty is the highest cost of a cold upstream, which is slower, as a number of
	// running requests. The cost is a random part of it, so that cold upstreams are used
	// less also where no upstream has running requests, and are not avoided.
	coldPenalty = 1.0
	// failurePenalty is the cost of a failure rate of 1, as a number of running
	// requests.
	failurePenalty = 6.0
)

// Outcome is the result of a request sent to an upstream.
type Outcome string

// Outcomes of a request. Only Succeeded and Failed count towards the failure
// rate.
const (
	// Succeeded means a complete response that is not a server error.
	Succeeded Outcome = "succeeded"
	// Failed means a server error, an incomplete response or no response.
	Failed Outcome = "failed"
	// Rejected means that the upstream did not execute the request, for instance
	// because it was full.
	Rejected Outcome = "rejected"
	// Abandoned means that this daemon cancelled the request.
	Abandoned Outcome = "abandoned"
)

// Ejector tracks the load and the recent outcomes of each upstream. It is safe
// for concurrent use.
type Ejector struct {
	// ZoneCost is the cost of sending a request of a service to an upstream in another
	// zone, as a time. EntryZone returns the zone in which the next request of a service
	// counts as having entered. Both are set before the first request.
	ZoneCost  func(service identifier.ServiceName, from, to identifier.ZoneName) time.Duration
	EntryZone func(service identifier.ServiceName) identifier.ZoneName

	clock clockwork.Clock

	mu     sync.Mutex
	states map[identifier.UpstreamName]*upstreamState
}

// upstreamState is the load, the recent outcomes and the ejection of one upstream.
type upstreamState struct {
	runningRequests int
	// successWeight and failureWeight are the total weights of the outcomes. They decay
	// with outcomeHalfLife; decayedAt is the time up to which they have decayed.
	successWeight float64
	failureWeight float64
	decayedAt     time.Time
	// ejectedUntil is the end of the latest ejection, and ejectionTime its length,
	// which is 0 after a successful probe.
	ejectedUntil time.Time
	ejectionTime time.Duration
	// probing is true while the first request after an ejection is running.
	probing bool
}

// New returns an ejector for a daemon in the given zone.
func New(clock clockwork.Clock, zone identifier.ZoneName) *Ejector {
	return &Ejector{
		ZoneCost:  DefaultZoneCost,
		EntryZone: func(identifier.ServiceName) identifier.ZoneName { return zone },
		clock:     clock,
		states:    make(map[identifier.UpstreamName]*upstreamState),
	}
}

// Order returns the given upstreams, lowest cost first. Those that are ejected or have
// a running probe come last.
func (e *Ejector) Order(upstreams []registrar.Entry) []registrar.Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	type candidate struct {
		entry registrar.Entry
		cost  float64
	}
	candidates := make([]candidate, 0, len(upstreams))
	zoneCosts := e.zoneCosts(upstreams)
	for _, entry := range upstreams {
		candidates = append(candidates, candidate{entry: entry, cost: e.cost(entry, zoneCosts[entry.Zone], now)})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		if a.cost < b.cost {
			return -1
		}
		if a.cost > b.cost {
			return 1
		}
		return 0
	})
	ordered := make([]registrar.Entry, 0, len(candidates))
	for _, c := range candidates {
		ordered = append(ordered, c.entry)
	}
	return ordered
}

// cost returns the cost of sending a request to an upstream: its running requests and
// penalties, divided by its slots. The zone cost is a number of running requests.
func (e *Ejector) cost(entry registrar.Entry, zoneCost float64, now time.Time) float64 {
	const ejectedCost = 1e6
	s := e.state(entry.Name, now)
	slots := float64(max(1, entry.Slots))
	cost := float64(s.runningRequests) + s.penalty(entry, now) + zoneCost
	cost /= slots
	if s.isEjected(now) {
		cost += ejectedCost
	}
	return cost
}

// state returns the state of an upstream, with its outcomes decayed to now.
func (e *Ejector) state(name identifier.UpstreamName, now time.Time) *upstreamState {
	s, ok := e.states[name]
	if !ok {
		s = &upstreamState{decayedAt: now}
		e.states[name] = s
	}
	factor := math.Exp2(-now.Sub(s.decayedAt).Seconds() / outcomeHalfLife.Seconds())
	s.successWeight *= factor
	s.failureWeight *= factor
	s.decayedAt = now
	return s
}

// failureRate returns the weighted fraction of failures, from 0 to 1. It is 0 if
// all outcomes together weigh less than 1.
func (s *upstreamState) failureRate() float64 {
	if s.successWeight+s.failureWeight < 1 {
		return 0
	}
	return s.failureWeight / (s.successWeight + s.failureWeight)
}

// Begin counts a request as running at an upstream until the returned function is
// called with its outcome. Later calls of that function do nothing. The upstream's
// failure rate is compared with those of its peers.
func (e *Ejector) Begin(name identifier.UpstreamName, peers []registrar.Entry) (end func(Outcome)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	s := e.state(name, now)
	s.runningRequests++
	isProbe := s.ejectionTime > 0 && !now.Before(s.ejectedUntil) && !s.probing
	s.probing = s.probing || isProbe
	var once sync.Once
	return func(outcome Outcome) {
		once.Do(func() { e.recordOutcome(name, outcome, isProbe, peers) })
	}
}

// recordOutcome ends a request and applies its outcome to the state of its upstream.
// The upstream is ejected if a probe failed or if it is an outlier.
func (e *Ejector) recordOutcome(name identifier.UpstreamName, outcome Outcome, isProbe bool, peers []registrar.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	s := e.state(name, now)
	s.runningRequests--
	if isProbe {
		s.probing = false
	}
	switch outcome {
	case Succeeded:
		s.successWeight++
		if isProbe {
			s.ejectionTime = 0
		}
	case Failed:
		s.failureWeight++
		if isProbe || e.isOutlier(name, s, peers, now) {
			s.ejectionTime = min(max(2*s.ejectionTime, minEjectionTime), maxEjectionTime)
			s.ejectedUntil = now.Add(s.ejectionTime)
		}
	case Rejected, Abandoned:
	}
}

// isOutlier reports whether an upstream may be ejected because its failure rate clearly
// exceeds the mean of its peers. It returns false if too many peers are ejected already.
func (e *Ejector) isOutlier(name identifier.UpstreamName, s *upstreamState, peers []registrar.Entry, now time.Time) bool {
	if s.successWeight+s.failureWeight < minOutcomeWeight || now.Before(s.ejectedUntil) {
		return false
	}
	others, ejected, rateSum := 0, 0, 0.0
	for _, peer := range peers {
		if peer.Name == name {
			continue
		}
		other := e.state(peer.Name, now)
		others++
		rateSum += other.failureRate()
		if now.Before(other.ejectedUntil) {
			ejected++
		}
	}
	if others == 0 || float64(ejected+1) > maxEjectedFraction*float64(others+1) {
		return false
	}
	return s.failureRate() > rateSum/float64(others)+minExcessFailureRate
}

// Retain keeps only the state of the listed upstreams and of those with running
// requests.
func (e *Ejector) Retain(listed []registrar.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := make(map[identifier.UpstreamName]bool, len(listed))
	for _, entry := range listed {
		names[entry.Name] = true
	}
	for name, s := range e.states {
		if !names[name] && s.runningRequests == 0 {
			delete(e.states, name)
		}
	}
}
