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
	"sassafraspass.dev/sassafraspass/version/epochtracker"
)

// Peer is another daemon as described by its last heartbeat, whether or not it is a
// member of the epoch. It is encoded as JSON like Heartbeat.
type Peer struct {
	Heartbeat
	// HeardAt is when the heartbeat arrived or, if a hub relayed it, when the hub
	// last confirmed it.
	HeardAt time.Time
}

const (
	// Interval is the time between two heartbeats to a peer.
	Interval = time.Second
	// LivenessTimeout is the silence after which a daemon no longer counts as live.
	LivenessTimeout = 2500 * time.Millisecond
	// UnlistedTimeout is how long a VM must be missing from the platform's list to
	// count as gone, from the first to the newest of consecutive reads. It
	// exceeds confirmer.StaleAfter, so that a removed daemon has stopped admitting
	// by then.
	UnlistedTimeout = 8 * time.Second
	// peerRetention is how long a silent daemon is remembered.
	peerRetention = 10 * time.Minute
	// detailsInterval is how long the list of live daemons may lack changes of what
	// their heartbeats say, other than their state and addresses.
	detailsInterval = 100 * time.Millisecond
	// refusalThreshold is how many consecutive heartbeats an address must refuse
	// to prove its daemon gone.
	refusalThreshold = 2
)

// Peers tracks the other daemons and the evidence that some of them are gone.
// It is safe for concurrent use.
type Peers struct {
	clock clockwork.Clock
	self  identifier.Incarnation

	mu sync.Mutex
	// peers holds the daemons that were heard directly.
	peers map[identifier.Incarnation]Peer
	// drained holds the daemons that reported that they hold no shares any more.
	drained map[identifier.Incarnation]bool
	// firstQueriedAt is when GoneProof or SilentFor was first called for a daemon.
	firstQueriedAt map[identifier.Incarnation]time.Time
	// responses holds the newest response from each address.
	responses map[identifier.Address]lastResponse
	// refusals counts the consecutive heartbeats that each address refused.
	refusals map[identifier.Address]refusalStreak
	// unlistedSince is the time of the first of the consecutive successful reads
	// of the platform's list that lacked a VM, for VMs of monitored daemons.
	// lastListedAt is the time of the newest successful read, and vms its result.
	unlistedSince map[identifier.VMName]time.Time
	lastListedAt  time.Time
	vms           []appender.VM
	// rosters holds the newest roster of each hub.
	rosters map[identifier.Incarnation]roster
	// live caches the list of live daemons as of liveAt, and liveIndex their indexes in
	// it. It is computed again if isLiveStale is set, and after liveUntil, when the
	// first of them may have become silent.
	live        []Peer
	liveIndex   map[identifier.Incarnation]int
	liveAt      time.Time
	liveUntil   time.Time
	isLiveStale bool
	// ownRoster is this daemon's roster: the daemons heard directly and this one.
	ownRoster ownRoster
}

// lastResponse says which daemon responded at an address, and when the heartbeat
// that it responded to was sent.
type lastResponse struct {
	incarnation identifier.Incarnation
	sentAt      time.Time
}

// refusalStreak counts consecutive refused heartbeats. since is when the first of
// them was sent.
type refusalStreak struct {
	count int
	since time.Time
}

// NewPeers returns an empty table for the daemon with the incarnation self.
func NewPeers(clock clockwork.Clock, self identifier.Incarnation) *Peers {
	return &Peers{
		clock:          clock,
		self:           self,
		peers:          make(map[identifier.Incarnation]Peer),
		drained:        make(map[identifier.Incarnation]bool),
		firstQueriedAt: make(map[identifier.Incarnation]time.Time),
		responses:      make(map[identifier.Address]lastResponse),
		refusals:       make(map[identifier.Address]refusalStreak),
		unlistedSince:  make(map[identifier.VMName]time.Time),
		rosters:        make(map[identifier.Incarnation]roster),
		isLiveStale:    true,
		ownRoster:      newOwnRoster(),
	}
}

// RecordHeartbeat records a heartbeat. It reports whether it is the first one from
// its sender.
func (p *Peers) RecordHeartbeat(heartbeat Heartbeat) (isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if heartbeat.Incarnation == p.self {
		return false
	}
	old, known := p.peers[heartbeat.Incarnation]
	now := p.clock.Now()
	wasSilent := !known || now.Sub(old.HeardAt) > LivenessTimeout
	isRosterChanged := wasSilent || !isSameRosterEntry(old.Heartbeat, heartbeat)
	p.ownRoster.isStale = p.ownRoster.isStale || isRosterChanged
	p.isLiveStale = p.isLiveStale || isRosterChanged || old.Drained != heartbeat.Drained
	hasNewDetails := old.Epoch != heartbeat.Epoch || old.Version != heartbeat.Version || !slices.Equal(old.Loads, heartbeat.Loads)
	if hasNewDetails {
		p.liveUntil = minTime(p.liveUntil, p.liveAt.Add(detailsInterval))
	}
	heartbeat.Relay, heartbeat.LimitAccounts = nil, nil // they have been applied and may be large
	p.peers[heartbeat.Incarnation] = Peer{Heartbeat: heartbeat, HeardAt: now}
	if heartbeat.Drained {
		p.drained[heartbeat.Incarnation] = true
	}
	return !known
}

// RecordResponse records which daemon responded to a heartbeat that was sent to an
// address at the time sentAt.
func (p *Peers) RecordResponse(address identifier.Address, incarnation identifier.Incarnation, sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.refusals, address)
	if sentAt.After(p.responses[address].sentAt) {
		p.responses[address] = lastResponse{incarnation: incarnation, sentAt: sentAt}
	}
}

// RecordRefusal records that an address refused the connection for a heartbeat,
// which means that no process listened there.
func (p *Peers) RecordRefusal(address identifier.Address, sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	streak := p.refusals[address]
	if streak.count == 0 {
		streak.since = sentAt
	}
	streak.count++
	p.refusals[address] = streak
}

// RecordVMs records a successful read of the platform's list, and which of the
// monitored daemons' VMs are missing from it.
func (p *Peers) RecordVMs(vms []appender.VM, monitored []epochtracker.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.lastListedAt = now
	p.vms = vms
	for _, member := range monitored {
		isListed := slices.ContainsFunc(vms, func(vm appender.VM) bool { return vm.Name == member.VM })
		_, isMissing := p.unlistedSince[member.VM]
		if isListed {
			delete(p.unlistedSince, member.VM)
		} else if !isMissing {
			p.unlistedSince[member.VM] = now
		}
	}
}

// VMs returns the platform's list as last read.
func (p *Peers) VMs() []appender.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vms
}

// Live returns the daemons heard within LivenessTimeout, directly or through a
// hub's roster, sorted by incarnation. Their HeardAt may be older than the newest
// heartbeat. The list is shared and must not be changed.
func (p *Peers) Live() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshLive()
	return p.live
}

// FindLive returns a daemon of the list of Live.
func (p *Peers) FindLive(incarnation identifier.Incarnation) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshLive()
	i, ok := p.liveIndex[incarnation]
	if !ok {
		return Peer{}, false
	}
	return p.live[i], true
}

// refreshLive computes the list of live daemons if it may have changed. The list is
// the same as long as no daemon becomes silent, so its cost depends on changes and not
// on heartbeats.
func (p *Peers) refreshLive() {
	now := p.clock.Now()
	if !p.isLiveStale && !now.After(p.liveUntil) {
		return
	}
	live := make([]Peer, 0, len(p.live)+1)
	index := make(map[identifier.Incarnation]int, len(p.live)+1)
	for incarnation, peer := range p.peers {
		if now.Sub(peer.HeardAt) <= LivenessTimeout {
			index[incarnation] = len(live)
			live = append(live, peer)
		}
	}
	live = p.addHeardThroughHubs(live, index, now)
	slices.SortFunc(live, func(a, b Peer) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	p.liveUntil = now.Add(LivenessTimeout)
	for i := range live {
		index[live[i].Incarnation] = i
		p.liveUntil = minTime(p.liveUntil, live[i].HeardAt.Add(LivenessTimeout))
	}
	p.live, p.liveIndex, p.liveAt = live, index, now
	p.isLiveStale = false
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// IncarnationAt returns the daemon that last responded at an address, or "".
func (p *Peers) IncarnationAt(address identifier.Address) identifier.Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.responses[address].incarnation
}

// Unlisted returns the live daemons whose VMs are missing from the platform's
// list.
func (p *Peers) Unlisted() []identifier.Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unlistedSince) == 0 {
		return nil
	}
	p.refreshLive()
	var unlisted []identifier.Incarnation
	for _, peer := range p.live {
		_, isMissing := p.unlistedSince[peer.VM]
		if isMissing {
			unlisted = append(unlisted, peer.Incarnation)
		}
	}
	return unlisted
}

// Find returns a daemon that was heard directly, live or not.
func (p *Peers) Find(incarnation identifier.Incarnation) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.peers[incarnation]
	return peer, ok
}

// Expire forgets the daemons that have been silent for longer than peerRetention
// and are not monitored, and all state that belongs to none of the others. It
// returns the forgotten daemons.
func (p *Peers) Expire(monitored []epochtracker.Member) (forgotten []identifier.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	isKept := make(map[identifier.Incarnation]bool)
	addresses := make(map[identifier.Address]bool)
	vms := make(map[identifier.VMName]bool)
	for _, member := range monitored {
		isKept[member.Incarnation] = true
		addresses[member.PeerAddress] = true
		vms[member.VM] = true
	}
	now := p.clock.Now()
	for incarnation, peer := range p.peers {
		if !isKept[incarnation] && now.Sub(peer.HeardAt) > peerRetention {
			delete(p.peers, incarnation)
			delete(p.rosters, incarnation)
			forgotten = append(forgotten, incarnation)
			continue
		}
		isKept[incarnation] = true
		addresses[peer.Peer] = true
	}
	for _, vm := range p.vms {
		addresses[vm.PeerAddress] = true
	}
	retainKeys(p.drained, isKept)
	retainKeys(p.firstQueriedAt, isKept)
	retainKeys(p.responses, addresses)
	retainKeys(p.refusals, addresses)
	retainKeys(p.unlistedSince, vms)
	return forgotten
}

// retainKeys deletes the entries whose keys are not kept.
func retainKeys[K comparable, V any](entries map[K]V, kept map[K]bool) {
	maps.DeleteFunc(entries, func(key K, _ V) bool { return !kept[key] })
}
