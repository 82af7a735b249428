package proxier

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/coldstarter"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// newColdFixture returns a fixture whose upstream a is cold and may get three requests.
func newColdFixture(t *testing.T, names ...string) *fixture {
	t.Helper()
	f := newFixture(t, parser.Route{Kind: parser.RouteIdempotent, MaxAttempts: 3}, names...)
	f.Coldstarter.Find = func(identifier.ServiceName) coldstarter.Service {
		return coldstarter.Service{RatePerSecond: 3, HasPlacer: true}
	}
	f.Coldstarter.Bound = func() coldstarter.Bound { return coldstarter.Bound{Overshoot: 2} }
	f.Coldstarter.ContactAge = func() time.Duration { return 0 }
	entry := f.Registrar.All()[0]
	entry.Position = 100
	entry.ColdLeft = time.Minute
	f.Registrar.Apply(registrar.Update{NextPosition: 200, Entries: []registrar.Entry{entry}})
	return f
}

// TestColdUpstreamGetsNothingFromADaemonThatJustJoined also checks that others take its
// requests without a failed attempt.
func TestColdUpstreamGetsNothingFromADaemonThatJustJoined(t *testing.T) {
	is := is.New(t)
	f := newColdFixture(t, "a", "b")
	for range 20 {
		_, refusal, err := f.serve(context.Background(), time.Second)
		is.NoErr(err)
		is.True(refusal == nil)
	}
	is.Equal(f.upstreams["a"].runCount(), 0)
	is.Equal(f.upstreams["b"].runCount(), 20)
}

// TestRequestIsRefusedAtOnceIfAllUpstreamsAreCold also checks that the refusal says when to
// come back.
func TestRequestIsRefusedAtOnceIfAllUpstreamsAreCold(t *testing.T) {
	is := is.New(t)
	f := newColdFixture(t, "a")
	_, refusal, err := f.serve(context.Background(), time.Second)
	is.NoErr(err)
	is.Equal(refusal.Code, refuser.UpstreamsCold)
	is.True(refusal.NotRun)
	is.True(refusal.RetryAfter > 0)
	is.Equal(f.upstreams["a"].runCount(), 0)
}
