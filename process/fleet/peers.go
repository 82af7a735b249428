package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/confirmer"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
)

// OwnHeartbeat builds a heartbeat that describes this daemon, without marks or
// relayed data.
func (f *Fleet) OwnHeartbeat() heartbeater.Heartbeat {
	heartbeat := heartbeater.Heartbeat{
		Incarnation: f.Identity.Self.Incarnation,
		VM:          f.Identity.Self.VM,
		Zone:        f.Identity.Zone,
		Peer:        f.Identity.Self.PeerAddress,
		Caller:      f.Identity.CallerAddress,
		Operator:    f.Identity.OperatorAddress,
		Weight:      f.Identity.CPUCores,
		State:       f.State(),
		Drained:     f.Limiter.IsDrained(),
		Version:     f.Follower.Version().Number,
		Epoch:       f.Limiter.Epoch(),
		LogAge:      f.Confirmer.ConfirmationAge(),
		Heard:       f.Peers.Unlisted(),
	}
	f.ExtendHeartbeat(&heartbeat)
	return heartbeat
}

// heartbeatFor builds the heartbeat to send to an address.
func (f *Fleet) heartbeatFor(address identifier.Address) heartbeater.Heartbeat {
	heartbeat := f.OwnHeartbeat()
	f.AddMarks(&heartbeat, address)
	return heartbeat
}

// HandleHeartbeat records a peer's heartbeat and returns this daemon's own as the
// response.
func (f *Fleet) HandleHeartbeat(heartbeat heartbeater.Heartbeat) heartbeater.Heartbeat {
	isNew := f.Peers.RecordHeartbeat(heartbeat)
	if isNew {
		f.Heartbeater.SendNow(heartbeat.Peer)
	}
	f.OnRequest(heartbeat)
	f.processHeartbeat(heartbeat)
	own := f.OwnHeartbeat()
	own.Relay = f.BuildRelay(heartbeat, own)
	return own
}

// State returns this daemon's state in its life cycle. It takes new work only in
// heartbeater.StateServing.
func (f *Fleet) State() heartbeater.State {
	switch {
	case f.Leaving.Load():
		return heartbeater.StateLeaving
	case !f.IsReady():
		return heartbeater.StateStarting
	}
	return heartbeater.StateServing
}

// handleResponse processes a peer's response to the heartbeat that this daemon sent
// at sentAt. The response was written later than that, so the ages in it are counted
// from sentAt.
func (f *Fleet) handleResponse(response heartbeater.Heartbeat, sentAt time.Time) {
	response.Suspicions = slices.Clone(response.Suspicions)
	for i := range response.Suspicions {
		response.Suspicions[i].Age += f.Clock.Since(sentAt)
	}
	response.Departures = slices.Clone(response.Departures)
	for i := range response.Departures {
		response.Departures[i].Age += f.Clock.Since(sentAt)
	}
	addZoneLoadAge(response.Relay, f.Clock.Since(sentAt))
	if response.Relay != nil && response.Relay.Evacuations != nil {
		relay, evacuations := *response.Relay, *response.Relay.Evacuations
		evacuations.Delay = f.Clock.Since(sentAt)
		relay.Evacuations = &evacuations
		response.Relay = &relay
	}
	f.processHeartbeat(response)
	f.Confirmer.RecordPeerReport(confirmer.PeerReport{
		Incarnation:     response.Incarnation,
		RequestedAt:     sentAt,
		ConfirmationAge: response.LogAge,
		Version:         response.Version,
		Epoch:           response.Epoch,
	})
}

// addZoneLoadAge adds the time since the request of a relay to the ages of its sums.
func addZoneLoadAge(relay *heartbeater.Relay, age time.Duration) {
	if relay == nil {
		return
	}
	for i := range relay.ZoneLoads {
		relay.ZoneLoads[i].Age += age
	}
}

// processHeartbeat passes a heartbeat to the components that also accept a delayed
// one.
func (f *Fleet) processHeartbeat(heartbeat heartbeater.Heartbeat) {
	f.Fetcher.HandleHeartbeat(heartbeat)
	f.OnHeartbeat(heartbeat)
}

// WatchPeers calls observe periodically, and drops the state of daemons that have long
// been silent, until the context ends.
func (f *Fleet) WatchPeers(ctx context.Context, observe func()) error {
	expiredAt := f.Clock.Now()
	return repeater.Every(ctx, f.Clock, peerCheckInterval, func() {
		observe()
		if f.Clock.Since(expiredAt) < expiryInterval {
			return
		}
		expiredAt = f.Clock.Now()
		for _, incarnation := range f.Peers.Expire(f.monitored()) {
			f.Confirmer.Forget(incarnation)
			f.Borrower.Forget(incarnation)
		}
	})
}

// LiveIncarnations returns the other daemons heard recently, by this daemon or by
// a live hub.
func (f *Fleet) LiveIncarnations() []identifier.Incarnation {
	var live []identifier.Incarnation
	for _, peer := range f.Peers.Live() {
		live = append(live, peer.Incarnation)
	}
	return live
}

// IsLive reports whether another daemon was heard recently, by this daemon or by
// a live hub.
func (f *Fleet) IsLive(incarnation identifier.Incarnation) bool {
	_, isLive := f.Peers.FindLive(incarnation)
	return isLive
}

// HasLowestIncarnation reports whether this daemon's incarnation sorts before
// those of all other live daemons. It elects one daemon without coordination.
func (f *Fleet) HasLowestIncarnation() bool {
	live := f.Peers.Live()
	return len(live) == 0 || f.Identity.Self.Incarnation < live[0].Incarnation
}

// CountMessage counts a message between this daemon and a peer in the given zone.
func (f *Fleet) CountMessage(rpc meter.RPC, direction meter.Direction, peerZone identifier.ZoneName, bytes int64) {
	f.Meter.CountMessage(meter.TrafficKey{RPC: rpc, Direction: direction, Zone: f.Identity.Zone, PeerZone: peerZone}, bytes)
}

// ZoneOf returns the zone of another daemon, or "" if it was not heard lately.
func (f *Fleet) ZoneOf(incarnation identifier.Incarnation) identifier.ZoneName {
	peer, _ := f.Peers.FindLive(incarnation)
	return peer.Zone
}

func (f *Fleet) epochIncarnations() []identifier.Incarnation {
	var members []identifier.Incarnation
	for _, member := range f.EpochTracker.Current().Members {
		members = append(members, member.Incarnation)
	}
	return members
}

// HearsMajority reports whether this daemon heard a majority of the epoch's members,
// itself included, within the given duration before now. A member that was never
// heard counts as heard when SilentFor or GoneProof was first called for it.
func (f *Fleet) HearsMajority(within time.Duration) bool {
	members := f.EpochTracker.Current().Members
	heard := 0
	for _, member := range members {
		if member.Incarnation == f.Identity.Self.Incarnation || f.Peers.SilentFor(member) <= within {
			heard++
		}
	}
	return heard*2 > len(members)
}

// HasMajorityLease reports whether a majority of the epoch's members, this daemon
// included, answered it within the given duration before now and have not entered a
// newer epoch. Unlike HearsMajority it is false after a pause of this process.
func (f *Fleet) HasMajorityLease(within time.Duration) bool {
	epoch := f.EpochTracker.Current()
	answered := 0
	for _, member := range epoch.Members {
		if member.Incarnation == f.Identity.Self.Incarnation || f.Peers.HasAnswered(member, epoch.Number, within) {
			answered++
		}
	}
	return answered*2 > len(epoch.Members)
}

// monitored returns the members of the epoch and the other monitored daemons.
func (f *Fleet) monitored() []epochtracker.Member {
	return slices.Concat(f.EpochTracker.Current().Members, f.MonitoredDaemons())
}

// CoordinatorOf returns the address of the coordinator of a model, which is the
// daemon that schedules the model's requests, or "" if that is this daemon.
// Rendezvous hashing selects it from the live daemons that are serving.
func (f *Fleet) CoordinatorOf(model identifier.ModelName) identifier.Address {
	highest, address := uint64(0), identifier.Address("")
	if f.State() == heartbeater.StateServing {
		highest = rendezvousHash(model, f.Identity.Self.Incarnation)
	}
	for _, peer := range f.Peers.Live() {
		hash := rendezvousHash(model, peer.Incarnation)
		if peer.State == heartbeater.StateServing && hash > highest {
			highest, address = hash, peer.Peer
		}
	}
	return address
}

func rendezvousHash(model identifier.ModelName, incarnation identifier.Incarnation) uint64 {
	return xxhash.Sum64String(string(model) + "/" + string(incarnation))
}

// lenders returns the live members of the epoch other than this daemon.
func (f *Fleet) lenders() []heartbeater.Peer {
	var lenders []heartbeater.Peer
	for _, member := range f.EpochTracker.Current().Members {
		peer, isLive := f.Peers.FindLive(member.Incarnation)
		if isLive {
			lenders = append(lenders, peer)
		}
	}
	slices.SortFunc(lenders, func(a, b heartbeater.Peer) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return lenders
}
