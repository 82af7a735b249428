package heartbeater

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
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
	}
}

// Heard notes a beat.
func (m *Members) Heard(beat Beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if beat.Incarnation == m.self {
		return
	}
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

// Live returns the daemons heard lately, ordered by incarnation.
func (m *Members) Live() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var live []Member
	now := m.clock.Now()
	for _, member := range m.members {
		if now.Sub(member.HeardAt) <= SilentAfter {
			live = append(live, member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int {
		if a.Incarnation < b.Incarnation {
			return -1
		}
		return 1
	})
	return live
}

// Unlisted returns the live daemons whose VMs the platform's list misses.
func (m *Members) Unlisted() []identifier.Incarnation {
	var unlisted []identifier.Incarnation
	for _, member := range m.Live() {
		m.mu.Lock()
		_, missing := m.missingSince[member.VM]
		m.mu.Unlock()
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
