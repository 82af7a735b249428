package heartbeater

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

// RosterUpdate brings a copy of a hub's roster to Revision, with the changes after
// Base or, if Base is zero, with the whole roster. A revision with partialFlag is that of a
// copy that holds only the daemons that are leaving.
type RosterUpdate struct {
	Revision int64
	Base     int64
	// Members holds the daemons that were added or changed, and Departed those that
	// are no longer heard.
	Members  []Heartbeat
	Departed []identifier.Incarnation
}

// withheldBase is the base of an update that a hub withholds. No copy has this revision, so
// that earlier builds ignore the update.
const withheldBase = 1

// WithheldRoster returns an update that says that there are changes, which the hub does not
// send now.
func WithheldRoster() *RosterUpdate { return &RosterUpdate{Base: withheldBase} }

// IsWithheld reports whether the changes were withheld. The copy of the roster is not
// current then.
func (u *RosterUpdate) IsWithheld() bool {
	return u != nil && u.Base == withheldBase && u.Revision == 0
}

// roster is the list of the daemons that a hub hears.
type roster struct {
	revision int64
	members  map[identifier.Incarnation]*Heartbeat
	// confirmedAt is when the hub last confirmed that the roster is current.
	confirmedAt time.Time
}

// ownRoster is the list of the daemons that this daemon hears directly and of itself,
// with the revision at which each of them last changed.
type ownRoster struct {
	revision int64
	members  map[identifier.Incarnation]rosterMember
	// departed holds the revisions at which daemons were removed. Copies of revisions
	// before firstKnown need the whole roster, as some removals are forgotten.
	departed   map[identifier.Incarnation]int64
	firstKnown int64
	// self is this daemon's own entry. The roster is computed again if isStale is set,
	// and from freshUntil on, when the first of the others may have become silent.
	self       Heartbeat
	isStale    bool
	freshUntil time.Time
}

type rosterMember struct {
	heartbeat Heartbeat
	revision  int64
	// wasLeaving is set if partial copies may have the entry, because it was leaving once
	// or was removed.
	wasLeaving bool
}

const (
	// firstRevision is lower than all revisions. Daemons of earlier builds, which
	// understand no partial copies, count from zero.
	firstRevision = int64(1) << 40
	// partialFlag marks the revisions of partial copies.
	partialFlag = int64(1) << 41
)

// UnderstandsPartial reports whether the daemon that sent a roster with the revision can
// send partial copies of it. One that sent none so far gets a mark that earlier builds
// ignore.
func UnderstandsPartial(revision int64) bool { return revision == 0 || revision >= firstRevision }

// maxDeparted limits the removals that a hub remembers for updates.
const maxDeparted = 1024

func newOwnRoster() ownRoster {
	return ownRoster{
		revision: firstRevision,
		isStale:  true,
		members:  make(map[identifier.Incarnation]rosterMember),
		departed: make(map[identifier.Incarnation]int64),
	}
}

// addHeardThroughHubs adds the daemons in the rosters that hubs confirmed within
// LivenessTimeout, except those that were heard directly, whose indexes are given.
// Rosters may disagree about a daemon's state: an entry that is leaving replaces
// others, because the other hubs may not know yet that the daemon is.
func (p *Peers) addHeardThroughHubs(live []Peer, index map[identifier.Incarnation]int, now time.Time) []Peer {
	directCount := len(live)
	for _, r := range p.rosters {
		if now.Sub(r.confirmedAt) > LivenessTimeout {
			continue
		}
		for incarnation, heartbeat := range r.members {
			i, isKnown := index[incarnation]
			switch {
			case incarnation == p.self || isKnown && i < directCount:
			case !isKnown:
				index[incarnation] = len(live)
				live = append(live, Peer{Heartbeat: *heartbeat, HeardAt: r.confirmedAt})
			default:
				known := &live[i]
				order := cmp.Or(cmp.Compare(stateRank[heartbeat.State], stateRank[known.State]), known.HeardAt.Compare(r.confirmedAt))
				if order < 0 {
					*known = Peer{Heartbeat: *heartbeat, HeardAt: r.confirmedAt}
				}
			}
		}
	}
	return live
}

// stateRank decides which of the entries that disagree about a daemon's state to
// use: the one with the lowest rank.
var stateRank = map[State]int{StateLeaving: 0, StateStarting: 1, StateServing: 2}

// RosterSince returns the changes of this daemon's roster, to which it adds self,
// after the known revision, or nil if there are none. It returns the whole roster if the
// changes are no longer known, or if the copy of the known revision is partial and the
// wanted one is not, or the reverse. A partial update holds only the daemons that are
// leaving, which others must learn of before anything else.
func (p *Peers) RosterSince(self Heartbeat, known int64, isPartial bool) *RosterUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshOwnRoster(self)
	own := &p.ownRoster
	flag := int64(0)
	if isPartial {
		flag = partialFlag
	}
	if known == own.revision|flag {
		return nil
	}
	base := known &^ partialFlag
	if base < max(own.firstKnown, firstRevision) || base > own.revision || known != base|flag {
		base, known = 0, 0
	}
	update := &RosterUpdate{Revision: own.revision | flag, Base: known}
	for incarnation, member := range own.members {
		isLeaving := member.heartbeat.State == StateLeaving
		switch {
		case member.revision <= base:
		case !isPartial || isLeaving:
			update.Members = append(update.Members, member.heartbeat)
		case member.wasLeaving && base != 0:
			update.Departed = append(update.Departed, incarnation)
		}
	}
	if base == 0 {
		return update
	}
	for incarnation, revision := range own.departed {
		if revision > base {
			update.Departed = append(update.Departed, incarnation)
		}
	}
	return update
}

// refreshOwnRoster computes this daemon's roster if it may have changed.
func (p *Peers) refreshOwnRoster(self Heartbeat) {
	own := &p.ownRoster
	now := p.clock.Now()
	if !own.isStale && isSameRosterEntry(self, own.self) && !now.After(own.freshUntil) {
		return
	}
	own.isStale, own.self = false, self
	own.freshUntil = now.Add(LivenessTimeout)
	next := own.revision + 1
	heard := map[identifier.Incarnation]bool{self.Incarnation: true}
	own.put(self, next)
	for incarnation, peer := range p.peers {
		silentFrom := peer.HeardAt.Add(LivenessTimeout)
		if now.After(silentFrom) {
			continue
		}
		own.freshUntil = minTime(own.freshUntil, silentFrom)
		heard[incarnation] = true
		own.put(peer.Heartbeat, next)
	}
	for incarnation := range own.members {
		if !heard[incarnation] {
			delete(own.members, incarnation)
			own.departed[incarnation] = next
			own.revision = next
		}
	}
	own.forgetOldestDepartures()
}

// put adds or replaces an entry at a revision, unless it is unchanged.
func (own *ownRoster) put(heartbeat Heartbeat, revision int64) {
	old, isKnown := own.members[heartbeat.Incarnation]
	if isKnown && isSameRosterEntry(old.heartbeat, heartbeat) {
		return
	}
	entry := Heartbeat{
		Incarnation: heartbeat.Incarnation,
		VM:          heartbeat.VM,
		Zone:        heartbeat.Zone,
		Peer:        heartbeat.Peer,
		Caller:      heartbeat.Caller,
		State:       heartbeat.State,
		Weight:      heartbeat.Weight,
		Version:     identifier.NoOffset,
		Epoch:       identifier.NoPosition,
	}
	_, wasRemoved := own.departed[heartbeat.Incarnation]
	wasLeaving := old.wasLeaving || old.heartbeat.State == StateLeaving || wasRemoved
	own.members[heartbeat.Incarnation] = rosterMember{heartbeat: entry, revision: revision, wasLeaving: wasLeaving}
	delete(own.departed, heartbeat.Incarnation)
	own.revision = revision
}

// forgetOldestDepartures keeps departed bounded.
func (own *ownRoster) forgetOldestDepartures() {
	if len(own.departed) <= maxDeparted {
		return
	}
	revisions := slices.Sorted(maps.Values(own.departed))
	own.firstKnown = revisions[len(revisions)/2]
	maps.DeleteFunc(own.departed, func(_ identifier.Incarnation, revision int64) bool { return revision <= own.firstKnown })
}

// isSameRosterEntry reports whether two heartbeats agree in all fields whose change
// leads to a new revision of a roster.
func isSameRosterEntry(a, b Heartbeat) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Caller == b.Caller && a.Peer == b.Peer
}

// ApplyRoster applies an update of a hub's roster. It ignores one with a base other
// than the stored revision, after which the hub is asked for the whole roster.
func (p *Peers) ApplyRoster(hub identifier.Incarnation, update RosterUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, isKnown := p.rosters[hub]
	if update.Base != 0 && (!isKnown || r.revision != update.Base) {
		return
	}
	if update.Base == 0 {
		r.members = make(map[identifier.Incarnation]*Heartbeat, len(update.Members))
	}
	for i := range update.Members {
		heartbeat := update.Members[i]
		r.members[heartbeat.Incarnation] = &heartbeat
	}
	for _, incarnation := range update.Departed {
		delete(r.members, incarnation)
	}
	r.revision = update.Revision
	r.confirmedAt = p.clock.Now()
	p.rosters[hub] = r
	p.isLiveStale = true
}

// ConfirmRoster records that a hub responded and that the stored roster of that hub
// is still current.
func (p *Peers) ConfirmRoster(hub identifier.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.rosters[hub]
	if !ok {
		return
	}
	now := p.clock.Now()
	p.isLiveStale = p.isLiveStale || now.Sub(r.confirmedAt) > LivenessTimeout
	r.confirmedAt = now
	p.rosters[hub] = r
}

// RosterRevision returns the revision of the stored roster of a hub, or 0 if there
// is none.
func (p *Peers) RosterRevision(hub identifier.Incarnation) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rosters[hub].revision
}

// HasWholeRoster reports whether the stored roster of a hub holds all daemons and was
// confirmed within the given duration before now.
func (p *Peers) HasWholeRoster(hub identifier.Incarnation, within time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.rosters[hub]
	return ok && r.revision&partialFlag == 0 && p.clock.Since(r.confirmedAt) < within
}
