package server

import (
	"log/slog"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/connection/drainer"
	"sassafraspass.dev/sassafraspass/connection/listener"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/fleet"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/poller"
	"sassafraspass.dev/sassafraspass/process/replicator"
	"sassafraspass.dev/sassafraspass/request/allocator"
	"sassafraspass.dev/sassafraspass/request/canceller"
	"sassafraspass.dev/sassafraspass/request/coordinator"
	"sassafraspass.dev/sassafraspass/request/deduplicator"
	"sassafraspass.dev/sassafraspass/request/forwarder"
	"sassafraspass.dev/sassafraspass/request/picker"
	"sassafraspass.dev/sassafraspass/request/planner"
	"sassafraspass.dev/sassafraspass/request/scheduler"
	"sassafraspass.dev/sassafraspass/request/streamer"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
	"sassafraspass.dev/sassafraspass/version/parser"
	"sassafraspass.dev/sassafraspass/version/snapshotter"
)

// wire builds the components, connects them and returns their cleanup
// functions.
func (s *Server) wire(identity fleet.Identity, deps fleet.Dependencies) (closers []func()) {
	logClient, closeLog := appender.NewClient(s.settings.LogAddress)
	s.logClient = logClient
	drivers := fleet.Drivers{Append: logClient.Append, Read: logClient.Read, ReadVMs: logClient.ListVMs}
	f, closeFleet := fleet.New(identity, drivers, deps)
	s.Fleet = f
	engineClient, closeEngines := dispatcher.NewEngineClient()
	serviceClient, closeServices := dispatcher.NewServiceClient()
	log := deps.Log
	s.wireSnapshots(log)
	s.wireReplica(log)
	s.wireEngines(log, engineClient)
	s.wireServices(log, serviceClient)
	s.wireListener(log)
	s.ExtendHeartbeat = s.extendHeartbeat
	s.OnHeartbeat = s.applyHeartbeat
	s.MonitoredDaemons = s.engines.replica.Owners
	return []func(){closeLog, closeFleet, closeEngines, closeServices}
}

func (s *Server) wireSnapshots(log *slog.Logger) {
	s.snapshotter = &snapshotter.Snapshotter{
		Interval: s.settings.SnapshotInterval,
		IsWriter: s.HasLowestIncarnation,
		Version:  s.Follower.Version,
		Epoch:    s.EpochTracker.Current,
		Append:   s.logClient.Append,
		Clock:    s.Clock,
		Log:      logger.For(log, logger.Config),
	}
}

func (s *Server) wireReplica(log *slog.Logger) {
	replica := replicator.NewReplica()
	replica.IsGone = func(member epochtracker.Member) bool {
		return s.Peers.GoneProof(member) != heartbeater.ProofNone
	}
	replica.FindMember = s.findMember
	replica.Clock = s.Clock
	replica.Log = logger.For(log, logger.Cancel)
	replica.Meter = s.Meter
	s.engines.replica = replica
}

func (s *Server) wireEngines(log *slog.Logger, engineClient *dispatcher.EngineClient) {
	s.engines.scheduler = scheduler.New(s.Clock, s.Assert, planner.New())
	s.engines.coordinator = coordinator.New(s.Clock, s.engines.scheduler)
	s.engines.allocator = allocator.New()
	s.engines.allocator.Self = s.Identity.Self.Incarnation
	s.engines.allocator.Local = s.engines.coordinator
	s.engines.allocator.CoordinatorOf = s.CoordinatorOf
	s.engines.allocator.Acquire = s.PeerClient.Acquire
	s.engines.allocator.Reseat = s.PeerClient.MovePlan
	s.engines.allocator.SendEvents = s.PeerClient.ReportPlanEvents
	s.engines.allocator.FindUpstream = func(name identifier.UpstreamName) (parser.Upstream, bool) {
		return s.Follower.Version().Upstream(name)
	}
	s.engines.allocator.Clock = s.Clock
	s.engines.allocator.Log = logger.For(log, logger.Upstream)
	s.engines.allocator.Meter = s.Meter
	s.engines.poller = &poller.Poller{
		IsCoordinator: func(model identifier.ModelName) bool { return s.CoordinatorOf(model) == "" },
		Version:       s.Follower.Version,
		EngineClient:  engineClient,
		Scheduler:     s.engines.scheduler,
		Clock:         s.Clock,
	}
	s.engines.replicator = replicator.New()
	s.engines.replicator.Self = s.Identity.Self.Incarnation
	s.engines.replicator.Zone = s.settings.Zone
	s.engines.replicator.Live = s.Peers.Live
	s.engines.replicator.Send = s.PeerClient.SendJournal
	s.engines.replicator.Clock = s.Clock
	s.engines.replicator.Log = logger.For(log, logger.Cancel)
	s.engines.canceller = canceller.New()
	s.engines.canceller.Send = engineClient.Cancel
	s.engines.canceller.OnReleased = s.engines.replicator.MarkReleased
	s.engines.canceller.Clock = s.Clock
	s.engines.canceller.Log = logger.For(log, logger.Cancel)
	s.engines.canceller.Meter = s.Meter
	s.engines.replica.Cancel = s.engines.canceller.Cancel
	s.engines.streamer = &streamer.Streamer{
		Allocator:     s.engines.allocator,
		Engines:       engineClient,
		BeginAttempts: s.engines.replicator.Begin,
		EndAttempt:    s.engines.replicator.End,
		CancelAttempt: s.engines.canceller.Cancel,
		RetryBudget:   streamer.NewRetryBudget(),
		Clock:         s.Clock,
		Log:           logger.For(log, logger.Upstream),
		Meter:         s.Meter,
		Assert:        s.Assert,
	}
}

func (s *Server) wireServices(log *slog.Logger, serviceClient *dispatcher.ServiceClient) {
	idempotencyLog := logger.For(log, logger.Idempotency)
	s.services.picker = picker.New(s.Clock, s.settings.Zone)
	s.services.index = deduplicator.NewIndex()
	s.services.writer = deduplicator.NewWriter()
	s.services.writer.Append = s.logClient.Append
	s.services.writer.Clock = s.Clock
	s.services.writer.Log = idempotencyLog
	s.services.writer.Meter = s.Meter
	s.services.deduplicator = &deduplicator.Deduplicator{
		Self:   s.Identity.Self.Incarnation,
		Index:  s.services.index,
		Writer: s.services.writer,
		IsLive: s.IsLive,
		Clock:  s.Clock,
		Log:    idempotencyLog,
	}
	s.services.forwarder = &forwarder.Forwarder{
		SendIdempotent:    serviceClient.SendIdempotent,
		SendNonIdempotent: serviceClient.SendNonIdempotent,
		Picker:            s.services.picker,
		Deduplicator:      s.services.deduplicator,
		RetryBudget:       streamer.NewRetryBudget(),
		Log:               logger.For(log, logger.Upstream),
		Meter:             s.Meter,
		Assert:            s.Assert,
	}
}

func (s *Server) wireListener(log *slog.Logger) {
	requestLog := logger.For(log, logger.Request)
	s.Follower.OnChange = s.applyVersion
	s.callerHandler = &listener.Listener{
		Version:        s.Follower.Version,
		Authenticator:  s.Authenticator,
		Limiter:        s.Limiter,
		Streamer:       s.engines.streamer,
		Forwarder:      s.services.forwarder,
		IsReady:        s.IsReady,
		IsDraining:     s.Leaving.Load,
		EntryVMs:       s.newEntry,
		OnResume:       s.recordResumed,
		MetricsHandler: s.metricsHandler,
		Clock:          s.Clock,
		Log:            requestLog,
		Meter:          s.Meter,
	}
	s.callerServer = listener.NewServer(s.callerHandler.Handler())
	s.drainer = drainer.New(s.Clock)
	s.drainer.Attach(s.callerServer)
}
