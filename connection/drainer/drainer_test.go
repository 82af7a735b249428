package drainer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// startServer starts a server with an attached drainer. It responds with "reused" or
// "new", which says what its connection is.
func startServer(t *testing.T) (*Drainer, *httptest.Server) {
	t.Helper()
	d := New(clockwork.NewFakeClock())
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := "new"
		if IsReused(r.Context()) {
			text = "reused"
		}
		_, _ = io.WriteString(w, text)
	}))
	server.Listener = d.Listen(server.Listener)
	d.Attach(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return d, server
}

// get sends a request and returns the body, and whether the connection closes.
func get(is *is.I, server *httptest.Server) (body string, closes bool) {
	resp, err := server.Client().Get(server.URL)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return string(text), resp.Close
}

func TestRequestsOnReusedConnectionsAreRecognized(t *testing.T) {
	is := is.New(t)
	_, server := startServer(t)
	for _, want := range []string{"new", "reused", "reused"} {
		body, closes := get(is, server)
		is.Equal(body, want)
		is.True(!closes)
	}
}

func TestResponsesCloseTheirConnectionsDuringAShutdown(t *testing.T) {
	is := is.New(t)
	d, server := startServer(t)
	d.Begin(0, time.Second)
	for range 2 {
		body, closes := get(is, server)
		is.Equal(body, "new")
		is.True(closes)
	}
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	d, server := startServer(t)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	sendRequest(is, conn, in)
	d.CloseIdle()
	is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = in.ReadByte()
	is.True(errors.Is(err, io.EOF)) // closed without a further request
}

// A response whose header was sent before the shutdown cannot announce that its
// connection closes.
func TestConnectionClosesAfterAResponseThatBeganBeforeTheShutdown(t *testing.T) {
	is := is.New(t)
	d := New(clockwork.NewFakeClock())
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "a")
		_ = http.NewResponseController(w).Flush()
		d.Begin(time.Second, time.Minute)
		d.CloseIdle()
		_, _ = io.WriteString(w, "b")
	}))
	server.Listener = d.Listen(server.Listener)
	d.Attach(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	is.Equal(sendRequest(is, conn, in), "ab")
	is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = in.ReadByte()
	is.True(errors.Is(err, io.EOF))
}

// sendRequest sends a request and returns the body of the response, which leaves the
// connection open.
func sendRequest(is *is.I, conn net.Conn, in *bufio.Reader) string {
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(!resp.Close)
	return string(body)
}

func TestShutdownEndsAfterItsTimeout(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	d := New(clock)
	_, draining := d.Shutdown()
	is.True(!draining)
	d.Begin(2*time.Second, 7*time.Second)
	clock.Advance(time.Second)
	shutdown, draining := d.Shutdown()
	is.True(draining)
	is.Equal(shutdown.Deadline.Sub(clock.Now()), 6*time.Second)
}

func TestRequestsThatMayOutlastTheShutdownAreAcceptedOnlyUntilCallersKnow(t *testing.T) {
	tests := []struct {
		name          string
		since         time.Duration
		timeToEnd     time.Duration
		wantsAccepted bool
	}{
		{"long, at the start", 0, time.Minute, true},
		{"long, just before callers know", 2*time.Second - 1, time.Minute, true},
		{"long, once callers know", 2 * time.Second, time.Minute, false},
		{"ends in time", 2 * time.Second, 5*time.Second - endMargin, true},
		{"ends too late", 2 * time.Second, 5*time.Second - endMargin + 1, false},
		{"short, near the end", 6 * time.Second, 500 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			shutdown := New(clock).Begin(2*time.Second, 7*time.Second)
			clock.Advance(test.since)
			is.Equal(shutdown.Accepts(clock.Now(), clock.Now().Add(test.timeToEnd)), test.wantsAccepted)
		})
	}
}
