package proxier

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/placer"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// pushBack rejects a request and asks for a pause.
func pushBack(pause string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("X-Pause", pause)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// TestUpstreamThatPushesBackGetsNothingMore guards against requests that overload a
// server further although it said for how long it wants none.
func TestUpstreamThatPushesBackGetsNothingMore(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteIdempotent, MaxAttempts: 3}, "a", "b")
	f.upstreams["a"].respond = pushBack("1m")
	for range 30 {
		w, refusal, err := f.serve(context.Background(), time.Second)
		is.NoErr(err)
		is.True(refusal == nil)
		is.Equal(w.Code, http.StatusOK)
	}
	is.True(f.upstreams["a"].runCount() <= 1)
}

// TestRequestIsRefusedAtOnceWhileAllUpstreamsPushBack also checks that the refusal says
// when they return.
func TestRequestIsRefusedAtOnceWhileAllUpstreamsPushBack(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteNonIdempotent, MaxAttempts: 3}, "a", "b")
	for _, u := range f.upstreams {
		u.respond = pushBack("20s")
	}
	for range 10 {
		_, refusal, err := f.serve(context.Background(), time.Second)
		is.NoErr(err)
		is.Equal(refusal.Code, refuser.HeldBack)
		is.True(refusal.NotRun)
		is.True(refusal.RetryAfter > 19*time.Second)
	}
	is.Equal(f.upstreams["a"].runCount(), 1)
	is.Equal(f.upstreams["b"].runCount(), 1)
}

func TestEnginesThatPushBackAreLeftOutOfPlacements(t *testing.T) {
	tests := []struct {
		name, heldBack string
		grant          placer.Grant
	}{
		{"prefill", "pre-1", placer.Grant{Prefill: "pre-1", Decode: "dec-1"}},
		{"decode", "dec-1", placer.Grant{Prefill: "pre-2", Decode: "dec-1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 2}, "pre-1", "pre-2", "dec-1", "dec-2")
			other := placer.Grant{Prefill: "pre-2", Decode: "dec-2"}
			stale := placer.Grant{Prefill: "pre-1", Decode: "dec-1"} // the placer has not heard of it
			f.grants = []placer.Grant{tt.grant, other, stale, other}
			f.upstreams[tt.heldBack].respond = pushBack("1m")
			for range 2 {
				w, refusal, err := f.serve(context.Background(), 5*time.Second)
				is.NoErr(err)
				is.True(refusal == nil)
				is.Equal(w.Body.String(), completeStream())
			}
			is.Equal(f.upstreams[tt.heldBack].runCount(), 1)
			is.Equal(len(f.requests[0].HeldBack), 0)
			failures := slices.DeleteFunc(f.steps(), func(step placer.Step) bool {
				return step != placer.StepPrefillFailed && step != placer.StepDecodeFailed
			})
			is.Equal(len(failures), 1) // the one that pushed back; the placer must not eject what was only left alone
			is.Equal(f.requests[1].HeldBack, []identifier.UpstreamName{identifier.UpstreamName(tt.heldBack)})
		})
	}
}

// TestHandleIsNotFreedAtAnEngineThatPushesBack covers the calls beside requests. The
// engine frees the handle itself after a while.
func TestHandleIsNotFreedAtAnEngineThatPushesBack(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 1}, "pre")
	f.upstreams["pre"].respond = pushBack("1m")
	engine := f.Registrar.Ready("s")[0]
	_, _ = f.prefill(context.Background(), &streamState{requestState: &requestState{req: &Request{Header: http.Header{}}, deadline: f.Clock.Now().Add(time.Second)}}, engine)
	f.freeKVHandle(KVHandle{Engine: engine, ID: "handle"})
	is.Equal(f.upstreams["pre"].freedHandles, 0)
}

func TestStreamIsRefusedAtOnceWhileAllEnginesOfARolePushBack(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 2}, "pre", "dec")
	f.setRoles(map[string]parser.Role{"pre": parser.RolePrefill, "dec": parser.RoleDecode})
	f.grants = []placer.Grant{{Prefill: "pre", Decode: "dec"}}
	f.upstreams["dec"].respond = pushBack("20s")
	_, refusal, _ := f.serve(context.Background(), time.Second)
	is.Equal(refusal.Code, refuser.HeldBack)
	_, refusal, _ = f.serve(context.Background(), time.Second)
	is.Equal(refusal.Code, refuser.HeldBack)
	is.True(refusal.RetryAfter > 19*time.Second)
	is.Equal(len(f.requests), 1) // the second one waits for no placement
	is.Equal(f.upstreams["dec"].runCount(), 1)
	is.Equal(f.upstreams["pre"].prefills, 1)
}

// TestLeavingUpstreamGetsNothingMore covers every kind of response that can carry the
// notice. The response itself is delivered.
func TestLeavingUpstreamGetsNothingMore(t *testing.T) {
	tests := []struct {
		name   string
		status int
	}{
		{"success", http.StatusOK},
		{"error", http.StatusInternalServerError},
		{"refusal", http.StatusTooManyRequests},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, parser.Route{Kind: parser.RouteNonIdempotent, MaxAttempts: 1}, "a", "b")
			leave := func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Leaving", "1")
				w.WriteHeader(tt.status)
			}
			f.upstreams["a"].respond = leave
			for range 20 {
				w, _, err := f.serve(context.Background(), time.Second)
				is.NoErr(err)
				is.True(w.Code == tt.status || w.Code == http.StatusOK)
			}
			is.True(f.upstreams["a"].runCount() <= 1)
		})
	}
}

func TestStreamOfALeavingEngineIsDelivered(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 1}, "pre", "dec")
	f.grants = []placer.Grant{{Prefill: "pre", Decode: "dec"}}
	dec := f.upstreams["dec"]
	dec.respond = func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Leaving", "1")
		dec.stream(w, r, 0)
	}
	w, refusal, err := f.serve(context.Background(), 5*time.Second)
	is.NoErr(err)
	is.True(refusal == nil)
	is.Equal(w.Body.String(), completeStream())
	names := f.Abstainer.HeldBack(f.Registrar.Ready("s"))
	is.Equal(names, []identifier.UpstreamName{"dec"})
}

// TestSignalOfAnotherUpstreamAtTheAddressIsIgnored guards against a healthy upstream
// that is avoided because another one responded at its address.
func TestSignalOfAnotherUpstreamAtTheAddressIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteNonIdempotent, MaxAttempts: 1}, "a")
	entry := f.Registrar.Ready("s")[0]
	f.upstreams["a"].respond = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Other", "1")
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("X-Leaving", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
	_, _, _ = f.serve(context.Background(), time.Second)
	is.True(!slices.Contains(f.Abstainer.HeldBack(f.Registrar.All()), entry.Name))
}

// drain lets the list name an upstream as draining.
func (f *fixture) drain(name identifier.UpstreamName) {
	for _, entry := range f.Registrar.All() {
		if entry.Name == name {
			entry.State = registrar.StateDraining
			entry.Position = 300
			f.Registrar.Apply(registrar.Update{NextPosition: 301, Entries: []registrar.Entry{entry}})
		}
	}
}

// The list of upstreams was that of the request's start, so that a decode engine that
// drained while the prompt was read got the request, and an upstream that drained during
// the first hop got the second.
func TestUpstreamThatDrainsMeanwhileGetsNoHop(t *testing.T) {
	t.Run("stream", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 2}, "pre", "dec-1", "dec-2")
		f.grants = slices.Clone(twoGrants)
		f.upstreams["pre"].respond = func(w http.ResponseWriter, _ *http.Request) {
			f.drain("dec-1")
			_, _ = w.Write([]byte("handle"))
		}
		w, refusal, err := f.serve(context.Background(), 5*time.Second)
		is.NoErr(err)
		is.True(refusal == nil)
		is.Equal(w.Body.String(), completeStream())
		is.Equal(f.upstreams["dec-1"].runCount(), 0)
		is.True(!slices.Contains(f.steps(), placer.StepDecodeFailed)) // it has not failed
	})
	t.Run("plain", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, parser.Route{Kind: parser.RouteIdempotent, MaxAttempts: 3}, "a", "b")
		rejectAndDrain := func(other identifier.UpstreamName) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) {
				f.drain(other)
				w.Header().Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}
		f.upstreams["a"].respond, f.upstreams["b"].respond = rejectAndDrain("b"), rejectAndDrain("a")
		_, refusal, err := f.serve(context.Background(), time.Second)
		is.NoErr(err)
		is.True(refusal.NotRun)
		is.Equal(min(f.upstreams["a"].runCount(), f.upstreams["b"].runCount()), 0)
	})
}
