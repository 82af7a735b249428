package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	// prioritySlack is the slack that one level of priority is worth. A request goes
	// before one that is two levels more urgent only if that has 600 ms more slack, and
	// so can still be on time after it.
	prioritySlack = 300 * time.Millisecond
	// unfairSlack is the slack that a workspace loses which has been served twice its
	// fair share of tokens or more.
	unfairSlack = time.Second
	// lateness orders the requests that cannot be on time behind all others.
	lateness = time.Hour
	// turnsPerOverdue is the number of placements while others wait after which the
	// request that has used most of its maximum wait goes first, whatever its class, size and
	// workspace.
	turnsPerOverdue = 16
	// serviceHalfLife is the time in which the service that a workspace received is half
	// forgotten.
	serviceHalfLife = 4 * time.Second
	decayInterval   = 250 * time.Millisecond
	// minService is the service in tokens below which a workspace is forgotten.
	minService = 100.0
)

// fairness holds the tokens that were placed for each workspace lately.
type fairness struct {
	served    map[identifier.WorkspaceName]float64
	total     float64
	decayedAt time.Time
}

// decay lowers the service of all workspaces to its weight at the given time.
func (f *fairness) decay(now time.Time) {
	if now.Sub(f.decayedAt) < decayInterval {
		return
	}
	elapsed := now.Sub(f.decayedAt)
	f.decayedAt = now
	f.total = 0
	for workspace, served := range f.served {
		served *= math.Exp2(-float64(elapsed) / float64(serviceHalfLife))
		f.served[workspace] = served
		if served < minService {
			delete(f.served, workspace)
			continue
		}
		f.total += served
	}
}

func (f *fairness) add(workspace identifier.WorkspaceName, served float64) {
	f.served[workspace] += served
	f.total += served
}

// excess returns how far a workspace was served beyond its fair share: 0 for its share or
// less, 1 for twice its share or more. Daemons of the previous build do not send the
// workspace; their requests are not held against any.
func (f *fairness) excess(workspace identifier.WorkspaceName, workspaces int) float64 {
	if workspaces < 2 || f.total <= 0 || workspace == "" {
		return 0
	}
	return min(max(f.served[workspace]*float64(workspaces)/f.total-1, 0), 1)
}

// sortByUrgency orders the queue by slack, priority and fairness between workspaces.
// Requests that can still be on time come first.
func (p *Pool) sortByUrgency(now time.Time) {
	if len(p.queue) < 2 {
		return
	}
	p.fairness.decay(now)
	workspaces := make(map[identifier.WorkspaceName]bool, len(p.fairness.served))
	for workspace := range p.fairness.served {
		workspaces[workspace] = true
	}
	for _, pending := range p.queue {
		workspaces[pending.request.Workspace] = true
	}
	for _, pending := range p.queue {
		pending.urgency = pending.urgencyAt(now, p.fairness.excess(pending.request.Workspace, len(workspaces)))
	}
	p.chooseOverdue(now)
	slices.SortStableFunc(p.queue, func(a, b *PendingRequest) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), a.queuedAt.Compare(b.queuedAt))
	})
}

func (r *PendingRequest) urgencyAt(now time.Time, excess float64) time.Duration {
	urgency := time.Duration(r.request.Priority)*prioritySlack + time.Duration(excess*float64(unfairSlack))
	slack := r.latestStart.Sub(now)
	switch {
	case r.isOverdue:
		return -lateness
	case slack < 0:
		return urgency + lateness - now.Sub(r.queuedAt)
	}
	return urgency + slack
}

// chooseOverdue lets the request go first that has used most of its maximum wait, once after
// turnsPerOverdue placements while others wait.
func (p *Pool) chooseOverdue(now time.Time) {
	if p.turns < turnsPerOverdue {
		return
	}
	var chosen *PendingRequest
	most := 0.0
	for _, pending := range p.queue {
		used := now.Sub(pending.queuedAt).Seconds() / max(time.Millisecond, pending.request.MaxWait).Seconds()
		if chosen == nil || used > most {
			chosen, most = pending, used
		}
	}
	p.turns = 0
	chosen.isOverdue = true
	chosen.urgency = -lateness
}
