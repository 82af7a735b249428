package placer

import (
	"math/bits"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// The first maxReservations requests without room get a reservation on one engine
	// each, on at most one engine in enginesPerReservation.
	maxReservations       = 4
	enginesPerReservation = 8
	// reservationCandidates is the number of the emptiest engines that are considered for
	// a reservation.
	reservationCandidates = 4
	// maxBlocked is the number of requests without room after which a pass looks for room
	// no more, because each search compares all engines.
	maxBlocked = 4
	// sizeClasses is the number of sizes that differ by a factor of two.
	sizeClasses = 32
)

// pass is one processing of the queue in order.
type pass struct {
	pool *Pool
	// isBlocked is set once a request had no room, with ChoicePooled.
	isBlocked bool
	// blocked counts the requests that had no room, and smallestBlocked is the size of the
	// smallest of them. Those that are not smaller have none either.
	blocked         int
	smallestBlocked float64
	reservations    int
	// ahead is the memory over time that the waiting requests before the current one need,
	// by the order of magnitude of their sizes.
	ahead [sizeClasses]float64
}

func (p *Pool) newPass() *pass {
	p.passes++
	return &pass{pool: p}
}

// place assigns a request to engines if there is room for it. With ChoiceBySpeed a
// request may pass others that have no room, but not use the engines reserved for them.
func (a *pass) place(pending *PendingRequest, mayCrash bool, now time.Time) bool {
	p := a.pool
	if p.Choice != ChoiceBySpeed {
		placed := !a.isBlocked && p.place(pending, mayCrash, now)
		// Later requests must not overtake a blocked one, which may only need
		// more memory. One that waits for engines that its own daemon holds back
		// does not block the other daemons.
		a.isBlocked = a.isBlocked || (!placed && len(pending.request.HeldBack) == 0)
		return placed
	}
	size := pending.size()
	if a.blocked < maxBlocked && (a.smallestBlocked == 0 || size < a.smallestBlocked) {
		if p.place(pending, mayCrash, now) {
			p.fairness.add(pending.request.Workspace, size)
			if len(p.queue) > 1 {
				p.turns++
			}
			return true
		}
		a.blocked++
		if len(pending.request.Avoid) == 0 && len(pending.request.HeldBack) == 0 && !mayCrash {
			a.smallestBlocked = size
		}
	}
	a.reserve(pending, now)
	return false
}

// size returns the memory of a request at its end.
func (r *PendingRequest) size() float64 {
	return tokens(r.request.PromptTokens) + r.expectedOutput + blockTokens
}

// refuseUnservable refuses a request that cannot begin before its caller gives up, because
// of the requests before it. Those of a larger size do not count, as it may pass them.
func (a *pass) refuseUnservable(pending *PendingRequest, now time.Time) bool {
	p := a.pool
	capacity := p.decodeCapacity()
	if p.Choice != ChoiceBySpeed || capacity == 0 {
		return false
	}
	class := min(bits.Len(uint(pending.size())), sizeClasses-1)
	sum := 0.0
	for _, ahead := range a.ahead[:class+1] {
		sum += ahead
	}
	wait := duration(sum / capacity)
	if now.Add(wait).After(pending.expiresAt) && !pending.isOverdue {
		pending.refuse(refuser.QueueFull, "more waits than the engines can serve in time", wait)
		return true
	}
	a.ahead[class] += tokenSeconds(tokens(pending.request.PromptTokens), pending.expectedOutput, p.meanDecodeRate())
	return false
}

// reserve keeps the engine where a request can begin first from requests that come later
// in the pass and would not end before.
func (a *pass) reserve(pending *PendingRequest, now time.Time) {
	p := a.pool
	if a.reservations >= min(max(1, len(p.byRole[parser.RoleDecode])/enginesPerReservation), maxReservations) {
		return
	}
	p.leaveOut(pending.request)
	e := pending.reserved
	if e == nil || !p.isReservable(e, now) {
		e = p.earliestEngine(pending, now)
		pending.reserved = e
	}
	if e == nil {
		return
	}
	a.reservations++
	e.reservedIn = p.passes
	e.reservedFrom = p.earliestStart(e, pending, now)
}

func (p *Pool) isReservable(e *engine, now time.Time) bool {
	return p.engines[e.entry.Name] == e && e.entry.Role == parser.RoleDecode && e.reservedIn != p.passes && p.isUsable(e, now)
}

// earliestEngine returns the engine on which a request can begin first, among the ones
// with the most room, or nil if no engine is usable.
func (p *Pool) earliestEngine(pending *PendingRequest, now time.Time) (earliest *engine) {
	var emptiest []*engine
	for _, e := range p.byRole[parser.RoleDecode] {
		if !p.isReservable(e, now) {
			continue
		}
		i, _ := slices.BinarySearchFunc(emptiest, e.reserved, func(other *engine, reserved float64) int {
			if other.reserved <= reserved {
				return -1
			}
			return 1
		})
		if i < reservationCandidates {
			emptiest = slices.Insert(emptiest, i, e)
			emptiest = emptiest[:min(len(emptiest), reservationCandidates)]
		}
	}
	var first time.Time
	for _, e := range emptiest {
		at := p.earliestStart(e, pending, now)
		if earliest == nil || at.Before(first) {
			earliest, first = e, at
		}
	}
	return earliest
}

// earliestStart returns when enough placements of a decode engine are expected to have
// ended for a request to fit.
func (p *Pool) earliestStart(e *engine, pending *PendingRequest, now time.Time) time.Time {
	rate := p.decodeRateOf(e, now)
	running := slices.Clone(e.placements)
	slices.SortFunc(running, func(a, b *placement) int { return a.expectedEnd(now, rate).Compare(b.expectedEnd(now, rate)) })
	used := e.reserved + e.estimateExternalTokens(now) + pending.size()
	limit := maxUtilization * tokens(p.profile.KVCacheCapacity)
	at := now
	for i, pl := range running {
		if used <= limit && len(running)-i < max(1, e.entry.Slots) {
			break
		}
		used -= pl.finalMemory()
		at = pl.expectedEnd(now, rate)
	}
	return at
}

// isReserved reports whether an engine is kept for a request that comes earlier in the
// queue and would be delayed by the given one.
func (p *Pool) isReserved(e *engine, c *choice) bool {
	if e.reservedIn != p.passes || c.pending.reserved == e {
		return false
	}
	end := c.now.Add(transferTime + duration(tokens(c.pending.request.PromptTokens)/p.meanPrefillRate()+c.pending.expectedOutput/p.decodeRateOf(e, c.now)))
	return end.After(e.reservedFrom)
}

// decodeCapacity returns the memory of all decode engines that may be used.
func (p *Pool) decodeCapacity() float64 {
	return float64(len(p.byRole[parser.RoleDecode])) * maxUtilization * tokens(p.profile.KVCacheCapacity)
}
