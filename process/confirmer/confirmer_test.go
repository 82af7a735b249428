package confirmer

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
)

const stream identifier.StreamName = "config"

func newConfirmer(clock clockwork.Clock) *Confirmer {
	c := New(clock, "self", stream)
	c.Known = func() (identifier.Offset, identifier.Position) { return 5, 2 }
	c.Members = func() []identifier.Incarnation { return []identifier.Incarnation{"self", "b", "c"} }
	return c
}

func TestDaemonIsCurrentForAWhileAfterItReadTheLog(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c := newConfirmer(clock)
	is.True(!c.IsCurrent())
	c.RecordLogRead(stream, clock.Now())
	is.True(c.IsCurrent())
	clock.Advance(StaleAfter)
	is.True(c.IsCurrent())
	clock.Advance(time.Millisecond)
	is.True(!c.IsCurrent())
}

func TestPeerConfirmsOnlyDaemonsThatAreNotBehindIt(t *testing.T) {
	tests := []struct {
		name    string
		report  PeerReport
		current bool
	}{
		{"same version and epoch", PeerReport{Version: 5, Epoch: 2, ConfirmationAge: time.Second}, true},
		{"peer is behind", PeerReport{Version: 4, Epoch: 2, ConfirmationAge: time.Second}, true},
		{"peer has a newer version", PeerReport{Version: 6, Epoch: 2, ConfirmationAge: time.Second}, false},
		{"peer has a newer epoch", PeerReport{Version: 5, Epoch: 3, ConfirmationAge: time.Second}, false},
		{"peer's read is old", PeerReport{Version: 5, Epoch: 2, ConfirmationAge: StaleAfter + time.Second}, false},
		{"peer was never confirmed", PeerReport{Version: 5, Epoch: 2, ConfirmationAge: Never}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			c := newConfirmer(clock)
			test.report.Incarnation = "b"
			test.report.RequestedAt = clock.Now()
			c.Members = func() []identifier.Incarnation { return []identifier.Incarnation{"self", "b", "c", "d", "e"} }
			c.RecordPeerReport(test.report)
			is.Equal(c.IsCurrent(), test.current)
		})
	}
}

func TestOutageIsAgreedByAMajorityOnly(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c := newConfirmer(clock)
	c.RecordLogRead(stream, clock.Now())
	clock.Advance(time.Minute)
	is.True(!c.IsCurrent())
	c.RecordPeerReport(PeerReport{Incarnation: "b", RequestedAt: clock.Now(), ConfirmationAge: time.Minute, Version: 5, Epoch: 2})
	is.True(c.IsCurrent()) // two of three hear each other
	clock.Advance(maxReportAge + time.Millisecond)
	is.True(!c.IsCurrent()) // the report is too old
	c.RecordPeerReport(PeerReport{Incarnation: "b", RequestedAt: clock.Now(), ConfirmationAge: time.Minute, Version: 6, Epoch: 2})
	is.True(!c.IsCurrent()) // a member has a newer version
}
