package replicator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/messenger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
)

const (
	// ResumeGrace is how long the callers of a daemon that is gone may take to
	// resume their streams elsewhere before its attempts are cancelled.
	ResumeGrace        = 4 * time.Second
	orphanScanInterval = 250 * time.Millisecond
	// resumedRetention is how long an attempt is remembered as resumed.
	resumedRetention = 30 * time.Second
)

// Replica holds the attempts that other daemons replicate to this one, and cancels
// the attempts of daemons that are gone.
type Replica struct {
	// IsGone reports whether a daemon is proven gone.
	IsGone func(member epochtracker.Member) bool
	// FindMember returns the VM and the address of a daemon, if it is known.
	FindMember func(identifier.Incarnation) (epochtracker.Member, bool)
	// Cancel cancels an attempt at an engine.
	Cancel func(address identifier.Address, attempt identifier.AttemptID)

	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter

	mu      sync.Mutex
	owners  map[identifier.Incarnation]*ownedAttempts
	resumed map[identifier.AttemptID]time.Time
}

// ownedAttempts holds the attempts that one daemon replicated to this one.
type ownedAttempts struct {
	// member is zero while the daemon's VM is unknown.
	member   epochtracker.Member
	attempts map[identifier.AttemptID][]messenger.Attempt
	// goneSince is when the daemon was first found gone, or zero.
	goneSince time.Time
}

// NewReplica returns a replica without attempts.
func NewReplica() *Replica {
	return &Replica{
		owners:  make(map[identifier.Incarnation]*ownedAttempts),
		resumed: make(map[identifier.AttemptID]time.Time),
	}
}

// HandleJournal applies a batch of changes to another daemon's attempts. A snapshot
// replaces the earlier batches.
func (r *Replica) HandleJournal(batch messenger.JournalUpdate) {
	member, _ := r.FindMember(batch.Incarnation)
	r.mu.Lock()
	defer r.mu.Unlock()
	owned, ok := r.owners[batch.Incarnation]
	if !ok || batch.IsSnapshot {
		owned = &ownedAttempts{attempts: make(map[identifier.AttemptID][]messenger.Attempt)}
		r.owners[batch.Incarnation] = owned
	}
	if member.Incarnation != "" {
		owned.member = member
	}
	for _, attempt := range batch.Started {
		owned.attempts[attempt.ID] = append(owned.attempts[attempt.ID], attempt)
	}
	for _, attempt := range batch.Ended {
		delete(owned.attempts, attempt)
	}
}

// MarkResumed records attempts whose callers resumed them at another daemon. They
// are not cancelled.
func (r *Replica) MarkResumed(attempts []identifier.AttemptID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for _, attempt := range attempts {
		r.resumed[attempt] = now
	}
}

// Owners returns the daemons whose attempts this replica holds, as far as their VM
// is known.
func (r *Replica) Owners() []epochtracker.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var members []epochtracker.Member
	for _, owned := range r.owners {
		if owned.member.Incarnation != "" {
			members = append(members, owned.member)
		}
	}
	return members
}

// Run cancels orphaned attempts until the context ends.
func (r *Replica) Run(ctx context.Context) error {
	return repeater.Every(ctx, r.Clock, orphanScanInterval, func() {
		for _, attempt := range r.TakeOrphans() {
			r.Meter.CountEvent(meter.EventOrphanCancelled)
			r.Cancel(attempt.Address, attempt.ID)
		}
	})
}

// TakeOrphans removes the attempts of daemons that have been proven gone for
// ResumeGrace, and returns those that no caller resumed.
func (r *Replica) TakeOrphans() []messenger.Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	var orphans []messenger.Attempt
	for incarnation, owned := range r.owners {
		if owned.member.Incarnation == "" {
			owned.member, _ = r.FindMember(incarnation)
		}
		if !r.isPastGrace(owned, now) {
			continue
		}
		for id, attempts := range owned.attempts {
			_, resumed := r.resumed[id]
			if !resumed {
				orphans = append(orphans, attempts...)
			}
		}
		r.Log.Info("A daemon is gone; its attempts are cancelled.", "vm", owned.member.VM, "attempts", len(orphans))
		delete(r.owners, incarnation)
	}
	r.expireResumed(now)
	return orphans
}

func (r *Replica) isPastGrace(owned *ownedAttempts, now time.Time) bool {
	if owned.member.Incarnation == "" {
		return false
	}
	if !r.IsGone(owned.member) {
		owned.goneSince = time.Time{}
		return false
	}
	if owned.goneSince.IsZero() {
		owned.goneSince = now
	}
	return now.Sub(owned.goneSince) >= ResumeGrace
}

func (r *Replica) expireResumed(now time.Time) {
	for attempt, at := range r.resumed {
		if now.Sub(at) > resumedRetention {
			delete(r.resumed, attempt)
		}
	}
}
