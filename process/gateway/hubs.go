package gateway

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/logger"
)

// The members of the epoch are a few daemons, called hubs. They hold the limits,
// read the log, place requests and receive heartbeats from all daemons. The other
// daemons send heartbeats to the hubs only, in turn, and learn from the responses
// which daemons are live, which version is in force and which upstreams changed.
// The number of heartbeats thus grows linearly with the size of the fleet, not with
// its square.
const (
	// maxHubs is the maximum number of members of the epoch.
	maxHubs = 5
	// hubHeartbeatInterval is the time between two heartbeats from one hub to
	// another.
	hubHeartbeatInterval = 400 * time.Millisecond
	// nonHubHeartbeatInterval is the time between two heartbeats of a daemon that is
	// no hub.
	nonHubHeartbeatInterval = 200 * time.Millisecond
	// bootstrapPeerCount is how many listed VMs, the first by name, are contacted
	// while no hub is heard, and the average size of a random sample of the listed
	// VMs that are contacted as well.
	bootstrapPeerCount = 5
	// hubTimeout is the silence after which a hub no longer counts as heard.
	hubTimeout = 2 * time.Second
)

// isHub reports whether this daemon is a member of the epoch.
func (g *Gateway) isHub() bool {
	return g.EpochTracker.Current().HasMember(g.Identity.Self.Incarnation)
}

// otherHubs returns the peer addresses of the hubs other than this daemon.
func (g *Gateway) otherHubs() (addresses []identifier.Address) {
	for _, member := range g.EpochTracker.Current().Members {
		if member.Incarnation != g.Identity.Self.Incarnation {
			addresses = append(addresses, member.PeerAddress)
		}
	}
	return addresses
}

// heartbeatTargets returns the addresses to send heartbeats to, and the interval
// between two heartbeats.
func (g *Gateway) heartbeatTargets() (addresses []identifier.Address, interval time.Duration) {
	hubs := g.otherHubs()
	if len(hubs) == 0 || !g.hearsHub() {
		return append(hubs, g.bootstrapAddresses()...), heartbeater.Interval
	}
	if g.isHub() {
		return hubs, hubHeartbeatInterval
	}
	next := int(g.heartbeatCount.Add(1)) % len(hubs)
	return hubs[next : next+1], nonHubHeartbeatInterval
}

// hearsHub reports whether a hub other than this daemon was heard within
// hubTimeout. A hub that was never heard does not count.
func (g *Gateway) hearsHub() bool {
	for _, member := range g.EpochTracker.Current().Members {
		if member.Incarnation != g.Identity.Self.Incarnation && g.Peers.SilentFor(member) < hubTimeout {
			peer, ok := g.Peers.Find(member.Incarnation)
			if ok && g.Clock.Since(peer.HeardAt) < hubTimeout {
				return true
			}
		}
	}
	return false
}

// bootstrapAddresses returns the peers to contact while no hub is heard: the first
// listed VMs by name, which are the same for all daemons, a random sample of the
// listed VMs, and the seeds.
func (g *Gateway) bootstrapAddresses() (addresses []identifier.Address) {
	vms := g.sortedVMs()
	// The sample stays the same for an interval between heartbeats. Otherwise each check
	// for due heartbeats would contact other peers.
	period := g.Clock.Now().UnixNano() / int64(heartbeater.Interval)
	for i, listed := range vms {
		isFirst := i < bootstrapPeerCount
		isSampled := sampleHash(g.Identity.Self.Incarnation, listed.Name, period)%uint64(len(vms)) < bootstrapPeerCount
		if listed.PeerAddress != g.Identity.Self.PeerAddress && (isFirst || isSampled) {
			addresses = append(addresses, listed.PeerAddress)
		}
	}
	return append(addresses, g.currentSettings().Seeds...)
}

func sampleHash(self identifier.Incarnation, vm identifier.VMName, period int64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", self, vm, period))
}

// sortedVMs returns the listed VMs by name.
func (g *Gateway) sortedVMs() []appender.VM {
	return slices.SortedFunc(slices.Values(g.Peers.VMs()), func(a, b appender.VM) int { return strings.Compare(string(a.Name), string(b.Name)) })
}

// firstVMs returns the addresses of the first listed VMs by name.
func (g *Gateway) firstVMs() (addresses []identifier.Address) {
	vms := g.sortedVMs()
	for _, listed := range vms[:min(len(vms), bootstrapPeerCount)] {
		addresses = append(addresses, listed.PeerAddress)
	}
	return addresses
}

// addMarks adds to a heartbeat which revision of the receiver's roster this daemon
// has, and up to which position it knows the upstreams.
func (g *Gateway) addMarks(heartbeat *heartbeater.Heartbeat, to identifier.Address) {
	hub := g.Peers.IncarnationAt(to)
	heartbeat.Marks = heartbeater.Marks{
		RosterOf:             hub,
		Roster:               g.Peers.RosterRevision(hub),
		AcceptsRosterChanges: true,
		WantsLeavingOnly:     g.wantsLeavingOnly(hub),
		Upstreams:            g.upstreamsMark(to),
		Evacuations:          g.evacuator.NextPosition(),
	}
	g.addLimitAccounts(heartbeat, to)
}

// buildRelay returns the roster and upstream changes that the sender of a
// heartbeat lacks. self is this daemon's own heartbeat.
func (g *Gateway) buildRelay(from, self heartbeater.Heartbeat) *heartbeater.Relay {
	knownRevision := int64(0)
	if from.Marks.RosterOf == g.Identity.Self.Incarnation {
		knownRevision = from.Marks.Roster
	}
	isPartial := g.sendsLeavingOnly(from, knownRevision)
	roster := g.Peers.RosterSince(self, knownRevision, isPartial)
	if roster != nil && !from.Marks.AcceptsRosterChanges {
		roster = g.Peers.RosterSince(self, 0, false)
	}
	relay := g.relayWithinBudget(roster, from.Marks.Upstreams)
	relay.Evacuations = g.evacuator.RelaySince(from.Marks.Evacuations)
	relay.ZoneLoads = g.relayedZoneLoads()
	return relay
}

// applyRelay applies the evidence against prompt parts and the departures of upstreams
// in a heartbeat, and the roster and the upstream changes that a hub relays in it.
func (g *Gateway) applyRelay(heartbeat heartbeater.Heartbeat) {
	g.sharer.HandleReport(heartbeat.Suspicions)
	g.abstainer.Adopt(heartbeat.Departures)
	g.contentions.adopt(heartbeat.Contentions, g.Clock.Now())
	if heartbeat.Relay == nil {
		return
	}
	g.adoptZoneLoads(heartbeat.Relay.ZoneLoads)
	roster := heartbeat.Relay.Roster
	if !roster.IsWithheld() {
		g.Peers.ConfirmRoster(heartbeat.Incarnation)
	}
	if roster != nil && !roster.IsWithheld() {
		g.Peers.ApplyRoster(heartbeat.Incarnation, *roster)
		logger.For(g.Log, logger.Members).Debug("A hub sent changes of the list of daemons that it hears.", "hub", heartbeat.VM, "changed", len(roster.Members), "departed", len(roster.Departed), "whole", roster.Base == 0)
	}
	if heartbeat.Relay.Evacuations != nil {
		g.evacuator.ApplyRelay(*heartbeat.Relay.Evacuations)
	}
	if heartbeat.Relay.Upstreams != nil {
		g.registrar.Apply(*heartbeat.Relay.Upstreams)
	}
}
