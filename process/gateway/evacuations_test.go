package gateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/configurer"
	"sassafraspass.dev/sassafraspass/process/evacuator"
	"sassafraspass.dev/sassafraspass/process/fleet"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/placer"
	"sassafraspass.dev/sassafraspass/version/parser"
	"sassafraspass.dev/sassafraspass/version/reducer"
)

// newNonHubWithEvacuator returns a daemon outside the epoch of hub h1, which it hears.
func newNonHubWithEvacuator(clock *clockwork.FakeClock) *Gateway {
	g := newNonHub(clock, "h1")
	g.settings.Store(&configurer.Settings{Gateway: &configurer.Gateway{EvacuationBound: 5 * time.Second}})
	deps := fleet.Dependencies{Clock: clock, Log: g.Log, Meter: g.Meter}
	g.wireAbstainer(deps)
	g.wireEvacuator(deps)
	g.wireColdstarter(deps)
	g.placer = placer.New(clock)
	g.wireSharer(deps)
	receiveHeartbeat(g, "h1", 1)
	for _, stream := range []identifier.StreamName{"config", "epochs"} {
		g.Confirmer.RecordLogRead(stream, clock.Now())
	}
	return g
}

// TestStoreIsReadIfTheRelayOfEvacuationsIsCut guards against a daemon that goes on with an
// old set because the hub that it hears has lost the store, or relays no evacuations.
func TestStoreIsReadIfTheRelayOfEvacuationsIsCut(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	clock := clockwork.NewFakeClock()
	g := newNonHubWithEvacuator(clock)
	g.waitUntilVersionReadDue(ctx) // returns at once, as nothing is known
	g.applyRelay(heartbeater.Heartbeat{Incarnation: "h1", Relay: &heartbeater.Relay{Evacuations: &evacuator.Relay{NextPosition: 3, Age: time.Second}}})
	done := make(chan struct{})
	go func() {
		g.waitUntilVersionReadDue(ctx)
		close(done)
	}()
	for elapsed := time.Duration(0); elapsed < 600*time.Millisecond; elapsed += readDuePollInterval {
		is.NoErr(clock.BlockUntilContext(ctx, 1))
		clock.Advance(readDuePollInterval)
	}
	is.NoErr(clock.BlockUntilContext(ctx, 1)) // the relayed set is 1.6 s old
	clock.Advance(readDuePollInterval)
	<-done
	is.NoErr(ctx.Err())
}

// evacuationStore serves one batch after the other, and fails while there is none.
type evacuationStore struct {
	mu      sync.Mutex
	batches []VersionBatch
	waits   []time.Duration
}

var errStoreDown = errors.New("the store is down")

func (s *evacuationStore) read(_ context.Context, _ identifier.Position, wait time.Duration) (VersionBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits = append(s.waits, wait)
	if len(s.batches) == 0 {
		return VersionBatch{}, errStoreDown
	}
	next := s.batches[0]
	s.batches = s.batches[1:]
	return next, nil
}

// TestEvacuationsArriveByStoreOrByPeer covers a restart while the store answers, one while
// it does not and a peer relays the set, and the loss of the store after that.
func TestEvacuationsArriveByStoreOrByPeer(t *testing.T) {
	evacuated := evacuator.Change{Evacuation: evacuator.Evacuation{Zone: "z1", Position: 3}}
	relay := &evacuator.Relay{NextPosition: 4, Evacuations: []evacuator.Evacuation{evacuated.Evacuation}}
	snapshot := VersionBatch{Evacuations: []evacuator.Change{evacuated}, NextPosition: 4, ReachedEnd: true, RecordCount: 1}
	tests := []struct {
		name    string
		batches []VersionBatch
		relay   *evacuator.Relay
	}{
		{"store", []VersionBatch{snapshot}, nil},
		{"peer", nil, relay},
		{"old records were deleted unread", []VersionBatch{{NextPosition: 1, ReachedEnd: true}, {NextPosition: 1, Truncated: true}, snapshot}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			clock := clockwork.NewFakeClock()
			g := newNonHubWithEvacuator(clock)
			store := &evacuationStore{batches: tt.batches}
			g.drivers.ReadVersions = store.read
			g.Follower.OnChange = func(*reducer.Version) {}
			is.True(!g.evacuator.IsKnown())
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				_ = g.followVersions(ctx)
			}()
			if tt.relay != nil {
				g.applyRelay(heartbeater.Heartbeat{Incarnation: "h1", Relay: &heartbeater.Relay{Evacuations: tt.relay}})
			}
			for !g.evacuator.IsEvacuated("z1") {
				is.NoErr(ctx.Err())
				clock.Advance(2 * time.Second)
				time.Sleep(time.Millisecond)
			}
			clock.Advance(time.Minute) // the store fails from now on
			is.True(g.evacuator.IsEvacuated("z1"))
			cancel()
			clock.Advance(time.Minute)
			<-stopped
			for i, batch := range tt.batches[:min(len(tt.batches), max(0, len(store.waits)-1))] {
				is.Equal(store.waits[i+1] == 0, batch.RecordCount > 0) // renews the age after records
			}
		})
	}
}

// TestEvacuationArrivesThroughAnotherHubIfTheReaderIsKilled covers the hub that read the log
// and relayed the set so far.
func TestEvacuationArrivesThroughAnotherHubIfTheReaderIsKilled(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newNonHubWithEvacuator(clock)
	relay := func(hub identifier.Incarnation, relay evacuator.Relay) {
		g.applyRelay(heartbeater.Heartbeat{Incarnation: hub, Relay: &heartbeater.Relay{Evacuations: &relay}})
	}
	relay("h1", evacuator.Relay{NextPosition: 4})
	clock.Advance(time.Second) // h1 is killed
	relay("h2", evacuator.Relay{NextPosition: 5, Evacuations: []evacuator.Evacuation{{Zone: "z1", Position: 4}}})
	is.True(g.evacuator.IsEvacuated("z1"))
	is.True(!g.evacuator.IsOlderThan(maxRelayedEvacuationsAge))
	relay("h1", evacuator.Relay{NextPosition: 4}) // sent before it was killed
	is.True(g.evacuator.IsEvacuated("z1"))
	marked := heartbeater.Heartbeat{Marks: heartbeater.Marks{Evacuations: 5}}
	is.Equal(g.evacuator.RelaySince(marked.Marks.Evacuations).Evacuations, nil) // a peer that knows them gets the age only
	is.Equal(len(g.evacuator.RelaySince(identifier.NoPosition).Evacuations), 1)
}

// TestWaitingRequestsAreRefusedIfTheLastZoneIsEvacuated guards against requests that wait for
// engines until they time out although none can become free.
func TestWaitingRequestsAreRefusedIfTheLastZoneIsEvacuated(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newNonHubWithEvacuator(clock)
	g.registrar = registrar.New(clock)
	g.registrar.Apply(registrar.Update{IsSnapshot: true, NextPosition: 3, Entries: []registrar.Entry{
		{Name: "p", Address: "1", Service: "llm", Zone: "z1", State: registrar.StateReady, Role: parser.RolePrefill, Slots: 1},
		{Name: "d", Address: "2", Service: "llm", Zone: "z2", State: registrar.StateReady, Role: parser.RoleDecode, Slots: 1},
	}})
	profile := parser.EngineProfile{Slots: 1, KVCacheCapacity: 10_000, TokensPerEvent: 1}
	g.configurePlacer("llm", profile)
	place := func(number int64) (placer.Grant, *refuser.Refusal) {
		return g.placer.Place(context.Background(), "llm", placer.Request{Key: placer.Key{Requester: "self", Number: number}, PromptTokens: 10, MaxOutput: 10, MaxWait: time.Minute})
	}
	_, refusal := place(1)
	is.True(refusal == nil)
	refused := make(chan *refuser.Refusal, 1)
	go func() {
		_, refusal := place(2) // waits, as the only slot is in use
		refused <- refusal
	}()
	time.Sleep(20 * time.Millisecond)
	g.evacuator.ApplyRelay(evacuator.Relay{NextPosition: 5, Evacuations: []evacuator.Evacuation{{Zone: "z2", Position: 4}}})
	for {
		g.configurePlacer("llm", profile)
		select {
		case refusal := <-refused:
			is.True(refusal.Code == refuser.ZoneEvacuated || refusal.Code == refuser.NoUpstream) // the latter if it came after the evacuation
			is.True(refusal.NotRun)
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// evacuate appends a record of a zone.
func (s *memoryStore) evacuate(zone identifier.ZoneName, isRevoked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	evacuation := evacuator.Evacuation{Zone: zone, Position: s.version + 1 + identifier.Position(len(s.evacuations))}
	s.evacuations = append(s.evacuations, evacuator.Change{Evacuation: evacuation, IsRevoked: isRevoked})
}

// TestEvacuationReachesAFleet covers daemons that are no hubs and learn of it by heartbeats. It
// logs how long that takes, and how often the fleet reads the store.
func TestEvacuationReachesAFleet(t *testing.T) {
	const size = 30
	store := newMemoryStore()
	store.report(engineCount, benchmarkService)
	daemons := startFleet(t, size, store)
	time.Sleep(2 * time.Second)
	store.mu.Lock()
	before := store.versionReads
	store.mu.Unlock()
	for _, isRevoked := range []bool{false, true} {
		store.evacuate("z", isRevoked)
		startedAt := time.Now()
		for _, daemon := range daemons {
			for daemon.evacuator.IsEvacuated("z") == isRevoked {
				if time.Since(startedAt) > 5*time.Second {
					t.Fatalf("%s does not know after 5 s; revoked: %t", daemon.Identity.Self.VM, isRevoked)
				}
				time.Sleep(time.Millisecond)
			}
		}
		t.Logf("%d daemons know after %s; revoked: %t", size, time.Since(startedAt).Round(time.Millisecond), isRevoked)
		time.Sleep(1500 * time.Millisecond)
	}
	store.mu.Lock()
	t.Logf("%d reads in about 3.5 s", store.versionReads-before)
	store.mu.Unlock()
}

// TestDaemonThatIsCutOffStopsSendingBeforeTheBound guards against requests to a zone that was
// evacuated while the daemon was paused or reached neither the store nor a hub, and against a
// daemon that stops although it hears a hub that has lost the store too.
func TestDaemonThatIsCutOffStopsSendingBeforeTheBound(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newNonHubWithEvacuator(clock)
	g.settings.Store(&configurer.Settings{VM: "self", Zone: "z", Gateway: &configurer.Gateway{EvacuationBound: 5 * time.Second}})
	g.evacuator.ApplyRelay(evacuator.Relay{NextPosition: 1})
	clock.Advance(4400 * time.Millisecond)
	is.True(g.evacuator.IsTrusted())
	clock.Advance(200 * time.Millisecond)
	is.True(!g.evacuator.IsTrusted())
	sentAt := clock.Now()
	clock.Advance(10 * time.Second) // a pause of the daemon, with a response that has arrived unread
	relay := &heartbeater.Relay{Evacuations: &evacuator.Relay{NextPosition: 1, Age: time.Second}}
	g.OnHeartbeat = g.applyRelay
	g.Heartbeater.OnResponse(heartbeater.Heartbeat{Incarnation: "h1", Relay: relay}, sentAt)
	is.True(!g.evacuator.IsTrusted())
	g.Heartbeater.OnResponse(heartbeater.Heartbeat{Incarnation: "h1", Relay: relay}, clock.Now())
	is.True(g.evacuator.IsTrusted())
}
