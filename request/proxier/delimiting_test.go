package proxier

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/version/parser"
)

// Guards against a long response that is cut while it is relayed, as only the first
// part of the time is left to one server while another could still be tried.
func TestLongResponseMayTakeTheWholeTimeOfTheRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, parser.Route{Kind: parser.RouteIdempotent, MaxAttempts: 2}, "a", "b")
	const timeout = time.Second
	first, rest := strings.Repeat("x", maxBufferedBytes+1), strings.Repeat("y", maxBufferedBytes)
	for _, u := range f.upstreams {
		u.respond = func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(first))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(timeout * 6 / 10)
			_, _ = w.Write([]byte(rest))
		}
	}
	w, refusal, err := f.serve(context.Background(), timeout)
	is.NoErr(err)
	is.True(refusal == nil)
	is.True(w.Body.String() == first+rest)
}
