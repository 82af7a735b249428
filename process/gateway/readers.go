package gateway

import (
	"time"

	"sassafraspass.dev/sassafraspass/process/confirmer"
)

// Each call to the store has a price, and each reader of the list of upstreams gets all
// records of all of them. Two hubs therefore read the store for the others, the first ones
// of the epoch that the others hear. A hub reads by itself as soon as it hears fewer than
// two before it, or what they relay is too old.
const (
	// readerCount is how many hubs read, so that one may fail without any delay.
	readerCount = 2
	// readerSilenceTimeout is the silence after which another hub reads in place of one.
	// With it, and with the time until the next heartbeat, a change is known everywhere
	// within 2 s even if both readers are killed. It exceeds two intervals between the
	// heartbeats of hubs.
	readerSilenceTimeout = 900 * time.Millisecond
	// maxHubRelayedUpstreamsAge and maxHubRelayedAge are the ages of the list of upstreams
	// and of the configuration above which a hub reads by itself although it hears the
	// readers, which may be cut off from the store. They are lower than those of the
	// daemons that rely on the hubs, and exceed the ages in ordinary operation: the
	// duration of a read of the configuration, twice, or the time between two reads of
	// the list, and the interval between the heartbeats of hubs.
	maxHubRelayedUpstreamsAge = 1300 * time.Millisecond
	maxHubRelayedAge          = 2400 * time.Millisecond
)

// isReader reports whether this daemon is one of the hubs that read the store for the
// others. A hub that hears no majority reads by itself: it may be cut off from the readers
// that the others rely on, and whether it can read decides when it replaces hubs.
func (g *Gateway) isReader() bool {
	if !g.isHub() {
		return false
	}
	if !g.HearsMajority(majorityWindow) {
		return true
	}
	ahead := 0
	for _, member := range g.EpochTracker.Current().Members {
		if member.Incarnation == g.Identity.Self.Incarnation {
			break
		}
		peer, ok := g.Peers.Find(member.Incarnation)
		if ok && g.Clock.Since(peer.HeardAt) < readerSilenceTimeout {
			ahead++
		}
	}
	return ahead < readerCount
}

// isRelayedVersionRecent reports whether this daemon may rely on the hubs for the
// configuration and the epochs.
func (g *Gateway) isRelayedVersionRecent() bool {
	longest := maxRelayedAge
	if g.isHub() {
		longest = maxHubRelayedAge
	}
	age := g.Confirmer.ConfirmationAge()
	return !g.isReader() && age != confirmer.Never && age <= longest
}

// areRelayedUpstreamsRecent reports whether this daemon may rely on the hubs for the list
// of upstreams.
func (g *Gateway) areRelayedUpstreamsRecent() bool {
	longest := maxRelayedUpstreamsAge
	if g.isHub() {
		longest = maxHubRelayedUpstreamsAge
	}
	return !g.isReader() && g.registrar.IsComplete() && g.registrar.Age() < longest
}
