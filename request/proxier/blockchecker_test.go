package proxier

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/version/parser"
)

// Guards against ORDER and MIXED: after a stream had broken off, what the next engine sent, such
// as the text of an error, came in the middle of it, or made it look complete.
func TestOnlyTheEventsThatFollowContinueAStream(t *testing.T) {
	const second = "id: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\nid: 6\ndata: 6\n\n"
	tests := []struct {
		name        string
		status      int
		contentType string
		body        string
		wantWhole   bool
	}{
		{"events that follow", 200, "text/event-stream", second, true},
		{"with a parameter and a comment", 200, "text/event-stream; charset=utf-8", ": back\n\n" + second, true},
		{"error status", 500, "text/event-stream", second, false},
		{"success with the text of an error", 200, "text/plain", "the engine failed\n\n", false},
		{"success with JSON", 200, "application/json", `{"error":"engine failed"}` + "\n\n", false},
		{"error in a stream", 200, "text/event-stream", "the engine failed\n\n" + second, false},
		{"head of another response", 200, "text/event-stream", "HTTP/1.1 503 Service Unavailable\nContent-Length: 6\n\nfailed\n\n" + second, false},
		{"head before an event", 200, "text/event-stream", "HTTP/1.1 503 Service Unavailable\n" + second, false},
		{"events again", 200, "text/event-stream", "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n" + second, false},
		{"the last event again", 200, "text/event-stream", "id: 2\ndata: 2\n\n" + second, false},
		{"begins inside an event", 200, "text/event-stream", "ta: 2\n\n" + second, false},
		{"begins inside the data", 200, "text/event-stream", "2}]\n\n" + second, false},
		{"begins behind the id", 200, "text/event-stream", "data: 2\n\n" + second, false},
		{"no body", 200, "text/event-stream", "", false},
		{"no content", 204, "", "", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 2, AllowStreamFailover: true}, "pre", "dec-1", "dec-2")
			f.grants = slices.Clone(twoGrants)
			f.upstreams["dec-1"].abortAfter = 2
			f.upstreams["dec-2"].respond = func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", test.contentType)
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body))
			}
			w, _, err := f.serve(context.Background(), 5*time.Second)
			if test.wantWhole {
				is.NoErr(err)
				is.Equal(strings.ReplaceAll(w.Body.String(), ": back\n\n", ""), completeStream())
				return
			}
			is.True(errors.Is(err, ErrResponseTruncated))
			is.Equal(w.Body.String(), "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
		})
	}
}

// Guards against sound streams that are broken off: events may lack an id at their end, have
// other fields, and begin with a byte order mark.
func TestSoundBlocksAreRelayed(t *testing.T) {
	tests := []struct {
		name    string
		checker blockChecker
		blocks  string
	}{
		{"fields, comments and empty lines", blockChecker{}, "\ufeffretry: 10\n\n: comment / text\n\nevent: x\nid: 1\ndata: {\"a\": 1}\n\n\n\nid\ndata\n\n"},
		{"other fields", blockChecker{}, "weight-versions: 3\nid: 1\ndata: x\n\nx.y_z: 1\n\n"},
		{"carriage returns", blockChecker{}, "id: 1\r\ndata: x\r\n\n"},
		{"end without an id", blockChecker{isResumed: true, lastEventID: "2"}, "id: 3\ndata: 3\n\ndata: [DONE]\n\n"},
		{"ids that are no numbers", blockChecker{isResumed: true, lastEventID: "b"}, "id: a\ndata: 3\n\n"},
		{"no ids at all", blockChecker{isResumed: true}, "data: 3\n\n"},
		{"nothing", blockChecker{isResumed: true, lastEventID: "2"}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sound, err := test.checker.sound([]byte(test.blocks))
			is.NoErr(err)
			is.Equal(string(sound), test.blocks)
		})
	}
}

// Guards against MIXED: bytes that follow the events of a response without a length belong to
// no stream, and a stream with them is not complete.
func TestBytesThatAreNoEventBreakAStreamOff(t *testing.T) {
	tests := []struct {
		name string
		tail string
	}{
		{"second answer", "HTTP/1.1 503 Service Unavailable\nX: 1\n\n"},
		{"text", "upstream connect error\n\n"},
		{"binary", "\x00\x01\xff\n\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, parser.Route{Kind: parser.RouteStream, MaxAttempts: 1}, "pre", "dec-1")
			f.grants = slices.Clone(twoGrants[:1])
			f.upstreams["dec-1"].respond = func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("Connection", "close")
				_, _ = fmt.Fprint(w, completeStream()+test.tail)
			}
			w, _, err := f.serve(context.Background(), 5*time.Second)
			is.True(errors.Is(err, ErrResponseTruncated))
			is.Equal(w.Body.String(), completeStream())
		})
	}
}
