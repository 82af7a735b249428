package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/connection/rationer"
	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	// floodBytes is how much an endless response sends at most, so that a client
	// without a limit fails its test and not the machine.
	floodBytes = 32 << 20
	// floodDeadline ends the exchanges of a client without a limit.
	floodDeadline = 2 * time.Second
)

// startFlood runs a server that responds to the first request of each connection
// with start and then unit without end. It reports each connection that the client
// has closed.
func startFlood(t *testing.T, start, unit string) (address identifier.Address, closed chan struct{}) {
	t.Helper()
	closed = make(chan struct{})
	block := []byte(strings.Repeat(unit, 1+(64<<10)/len(unit)))
	address = startServer(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		_, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, err = io.WriteString(conn, start)
		for sent := 0; err == nil && sent < floodBytes; sent += len(block) {
			_, err = conn.Write(block)
		}
		_, _ = in.ReadByte()
		select {
		case closed <- struct{}{}:
		case <-t.Context().Done():
		}
	})
	return address, closed
}

func awaitSignal(t *testing.T, signal <-chan struct{}) {
	t.Helper()
	select {
	case <-signal:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open")
	}
}

// Guards against a response head without end that fills the memory until the
// request's deadline.
func TestEndlessHeadFailsTheExchangeAndClosesTheConnection(t *testing.T) {
	tests := []struct {
		name  string
		start string
		unit  string
	}{
		{"status line", "HTTP/1.1 200 ", "OK "},
		{"header line", "HTTP/1.1 200 OK\r\nX-Long: ", "a"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-Other: a\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, closed := startFlood(t, test.start, test.unit)
			ctx, cancel := context.WithTimeout(context.Background(), floodDeadline)
			defer cancel()
			_, err := newExchanger(t).Exchange(ctx, address, newRequest("1"))
			is.True(MaybeSent(err))
			is.NoErr(ctx.Err()) // the exchange fails before its deadline
			is.True(errors.Is(err, ErrHeadTooLarge))
			awaitSignal(t, closed)
		})
	}
}

// Guards against a VM that runs out of memory: a server that sends heads without end may do
// so on many connections at a time, slowly, and each within its own limit.
func TestLongHeadsTogetherStayWithinTheMemory(t *testing.T) {
	is := is.New(t)
	const total, exchanges = 256 << 10, 30
	address := startServer(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		_, _ = http.ReadRequest(in)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("a", maxHeadBytes/2))
		_, _ = in.ReadByte()
	})
	x := newExchanger(t)
	x.Memory = rationer.New(total)
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	var refused atomic.Int64
	var group sync.WaitGroup
	for i := range exchanges {
		group.Go(func() {
			_, err := x.Exchange(ctx, address, newRequest(strconv.Itoa(i)))
			if errors.Is(err, ErrHeadTooLarge) {
				refused.Add(1)
			}
		})
	}
	group.Wait()
	is.True(refused.Load() > 0)
	is.True(x.Memory.Peak() <= total)
	is.Equal(x.Memory.Used(), int64(0))
}

func TestLongHeadWithinTheLimitIsRead(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		_, _ = http.ReadRequest(in)
		long := strings.Repeat("a", maxHeadBytes/2)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: %s\r\n\r\n%s", long, strings.Repeat("b", 2*maxHeadBytes))
	})
	response, err := newExchanger(t).Exchange(context.Background(), address, newRequest("1"))
	is.NoErr(err)
	is.Equal(len(readAll(is, response)), 2*maxHeadBytes)
}

// Guards against a response to another request that is read without end while the
// response to this one is awaited.
func TestEndlessMismatchedResponseFailsTheExchangeAndClosesTheConnection(t *testing.T) {
	tests := []struct {
		name  string
		start string
		unit  string
	}{
		{"long", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 9000000000\r\n\r\n", "a"},
		{"chunked", "HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
		{"close-delimited", "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, closed := startFlood(t, test.start, test.unit)
			ctx, cancel := context.WithTimeout(context.Background(), floodDeadline)
			defer cancel()
			_, err := newExchanger(t).Exchange(ctx, address, newRequest("1"))
			is.True(MaybeSent(err))
			is.NoErr(ctx.Err()) // the exchange fails before its deadline
			is.True(errors.Is(err, ErrMismatchedResponse))
			awaitSignal(t, closed)
		})
	}
}

// Guards against a chunked body whose framing does not end: neither its bytes nor its
// end may reach the caller without limit.
func TestEndlessFramingOfChunksIsAnError(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
	tests := []struct {
		name  string
		start string
		unit  string
	}{
		{"extension", start + "4;", "a"},
		{"extensions of small chunks", start, "1;" + strings.Repeat("a", 500) + "\r\nx\r\n"},
		{"trailer line", start + "0\r\nX-Long: ", "a"},
		{"trailer lines", start + "0\r\n", "X-Other: a\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, closed := startFlood(t, test.start, test.unit)
			ctx, cancel := context.WithTimeout(context.Background(), floodDeadline)
			defer cancel()
			response, err := newExchanger(t).Exchange(ctx, address, newRequest("1"))
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.True(err != nil)
			is.NoErr(ctx.Err()) // the body fails before the deadline
			is.True(len(body) <= maxHeadBytes)
			is.NoErr(response.Body.Close())
			awaitSignal(t, closed)
		})
	}
}

// Guards against bytes after a complete response that are taken for the next one.
func TestEndlessBytesAfterACompleteResponseAreNotRead(t *testing.T) {
	is := is.New(t)
	address, closed := startFlood(t, okResponse("1", "body"), okResponse("2", "other"))
	x := newExchanger(t)
	for range 5 {
		response, err := x.Exchange(context.Background(), address, newRequest("1"))
		is.NoErr(err)
		is.True(!response.Reused)
		is.Equal(readAll(is, response), "body")
		awaitClosed(t, x, address) // until the other bytes have arrived
	}
	x.PruneIdle()
	for range 5 {
		awaitSignal(t, closed)
	}
}

// Guards against an idle connection that keeps the bytes its upstream sends unasked
// until it expires.
func TestIdleConnectionWithUnaskedBytesIsPruned(t *testing.T) {
	is := is.New(t)
	idle, closed := make(chan struct{}), make(chan struct{}, 1)
	address := startServer(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		_, _ = http.ReadRequest(in)
		_, err := io.WriteString(conn, okResponse("1", "body"))
		<-idle
		for sent := 0; err == nil && sent < floodBytes; sent += bufferBytes {
			_, err = conn.Write(make([]byte, bufferBytes))
		}
		closed <- struct{}{}
	})
	x := newExchanger(t)
	response, err := x.Exchange(context.Background(), address, newRequest("1"))
	is.NoErr(err)
	is.Equal(readAll(is, response), "body")
	close(idle)
	for deadline := time.Now().Add(floodDeadline); len(closed) == 0 && time.Now().Before(deadline); {
		x.PruneIdle()
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(len(closed), 1)
}
