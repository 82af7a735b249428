package gateway

import (
	"context"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/confirmer"
	"sassafraspass.dev/sassafraspass/process/evacuator"
	"sassafraspass.dev/sassafraspass/process/fleet"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// maxRelayedEvacuationsAge is the age of the evacuated zones above which a daemon no
	// longer relies on what the hubs relay and reads the log itself.
	maxRelayedEvacuationsAge = 1600 * time.Millisecond
	// evacuationMargin is how long before the end of the evacuation bound a daemon that is
	// cut off stops sending, so that nothing is on its way any more at the end.
	evacuationMargin = 500 * time.Millisecond
	// evacuatedRetryAfter is the Retry-After time if no engine is outside of the evacuated
	// zones.
	evacuatedRetryAfter = time.Second
)

func (g *Gateway) wireEvacuator(deps fleet.Dependencies) {
	log := logger.For(deps.Log, logger.Upstream)
	g.evacuator = evacuator.New(deps.Clock)
	g.evacuator.HasSources = func() bool { return len(g.otherHubs()) > 0 }
	g.evacuator.MaxCutOffAge = func() time.Duration {
		return max(0, g.currentSettings().Gateway.EvacuationBound-evacuationMargin)
	}
	g.evacuator.OnChange = func(change evacuator.Change, isRelayed bool) {
		if change.IsRevoked {
			deps.Meter.CountEvent(meter.EventEvacuationEnd)
			g.coldstarter.RecordReturn(change.Zone)
			log.Warn("The evacuation of a zone ended.", "zone", change.Zone, "offset", change.Position, "relayed", isRelayed)
		} else {
			deps.Meter.CountEvent(meter.EventEvacuation)
			log.Warn("A zone is evacuated.", "zone", change.Zone, "offset", change.Position, "relayed", isRelayed)
		}
		g.notifyUpstreamsChanged()
		g.Heartbeater.SendAllNow()
	}
}

// waitUntilVersionReadDue waits until this daemon has to read the versions and the
// evacuations, which are in the same topic.
func (g *Gateway) waitUntilVersionReadDue(ctx context.Context) {
	longest := maxRelayedAge
	if g.currentSettings().Gateway.EvacuationBound > 0 {
		longest = maxRelayedEvacuationsAge
	}
	for ctx.Err() == nil && !g.isHub() && !g.evacuator.IsOlderThan(longest) {
		age := g.Confirmer.ConfirmationAge()
		if age == confirmer.Never || age > maxRelayedAge {
			return
		}
		repeater.Sleep(ctx, g.Clock, readDuePollInterval)
	}
}

// applyEvacuations applies the evacuations of a batch that was requested at a time. If the
// log waited for a record and there was none, the set is known to be complete at the end
// of the wait.
func (g *Gateway) applyEvacuations(batch VersionBatch, isSnapshot bool, requestedAt time.Time) {
	asOf := requestedAt
	waited := g.Clock.Since(requestedAt) >= versionReadWait
	if waited && !isSnapshot && batch.RecordCount == 0 {
		asOf = requestedAt.Add(versionReadWait)
	}
	g.evacuator.ApplyRead(evacuator.Read{
		Changes:      batch.Evacuations,
		NextPosition: batch.NextPosition,
		IsSnapshot:   isSnapshot,
		ReachedEnd:   batch.ReachedEnd,
		AsOf:         asOf,
	})
}

// waitAfter returns how long the read after a batch waits for a record. A batch with records
// is known to be complete only as of its request, up to versionReadWait ago. The next read
// does not wait and so renews the age of the set. Otherwise all daemons that rely on this one
// would read the log after each change of the configuration.
func waitAfter(batch VersionBatch) time.Duration {
	if batch.RecordCount > 0 {
		return 0
	}
	return versionReadWait
}

// configurePlacer sets a service's engines: those that are neither leaving nor in an
// evacuated zone. If all engines of a role are in evacuated zones, it refuses the requests
// that wait for one.
func (g *Gateway) configurePlacer(name identifier.ServiceName, profile parser.EngineProfile) {
	staying := g.abstainer.Staying(g.registrar.Ready(name))
	var inUse []registrar.Entry
	remaining := map[parser.Role]int{}
	evacuated := map[parser.Role]int{}
	for _, engine := range staying {
		if g.evacuator.IsEvacuated(engine.Zone) {
			evacuated[engine.Role]++
			continue
		}
		remaining[engine.Role]++
		inUse = append(inUse, engine)
	}
	g.placer.SetCompeting(name, g.hasCompetingRoutes(name))
	g.placer.Configure(name, profile, inUse)
	for role, count := range evacuated {
		if count > 0 && remaining[role] == 0 {
			g.placer.RefuseQueued(name, refuser.ZoneEvacuated, "the zone of every "+string(role)+" engine is evacuated", evacuatedRetryAfter)
		}
	}
}

// hasCompetingRoutes reports whether the routes of a service have different priorities.
func (g *Gateway) hasCompetingRoutes(service identifier.ServiceName) bool {
	var priorities []int
	for _, route := range g.Follower.Version().Routes {
		for _, target := range route.Targets {
			if target.Service == service {
				priorities = append(priorities, route.Priority)
			}
		}
	}
	return len(priorities) > 0 && slices.Min(priorities) != slices.Max(priorities)
}
