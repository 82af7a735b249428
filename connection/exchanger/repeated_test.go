package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
)

const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Id: a\r\nX-Not-Run: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"

// startRepeatingServer runs a server that refuses the first request on a connection,
// and writes that refusal once more before its response to a later request on it. It
// counts the requests that it executes.
func startRepeatingServer(t *testing.T, refusal string) (identifier.Address, *atomic.Int64) {
	var executed atomic.Int64
	address := startServer(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		for n := 0; ; n++ {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if n == 0 {
				_, _ = io.WriteString(conn, refusal)
				continue
			}
			executed.Add(1)
			_, _ = io.WriteString(conn, refusal+okResponse(req.Header.Get("X-Id"), "body"))
		}
	})
	return address, &executed
}

func newEchoingExchanger(t *testing.T) *Exchanger {
	x, cleanup := New(clockwork.NewRealClock())
	t.Cleanup(cleanup)
	x.EchoedID = func(header http.Header) string { return header.Get("X-Id") }
	x.IsMatchingResponse = func(response, request http.Header) bool {
		return response.Get("X-Id") == "" || request.Get("X-Id") == "" || response.Get("X-Id") == request.Get("X-Id")
	}
	return x
}

// TestRepeatedRefusalIsNotTakenForTheRetryOfItsRequest guards against a caller that is
// told "not run" of a request that runs: a retry has the id of the refused attempt, so
// the repeated refusal would match it.
func TestRepeatedRefusalIsNotTakenForTheRetryOfItsRequest(t *testing.T) {
	is := is.New(t)
	address, executed := startRepeatingServer(t, refusal)
	x := newEchoingExchanger(t)
	for range 3 {
		response, err := x.Exchange(context.Background(), address, newRequest("a"))
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		readAll(is, response)
	}
	is.Equal(executed.Load(), int64(0)) // a new connection for each attempt
	response, err := x.Exchange(context.Background(), address, newRequest("b"))
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK) // the repeated refusal was skipped
	is.True(response.Reused)
	readAll(is, response)
}

// TestConnectionWithAResponseWithoutIDIsNotReused covers an upstream that echoes no id, whose
// repeated refusal cannot be told from the response to the next request.
func TestConnectionWithAResponseWithoutIDIsNotReused(t *testing.T) {
	is := is.New(t)
	address, executed := startRepeatingServer(t, "HTTP/1.1 503 Service Unavailable\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n")
	x := newEchoingExchanger(t)
	response, err := x.Exchange(context.Background(), address, newRequest("a"))
	is.NoErr(err)
	readAll(is, response)
	response, err = x.Exchange(context.Background(), address, newRequest("b"))
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(!response.Reused) // so this is the refusal of this request
	readAll(is, response)
	time.Sleep(50 * time.Millisecond)
	is.Equal(executed.Load(), int64(0))
}

// TestBytesWithoutIDBelongToNoRequest guards against a caller that is told "not run" of a
// request that runs, and one whose stream gets the head of the answer to an order: the
// upstream echoes ids, so that a response without one is none to the next request.
func TestBytesWithoutIDBelongToNoRequest(t *testing.T) {
	tests := []struct {
		name  string
		first string
		extra string
	}{
		{"a refusal after a response", "a", "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"a success after a response", "a", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"},
		{"a second answer to an order", "", "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address := startServer(t, func(_ int, conn net.Conn, in *bufio.Reader) {
				for n := 0; ; n++ {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if n > 0 {
						_, _ = io.WriteString(conn, test.extra)
					}
					_, _ = io.WriteString(conn, okResponse(req.Header.Get("X-Id"), "body"))
				}
			})
			x := newEchoingExchanger(t)
			response, err := x.Exchange(context.Background(), address, newRequest(test.first))
			is.NoErr(err)
			readAll(is, response)
			response, err = x.Exchange(context.Background(), address, newRequest("b"))
			is.NoErr(err)
			is.True(response.Reused)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(response.Header.Get("X-Id"), "b")
			is.Equal(readAll(is, response), "body")
		})
	}
}

// TestRequestWithoutIDGetsAConnectionOfItsOwn covers orders and releases of handles.
func TestRequestWithoutIDGetsAConnectionOfItsOwn(t *testing.T) {
	is := is.New(t)
	address, executed := startRepeatingServer(t, refusal)
	x := newEchoingExchanger(t)
	response, err := x.Exchange(context.Background(), address, newRequest("a"))
	is.NoErr(err)
	readAll(is, response)
	response, err = x.Exchange(context.Background(), address, newRequest(""))
	is.NoErr(err)
	is.True(!response.Reused)
	readAll(is, response)
	is.Equal(executed.Load(), int64(0))
}
