package registrar

import (
	"maps"
	"slices"
	"strings"

	"sassafraspass.dev/sassafraspass/identifier"
)

// changedSince returns the entries that changed at a position or later, or all of them. It
// looks at the entries only if one may have changed, as each heartbeat asks for the
// changes. The caller holds the lock.
func (r *Registrar) changedSince(from identifier.Position, isSnapshot bool) (changed []Entry) {
	if isSnapshot {
		return slices.Collect(maps.Values(r.entries))
	}
	if r.newestChange < from {
		return nil
	}
	for name, entry := range r.entries {
		if r.changePositions[name] >= from {
			changed = append(changed, entry)
		}
	}
	return changed
}

// removedSince returns the removals at a position or later and those that every update
// holds. The caller holds the lock.
func (r *Registrar) removedSince(from identifier.Position) (removed []Removal) {
	now := r.clock.Now()
	if r.newestRemoval < from && !now.Before(r.relayRemovalsUntil) {
		return nil
	}
	for name, candidate := range r.removals {
		if candidate.position >= from || now.Before(candidate.relayedUntil) {
			removed = append(removed, Removal{Name: name, Position: candidate.position})
		}
	}
	return removed
}

// NeedsSnapshot reports whether UpdateSince would return a snapshot.
func (r *Registrar) NeedsSnapshot(from identifier.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isComplete && r.nextPosition >= from && r.isSnapshotDue(from)
}

// isSnapshotDue reports whether the changes since a position are not known. The caller holds
// the lock.
func (r *Registrar) isSnapshotDue(from identifier.Position) bool {
	return from < r.deltaStart || r.gapStart < from && from < r.gapEnd
}

// Count returns the number of upstreams.
func (r *Registrar) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// IsReady reports whether an upstream still takes new work, under its name and at its
// address.
func (r *Registrar) IsReady(upstream Entry) bool {
	ready := r.Ready(upstream.Service)
	index, ok := slices.BinarySearchFunc(ready, upstream.Name, func(e Entry, name identifier.UpstreamName) int {
		return strings.Compare(string(e.Name), string(name))
	})
	return ok && ready[index].Address == upstream.Address
}

// forgetAddress removes an entry from namesAt. The caller holds the lock.
func (r *Registrar) forgetAddress(entry Entry) {
	others := slices.DeleteFunc(r.namesAt[entry.Address], func(name identifier.UpstreamName) bool { return name == entry.Name })
	if len(others) == 0 {
		delete(r.namesAt, entry.Address)
		return
	}
	r.namesAt[entry.Address] = others
}

// refreshReady computes the lists that Ready returns. The caller holds the lock.
func (r *Registrar) refreshReady() {
	r.releaseWithheld()
	now := r.clock.Now()
	ready := make(map[identifier.ServiceName][]Entry)
	for name, entry := range r.entries {
		deferred, isDeferred := r.deferredRemovals[name]
		if isDeferred && now.After(deferred.until) {
			r.remove(name, removal{position: deferred.position, relayedUntil: now.Add(lateRemovalRelay)})
			continue
		}
		stalePosition, isStale := r.staleEntries[name]
		if entry.State != StateReady || (isStale && entry.Position <= stalePosition) {
			continue
		}
		ready[entry.Service] = append(ready[entry.Service], entry)
	}
	for _, list := range ready {
		slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(string(a.Name), string(b.Name)) })
	}
	r.ready = ready
}
