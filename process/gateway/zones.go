package gateway

import (
	"context"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/configurer"
	"sassafraspass.dev/sassafraspass/process/fleet"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/request/admitter"
	"sassafraspass.dev/sassafraspass/request/ejector"
	"sassafraspass.dev/sassafraspass/request/placer"
	"sassafraspass.dev/sassafraspass/request/spiller"
)

// wireSpiller connects the decision on when leaving the zone pays with what takes it. While
// the setting is off, the constants apply.
func (g *Gateway) wireSpiller(deps fleet.Dependencies) {
	log := logger.For(deps.Log, logger.Upstream)
	zone := g.currentSettings().Zone
	g.spiller = spiller.New(deps.Clock, zone)
	g.spiller.Capacities = g.zoneCapacities
	g.spiller.BytePrice = func() time.Duration {
		price := g.currentSettings().Gateway.ZoneBytePrice
		if price == nil {
			return 0
		}
		return time.Duration(*price * float64(time.Second))
	}
	g.spiller.OnChange = func(change spiller.Change) {
		deps.Meter.SetZoneShare(string(change.Service), string(change.From), string(change.To), change.Share)
		deps.Meter.CountZoneShareChange(string(change.Reason))
		log.Info("The share of requests between zones changed.", "service", change.Service, "from", change.From, "to", change.To, "share", change.Share,
			"old", change.OldShare, "reason", change.Reason, "home-ms", change.HomeTime.Milliseconds(), "away-ms", change.AwayTime.Milliseconds())
	}
	g.Heartbeater.OnExchange = g.observePath
	g.ejector.ZoneCost = func(service identifier.ServiceName, from, to identifier.ZoneName) time.Duration {
		if !g.isSpillMeasured() {
			return ejector.DefaultZoneCost(service, from, to)
		}
		return g.spiller.StayCost(service, from, to)
	}
	g.admitter.ZoneCost = func(service identifier.ServiceName, from, to identifier.ZoneName) time.Duration {
		if !g.isSpillMeasured() {
			return admitter.DefaultZoneCost(from, to)
		}
		return g.spiller.ZoneCost(service, from, to)
	}
	g.ejector.EntryZone = func(service identifier.ServiceName) identifier.ZoneName {
		if !g.isSpillMeasured() {
			return zone
		}
		return g.spiller.EntryZone(service)
	}
	g.placer.ZoneCost = func(service identifier.ServiceName, from, to identifier.ZoneName) time.Duration {
		// The bytes between engines are not known here. The constant stands for them.
		cost := placer.DefaultZoneCost(from, to)
		if cost > 0 && g.isSpillMeasured() {
			cost += g.spiller.ZoneCost(service, from, to)
		}
		return cost
	}
}

func (g *Gateway) isSpillMeasured() bool {
	return g.settings.Load().Gateway.ZoneSpill == configurer.SpillMeasured
}

// zoneCapacities returns the slots of a service's usable upstreams by zone, without the
// evacuated zones.
func (g *Gateway) zoneCapacities(service identifier.ServiceName) map[identifier.ZoneName]spiller.Capacity {
	usable, _ := g.abstainer.Usable(g.registrar.Ready(service))
	capacities := make(map[identifier.ZoneName]spiller.Capacity)
	for _, entry := range usable {
		if g.evacuator.IsEvacuated(entry.Zone) {
			continue
		}
		capacity := capacities[entry.Zone]
		capacity.Slots += max(1, entry.Slots)
		if g.coldstarter.IsCold(entry) {
			capacity.ColdSlots += max(1, entry.Slots)
		}
		capacities[entry.Zone] = capacity
	}
	return capacities
}

// beginHop counts the bytes of a request to a plain server by pair of zones, and tells the
// spiller of it.
func (g *Gateway) beginHop(upstream registrar.Entry) (end func(spiller.Outcome)) {
	endLoad := func(spiller.Outcome) {}
	if g.isSpillMeasured() {
		endLoad = g.spiller.Begin(upstream.Service, upstream.Zone)
	}
	from := g.currentSettings().Zone
	return func(outcome spiller.Outcome) {
		endLoad(outcome)
		if upstream.Zone != from {
			g.Meter.AddZoneBytes(string(from), string(upstream.Zone), outcome.Bytes)
		}
	}
}

// observePath records a heartbeat to a daemon in another zone. One that got no response
// does not count if the daemon is silent for others, too.
func (g *Gateway) observePath(address identifier.Address, took time.Duration, isLost bool) {
	incarnation := g.Peers.IncarnationAt(address)
	peer, ok := g.Peers.Find(incarnation)
	if !ok || peer.Zone == g.currentSettings().Zone || !g.isSpillMeasured() {
		return
	}
	if isLost && g.isSilent(incarnation) {
		return
	}
	g.spiller.ObservePath(peer.Zone, took, isLost)
}

// zoneLoads returns the load of this daemon's own requests for its heartbeats.
func (g *Gateway) zoneLoads() []spiller.ZoneLoad {
	if !g.isSpillMeasured() {
		return nil
	}
	return g.spiller.OwnLoads()
}

// adoptZoneLoads takes over the sums that a hub relays.
func (g *Gateway) adoptZoneLoads(sums []spiller.ZoneLoad) {
	if len(sums) > 0 && g.isSpillMeasured() {
		g.spiller.Adopt(sums)
	}
}

// relayedZoneLoads returns the sums that this daemon relays as a hub. They are computed
// once a step, not for each heartbeat.
func (g *Gateway) relayedZoneLoads() []spiller.ZoneLoad {
	sums := g.zoneSums.Load()
	if sums == nil || !g.isSpillMeasured() {
		return nil
	}
	age := g.Clock.Since(sums.computedAt)
	loads := make([]spiller.ZoneLoad, 0, len(sums.loads))
	for _, load := range sums.loads {
		load.Age += age
		loads = append(loads, load)
	}
	return loads
}

// zoneSums are the sums over the daemons that a hub hears.
type zoneSums struct {
	loads      []spiller.ZoneLoad
	computedAt time.Time
}

// sumZoneLoads adds up the loads of the daemons that a hub heard lately, itself included.
func (g *Gateway) sumZoneLoads() {
	now := g.Clock.Now()
	loads := g.spiller.OwnLoads()
	live := g.Peers.Live()
	for i := range live {
		// The list of live daemons may hold older heartbeats.
		peer, ok := g.Peers.Find(live[i].Incarnation)
		age := now.Sub(peer.HeardAt)
		if !ok || age > heartbeater.LivenessTimeout {
			continue
		}
		for _, load := range peer.ZoneLoads {
			load.Age += age
			loads = append(loads, load)
		}
	}
	sums := spiller.Sum(loads)
	g.zoneSums.Store(&zoneSums{loads: sums, computedAt: now})
	g.spiller.Adopt(sums)
}

// spill takes the steps of the shares until the context ends.
func (g *Gateway) spill(ctx context.Context) error {
	return repeater.Every(ctx, g.Clock, spiller.StepInterval, func() {
		if !g.isSpillMeasured() {
			return
		}
		if g.isHub() {
			g.sumZoneLoads()
		}
		g.spiller.Step()
	})
}

// ZoneStatus is what a daemon has decided on leaving its zone, and what it measured.
type ZoneStatus struct {
	Shares []spiller.Status     `json:"shares"`
	Paths  []spiller.PathStatus `json:"paths"`
}

// zoneStatus returns nil while the constants apply.
func (g *Gateway) zoneStatus() *ZoneStatus {
	if !g.isSpillMeasured() {
		return nil
	}
	return &ZoneStatus{Shares: g.spiller.Statuses(), Paths: g.spiller.PathStatuses()}
}
