package streamer

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/asserter"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
)

// maxFloodFrames is how many frames an endless stream sends at most, so that a relay
// without a limit fails its test and not the machine.
const maxFloodFrames = 200_000

// Guards against a stream of the attempt's own frames without end: frames that repeat
// the same token, and more tokens than the request allows.
func TestEndlessFramesOfTheAttemptEndTheStream(t *testing.T) {
	const maxOutput = 4
	tests := []struct {
		name  string
		index func(i int) int
		want  int
	}{
		{"repeated", func(i int) int { return min(i, 1) }, 2},
		{"too many", func(i int) int { return i }, maxOutput},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var err error
				for i := 0; err == nil && i < maxFloodFrames; i++ {
					_, err = fmt.Fprintf(w, "data: {\"attempt\":\"a\",\"index\":%d,\"text\":\"x\"}\n\n", test.index(i))
				}
				<-r.Context().Done()
			}))
			defer server.Close()
			client, cleanup := dispatcher.NewEngineClient()
			defer cleanup()
			stream, err := client.Decode(t.Context(), identifier.Address(server.Listener.Addr().String()), dispatcher.DecodeRequest{Attempt: "a"})
			is.NoErr(err)
			defer stream.Close()
			m := meter.NewNoop()
			delivered := 0
			r := &requestState{
				Streamer: &Streamer{Clock: clockwork.NewRealClock(), Log: logger.Discard(), Meter: m, Assert: asserter.New(logger.Discard(), m, true)},
				req:      Request{MaxOutput: maxOutput},
				sink:     func(Token) error { delivered++; return nil },
			}
			done := make(chan error, 1)
			go func() { done <- r.relay(t.Context(), stream, "e", "a") }()
			select {
			case err = <-done:
				is.True(err != nil)
				is.Equal(delivered, test.want)
			case <-time.After(5 * time.Second):
				t.Fatal("the stream is still read")
			}
		})
	}
}
