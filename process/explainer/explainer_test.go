package explainer

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const log = `
time=2026-01-01T00:00:01.000Z level=INFO msg="config: A version is in force." version=4
  12.1 vm-2 time=2026-01-01T00:00:02.000Z level=INFO msg="process: An epoch began." epoch=3
time=2026-01-01T00:00:05.000Z level=INFO msg="request: A hop failed." id=abc upstream=i-1 err="read: \"reset\""
time=2026-01-01T00:00:05.100Z level=INFO msg="request: Refused." id=abc code=upstream-failed status=502 not-run=false ms=140 reason="the service did not answer" upstream=i-1
time=2026-01-01T00:00:04.000Z level=INFO msg="request: Answered." id=abcd status=200 upstream=i-2 hops=1 ms=30
time=2026-01-01T00:00:05.900Z level=INFO msg="request: A stream was cut." id=cut upstream=i-3 err="connection reset by peer"
time=2026-01-01T00:00:06.000Z level=INFO msg="request: Cut." id=cut upstream=i-3 ms=900 err="the answer was cut"
time=2026-01-01T00:00:06.000Z level=INFO msg="request: Placed." id=open decode=i-3
time=2026-01-01T00:00:07.000Z level=INFO msg="request: Refused." id=away code=zone-evacuated status=503 not-run=true ms=1 reason="the zone of every server of service s is evacuated"
time=2026-01-01T00:00:07.000Z level=INFO msg="request: A hop failed." id=skip upstream=i-4 not-run=true err="the upstream is cold and gets no more requests for now"
time=2026-01-01T00:00:07.100Z level=INFO msg="request: Answered." id=skip status=200 upstream=i-5 hops=2 ms=40
broken line
`

func TestRequestIsExplainedFromItsLinesAndStateChanges(t *testing.T) {
	tests := []struct {
		id      string
		outcome string
		lines   int
	}{
		{"abc", "refused with status 502 (upstream-failed) after 140 ms: the service did not answer; not run: false", 2},
		{"abcd", "answered with status 200 by upstream i-2 after 30 ms and 1 hops", 1},
		{"cut", "cut after 900 ms at upstream i-3: connection reset by peer", 2},
		{"away", "refused with status 503 (zone-evacuated) after 1 ms: the zone of every server of service s is evacuated; not run: true; an upstream was left out: zone evacuated", 1},
		{"skip", "answered with status 200 by upstream i-5 after 40 ms and 2 hops; an upstream was left out: cold", 2},
		{"open", "no line ends the request: its daemon stopped, was frozen, or dropped lines", 1},
	}
	for _, test := range tests {
		t.Run(test.id, func(t *testing.T) {
			is := is.New(t)
			e := New(test.id)
			is.NoErr(e.Read("vm-1", strings.NewReader(log)))
			explanation, ok := e.Explain()
			is.True(ok)
			is.Equal(explanation.Outcome, test.outcome)
			is.Equal(len(explanation.Lines), test.lines)
			is.Equal(len(explanation.StateChanges), 1) // the other daemon's epoch is not shown
		})
	}
}

func TestUnknownRequestIsNotExplained(t *testing.T) {
	is := is.New(t)
	e := New("nobody")
	is.NoErr(e.Read("vm-1", strings.NewReader(log)))
	_, ok := e.Explain()
	is.True(!ok)
}

// Guards against a refusal whose cause can't be seen, as the lines that tell a log that lost
// records from a daemon that doesn't read are left out.
func TestLostRecordsAreShownAsAStateChange(t *testing.T) {
	const log = `
time=2026-01-01T00:00:01.000Z level=WARN msg="config: The log came back from an older copy." era-before=1 era=2
time=2026-01-01T00:00:01.100Z level=WARN msg="config: The log has not all records from where this daemon stands; reading anew." topic=versions from=1:7 end=2:5
time=2026-01-01T00:00:01.200Z level=INFO msg="config: A topic was read after the log came back." topic=versions next=2:5 ms=200
time=2026-01-01T00:00:01.200Z level=INFO msg="config: A version that was read is older than the one in force." version=4 in-force=6
time=2026-01-01T00:00:01.300Z level=WARN msg="shares: Cannot propose an epoch." err="propose after epoch 1:2: append to epochs: the topic ends elsewhere, at 2:2 and not at 1:3"
time=2026-01-01T00:00:02.000Z level=INFO msg="request: Refused." id=abc code=unknown-route status=404 not-run=true version=6 ms=0 reason="no route"
`
	is := is.New(t)
	e := New("abc")
	is.NoErr(e.Read("vm-1", strings.NewReader(log)))
	explanation, ok := e.Explain()
	is.True(ok)
	is.Equal(len(explanation.StateChanges), 5)
}
