// Package gateway implements a daemon that forwards requests unchanged to
// upstreams which register themselves on a platform.
//
//	callers ──> caller handler ──> proxier ──> exchanger ──> upstreams
//	                                  │
//	                         placer (here or at a peer)
//	log ──> version reader ──> follower, router
//	    ──> upstream reader ──> registrar ──> placer
//	    ──> epochs ──> fleet (membership, shares) <──> peers
package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/oklog/run"
	"github.com/oklog/ulid/v2"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/connection/drainer"
	"sassafraspass.dev/sassafraspass/connection/exchanger"
	"sassafraspass.dev/sassafraspass/connection/opener"
	"sassafraspass.dev/sassafraspass/connection/rationer"
	"sassafraspass.dev/sassafraspass/connection/screener"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/asserter"
	"sassafraspass.dev/sassafraspass/process/configurer"
	"sassafraspass.dev/sassafraspass/process/evacuator"
	"sassafraspass.dev/sassafraspass/process/fleet"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/rebalancer"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/process/sharer"
	"sassafraspass.dev/sassafraspass/request/abstainer"
	"sassafraspass.dev/sassafraspass/request/accountant"
	"sassafraspass.dev/sassafraspass/request/admitter"
	"sassafraspass.dev/sassafraspass/request/apportioner"
	"sassafraspass.dev/sassafraspass/request/broker"
	"sassafraspass.dev/sassafraspass/request/budgeter"
	"sassafraspass.dev/sassafraspass/request/coldstarter"
	"sassafraspass.dev/sassafraspass/request/confiner"
	"sassafraspass.dev/sassafraspass/request/ejector"
	"sassafraspass.dev/sassafraspass/request/placer"
	"sassafraspass.dev/sassafraspass/request/proxier"
	"sassafraspass.dev/sassafraspass/request/requester"
	"sassafraspass.dev/sassafraspass/request/reserver"
	"sassafraspass.dev/sassafraspass/request/spiller"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
	"sassafraspass.dev/sassafraspass/version/router"
)

const (
	// userTimeout is the TCP user timeout of accepted connections: how long sent
	// bytes may stay unacknowledged. Like the keep-alive below, it ends the
	// connections of callers that vanished without closing them.
	userTimeout = 5 * time.Second
	// TCP keep-alive of accepted connections: the first probe follows after
	// keepAliveIdle without traffic, further ones every keepAliveInterval, and the
	// connection is closed after keepAliveCount unacknowledged probes.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// defaultMaxBodyBytes applies if the configuration sets no maximum.
	defaultMaxBodyBytes = 4 << 20
	// memoryLimitFraction is the fraction of the VM's memory that is set as the memory
	// limit of the Go runtime.
	memoryLimitFraction = 0.6
	// bufferFraction is the fraction of the VM's memory that bodies and heads may take
	// while they are buffered.
	bufferFraction = 0.2
	// minBufferMemory applies to a VM of less memory, which could buffer nothing else.
	minBufferMemory = 4 << 20
	pruneInterval   = 500 * time.Millisecond
)

// Gateway is one daemon of the fleet.
type Gateway struct {
	*fleet.Fleet

	settings       atomic.Pointer[configurer.Settings]
	drivers        Drivers
	listeners      listeners
	metricsHandler http.Handler

	registrar    *registrar.Registrar
	abstainer    *abstainer.Abstainer
	evacuator    *evacuator.Evacuator
	coldstarter  *coldstarter.Coldstarter
	confiner     *confiner.Confiner
	placer       *placer.Placer
	broker       *broker.Broker
	admitter     *admitter.Admitter
	requester    *requester.Requester
	contentions  contentionTracker
	serverCounts sync.Map
	rebalancer   *rebalancer.Rebalancer
	sharer       *sharer.Sharer
	apportioner  *apportioner.Apportioner
	accountant   *accountant.Accountant
	limitAccount configurer.LimitAccount
	reserver     *reserver.Reserver
	retryBudget  *budgeter.Budgeter
	exchanger    *exchanger.Exchanger
	memory       *rationer.Rationer
	screener     *screener.Screener
	connGroups   map[connClass]*screener.Group
	ejector      *ejector.Ejector
	proxier      *proxier.Proxier
	spiller      *spiller.Spiller
	callerServer *http.Server
	drainer      *drainer.Drainer
	router       atomic.Pointer[router.Router]
	// lastPlacementNumber is the number in the newest placement key of this daemon.
	lastPlacementNumber atomic.Int64
	vmList              *vmListTracker
	// heartbeatCount counts the heartbeats that this daemon sends while it is no hub.
	// It selects the hubs in turn.
	heartbeatCount atomic.Int64
	// isStoreDown is set if the last read of the configuration failed.
	isStoreDown atomic.Bool
	// isEpochReadDue is set if this daemon has to read the epochs although the hubs relay
	// them.
	isEpochReadDue atomic.Bool
	// zoneSums are the sums that this daemon relays as a hub.
	zoneSums atomic.Pointer[zoneSums]
	// upstreamsChanged wakes distributeUpstreams.
	upstreamsChanged chan struct{}
	lists            *listExchange
	logReads         logReads
}

// listeners holds the daemon's open listeners.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
	readiness net.Listener
	directory net.Listener
}

// New opens a daemon's listeners and wires its components. The cleanup function
// closes what New opened.
func New(settings configurer.Settings, drivers Drivers, log *slog.Logger, clock clockwork.Clock) (g *Gateway, cleanup func(), err error) {
	defer annotator.Annotate(&err, "start gateway")
	var closers []func()
	cleanup = func() {
		for i := len(closers) - 1; i >= 0; i-- {
			closers[i]()
		}
	}
	var memory *rationer.Rationer
	if settings.Gateway.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * settings.Gateway.MemoryMiB * (1 << 20)))
		memory = rationer.New(max(minBufferMemory, int64(bufferFraction*settings.Gateway.MemoryMiB*(1<<20))))
	}
	g = &Gateway{
		drivers:          drivers,
		memory:           memory,
		limitAccount:     settings.Gateway.LimitAccount,
		upstreamsChanged: make(chan struct{}, 1),
		vmList:           newVMListTracker(),
		lists:            newListExchange(clock),
	}
	g.settings.Store(&settings)
	g.router.Store(router.New(nil))
	closeListeners, err := g.listen()
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
	g.metricsHandler = handler
	processLog := logger.For(log, logger.Process)
	deps := fleet.Dependencies{
		Clock:  clock,
		Log:    processLog,
		Meter:  m,
		Assert: asserter.New(processLog, m, settings.Assertion == configurer.AssertFatal),
	}
	closers = append(closers, g.wire(deps)...)
	return g, cleanup, nil
}

// listen opens the daemon's listeners.
func (g *Gateway) listen() (closeAll func(), err error) {
	settings := g.currentSettings()
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         func(_, _ string, raw syscall.RawConn) error { return exchanger.SetTCPUserTimeout(raw, userTimeout) },
	}
	return opener.Open(config, []opener.Binding{
		{Address: settings.CallerAddress, Listener: &g.listeners.callers},
		{Address: settings.PeerAddress, Listener: &g.listeners.peers},
		{Address: settings.OperatorAddress, Listener: &g.listeners.operators},
		{Address: settings.Gateway.ReadinessAddress, Listener: &g.listeners.readiness},
		{Address: settings.Gateway.DirectoryAddress, Listener: &g.listeners.directory},
	})
}

// identity returns how this daemon describes itself to the others, with a new
// incarnation.
func (g *Gateway) identity() fleet.Identity {
	peer := g.currentSettings().Gateway.AdvertisedPeerAddress
	if peer == "" {
		peer = identifier.Address(g.listeners.peers.Addr().String())
	}
	return fleet.Identity{
		Self: epochtracker.Member{
			Incarnation: identifier.Incarnation(ulid.Make().String()),
			VM:          g.currentSettings().VM,
			PeerAddress: peer,
		},
		Zone:            g.currentSettings().Zone,
		CallerAddress:   identifier.Address(g.listeners.callers.Addr().String()),
		OperatorAddress: identifier.Address(g.listeners.operators.Addr().String()),
		Seeds:           g.currentSettings().Seeds,
		CPUCores:        g.currentSettings().Gateway.CPUCores,
	}
}

// newServer returns a server without limits and timeouts of its own, for serveScreened.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:        handler,
		MaxHeaderBytes: maxScreenedHeaderBytes,
		ErrorLog:       slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
}

// maxBody returns the maximum size of a caller's request body in bytes.
func (g *Gateway) maxBody() int64 {
	configured := g.Follower.Version().Bounds.MaxBodyBytes
	if configured <= 0 {
		return defaultMaxBodyBytes
	}
	return configured
}

// Run serves until the context ends, and then shuts down gracefully. It returns
// the error of the first background task or server that ended, or nil after a
// graceful shutdown.
func (g *Gateway) Run(ctx context.Context) error {
	var group run.Group
	for _, task := range g.backgroundTasks() {
		taskCtx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return task(taskCtx) }, func(error) { cancel() })
	}
	g.serveScreened(&group, callerConns, g.callerServer, g.drainer.Listen(g.listeners.callers))
	g.serveScreened(&group, peerConns, newServer(g.peerHandler()), g.listeners.peers)
	g.serveScreened(&group, operatorConns, newServer(g.operatorHandler()), g.listeners.operators)
	g.serveScreened(&group, operatorConns, newServer(g.drivers.ReadinessHandler(g.acceptsRequests)), g.listeners.readiness)
	g.serveScreened(&group, callerConns, newServer(g.drivers.DirectoryHandler(g.servingAddresses, g.currentSettings().EntryMaxAge)), g.listeners.directory)
	runCtx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return g.awaitStop(ctx, runCtx) }, func(error) { cancel() })
	g.Log.Info("Started.", "vm", g.currentSettings().VM, "incarnation", g.Identity.Self.Incarnation, "callers", g.currentSettings().CallerAddress)
	err := group.Run()
	g.Log.Info("Stopped.", "err", err)
	return err
}

// backgroundTasks returns the functions that run for the daemon's whole life.
func (g *Gateway) backgroundTasks() []func(ctx context.Context) error {
	return append(
		g.BackgroundTasks(),
		g.registerWithRetry,
		g.followVersions,
		g.followEpochs,
		g.followUpstreams,
		g.distributeUpstreams,
		g.watchPeers,
		g.watchColdUpstreams,
		g.placer.Run,
		g.broker.Run,
		g.admitter.Run,
		g.rebalancer.Run,
		g.sharer.Run,
		g.spill,
		g.pruneConnections,
	)
}
