package heartbeater

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/version/epocher"
)

// State tells whether a daemon takes new work.
type State string

// The states of a daemon.
const (
	// StateStarting is before the daemon has a configuration and shares.
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateLeaving  State = "leaving"
)

// Beat is what one daemon says about itself.
type Beat struct {
	Incarnation identifier.Incarnation
	VM          identifier.VMName
	Zone        identifier.ZoneName
	Peer        identifier.Address
	Caller      identifier.Address
	Operator    identifier.Address
	State       State
	// Drained says that the daemon holds no shares any more.
	Drained bool
	Version identifier.Offset
	Epoch   identifier.Offset
	// LogAge is confirmer.Never where the log was never read.
	LogAge time.Duration
	Loads  []EngineLoad
	// Heard lists the daemons that this one heard lately although the
	// platform's list misses their VMs.
	Heard []identifier.Incarnation
	// Resumed lists attempts whose callers came to this daemon lately.
	Resumed []identifier.AttemptID
	// Weight is the part of a core that the daemon has.
	Weight float64
	// Marks tell a hub what this daemon has already, and Relay holds what a
	// hub tells beyond itself; nil for nothing.
	Marks Marks
	Relay *Relay
}

// Marks tell a hub what the sender has already, so that only news is sent.
type Marks struct {
	// RosterOf is the hub that numbered the roster.
	RosterOf identifier.Incarnation
	Roster   int64
	// Upstreams is the offset up to which the list of upstreams is known.
	Upstreams identifier.Offset
}

// Relay is what a hub tells that hears all daemons and reads the store.
type Relay struct {
	// HasRoster says that Members holds all daemons that the hub hears, and
	// Roster the number of that state.
	HasRoster bool
	Roster    int64
	Members   []Beat
	// Upstreams is nil where the hub has nothing to tell.
	Upstreams *registrar.Feed
}

// EngineLoad is what one daemon has running at one engine.
type EngineLoad struct {
	Upstream identifier.UpstreamName
	Running  int
	Tokens   identifier.Tokens
}

// Member is a daemon that was heard.
type Member struct {
	Beat
	HeardAt time.Time
}

const (
	// Interval is the time between two heartbeats to a peer.
	Interval = time.Second
	// SilentAfter is when a peer that was not heard counts as silent.
	SilentAfter = 2500 * time.Millisecond
	// GoneAfter is the time between the two readings of the platform's list
	// that prove a VM gone. It exceeds confirmer.StaleAfter, so that a daemon
	// that was removed has stopped admitting by then.
	GoneAfter = 8 * time.Second
	// memory is how long a daemon that is not heard any more is remembered.
	memory = 10 * time.Minute
	// liveInterval is how long the list of live daemons is kept.
	liveInterval = 100 * time.Millisecond
	// rosterInterval is how long the roster of the daemons heard here is kept
	// before it is made anew.
	rosterInterval = 100 * time.Millisecond
	// refusalsForGone is how many heartbeats in a row must be refused.
	refusalsForGone = 2
)

// Members tracks the daemons and the proofs that some of them are gone.
type Members struct {
	clock clockwork.Clock
	self  identifier.Incarnation

	mu      sync.Mutex
	members map[identifier.Incarnation]Member
	drained map[identifier.Incarnation]bool
	// knownSince is when a member of an epoch was first asked about.
	knownSince map[identifier.Incarnation]time.Time
	// answered is the newest answer of each address.
	answered map[identifier.Address]answer
	// refused holds the heartbeats in a row that an address refused.
	refused map[identifier.Address]refusals
	// missingSince is the first of the successful readings in a row that did
	// not list a VM; lastReading is the newest reading.
	missingSince map[identifier.VMName]time.Time
	lastReading  time.Time
	listed       []appender.VM
	// rosters holds what each hub last told of the daemons that it hears.
	rosters map[identifier.Incarnation]roster
	// live is the newest list of live daemons, as of liveAt.
	live      []Member
	liveAt    time.Time
	isChanged bool
	// own numbers the states of the daemons heard here.
	own      []Beat
	ownCount int64
	ownAt    time.Time
}

// roster is what a hub told of the daemons that it hears.
type roster struct {
	number  int64
	members []Beat
	// confirmedAt is when the hub last answered that this is its roster.
	confirmedAt time.Time
}

// answer tells which daemon answered at an address, to a beat sent at a time.
type answer struct {
	incarnation identifier.Incarnation
	asked       time.Time
}

// refusals counts refused heartbeats; since is when the first was sent.
type refusals struct {
	count int
	since time.Time
}

// NewMembers returns a table without members.
func NewMembers(clock clockwork.Clock, self identifier.Incarnation) *Members {
	return &Members{
		clock:        clock,
		self:         self,
		members:      make(map[identifier.Incarnation]Member),
		drained:      make(map[identifier.Incarnation]bool),
		knownSince:   make(map[identifier.Incarnation]time.Time),
		answered:     make(map[identifier.Address]answer),
		refused:      make(map[identifier.Address]refusals),
		missingSince: make(map[identifier.VMName]time.Time),
		rosters:      make(map[identifier.Incarnation]roster),
	}
}

// Heard notes a beat.
func (m *Members) Heard(beat Beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if beat.Incarnation == m.self {
		return
	}
	old, known := m.members[beat.Incarnation]
	wasSilent := !known || m.clock.Now().Sub(old.HeardAt) > SilentAfter
	m.isChanged = m.isChanged || wasSilent || !isSameDaemon(old.Beat, beat) || old.Drained != beat.Drained
	m.members[beat.Incarnation] = Member{Beat: beat, HeardAt: m.clock.Now()}
	if beat.Drained {
		m.drained[beat.Incarnation] = true
	}
}

// Answered notes which daemon answered a beat sent to an address at a time.
func (m *Members) Answered(address identifier.Address, incarnation identifier.Incarnation, asked time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.refused, address)
	if asked.After(m.answered[address].asked) {
		m.answered[address] = answer{incarnation: incarnation, asked: asked}
	}
}

// Refused notes that nothing listened at an address for a beat sent at a time.
func (m *Members) Refused(address identifier.Address, asked time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row := m.refused[address]
	if row.count == 0 {
		row.since = asked
	}
	row.count++
	m.refused[address] = row
}

// Listed notes a successful reading of the platform's list.
func (m *Members) Listed(vms []appender.VM, known []epocher.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.lastReading = now
	m.listed = vms
	for _, member := range known {
		isListed := slices.ContainsFunc(vms, func(vm appender.VM) bool { return vm.Name == member.VM })
		_, missing := m.missingSince[member.VM]
		if isListed {
			delete(m.missingSince, member.VM)
		} else if !missing {
			m.missingSince[member.VM] = now
		}
	}
}

// VMs returns the newest reading of the platform's list.
func (m *Members) VMs() []appender.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

// Live returns the daemons heard lately, here or by a hub that is, ordered by
// incarnation.
// The list is shared and must not be changed.
func (m *Members) Live() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if !m.isChanged && now.Sub(m.liveAt) < liveInterval {
		return m.live
	}
	m.live = m.listLive()
	m.liveAt = now
	m.isChanged = false
	return m.live
}

func (m *Members) listLive() []Member {
	live := m.heardHere()
	known := make(map[identifier.Incarnation]bool, len(live))
	for _, member := range live {
		known[member.Incarnation] = true
	}
	for _, member := range m.heardByHubs() {
		if !known[member.Incarnation] && member.Incarnation != m.self {
			known[member.Incarnation] = true
			live = append(live, member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return live
}

// heardHere returns the daemons whose own beats came lately.
func (m *Members) heardHere() (live []Member) {
	now := m.clock.Now()
	for _, member := range m.members {
		if now.Sub(member.HeardAt) <= SilentAfter {
			live = append(live, member)
		}
	}
	return live
}

// heardByHubs returns the daemons in the rosters that hubs confirmed lately. One
// that leaves comes first, as other hubs may not know that yet.
func (m *Members) heardByHubs() (live []Member) {
	now := m.clock.Now()
	for _, r := range m.rosters {
		if now.Sub(r.confirmedAt) > SilentAfter {
			continue
		}
		for _, beat := range r.members {
			live = append(live, Member{Beat: beat, HeardAt: r.confirmedAt})
		}
	}
	slices.SortStableFunc(live, func(a, b Member) int {
		return cmp.Compare(stateRank[a.State], stateRank[b.State])
	})
	return live
}

var stateRank = map[State]int{StateLeaving: 0, StateStarting: 1, StateServing: 2}

// RosterSince returns the daemons heard here, where that differs from the state
// of a number, and the present number.
func (m *Members) RosterSince(self Beat, number int64) (members []Beat, present int64, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if now.Sub(m.ownAt) < rosterInterval {
		return m.own, m.ownCount, m.ownCount != number
	}
	m.ownAt = now
	var heard []Beat
	for _, member := range append(m.heardHere(), Member{Beat: self}) {
		heard = append(heard, Beat{
			Incarnation: member.Incarnation,
			VM:          member.VM,
			Zone:        member.Zone,
			Peer:        member.Peer,
			Caller:      member.Caller,
			State:       member.State,
			Weight:      member.Weight,
			Version:     identifier.NoOffset,
			Epoch:       identifier.NoOffset,
		})
	}
	slices.SortFunc(heard, func(a, b Beat) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	if !slices.EqualFunc(heard, m.own, isSameDaemon) {
		m.own = heard
		m.ownCount++
	}
	return m.own, m.ownCount, m.ownCount != number
}

func isSameDaemon(a, b Beat) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Caller == b.Caller && a.Peer == b.Peer
}

// TakeRoster notes what a hub tells of the daemons that it hears.
func (m *Members) TakeRoster(hub identifier.Incarnation, number int64, members []Beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rosters[hub] = roster{number: number, members: members, confirmedAt: m.clock.Now()}
	m.isChanged = true
}

// ConfirmRoster notes that a hub answered and its roster still holds.
func (m *Members) ConfirmRoster(hub identifier.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.rosters[hub]
	if !ok {
		return
	}
	now := m.clock.Now()
	m.isChanged = m.isChanged || now.Sub(r.confirmedAt) > SilentAfter
	r.confirmedAt = now
	m.rosters[hub] = r
}

// RosterOf returns the number of the roster that a hub last told.
func (m *Members) RosterOf(hub identifier.Incarnation) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rosters[hub].number
}

// At returns the daemon that last answered at an address.
func (m *Members) At(address identifier.Address) identifier.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answered[address].incarnation
}

// Unlisted returns the live daemons whose VMs the platform's list misses.
func (m *Members) Unlisted() []identifier.Incarnation {
	var unlisted []identifier.Incarnation
	live := m.Live()
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.missingSince) == 0 {
		return nil
	}
	for _, member := range live {
		_, missing := m.missingSince[member.VM]
		if missing {
			unlisted = append(unlisted, member.Incarnation)
		}
	}
	return unlisted
}

// Find returns the member of an incarnation, heard lately or not.
func (m *Members) Find(incarnation identifier.Incarnation) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	member, ok := m.members[incarnation]
	return member, ok
}

// GoneProof tells why a daemon cannot admit any more.
type GoneProof string

// The proofs that a daemon is gone.
const (
	ProofNone     GoneProof = ""
	ProofDrained  GoneProof = "handed-over"
	ProofReplaced GoneProof = "replaced-at-its-address"
	ProofRefused  GoneProof = "connection-refused"
	ProofUnlisted GoneProof = "missing-from-the-list"
	// ProofSilent holds only where members stop admitting by themselves when
	// they do not hear a majority.
	ProofSilent GoneProof = "silent"
)

// Proof returns the proof that a member of an epoch is gone, or ProofNone.
// Silence alone proves nothing.
func (m *Members) Proof(member epocher.Member) GoneProof {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notice(member)
	switch {
	case m.drained[member.Incarnation]:
		return ProofDrained
	case m.isReplaced(member):
		return ProofReplaced
	case m.refused[member.Peer].count >= refusalsForGone:
		return ProofRefused
	case m.isUnlisted(member):
		return ProofUnlisted
	}
	return ProofNone
}

// notice marks when a member was first asked about. What its address did
// before then says nothing about the member.
func (m *Members) notice(member epocher.Member) {
	_, known := m.knownSince[member.Incarnation]
	if known {
		return
	}
	m.knownSince[member.Incarnation] = m.clock.Now()
	delete(m.refused, member.Peer)
}

// isReplaced reports whether another process answered at the member's address
// after the member was known. Two processes cannot listen there at once.
func (m *Members) isReplaced(member epocher.Member) bool {
	newest := m.answered[member.Peer]
	isOther := newest.incarnation != "" && newest.incarnation != member.Incarnation
	return isOther && newest.asked.After(m.knownSince[member.Incarnation])
}

// isUnlisted reports whether two readings apart in time lack the VM and no
// daemon hears the member.
func (m *Members) isUnlisted(member epocher.Member) bool {
	since, missing := m.missingSince[member.VM]
	if !missing || m.lastReading.Sub(since) < GoneAfter {
		return false
	}
	now := m.clock.Now()
	own, heard := m.members[member.Incarnation]
	if heard && now.Sub(own.HeardAt) < GoneAfter {
		return false
	}
	for _, other := range m.members {
		if slices.Contains(other.Heard, member.Incarnation) {
			return false
		}
	}
	return true
}

// SilentFor returns how long a member has not been heard, from when it was
// first asked about.
func (m *Members) SilentFor(member epocher.Member) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notice(member)
	heard, ok := m.members[member.Incarnation]
	since := m.knownSince[member.Incarnation]
	if ok && heard.HeardAt.After(since) {
		since = heard.HeardAt
	}
	return m.clock.Now().Sub(since)
}

// Expire forgets the daemons that were not heard for long, unless they are
// watched, and what belongs to them. It returns the forgotten ones.
func (m *Members) Expire(watched []epocher.Member) (forgotten []identifier.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	isWatched := make(map[identifier.Incarnation]bool)
	addresses := make(map[identifier.Address]bool)
	vms := make(map[identifier.VMName]bool)
	for _, member := range watched {
		isWatched[member.Incarnation] = true
		addresses[member.Peer] = true
		vms[member.VM] = true
	}
	now := m.clock.Now()
	for incarnation, member := range m.members {
		if !isWatched[incarnation] && now.Sub(member.HeardAt) > memory {
			delete(m.members, incarnation)
			delete(m.rosters, incarnation)
			forgotten = append(forgotten, incarnation)
			continue
		}
		isWatched[incarnation] = true
		addresses[member.Peer] = true
	}
	for _, vm := range m.listed {
		addresses[vm.Peer] = true
	}
	dropUnless(m.drained, isWatched)
	dropUnless(m.knownSince, isWatched)
	dropUnless(m.answered, addresses)
	dropUnless(m.refused, addresses)
	dropUnless(m.missingSince, vms)
	return forgotten
}

func dropUnless[K comparable, V any](entries map[K]V, kept map[K]bool) {
	maps.DeleteFunc(entries, func(key K, _ V) bool { return !kept[key] })
}
