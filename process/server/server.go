// Package server connects the components of a daemon and runs them.
//
//	callers ──> listener ──> authenticator ──> limiter ──> streamer ──────────> engines
//	               │             (key)         (tokens)      │   │
//	               │                                         │   └─> replicator ──> replicas
//	               │                                     allocator ──> coordinator of the model
//	               │                                   (pair of engines; here or at a peer)
//	               └──> forwarder ──> deduplicator ──> plain services
//
//	log ──> tailers ──> follower (version), epochtracker (epoch), deduplicator (idempotency keys)
//	             └────> confirmer (are version and epoch up to date?)
//	peers <──> heartbeater ──> confirmer, proposer ──> log
//	peers <──> fetcher ──> follower, epochtracker
//	peers <──> borrower <──> limiter
package server

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/oklog/run"
	"github.com/oklog/ulid/v2"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/connection/drainer"
	"sassafraspass.dev/sassafraspass/connection/listener"
	"sassafraspass.dev/sassafraspass/connection/opener"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/asserter"
	"sassafraspass.dev/sassafraspass/process/configurer"
	"sassafraspass.dev/sassafraspass/process/fleet"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/poller"
	"sassafraspass.dev/sassafraspass/process/replicator"
	"sassafraspass.dev/sassafraspass/request/allocator"
	"sassafraspass.dev/sassafraspass/request/canceller"
	"sassafraspass.dev/sassafraspass/request/coordinator"
	"sassafraspass.dev/sassafraspass/request/deduplicator"
	"sassafraspass.dev/sassafraspass/request/forwarder"
	"sassafraspass.dev/sassafraspass/request/picker"
	"sassafraspass.dev/sassafraspass/request/scheduler"
	"sassafraspass.dev/sassafraspass/request/streamer"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
	"sassafraspass.dev/sassafraspass/version/snapshotter"
)

// ErrRemoved reports that a new epoch removed this daemon although it was not
// stopping. The platform should restart it.
var ErrRemoved = errors.New("this daemon was removed from the epoch")

var errAborted = errors.New("the daemon was aborted")

// Server is a daemon that schedules completion requests on engines and forwards
// calls to plain services. Package gateway holds the daemon that forwards
// requests unchanged.
type Server struct {
	*fleet.Fleet

	settings       configurer.Settings
	listeners      listeners
	engines        engineComponents
	services       serviceComponents
	metricsHandler http.Handler

	logClient     *appender.Client
	snapshotter   *snapshotter.Snapshotter
	callerHandler *listener.Listener
	callerServer  *http.Server
	drainer       *drainer.Drainer

	aborted   chan struct{}
	abortOnce sync.Once

	resumedMu sync.Mutex
	resumedAt map[identifier.AttemptID]time.Time
}

// listeners holds the sockets on which the daemon accepts connections.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

// engineComponents holds the components that serve completion requests, which
// run on model engines.
type engineComponents struct {
	scheduler   *scheduler.Scheduler
	coordinator *coordinator.Coordinator
	allocator   *allocator.Allocator
	poller      *poller.Poller
	canceller   *canceller.Canceller
	replicator  *replicator.Replicator
	replica     *replicator.Replica
	streamer    *streamer.Streamer
}

// serviceComponents holds the components that serve calls to plain services.
type serviceComponents struct {
	picker       *picker.Picker
	index        *deduplicator.Index
	writer       *deduplicator.Writer
	deduplicator *deduplicator.Deduplicator
	forwarder    *forwarder.Forwarder
}

// New opens a daemon's listeners and connects its components. The cleanup
// function closes what New opened. On an error, New has already closed it and
// the cleanup function is nil.
func New(settings configurer.Settings, log *slog.Logger, clock clockwork.Clock) (s *Server, cleanup func(), err error) {
	defer annotator.Annotate(&err, "start daemon")
	var closers []func()
	cleanup = func() {
		for i := len(closers) - 1; i >= 0; i-- {
			closers[i]()
		}
	}
	s = &Server{
		settings:  settings,
		aborted:   make(chan struct{}),
		resumedAt: make(map[identifier.AttemptID]time.Time),
	}
	closeListeners, err := s.listen()
	closers = append(closers, closeListeners)
	if err != nil {
		cleanup()
		return nil, nil, err
	}
	m, handler, closeMetrics, err := meter.New()
	if err != nil {
		cleanup()
		return nil, nil, err
	}
	closers = append(closers, func() { _ = closeMetrics() })
	s.metricsHandler = handler
	processLog := logger.For(log, logger.Process)
	deps := fleet.Dependencies{
		Clock:  clock,
		Log:    processLog,
		Meter:  m,
		Assert: asserter.New(processLog, m, settings.Assertion == configurer.AssertFatal),
	}
	closers = append(closers, s.wire(s.identity(), deps)...)
	return s, cleanup, nil
}

// identity describes this daemon to the fleet, with a new incarnation.
func (s *Server) identity() fleet.Identity {
	return fleet.Identity{
		Self: epochtracker.Member{
			Incarnation: identifier.Incarnation(ulid.Make().String()),
			VM:          s.settings.VM,
			PeerAddress: identifier.Address(s.listeners.peers.Addr().String()),
		},
		Zone:            s.settings.Zone,
		CallerAddress:   s.CallerAddress(),
		OperatorAddress: s.OperatorAddress(),
		Seeds:           s.settings.Seeds,
	}
}

// listen opens the listeners for callers, peers and operators.
func (s *Server) listen() (cleanup func(), err error) {
	return opener.Open(net.ListenConfig{}, []opener.Binding{
		{Address: s.settings.CallerAddress, Listener: &s.listeners.callers},
		{Address: s.settings.PeerAddress, Listener: &s.listeners.peers},
		{Address: s.settings.OperatorAddress, Listener: &s.listeners.operators},
	})
}

// CallerAddress returns the address that callers connect to.
func (s *Server) CallerAddress() identifier.Address {
	return identifier.Address(s.listeners.callers.Addr().String())
}

// PeerAddress returns the address that other daemons connect to.
func (s *Server) PeerAddress() identifier.Address {
	return s.Identity.Self.PeerAddress
}

// OperatorAddress returns the address that operators connect to.
func (s *Server) OperatorAddress() identifier.Address {
	return identifier.Address(s.listeners.operators.Addr().String())
}

// Run serves until the context ends and then shuts down gracefully. It returns
// ErrRemoved if an epoch removed the daemon, whose shares then belong to other
// daemons.
func (s *Server) Run(ctx context.Context) error {
	var group run.Group
	for _, task := range s.backgroundTasks() {
		taskCtx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return task(taskCtx) }, func(error) { cancel() })
	}
	opener.Serve(&group, s.callerServer, s.drainer.Listen(s.listeners.callers))
	opener.Serve(&group, listener.NewServer(s.peerHandler()), s.listeners.peers)
	opener.Serve(&group, listener.NewServer(s.operatorHandler()), s.listeners.operators)
	stopCtx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return s.awaitStop(ctx, stopCtx) }, func(error) { cancel() })
	s.Log.Info("Started.", "vm", s.settings.VM, "incarnation", s.Identity.Self.Incarnation,
		"callers", s.CallerAddress(), "peers", s.PeerAddress(), "operators", s.OperatorAddress())
	err := group.Run()
	s.Log.Info("Stopped.", "err", err)
	return err
}

// backgroundTasks lists the functions that run for the daemon's whole lifetime.
func (s *Server) backgroundTasks() []func(ctx context.Context) error {
	return append(
		s.BackgroundTasks(),
		s.followConfig,
		s.followEpochs,
		s.followIdempotencyKeys,
		s.watchPeers,
		s.engines.scheduler.Run,
		s.engines.allocator.Run,
		s.engines.poller.Run,
		s.services.writer.Run,
		s.services.deduplicator.RunExpiry,
		s.engines.canceller.Run,
		s.engines.replicator.Run,
		s.engines.replica.Run,
		s.snapshotter.Run,
	)
}
