package registrar

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
)

var (
	firstStart  = time.UnixMilli(1_000_000)
	secondStart = time.UnixMilli(2_000_000)
)

// record returns the record of a process of the upstream a.
func record(startedAt time.Time, state State, sequence, position int64) Entry {
	e := entry("a", "1", position)
	e.StartedAt, e.State, e.Sequence = startedAt, state, sequence
	return e
}

// A ready record that was carried out late counted as the newest, so that a draining
// upstream got requests again.
func TestRecordThatIsCarriedOutLateRevivesNothing(t *testing.T) {
	ready, draining := StateReady, StateDraining
	tests := []struct {
		name    string
		records []Entry
		// removedAt is the position of a removal after the records, zero for none.
		removedAt int64
		late      Entry
		isReady   bool
		startedAt time.Time
	}{
		{"ready after draining", []Entry{record(firstStart, ready, 1, 11), record(firstStart, draining, 3, 12)}, 0, record(firstStart, ready, 2, 13), false, firstStart},
		{"ready after draining, without numbers", []Entry{record(firstStart, ready, 0, 11), record(firstStart, draining, 0, 12)}, 0, record(firstStart, ready, 0, 13), false, firstStart},
		{"ready of the process before", []Entry{record(firstStart, ready, 1, 11), record(secondStart, ready, 1, 12)}, 0, record(firstStart, ready, 2, 13), true, secondStart},
		{"draining of the process before", []Entry{record(firstStart, draining, 1, 11), record(secondStart, ready, 1, 12)}, 0, record(firstStart, draining, 2, 13), true, secondStart},
		{"after the removal", []Entry{record(firstStart, ready, 3, 11)}, 12, record(firstStart, ready, 2, 13), false, time.Time{}},
		{"of the process before, after the removal", []Entry{record(secondStart, ready, 3, 11)}, 12, record(firstStart, ready, 9, 13), false, time.Time{}},
		{"the next process", []Entry{record(firstStart, draining, 3, 11)}, 0, record(secondStart, ready, 1, 12), true, secondStart},
		{"a numbering that starts again", []Entry{record(firstStart, ready, 9, 11)}, 0, record(firstStart, ready, 1, 12), true, firstStart},
		{"registered again after the removal", []Entry{record(firstStart, ready, 3, 11)}, 12, record(firstStart, ready, 4, 13), true, firstStart},
		{"a start that is not known", []Entry{record(time.UnixMilli(0), draining, 3, 11)}, 0, record(time.UnixMilli(0), ready, 1, 12), true, time.UnixMilli(0)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := newComplete(clockwork.NewFakeClock())
			peer := newComplete(clockwork.NewFakeClock())
			for _, e := range test.records {
				putEntries(r, e)
				relay(r, peer)
			}
			if test.removedAt > 0 {
				removeEntry(r, "a", test.late.Position-1)
				relay(r, peer)
			}
			putEntries(r, test.late)
			relay(r, peer)
			for _, daemon := range []*Registrar{r, peer} {
				is.Equal(len(daemon.Ready("s")) == 1, test.isReady)
				is.Equal(startOf(daemon), test.startedAt)
			}
		})
	}
}

// relay sends what one daemon knows to another.
func relay(from, to *Registrar) { to.Apply(*from.UpdateSince(to.NextPosition() - 1)) }

func startOf(r *Registrar) (startedAt time.Time) {
	for _, e := range r.All() {
		startedAt = e.StartedAt
	}
	return startedAt
}

// A server whose clock stepped back, or that takes a stop back, must not be shut out for
// good because its records look as if they were carried out late.
func TestUpstreamThatWritesOnIsUsedAgain(t *testing.T) {
	tests := []struct {
		name  string
		known Entry
		next  Entry
		hold  time.Duration
	}{
		{"its start is earlier than the one before", record(secondStart, StateReady, 5, 11), record(firstStart, StateReady, 1, 12), lateWriteHold},
		{"it drained and is ready again", record(firstStart, StateDraining, 5, 11), record(firstStart, StateReady, 6, 12), lateDrainHold},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			r := newComplete(clock, test.known)
			putEntries(r, test.next)
			is.True(r.entries["a"].StartedAt.Equal(test.known.StartedAt))
			clock.Advance(test.hold)
			is.Equal(len(r.Ready("s")), 1)
			is.True(startOf(r).Equal(test.next.StartedAt))
		})
	}
}

// A daemon that has just started read only the late record, and learns from another one
// that the upstream drains.
func TestDrainingUpstreamIsLearntFromAnotherDaemon(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	late := record(firstStart, StateReady, 1, 12)
	told := newComplete(clock, late)
	is.Equal(len(told.Ready("s")), 1)
	teller := newComplete(clock, record(firstStart, StateDraining, 2, 11))
	putEntries(teller, late)
	told.Apply(Update{NextPosition: 13, IsSnapshot: true, Entries: teller.UpdateSince(0).Entries})
	is.Equal(len(told.Ready("s")), 0)
}

// A late record of a server that has left took the address of the one that came after it.
func TestLateRecordDoesNotRemoveTheNextUpstreamAtTheAddress(t *testing.T) {
	is := is.New(t)
	next := entry("b", "1", 12)
	next.StartedAt = secondStart
	r := newComplete(clockwork.NewFakeClock(), record(firstStart, StateReady, 1, 5))
	putEntries(r, next)
	putEntries(r, record(firstStart, StateReady, 2, 13))
	is.True(slices.Contains(names(r.Ready("s")), "b"))
}

// Whatever writes of an upstream are carried out late, a process that was read as draining
// is not used again, and one that goes on is used.
func TestLateWritesInAnyOrder(t *testing.T) {
	const (
		heartbeat = 1200 * time.Millisecond
		maxLate   = 6 * time.Second
		days      = 300
	)
	type write struct {
		at    time.Duration
		entry Entry
	}
	for seed := range uint64(days) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 3))
			var writes []write
			at, startedAt := time.Duration(0), firstStart
			for range 1 + random.IntN(3) {
				drainsAt := at + time.Duration(random.IntN(8))*heartbeat
				endsAt := drainsAt + time.Duration(random.IntN(6))*heartbeat
				for sequence := int64(1); at <= endsAt; sequence++ {
					state := StateReady
					if at >= drainsAt {
						state = StateDraining
					}
					late := time.Duration(0)
					if random.IntN(4) == 0 {
						late = time.Duration(random.Int64N(int64(maxLate)))
					}
					writes = append(writes, write{at + late, record(startedAt, state, sequence, 0)})
					at += heartbeat
				}
				startedAt = startedAt.Add(at + time.Minute)
			}
			for sequence := range int64(12) {
				writes = append(writes, write{at, record(startedAt, StateReady, sequence+1, 0)})
				at += heartbeat
			}
			slices.SortStableFunc(writes, func(a, b write) int { return int(a.at - b.at) })
			clock := clockwork.NewFakeClock()
			r, peer := newComplete(clock), newComplete(clock)
			drained := make(map[time.Time]bool)
			now := time.Duration(0)
			for i, w := range writes {
				clock.Advance(w.at - now)
				now = w.at
				w.entry.Position = identifier.Position(11 + i)
				putEntries(r, w.entry)
				relay(r, peer)
				drained[w.entry.StartedAt] = drained[w.entry.StartedAt] || w.entry.State == StateDraining
				for _, daemon := range []*Registrar{r, peer} {
					for _, e := range daemon.Ready("s") {
						is.True(!drained[e.StartedAt])
					}
				}
			}
			for _, daemon := range []*Registrar{r, peer} {
				is.Equal(len(daemon.Ready("s")), 1)
				is.True(startOf(daemon).Equal(startedAt))
			}
		})
	}
}
