// Package fleet wires the components that every daemon of a fleet needs:
// membership, the current configuration version, and the daemon's shares of the
// workspaces' rate limits.
//
//	log ──> tailers ──> follower (version), epochtracker (epoch)
//	             └────> confirmer (are version and epoch up to date?)
//	peers <──> heartbeater ──> confirmer, proposer ──> log
//	peers <──> fetcher ──> follower, epochtracker
//	peers <──> borrower <──> limiter
//	follower, confirmer ──> authenticator
package fleet

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/connection/messenger"
	"sassafraspass.dev/sassafraspass/connection/tailer"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/asserter"
	"sassafraspass.dev/sassafraspass/process/borrower"
	"sassafraspass.dev/sassafraspass/process/confirmer"
	"sassafraspass.dev/sassafraspass/process/fetcher"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/proposer"
	"sassafraspass.dev/sassafraspass/request/authenticator"
	"sassafraspass.dev/sassafraspass/request/limiter"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
	"sassafraspass.dev/sassafraspass/version/follower"
)

// peerCheckInterval is how often WatchPeers looks for live and silent peers.
const peerCheckInterval = 250 * time.Millisecond

// expiryInterval is how often WatchPeers drops the state of long silent peers.
const expiryInterval = 5 * time.Second

// Identity describes this daemon to the other daemons.
type Identity struct {
	Self epochtracker.Member
	Zone identifier.ZoneName
	// CallerAddress and OperatorAddress are the addresses of the daemon's listeners
	// for callers and operators.
	CallerAddress   identifier.Address
	OperatorAddress identifier.Address
	// CPUCores is the number of CPU cores, possibly fractional, that the VM has.
	CPUCores float64
	// Seeds are the peer addresses from the settings. They are contacted in
	// addition to the listed VMs.
	Seeds []identifier.Address
}

// Drivers are the functions that access the platform's log and list of VMs.
type Drivers struct {
	// Append appends a record to a stream of the log and returns its offset.
	// After an error the record may still have been appended.
	Append func(ctx context.Context, stream identifier.StreamName, data []byte) (identifier.Offset, error)
	// AppendAt appends an epoch record if the epochs still end at a position, and replaces
	// Append unless it is nil.
	AppendAt func(ctx context.Context, data []byte, at identifier.Position) (identifier.Position, error)
	// Read returns up to limit records of a stream, starting at an offset. It
	// waits up to wait for the first one.
	Read func(ctx context.Context, stream identifier.StreamName, from identifier.Offset, limit int, wait time.Duration) (appender.Batch, error)
	// ReadVMs returns the platform's list of VMs, which may be out of date.
	ReadVMs func(ctx context.Context) ([]appender.VM, error)
}

// Dependencies holds what all components share.
type Dependencies struct {
	Clock  clockwork.Clock
	Log    *slog.Logger
	Meter  *meter.Meter
	Assert *asserter.Asserter
	// PeerTransport replaces connections to peers over the network, if it is not nil.
	PeerTransport http.RoundTripper
}

// Fleet holds the components of one daemon that let it take part in the fleet: for
// membership, configuration and limits.
type Fleet struct {
	Dependencies
	Identity Identity
	Drivers  Drivers

	PeerClient    *messenger.Client
	Follower      *follower.Follower
	EpochTracker  *epochtracker.Tracker
	Confirmer     *confirmer.Confirmer
	Peers         *heartbeater.Peers
	Heartbeater   *heartbeater.Heartbeater
	Fetcher       *fetcher.Fetcher
	Proposer      *proposer.Proposer
	Limiter       *limiter.Limiter
	Borrower      *borrower.Borrower
	Authenticator *authenticator.Authenticator

	// ExtendHeartbeat adds data of other components to an outgoing heartbeat.
	ExtendHeartbeat func(heartbeat *heartbeater.Heartbeat)
	// AddMarks adds to a heartbeat which relayed data this daemon already has, so
	// that the receiver relays only newer data. BuildRelay returns the data to relay
	// to the sender of a heartbeat, or nil; self is the response without that data.
	AddMarks   func(heartbeat *heartbeater.Heartbeat, to identifier.Address)
	BuildRelay func(from, self heartbeater.Heartbeat) *heartbeater.Relay
	// OnEpoch passes a new epoch to other components before this daemon enters it.
	OnEpoch func(epoch epochtracker.Epoch)
	// OnRequest passes a heartbeat that another daemon sent, and not one that is the
	// response to a heartbeat of this daemon, to other components.
	OnRequest func(heartbeat heartbeater.Heartbeat)
	// OnHeartbeat passes a received heartbeat to other components.
	OnHeartbeat func(heartbeat heartbeater.Heartbeat)
	// MonitoredDaemons returns the daemons outside the epoch whose liveness is
	// tracked like that of the epoch's members.
	MonitoredDaemons func() []epochtracker.Member
	// IsInitialized reports whether the daemon's other components are ready.
	IsInitialized func() bool

	// WholeLimits makes one member of the epoch, the workspace's home, hold the whole
	// limit of a workspace. Otherwise each member holds a share of it.
	WholeLimits bool

	// VersionLoaded is true once a configuration version was read, and Leaving once
	// the graceful shutdown began.
	VersionLoaded atomic.Bool
	Leaving       atomic.Bool
	// wasReady is true once IsReady returned true.
	wasReady atomic.Bool
	// removed is closed, through removeOnce, when an epoch removes this daemon.
	removed    chan struct{}
	removeOnce sync.Once
}

// New builds the components of one daemon. The cleanup function closes its idle
// connections to peers.
func New(identity Identity, drivers Drivers, deps Dependencies) (f *Fleet, cleanup func()) {
	peerClient, cleanup := messenger.NewClient()
	if deps.PeerTransport != nil {
		peerClient = messenger.NewClientOver(deps.PeerTransport)
	}
	f = &Fleet{
		Dependencies:     deps,
		Identity:         identity,
		Drivers:          drivers,
		PeerClient:       peerClient,
		ExtendHeartbeat:  func(*heartbeater.Heartbeat) {},
		OnEpoch:          func(epochtracker.Epoch) {},
		OnRequest:        func(heartbeater.Heartbeat) {},
		OnHeartbeat:      func(heartbeater.Heartbeat) {},
		AddMarks:         func(*heartbeater.Heartbeat, identifier.Address) {},
		BuildRelay:       func(_, _ heartbeater.Heartbeat) *heartbeater.Relay { return nil },
		MonitoredDaemons: func() []epochtracker.Member { return nil },
		IsInitialized:    func() bool { return true },
		removed:          make(chan struct{}),
	}
	peerClient.OnMessage = f.CountMessage
	f.wireVersion()
	f.wirePeers()
	f.wireLimits()
	return f, cleanup
}

func (f *Fleet) wireVersion() {
	f.Follower = follower.New(f.Assert, f.Meter)
	f.EpochTracker = epochtracker.New()
	f.Confirmer = confirmer.New(f.Clock, f.Identity.Self.Incarnation, appender.StreamConfig, appender.StreamEpochs)
	f.Confirmer.Known = func() (identifier.Offset, identifier.Position) {
		return f.Follower.Version().Number, f.EpochTracker.Current().Number
	}
	f.Confirmer.Members = f.epochIncarnations
	f.Fetcher = fetcher.New()
	f.Fetcher.Follower = f.Follower
	f.Fetcher.EpochTracker = f.EpochTracker
	f.Fetcher.Fetch = f.PeerClient.FetchConfig
	f.Fetcher.Log = logger.For(f.Log, logger.Config)
	f.Authenticator = authenticator.New()
	f.Authenticator.Version = f.Follower.Version
	f.Authenticator.IsCurrent = f.Confirmer.IsCurrent
	f.Authenticator.Clock = f.Clock
	f.Authenticator.Meter = f.Meter
}

func (f *Fleet) wirePeers() {
	f.Peers = heartbeater.NewPeers(f.Clock, f.Identity.Self.Incarnation)
	f.Heartbeater = heartbeater.New()
	f.Heartbeater.Peers = f.Peers
	f.Heartbeater.SelfAddress = f.Identity.Self.PeerAddress
	f.Heartbeater.Seeds = f.Identity.Seeds
	f.Heartbeater.NewHeartbeat = f.heartbeatFor
	f.Heartbeater.Exchange = f.PeerClient.Heartbeat
	f.Heartbeater.OnResponse = f.handleResponse
	f.Heartbeater.ReadVMs = f.Drivers.ReadVMs
	f.Heartbeater.Monitored = f.monitored
	f.Heartbeater.Clock = f.Clock
	f.Heartbeater.Log = logger.For(f.Log, logger.Members)
}

func (f *Fleet) wireLimits() {
	sharesLog := logger.For(f.Log, logger.Shares)
	f.Limiter = limiter.New(f.Clock, f.Assert)
	f.Limiter.IsCurrent = f.Confirmer.IsCurrent
	f.Borrower = borrower.New()
	f.Borrower.Incarnation = f.Identity.Self.Incarnation
	f.Borrower.Limiter = f.Limiter
	f.Borrower.Lenders = f.lenders
	f.Borrower.Borrow = f.PeerClient.Borrow
	f.Borrower.Clock = f.Clock
	f.Borrower.Log = sharesLog
	f.Borrower.Meter = f.Meter
	f.Proposer = &proposer.Proposer{
		Self:         f.Identity.Self,
		EpochTracker: f.EpochTracker,
		Limiter:      f.Limiter,
		Peers:        f.Peers,
		WantsShares:  func() bool { return !f.Leaving.Load() && f.VersionLoaded.Load() },
		IsCurrent:    f.Confirmer.IsCurrent,
		OwnHeartbeat: f.OwnHeartbeat,
		Append:       f.Drivers.Append,
		AppendAt:     f.Drivers.AppendAt,
		OnRemoved:    func() { f.removeOnce.Do(func() { close(f.removed) }) },
		Clock:        f.Clock,
		Log:          sharesLog,
	}
	f.EpochTracker.OnChange = f.enterEpoch
}

// BackgroundTasks returns the functions that run for the daemon's whole life.
func (f *Fleet) BackgroundTasks() []func(ctx context.Context) error {
	return []func(ctx context.Context) error{
		f.Heartbeater.Run,
		f.Heartbeater.PollVMs,
		f.Fetcher.Run,
		f.Proposer.Run,
		f.Limiter.Run,
		f.Borrower.Run,
		f.Authenticator.Run,
	}
}

// Removed returns a channel that is closed when an epoch removes this daemon
// although it did not ask to leave.
func (f *Fleet) Removed() <-chan struct{} {
	return f.removed
}

// Tailer returns a tailer of a stream of the log.
func (f *Fleet) Tailer(stream identifier.StreamName) *tailer.Tailer {
	return &tailer.Tailer{
		Stream: stream,
		Read:   f.Drivers.Read,
		Clock:  f.Clock,
		Log:    logger.For(f.Log, logger.Config),
		Meter:  f.Meter,
	}
}

// EpochTailer returns a tailer that applies the records of the epochs stream. The
// caller must set its OnTruncated.
func (f *Fleet) EpochTailer() *tailer.Tailer {
	t := f.Tailer(appender.StreamEpochs)
	t.NextOffset = func() identifier.Offset { return identifier.Offset(f.EpochTracker.NextPosition()) }
	t.Handle = func(record appender.Record) {
		err := f.EpochTracker.Handle(epochtracker.Record{Position: identifier.Position(record.Offset), Data: record.Data})
		if err != nil {
			f.Log.Debug("An epoch record was ignored.", "err", err)
		}
	}
	t.OnRead = func(requestedAt time.Time, reachedEnd bool) {
		if reachedEnd {
			f.Confirmer.RecordLogRead(appender.StreamEpochs, requestedAt)
		}
	}
	return t
}

// enterEpoch gives the limiter this daemon's shares in a new epoch: none if it is
// not a member, with WholeLimits the whole limits of the workspaces whose home it is,
// and otherwise the base share.
func (f *Fleet) enterEpoch(epoch epochtracker.Epoch) {
	isMember := epoch.HasMember(f.Identity.Self.Incarnation)
	f.OnEpoch(epoch)
	switch {
	case !isMember:
		f.Limiter.EnterEpoch(epoch.Number, 0)
	case f.WholeLimits:
		f.Limiter.EnterEpochWithShares(epoch.Number, func(workspace identifier.WorkspaceName) identifier.PartsPerMillion {
			if epoch.RankedMembers(workspace)[0].Incarnation == f.Identity.Self.Incarnation {
				return identifier.WholeShare
			}
			return 0
		})
	default:
		f.Limiter.EnterEpoch(epoch.Number, epoch.BaseShare())
	}
	f.Heartbeater.SendAllNow()
	f.Log.Info("An epoch began.", "epoch", epoch.Number, "members", len(epoch.Members), "member", isMember, "whole-limits", f.WholeLimits)
}

// areLimitsReady reports whether this daemon can charge requests to the limits,
// either to its own shares or at the members that hold the whole limits.
func (f *Fleet) areLimitsReady() bool {
	epoch := f.EpochTracker.Current()
	if f.WholeLimits && len(epoch.Members) > 0 && !epoch.HasMember(f.Identity.Self.Incarnation) {
		return true
	}
	return f.Limiter.HasBaseShares()
}

// IsReady reports whether this daemon has loaded its configuration, can charge
// requests to the limits and is initialized. Once true it stays true, so that a
// change of epoch does not make the daemon unready.
func (f *Fleet) IsReady() bool {
	if f.wasReady.Load() {
		return true
	}
	ready := f.VersionLoaded.Load() && f.areLimitsReady() && f.IsInitialized()
	if ready && f.wasReady.CompareAndSwap(false, true) {
		f.Heartbeater.SendAllNow()
	}
	return ready
}
