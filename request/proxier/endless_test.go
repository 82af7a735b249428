package proxier

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/connection/exchanger"
	"sassafraspass.dev/sassafraspass/connection/rationer"
	"sassafraspass.dev/sassafraspass/request/placer"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// floodBytes is how much an endless response sends at most, so that a proxier
	// without a limit fails its test and not the machine.
	floodBytes = 32 << 20
	// floodPause is the pause between the parts of a slow endless response.
	floodPause = 10 * time.Millisecond
)

// flood returns a handler that responds with start and then unit without end. It
// pauses after each unit, or after none if pause is 0, and closes closed once its
// caller has closed the connection.
func flood(start, unit string, pause time.Duration, closed chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if pause == 0 {
			unit = strings.Repeat(unit, 1+(64<<10)/len(unit))
		}
		control := http.NewResponseController(w)
		_, err := w.Write([]byte(start))
		for sent := 0; err == nil && sent < floodBytes; sent += len(unit) {
			_, err = w.Write([]byte(unit))
			_ = control.Flush()
			if pause > 0 {
				time.Sleep(pause)
			}
		}
		<-r.Context().Done()
		select {
		case closed <- struct{}{}:
		default:
		}
	}
}

func awaitSignal(t *testing.T, signal <-chan struct{}) {
	t.Helper()
	select {
	case <-signal:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open")
	}
}

// lastInOrder returns the names that come last when the upstreams are ranked often.
func lastInOrder(f *fixture) (names []string) {
	for range 50 {
		ordered := f.Ejector.Order(f.Registrar.Ready("s"))
		name := string(ordered[len(ordered)-1].Name)
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// Guards against a response body without end that counts as a success of its server,
// so that the server keeps its rank and gets further requests.
func TestServerWithEndlessBodyCountsAsFailed(t *testing.T) {
	tests := []struct {
		name  string
		pause time.Duration
		// relayed is true if the response is too long to be read completely before
		// it is relayed.
		relayed bool
	}{
		{"fast", 0, true},
		{"slow", floodPause, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, parser.Route{Kind: parser.RouteNonIdempotent, MaxAttempts: 1}, "a", "b")
			closed := make(chan struct{}, 1)
			f.upstreams["a"].respond = flood("", "x", test.pause, closed)
			const failures = 2
			for tries := 0; f.upstreams["a"].runCount() < failures && tries < 200; tries++ {
				runs := f.upstreams["a"].runCount()
				_, refusal, err := f.serve(context.Background(), 300*time.Millisecond)
				if f.upstreams["a"].runCount() == runs {
					continue
				}
				is.Equal(errors.Is(err, ErrResponseTruncated), test.relayed)
				if !test.relayed {
					is.Equal(refusal.Status, http.StatusGatewayTimeout)
					is.True(!refusal.NotRun)
				}
				awaitSignal(t, closed)
			}
			is.Equal(f.upstreams["a"].runCount(), failures)
			is.Equal(lastInOrder(f), []string{"a"})
		})
	}
}

// Guards against a prefill whose response does not end and is taken as complete once
// its size limit is reached.
func TestPrefillWithEndlessBodyIsFailedAndAnotherPairIsTried(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 1}, "endless", "pre", "dec")
	f.grants = []placer.Grant{{Prefill: "endless", Decode: "dec"}, {Prefill: "pre", Decode: "dec"}}
	closed := make(chan struct{}, 1)
	f.upstreams["endless"].respond = flood("handle", " ", 0, closed)
	w, refusal, err := f.serve(context.Background(), 5*time.Second)
	is.NoErr(err)
	is.True(refusal == nil)
	is.Equal(w.Body.String(), completeStream())
	is.True(slices.Contains(f.steps(), placer.StepPrefillFailed))
	is.Equal(f.upstreams["dec"].runCount(), 1)
	awaitSignal(t, closed)
}

// Guards against a failure response without end that is relayed until the deadline,
// and whose engine keeps its rank.
func TestEngineFailureWithEndlessBodyIsRefusedAsUnknown(t *testing.T) {
	tests := []struct {
		name   string
		pause  time.Duration
		status int
	}{
		{"fast", 0, http.StatusBadGateway},
		{"slow", floodPause, http.StatusGatewayTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 1}, "pre", "dec-1", "dec-2")
			f.grants = slices.Clone(twoGrants)
			closed := make(chan struct{}, 1)
			endless := flood("", "x", test.pause, closed)
			f.upstreams["dec-1"].respond = func(w http.ResponseWriter, r *http.Request) {
				w.WriteHeader(http.StatusInternalServerError)
				endless(w, r)
			}
			w, refusal, err := f.serve(context.Background(), time.Second)
			is.NoErr(err)
			is.True(refusal != nil)
			is.Equal(refusal.Status, test.status)
			is.True(!refusal.NotRun)
			is.Equal(w.Body.Len(), 0)
			is.Equal(f.upstreams["dec-2"].runCount(), 0)
			if test.pause == 0 {
				is.True(slices.Contains(f.steps(), placer.StepDecodeFailed))
			}
			awaitSignal(t, closed)
		})
	}
}

// Guards against a failure response of the engine that resumes a stream: its body was
// appended to the events, and the stream looked complete.
func TestFailureToResumeAStreamIsNotRelayedAsItsEnd(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 2, AllowStreamFailover: true}, "pre", "dec-1", "dec-2")
	f.grants = slices.Clone(twoGrants)
	f.upstreams["dec-1"].abortAfter = 3
	f.upstreams["dec-2"].respond = func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte("the engine failed"))
	}
	w, _, err := f.serve(context.Background(), 5*time.Second)
	is.True(errors.Is(err, ErrResponseTruncated))
	is.True(!strings.Contains(w.Body.String(), "failed"))
}

// Guards against a stream without complete events that fills the memory or lasts until
// the deadline: the stream must break off, and be resumed where its route allows.
func TestStreamWithoutCompleteEventsIsBrokenOff(t *testing.T) {
	const firstEvents = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	tests := []struct {
		name string
		unit string
	}{
		{"an event without end", "data: x"},
		{"blank lines", "\n"},
		{"comments", ": x\n\n"},
		{"fields without data", "event: x\n\n"},
		{"carriage returns", "\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, resumes := range []bool{true, false} {
				is := is.New(t)
				f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 2, AllowStreamFailover: resumes}, "pre", "dec-1", "dec-2")
				f.grants = slices.Clone(twoGrants)
				closed := make(chan struct{}, 1)
				f.upstreams["dec-1"].respond = flood(firstEvents, test.unit, 0, closed)
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				w, refusal, err := f.serve(ctx, 5*time.Second)
				is.True(refusal == nil)
				is.Equal(errors.Is(err, ErrResponseTruncated), !resumes)
				is.NoErr(ctx.Err())
				is.True(w.Body.Len() <= 2*maxEventBytes)
				is.True(slices.Contains(f.steps(), placer.StepDecodeFailed))
				is.Equal(strings.HasSuffix(w.Body.String(), "id: 6\ndata: 6\n\n"), resumes)
				awaitSignal(t, closed)
			}
		})
	}
}

// Guards against bytes without an event that count as the first event of a stream, so
// that a stream without any event looks complete.
func TestStreamThatEndsWithoutAnEventIsBrokenOff(t *testing.T) {
	tests := []struct {
		name string
		body string
	}{
		{"blank lines", "\n\n\n\n"},
		{"a comment", ": x\n\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 1}, "pre", "dec-1")
			f.grants = slices.Clone(twoGrants[:1])
			f.upstreams["dec-1"].respond = func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(test.body)) }
			_, _, err := f.serve(context.Background(), time.Second)
			is.True(errors.Is(err, ErrResponseTruncated))
			is.True(!slices.Contains(f.steps(), placer.StepStarted))
		})
	}
}

// An event of the largest size must still pass, in parts of any size.
func TestLongEventsWithinTheLimitAreRelayed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 1}, "pre", "dec-1")
	f.grants = slices.Clone(twoGrants[:1])
	event := "id: 1\ndata: " + strings.Repeat("x", maxEventBytes*3/4) + "\n\n"
	f.upstreams["dec-1"].respond = func(w http.ResponseWriter, _ *http.Request) {
		for range 4 {
			_, _ = w.Write([]byte(": comment\n\n" + event))
		}
	}
	w, refusal, err := f.serve(context.Background(), 5*time.Second)
	is.NoErr(err)
	is.True(refusal == nil)
	is.True(w.Body.String() == strings.Repeat(": comment\n\n"+event, 4))
}

// endlessBody is a response body without end that counts the bytes read.
type endlessBody struct {
	readBytes int
}

// Read reads bytes of an event.
func (b *endlessBody) Read(p []byte) (int, error) {
	b.readBytes += len(p)
	return copy(p, bytes.Repeat([]byte("x"), len(p))), nil
}

// Close does nothing.
func (b *endlessBody) Close() error { return nil }

// Guards against endless events of a few hundred streams that fill the memory of a
// small VM.
func TestEndlessEventIsKeptOnlyUpToTheLimit(t *testing.T) {
	is := is.New(t)
	const budget = 100 << 10
	f := newFixture(t, parser.Route{Kind: parser.RouteStream})
	body := &endlessBody{}
	response := &exchanger.Response{Response: &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body}}
	ss := &streamState{requestState: &requestState{w: newResponseWriter(httptest.NewRecorder())}}
	err := f.relayEvents(context.Background(), ss, response, &placer.Report{})
	is.True(err != nil)
	is.True(body.readBytes <= budget)
}

// floodHead returns a handler that responds with a head without end. It pauses after
// each unit, or after none if pause is 0.
func floodHead(unit string, pause time.Duration, closed chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		for sent := 0; err == nil && sent < floodBytes; sent += len(unit) {
			_, err = conn.Write([]byte(unit))
			time.Sleep(pause)
		}
		_, _ = conn.Read(make([]byte, 1))
		select {
		case closed <- struct{}{}:
		default:
		}
	}
}

// Guards against a response head without end that counts as no fault of its server,
// that ends a non-idempotent request as not run, or that leaves an idempotent one no
// time for another server.
func TestServerWithEndlessHeadCountsAsFailed(t *testing.T) {
	tests := []struct {
		name   string
		kind   parser.RouteKind
		unit   string
		pause  time.Duration
		status int
	}{
		{"fast", parser.RouteNonIdempotent, "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("a", 1<<20), 0, http.StatusBadGateway},
		{"slow", parser.RouteNonIdempotent, "HTTP/1.1 103 Early Hints\r\n\r\n", floodPause, http.StatusGatewayTimeout},
		{"fast, idempotent", parser.RouteIdempotent, "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("a", 1<<20), 0, http.StatusOK},
		{"slow, idempotent", parser.RouteIdempotent, "HTTP/1.1 103 Early Hints\r\n\r\n", floodPause, http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, parser.Route{Kind: test.kind, MaxAttempts: 2}, "a", "b")
			closed := make(chan struct{}, 1)
			f.upstreams["a"].respond = floodHead(test.unit, test.pause, closed)
			const failures = 2
			for tries := 0; f.upstreams["a"].runCount() < failures && tries < 200; tries++ {
				runs := f.upstreams["a"].runCount()
				w, refusal, err := f.serve(context.Background(), 300*time.Millisecond)
				if f.upstreams["a"].runCount() == runs {
					continue
				}
				is.NoErr(err)
				if refusal != nil {
					w.Code = refusal.Status
					is.True(!refusal.NotRun)
				}
				is.Equal(w.Code, test.status)
				awaitSignal(t, closed)
			}
			is.Equal(f.upstreams["a"].runCount(), failures)
			is.Equal(lastInOrder(f), []string{"a"})
		})
	}
}

// Guards against a body without end that leaves an idempotent request no time for
// another server.
func TestIdempotentRequestIsTriedElsewhereAfterAnEndlessBody(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteIdempotent, MaxAttempts: 2}, "a", "b")
	closed := make(chan struct{}, 1)
	f.upstreams["a"].respond = flood("", "x", floodPause, closed)
	for tries := 0; f.upstreams["a"].runCount() == 0 && tries < 200; tries++ {
		w, refusal, err := f.serve(context.Background(), time.Second)
		is.NoErr(err)
		is.True(refusal == nil)
		is.Equal(w.Body.String(), "plain")
	}
	awaitSignal(t, closed)
}

// Guards against a VM that runs out of memory: a server that sends bytes without end may
// do so in the responses to many callers at a time, each within its own limit.
func TestEndlessBodiesTogetherStayWithinTheMemory(t *testing.T) {
	is := is.New(t)
	const total, callers = 1 << 20, 40
	f := newFixture(t, parser.Route{Kind: parser.RouteNonIdempotent, MaxAttempts: 1}, "a")
	f.Memory = rationer.New(total)
	f.upstreams["a"].respond = func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("x", maxBufferedBytes-1)))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	var group sync.WaitGroup
	for range callers {
		group.Go(func() { _, _, _ = f.serve(context.Background(), time.Second) })
	}
	group.Wait()
	is.True(f.Memory.Peak() > total/2)
	is.True(f.Memory.Peak() <= total)
	is.Equal(f.Memory.Used(), int64(0))
	f.upstreams["a"].respond = nil
	w, refusal, err := f.serve(context.Background(), time.Second)
	is.NoErr(err)
	is.True(refusal == nil)
	is.Equal(w.Code, http.StatusOK)
}
