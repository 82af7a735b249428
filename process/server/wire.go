package server

import (
	"log/slog"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/connection/listener"
	"sassafraspass.dev/sassafraspass/connection/messenger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/allotter"
	"sassafraspass.dev/sassafraspass/process/borrower"
	"sassafraspass.dev/sassafraspass/process/confirmer"
	"sassafraspass.dev/sassafraspass/process/fetcher"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/journaler"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/poller"
	"sassafraspass.dev/sassafraspass/request/admitter"
	"sassafraspass.dev/sassafraspass/request/canceller"
	"sassafraspass.dev/sassafraspass/request/coordinator"
	"sassafraspass.dev/sassafraspass/request/forwarder"
	"sassafraspass.dev/sassafraspass/request/limiter"
	"sassafraspass.dev/sassafraspass/request/picker"
	"sassafraspass.dev/sassafraspass/request/planner"
	"sassafraspass.dev/sassafraspass/request/recorder"
	"sassafraspass.dev/sassafraspass/request/scheduler"
	"sassafraspass.dev/sassafraspass/request/seater"
	"sassafraspass.dev/sassafraspass/request/streamer"
	"sassafraspass.dev/sassafraspass/version/epocher"
	"sassafraspass.dev/sassafraspass/version/follower"
	"sassafraspass.dev/sassafraspass/version/parser"
	"sassafraspass.dev/sassafraspass/version/snapshotter"
)

// wire makes the parts and returns their clean-up functions.
func (s *Server) wire(log *slog.Logger) (closers []func()) {
	logClient, closeLog := appender.NewClient(s.settings.Log)
	messages, closeMessages := messenger.NewClient()
	engines, closeEngines := dispatcher.NewEngines()
	services, closeServices := dispatcher.NewServices()
	s.logClient = logClient
	s.messages = messages
	s.wireVersion(log)
	s.wireMembers(log)
	s.wireLimits(log)
	s.wireEngines(log, engines)
	s.wireServices(log, services)
	s.wireListener(log)
	return []func(){closeLog, closeMessages, closeEngines, closeServices}
}

func (s *Server) wireVersion(log *slog.Logger) {
	configLog := logger.For(log, logger.Config)
	s.follower = follower.New(s.assert, s.meter)
	s.epocher = epocher.New()
	s.confirmer = confirmer.New(s.clock, s.self.Incarnation, appender.StreamConfig, appender.StreamEpochs)
	s.confirmer.Known = func() (identifier.Offset, identifier.Offset) {
		return s.follower.Version().Number, s.epocher.Current().Number
	}
	s.confirmer.Members = s.epochIncarnations
	s.fetcher = fetcher.New()
	s.fetcher.Follower = s.follower
	s.fetcher.Epocher = s.epocher
	s.fetcher.Fetch = s.messages.FetchConfig
	s.fetcher.Log = configLog
	s.snapshot = &snapshotter.Snapshotter{
		Interval: s.settings.SnapshotInterval,
		IsChosen: s.isFirst,
		Version:  s.follower.Version,
		Epoch:    s.epocher.Current,
		Append:   s.logClient.Append,
		Clock:    s.clock,
		Log:      configLog,
	}
}

func (s *Server) wireMembers(log *slog.Logger) {
	s.members = heartbeater.NewMembers(s.clock, s.self.Incarnation)
	s.heartbeat = heartbeater.New()
	s.heartbeat.Members = s.members
	s.heartbeat.Self = s.self.Peer
	s.heartbeat.Seeds = s.settings.Seeds
	s.heartbeat.Beat = s.beat
	s.heartbeat.Exchange = s.messages.Heartbeat
	s.heartbeat.Received = s.received
	s.heartbeat.ReadVMs = s.logClient.VMs
	s.heartbeat.Known = s.watched
	s.heartbeat.Clock = s.clock
	s.heartbeat.Log = logger.For(log, logger.Members)
	s.guardian = journaler.NewGuardian()
	s.guardian.IsGone = func(member epocher.Member) bool {
		return s.members.Proof(member) != heartbeater.ProofNone
	}
	s.guardian.Owner = s.owner
	s.guardian.Clock = s.clock
	s.guardian.Log = logger.For(log, logger.Cancel)
	s.guardian.Meter = s.meter
}

func (s *Server) wireLimits(log *slog.Logger) {
	sharesLog := logger.For(log, logger.Shares)
	s.limiter = limiter.New(s.clock, s.assert)
	s.limiter.IsCurrent = s.confirmer.IsCurrent
	s.borrower = borrower.New()
	s.borrower.Self = s.self.Incarnation
	s.borrower.Limiter = s.limiter
	s.borrower.Lenders = s.lenders
	s.borrower.Borrow = s.messages.Borrow
	s.borrower.Clock = s.clock
	s.borrower.Log = sharesLog
	s.borrower.Meter = s.meter
	s.allotter = &allotter.Allotter{
		Self:      s.self,
		Epocher:   s.epocher,
		Limiter:   s.limiter,
		Members:   s.members,
		IsJoining: func() bool { return !s.leaving.Load() && s.versionRead.Load() },
		IsCurrent: s.confirmer.IsCurrent,
		Append:    s.logClient.Append,
		Removed:   func() { s.removeOnce.Do(func() { close(s.removed) }) },
		Clock:     s.clock,
		Log:       sharesLog,
	}
	s.epocher.Changed = s.enterEpoch
}

func (s *Server) wireEngines(log *slog.Logger, engines *dispatcher.Engines) {
	s.scheduler = scheduler.New(s.clock, s.assert, planner.New())
	s.coordinator = coordinator.New(s.clock, s.scheduler)
	s.seater = seater.New()
	s.seater.Self = s.self.Incarnation
	s.seater.Local = s.coordinator
	s.seater.Target = s.coordinatorOf
	s.seater.Acquire = s.messages.Acquire
	s.seater.Reseat = s.messages.Reseat
	s.seater.Settle = s.messages.Settle
	s.seater.Upstream = func(name identifier.UpstreamName) (parser.Upstream, bool) {
		return s.follower.Version().Upstream(name)
	}
	s.seater.Clock = s.clock
	s.seater.Log = logger.For(log, logger.Upstream)
	s.seater.Meter = s.meter
	s.poller = &poller.Poller{
		IsCoordinator: func(model identifier.ModelName) bool { return s.coordinatorOf(model) == "" },
		Version:       s.follower.Version,
		Engines:       engines,
		Scheduler:     s.scheduler,
		Clock:         s.clock,
	}
	s.journaler = journaler.New()
	s.journaler.Self = s.self.Incarnation
	s.journaler.Zone = s.settings.Zone
	s.journaler.Live = s.members.Live
	s.journaler.Send = s.messages.SendJournal
	s.journaler.Clock = s.clock
	s.journaler.Log = logger.For(log, logger.Cancel)
	s.canceller = canceller.New()
	s.canceller.Send = engines.Cancel
	s.canceller.Acknowledged = s.journaler.Freed
	s.canceller.Clock = s.clock
	s.canceller.Log = logger.For(log, logger.Cancel)
	s.canceller.Meter = s.meter
	s.guardian.Cancel = s.canceller.Cancel
	s.streamer = &streamer.Streamer{
		Seater:  s.seater,
		Engines: engines,
		Begin:   s.journaler.Begin,
		End:     s.journaler.End,
		Cancel:  s.canceller.Cancel,
		Budget:  streamer.NewBudget(),
		Clock:   s.clock,
		Log:     logger.For(log, logger.Upstream),
		Meter:   s.meter,
		Assert:  s.assert,
	}
}

func (s *Server) wireServices(log *slog.Logger, services *dispatcher.Services) {
	onceLog := logger.For(log, logger.Once)
	s.picker = picker.New(s.clock, s.settings.Zone)
	s.ledger = recorder.NewLedger()
	s.writer = recorder.NewWriter()
	s.writer.Append = s.logClient.Append
	s.writer.Clock = s.clock
	s.writer.Log = onceLog
	s.writer.Meter = s.meter
	s.recorder = &recorder.Recorder{
		Self:   s.self.Incarnation,
		Ledger: s.ledger,
		Writer: s.writer,
		IsLive: s.isLive,
		Clock:  s.clock,
		Log:    onceLog,
	}
	s.forwarder = &forwarder.Forwarder{
		Repeatable: services.Repeatable,
		Once:       services.Once,
		Picker:     s.picker,
		Recorder:   s.recorder,
		Budget:     streamer.NewBudget(),
		Log:        logger.For(log, logger.Upstream),
		Meter:      s.meter,
		Assert:     s.assert,
	}
}

func (s *Server) wireListener(log *slog.Logger) {
	requestLog := logger.For(log, logger.Request)
	s.admitter = admitter.New()
	s.admitter.Version = s.follower.Version
	s.admitter.IsCurrent = s.confirmer.IsCurrent
	s.admitter.Clock = s.clock
	s.admitter.Meter = s.meter
	s.follower.Installed = s.installed
	s.listener = &listener.Listener{
		Version:   s.follower.Version,
		Admitter:  s.admitter,
		Limiter:   s.limiter,
		Streamer:  s.streamer,
		Forward:   s.forwarder,
		IsReady:   s.isReady,
		IsLeaving: s.leaving.Load,
		Entry:     s.entry,
		Resumed:   s.noteResumed,
		Metrics:   s.metrics,
		Clock:     s.clock,
		Log:       requestLog,
		Meter:     s.meter,
	}
	s.callServer = listener.NewServer(s.listener.Handler())
}
