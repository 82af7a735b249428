package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/configurer"
	"sassafraspass.dev/sassafraspass/process/evacuator"
	"sassafraspass.dev/sassafraspass/process/leaser"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/process/sharer"
	"sassafraspass.dev/sassafraspass/request/placer"
	"sassafraspass.dev/sassafraspass/request/proxier"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
	"sassafraspass.dev/sassafraspass/version/parser"
	"sassafraspass.dev/sassafraspass/version/reducer"
)

// memoryStore is the platform's store in memory, without a network.
type memoryStore struct {
	mu        sync.Mutex
	vms       map[identifier.VMName]appender.VM
	epochs    []epochtracker.Record
	upstreams []UpstreamChange
	// evacuations are the records that follow that of the version, and versionReads the
	// number of reads of both.
	evacuations  []evacuator.Change
	versionReads int
	// newest holds the newest record of each upstream, and calls and records what was
	// read and appended.
	newest  map[identifier.UpstreamName]UpstreamChange
	version identifier.Position
	calls   int
	records int
	// era is that of the list of upstreams.
	era identifier.Era
}

func newMemoryStore() *memoryStore {
	return &memoryStore{vms: make(map[identifier.VMName]appender.VM), newest: make(map[identifier.UpstreamName]UpstreamChange), version: 1}
}

var errConflict = errors.New("the topic ends elsewhere")

func (s *memoryStore) readVMs(context.Context) (vms []appender.VM, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	for _, vm := range s.vms {
		vms = append(vms, vm)
	}
	return vms, nil
}

func (s *memoryStore) registerVM(_ context.Context, vm appender.VM) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.vms[vm.Name] = vm
	return nil
}

func (s *memoryStore) appendEpoch(_ context.Context, data []byte, next identifier.Position) (identifier.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if identifier.Position(len(s.epochs)) != next {
		return 0, errConflict
	}
	s.epochs = append(s.epochs, epochtracker.Record{Position: next, Data: data})
	return next, nil
}

// storePollInterval is how often a waiting read looks for new records.
const storePollInterval = 20 * time.Millisecond

// await calls read until it returns true or wait has passed.
func (s *memoryStore) await(ctx context.Context, wait time.Duration, read func() bool) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		found := read()
		s.mu.Unlock()
		if found {
			return
		}
		select {
		case <-time.After(storePollInterval):
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *memoryStore) readEpochs(ctx context.Context, from identifier.Position, wait time.Duration) (batch EpochBatch, err error) {
	s.await(ctx, wait, func() bool {
		batch.Records = slices.Clone(s.epochs[min(len(s.epochs), int(max(0, from))):])
		batch.NextPosition = identifier.Position(len(s.epochs))
		batch.ReachedEnd = true
		return len(batch.Records) > 0
	})
	return batch, ctx.Err()
}

func (s *memoryStore) readUpstreams(ctx context.Context, from identifier.Position, wait time.Duration) (batch UpstreamBatch, err error) {
	s.await(ctx, wait, func() bool {
		batch.NextPosition = s.nextUpstream()
		switch {
		case from == identifier.NoPosition:
			batch.Changes = slices.Collect(maps.Values(s.newest))
		case from.Era() != s.era:
			batch.Truncated = true
			return true
		default:
			batch.Changes = slices.Clone(s.upstreams[min(len(s.upstreams), int(from.Offset())):])
		}
		s.records += len(batch.Changes)
		batch.ReachedEnd = true
		return len(batch.Changes) > 0
	})
	return batch, ctx.Err()
}

// report appends a record of every upstream, as upstreams do at each of their
// heartbeats.
func (s *memoryStore) report(count int, service identifier.ServiceName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range count {
		name := identifier.UpstreamName(fmt.Sprintf("engine-%d", i))
		role := parser.RoleDecode
		if i%4 == 0 {
			role = parser.RolePrefill
		}
		s.put(registrar.Entry{
			Name: name, Service: service, Address: identifier.Address(fmt.Sprintf("127.0.0.1:%d", 20000+i)), Zone: "z",
			State: registrar.StateReady, Role: role, Slots: 12, StartedAt: time.UnixMilli(1),
		})
	}
}

// put appends a record of an upstream. The caller holds the lock.
func (s *memoryStore) put(entry registrar.Entry) {
	entry.Position = s.nextUpstream()
	change := UpstreamChange{Name: entry.Name, Position: entry.Position, Entry: entry}
	s.upstreams = append(s.upstreams, change)
	s.newest[entry.Name] = change
}

// remove appends the removal of an upstream. The caller holds the lock.
func (s *memoryStore) remove(name identifier.UpstreamName) {
	s.upstreams = append(s.upstreams, UpstreamChange{Name: name, Position: s.nextUpstream(), Deleted: true})
	delete(s.newest, name)
}

func (s *memoryStore) nextUpstream() identifier.Position {
	return identifier.NewPosition(s.era, identifier.Offset(len(s.upstreams)))
}

// loseUpstreams lets the store come back from a copy without the newest records of
// upstreams, none of which replaced an earlier one. The caller holds the lock.
func (s *memoryStore) loseUpstreams(count int) {
	s.era++
	end := len(s.upstreams) - count
	for _, lost := range s.upstreams[end:] {
		delete(s.newest, lost.Name)
	}
	s.upstreams = s.upstreams[:end]
	for i := range s.upstreams {
		change := &s.upstreams[i]
		change.Position = identifier.NewPosition(s.era, identifier.Offset(i))
		change.Entry.Position = change.Position
		s.newest[change.Name] = *change
	}
}

// benchmarkService is the service whose requests the benchmark places.
const benchmarkService = identifier.ServiceName("llm")

// readVersions returns the newest version if it is not older than from, and the
// evacuations after it.
func (s *memoryStore) readVersions(ctx context.Context, from identifier.Position, wait time.Duration) (batch VersionBatch, err error) {
	s.await(ctx, wait, func() bool {
		batch = VersionBatch{NextPosition: s.version + 1 + identifier.Position(len(s.evacuations)), ReachedEnd: true}
		if from <= s.version {
			batch.Versions = []*reducer.Version{newBenchmarkVersion(identifier.Offset(s.version))}
		}
		batch.Evacuations = slices.Clone(s.evacuations[max(0, int(from-s.version)-1):])
		batch.RecordCount = len(batch.Versions) + len(batch.Evacuations)
		return batch.RecordCount > 0
	})
	s.mu.Lock()
	s.versionReads++
	s.mu.Unlock()
	return batch, ctx.Err()
}

func newBenchmarkVersion(number identifier.Offset) *reducer.Version {
	return &reducer.Version{
		Number: number,
		Services: map[identifier.ServiceName]parser.Service{benchmarkService: {
			Name: benchmarkService, Engine: &parser.EngineProfile{Slots: 12, KVCacheCapacity: 70_000, TokensPerEvent: 1, HandleTTL: 5 * time.Second},
		}},
	}
}

func (s *memoryStore) drivers() Drivers {
	return Drivers{
		ReadVMs:      s.readVMs,
		RegisterVM:   s.registerVM,
		DeregisterVM: func(context.Context, identifier.VMName) error { return nil },
		AppendEpoch:  s.appendEpoch,
		ReadEpochs:   s.readEpochs,
		NewestEpoch: func(context.Context) (newest epochtracker.Record, next identifier.Position, err error) {
			return newest, 0, nil
		},
		ReadVersions:  s.readVersions,
		ReadUpstreams: s.readUpstreams,
		NewestClaim:   func(context.Context, string) (leaser.NewestClaim, error) { return leaser.NewestClaim{}, nil },
		AppendClaim: func(context.Context, string, []byte, identifier.Position) (identifier.Position, error) {
			return 0, errConflict
		},
		ReadQuarantines:    func(context.Context) (sharer.RecordBatch, error) { return sharer.RecordBatch{}, nil },
		IsMatchingResponse: func(http.Header, http.Header) bool { return true },
		CallerHandler: func(*proxier.Proxier, func() int64) Handler {
			return http.NotFoundHandler()
		},
		DirectoryHandler: func(func(DirectoryQuery) []identifier.Address, time.Duration) Handler {
			return http.NotFoundHandler()
		},
		ReadinessHandler: func(func() bool) http.HandlerFunc { return http.NotFound },
	}
}

// startFleet starts daemons in this process, which exchange heartbeats over loopback,
// and returns them once all serve.
func startFleet(tb testing.TB, count int, store *memoryStore) (daemons []*Gateway) {
	tb.Helper()
	return startFleetWith(tb, count, store.drivers(), func(*configurer.Gateway) {})
}

// claimLoopbackNetworks returns the first of networksPerProcess networks of loopback hosts that
// no other test process uses. The listener keeps them for this process.
var claimLoopbackNetworks = sync.OnceValues(func() (first int, claim net.Listener) {
	const networksPerProcess = 8
	for first := 1; first+networksPerProcess <= 255; first += networksPerProcess {
		claim, err := net.Listen("tcp", fmt.Sprintf("127.40.%d.254:7999", first))
		if err == nil {
			return first, claim
		}
	}
	panic("all loopback networks are in use")
})

// startFleetWith is startFleet with other drivers and settings.
func startFleetWith(tb testing.TB, count int, drivers Drivers, adjust func(*configurer.Gateway)) (daemons []*Gateway) {
	tb.Helper()
	firstNetwork, _ := claimLoopbackNetworks()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	tb.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for i := range count {
		host := fmt.Sprintf("127.%d.%d.%d", 40+count%7, firstNetwork+i/200, 1+i%200)
		address := func(port int) identifier.Address { return identifier.Address(fmt.Sprintf("%s:%d", host, port)) }
		settings := configurer.Settings{
			VM: identifier.VMName(fmt.Sprintf("vm-%03d", i)), Zone: identifier.ZoneName(fmt.Sprintf("z-%d", i%3)), LogAddress: address(1),
			CallerAddress: address(8360), PeerAddress: address(7500), OperatorAddress: address(7501),
			EntryMaxAge: time.Second, Assertion: configurer.AssertCount,
			Gateway: &configurer.Gateway{
				ReadinessAddress: address(8365), DirectoryAddress: address(8364), GracePeriod: time.Millisecond, CPUCores: 0.2,
				RetryWindow: time.Second, LimitToleranceWindow: time.Second,
			},
		}
		adjust(settings.Gateway)
		daemon, cleanup, err := New(settings, drivers, slog.New(slog.DiscardHandler), clockwork.NewRealClock())
		if err != nil {
			tb.Fatal(err)
		}
		daemons = append(daemons, daemon)
		running.Go(func() {
			_ = daemon.Run(ctx)
			cleanup()
		})
	}
	deadline := time.Now().Add(time.Minute)
	for _, daemon := range daemons {
		for !daemon.acceptsRequests() || len(daemon.Peers.Live()) < count-1 {
			if time.Now().After(deadline) {
				tb.Fatalf("%s does not serve: state %s, %d of %d daemons", daemon.Identity.Self.VM, daemon.State(), len(daemon.Peers.Live())+1, count)
			}
			time.Sleep(storePollInterval)
		}
	}
	return daemons
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

const (
	// fleetPeriod is how long a fleet is observed. Upstreams report every
	// reportPeriod.
	fleetPeriod  = 6 * time.Second
	reportPeriod = 1200 * time.Millisecond
	// Each daemon lists its serving addresses and places a request this often under
	// load.
	loadedPeriod = 100 * time.Millisecond
	engineCount  = 40
)

// BenchmarkFleet measures what a daemon costs by the size of its fleet. The processor
// time of all daemons is that of this process.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{24, 70, 200} {
		for _, loaded := range []bool{false, true} {
			b.Run(fmt.Sprintf("daemons=%d/loaded=%t", size, loaded), func(b *testing.B) {
				benchmarkFleet(b, size, loaded)
			})
		}
	}
}

func benchmarkFleet(b *testing.B, size int, loaded bool) {
	store := newMemoryStore()
	store.report(engineCount, benchmarkService)
	before := processorTime()
	daemons := startFleet(b, size, store)
	starting := processorTime() - before
	done := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { every(done, reportPeriod, func() { store.report(engineCount, benchmarkService) }) })
	if loaded {
		for _, daemon := range daemons {
			load.Go(func() { every(done, loadedPeriod, func() { placeOnce(daemon) }) })
		}
	}
	time.Sleep(time.Second)
	before = processorTime()
	startedAt := time.Now()
	b.ResetTimer()
	for b.Loop() {
		time.Sleep(fleetPeriod)
	}
	elapsed := time.Since(startedAt)
	used := processorTime() - before
	b.ReportMetric(100*used.Seconds()/elapsed.Seconds()/float64(size), "%core/daemon")
	b.ReportMetric(1000*starting.Seconds()/float64(size), "start-ms/daemon")
	close(done)
	load.Wait()
}

// placeOnce does what the daemon computes for one request besides the exchange with
// the engines.
func placeOnce(daemon *Gateway) {
	daemon.servingAddresses(DirectoryQuery{Zone: "z"})
	key := daemon.nextPlacementKey()
	request := placer.Request{Key: key, PromptTokens: 1000, MaxOutput: 50, MaxWait: time.Second, TimeToDeadline: time.Second}
	_, refusal := daemon.broker.Acquire(context.Background(), benchmarkService, request)
	if refusal == nil {
		daemon.broker.ForwardReport(benchmarkService, placer.Report{Key: key, Step: placer.StepEnded})
	}
}

func every(done <-chan struct{}, period time.Duration, do func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			do()
		case <-done:
			return
		}
	}
}
