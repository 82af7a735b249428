// Package gateway is a daemon that passes requests through to upstreams which
// register themselves on a platform.
//
//	callers ──> caller handler ──> carrier ──> exchanger ──> upstreams
//	                                  │
//	                         placer (here or at a peer)
//	store ──> version reader ──> follower, router
//	      ──> upstream reader ──> registrar ──> placer
//	      ──> epochs ──> fleet (membership, shares) <──> peers
package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/oklog/run"
	"github.com/oklog/ulid/v2"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/connection/exchanger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/asserter"
	"sassafraspass.dev/sassafraspass/process/configurer"
	"sassafraspass.dev/sassafraspass/process/confirmer"
	"sassafraspass.dev/sassafraspass/process/fleet"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/request/broker"
	"sassafraspass.dev/sassafraspass/request/budgeter"
	"sassafraspass.dev/sassafraspass/request/carrier"
	"sassafraspass.dev/sassafraspass/request/ejector"
	"sassafraspass.dev/sassafraspass/request/placer"
	"sassafraspass.dev/sassafraspass/request/taker"
	"sassafraspass.dev/sassafraspass/version/epocher"
	"sassafraspass.dev/sassafraspass/version/folder"
	"sassafraspass.dev/sassafraspass/version/parser"
	"sassafraspass.dev/sassafraspass/version/router"
)

const (
	headerTimeout = 5 * time.Second
	// idleTimeout exceeds the longest time that callers keep a connection.
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 64 << 10
	// callerSilence bounds how long bytes to a caller stay unacknowledged.
	callerSilence = 5 * time.Second
	defaultBody   = 4 << 20
	// memoryShare is the part of the VM's memory that the heap may fill.
	memoryShare   = 0.6
	pruneInterval = 500 * time.Millisecond
	// majorityWithin is how lately a majority must be heard for a daemon to
	// admit requests, and silenceProves the longer silence after which the
	// others give its limits to another one.
	majorityWithin = 1200 * time.Millisecond
	silenceProves  = 1800 * time.Millisecond
	// minoritySilence is the silence that proves something to a hub which hears
	// no majority but reads the store: a majority that does so too would have
	// left it out within half of that. To others outsiderSilence does, which
	// exceeds the usual cuts.
	minoritySilence = 5 * time.Second
	outsiderSilence = 15 * time.Second
	// burstShare is the part of the deployment's tolerance that widens the
	// bursts, creditShare the part that a limit's new holder starts with, and
	// deputyShare the part for when the holder is out of reach. Together they
	// stay below all of it.
	burstShare  = 0.5
	creditShare = 0.2
	deputyShare = 0.2
	// loneShare is the part that each daemon admits small requests within
	// when it reaches no other.
	loneShare = 0.02
)

// Handler answers HTTP requests.
type Handler = http.Handler

// VersionNews are the configurations read from the platform.
type VersionNews struct {
	Versions []*folder.Version
	// Broken holds an error for each record that could not be read.
	Broken []error
	Next   identifier.Offset
	// Lost says that records were deleted unread.
	Lost bool
}

// UpstreamChange is one record of an upstream.
type UpstreamChange struct {
	Name   identifier.UpstreamName
	Offset identifier.Offset
	Entry  registrar.Entry
	Gone   bool
	// Broken tells why the record names no upstream.
	Broken error
}

// UpstreamNews are the changes of upstreams read from the platform.
type UpstreamNews struct {
	Changes []UpstreamChange
	Next    identifier.Offset
	Lost    bool
}

// Drivers reach the platform and speak its protocols.
type Drivers struct {
	ReadVMs  func(ctx context.Context) ([]appender.VM, error)
	Announce func(ctx context.Context, vm appender.VM) error
	Retire   func(ctx context.Context, name identifier.VMName) error
	// AppendEpoch adds a proposal where the epochs end at an offset.
	AppendEpoch func(ctx context.Context, data []byte, at identifier.Offset) (identifier.Offset, error)
	ReadEpochs  func(ctx context.Context, stream identifier.StreamName, from identifier.Offset, limit int, wait time.Duration) (appender.Batch, error)
	// NewestEpoch returns the newest proposal, nil where there is none.
	NewestEpoch   func(ctx context.Context) (data []byte, offset identifier.Offset, err error)
	NewestVersion func(ctx context.Context) (VersionNews, error)
	ReadVersions  func(ctx context.Context, from identifier.Offset, wait time.Duration) (VersionNews, error)
	ListUpstreams func(ctx context.Context) (UpstreamNews, error)
	ReadUpstreams func(ctx context.Context, from identifier.Offset, wait time.Duration) (UpstreamNews, error)

	Protocol    carrier.Protocol
	IsOwnAnswer func(answer, sent http.Header) bool

	CallerHandler  func(c *carrier.Carrier, maxBody func() int64, isLeaving func() bool) Handler
	DirectoryEntry func(addresses func(zone identifier.ZoneName) []identifier.Address, maxAge time.Duration) Handler
	ReadyHandler   func(isReady func() bool) http.HandlerFunc
}

// Gateway is one daemon.
type Gateway struct {
	*fleet.Fleet

	settings  atomic.Pointer[configurer.Settings]
	drivers   Drivers
	listeners listeners
	metrics   http.Handler

	registrar *registrar.Registrar
	placer    *placer.Placer
	broker    *broker.Broker
	taker     *taker.Taker
	retries   *budgeter.Budgeter
	exchanger *exchanger.Exchanger
	ejector   *ejector.Ejector
	carrier   *carrier.Carrier
	callers   *http.Server
	routes    atomic.Pointer[router.Router]
	placement atomic.Int64
	roster    *roster
	// turn counts the beats of a daemon that is no hub.
	turn atomic.Int64
	// changed wakes the duty that passes upstreams on to the placer.
	changed chan struct{}
}

// listeners are the daemon's open addresses.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
	readiness net.Listener
	directory net.Listener
}

// New opens a daemon's addresses and wires its parts. The clean-up function
// closes what New opened.
func New(settings configurer.Settings, drivers Drivers, log *slog.Logger, clock clockwork.Clock) (g *Gateway, cleanup func(), err error) {
	defer annotator.Annotate(&err, "start gateway")
	var closers []func()
	cleanup = func() {
		for i := len(closers) - 1; i >= 0; i-- {
			closers[i]()
		}
	}
	if settings.Gateway.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.Gateway.MemoryMiB<<20)))
	}
	g = &Gateway{
		drivers: drivers,
		changed: make(chan struct{}, 1),
		roster:  newRoster(),
	}
	g.settings.Store(&settings)
	g.routes.Store(router.New(nil))
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
	g.metrics = handler
	processLog := logger.For(log, logger.Process)
	tools := fleet.Tools{
		Clock:  clock,
		Log:    processLog,
		Meter:  m,
		Assert: asserter.New(processLog, m, settings.Assertion == configurer.AssertFatal),
	}
	closers = append(closers, g.wire(tools)...)
	return g, cleanup, nil
}

func (g *Gateway) listen() (closeAll func(), err error) {
	var opened []net.Listener
	closeAll = func() {
		for _, l := range opened {
			_ = l.Close()
		}
	}
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3},
		Control:         func(_, _ string, raw syscall.RawConn) error { return exchanger.SetUserTimeout(raw, callerSilence) },
	}
	targets := []struct {
		address identifier.Address
		into    *net.Listener
	}{
		{g.current().Callers, &g.listeners.callers},
		{g.current().Peers, &g.listeners.peers},
		{g.current().Operators, &g.listeners.operators},
		{g.current().Gateway.Readiness, &g.listeners.readiness},
		{g.current().Gateway.Directory, &g.listeners.directory},
	}
	for _, target := range targets {
		l, err := config.Listen(context.Background(), "tcp", string(target.address))
		if err != nil {
			return closeAll, err
		}
		opened = append(opened, l)
		*target.into = l
	}
	return closeAll, nil
}

func (g *Gateway) wire(tools fleet.Tools) (closers []func()) {
	f, closeFleet := fleet.New(g.identity(), g.fleetDrivers(), tools)
	g.Fleet = f
	f.WholeLimits = true
	f.Allotter.IsIdle = func() bool { return !g.isHub() && g.hearsHub() }
	f.Allotter.Rejoins = true
	f.Allotter.SilenceProves = silenceProves
	f.Allotter.MinoritySilence = minoritySilence
	f.Allotter.OutsiderSilence = outsiderSilence
	f.Allotter.ReadsLog = func() bool {
		age := f.Confirmer.LogAge()
		return age != confirmer.Never && age < silenceProves
	}
	f.Allotter.HearsMajority = func() bool { return f.HearsMajority(silenceProves) }
	f.Limiter.IsCurrent = func() bool { return f.Confirmer.IsCurrent() && f.HearsMajority(majorityWithin) }
	f.IsPrepared = func() bool { return g.registrar.IsWhole() }
	f.Limiter.Credit = func(name identifier.WorkspaceName) float64 {
		return float64(tolerance(*g.current().Gateway, g.Follower.Version().Workspaces[name], creditShare))
	}
	f.Allotter.MaxMembers = maxHubs
	f.Heartbeat.Targets = g.targets
	f.Extend = g.extendBeat
	f.Mark = g.mark
	f.Relay = g.relay
	f.Learn = g.learn
	f.Follower.Installed = g.installed
	g.registrar = registrar.New(tools.Clock)
	g.registrar.Changed = g.upstreamsChanged
	g.placer = placer.New(tools.Clock)
	x, closeExchanger := exchanger.New(tools.Clock)
	x.IsOwn = g.drivers.IsOwnAnswer
	g.exchanger = x
	g.ejector = ejector.New(tools.Clock, g.current().Zone)
	g.wireRetries(tools)
	g.wireTaker(tools)
	g.wireBroker(tools)
	g.carrier = &carrier.Carrier{
		Version:   f.Follower.Version,
		Routes:    g.routes.Load,
		Registrar: g.registrar,
		Admitter:  f.Admitter,
		Take:      g.taker.Take,
		Budget:    g.retries,
		Ejector:   g.ejector,
		Places:    carrier.Places{Place: g.broker.Acquire, Report: g.broker.Reported, NextKey: g.nextKey},
		Exchanger: x,
		Protocol:  g.drivers.Protocol,
		Clock:     tools.Clock,
		Log:       logger.For(tools.Log, logger.Request),
		Meter:     tools.Meter,
	}
	g.callers = newServer(g.drivers.CallerHandler(g.carrier, g.maxBody, f.Leaving.Load))
	return []func(){closeFleet, closeExchanger}
}

func (g *Gateway) wireTaker(tools fleet.Tools) {
	g.taker = taker.New()
	g.taker.Self = g.Identity.Self.Incarnation
	g.taker.Limiter = g.Limiter
	g.taker.Homes = func(name identifier.WorkspaceName) []epocher.Member { return g.Epocher.Current().Homes(name) }
	g.taker.Ask = g.Messages.Take
	g.taker.GiveBack = g.Messages.GiveBack
	g.taker.Workspace = func(name identifier.WorkspaceName) (parser.Workspace, bool) {
		workspace, ok := g.Follower.Version().Workspaces[name]
		return workspace, ok
	}
	g.taker.Tolerance = func(w parser.Workspace) identifier.Tokens { return tolerance(*g.current().Gateway, w, deputyShare) }
	g.taker.LoneTolerance = func(w parser.Workspace) identifier.Tokens { return tolerance(*g.current().Gateway, w, loneShare) }
	g.taker.IsQuiet = g.isQuiet
	g.taker.Window = g.current().Gateway.LimitWindow
	g.taker.Clock = tools.Clock
	g.taker.Log = logger.For(tools.Log, logger.Shares)
}

func (g *Gateway) wireBroker(tools fleet.Tools) {
	g.broker = broker.New()
	g.broker.Self = g.Identity.Self.Incarnation
	g.broker.Placer = g.placer
	g.broker.Candidates = g.candidates
	g.broker.Place = g.Messages.Place
	g.broker.Report = g.Messages.ReportPlacements
	g.broker.Clock = tools.Clock
	g.broker.Log = logger.For(tools.Log, logger.Upstream)
	g.broker.Meter = tools.Meter
}

func (g *Gateway) wireRetries(tools fleet.Tools) {
	g.retries = budgeter.New(tools.Clock, retryBounds(*g.current().Gateway))
	g.retries.Daemons = func() int { return max(len(g.Members.Live())+1, len(g.Epocher.Current().Members)) }
}

func (g *Gateway) identity() fleet.Identity {
	return fleet.Identity{
		Self: epocher.Member{
			Incarnation: identifier.Incarnation(ulid.Make().String()),
			VM:          g.current().VM,
			Peer:        identifier.Address(g.listeners.peers.Addr().String()),
		},
		Zone:     g.current().Zone,
		Caller:   identifier.Address(g.listeners.callers.Addr().String()),
		Operator: identifier.Address(g.listeners.operators.Addr().String()),
		Seeds:    g.current().Seeds,
		Weight:   g.current().Gateway.CPUShare,
	}
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
}

// tolerance returns a part of the tokens that the deployment tolerates beyond a
// workspace's rate and burst within its window.
func tolerance(s configurer.Gateway, w parser.Workspace, share float64) identifier.Tokens {
	allowed := float64(w.Rate)*s.LimitWindow.Seconds() + float64(w.Burst)
	return identifier.Tokens(share * (s.LimitOvershoot*allowed + s.LimitSlack))
}

// maxBody returns the largest body that a caller may send, in bytes.
func (g *Gateway) maxBody() int64 {
	stated := g.Follower.Version().Bounds.MaxBodyBytes
	if stated <= 0 {
		return defaultBody
	}
	return stated
}

// Run serves until the context ends, and then stops in a planned way.
func (g *Gateway) Run(ctx context.Context) error {
	var group run.Group
	for _, duty := range g.duties() {
		dutyCtx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return duty(dutyCtx) }, func(error) { cancel() })
	}
	serveOn(&group, g.callers, g.listeners.callers)
	serveOn(&group, newServer(g.peerHandler()), g.listeners.peers)
	serveOn(&group, newServer(g.operatorHandler()), g.listeners.operators)
	serveOn(&group, newServer(g.drivers.ReadyHandler(g.isServing)), g.listeners.readiness)
	serveOn(&group, newServer(g.drivers.DirectoryEntry(g.addresses, g.current().EntryMaxAge)), g.listeners.directory)
	stopCtx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return g.awaitStop(ctx, stopCtx) }, func(error) { cancel() })
	g.Log.Info("Started.", "vm", g.current().VM, "incarnation", g.Identity.Self.Incarnation, "callers", g.current().Callers)
	err := group.Run()
	g.Log.Info("Stopped.", "err", err)
	return err
}

// serveOn adds a server to the group. It returns only when the group ends, as
// a planned stop closes the callers' server first.
func serveOn(group *run.Group, server *http.Server, l net.Listener) {
	closed := make(chan struct{})
	group.Add(func() error {
		err := server.Serve(l)
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-closed
		return nil
	}, func(error) {
		_ = server.Close()
		close(closed)
	})
}

// duties lists what runs for as long as the daemon does.
func (g *Gateway) duties() []func(ctx context.Context) error {
	return append(
		g.Duties(),
		g.announce,
		g.followVersions,
		g.followEpochs,
		g.followUpstreams,
		g.passUpstreams,
		g.watchMembers,
		g.placer.Run,
		g.broker.Run,
		g.pruneConnections,
	)
}
