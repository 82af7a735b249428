package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/configurer"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/registrar"
)

// TestAdmissionModeFollowsTheSizeOfTheFleet covers the setting and, where it is absent,
// fleets whose daemons see too few requests to choose among many servers well.
func TestAdmissionModeFollowsTheSizeOfTheFleet(t *testing.T) {
	tests := []struct {
		mode     configurer.AdmissionMode
		servers  int
		daemons  int
		want     bool
		ownLimit int
	}{
		{"", 6, 5, false, 5},
		{"", 6, 12, false, 2},
		{"", 6, 13, true, 2},
		{"", 3, 13, false, 2},
		{configurer.AdmissionLocal, 6, 85, false, 2},
		{configurer.AdmissionFleet, 3, 5, true, 5},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.mode, " ", test.servers, " servers, ", test.daemons, " daemons"), func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			g := newNonHub(clock, "h1")
			g.settings.Store(&configurer.Settings{VM: "self", Zone: "z", Gateway: &configurer.Gateway{PlainAdmission: test.mode}})
			g.registrar = registrar.New(clock)
			update := registrar.Update{NextPosition: 9, IsSnapshot: true}
			for i := range test.servers {
				name := identifier.UpstreamName(fmt.Sprint("s", i))
				update.Entries = append(update.Entries, registrar.Entry{Name: name, Address: identifier.Address(name + ":80"), Service: "search", State: registrar.StateReady, Slots: 12 / test.servers, Position: identifier.Position(i)})
			}
			update.Entries = append(update.Entries, registrar.Entry{Name: "other", Address: "other:80", Service: "other", State: registrar.StateReady, Slots: 6, Position: 8})
			g.registrar.Apply(update)
			for i := range test.daemons - 1 {
				receiveHeartbeat(g, fmt.Sprint("d", i), 1)
			}
			is.Equal(g.isAdmittedFleetWide("search"), test.want)
			is.Equal(g.ownRequestLimit("search"), test.ownLimit)
		})
	}
}

// TestDaemonThatHearsNoHubAdmitsNothing guards against a daemon that takes its own few
// requests for those of the whole fleet.
func TestDaemonThatHearsNoHubAdmitsNothing(t *testing.T) {
	is := is.New(t)
	g := newNonHub(clockwork.NewFakeClock(), "h1", "h2")
	is.Equal(len(g.admittingCandidates("search")), 0)
	receiveHeartbeat(g, "h2", 1)
	candidates := g.admittingCandidates("search")
	is.Equal(len(candidates), 1)
	is.Equal(candidates[0].Address, identifier.Address("h2"))
}

// TestContentionIsToldOnAndExpires covers a daemon that has seen no rejection itself, and
// daemons that tell each other of a contention again and again.
func TestContentionIsToldOnAndExpires(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	admitting, other := &contentionTracker{}, &contentionTracker{}
	is.True(admitting.adopt([]heartbeater.Contention{{Service: "search"}}, clock.Now()))
	for range 14 {
		other.adopt(admitting.recent(clock.Now()), clock.Now())
		admitting.adopt(other.recent(clock.Now()), clock.Now())
		is.True(other.isContended("search", clock.Now()))
		is.True(!other.isContended("fetch", clock.Now()))
		clock.Advance(100 * time.Millisecond)
	}
	clock.Advance(100 * time.Millisecond)
	is.True(!other.isContended("search", clock.Now()))
	is.Equal(len(other.recent(clock.Now())), 0)
}
