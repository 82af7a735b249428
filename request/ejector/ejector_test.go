package ejector

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/process/registrar"
)

var three = []registrar.Entry{
	{Name: "a", Zone: "z", Slots: 6},
	{Name: "b", Zone: "z", Slots: 6},
	{Name: "c", Zone: "y", Slots: 6},
}

// play sends requests one after the other and counts where they went.
func play(e *Ejector, clock *clockwork.FakeClock, requests int, failing string) map[string]int {
	count := make(map[string]int)
	for range requests {
		clock.Advance(20 * time.Millisecond)
		chosen := e.Order(three)[0]
		count[string(chosen.Name)]++
		outcome := Succeeded
		if string(chosen.Name) == failing {
			outcome = Failed
		}
		e.Begin(chosen.Name, three)(outcome)
	}
	return count
}

func TestServerThatFailsRequestsIsEjectedAndTriedAgain(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	e := New(clock, "z")
	grey := play(e, clock, 500, "a")
	is.True(grey["a"] > 0)
	is.True(grey["a"] < 25) // tried with single requests only
	healed := play(e, clock, 1500, "")
	is.True(healed["a"] > 300)
}

func TestServersThatAllFailAreNotEjectedTogether(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	e := New(clock, "z")
	for range 200 {
		clock.Advance(20 * time.Millisecond)
		e.Begin(e.Order(three)[0].Name, three)(Failed)
	}
	ejected := 0
	for _, entry := range three {
		if clock.Now().Before(e.known[entry.Name].until) {
			ejected++
		}
	}
	is.True(ejected <= 1)
}

func TestRunningRequestsSpreadOverTheServers(t *testing.T) {
	is := is.New(t)
	e := New(clockwork.NewFakeClock(), "z")
	count := make(map[string]int)
	for range 18 {
		chosen := e.Order(three)[0]
		count[string(chosen.Name)]++
		e.Begin(chosen.Name, three)
	}
	for _, n := range count {
		is.True(n >= 4)
	}
	is.Equal(len(count), 3)
}
