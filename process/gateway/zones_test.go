package gateway

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/configurer"
	"sassafraspass.dev/sassafraspass/process/evacuator"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/request/abstainer"
	"sassafraspass.dev/sassafraspass/request/admitter"
	"sassafraspass.dev/sassafraspass/request/ejector"
	"sassafraspass.dev/sassafraspass/request/placer"
	"sassafraspass.dev/sassafraspass/request/spiller"
)

// newSpillingDaemon returns a daemon in zone z that hears the hub "hub" in zone y, and knows
// one server in each of the two zones.
func newSpillingDaemon(clock *clockwork.FakeClock, spill configurer.ZoneSpill) *Gateway {
	g := newNonHub(clock, "hub")
	price := 0.5
	g.settings.Store(&configurer.Settings{VM: "self", Zone: "z", Gateway: &configurer.Gateway{ZoneSpill: spill, ZoneBytePrice: &price}})
	g.ejector = ejector.New(clock, "z")
	g.placer = placer.New(clock)
	g.registrar = registrar.New(clock)
	g.abstainer = abstainer.New(clock)
	g.wireEvacuator(g.Dependencies)
	g.wireColdstarter(g.Dependencies)
	g.admitter = admitter.New(clock)
	g.wireSpiller(g.Dependencies)
	g.registrar.Apply(registrar.Update{IsSnapshot: true, NextPosition: 3, Entries: []registrar.Entry{
		{Name: "home", Service: "s", Address: "10.0.0.1:1", Zone: "z", State: registrar.StateReady, Slots: 12, Position: 1},
		{Name: "away", Service: "s", Address: "10.0.0.2:1", Zone: "y", State: registrar.StateReady, Slots: 12, Position: 2},
	}})
	g.Peers.RecordHeartbeat(heartbeater.Heartbeat{Incarnation: "hub", VM: "hub", Zone: "y", Peer: "hub", State: heartbeater.StateServing})
	g.Peers.RecordResponse("hub", "hub", clock.Now())
	return g
}

// runOverloaded lets requests at home take 300 ms, and 60 ms in zone y as the hub says.
func runOverloaded(g *Gateway, clock *clockwork.FakeClock, steps int) {
	home := registrar.Entry{Name: "home", Service: "s", Zone: "z"}
	for range steps {
		for range 5 {
			g.beginHop(home)(spiller.Outcome{Took: 300 * time.Millisecond, Bytes: 1000})
		}
		clock.Advance(spiller.StepInterval)
		g.Peers.RecordHeartbeat(heartbeater.Heartbeat{
			Incarnation: "hub", VM: "hub", Zone: "y", Peer: "hub", State: heartbeater.StateServing,
			ZoneLoads: []spiller.ZoneLoad{{Service: "s", Zone: "y", ArrivalRate: 10, Wait: 60 * time.Millisecond, Daemons: 1}},
		})
		g.observePath("hub", time.Millisecond, false)
		// The sums of a hub that hears the same daemons.
		g.sumZoneLoads()
		g.spiller.Step()
	}
}

// One zone takes five times as long as the other. Guards against sums that get lost between
// requests, heartbeats and the decision, and against a status that does not show it.
func TestOverloadedZoneSendsRequestsAway(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newSpillingDaemon(clock, configurer.SpillMeasured)
	runOverloaded(g, clock, 10)
	loads := g.zoneLoads()
	is.Equal(len(loads), 1)
	is.Equal(loads[0].Zone, identifier.ZoneName("z"))
	is.Equal(loads[0].Daemons, 1)
	is.Equal(len(g.relayedZoneLoads()), 2)
	status := g.zoneStatus()
	is.Equal(len(status.Shares), 1)
	is.Equal(status.Shares[0].To, identifier.ZoneName("y"))
	is.True(status.Shares[0].Share > 0.2)
	is.Equal(status.Shares[0].Reason, spiller.ReasonHomeSlower)
	is.Equal(status.Paths, []spiller.PathStatus{{To: "y", RoundTripMillis: 1}})
	is.True(g.ejector.ZoneCost("s", "z", "y") >= 10*time.Millisecond)
	is.True(g.placer.ZoneCost("s", "z", "y") > placer.DefaultZoneCost("z", "y"))
}

// Guards against any effect without the setting: other costs, other choices, and bytes in
// heartbeats.
func TestWithoutTheSettingTheConstantsApply(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newSpillingDaemon(clock, configurer.SpillOff)
	runOverloaded(g, clock, 10)
	is.Equal(len(g.zoneLoads()), 0)
	is.Equal(len(g.relayedZoneLoads()), 0)
	is.Equal(g.zoneStatus(), nil)
	is.Equal(g.ejector.EntryZone("s"), identifier.ZoneName("z"))
	is.Equal(g.ejector.ZoneCost("s", "z", "y"), ejector.DefaultZoneCost("s", "z", "y"))
	is.Equal(g.placer.ZoneCost("s", "z", "y"), placer.DefaultZoneCost("z", "y"))
}

// Guards against a dead hub that makes the path to its zone look lossy, and against
// measurements of the daemon's own zone.
func TestPathsAreMeasuredToLiveHubsInOtherZones(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newSpillingDaemon(clock, configurer.SpillMeasured)
	g.observePath("hub", 2*time.Millisecond, false)
	g.observePath("hub", time.Second, true)
	paths := g.spiller.PathStatuses()
	is.Equal(len(paths), 1)
	lossRate := paths[0].LossRate
	is.True(lossRate > 0)
	clock.Advance(peerSilenceTimeout + time.Millisecond)
	g.observePath("hub", time.Second, true) // nobody hears the hub now
	is.Equal(g.spiller.PathStatuses()[0].LossRate, lossRate)
	g.Peers.RecordHeartbeat(heartbeater.Heartbeat{Incarnation: "near", VM: "near", Zone: "z", Peer: "near"})
	g.Peers.RecordResponse("near", "near", clock.Now())
	g.observePath("near", time.Millisecond, false)
	g.observePath("unknown", time.Millisecond, false)
	is.Equal(len(g.spiller.PathStatuses()), 1)
}

// Guards against a lost age: sums that are relayed late must not look new.
func TestRelayedSumsAge(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newSpillingDaemon(clock, configurer.SpillMeasured)
	runOverloaded(g, clock, 1)
	before := g.relayedZoneLoads()
	clock.Advance(2 * time.Second)
	after := g.relayedZoneLoads()
	for i := range before {
		is.Equal(after[i].Age, before[i].Age+2*time.Second)
	}
}

// Guards against shares for a zone to which nothing may be sent.
func TestEvacuatedZonesHaveNoCapacity(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newSpillingDaemon(clock, configurer.SpillMeasured)
	is.Equal(len(g.zoneCapacities("s")), 2)
	g.evacuator.ApplyRelay(evacuator.Relay{NextPosition: 5, Evacuations: []evacuator.Evacuation{{Zone: "y", Position: 4}}})
	is.Equal(g.zoneCapacities("s"), map[identifier.ZoneName]spiller.Capacity{"z": {Slots: 12}})
}
