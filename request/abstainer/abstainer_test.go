package abstainer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
)

func newEntry(name string, startedAtMillis int64) registrar.Entry {
	return registrar.Entry{Name: identifier.UpstreamName(name), StartedAt: time.UnixMilli(startedAtMillis)}
}

func TestLeavingUpstreamIsNotUsedUntilItsSuccessorStarts(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	a := New(clock)
	learnt := 0
	a.OnDeparture = func(_ identifier.UpstreamName, isOwn bool) {
		is.True(isOwn)
		learnt++
	}
	old := newEntry("s", 1)
	a.Observe(old, Signal{IsLeaving: true})
	a.Observe(old, Signal{IsLeaving: true})
	is.Equal(learnt, 1)
	is.True(!a.MayUse(old))
	old.Position = 99 // the list names it again, for example after the store was away
	is.True(!a.MayUse(old))
	is.Equal(len(a.Staying([]registrar.Entry{old, newEntry("t", 1)})), 1)
	clock.Advance(5 * time.Minute)
	is.True(!a.MayUse(old))
	is.True(a.MayUse(newEntry("s", 2)))
	a.Observe(newEntry("s", 2), Signal{})
	a.Adopt([]Departure{{Upstream: "s", StartedAt: time.UnixMilli(1)}}) // an older relay
	is.True(a.MayUse(newEntry("s", 2)))
}

// TestDepartureReachesPeersAndIsNotKeptAliveByThem guards against departures that
// daemons tell each other forever.
func TestDepartureReachesPeersAndIsNotKeptAliveByThem(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	a, b := New(clock), New(clock)
	a.Observe(newEntry("s", 1), Signal{IsLeaving: true})
	clock.Advance(time.Second)
	b.Adopt(a.Departures())
	is.True(!b.MayUse(newEntry("s", 1)))
	is.Equal(b.Departures()[0].Age, time.Second)
	clock.Advance(reportPeriod)
	is.Equal(len(a.Departures()), 0)
	is.Equal(len(b.Departures()), 0)
	for range 2000 {
		b.Adopt([]Departure{{Upstream: identifier.UpstreamName(fmt.Sprint(len(b.departures))), StartedAt: time.UnixMilli(1)}})
	}
	is.True(len(b.departures) <= maxDepartures)
	is.Equal(len(b.Departures()), maxReported)
	b.Adopt([]Departure{{Upstream: "old", StartedAt: time.UnixMilli(1), Age: time.Hour}, {Upstream: "odd", StartedAt: time.UnixMilli(1), Age: -time.Hour}})
	is.True(b.MayUse(newEntry("old", 1)))
	is.True(b.MayUse(newEntry("odd", 1)))
}

func TestHeldUpstreamIsBackWhenItsTimeIsOver(t *testing.T) {
	tests := []struct {
		name       string
		retryAfter time.Duration
		held       time.Duration
	}{
		{"none", 0, 0},
		{"negative", -time.Second, 0},
		{"fraction", 300 * time.Millisecond, 300 * time.Millisecond},
		{"seconds", 4 * time.Second, 4 * time.Second},
		{"huge", 1 << 62, maxHold},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			a := New(clock)
			a.spread = func() float64 { return 0 }
			a.Observe(newEntry("s", 1), Signal{RetryAfter: tt.retryAfter})
			is.Equal(a.MayUse(newEntry("s", 1)), tt.held == 0)
			clock.Advance(max(0, tt.held-time.Millisecond))
			is.Equal(a.MayUse(newEntry("s", 1)), tt.held == 0)
			clock.Advance(2 * time.Millisecond)
			is.True(a.MayUse(newEntry("s", 1)))
		})
	}
}

// The pause that a new process asked for was filed under the process before, which the list
// still named, and was dropped as the entry of the new one was read. The pause of a process
// that has ended must not hold back those that start long after it.
func TestPauseIsKeptForTheProcessThatMayHaveAskedForIt(t *testing.T) {
	tests := []struct {
		name string
		// startedAfter is when the next process started, by its own clock, after the pause
		// began, and readAfter when its entry was read.
		startedAfter time.Duration
		readAfter    time.Duration
		pause        time.Duration
		isHeld       bool
	}{
		{"it started before", -300 * time.Millisecond, 300 * time.Millisecond, 5 * time.Second, true},
		{"its entry is read late", -300 * time.Millisecond, 20 * time.Second, 30 * time.Second, true},
		{"its clock is a little ahead", 500 * time.Millisecond, 10 * time.Second, 30 * time.Second, true},
		{"its clock is far ahead, or it started later", 4 * time.Second, 300 * time.Millisecond, 5 * time.Second, true},
		{"it started long after", 20 * time.Second, 21 * time.Second, time.Minute, false},
		{"its clock is far behind", -time.Hour, 61 * time.Second, maxHold, false},
		{"the pause is over", -300 * time.Millisecond, 5 * time.Second, 5 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			a := New(clock)
			a.spread = func() float64 { return 0 }
			listed := newEntry("s", 1)
			a.Observe(listed, Signal{RetryAfter: tt.pause})
			next := listed
			next.StartedAt = clock.Now().Add(tt.startedAfter)
			clock.Advance(tt.readAfter)
			usable, _ := a.Usable([]registrar.Entry{next})
			is.Equal(a.MayUse(next), !tt.isHeld)
			is.Equal(len(usable) == 0, tt.isHeld)
			is.Equal(len(a.HeldBack([]registrar.Entry{next})) == 1, tt.isHeld)
		})
	}
}

// A process whose clock had stepped back counted as the one that left.
func TestNewProcessIsUsedWhateverItsClock(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	a, peer := New(clock), New(clock)
	a.Observe(newEntry("s", 5), Signal{IsLeaving: true})
	peer.Adopt(a.Departures())
	is.True(!peer.MayUse(newEntry("s", 5)))
	for _, startedAt := range []int64{3, 8} {
		is.True(a.MayUse(newEntry("s", startedAt)))
		is.True(peer.MayUse(newEntry("s", startedAt)))
	}
	clock.Advance(time.Second)
	a.Observe(newEntry("s", 3), Signal{IsLeaving: true})
	is.True(!a.MayUse(newEntry("s", 3)))
}

// TestNothingIsUsedWhileItAskedToBeLeftAlone draws answers at random and checks each
// moment against the plain rule.
func TestNothingIsUsedWhileItAskedToBeLeftAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		a := New(clock)
		until := make(map[identifier.UpstreamName]time.Time)
		left := make(map[identifier.UpstreamName]bool)
		var entries []registrar.Entry
		for i := range 4 {
			entries = append(entries, newEntry(fmt.Sprint(i), 1))
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			entry := rapid.SampledFrom(entries).Draw(t, "entry")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				length := time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
				a.Observe(entry, Signal{RetryAfter: length})
				if end := clock.Now().Add(length); end.After(until[entry.Name]) {
					until[entry.Name] = end
				}
			case 1:
				a.Observe(entry, Signal{IsLeaving: true})
				left[entry.Name] = true
			default:
				clock.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			}
			usable, next := a.Usable(entries)
			for _, entry := range entries {
				isUsable := slices.Contains(usable, entry)
				if isUsable && (left[entry.Name] || clock.Now().Before(until[entry.Name])) {
					t.Fatalf("%s is used", entry.Name)
				}
				if !isUsable && !left[entry.Name] && clock.Since(until[entry.Name]) > maxReturnDelay {
					t.Fatalf("%s is not used %s after its time", entry.Name, clock.Since(until[entry.Name]))
				}
				if isUsable == slices.Contains(a.HeldBack(entries), entry.Name) || isUsable != a.MayUse(entry) {
					t.Fatalf("the views of %s differ", entry.Name)
				}
			}
			if next < 0 || next > 0 && len(usable) == len(entries) {
				t.Fatalf("next return in %s, %d usable", next, len(usable))
			}
		}
	})
}

// TestShedOfAllCopiesIsNoHerdWhenTheHoldsEnd is the load pattern of a service whose
// copies all shed at one moment: 200 daemons are turned away at once for two seconds.
func TestShedOfAllCopiesIsNoHerdWhenTheHoldsEnd(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	var daemons []*Abstainer
	for range 200 {
		a := New(clock)
		a.Observe(newEntry("s", 1), Signal{RetryAfter: 2 * time.Second})
		daemons = append(daemons, a)
	}
	clock.Advance(2*time.Second - time.Millisecond)
	back, most := 0, 0
	for range 51 {
		clock.Advance(10 * time.Millisecond)
		now := 0
		for _, a := range daemons {
			if a.MayUse(newEntry("s", 1)) {
				now++
			}
		}
		most = max(most, now-back)
		back = now
	}
	is.Equal(back, 200)
	is.True(most < 20) // without a spread all come in the same 10 ms
}
