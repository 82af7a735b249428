package messenger

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafraspass.dev/sassafraspass/connection/messenger/peerv1"
	"sassafraspass.dev/sassafraspass/process/evacuator"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/request/abstainer"
)

// FuzzHeartbeat checks that no message of a peer makes the decoder panic, and that what
// it accepts can be relayed.
func FuzzHeartbeat(f *testing.F) {
	heartbeat := heartbeater.Heartbeat{
		Incarnation: "i", VM: "vm", State: heartbeater.StateServing, LogAge: time.Second,
		Marks:      heartbeater.Marks{RosterOf: "h", Roster: 7, AcceptsRosterChanges: true},
		Departures: []abstainer.Departure{{Upstream: "s", StartedAt: time.UnixMilli(1), Age: time.Second}},
		Relay: &heartbeater.Relay{
			Roster:      &heartbeater.RosterUpdate{Revision: 8, Base: 7, Members: []heartbeater.Heartbeat{{Incarnation: "m"}}},
			Upstreams:   &registrar.Update{NextPosition: 4, Entries: []registrar.Entry{{Name: "u", Slots: 6, ColdLeft: time.Second}}},
			Evacuations: &evacuator.Relay{NextPosition: 9, Evacuations: []evacuator.Evacuation{{Zone: "z", Position: 8}}},
		},
	}
	raw, err := proto.Marshal(encodeHeartbeat(heartbeat))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0x8a, 0x01, 0x00})
	f.Add([]byte{0x82, 0x01, 0x02, 0x18, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var msg peerv1.Beat
		if proto.Unmarshal(raw, &msg) != nil {
			return
		}
		_, err := proto.Marshal(encodeHeartbeat(decodeHeartbeat(&msg)))
		if err != nil {
			t.Fatalf("a received heartbeat cannot be sent on: %v", err)
		}
	})
}
