package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/configurer"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/request/abstainer"
	"sassafraspass.dev/sassafraspass/request/proxier"
	"sassafraspass.dev/sassafraspass/version/parser"
	"sassafraspass.dev/sassafraspass/version/reducer"
)

const (
	plainService     = identifier.ServiceName("search")
	plainDaemons     = 40
	plainServers     = 6
	plainSlots       = 2
	plainQueue       = 8
	plainTime        = 60 * time.Millisecond
	plainObjective   = 300 * time.Millisecond
	plainTimeout     = 1500 * time.Millisecond
	plainBurstPeriod = 2 * time.Second
	plainBurst       = 400 * time.Millisecond
	// The rates are half of the capacity, and 1.7 times the capacity in bursts.
	plainRate      = plainServers * plainSlots / 0.06 / 2
	plainBurstRate = 3.4 * plainRate
	notRunHeader   = "Not-Run"
)

// plainServer runs plainSlots requests at once, queues plainQueue more and rejects others.
type plainServer struct {
	slots    chan struct{}
	inside   atomic.Int64
	arrivals atomic.Int64
	rejected atomic.Int64
}

// ServeHTTP serves or rejects a request.
func (s *plainServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.arrivals.Add(1)
	defer s.inside.Add(-1)
	if s.inside.Add(1) > plainSlots+plainQueue {
		s.rejected.Add(1)
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	time.Sleep(time.Duration(float64(plainTime) * (1.0/3 + 4.0/3*rand.Float64())))
}

// plainDrivers returns drivers with a plain service and its route.
func plainDrivers(store *memoryStore) Drivers {
	drivers := store.drivers()
	version := reducer.NewVersion()
	version.Number = 1
	version.Services[plainService] = parser.Service{Name: plainService}
	version.Routes = []parser.Route{{
		Name: "search", Host: "h", PathPrefix: "/", Kind: parser.RouteIdempotent, Timeout: plainTimeout, LatencyObjective: plainObjective,
		MaxAttempts: 2, AllowAnonymous: true, Targets: []parser.RouteTarget{{Service: plainService, Weight: 1}},
	}}
	read := drivers.ReadVersions
	drivers.ReadVersions = func(ctx context.Context, from identifier.Position, wait time.Duration) (VersionBatch, error) {
		batch, err := read(ctx, from, wait)
		if len(batch.Versions) > 0 {
			batch.Versions[0] = version
		}
		return batch, err
	}
	drivers.RequestProtocol = proxier.Protocol{
		Encode:        func(*proxier.Request, proxier.Hop) http.Header { return http.Header{} },
		IsNotRun:      func(_ int, header http.Header) bool { return header.Get(notRunHeader) != "" },
		IsMisdirected: func(int, http.Header) bool { return false },
		DecodeSignal:  func(int, http.Header) abstainer.Signal { return abstainer.Signal{} },
	}
	drivers.EchoedID = func(http.Header) string { return "" }
	return drivers
}

// BenchmarkPlainAdmission sends bursts to a small plain service through many daemons.
func BenchmarkPlainAdmission(b *testing.B) {
	for _, mode := range []configurer.AdmissionMode{configurer.AdmissionLocal, configurer.AdmissionFleet} {
		b.Run(string(mode), func(b *testing.B) { benchmarkAdmission(b, mode) })
	}
}

func benchmarkAdmission(b *testing.B, mode configurer.AdmissionMode) {
	store := newMemoryStore()
	servers := make([]*plainServer, plainServers)
	for i := range servers {
		servers[i] = &plainServer{slots: make(chan struct{}, plainSlots)}
		server := httptest.NewServer(servers[i])
		b.Cleanup(server.Close)
		name := identifier.UpstreamName(fmt.Sprint("server-", i))
		store.upstreams = append(store.upstreams, UpstreamChange{Name: name, Position: identifier.Position(i), Entry: registrar.Entry{
			Name: name, Service: plainService, Address: identifier.Address(server.Listener.Addr().String()), Zone: identifier.ZoneName(fmt.Sprintf("z-%d", i%3)),
			State: registrar.StateReady, Slots: plainSlots, StartedAt: time.UnixMilli(1), Position: identifier.Position(i),
		}})
	}
	daemons := startFleetWith(b, plainDaemons, plainDrivers(store), func(s *configurer.Gateway) {
		s.PlainAdmission = mode
		s.RetryRatio = 0.2
	})
	var requests sync.WaitGroup
	var late, failed, count atomic.Int64
	before := processorTime()
	startedAt := time.Now()
	for at := time.Duration(0); at < fleetPeriod; {
		rate := plainRate
		if at%plainBurstPeriod < plainBurst {
			rate = plainBurstRate
		}
		at += time.Duration(rand.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(at - time.Since(startedAt))
		count.Add(1)
		daemon := daemons[rand.IntN(len(daemons))]
		requests.Go(func() {
			arrived := time.Now()
			refusal, err := daemon.proxier.Serve(context.Background(), &proxier.Request{ID: "r", Host: "h", Method: http.MethodGet, Target: "/x", Path: "/x", Header: http.Header{}, Arrived: arrived, Timeout: 2 * plainTimeout}, httptest.NewRecorder())
			switch {
			case refusal != nil || err != nil:
				failed.Add(1)
			case time.Since(arrived) > plainObjective:
				late.Add(1)
			}
		})
	}
	requests.Wait()
	used := processorTime() - before
	percent := func(part, whole int64) float64 { return 100 * float64(part) / float64(max(1, whole)) }
	var arrivals, rejected, calls, fallbacks int64
	for _, s := range servers {
		arrivals += s.arrivals.Load()
		rejected += s.rejected.Load()
	}
	for _, daemon := range daemons {
		calls += daemon.Meter.EventCount(meter.EventAdmissionCall)
		fallbacks += daemon.Meter.EventCount(meter.EventAdmissionFallback)
	}
	b.ReportMetric(percent(rejected, arrivals), "%rejected")
	b.ReportMetric(percent(late.Load(), count.Load()), "%late")
	b.ReportMetric(percent(failed.Load(), count.Load()), "%failed")
	b.ReportMetric(float64(calls)/float64(count.Load()), "calls/request")
	b.ReportMetric(percent(fallbacks, count.Load()), "%own-choice")
	b.ReportMetric(float64(used.Microseconds())/float64(count.Load()), "processor-us/request")
	b.ReportMetric(float64(count.Load()), "requests")
}
