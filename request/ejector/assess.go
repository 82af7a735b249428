package ejector

import (
	"math/rand/v2"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
)

// IsEjected reports whether an upstream is ejected or has a running probe.
func (e *Ejector) IsEjected(name identifier.UpstreamName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	return e.state(name, now).isEjected(now)
}

// Penalty returns the cost of an upstream besides its running requests and its zone, as a
// number of running requests.
func (e *Ejector) Penalty(entry registrar.Entry) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	return e.state(entry.Name, now).penalty(entry, now)
}

func (s *upstreamState) isEjected(now time.Time) bool {
	return now.Before(s.ejectedUntil) || s.probing
}

// penalty returns the cost of failures and of a cold start. A random part of less than
// half a running request spreads requests over upstreams of equal cost.
func (s *upstreamState) penalty(entry registrar.Entry, now time.Time) float64 {
	penalty := failurePenalty*s.failureRate() + rand.Float64()/2
	if now.Before(entry.ColdUntil) {
		penalty += coldPenalty * rand.Float64()
	}
	return penalty
}
