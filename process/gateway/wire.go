package gateway

import (
	"context"
	"time"

	"sassafraspass.dev/sassafraspass/connection/drainer"
	"sassafraspass.dev/sassafraspass/connection/exchanger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/confirmer"
	"sassafraspass.dev/sassafraspass/process/fleet"
	"sassafraspass.dev/sassafraspass/process/leaser"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/rebalancer"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/process/sharer"
	"sassafraspass.dev/sassafraspass/request/abstainer"
	"sassafraspass.dev/sassafraspass/request/broker"
	"sassafraspass.dev/sassafraspass/request/budgeter"
	"sassafraspass.dev/sassafraspass/request/ejector"
	"sassafraspass.dev/sassafraspass/request/placer"
	"sassafraspass.dev/sassafraspass/request/proxier"
)

const (
	// majorityWindow is how recently a daemon must have heard a majority to change the
	// roles of engines. memberSilenceTimeout is the silence after which the others give a
	// daemon's limits to another one. It is longer, so that the daemon has stopped
	// admitting by then.
	majorityWindow       = 1200 * time.Millisecond
	memberSilenceTimeout = 1800 * time.Millisecond
	// minoritySilenceTimeout replaces memberSilenceTimeout at a hub that reads the
	// log but hears no majority. If a majority is alive and reads the log too, it
	// removes that hub within half this time. maxSilenceTimeout applies to daemons
	// outside the epoch and to hubs that neither hear a majority nor read the log; it
	// is longer than the usual network partitions.
	minoritySilenceTimeout = 5 * time.Second
	maxSilenceTimeout      = 15 * time.Second
	// maxEvidenceAge is how long after its newest crash the evidence against a prompt
	// part is kept.
	maxEvidenceAge = 10 * time.Minute
)

// wire builds the components and connects them. It returns the functions that
// close them.
func (g *Gateway) wire(deps fleet.Dependencies) (closers []func()) {
	g.watchEra(deps)
	f, closeFleet := fleet.New(g.identity(), g.fleetDrivers(), deps)
	g.Fleet = f
	f.WholeLimits = true
	f.Proposer.IsPassive = func() bool { return !g.isHub() && g.hearsHub() }
	f.Proposer.Rejoins = true
	f.Proposer.SilenceTimeout = memberSilenceTimeout
	f.Proposer.MinoritySilenceTimeout = minoritySilenceTimeout
	f.Proposer.MaxSilenceTimeout = maxSilenceTimeout
	f.Proposer.CanReadLog = func() bool {
		age := f.Confirmer.ConfirmationAge()
		return age != confirmer.Never && age < memberSilenceTimeout
	}
	f.Proposer.HearsMajority = func() bool { return f.HearsMajority(memberSilenceTimeout) }
	g.wireLimiter(deps)
	f.IsInitialized = func() bool { return g.registrar.IsComplete() && g.evacuator.IsKnown() }
	f.Proposer.MaxMembers = maxHubs
	f.Heartbeater.Targets = g.heartbeatTargets
	f.ExtendHeartbeat = g.extendHeartbeat
	f.AddMarks = g.addMarks
	f.BuildRelay = g.buildRelay
	f.OnHeartbeat = g.applyRelay
	f.Follower.OnChange = g.applyVersion
	g.registrar = registrar.New(deps.Clock)
	g.registrar.OnChange = g.notifyUpstreamsChanged
	g.registrar.OnLate = func(entry registrar.Entry, hold time.Duration) {
		logger.For(deps.Log, logger.Upstream).Info("A record of an upstream was carried out late.", "upstream", entry.Name, "state", entry.State, "offset", entry.Position, "withheld-for-ms", hold.Milliseconds())
	}
	g.registrar.OnDefer = func(name identifier.UpstreamName, hold time.Duration) {
		logger.For(deps.Log, logger.Upstream).Info("The removal of an upstream is deferred, as the store was out of reach.", "upstream", name, "for-ms", hold.Milliseconds())
	}
	g.wireAbstainer(deps)
	g.wireEvacuator(deps)
	g.wireColdstarter(deps)
	g.wireConfiner()
	g.placer = placer.New(deps.Clock)
	g.placer.Grants = placer.Grants{IsCold: g.coldstarter.IsCold, May: g.coldstarter.HasGrant, Take: g.coldstarter.TakeGrant}
	g.placer.Choice = placer.Choice(g.currentSettings().Gateway.EngineChoice)
	x, closeExchanger := exchanger.New(deps.Clock)
	x.IsMatchingResponse = g.drivers.IsMatchingResponse
	x.EchoedID = g.drivers.EchoedID
	x.Memory = g.memory
	x.MaxIdle = maxIdleUpstreamConns(descriptorLimit(g.currentSettings().Gateway.FileDescriptors))
	g.exchanger = x
	g.drainer = drainer.New(deps.Clock)
	g.wireScreener(deps)
	g.ejector = ejector.New(deps.Clock, g.currentSettings().Zone)
	g.wireRetries(deps)
	g.wireReserver(deps)
	g.wireBroker(deps)
	g.wireAdmission(deps)
	g.wireRebalancer(deps)
	g.wireSharer(deps)
	g.wireSpiller(deps)
	g.proxier = &proxier.Proxier{
		Version:       f.Follower.Version,
		Router:        g.router.Load,
		Registrar:     g.registrar,
		Abstainer:     g.abstainer,
		Evacuator:     g.evacuator,
		Coldstarter:   g.coldstarter,
		Confiner:      g.confiner,
		Authenticator: f.Authenticator,
		ReserveTokens: g.reserver.Reserve,
		RetryBudget:   g.retryBudget,
		Ejector:       g.ejector,
		Placements:    proxier.PlacementClient{Place: g.broker.Acquire, Report: g.broker.ForwardReport, NextKey: g.nextPlacementKey},
		Admissions:    g.requester,
		Exchanger:     x,
		Drainer:       g.drainer,
		BeginHop:      g.beginHop,
		Memory:        g.memory,
		Protocol:      g.drivers.RequestProtocol,
		ConfigAge:     f.Confirmer.ConfirmationAge,
		IsStoreDown:   g.isStoreDown.Load,
		Clock:         deps.Clock,
		Log:           logger.For(deps.Log, logger.Request),
		Meter:         deps.Meter,
	}
	g.callerServer = newServer(g.drivers.CallerHandler(g.proxier, g.maxBody))
	g.drainer.Attach(g.callerServer)
	return []func(){closeFleet, closeExchanger}
}

func (g *Gateway) wireAbstainer(deps fleet.Dependencies) {
	log := logger.For(deps.Log, logger.Upstream)
	g.abstainer = abstainer.New(deps.Clock)
	g.abstainer.OnDeparture = func(upstream identifier.UpstreamName, isOwn bool) {
		deps.Meter.CountEvent(meter.EventDeparture)
		log.Info("An upstream is leaving.", "upstream", upstream, "told-by-peer", !isOwn)
		g.notifyUpstreamsChanged()
		if isOwn {
			g.Heartbeater.SendAllNow()
		}
	}
}

func (g *Gateway) wireBroker(deps fleet.Dependencies) {
	g.broker = broker.New()
	g.broker.Self = g.Identity.Self.Incarnation
	g.broker.Placer = g.placer
	g.broker.Candidates = g.placementCandidates
	g.broker.Place = g.PeerClient.Place
	g.broker.SendReports = g.PeerClient.ReportPlacements
	g.broker.Clock = deps.Clock
	g.broker.Log = logger.For(deps.Log, logger.Upstream)
	g.broker.Meter = deps.Meter
}

func (g *Gateway) wireRebalancer(deps fleet.Dependencies) {
	log := logger.For(deps.Log, logger.Upstream)
	l := leaser.New()
	l.OwnClaim = leaser.Claim{Holder: g.currentSettings().VM, Incarnation: g.Identity.Self.Incarnation}
	l.ReadNewestClaim = g.drivers.NewestClaim
	l.AppendClaim = g.drivers.AppendClaim
	l.HandoverWait = func() time.Duration { return g.currentSettings().Gateway.OrderHandoverWait + rebalancer.MaxSendDelay }
	l.Clock = deps.Clock
	l.Log = log
	g.rebalancer = rebalancer.New()
	g.rebalancer.Self = g.currentSettings().VM
	g.rebalancer.Services = g.placedServices
	g.rebalancer.IsEnabled = func() bool { return g.currentSettings().Gateway.OrderHandoverWait > 0 }
	g.rebalancer.Placer = g.placer
	g.rebalancer.Leaser = l
	g.rebalancer.Exchange = func(ctx context.Context, engine registrar.Entry, message exchanger.Request) (*exchanger.Response, error) {
		if !g.coldstarter.Take(engine) {
			return nil, &exchanger.SendError{Err: errEngineCold}
		}
		return g.proxier.Send(ctx, engine, message)
	}
	g.rebalancer.Protocol = g.drivers.OrderProtocol
	g.rebalancer.Clock = deps.Clock
	g.rebalancer.Log = log
	g.rebalancer.Meter = deps.Meter
}

func (g *Gateway) wireSharer(deps fleet.Dependencies) {
	g.sharer = sharer.New()
	g.sharer.Services = g.modelServices
	g.sharer.IsHub = g.isHub
	g.sharer.IsPlacing = g.isPlacing
	g.sharer.Suspicions = g.placer.Suspicions
	g.sharer.Adopt = g.placer.AdoptSuspicions
	g.sharer.MaxAge = maxEvidenceAge
	g.sharer.ReadRecords = g.drivers.ReadQuarantines
	g.sharer.AppendRecord = g.drivers.AppendQuarantine
	g.sharer.DropRecord = g.drivers.DropQuarantine
	g.sharer.Announce = g.Heartbeater.SendAllNow
	g.sharer.Clock = deps.Clock
	g.sharer.Log = logger.For(deps.Log, logger.Upstream)
	g.sharer.Meter = deps.Meter
	g.placer.OnQuarantine = g.sharer.HandleQuarantine
}

func (g *Gateway) wireRetries(deps fleet.Dependencies) {
	g.retryBudget = budgeter.New(deps.Clock, retryBounds(*g.currentSettings().Gateway))
	g.retryBudget.DaemonCount = g.daemonCount
}
