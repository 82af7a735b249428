package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/asserter"
	"sassafraspass.dev/sassafraspass/process/configurer"
	"sassafraspass.dev/sassafraspass/process/fleet"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// fleetRig runs the daemons of a fleet in one synctest bubble, so that time passes only
// while all of them wait. Messages between them are encoded as on the network and pass
// the links of both VMs, but no sockets. Handling a message takes processor time by its
// size, one message after the other on each VM; other work takes none.
type fleetRig struct {
	size  int
	store *memoryStore

	mu      sync.Mutex
	daemons map[string]*rigDaemon // by host
	links   map[string]*rigLink
	kinds   map[string]int64 // bytes by kind of content
}

// rigDaemon is a running process.
type rigDaemon struct {
	*Gateway
	handler http.Handler
	cancel  context.CancelFunc
	running *sync.WaitGroup
	meter   *meter.Meter
	// isCutOff is set if the store does not respond to the daemon, and isPaused if it
	// neither sends nor receives anything.
	isCutOff, isPaused atomic.Bool
}

// rigLink is the link of a VM. Messages are transmitted one after the other in each
// direction.
type rigLink struct {
	bytesPerSecond float64
	transmitting   [2]chan struct{} // by direction
	cores          float64
	computing      chan struct{}
	carried        int64
	// sending is the number of bytes of responses that wait for the link, and peak its
	// maximum.
	sending, peak int64
}

const (
	linkOut = iota
	linkIn
)

const (
	rigZones       = 5
	rigPortPeers   = "7500"
	rigLatency     = 500 * time.Microsecond
	rigZoneLatency = 2 * time.Millisecond
)

// rigCores and rigLinks are the processor power and the link speeds in Mbit/s of the VMs,
// in turn.
var (
	rigCores = []float64{0.144, 0.8, 0.2, 0.4, 0.3, 0.2, 0.6}
	rigLinks = []float64{10, 200, 50, 100, 100, 20, 200}
)

func newFleetRig(size, upstreamsPerDaemon int) *fleetRig {
	rig := &fleetRig{
		size:    size,
		store:   newMemoryStore(),
		daemons: make(map[string]*rigDaemon),
		links:   make(map[string]*rigLink),
		kinds:   make(map[string]int64),
	}
	for i := range size {
		rig.links[rigHost(i)] = &rigLink{
			bytesPerSecond: rigLinks[i%len(rigLinks)] * 1e6 / 8,
			transmitting:   [2]chan struct{}{make(chan struct{}, 1), make(chan struct{}, 1)},
			cores:          rigCores[i%len(rigCores)],
			computing:      make(chan struct{}, 1),
		}
	}
	for i := range size * upstreamsPerDaemon {
		rig.store.put(rigUpstream(i, 0))
	}
	return rig
}

func rigHost(i int) string { return fmt.Sprintf("10.%d.%d.%d", 20+i%rigZones, i/200, 1+i%200) }

func rigZone(i int) identifier.ZoneName {
	return identifier.ZoneName(fmt.Sprintf("region-north-%d", 1+i%rigZones))
}

// rigUpstream returns an upstream of one of seven services, the first of which has
// engines. Generation counts its replacements.
func rigUpstream(i, generation int) registrar.Entry {
	service, role := identifier.ServiceName(fmt.Sprintf("service-%d", i%7)), parser.Role("")
	if i%7 == 0 {
		service, role = benchmarkService, parser.RoleDecode
		if i%4 == 0 {
			role = parser.RolePrefill
		}
	}
	return registrar.Entry{
		Name:    identifier.UpstreamName(fmt.Sprintf("%s-%04d-%d", service, i, generation)),
		Service: service, Zone: rigZone(i), State: registrar.StateReady, Role: role, Slots: 12,
		Address:   identifier.Address(fmt.Sprintf("10.%d.%d.%d:9000", 40+generation, i/200, 1+i%200)),
		StartedAt: time.UnixMilli(1_800_000_000_000 + int64(i)),
	}
}

// reportUpstreams appends a record of each upstream, as the upstreams do periodically.
func (rig *fleetRig) reportUpstreams() {
	rig.store.mu.Lock()
	defer rig.store.mu.Unlock()
	for _, change := range rig.store.newest {
		rig.store.put(change.Entry)
	}
}

// replaceUpstreams replaces every fifth upstream by another one.
func (rig *fleetRig) replaceUpstreams(count, generation int) {
	rig.store.mu.Lock()
	defer rig.store.mu.Unlock()
	for i := 0; i < count; i += 5 {
		rig.store.remove(rigUpstream(i, generation-1).Name)
		rig.store.put(rigUpstream(i, generation))
	}
}

// rigListener is a listener that accepts nothing.
type rigListener struct{ address string }

func (l rigListener) Accept() (net.Conn, error) { return nil, net.ErrClosed }
func (l rigListener) Close() error              { return nil }
func (l rigListener) Addr() net.Addr            { return rigAddr(l.address) }

type rigAddr string

func (a rigAddr) Network() string { return "tcp" }
func (a rigAddr) String() string  { return string(a) }

// start starts a process on a VM.
func (rig *fleetRig) start(i int) {
	host := rigHost(i)
	address := func(port string) rigListener { return rigListener{host + ":" + port} }
	peers := address(rigPortPeers)
	daemon := &rigDaemon{running: &sync.WaitGroup{}}
	g := &Gateway{drivers: daemon.storeDrivers(rig.store, rig.links[host]), upstreamsChanged: make(chan struct{}, 1), vmList: newVMListTracker(), lists: newListExchange(clockwork.NewRealClock())}
	g.listeners = listeners{callers: address("8360"), peers: peers, operators: address("7501"), readiness: address("8365"), directory: address("8364")}
	g.settings.Store(&configurer.Settings{
		VM: identifier.VMName(fmt.Sprintf("vm-%03d", i)), Zone: rigZone(i), EntryMaxAge: time.Second,
		Gateway: &configurer.Gateway{GracePeriod: time.Second, CPUCores: rigCores[i%len(rigCores)], RetryWindow: time.Second, LimitToleranceWindow: time.Second},
	})
	m := meter.NewNoop()
	closers := g.wire(fleet.Dependencies{
		Clock: clockwork.NewRealClock(), Log: logger.Discard(), Meter: m, Assert: asserter.New(logger.Discard(), m, true),
		PeerTransport: &rigTransport{rig: rig, from: i, daemon: daemon},
	})
	ctx, cancel := context.WithCancel(context.Background())
	daemon.Gateway, daemon.handler, daemon.cancel, daemon.meter = g, g.peerHandler(), cancel, m
	for _, task := range g.backgroundTasks() {
		daemon.running.Go(func() { _ = task(ctx) })
	}
	context.AfterFunc(ctx, func() {
		for _, closer := range closers {
			closer()
		}
	})
	rig.mu.Lock()
	defer rig.mu.Unlock()
	rig.daemons[host] = daemon
}

// errRigCutOff is returned for calls to a store that does not respond.
var errRigCutOff = errors.New("the store does not respond")

// storeDrivers returns the drivers of a daemon.
func (d *rigDaemon) storeDrivers(store *memoryStore, link *rigLink) Drivers {
	drivers := store.drivers()
	readEpochs, readVersions, readUpstreams := drivers.ReadEpochs, drivers.ReadVersions, drivers.ReadUpstreams
	fail := func(ctx context.Context) error {
		if !d.isCutOff.Load() && !d.isPaused.Load() {
			return nil
		}
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
		return errRigCutOff
	}
	drivers.ReadEpochs = func(ctx context.Context, from identifier.Position, wait time.Duration) (EpochBatch, error) {
		err := fail(ctx)
		if err != nil {
			return EpochBatch{}, err
		}
		return readEpochs(ctx, from, wait)
	}
	drivers.ReadVersions = func(ctx context.Context, from identifier.Position, wait time.Duration) (VersionBatch, error) {
		err := fail(ctx)
		if err != nil {
			return VersionBatch{}, err
		}
		return readVersions(ctx, from, wait)
	}
	drivers.ReadUpstreams = func(ctx context.Context, from identifier.Position, wait time.Duration) (UpstreamBatch, error) {
		err := fail(ctx)
		if err != nil {
			return UpstreamBatch{}, err
		}
		batch, err := readUpstreams(ctx, from, wait)
		link.compute(rigTimePerRecord * time.Duration(len(batch.Changes)))
		return batch, err
	}
	return drivers
}

// kill ends processes without a graceful shutdown.
func (rig *fleetRig) kill(daemons ...*rigDaemon) {
	for _, daemon := range daemons {
		rig.mu.Lock()
		for host, other := range rig.daemons {
			if other == daemon {
				delete(rig.daemons, host)
			}
		}
		rig.mu.Unlock()
		daemon.cancel()
		daemon.running.Wait()
	}
}

// pause stops all messages and store calls of daemons.
func (rig *fleetRig) pause(daemons ...*rigDaemon) {
	for _, daemon := range daemons {
		daemon.isPaused.Store(true)
	}
}

// reachable returns the daemons that run and are not paused.
func (rig *fleetRig) reachable() (daemons []*rigDaemon) {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	for _, daemon := range rig.daemons {
		if !daemon.isPaused.Load() {
			daemons = append(daemons, daemon)
		}
	}
	return daemons
}

// killAll ends all processes without a graceful shutdown.
func (rig *fleetRig) killAll() {
	rig.mu.Lock()
	killed := rig.daemons
	rig.daemons = make(map[string]*rigDaemon)
	rig.mu.Unlock()
	for _, daemon := range killed {
		daemon.cancel()
	}
	for _, daemon := range killed {
		daemon.running.Wait()
	}
}

// serving returns the number of daemons that accept requests and hear the hubs of the
// epoch, which hold the limits and place requests.
func (rig *fleetRig) serving() (count int) {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	for _, daemon := range rig.daemons {
		hasLimits := daemon.hearsHub()
		if daemon.isHub() {
			hasLimits = daemon.Limiter.HasBaseShares() && daemon.HearsMajority(majorityWindow)
		}
		if daemon.acceptsRequests() && hasLimits {
			count++
		}
	}
	return count
}

// progress returns how many daemons know the list of upstreams, hear a hub and accept
// requests.
func (rig *fleetRig) progress() (haveList, hearHub, serving int) {
	for _, daemon := range rig.reachable() {
		if daemon.registrar.IsComplete() {
			haveList++
		}
		if daemon.hearsHub() {
			hearHub++
		}
	}
	return haveList, hearHub, rig.serving()
}

// awaitServing waits until all daemons accept requests and returns how long that took.
func (rig *fleetRig) awaitServing(limit time.Duration) (took time.Duration, ok bool) {
	startedAt := time.Now()
	for time.Since(startedAt) < limit {
		if rig.serving() == rig.size {
			return time.Since(startedAt), true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return limit, false
}

// rigTransport carries the calls of one daemon.
type rigTransport struct {
	rig    *fleetRig
	from   int
	daemon *rigDaemon
}

var errRigReset = errors.New("the peer was killed")

// RoundTrip passes a request to the daemon at its address.
func (t *rigTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	host := strings.TrimSuffix(req.URL.Host, ":"+rigPortPeers)
	t.rig.mu.Lock()
	daemon := t.rig.daemons[host]
	t.rig.mu.Unlock()
	if daemon == nil {
		time.Sleep(2 * rigZoneLatency)
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	if daemon.isPaused.Load() || t.daemon.isPaused.Load() {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	own := rigHost(t.from)
	err = t.rig.transmit(req.Context(), own, host, int64(len(body)), false)
	if err != nil {
		return nil, err
	}
	served := httptest.NewRequest(req.Method, req.URL.Path, bytes.NewReader(body))
	served.Header = req.Header.Clone()
	recorder := httptest.NewRecorder()
	daemon.handler.ServeHTTP(recorder, served)
	size := t.rig.countKinds(req.URL.Path, recorder)
	work := rigTimePerMessage + rigTimePerByte*time.Duration(size)
	t.rig.links[host].compute(work)
	err = t.rig.transmit(req.Context(), host, own, int64(recorder.Body.Len()), true)
	if err != nil {
		return nil, err
	}
	t.rig.links[own].compute(work)
	t.rig.mu.Lock()
	isAlive := t.rig.daemons[host] == daemon
	t.rig.mu.Unlock()
	if !isAlive {
		return nil, errRigReset
	}
	return recorder.Result(), nil
}

// The processor time of a message on a whole core: that of a heartbeat with its system
// calls (BenchmarkFleet: 0.45% of a core at 5 exchanges a second, of which a part is other
// work), and for each byte before compression. A record of the store takes rigTimePerRecord.
const (
	rigTimePerMessage = 300 * time.Microsecond
	rigTimePerByte    = 30 * time.Nanosecond
	rigTimePerRecord  = 8 * time.Microsecond
)

// compute waits until the VM has done work that takes a time on a whole core.
func (l *rigLink) compute(d time.Duration) {
	l.computing <- struct{}{}
	time.Sleep(time.Duration(float64(d) / l.cores))
	<-l.computing
}

// rigHeadBytes is about the size of the head of a message.
const rigHeadBytes = 250

// transmit waits until a message has passed the links of both VMs.
func (rig *fleetRig) transmit(ctx context.Context, from, to string, size int64, isResponse bool) error {
	size += rigHeadBytes
	rig.mu.Lock()
	out, in := rig.links[from], rig.links[to]
	out.carried += size
	in.carried += size
	if isResponse {
		out.sending += size
		out.peak = max(out.peak, out.sending)
		defer func() {
			rig.mu.Lock()
			out.sending -= size
			rig.mu.Unlock()
		}()
	}
	latency := rigLatency
	if from[:6] != to[:6] {
		latency = rigZoneLatency
		rig.kinds["between zones"] += size
	}
	rig.mu.Unlock()
	err := out.transmit(ctx, linkOut, size)
	if err != nil {
		return err
	}
	time.Sleep(latency)
	return in.transmit(ctx, linkIn, size)
}

// transmit waits until the link has transmitted a message. One that is given up before
// its turn is not transmitted.
func (l *rigLink) transmit(ctx context.Context, direction int, size int64) error {
	select {
	case l.transmitting[direction] <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	time.Sleep(time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second)))
	<-l.transmitting[direction]
	return ctx.Err()
}
