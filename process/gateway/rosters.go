package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
)

// The rosters of the hubs are nearly the same. A daemon that is no hub therefore wants the
// whole rosters of two hubs, and from the others only the daemons that are leaving.
const (
	wholeRosterCount = 2
	// rosterSilenceTimeout is the silence after which another hub's roster is wanted in
	// place of one's. The copy is used for heartbeater.LivenessTimeout, which leaves
	// a second, in which each hub gets a heartbeat.
	rosterSilenceTimeout = 1500 * time.Millisecond
)

// rankedHub is a hub with the keys by which a daemon chooses those whose rosters it wants.
type rankedHub struct {
	incarnation identifier.Incarnation
	isInZone    bool
	hash        uint64
}

// wantsLeavingOnly reports whether this daemon has whole rosters from other hubs than the
// given one.
func (g *Gateway) wantsLeavingOnly(hub identifier.Incarnation) bool {
	if g.isHub() || !g.hearsHub() || !heartbeater.UnderstandsPartial(g.Peers.RosterRevision(hub)) {
		return false
	}
	var heard []rankedHub
	for _, member := range g.EpochTracker.Current().Members {
		peer, ok := g.Peers.Find(member.Incarnation)
		if ok && g.Clock.Since(peer.HeardAt) < rosterSilenceTimeout {
			heard = append(heard, rankedHub{
				incarnation: member.Incarnation,
				isInZone:    peer.Zone == g.Identity.Zone,
				hash:        xxhash.Sum64String(string(g.Identity.Self.Incarnation) + "/" + string(member.Incarnation)),
			})
		}
	}
	slices.SortFunc(heard, func(a, b rankedHub) int {
		if a.isInZone != b.isInZone {
			if a.isInZone {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.hash, b.hash)
	})
	wanted := heard[:min(len(heard), wholeRosterCount)]
	isWanted := slices.ContainsFunc(wanted, func(h rankedHub) bool { return h.incarnation == hub })
	// Until the roster of one of the wanted hubs has arrived, any other serves as well.
	return !isWanted && slices.ContainsFunc(wanted, func(h rankedHub) bool {
		return g.Peers.HasWholeRoster(h.incarnation, rosterSilenceTimeout)
	})
}

// sendsLeavingOnly reports whether the sender of a heartbeat, which has a copy of this
// daemon's roster of the given revision or none, gets only the daemons that are leaving.
// One without a copy gets a whole roster only from hubs and, while there are none, from the
// first listed VMs, which all daemons contact.
func (g *Gateway) sendsLeavingOnly(from heartbeater.Heartbeat, knownRevision int64) bool {
	if g.EpochTracker.Current().HasMember(from.Incarnation) {
		return false
	}
	if knownRevision == 0 && !g.isHub() {
		return g.hearsHub() || !slices.Contains(g.firstVMs(), g.Identity.Self.PeerAddress)
	}
	return from.Marks.WantsLeavingOnly
}

// daemonCount returns how many daemons the fleet may have. Until this daemon has a roster,
// the platform's list says how many share what is bounded over all daemons.
func (g *Gateway) daemonCount() int {
	return max(len(g.Peers.Live())+1, len(g.EpochTracker.Current().Members), len(g.Peers.VMs()))
}
