package server_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"sassafraspass.dev/sassafraspass/process/commander"
	"sassafraspass.dev/sassafraspass/process/demonstrator"
	"sassafraspass.dev/sassafraspass/process/logger"
)

// stopTimeout bounds the graceful shutdown of an idle daemon on a busy machine.
const stopTimeout = 60 * time.Second

// Guards against a request that is dropped without a response, as its header was read
// just after the listener was closed.
func TestRequestReadAfterTheListenerIsClosedIsAnswered(t *testing.T) {
	is := is.New(t)
	fleet, cleanup, err := demonstrator.New(demonstrator.DefaultOptions(logger.Discard()))
	is.NoErr(err)
	defer cleanup()
	_, err = commander.Publish(t.Context(), fleet.LogAddress, fleet.Publication())
	is.NoErr(err)
	d := fleet.Daemons[0]
	for !d.Status().Ready {
		pause(t.Context(), 20*time.Millisecond)
	}
	address := string(d.Identity.CallerAddress)
	d.Stop()
	pause(t.Context(), time.Second) // the shutdown goes on for longer
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(stopTimeout)))
	_, err = io.WriteString(conn, "GET /healthz HTTP/1.1\r\n")
	is.NoErr(err)
	for isListening(address) {
		pause(t.Context(), 20*time.Millisecond)
	}
	_, err = io.WriteString(conn, "Host: h\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.StatusCode, http.StatusOK)
}

func isListening(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return err == nil
}

func TestStoppedDaemonsLeaveNoGoroutine(t *testing.T) {
	is := is.New(t)
	existing := goleak.IgnoreCurrent()
	fleet, cleanup, err := demonstrator.New(demonstrator.DefaultOptions(logger.Discard()))
	is.NoErr(err)
	_, err = commander.Publish(t.Context(), fleet.LogAddress, fleet.Publication())
	is.NoErr(err)
	for _, d := range fleet.Daemons {
		for !d.Status().Ready {
			pause(t.Context(), 20*time.Millisecond)
		}
	}
	for _, d := range fleet.Daemons {
		d.Stop()
	}
	for _, d := range fleet.Daemons {
		select {
		case err := <-d.Done:
			is.NoErr(err)
		case <-time.After(stopTimeout):
			t.Fatal("a daemon did not stop")
		}
	}
	cleanup()
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	goleak.VerifyNone(t, existing)
}
