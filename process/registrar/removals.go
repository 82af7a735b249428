package registrar

import (
	"math"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	// recoveryGrace is how long after an outage an upstream that is missing from
	// the list stays in use. Upstreams whose entries expired during the outage
	// register again within that time.
	recoveryGrace = 2 * time.Second
	// maxRemoved is how many removed upstreams are remembered for updates to
	// other daemons. It exceeds the number of upstreams of a large fleet, so that their
	// replacement in a short time does not lead to whole lists for all daemons.
	maxRemoved = 4096
	// lateRemovalRelay is how long every update holds a removal that was deferred. The
	// daemons defer it at different times, and may have read on behind it meanwhile.
	lateRemovalRelay = 20 * time.Second
)

// deferredRemoval is a removal as of a position that takes effect after until.
type deferredRemoval struct {
	position identifier.Position
	until    time.Time
}

// removal is a removal as of a position, which was recorded at a time. Every update holds it
// until relayedUntil.
type removal struct {
	position     identifier.Position
	at           time.Time
	relayedUntil time.Time
}

// removeOthersAt removes the upstreams with an older entry at the address of an entry. The
// caller holds the lock.
func (r *Registrar) removeOthersAt(entry Entry) {
	for _, name := range slices.Clone(r.namesAt[entry.Address]) {
		other := r.entries[name]
		// A record of an upstream that has left may be carried out late.
		isLater := other.hasProcess() && other.StartedAt.After(entry.StartedAt)
		if name != entry.Name && other.Position < entry.Position && !isLater {
			r.remove(name, removal{position: entry.Position})
		}
	}
}

// removeOrDefer removes an upstream as of a position. It ignores a removal older than the
// known entry. Right after an outage a ready upstream stays in use until
// recoveryGrace ends, as its entry may have expired only because of the outage. The
// caller holds the lock.
func (r *Registrar) removeOrDefer(name identifier.UpstreamName, position identifier.Position) {
	late, isWithheld := r.withheld[name]
	if isWithheld && late.entry.Position <= position {
		delete(r.withheld, name)
	}
	entry, known := r.entries[name]
	if !known || entry.Position > position {
		return
	}
	now := r.clock.Now()
	sinceRecovery := now.Sub(r.recoveredAt)
	if entry.State == StateReady && !r.recoveredAt.IsZero() && sinceRecovery < recoveryGrace {
		_, isDeferred := r.deferredRemovals[name]
		if !isDeferred {
			r.deferredRemovals[name] = deferredRemoval{position: position, until: r.recoveredAt.Add(recoveryGrace)}
			r.OnDefer(name, recoveryGrace-sinceRecovery)
		}
		return
	}
	r.remove(name, removal{position: position})
}

// remove removes an upstream and remembers that for updates. The caller holds the lock.
func (r *Registrar) remove(name identifier.UpstreamName, removed removal) {
	r.forgetAddress(r.entries[name])
	r.ready = nil
	delete(r.entries, name)
	delete(r.deferredRemovals, name)
	delete(r.changePositions, name)
	removed.at = r.clock.Now()
	r.removals[name] = removed
	r.newestRemoval = max(r.newestRemoval, removed.position)
	if removed.relayedUntil.After(r.relayRemovalsUntil) {
		r.relayRemovalsUntil = removed.relayedUntil
	}
	r.evictOldestRemoval()
	r.OnChange()
}

// evictOldestRemoval forgets the oldest removal if more than maxRemoved are
// remembered. Updates since that position or an earlier one are snapshots from then
// on.
func (r *Registrar) evictOldestRemoval() {
	if len(r.removals) <= maxRemoved {
		return
	}
	oldest := identifier.Position(math.MaxInt64)
	var name identifier.UpstreamName
	for candidate, removed := range r.removals {
		if removed.position < oldest {
			oldest = removed.position
			name = candidate
		}
	}
	delete(r.removals, name)
	r.forgetHeard(name)
	r.deltaStart = max(r.deltaStart, oldest+1)
}

// retain removes all upstreams but the given ones, after a complete read. The caller
// holds the lock.
func (r *Registrar) retain(names map[identifier.UpstreamName]bool, position identifier.Position) {
	for name := range r.entries {
		if !names[name] {
			r.removeOrDefer(name, position)
		}
	}
}
