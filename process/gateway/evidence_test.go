package gateway

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/process/heartbeater"
)

// TestEvidenceInResponseIsAsOldAsTheExchange guards against evidence that looks newer
// than it is because its response took long.
func TestEvidenceInResponseIsAsOldAsTheExchange(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newNonHub(clock, "h1")
	var got []heartbeater.Suspicion
	g.OnHeartbeat = func(heartbeat heartbeater.Heartbeat) { got = heartbeat.Suspicions }
	sent := []heartbeater.Suspicion{{Service: "s", Part: "5c1e07a2", Crashes: 1, Requests: 1, Age: time.Second}}
	sentAt := clock.Now()
	clock.Advance(300 * time.Millisecond)
	g.Heartbeater.OnResponse(heartbeater.Heartbeat{Incarnation: "h1", Suspicions: sent}, sentAt)
	is.Equal(got[0].Age, 1300*time.Millisecond)
	is.Equal(sent[0].Age, time.Second) // the heartbeat as recorded is unchanged
}
