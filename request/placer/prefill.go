package placer

import (
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// prefillTolerance is the extra wait at which a prefill engine counts as nearly
	// equal. That of a repeated request is the time that reading its prompt takes.
	prefillTolerance = 25 * time.Millisecond
	// reportDelay is how late the report on a finished prefill may come: the requester
	// collects reports for 10 ms, and its processor may be busy.
	reportDelay = 30 * time.Millisecond
)

// prefillCandidate is a usable prefill engine and the time until it has read a prompt
// that it does not have.
type prefillCandidate struct {
	engine *engine
	wait   time.Duration
}

// prefillCandidates returns the usable prefill engines whose backlog is at most
// maxPrefillBacklog. The result is valid until the next call.
func (p *Pool) prefillCandidates(c *choice) []prefillCandidate {
	candidates := p.prefills[:0]
	for _, e := range p.byRole[parser.RolePrefill] {
		backlog := e.backlog(c.now)
		if backlog <= maxPrefillBacklog && p.isUsable(e, c.now) {
			candidates = append(candidates, prefillCandidate{engine: e, wait: backlog + p.prefillTime(c.pending.request, e, c.now)})
		}
	}
	p.prefills = candidates
	return candidates
}

// backlog returns the time until a prefill engine is expected to finish the prefills
// assigned to it. One that is late is expected to take as much time again.
func (e *engine) backlog(now time.Time) time.Duration {
	remaining := e.busyUntil.Sub(now)
	if remaining >= 0 {
		return remaining
	}
	if e.unread > 0 && -remaining > reportDelay {
		return -remaining
	}
	return 0
}

// prefillTime returns how long an engine takes to read a request's prompt.
func (p *Pool) prefillTime(req Request, e *engine, now time.Time) time.Duration {
	return duration(tokens(req.PromptTokens) / p.prefillRateOf(e, now))
}

// zoneWait is the shortest wait among the prefill engines of a zone.
type zoneWait struct {
	zone identifier.ZoneName
	wait time.Duration
}

// zoneWaits returns the shortest wait by zone.
func zoneWaits(prefills []prefillCandidate) (waits []zoneWait) {
	for _, candidate := range prefills {
		isNew := true
		for i := range waits {
			if waits[i].zone == candidate.engine.entry.Zone {
				waits[i].wait = min(waits[i].wait, candidate.wait)
				isNew = false
			}
		}
		if isNew {
			waits = append(waits, zoneWait{zone: candidate.engine.entry.Zone, wait: candidate.wait})
		}
	}
	return waits
}

// excessWait returns how much longer a request waits for its prompt at a decode engine
// of a zone than in the zone where it waits least.
func (p *Pool) excessWait(waits []zoneWait, to identifier.ZoneName) time.Duration {
	var shortest, shortestTo time.Duration
	for i, w := range waits {
		waitTo := w.wait + p.ZoneCost(w.zone, to)
		if i == 0 || w.wait < shortest {
			shortest = w.wait
		}
		if i == 0 || waitTo < shortestTo {
			shortestTo = waitTo
		}
	}
	return shortestTo - shortest
}

// pickPrefill returns the prefill engine that the prompt ranks first among those of
// nearly the shortest wait, or nil if there is none. It compares only engines of one
// zone, so that a prompt does not move between zones.
func (p *Pool) pickPrefill(c *choice, prefills []prefillCandidate, to identifier.ZoneName) *engine {
	var best *engine
	var shortest time.Duration
	for _, candidate := range prefills {
		wait := candidate.wait + p.ZoneCost(candidate.engine.entry.Zone, to)
		if best == nil || wait < shortest {
			best, shortest = candidate.engine, wait
		}
	}
	if best == nil || !c.hasAffinity() {
		return best
	}
	longest := shortest - p.ZoneCost(best.entry.Zone, to) + prefillTolerance
	if c.isRepeat() {
		longest += p.prefillTime(c.pending.request, best, c.now)
	}
	zone, bestRank := best.entry.Zone, c.rank(best)
	for _, candidate := range prefills {
		if candidate.wait > longest || candidate.engine.entry.Zone != zone {
			continue
		}
		rank := c.rank(candidate.engine)
		if rank > bestRank {
			best, bestRank = candidate.engine, rank
		}
	}
	return best
}
