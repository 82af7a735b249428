package admitter

import (
	"cmp"
	"math"
	"net/http"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/ejector"
)

const (
	// zoneCost is the cost of a server in another zone. It equals one running request of
	// a server with 6 slots and a service time of 60 ms, as request/ejector assumes.
	zoneCost = runningCost
	// runningCost is the time that one running request of a server stands for.
	runningCost = 10 * time.Millisecond
	// oldestEvery is how many admissions there are per one that goes to a request which
	// the order leaves behind, so that none starves.
	oldestEvery = 8
	// startMargin is the time before its objective, in mean service times, at which a
	// request must start to count as one that can still meet it. With 1, the requests at
	// the brink were served first and most of them were late.
	startMargin = 1.6
	// fairnessStep is how many recent admissions one workspace must have had more than
	// another to come behind it although its request is more urgent.
	fairnessStep = 3
	// maxWaiting is the number of requests that may wait for one service.
	maxWaiting = 4096
	// checkInterval is how often waiting requests are checked for their deadlines.
	checkInterval = 25 * time.Millisecond
	// callerTimeout is the silence after which a caller's requests do not wait any more.
	// By then it has chosen servers by itself.
	callerTimeout = 400 * time.Millisecond
	// contentionWait is the wait from which on a request counts as delayed.
	contentionWait = 10 * time.Millisecond
	// The Retry-After time of a refusal is within these bounds.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// DefaultZoneCost returns the cost that request/ejector assumes, whatever the zones.
func DefaultZoneCost(from, to identifier.ZoneName) time.Duration {
	if from == to {
		return 0
	}
	return zoneCost
}

// Process admits and refuses waiting requests and returns the number of those that
// still wait.
func (p *Pool) Process(now time.Time) (waiting int) {
	p.updateServers(now)
	p.decayUsage(now)
	p.dropSilent(now)
	usable := p.usableServers()
	if len(usable) == 0 {
		p.declineAll(now)
		return 0
	}
	serviceTime := p.serviceTime(now)
	p.admitWaiting(usable, serviceTime, now)
	if len(p.waiting) > 0 {
		c := p.capacityOf(usable, now)
		if now.Sub(p.checkedAt) >= checkInterval || p.hasUnservableArrival(c, now) {
			p.checkedAt = now
			p.refuseUnservable(c, serviceTime, now)
		}
	}
	return len(p.waiting)
}

// capacity is what the usable servers can do.
type capacity struct {
	// rate is the number of requests that they can serve per second, and fastest the
	// service time of the fastest one.
	rate    float64
	fastest time.Duration
}

func (p *Pool) capacityOf(usable []*server, now time.Time) (c capacity) {
	fastest := math.Inf(1)
	for _, s := range usable {
		took := p.timeOf(s, now)
		c.rate += float64(max(1, s.entry.Slots)) * s.limitFactor / took
		fastest = min(fastest, took)
	}
	c.fastest = time.Duration(fastest * float64(time.Second))
	return c
}

// wait returns how long a request behind the given number of others waits.
func (c capacity) wait(ahead int) time.Duration {
	return time.Duration(float64(ahead+1) / c.rate * float64(time.Second))
}

// hasUnservableArrival reports whether a request that has just arrived may not be served
// in time.
func (p *Pool) hasUnservableArrival(c capacity, now time.Time) bool {
	longest := c.wait(len(p.waiting)) + c.fastest
	return slices.ContainsFunc(p.waiting, func(w *waitingItem) bool {
		return w.arrivedAt.Equal(now) && w.deadlineAt.Sub(now) < longest
	})
}

// usableServers returns the listed servers that are not ejected, or all listed ones if
// there are no others.
func (p *Pool) usableServers() (usable []*server) {
	var ejected []*server
	for _, entry := range p.entries {
		s := p.servers[entry.Name]
		if p.ejector.IsEjected(entry.Name) {
			ejected = append(ejected, s)
		} else {
			usable = append(usable, s)
		}
	}
	if len(usable) == 0 {
		return ejected
	}
	return usable
}

// admitWaiting admits requests in their order as long as servers are expected to have
// free slots.
func (p *Pool) admitWaiting(usable []*server, serviceTime float64, now time.Time) {
	var skipped []*waitingItem
	for len(p.waiting) > 0 && slices.ContainsFunc(usable, hasRoom) {
		i := p.next(serviceTime, now)
		w := p.waiting[i]
		p.waiting = slices.Delete(p.waiting, i, i+1)
		s := p.bestServer(usable, w, now)
		if s == nil {
			skipped = append(skipped, w)
			continue
		}
		p.admit(w, s, now)
		if p.ejector.IsEjected(s.entry.Name) {
			// The request is the probe of a server whose ejection is over.
			usable = p.usableServers()
		}
	}
	p.waiting = append(p.waiting, skipped...)
}

func hasRoom(s *server) bool { return s.occupancy+1 <= s.limit() }

// next returns the index of the request to admit next: the first in the order, or from
// time to time the oldest one that has waited for half of its time.
func (p *Pool) next(serviceTime float64, now time.Time) (index int) {
	inOrder := p.order(serviceTime, now)
	oldest := -1
	for i, w := range p.waiting {
		if inOrder(w, p.waiting[index]) < 0 {
			index = i
		}
		isStarving := now.Sub(w.arrivedAt) > w.deadlineAt.Sub(now)
		if isStarving && (oldest < 0 || w.arrivedAt.Before(p.waiting[oldest].arrivedAt)) {
			oldest = i
		}
	}
	if oldest >= 0 && p.admitted%oldestEvery == oldestEvery-1 {
		return oldest
	}
	return index
}

// order returns the comparison of waiting requests: those that can still meet their
// objective come first, then the more urgent priority, then the workspace with fewer
// recent admissions, then the earlier objective.
func (p *Pool) order(serviceTime float64, now time.Time) func(a, b *waitingItem) int {
	latestStart := now.Add(time.Duration(startMargin * serviceTime * float64(time.Second)))
	isLate := func(w *waitingItem) int {
		if w.objectiveAt.Before(latestStart) {
			return 1
		}
		return 0
	}
	return func(a, b *waitingItem) int {
		return cmp.Or(
			cmp.Compare(isLate(a), isLate(b)),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(math.Floor(p.usage[a.Workspace]/fairnessStep), math.Floor(p.usage[b.Workspace]/fairnessStep)),
			a.objectiveAt.Compare(b.objectiveAt),
			a.arrivedAt.Compare(b.arrivedAt),
		)
	}
}

// bestServer returns the server with room that costs a request least, or nil.
func (p *Pool) bestServer(usable []*server, w *waitingItem, now time.Time) (best *server) {
	lowest := math.Inf(1)
	for _, s := range usable {
		if !hasRoom(s) || slices.Contains(w.Avoid, s.entry.Name) {
			continue
		}
		cost := s.occupancy + p.ejector.Penalty(s.entry)
		cost += float64(p.ZoneCost(w.zone, s.entry.Zone)) / float64(runningCost)
		cost *= p.timeOf(s, now) / s.limit()
		if cost < lowest {
			best, lowest = s, cost
		}
	}
	return best
}

// admit assigns a server to a request.
func (p *Pool) admit(w *waitingItem, s *server, now time.Time) {
	stretch := max(1, (s.occupancy+1)/float64(max(1, s.entry.Slots)))
	p.grants[w.key] = &grant{server: s, startedAt: now, stretch: stretch, knownAt: now, end: p.ejector.Begin(s.entry.Name, p.entries)}
	s.occupancy++
	p.usage[w.Workspace]++
	p.admitted++
	p.decide(w, Decision{Upstream: s.entry.Name}, now)
}

func (p *Pool) decide(w *waitingItem, decision Decision, now time.Time) {
	decision.Number = w.Number
	decision.Waited = now.Sub(w.arrivedAt)
	if decision.Waited >= contentionWait || decision.Refusal != nil {
		p.contendedAt = now
	}
	c := p.callers[w.caller]
	c.decisions = append(c.decisions, decision)
}

// TakeDecisions returns the decisions for a caller that have not been returned yet.
func (p *Pool) TakeDecisions(from identifier.Incarnation) (decisions []Decision) {
	c, ok := p.callers[from]
	if !ok {
		return nil
	}
	decisions, c.decisions = c.decisions, nil
	return decisions
}

// HasDecisions reports whether TakeDecisions would return any.
func (p *Pool) HasDecisions(from identifier.Incarnation) bool {
	c, ok := p.callers[from]
	return ok && len(c.decisions) > 0
}

// Waiting returns the number of requests that wait.
func (p *Pool) Waiting() int { return len(p.waiting) }

// TakeChanges returns the changes of assumed capacities since the last call.
func (p *Pool) TakeChanges() (changes []LimitChange) {
	changes, p.changes = p.changes, nil
	return changes
}

// IsContended reports whether a request had to wait, or was rejected or refused, within
// the given time.
func (p *Pool) IsContended(within time.Duration, now time.Time) bool {
	return !p.contendedAt.IsZero() && now.Sub(p.contendedAt) < within
}

// declineAll lets the callers choose servers, as this daemon knows none.
func (p *Pool) declineAll(now time.Time) {
	for _, w := range p.waiting {
		p.decide(w, Decision{}, now)
	}
	p.waiting = nil
}

// refuseUnservable refuses the requests that no server can serve before their deadlines,
// with the time at which one can, and those beyond maxWaiting.
func (p *Pool) refuseUnservable(c capacity, serviceTime float64, now time.Time) {
	slices.SortFunc(p.waiting, p.order(serviceTime, now))
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		wait := c.wait(len(kept))
		left := w.deadlineAt.Sub(now)
		if wait+c.fastest <= left && len(kept) < maxWaiting {
			kept = append(kept, w)
			continue
		}
		refusal := refuser.New(http.StatusServiceUnavailable, refuser.QueueFull, "no server is free within the %d ms that are left", left.Milliseconds()).
			WithRetryAfter(p.bookReturn(c, wait, now))
		p.decide(w, Decision{Refusal: refusal}, now)
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// bookReturn returns when a refused caller should come back: after the given wait and
// after those refused before it, so that they do not come back together.
func (p *Pool) bookReturn(c capacity, wait time.Duration, now time.Time) time.Duration {
	returnAt := now.Add(wait)
	if returnAt.Before(p.nextReturn) {
		returnAt = p.nextReturn
	}
	p.nextReturn = returnAt.Add(c.wait(0))
	latest := now.Add(maxRetryAfter)
	if p.nextReturn.After(latest) {
		p.nextReturn = latest
	}
	return min(max(returnAt.Sub(now), minRetryAfter), maxRetryAfter)
}

// dropSilent forgets the callers that are silent for callerTimeout, and the requests for
// which they wait. Servers that were assigned without their knowledge become free.
func (p *Pool) dropSilent(now time.Time) {
	isSilent := func(name identifier.Incarnation) bool {
		return now.Sub(p.callers[name].heardAt) > callerTimeout
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waitingItem) bool { return isSilent(w.caller) })
	for name, c := range p.callers {
		if !isSilent(name) {
			continue
		}
		for _, decision := range c.decisions {
			p.endGrant(key{name, decision.Number}, ejector.Abandoned)
		}
		delete(p.callers, name)
	}
}

// decayUsage lets recent admissions lose weight, and forgets workspaces without any.
func (p *Pool) decayUsage(now time.Time) {
	factor := math.Exp2(-now.Sub(p.usageAt).Seconds() / fairnessHalfLife.Seconds())
	p.usageAt = now
	for name := range p.usage {
		p.usage[name] *= factor
		if p.usage[name] < 0.01 {
			delete(p.usage, name)
		}
	}
}
