package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/fleet"
	"sassafraspass.dev/sassafraspass/process/leaser"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/request/coldstarter"
)

const (
	// coldCheckInterval is how often the leases on cold upstreams are renewed and changes
	// of the cold upstreams are logged.
	coldCheckInterval = time.Second
	coldLeaseTimeout  = 500 * time.Millisecond
	// maxLoggedUpstreams limits the names in one log line.
	maxLoggedUpstreams = 8
	// coldDutyPrefix precedes the service in the name of the duty whose holder grants
	// requests to the service's cold upstreams.
	coldDutyPrefix = "cold/"
)

var errEngineCold = errors.New("the engine is cold and gets no more requests for now")

func (g *Gateway) wireColdstarter(deps fleet.Dependencies) {
	g.coldstarter = coldstarter.New(deps.Clock)
	g.coldstarter.Self = g.currentSettings().VM
	g.coldstarter.Bound = func() coldstarter.Bound {
		settings := g.currentSettings().Gateway
		return coldstarter.Bound{Overshoot: settings.ColdOvershoot, Slack: settings.ColdSlack}
	}
	g.coldstarter.Find = func(name identifier.ServiceName) coldstarter.Service {
		service := g.Follower.Version().Services[name]
		return coldstarter.Service{Period: service.ColdPeriod, RatePerSecond: service.ColdRate, HasPlacer: service.Engine != nil}
	}
	g.coldstarter.OnCold = g.notifyUpstreamsChanged
	g.coldstarter.VMs = g.knownVMs
	g.coldstarter.ContactAge = g.Confirmer.ConfirmationAge
	g.coldstarter.ListedSince = func() time.Time { return g.registrar.CompleteSince() }
}

// knownVMs returns the VMs that are listed or heard.
func (g *Gateway) knownVMs() (names []identifier.VMName) {
	for _, listed := range g.Peers.VMs() {
		names = append(names, listed.Name)
	}
	live := g.Peers.Live()
	for i := range live {
		names = append(names, live[i].VM)
	}
	for _, member := range g.EpochTracker.Current().Members {
		names = append(names, member.VM)
	}
	return names
}

// watchColdUpstreams keeps the leases on the cold upstreams of the services that this daemon
// places, and logs which upstreams become cold or warm, until the context ends.
func (g *Gateway) watchColdUpstreams(ctx context.Context) error {
	log := logger.For(g.Log, logger.Upstream)
	l := leaser.New()
	l.OwnClaim = leaser.Claim{Holder: g.currentSettings().VM, Incarnation: g.Identity.Self.Incarnation}
	l.ReadNewestClaim = g.drivers.NewestClaim
	l.AppendClaim = g.drivers.AppendClaim
	// The previous holder grants nothing more after the first wait. The second one is for
	// the requests that were granted before.
	l.HandoverWait = func() time.Duration { return 2 * g.currentSettings().Gateway.OrderHandoverWait }
	l.Clock = g.Clock
	l.Log = log
	var known []identifier.UpstreamName
	for ctx.Err() == nil {
		repeater.Sleep(ctx, g.Clock, coldCheckInterval)
		g.coldstarter.Refresh()
		for _, service := range g.placedServices() {
			settings := g.currentSettings().Gateway
			if settings.ColdOvershoot > 0 && settings.OrderHandoverWait > 0 && g.coldstarter.Find(service).RatePerSecond > 0 {
				g.renewColdLease(ctx, l, service)
			}
		}
		var cold []identifier.UpstreamName
		for _, status := range g.coldstarter.Statuses(g.registrar.All()) {
			cold = append(cold, status.Upstream)
		}
		began, ended := missingFrom(cold, known), missingFrom(known, cold)
		if len(began) > 0 {
			log.Info("Upstreams are cold.", "count", len(began), "names", began[:min(len(began), maxLoggedUpstreams)], "all", len(cold))
		}
		if len(ended) > 0 {
			log.Info("Upstreams are warm.", "count", len(ended), "names", ended[:min(len(ended), maxLoggedUpstreams)], "cold", len(cold))
		}
		known = cold
	}
	return ctx.Err()
}

// renewColdLease acquires or confirms the lease on a service's cold upstreams. It is valid
// for the handover wait from the start of the read that confirms it.
func (g *Gateway) renewColdLease(ctx context.Context, l *leaser.Leaser, service identifier.ServiceName) {
	ctx, cancel := context.WithTimeout(ctx, coldLeaseTimeout)
	defer cancel()
	startedAt := g.Clock.Now()
	_, held, err := l.Acquire(ctx, coldDutyPrefix+string(service))
	if err != nil || !held {
		return
	}
	g.coldstarter.SetLease(service, startedAt.Add(g.currentSettings().Gateway.OrderHandoverWait))
}

// missingFrom returns the names that are not in others.
func missingFrom(names, others []identifier.UpstreamName) (missing []identifier.UpstreamName) {
	for _, name := range names {
		if !slices.Contains(others, name) {
			missing = append(missing, name)
		}
	}
	return missing
}
