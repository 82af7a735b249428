package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	// floodBytes is how much an endless response sends at most, so that a client
	// without a limit fails its test and not the machine.
	floodBytes = 32 << 20
	// floodTimeout ends the calls of a client without a limit.
	floodTimeout = 2 * time.Second
)

// startFlood starts an engine that responds to each call with a status, start and then
// unit without end. It reports each connection that the client has closed.
func startFlood(t *testing.T, status int, start, unit string) (address identifier.Address, closed chan struct{}) {
	t.Helper()
	closed = make(chan struct{}, 1)
	block := []byte(strings.Repeat(unit, 1+(64<<10)/len(unit)))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(status)
		_, err := w.Write([]byte(start))
		for sent := 0; err == nil && sent < floodBytes; sent += len(block) {
			_, err = w.Write(block)
		}
		<-r.Context().Done()
		select {
		case closed <- struct{}{}:
		default:
		}
	}))
	t.Cleanup(server.Close)
	return identifier.Address(server.Listener.Addr().String()), closed
}

func awaitSignal(t *testing.T, signal <-chan struct{}) {
	t.Helper()
	select {
	case <-signal:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open")
	}
}

type engineCall struct {
	name     string
	response string
	call     func(ctx context.Context, e *EngineClient, address identifier.Address) error
}

// engineCalls lists the calls of an engine that return one value.
var engineCalls = []engineCall{
	{"prefill", `{"attempt":"a","handle":"h"}`, func(ctx context.Context, e *EngineClient, address identifier.Address) error {
		_, err := e.Prefill(ctx, address, PrefillRequest{Attempt: "a"})
		return err
	}},
	{"cancel", `{}`, func(ctx context.Context, e *EngineClient, address identifier.Address) error {
		return e.Cancel(ctx, address, []identifier.AttemptID{"a"})
	}},
	{"load", `{}`, func(ctx context.Context, e *EngineClient, address identifier.Address) error {
		_, err := e.FetchLoad(ctx, address)
		return err
	}},
	{"cache events", `{}`, func(ctx context.Context, e *EngineClient, address identifier.Address) error {
		_, err := e.FetchCacheEvents(ctx, address, 0)
		return err
	}},
}

// Guards against a response of an engine without end of which the first part is taken
// as complete.
func TestEndlessResponseOfAnEngineIsAnError(t *testing.T) {
	for _, test := range engineCalls {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, closed := startFlood(t, http.StatusOK, test.response, " ")
			client, cleanup := NewEngineClient()
			defer cleanup()
			ctx, cancel := context.WithTimeout(t.Context(), floodTimeout)
			defer cancel()
			is.True(test.call(ctx, client, address) != nil)
			is.NoErr(ctx.Err())
			awaitSignal(t, closed)
		})
	}
}

// Guards against an error response without end, which was kept and logged as the text
// of an error, and whose engine counted as one that refuses and not as failed.
func TestEndlessErrorResponseIsNoStatus(t *testing.T) {
	calls := slices.Concat(engineCalls, []engineCall{{"decode", "", func(ctx context.Context, e *EngineClient, address identifier.Address) error {
		_, err := e.Decode(ctx, address, DecodeRequest{Attempt: "a"})
		return err
	}}})
	for _, test := range calls {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, closed := startFlood(t, http.StatusInternalServerError, "", "x")
			client, cleanup := NewEngineClient()
			defer cleanup()
			ctx, cancel := context.WithTimeout(t.Context(), floodTimeout)
			defer cancel()
			err := test.call(ctx, client, address)
			is.True(err != nil)
			var statusErr *StatusError
			is.True(!errors.As(err, &statusErr))
			is.NoErr(ctx.Err())
			awaitSignal(t, closed)
		})
	}
}

func TestTextOfAnErrorStatusIsCut(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(strings.Repeat("x", 2*maxDetailBytes)))
	}))
	defer server.Close()
	client, cleanup := NewEngineClient()
	defer cleanup()
	_, err := client.FetchLoad(t.Context(), identifier.Address(server.Listener.Addr().String()))
	var statusErr *StatusError
	is.True(errors.As(err, &statusErr))
	is.Equal(statusErr.Status, http.StatusServiceUnavailable)
	is.Equal(len(statusErr.Detail), maxDetailBytes)
}

// endlessBody is the body of a stream that repeats a line up to floodBytes and counts
// the bytes read.
type endlessBody struct {
	line      string
	readBytes int
}

// Read reads whole lines.
func (b *endlessBody) Read(p []byte) (int, error) {
	if b.readBytes >= floodBytes {
		return 0, io.EOF
	}
	n := copy(p, strings.Repeat(b.line, 1+len(p)/len(b.line)))
	n -= n % len(b.line)
	b.readBytes += n
	return n, nil
}

// Close does nothing.
func (b *endlessBody) Close() error { return nil }

// Guards against a stream of bytes that hold no frame of the attempt: it lasted until
// the timeout of a token.
func TestStreamWithoutFramesIsTruncated(t *testing.T) {
	const budget = 256 << 10 // bytes
	tests := []struct {
		name string
		line string
	}{
		{"blank lines", "\n"},
		{"comments", ": x\n"},
		{"a line without end", "x"},
		{"frames of other attempts", "data: {\"attempt\":\"other\",\"index\":0,\"text\":\"x\"}\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			body := &endlessBody{line: test.line}
			_, err := newStream(body, "own").Next()
			is.True(errors.Is(err, ErrStreamTruncated))
			is.True(body.readBytes <= budget)
		})
	}
}

// Guards against a response head of many megabytes.
func TestLongHeadIsAnError(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("a", 1<<20))
		_, _ = io.WriteString(w, "{}")
	}))
	defer server.Close()
	address := identifier.Address(server.Listener.Addr().String())
	engines, closeEngines := NewEngineClient()
	defer closeEngines()
	_, err := engines.FetchLoad(t.Context(), address)
	is.True(err != nil)
	services, closeServices := NewServiceClient()
	defer closeServices()
	var sendErr *SendError
	for _, send := range []func(context.Context, identifier.Address, Call) (*http.Response, error){services.SendIdempotent, services.SendNonIdempotent} {
		_, err = send(t.Context(), address, Call{Method: http.MethodGet, Path: "/"}) //nolint:bodyclose // an error
		is.True(errors.As(err, &sendErr))
		is.True(sendErr.MaybeSent)
	}
}
