package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/asserter"
	"sassafraspass.dev/sassafraspass/process/configurer"
	"sassafraspass.dev/sassafraspass/process/fleet"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
)

func newMember(name string) epochtracker.Member {
	return epochtracker.Member{Incarnation: identifier.Incarnation(name), VM: identifier.VMName(name), PeerAddress: identifier.Address(name)}
}

// newNonHub returns a daemon outside an epoch that consists of the given hubs. It
// has not heard any of them.
func newNonHub(clock *clockwork.FakeClock, hubs ...string) *Gateway {
	m := meter.NewNoop()
	deps := fleet.Dependencies{Clock: clock, Log: logger.Discard(), Meter: m, Assert: asserter.New(logger.Discard(), m, true)}
	f, _ := fleet.New(fleet.Identity{Self: newMember("self"), Zone: "z"}, fleet.Drivers{}, deps)
	f.WholeLimits = true
	f.VersionLoaded.Store(true)
	g := &Gateway{Fleet: f}
	g.settings.Store(&configurer.Settings{VM: "self", Zone: "z"})
	proposal := epochtracker.Proposal{BasedOn: identifier.NoPosition}
	for _, hub := range hubs {
		proposal.Members = append(proposal.Members, newMember(hub))
	}
	raw, _ := json.Marshal(proposal)
	_ = f.EpochTracker.Handle(epochtracker.Record{Position: 0, Data: raw})
	return g
}

func receiveHeartbeat(g *Gateway, name string, cpuCores float64) {
	m := newMember(name)
	g.Peers.RecordHeartbeat(heartbeater.Heartbeat{Incarnation: m.Incarnation, VM: m.VM, Peer: m.PeerAddress, State: heartbeater.StateServing, Weight: cpuCores})
}

func candidateAddresses(g *Gateway) (addresses []string) {
	for _, candidate := range g.placementCandidates("s") {
		addresses = append(addresses, string(candidate.Address))
	}
	return addresses
}

// TestPlacementCandidatesAreHubsByCPUCores guards against small VMs placing the
// requests of a large fleet. Only hubs qualify, because only they receive heartbeats
// from all daemons, and those with the most CPU cores come first.
func TestPlacementCandidatesAreHubsByCPUCores(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newNonHub(clock, "h1", "h2", "h3")
	receiveHeartbeat(g, "h1", 0.2)
	receiveHeartbeat(g, "h2", 0.8)
	receiveHeartbeat(g, "small", 0.2)
	receiveHeartbeat(g, "strong", 2)
	is.Equal(candidateAddresses(g), []string{"h2", "h1"})
}

func TestDaemonPlacesItsOwnRequestsIfItHearsNoHub(t *testing.T) {
	is := is.New(t)
	g := newNonHub(clockwork.NewFakeClock(), "h1")
	is.Equal(candidateAddresses(g), []string{""})
}

func TestDaemonOutsideTheEpochThatHearsNoHubIsIsolated(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newNonHub(clock, "h1", "h2")
	receiveHeartbeat(g, "h1", 1)
	is.True(!g.isIsolated())
	clock.Advance(5 * time.Second)
	is.True(!g.isIsolated()) // the log was not read either, so the hubs may be gone
	for _, stream := range []identifier.StreamName{"config", "epochs"} {
		g.Confirmer.RecordLogRead(stream, clock.Now())
	}
	is.True(g.isIsolated())
}

// TestEpochThatBeginsWhileTargetsAreChosenEndsNoDaemon guards against a division by the
// number of hubs, which is zero if the epoch had no other member a moment before.
func TestEpochThatBeginsWhileTargetsAreChosenEndsNoDaemon(t *testing.T) {
	g := newNonHub(clockwork.NewFakeClock(), "h1")
	receiveHeartbeat(g, "h1", 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for number := identifier.Position(1); number < 20_000; number++ {
			epoch := epochtracker.Epoch{Number: number}
			if number%2 == 0 {
				epoch.Members = []epochtracker.Member{newMember("h1")}
			}
			g.EpochTracker.Install(epoch)
		}
	}()
	for {
		select {
		case <-done:
			return
		default:
			g.heartbeatTargets()
		}
	}
}
