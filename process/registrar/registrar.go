// Package registrar keeps the list of upstreams that register themselves in the
// platform's record store. An upstream can register, drain, deregister, let its
// entry expire, or be replaced by another one at the same address.
package registrar

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	// outageMargin is how much longer than maxReadGap the list must have gone unread, and
	// how much longer than ReadWait a read must have taken, to count as an outage of the
	// store, after which removals are deferred.
	outageMargin = 500 * time.Millisecond
)

// Registrar holds the newest entry of each upstream.
type Registrar struct {
	// OnChange is called when an upstream is added, changed or removed. The
	// registrar's lock is held during the call.
	OnChange func()
	// OnLate is called with a record that was carried out late, and how long it is withheld.
	// The registrar's lock is held during the call.
	OnLate func(entry Entry, hold time.Duration)
	// OnDefer is called with an upstream whose removal is deferred, and for how long. The
	// registrar's lock is held during the call.
	OnDefer func(name identifier.UpstreamName, hold time.Duration)

	clock clockwork.Clock

	mu      sync.Mutex
	entries map[identifier.UpstreamName]Entry
	// namesAt holds the names of the entries with each address. Without it, each record
	// of a list of 3,000 upstreams would have to be compared with all entries.
	namesAt map[identifier.Address][]identifier.UpstreamName
	// ready caches the lists that Ready returns, as each request needs one. It is nil if
	// an entry has changed since.
	ready map[identifier.ServiceName][]Entry
	// staleEntries maps upstreams at whose address another upstream responded to
	// the position of the stale entry. An entry with a higher position is used again.
	staleEntries map[identifier.UpstreamName]identifier.Position
	// deferredRemovals holds the upstreams that were removed from the list just after
	// an outage and stay in use for a while.
	deferredRemovals map[identifier.UpstreamName]deferredRemoval
	// changePositions holds the position of the last record that changed an entry in
	// more than its position, or that brought it back during a deferred removal.
	changePositions map[identifier.UpstreamName]identifier.Position
	// newestChange is the highest position that was ever in changePositions.
	newestChange identifier.Position
	removals     map[identifier.UpstreamName]removal
	// heard holds the newest record of each upstream, also of those in removals, and
	// withheld the records that seem to be older than it.
	heard    map[identifier.UpstreamName]heardRecord
	withheld map[identifier.UpstreamName]withheldEntry
	// nextRelease is when the first of them is used, or earlier.
	nextRelease time.Time
	// newestRemoval and relayRemovalsUntil are the highest position and relayedUntil that
	// were ever in removals.
	newestRemoval      identifier.Position
	relayRemovalsUntil time.Time
	// nextPosition is the position after the last record that was read. Updates since
	// deltaStart or a later position can list the changes alone; earlier ones need
	// a snapshot.
	nextPosition identifier.Position
	deltaStart   identifier.Position
	// gapStart and gapEnd are where the last era that this daemon knew ended for it, and where
	// it went on in the next one. Only updates since a position between them need a snapshot:
	// their receiver knows records that were lost and that this daemon has not read.
	gapStart identifier.Position
	gapEnd   identifier.Position
	// readAt is when the list was last read, here or by the daemon that sent an
	// update.
	readAt time.Time
	// isOutageSuspected is set if a read failed since readAt, here or at the daemon that
	// sent an update. A long time without a read is no outage alone: this daemon may have
	// relied on the others, or may have been paused.
	isOutageSuspected bool
	// recoveredAt is when the list was first read again after the last outage.
	recoveredAt time.Time
	// isComplete is true once the whole list has been read, which was at completeSince.
	isComplete    bool
	completeSince time.Time
}

// New returns a registrar without upstreams.
func New(clock clockwork.Clock) *Registrar {
	return &Registrar{
		OnChange:         func() {},
		OnLate:           func(Entry, time.Duration) {},
		OnDefer:          func(identifier.UpstreamName, time.Duration) {},
		clock:            clock,
		entries:          make(map[identifier.UpstreamName]Entry),
		namesAt:          make(map[identifier.Address][]identifier.UpstreamName),
		staleEntries:     make(map[identifier.UpstreamName]identifier.Position),
		deferredRemovals: make(map[identifier.UpstreamName]deferredRemoval),
		changePositions:  make(map[identifier.UpstreamName]identifier.Position),
		removals:         make(map[identifier.UpstreamName]removal),
		heard:            make(map[identifier.UpstreamName]heardRecord),
		withheld:         make(map[identifier.UpstreamName]withheldEntry),
		nextPosition:     identifier.NoPosition,
		deltaStart:       identifier.NoPosition,
		newestChange:     identifier.NoPosition,
		newestRemoval:    identifier.NoPosition,
	}
}

// NextPosition returns the position after the last record that was read, or NoPosition
// before the list was read completely.
func (r *Registrar) NextPosition() identifier.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isComplete {
		return identifier.NoPosition
	}
	return r.nextPosition
}

// Update brings a list up to NextPosition, with the changes or with a snapshot. The tags
// keep the names that a gateway's /v1/status reports.
type Update struct {
	NextPosition identifier.Position `json:"Upto"`
	// Age is the time since the list was read.
	Age time.Duration
	// IsSnapshot says that Entries holds the complete list.
	IsSnapshot bool `json:"Whole"`
	Entries    []Entry
	Removed    []Removal `json:"Gone"`
}

// Removal is the removal of an upstream as of a position.
type Removal struct {
	Name     identifier.UpstreamName
	Position identifier.Position
}

// UpdateSince returns the changes from a position on, or a snapshot if they are no
// longer known. It returns nil if this daemon has not read the list completely, or
// not up to that position.
func (r *Registrar) UpdateSince(from identifier.Position) *Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isComplete || r.nextPosition < from {
		return nil
	}
	update := &Update{NextPosition: r.nextPosition, Age: r.clock.Since(r.readAt), IsSnapshot: r.isSnapshotDue(from)}
	update.Entries = r.changedSince(from, update.IsSnapshot)
	for i := range update.Entries {
		entry := &update.Entries[i]
		entry.ColdLeft = max(0, entry.ColdUntil.Sub(r.clock.Now()))
		entry.ColdUntil = time.Time{}
	}
	update.Removed = r.removedSince(from)
	return update
}

// Apply applies what was read from the store, or an update from another daemon. The
// changes and the position that stands for them become visible together.
func (r *Registrar) Apply(update Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.detectRecovery(update.Age, now)
	isLaterEra := r.isComplete && update.NextPosition.Era() > r.nextPosition.Era()
	if isLaterEra {
		// The log lost records, and who registered meanwhile registers again.
		r.recoveredAt = now
		r.deltaStart = max(r.deltaStart, r.gapEnd)
		r.gapStart, r.gapEnd = r.nextPosition, update.NextPosition
	}
	// An update that ends before NextPosition holds nothing new, but may list upstreams
	// that have been removed since.
	isOutdated := r.isComplete && update.NextPosition < r.nextPosition
	names := make(map[identifier.UpstreamName]bool, len(update.Entries))
	for _, entry := range update.Entries {
		names[entry.Name] = true
		if !isOutdated {
			r.put(withColdUntil(entry, now))
		}
	}
	for _, removal := range update.Removed {
		r.removeOrDefer(removal.Name, removal.Position)
	}
	if update.IsSnapshot {
		r.retain(names, update.NextPosition)
	}
	at := now.Add(-update.Age)
	if at.After(r.readAt) {
		r.readAt = at
	}
	r.nextPosition = max(r.nextPosition, update.NextPosition)
	if !update.IsSnapshot {
		return
	}
	if !r.isComplete {
		r.completeSince = now
	}
	r.isComplete = true
	if !isLaterEra {
		// The records before a snapshot, which may have removed an upstream and brought
		// it back, are not known.
		r.deltaStart = max(r.deltaStart, update.NextPosition)
	}
}

// withColdUntil returns an entry for the list, which was read or received now.
func withColdUntil(entry Entry, now time.Time) Entry {
	if entry.ColdLeft > 0 {
		entry.ColdUntil = now.Add(entry.ColdLeft)
	}
	entry.ColdLeft = 0
	return entry
}

// CompleteSince returns when the whole list was first read. It is zero before that.
func (r *Registrar) CompleteSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completeSince
}

// RecordReadTime records how long a read of the list took, and whether it failed.
func (r *Registrar) RecordReadTime(took time.Duration, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isOutageSuspected = r.isOutageSuspected || failed || took > outageMargin+ReadWait
}

// detectRecovery sets recoveredAt if an update of the given age is the first one after an
// outage. The caller holds the lock.
func (r *Registrar) detectRecovery(age time.Duration, now time.Time) {
	longest := outageMargin + r.maxReadGap()
	if age > longest {
		r.isOutageSuspected = true
		return
	}
	if !r.readAt.IsZero() && now.Sub(r.readAt) > longest && r.isOutageSuspected {
		r.recoveredAt = now
	}
	r.isOutageSuspected = false
}

// maxReadGap returns the longest time between two reads outside of an outage.
func (r *Registrar) maxReadGap() time.Duration {
	return ReadInterval + ReadWait
}

// A read of the list waits up to ReadWait for a record. The next read starts
// ReadInterval after it ends.
const (
	ReadInterval = 600 * time.Millisecond
	ReadWait     = 400 * time.Millisecond
)

// IsComplete reports whether the whole list has been read.
func (r *Registrar) IsComplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isComplete
}

// Age returns the time since the list was last read.
func (r *Registrar) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Since(r.readAt)
}

// put adds or replaces an upstream's entry. It ignores an entry older than the
// known one or than the upstream's removal, and withholds one that was written before
// them. The caller holds the lock.
func (r *Registrar) put(entry Entry) {
	old, known := r.entries[entry.Name]
	removed, isRemoved := r.removals[entry.Name]
	switch {
	case isRemoved && removed.position > entry.Position:
	case known && old.Position > entry.Position && isMissedDraining(entry, old):
		entry.Position = old.Position
		r.accept(entry)
	case known && old.Position > entry.Position, r.withhold(entry):
	default:
		r.accept(entry)
	}
}

// accept adds or replaces an upstream's entry, and removes another upstream with an
// older entry at the same address. The caller holds the lock.
func (r *Registrar) accept(entry Entry) {
	r.recordHeard(entry)
	entry.Sequence = 0
	old, known := r.entries[entry.Name]
	if known && old.Position == entry.Position {
		// A repeat of the same record, relayed later, must not extend the cold time.
		entry.ColdUntil = old.ColdUntil
	}
	delete(r.removals, entry.Name)
	r.removeOthersAt(entry)
	deferred, isDeferred := r.deferredRemovals[entry.Name]
	// A removal by a full read is as of the position of the record that follows.
	isBack := isDeferred && deferred.position <= entry.Position
	if isBack {
		delete(r.deferredRemovals, entry.Name)
	}
	if !known || old.Address != entry.Address {
		r.forgetAddress(old)
		r.namesAt[entry.Address] = append(r.namesAt[entry.Address], entry.Name)
	}
	r.ready = nil
	r.entries[entry.Name] = entry
	old.Position = entry.Position
	if old != entry || isBack {
		r.changePositions[entry.Name] = entry.Position
		r.newestChange = max(r.newestChange, entry.Position)
		r.OnChange()
	}
}

// MarkStale records that another upstream responded at an entry's address. The
// upstream gets no new work until a newer entry arrives.
func (r *Registrar) MarkStale(entry Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready = nil
	r.staleEntries[entry.Name] = entry.Position
	r.OnChange()
}

// Ready returns the upstreams of a service that take new work, sorted by name. It
// also removes those whose deferred removal is due, and uses withheld entries. The list
// is shared and must not be changed.
func (r *Registrar) Ready(service identifier.ServiceName) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ready == nil || len(r.deferredRemovals) > 0 || r.isReleaseDue() {
		r.refreshReady()
	}
	return r.ready[service]
}

// All returns all entries, sorted by name.
func (r *Registrar) All() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Entry, 0, len(r.entries))
	for _, entry := range r.entries {
		all = append(all, entry)
	}
	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return all
}
