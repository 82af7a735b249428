package exchanger

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// closeBeforeSent closes an answer that was read whole while its sender still
// runs, and returns when the close waits.
func closeBeforeSent(t *testing.T) (x *Exchanger, clock *clockwork.FakeClock, c *conn, closed chan struct{}) {
	t.Helper()
	clock = clockwork.NewFakeClock()
	x, cleanup := New(clock)
	t.Cleanup(cleanup)
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	c = &conn{Conn: near, address: "a", reader: newReader(near), sending: make(chan struct{})}
	b := &body{
		ReadCloser: io.NopCloser(strings.NewReader("")), exchanger: x, conn: c,
		stop: func() bool { return true }, ctx: context.Background(), keep: time.Second,
	}
	_, err := io.ReadAll(b)
	if err != nil {
		t.Fatal(err)
	}
	closed = make(chan struct{})
	go func() {
		_ = b.Close()
		close(closed)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if clock.BlockUntilContext(ctx, 1) != nil {
		t.Fatal("the close does not wait for the sender")
	}
	return x, clock, c, closed
}

func TestConnectionIsKeptWhereTheAnswerOvertakesItsSender(t *testing.T) {
	is := is.New(t)
	x, _, c, closed := closeBeforeSent(t)
	close(c.sending)
	<-closed
	is.Equal(len(x.idle["a"]), 1)
}

func TestConnectionIsClosedWhereTheSenderGoesOn(t *testing.T) {
	is := is.New(t)
	x, clock, _, closed := closeBeforeSent(t)
	clock.Advance(sentGrace)
	<-closed
	is.Equal(len(x.idle["a"]), 0)
}
