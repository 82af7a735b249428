package broker

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/connection/messenger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/placer"
)

const service = identifier.ServiceName("llm")

// fakePlacingDaemons stands in for the daemons that place requests.
type fakePlacingDaemons struct {
	// ranking holds the candidates in order.
	ranking []identifier.Address
	// Calls to failing addresses return an error, and calls to hanging ones block
	// until their context ends.
	failing map[identifier.Address]bool
	hanging map[identifier.Address]bool
	reports chan sentReport

	mu     sync.Mutex
	silent map[identifier.Address]bool
	called []identifier.Address
}

type sentReport struct {
	address identifier.Address
	step    placer.Step
}

func (f *fakePlacingDaemons) place(ctx context.Context, address identifier.Address, _ identifier.ServiceName, _ placer.Request) (placer.Grant, *refuser.Refusal, error) {
	f.mu.Lock()
	f.called = append(f.called, address)
	f.mu.Unlock()
	if f.hanging[address] || ctx.Err() != nil {
		<-ctx.Done()
		return placer.Grant{}, nil, ctx.Err()
	}
	if f.failing[address] {
		return placer.Grant{}, nil, errors.New("no response")
	}
	return placer.Grant{Prefill: "p", Decode: identifier.UpstreamName("engine-of-" + string(address))}, nil, nil
}

func (f *fakePlacingDaemons) candidates(identifier.ServiceName) (candidates []Candidate) {
	for _, address := range f.ranking {
		candidates = append(candidates, Candidate{Address: address, IsSilent: func() bool { return f.isSilent(address) }})
	}
	return candidates
}

func (f *fakePlacingDaemons) isSilent(address identifier.Address) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent[address]
}

func newBroker(t *testing.T, ranking ...identifier.Address) (*Broker, *fakePlacingDaemons, *clockwork.FakeClock) {
	t.Helper()
	f := &fakePlacingDaemons{
		ranking: ranking,
		failing: make(map[identifier.Address]bool), hanging: make(map[identifier.Address]bool), silent: make(map[identifier.Address]bool),
		reports: make(chan sentReport, 16),
	}
	clock := clockwork.NewFakeClock()
	b := New()
	b.Self = "self"
	b.Candidates = f.candidates
	b.Place = f.place
	b.SendReports = func(_ context.Context, address identifier.Address, _ identifier.Incarnation, reports []messenger.PlacementReport) error {
		for _, report := range reports {
			f.reports <- sentReport{address, report.Report.Step}
		}
		return nil
	}
	b.Clock = clock
	b.Placer = placer.New(clock)
	b.Log = logger.Discard()
	b.Meter = meter.NewNoop()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = b.Run(ctx) }()
	return b, f, clock
}

func newRequest(number int64) placer.Request {
	return placer.Request{Key: placer.Key{Requester: "self", Number: number}, PromptTokens: 1000, MaxWait: time.Second}
}

// nextReport advances the clock by one batch interval and returns the next report that
// the broker sends.
func (f *fakePlacingDaemons) nextReport(t *testing.T, clock *clockwork.FakeClock) sentReport {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if clock.BlockUntilContext(ctx, 1) != nil {
		t.Fatal("the broker has no report to send")
	}
	clock.Advance(batchInterval)
	select {
	case r := <-f.reports:
		return r
	case <-ctx.Done():
		t.Fatal("no report was sent")
	}
	return sentReport{}
}

func TestNextDaemonIsUsedIfTheFirstDoesNotRespond(t *testing.T) {
	is := is.New(t)
	b, daemons, clock := newBroker(t, "h1", "h2")
	daemons.failing["h1"] = true
	grant, refusal := b.Acquire(context.Background(), service, newRequest(1))
	is.Equal(refusal, nil)
	is.Equal(grant.Decode, identifier.UpstreamName("engine-of-h2"))
	is.Equal(daemons.nextReport(t, clock), sentReport{"h1", placer.StepEnded}) // releases the placement that it may have made

	_, refusal = b.Acquire(context.Background(), service, newRequest(2))
	is.Equal(refusal, nil)
	is.Equal(daemons.called, []identifier.Address{"h1", "h2", "h2"}) // no call to h1 during its backoff
	clock.Advance(unreachableBackoff)
	daemons.failing["h1"] = false
	grant, _ = b.Acquire(context.Background(), service, newRequest(3))
	is.Equal(grant.Decode, identifier.UpstreamName("engine-of-h1"))
}

// A retry whose time to wait was over made the daemon back off from all daemons that
// place requests, so that later requests were placed without knowledge of the others.
func TestARequestWithoutTimeToWaitIsNotHeldAgainstThePlacingDaemon(t *testing.T) {
	is := is.New(t)
	b, daemons, _ := newBroker(t, "h1", "h2")
	late := newRequest(1)
	late.MaxWait = -time.Second
	_, refusal := b.Acquire(context.Background(), service, late)
	is.Equal(refusal.Code, refuser.QueueFull)
	grant, refusal := b.Acquire(context.Background(), service, newRequest(2))
	is.Equal(refusal, nil)
	is.Equal(grant.Decode, identifier.UpstreamName("engine-of-h1"))
	is.Equal(daemons.called, []identifier.Address{"h1"})
}

func TestRequestDoesNotWaitForSilentDaemon(t *testing.T) {
	is := is.New(t)
	b, daemons, clock := newBroker(t, "h1", "h2")
	daemons.hanging["h1"] = true
	done := make(chan placer.Grant, 1)
	go func() {
		grant, _ := b.Acquire(context.Background(), service, newRequest(1))
		done <- grant
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.NoErr(clock.BlockUntilContext(ctx, 1))
	daemons.mu.Lock()
	daemons.silent["h1"] = true
	daemons.mu.Unlock()
	clock.Advance(silenceCheckInterval)
	select {
	case grant := <-done:
		is.Equal(grant.Decode, identifier.UpstreamName("engine-of-h2"))
	case <-ctx.Done():
		t.Fatal("the request still waits for the silent daemon")
	}
}

func TestRequestIsRefusedAsNotRunIfNoDaemonPlacesIt(t *testing.T) {
	is := is.New(t)
	b, daemons, _ := newBroker(t, "h1")
	daemons.failing["h1"] = true
	_, refusal := b.Acquire(context.Background(), service, newRequest(1))
	is.Equal(refusal.Code, refuser.NoUpstream)
	is.True(refusal.NotRun)
	is.True(refusal.RetryAfter > 0)
}

// TestPlacementsOfFormerPlacingDaemonAreReported covers a change of the daemon
// that places a service's requests: the new one does not know what the former one
// placed.
func TestPlacementsOfFormerPlacingDaemonAreReported(t *testing.T) {
	is := is.New(t)
	b, daemons, clock := newBroker(t, "h1", "h2")
	_, _ = b.Acquire(context.Background(), service, newRequest(1))
	is.Equal(len(b.ExternalLoads()), 0) // the daemon that placed it still places requests

	daemons.ranking = []identifier.Address{"h2"}
	clock.Advance(time.Second)
	load := b.ExternalLoads()["engine-of-h1"]
	is.Equal(load.Running, 1)
	is.Equal(load.Tokens, identifier.Tokens(1000+externalOutputRate))

	b.ForwardReport(service, placer.Report{Key: newRequest(1).Key, Step: placer.StepStarted})
	is.Equal(daemons.nextReport(t, clock), sentReport{"h1", placer.StepStarted}) // sent to the daemon that placed it
	is.Equal(b.ExternalLoads()["engine-of-h1"].Running, 1)
	b.ForwardReport(service, placer.Report{Key: newRequest(1).Key, Step: placer.StepEnded})
	is.Equal(len(b.ExternalLoads()), 0)
}

func TestExternalLoadsExpire(t *testing.T) {
	is := is.New(t)
	b, daemons, clock := newBroker(t, "h1")
	_, _ = b.Acquire(context.Background(), service, newRequest(1))
	daemons.ranking = []identifier.Address{"h2"}
	clock.Advance(externalLifetime + time.Millisecond)
	is.Equal(len(b.ExternalLoads()), 0)
}
