package proxier

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/connection/drainer"
	"sassafraspass.dev/sassafraspass/connection/exchanger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/abstainer"
	"sassafraspass.dev/sassafraspass/request/budgeter"
	"sassafraspass.dev/sassafraspass/request/coldstarter"
	"sassafraspass.dev/sassafraspass/request/confiner"
	"sassafraspass.dev/sassafraspass/request/ejector"
	"sassafraspass.dev/sassafraspass/request/placer"
	"sassafraspass.dev/sassafraspass/version/parser"
	"sassafraspass.dev/sassafraspass/version/reducer"
	"sassafraspass.dev/sassafraspass/version/router"
)

// streamEvents is the number of events in a complete stream.
const streamEvents = 6

// fakeUpstream is an engine or a server whose behavior the test sets.
type fakeUpstream struct {
	mu           sync.Mutex
	prefills     int
	runs         int
	freedHandles int
	disconnected chan struct{}
	// rejecting makes it reject requests. If abortAfter is above 0, it aborts a
	// stream inside the event that follows abortAfter events. hang makes it never
	// respond.
	rejecting  bool
	abortAfter int
	// abortBeforeEvents makes it abort after the header of a stream, and
	// abortBeforeHeader after the request.
	abortBeforeEvents bool
	abortBeforeHeader bool
	hang              bool
	status            int
	// respond writes the response to anything but the release of a handle, if it is
	// not nil.
	respond http.HandlerFunc
}

// ServeHTTP responds as the test configured it.
func (u *fakeUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	u.mu.Lock()
	rejecting, hang, status, abortAfter := u.rejecting, u.hang, u.status, u.abortAfter
	respond := u.respond
	switch {
	case r.Method == http.MethodDelete:
		u.freedHandles++
		u.mu.Unlock()
		return
	case respond != nil:
		u.runs++
		u.mu.Unlock()
		respond(w, r)
		return
	case rejecting:
		u.mu.Unlock()
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case r.Header.Get("X-Stage") == string(StagePrefill):
		u.prefills++
		u.mu.Unlock()
		_, _ = io.WriteString(w, "handle")
		return
	}
	u.runs++
	u.mu.Unlock()
	if hang {
		<-r.Context().Done()
		close(u.disconnected)
		return
	}
	if r.Header.Get("X-Stage") != string(StageDecode) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "plain")
		return
	}
	if u.abortBeforeHeader {
		panic(http.ErrAbortHandler)
	}
	if u.abortBeforeEvents {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	u.stream(w, r, abortAfter)
}

func (u *fakeUpstream) runCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs
}

func (u *fakeUpstream) stream(w http.ResponseWriter, r *http.Request, abortAfter int) {
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("X-Resume"))
	for i := first + 1; i <= streamEvents; i++ {
		if abortAfter > 0 && i > abortAfter {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

// fixture is a Proxier with fake upstreams and a fake placer.
type fixture struct {
	*Proxier
	upstreams map[string]*fakeUpstream
	reports   []placer.Report
	grants    []placer.Grant
	// requests holds the requests for engine pairs.
	requests []placer.Request
	mu       sync.Mutex
}

func newFixture(t *testing.T, route parser.Route, names ...string) *fixture {
	t.Helper()
	clock := clockwork.NewRealClock()
	f := &fixture{upstreams: make(map[string]*fakeUpstream)}
	registry := registrar.New(clock)
	update := registrar.Update{NextPosition: 10, IsSnapshot: true}
	for i, name := range names {
		u := &fakeUpstream{status: http.StatusOK, disconnected: make(chan struct{})}
		server := httptest.NewServer(u)
		t.Cleanup(server.Close)
		f.upstreams[name] = u
		update.Entries = append(update.Entries, registrar.Entry{
			Name: identifier.UpstreamName(name), Service: "s", State: registrar.StateReady, Slots: 6,
			Address: identifier.Address(server.Listener.Addr().String()), Position: identifier.Position(i),
		})
	}
	registry.Apply(update)
	version := reducer.NewVersion()
	version.Number = 1
	version.Services["s"] = parser.Service{Name: "s"}
	if route.Kind == parser.RouteStream {
		version.Services["s"] = parser.Service{Name: "s", Engine: &parser.EngineProfile{Slots: 8, KVCacheCapacity: 1000, TokensPerEvent: 1}}
	}
	route.Host, route.PathPrefix = "h", "/p/"
	route.Targets = []parser.RouteTarget{{Service: "s", Weight: 1}}
	routes := router.New([]parser.Route{route})
	upstreamClient, cleanup := exchanger.New(clock)
	t.Cleanup(cleanup)
	f.Proxier = &Proxier{
		ConfigAge:   func() time.Duration { return 0 },
		IsStoreDown: func() bool { return false },
		Version:     func() *reducer.Version { return version },
		Router:      func() *router.Router { return routes },
		Registrar:   registry,
		Abstainer:   abstainer.New(clock),
		Evacuator:   newKnownEvacuator(clock),
		Coldstarter: coldstarter.New(clock), Confiner: confiner.New(),
		RetryBudget: budgeter.New(clock, budgeter.Bounds{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}),
		Ejector:     ejector.New(clock, "z"),
		Placements:  PlacementClient{Place: f.place, Report: f.report, NextKey: func() placer.Key { return placer.Key{} }},
		Exchanger:   upstreamClient,
		Protocol: Protocol{
			Encode: func(_ *Request, hop Hop) http.Header {
				return http.Header{"X-Stage": {string(hop.Stage)}, "X-Resume": {hop.LastEventID}}
			},
			DecodeHandle: func(body []byte) (string, error) { return string(body), nil },
			EncodeFree: func(handle KVHandle) exchanger.Request {
				return exchanger.Request{Method: http.MethodDelete, Target: "/" + handle.ID, Host: "h", Header: http.Header{}}
			},
			IsNotRun:      func(_ int, header http.Header) bool { return header.Get("X-Not-Run") != "" },
			IsMisdirected: func(_ int, header http.Header) bool { return header.Get("X-Other") != "" },
			DecodeSignal: func(_ int, header http.Header) abstainer.Signal {
				pause, _ := time.ParseDuration(header.Get("X-Pause"))
				return abstainer.Signal{IsLeaving: header.Get("X-Leaving") != "", RetryAfter: pause}
			},
		},
		Drainer: drainer.New(clock),
		Clock:   clock,
		Log:     logger.Discard(),
		Meter:   meter.NewNoop(),
	}
	return f
}

// setRoles gives upstreams the roles of engines.
func (f *fixture) setRoles(roles map[string]parser.Role) {
	update := registrar.Update{NextPosition: 200}
	for i, entry := range f.Registrar.All() {
		entry.Role = roles[string(entry.Name)]
		entry.Position = identifier.Position(100 + i)
		update.Entries = append(update.Entries, entry)
	}
	f.Registrar.Apply(update)
}

// place grants the test's engine pairs in order.
func (f *fixture) place(_ context.Context, _ identifier.ServiceName, req placer.Request) (placer.Grant, *refuser.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, req)
	if len(f.grants) == 0 {
		return placer.Grant{}, refuser.New(http.StatusServiceUnavailable, refuser.QueueFull, "no pair is left").WithRetryAfter(time.Second)
	}
	grant := f.grants[0]
	f.grants = f.grants[1:]
	return grant, nil
}

func (f *fixture) report(_ identifier.ServiceName, report placer.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(f.reports, report)
}

func (f *fixture) steps() (steps []placer.Step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.reports {
		steps = append(steps, r.Step)
	}
	return steps
}

func (f *fixture) serve(ctx context.Context, timeout time.Duration) (*httptest.ResponseRecorder, *refuser.Refusal, error) {
	w := httptest.NewRecorder()
	req := &Request{
		ID: "id", Host: "h", Method: http.MethodPost, Target: "/p/x", Path: "/p/x", Header: http.Header{},
		Body: []byte("body"), Arrived: f.Clock.Now(), Timeout: timeout, Tokens: &TokenCounts{PromptTokens: 10, MaxOutput: 10},
	}
	refusal, err := f.Serve(ctx, req, w)
	return w, refusal, err
}

var twoGrants = []placer.Grant{{Prefill: "pre", Decode: "dec-1"}, {Prefill: "pre", Decode: "dec-2"}}

func completeStream() string {
	var body strings.Builder
	for i := 1; i <= streamEvents; i++ {
		fmt.Fprintf(&body, "id: %d\ndata: %d\n\n", i, i)
	}
	return body.String()
}

// An engine aborts in the middle of an event. The caller must get neither the
// partial event nor an event twice.
func TestInterruptedStreamResumesOnAnotherEngineAtEventBoundary(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 2, AllowStreamFailover: true}, "pre", "dec-1", "dec-2")
	f.grants = slices.Clone(twoGrants)
	f.upstreams["dec-1"].abortAfter = 3
	w, refusal, err := f.serve(context.Background(), 5*time.Second)
	is.NoErr(err)
	is.True(refusal == nil)
	is.Equal(w.Body.String(), completeStream())
	is.True(slices.Contains(f.steps(), placer.StepCutAfterOutput))
}

// The daemon that places requests blames a crash on requests without output, so a
// stream that was cut later, or a rejected request, must not be reported like one.
func TestOnlyAStreamCutBeforeItsFirstEventIsReportedAsSuch(t *testing.T) {
	tests := []struct {
		name  string
		setUp func(u *fakeUpstream)
		step  placer.Step
	}{
		{"cut before the first event", func(u *fakeUpstream) { u.abortBeforeEvents = true }, placer.StepCutBeforeOutput},
		{"cut before the header", func(u *fakeUpstream) { u.abortBeforeHeader = true }, placer.StepCutBeforeHeader},
		{"cut after an event", func(u *fakeUpstream) { u.abortAfter = 1 }, placer.StepCutAfterOutput},
		{"rejected", func(u *fakeUpstream) { u.rejecting = true }, placer.StepDecodeFailed},
		{"stream without a complete event", func(u *fakeUpstream) {
			u.respond = flood("", ": \n", 0, nil)
		}, placer.StepDecodeFailed},
		{"header without end", func(u *fakeUpstream) {
			u.respond = func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Long", strings.Repeat("x", 128<<10))
				w.WriteHeader(http.StatusOK)
			}
		}, placer.StepDecodeFailed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 1}, "pre", "dec-1")
			f.grants = []placer.Grant{{Prefill: "pre", Decode: "dec-1"}}
			test.setUp(f.upstreams["dec-1"])
			_, _, _ = f.serve(context.Background(), 5*time.Second)
			steps := f.steps()
			is.Equal(steps[len(steps)-1], test.step)
		})
	}
}

func TestInterruptedStreamIsNotResumedIfNotAllowed(t *testing.T) {
	tests := []struct {
		name  string
		route parser.Route
	}{
		{"not resumable", parser.Route{Kind: parser.RouteStream, MaxAttempts: 2}},
		{"no attempt left", parser.Route{Kind: parser.RouteStream, MaxAttempts: 1, AllowStreamFailover: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, test.route, "pre", "dec-1", "dec-2")
			f.grants = slices.Clone(twoGrants)
			f.upstreams["dec-1"].abortAfter = 3
			_, _, err := f.serve(context.Background(), 5*time.Second)
			is.True(errors.Is(err, ErrResponseTruncated))
			is.Equal(f.upstreams["dec-2"].runs, 0)
		})
	}
}

func TestRejectedStreamIsRetriedOnAnotherEngineAndItsHandleIsFreed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 1}, "pre", "dec-1", "dec-2")
	f.grants = slices.Clone(twoGrants)
	f.upstreams["dec-1"].rejecting = true
	w, refusal, err := f.serve(context.Background(), 5*time.Second)
	is.NoErr(err)
	is.True(refusal == nil)
	is.Equal(w.Body.String(), completeStream())
	time.Sleep(100 * time.Millisecond)
	f.upstreams["pre"].mu.Lock()
	defer f.upstreams["pre"].mu.Unlock()
	is.Equal(f.upstreams["pre"].freedHandles, 1)
}

// A refusal that is wrongly marked as not run lets the caller repeat a request that
// was executed.
func TestRefusalIsMarkedNotRunOnlyIfCertain(t *testing.T) {
	tests := []struct {
		name      string
		kind      parser.RouteKind
		rejecting bool
		hang      bool
		status    int
		notRun    bool
	}{
		{"every upstream full", parser.RouteNonIdempotent, true, false, http.StatusServiceUnavailable, true},
		{"every upstream full, idempotent", parser.RouteIdempotent, true, false, http.StatusServiceUnavailable, true},
		{"no response in time", parser.RouteNonIdempotent, false, true, http.StatusGatewayTimeout, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, parser.Route{Kind: test.kind, MaxAttempts: 1}, "a")
			f.upstreams["a"].rejecting = test.rejecting
			f.upstreams["a"].hang = test.hang
			_, refusal, err := f.serve(context.Background(), 300*time.Millisecond)
			is.NoErr(err)
			is.Equal(refusal.Status, test.status)
			is.Equal(refusal.NotRun, test.notRun)
		})
	}
}

func TestServerErrorIsRelayedUnchanged(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteNonIdempotent, MaxAttempts: 3}, "a", "b")
	for _, u := range f.upstreams {
		u.status = http.StatusInternalServerError
	}
	w, refusal, err := f.serve(context.Background(), time.Second)
	is.NoErr(err)
	is.True(refusal == nil)
	is.Equal(w.Code, http.StatusInternalServerError)
	is.Equal(w.Body.String(), "plain")
	is.Equal(f.upstreams["a"].runs+f.upstreams["b"].runs, 1)
}

func TestDisconnectOfCallerCancelsUpstreamRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteNonIdempotent, MaxAttempts: 1}, "a")
	f.upstreams["a"].hang = true
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, refusal, _ := f.serve(ctx, 5*time.Second)
	is.Equal(refusal.Code, refuser.CallerGone)
	select {
	case <-f.upstreams["a"].disconnected:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the upstream still works")
	}
}

func TestIdempotentRequestIsRetriedUpToAttemptLimit(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteIdempotent, MaxAttempts: 2}, "a", "b", "c")
	for _, u := range f.upstreams {
		u.status = http.StatusBadGateway
	}
	_, _, err := f.serve(context.Background(), time.Second)
	is.NoErr(err)
	is.Equal(f.upstreams["a"].runs+f.upstreams["b"].runs+f.upstreams["c"].runs, 2)
}

// A request whose retry is refused used up retries that sound requests need.
func TestARefusedPlacementTakesNoRetryFromTheBudget(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 2, AllowStreamFailover: true}, "pre", "dec-1")
	f.RetryBudget.SetBounds(budgeter.Bounds{Ratio: 0, Extra: 3, Window: 10 * time.Second})
	f.grants = []placer.Grant{{Prefill: "pre", Decode: "dec-1"}}
	f.upstreams["dec-1"].abortBeforeEvents = true
	_, _, err := f.serve(context.Background(), 5*time.Second)
	is.True(errors.Is(err, ErrResponseTruncated))
	is.True(f.takePlacementRetry(&requestState{service: parser.Service{Name: "s"}}))
}

// A stream that was cut after it had run for longer than a caller waits for the first
// event had no time left to wait for other engines, and was given up.
func TestAResumedStreamMayWaitForEnginesFromItsLatestEvent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 2, AllowStreamFailover: true}, "pre", "dec-1", "dec-2")
	f.grants = slices.Clone(twoGrants)
	f.upstreams["dec-1"].abortAfter = 3
	w := httptest.NewRecorder()
	req := &Request{
		ID: "id", Host: "h", Method: http.MethodPost, Target: "/p/x", Path: "/p/x", Header: http.Header{},
		Body: []byte("body"), Arrived: f.Clock.Now().Add(-10 * time.Second), Timeout: 30 * time.Second, Tokens: &TokenCounts{PromptTokens: 10, MaxOutput: 10},
	}
	_, err := f.Serve(context.Background(), req, w)
	is.NoErr(err)
	is.Equal(len(f.requests), 2)
	is.True(f.requests[1].MaxWait > time.Second)
}
