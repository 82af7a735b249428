package messenger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/request/accountant"
)

// newHeartbeat returns a heartbeat of a daemon that receives heartbeats from a number
// of others.
func newHeartbeat(heard int) heartbeater.Heartbeat {
	heartbeat := heartbeater.Heartbeat{
		Incarnation: "01M8ZJBD2YFA70M47HP846C0W8", VM: "vm-entry-0001", Zone: "zone-a",
		Peer: "10.0.0.1:8081", Caller: "10.0.0.1:8080", Operator: "10.0.0.1:8082",
		State: heartbeater.StateServing, Version: 1000, Epoch: 40,
	}
	for i := range heard {
		heartbeat.Heard = append(heartbeat.Heard, identifier.Incarnation(fmt.Sprintf("01M8ZJBD2YFA70M47HP846%04d", i)))
	}
	for i := range 10 {
		heartbeat.Loads = append(heartbeat.Loads, heartbeater.EngineLoad{Upstream: identifier.UpstreamName(fmt.Sprintf("decode-%02d", i)), Running: 3, Tokens: 2000})
	}
	return heartbeat
}

// TestHeartbeatsStayWithinTheBudget guards against heartbeats that grow too large:
// in a full mesh of 8 daemons, each daemon may send 12 KB a second.
func TestHeartbeatsStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	const (
		budget      = 12_000 // bytes a second for each daemon
		peers       = 7
		headerBytes = 250 // of the HTTP request or response that carries a heartbeat
	)
	size := proto.Size(encodeHeartbeat(newHeartbeat(0)))
	heartbeatsPerSecond := 2 * float64(nanosPerSecond) / float64(heartbeater.Interval) // requests and responses
	sent := heartbeatsPerSecond * peers * float64(size+headerBytes)
	is.True(sent <= budget)
	t.Logf("a heartbeat has %d bytes; a daemon sends %.0f bytes a second to %d peers", size, sent, peers)
}

const nanosPerSecond = 1_000_000_000

func BenchmarkHeartbeatEncoding(b *testing.B) {
	for _, heard := range []int{8, 1400} {
		b.Run(fmt.Sprintf("%d daemons", heard), func(b *testing.B) {
			heartbeat := newHeartbeat(heard)
			b.ReportAllocs()
			for b.Loop() {
				raw, err := proto.Marshal(encodeHeartbeat(heartbeat))
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(raw)), "bytes")
			}
		})
	}
}

// TestEvidenceInHeartbeatsNeverLooksNewerThanItIs guards against evidence that never
// expires because daemons send it to each other again and again.
func TestEvidenceInHeartbeatsNeverLooksNewerThanItIs(t *testing.T) {
	is := is.New(t)
	heartbeat := newHeartbeat(0)
	heartbeat.Suspicions = []heartbeater.Suspicion{
		{Service: "llm", Part: "5c1e07a2", Crashes: 5, Requests: 4, Age: 1500 * time.Microsecond, Quarantined: true},
		{Service: "llm", Part: "91bd3f06", Crashes: 1, Requests: 1},
	}
	want := slices.Clone(heartbeat.Suspicions)
	want[0].Age = 2 * time.Millisecond
	want[1].Age = time.Millisecond
	is.Equal(decodeHeartbeat(encodeHeartbeat(heartbeat)).Suspicions, want)
}

func TestHeartbeatWithoutEvidenceNeedsNoBytesForIt(t *testing.T) {
	is := is.New(t)
	heartbeat := newHeartbeat(0)
	size := proto.Size(encodeHeartbeat(heartbeat))
	heartbeat.Suspicions = []heartbeater.Suspicion{}
	is.Equal(proto.Size(encodeHeartbeat(heartbeat)), size)
	is.True(decodeHeartbeat(encodeHeartbeat(heartbeat)).Suspicions == nil)
	heartbeat.Suspicions = []heartbeater.Suspicion{{Service: "llm", Part: "5c1e07a2", Crashes: 5, Requests: 4, Age: time.Minute, Quarantined: true}}
	t.Logf("a suspicion has %d bytes", proto.Size(encodeHeartbeat(heartbeat))-size)
}

// TestLimitAccountsKeepTheirSums guards against a hub that takes an older account for a
// newer one, because a part of its sum was lost on the way.
func TestLimitAccountsKeepTheirSums(t *testing.T) {
	is := is.New(t)
	heartbeat := newHeartbeat(0)
	size := proto.Size(encodeHeartbeat(heartbeat))
	heartbeat.LimitAccounts = []accountant.Account{{Workspace: "tenant-a", Slot: 500 * time.Millisecond, Slots: []identifier.Tokens{5000, 0, 7, 3 << 40}, Age: -200 * time.Millisecond, Era: 3}}
	is.Equal(decodeHeartbeat(encodeHeartbeat(heartbeat)).LimitAccounts, heartbeat.LimitAccounts)
	heartbeat.LimitAccounts[0].Slots = slices.Repeat([]identifier.Tokens{30_000}, 18)
	t.Logf("a full account has %d bytes", proto.Size(encodeHeartbeat(heartbeat))-size)
}

// TestMarksOfRostersAreUnderstoodByEarlierBuilds guards against a mark by which a hub of an
// earlier build would send changes of a roster that the sender does not have: such a hub
// sends the whole roster for a negative revision.
func TestMarksOfRostersAreUnderstoodByEarlierBuilds(t *testing.T) {
	tests := []struct {
		marks heartbeater.Marks
		want  int64
	}{
		{heartbeater.Marks{RosterOf: "h", Roster: 7}, 7},
		{heartbeater.Marks{RosterOf: "h", Roster: 7, WantsLeavingOnly: true}, -7},
		{heartbeater.Marks{RosterOf: "h", WantsLeavingOnly: true}, -1},
	}
	for _, test := range tests {
		is := is.New(t)
		msg := encodeMarks(test.marks)
		is.Equal(msg.GetRoster(), test.want)
		decoded := decodeMarks(msg)
		is.Equal(decoded.WantsLeavingOnly, test.marks.WantsLeavingOnly)
		is.Equal(decoded.Roster, max(test.want, -test.want))
	}
}
