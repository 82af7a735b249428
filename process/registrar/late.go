package registrar

import (
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	// lateDrainHold is how long after the last draining record of a process a ready record
	// of it is taken for one that was written before and carried out late. A process that
	// drains never becomes ready again. It covers the time for which upstreams usually go on,
	// as daemons that are told by others hear only of the first draining record.
	lateDrainHold = 30 * time.Second
	// lateWriteHold is the same after the last record of a later process with the name, and
	// after the removal of the process. It exceeds the time after which a write is still
	// carried out.
	lateWriteHold = 10 * time.Second
)

// heardRecord is the newest record of an upstream's process.
type heardRecord struct {
	startedAt time.Time
	// sequence is the process's number of the record, zero if unknown.
	sequence int64
	at       time.Time
}

// withheldEntry is an entry that seems to have been written before the known one. It
// replaces that if nothing else is heard of the upstream.
type withheldEntry struct {
	entry Entry
	until time.Time
}

// hasProcess reports whether it is known when the entry's process started.
func (e Entry) hasProcess() bool { return e.StartedAt.UnixMilli() > 0 }

// lateUntil returns until when a record counts as one that was carried out late. The zero
// time means that it does not. The store keeps the order in which it carried the writes
// out, not that in which they were written. The caller holds the lock.
func (r *Registrar) lateUntil(entry Entry) time.Time {
	heard, ok := r.heard[entry.Name]
	if !ok || !entry.hasProcess() {
		return time.Time{}
	}
	old, known := r.entries[entry.Name]
	switch {
	case entry.StartedAt.Before(heard.startedAt):
		return heard.at.Add(lateWriteHold)
	case !entry.StartedAt.Equal(heard.startedAt):
		return time.Time{}
	case known && old.State == StateDraining && entry.State == StateReady:
		return heard.at.Add(lateDrainHold)
	case !known && entry.Sequence > 0 && entry.Sequence <= heard.sequence:
		return heard.at.Add(lateWriteHold)
	case !known && entry.Sequence > 0 && heard.sequence == 0 && r.isOfOlderCopy(entry):
		return r.removals[entry.Name].at.Add(lateWriteHold)
	}
	return time.Time{}
}

// isOfOlderCopy reports whether a record of a removed process may only be back because the
// log came back from an older copy. Its next record shows that the process lives. The caller
// holds the lock.
func (r *Registrar) isOfOlderCopy(entry Entry) bool {
	removed, isRemoved := r.removals[entry.Name]
	late, isWithheld := r.withheld[entry.Name]
	isNext := isWithheld && late.entry.Sequence < entry.Sequence
	return isRemoved && removed.position.Era() < entry.Position.Era() && !isNext
}

// withhold keeps a record back that was carried out late, and reports whether it did. The
// caller holds the lock.
func (r *Registrar) withhold(entry Entry) bool {
	until := r.lateUntil(entry)
	now := r.clock.Now()
	if !now.Before(until) {
		return false
	}
	r.OnLate(entry, until.Sub(now))
	if len(r.withheld) == 0 {
		r.nextRelease = until
	}
	r.nextRelease = minTime(r.nextRelease, until)
	r.withheld[entry.Name] = withheldEntry{entry: entry, until: until}
	return true
}

// isMissedDraining reports whether a record that is older than the known one says that the
// same process drains. A daemon that has just started may have read only a ready record
// that was carried out late.
func isMissedDraining(entry, known Entry) bool {
	return entry.hasProcess() && entry.StartedAt.Equal(known.StartedAt) && entry.State == StateDraining && known.State == StateReady
}

func (r *Registrar) isReleaseDue() bool {
	return len(r.withheld) > 0 && !r.clock.Now().Before(r.nextRelease)
}

// releaseWithheld uses the entries that were withheld for long enough. The caller holds the
// lock.
func (r *Registrar) releaseWithheld() {
	if !r.isReleaseDue() {
		return
	}
	now := r.clock.Now()
	r.nextRelease = now.Add(lateDrainHold)
	for name, late := range r.withheld {
		if now.Before(late.until) {
			r.nextRelease = minTime(r.nextRelease, late.until)
			continue
		}
		delete(r.withheld, name)
		removed, isRemoved := r.removals[name]
		if !isRemoved || removed.position < late.entry.Position {
			r.accept(late.entry)
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// recordHeard remembers the newest record of an upstream's process. The caller holds the
// lock.
func (r *Registrar) recordHeard(entry Entry) {
	heard := r.heard[entry.Name]
	if !heard.startedAt.Equal(entry.StartedAt) {
		heard = heardRecord{startedAt: entry.StartedAt}
	}
	heard.sequence = max(heard.sequence, entry.Sequence)
	heard.at = r.clock.Now()
	r.heard[entry.Name] = heard
	delete(r.withheld, entry.Name)
}

// forgetHeard forgets the process of an upstream that was removed long ago, with the memory
// of its removal.
func (r *Registrar) forgetHeard(name identifier.UpstreamName) {
	delete(r.heard, name)
	delete(r.withheld, name)
}
