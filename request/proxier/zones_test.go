package proxier

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/evacuator"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/placer"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// newKnownEvacuator returns an evacuator that knows that no zone is evacuated.
func newKnownEvacuator(clock clockwork.Clock) *evacuator.Evacuator {
	e := evacuator.New(clock)
	e.ApplyRead(evacuator.Read{IsSnapshot: true, ReachedEnd: true, AsOf: clock.Now()})
	return e
}

// setZones gives upstreams a zone each. The fixture has none.
func (f *fixture) setZones(zones map[string]identifier.ZoneName) {
	for i, entry := range f.Registrar.All() {
		entry.Zone = zones[string(entry.Name)]
		entry.Position = identifier.Position(100 + i)
		f.Registrar.Apply(registrar.Update{NextPosition: 200, Entries: []registrar.Entry{entry}})
	}
}

func (f *fixture) evacuate(position identifier.Position, zones ...identifier.ZoneName) {
	relay := evacuator.Relay{NextPosition: position}
	for _, zone := range zones {
		relay.Evacuations = append(relay.Evacuations, evacuator.Evacuation{Zone: zone})
	}
	f.Evacuator.ApplyRelay(relay)
}

func TestUpstreamInEvacuatedZoneGetsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteIdempotent, MaxAttempts: 3}, "a", "b")
	f.setZones(map[string]identifier.ZoneName{"a": "z1", "b": "z2"})
	f.evacuate(1, "z1")
	for range 20 {
		_, refusal, err := f.serve(context.Background(), time.Second)
		is.NoErr(err)
		is.True(refusal == nil)
	}
	is.Equal(f.upstreams["a"].runCount(), 0)
	is.Equal(f.upstreams["b"].runCount(), 20)
	f.evacuate(2)
	for range 40 {
		_, _, _ = f.serve(context.Background(), time.Second)
	}
	is.True(f.upstreams["a"].runCount() > 0) // the evacuation was revoked
}

// TestRequestIsRefusedAtOnceIfAllZonesAreEvacuated covers both kinds of service and the
// evacuation of the last zone of one engine role.
func TestRequestIsRefusedAtOnceIfAllZonesAreEvacuated(t *testing.T) {
	tests := []struct {
		name  string
		kind  parser.RouteKind
		zones []identifier.ZoneName
	}{
		{"plain", parser.RouteIdempotent, []identifier.ZoneName{"z1", "z2"}},
		{"all engines", parser.RouteStream, []identifier.ZoneName{"z1", "z2"}},
		{"prefill engines", parser.RouteStream, []identifier.ZoneName{"z1"}},
		{"decode engines", parser.RouteStream, []identifier.ZoneName{"z2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, parser.Route{Kind: tt.kind, MaxAttempts: 3}, "pre", "dec")
			f.setRoles(map[string]parser.Role{"pre": parser.RolePrefill, "dec": parser.RoleDecode})
			f.setZones(map[string]identifier.ZoneName{"pre": "z1", "dec": "z2"})
			f.evacuate(1, tt.zones...)
			_, refusal, err := f.serve(context.Background(), time.Second)
			is.NoErr(err)
			is.Equal(refusal.Code, refuser.ZoneEvacuated)
			is.True(refusal.NotRun)
			is.Equal(refusal.RetryAfter, time.Second)
			is.Equal(f.upstreams["pre"].runCount()+f.upstreams["dec"].runCount(), 0)
			is.Equal(len(f.requests), 0) // it waits for no placement
		})
	}
}

// TestEnginesInEvacuatedZoneAreNotUsedIfThePlacerDoesNotKnow guards against a placing
// daemon that hears of an evacuation later.
func TestEnginesInEvacuatedZoneAreNotUsedIfThePlacerDoesNotKnow(t *testing.T) {
	for _, zone := range []identifier.ZoneName{"pre-1", "dec-1"} {
		t.Run(string(zone), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 2}, "pre-1", "pre-2", "dec-1", "dec-2")
			f.setRoles(map[string]parser.Role{"pre-1": parser.RolePrefill, "pre-2": parser.RolePrefill, "dec-1": parser.RoleDecode, "dec-2": parser.RoleDecode})
			f.setZones(map[string]identifier.ZoneName{"pre-1": "pre-1", "dec-1": "dec-1"})
			f.grants = []placer.Grant{{Prefill: "pre-1", Decode: "dec-1"}, {Prefill: "pre-2", Decode: "dec-2"}}
			f.evacuate(1, zone)
			w, refusal, err := f.serve(context.Background(), 5*time.Second)
			is.NoErr(err)
			is.True(refusal == nil)
			is.Equal(w.Body.String(), completeStream())
			is.Equal(f.requests[0].HeldBack, []identifier.UpstreamName{identifier.UpstreamName(zone)})
			is.Equal(f.upstreams[string(zone)].runCount()+f.upstreams[string(zone)].prefills, 0)
		})
	}
}

// TestHandleIsNotFreedInEvacuatedZone covers the calls beside requests.
func TestHandleIsNotFreedInEvacuatedZone(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 1}, "pre")
	f.setZones(map[string]identifier.ZoneName{"pre": "z1"})
	f.evacuate(1, "z1")
	f.freeKVHandle(KVHandle{Engine: f.Registrar.Ready("s")[0], ID: "handle"})
	is.Equal(f.upstreams["pre"].freedHandles, 0)
}

// TestNothingIsSentUntilTheEvacuationsAreKnown guards against a daemon that restarts and
// serves a caller that still has its address.
func TestNothingIsSentUntilTheEvacuationsAreKnown(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteIdempotent, MaxAttempts: 3}, "a")
	f.Evacuator = evacuator.New(f.Clock)
	_, refusal, _ := f.serve(context.Background(), time.Second)
	is.Equal(refusal.Code, refuser.NotReady)
	f.evacuate(0)
	_, refusal, _ = f.serve(context.Background(), time.Second)
	is.True(refusal == nil)
	f.Evacuator.MaxCutOffAge = func() time.Duration { return 1 }
	f.Evacuator.HasSources = func() bool { return true }
	time.Sleep(time.Millisecond)
	_, refusal, _ = f.serve(context.Background(), time.Second)
	is.Equal(refusal.Code, refuser.NotCurrent)
	is.Equal(f.upstreams["a"].runCount(), 1)
}

// TestRequestIsServedAtHome covers both kinds of service, and a placing daemon that does not
// keep to the home regions.
func TestRequestIsServedAtHome(t *testing.T) {
	tests := []struct {
		name   string
		route  parser.Route
		grants []placer.Grant
	}{
		{"plain", parser.Route{Kind: parser.RouteIdempotent}, nil},
		{"stream", parser.Route{Kind: parser.RouteStream}, []placer.Grant{{Prefill: "away-1", Decode: "home-2"}, {Prefill: "home-1", Decode: "away-2"}, {Prefill: "home-1", Decode: "home-2"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tt.route.MaxAttempts = 3
			tt.route.AllowedRegions = []identifier.RegionName{"home"}
			f := newFixture(t, tt.route, "away-1", "away-2", "home-1", "home-2")
			f.Confiner.RegionOf = func(zone identifier.ZoneName) identifier.RegionName { return identifier.RegionName(zone) }
			f.setRoles(map[string]parser.Role{"away-1": parser.RolePrefill, "home-1": parser.RolePrefill, "away-2": parser.RoleDecode, "home-2": parser.RoleDecode})
			f.setZones(map[string]identifier.ZoneName{"away-1": "away", "home-1": "home", "home-2": "home"})
			f.grants = tt.grants
			for range 10 {
				f.grants = append(f.grants, placer.Grant{Prefill: "home-1", Decode: "home-2"})
				_, refusal, err := f.serve(context.Background(), 5*time.Second)
				is.NoErr(err)
				is.True(refusal == nil)
			}
			for _, name := range []string{"away-1", "away-2"} {
				is.Equal(f.upstreams[name].runCount()+f.upstreams[name].prefills, 0)
			}
			for _, request := range f.requests {
				is.Equal(request.HeldBack, []identifier.UpstreamName{"away-1", "away-2"})
			}
			f.evacuate(1, "home")
			_, refusal, _ := f.serve(context.Background(), time.Second)
			is.Equal(refusal.Code, refuser.ZoneEvacuated)
		})
	}
}

// TestRequestWithoutAHomeIsRefused guards against a request that is sent to another region
// because there is none to send it to, or because the regions are unknown.
func TestRequestWithoutAHomeIsRefused(t *testing.T) {
	for _, kind := range []parser.RouteKind{parser.RouteIdempotent, parser.RouteStream} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, parser.Route{Kind: kind, MaxAttempts: 3, AllowedRegions: []identifier.RegionName{"home"}}, "a", "b")
			f.setRoles(map[string]parser.Role{"a": parser.RolePrefill, "b": parser.RoleDecode})
			_, refusal, _ := f.serve(context.Background(), time.Second)
			is.Equal(refusal.Code, refuser.NoHome)
			is.True(refusal.NotRun)
			is.Equal(f.upstreams["a"].runCount()+f.upstreams["b"].runCount()+len(f.requests), 0)
		})
	}
}
