package registrar

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
)

func entry(name, address string, position int64) Entry {
	return Entry{
		Name:     identifier.UpstreamName(name),
		Service:  "s",
		Address:  identifier.Address(address),
		State:    StateReady,
		Position: identifier.Position(position),
	}
}

func names(entries []Entry) (all []string) {
	for _, e := range entries {
		all = append(all, string(e.Name))
	}
	return all
}

func newComplete(clock clockwork.Clock, entries ...Entry) *Registrar {
	r := New(clock)
	r.Apply(Update{NextPosition: 10, IsSnapshot: true, Entries: entries})
	return r
}

// putEntries applies entries whose last one was the newest record of the list.
func putEntries(r *Registrar, entries ...Entry) {
	r.Apply(Update{NextPosition: entries[len(entries)-1].Position + 1, Entries: entries})
}

// passOutage lets the reads of all daemons fail for a while.
func passOutage(clock *clockwork.FakeClock, daemons ...*Registrar) {
	for _, r := range daemons {
		r.RecordReadTime(0, true)
	}
	clock.Advance(6 * time.Second)
}

// removeEntry applies a removal that was the newest record of the list.
func removeEntry(r *Registrar, name string, position identifier.Position) {
	r.Apply(Update{NextPosition: position + 1, Removed: []Removal{{identifier.UpstreamName(name), position}}})
}

func TestUpstreamsThatDrainOrLeaveGetNoNewWork(t *testing.T) {
	is := is.New(t)
	r := newComplete(clockwork.NewFakeClock(), entry("a", "1", 1), entry("b", "2", 2), entry("c", "3", 3))
	draining := entry("a", "1", 11)
	draining.State = StateDraining
	putEntries(r, draining)
	removeEntry(r, "b", 12)
	is.Equal(names(r.Ready("s")), []string{"c"})
	is.Equal(names(r.All()), []string{"a", "c"})
}

func TestOlderRecordsChangeNothing(t *testing.T) {
	is := is.New(t)
	r := newComplete(clockwork.NewFakeClock(), entry("a", "1", 5))
	draining := entry("a", "1", 4)
	draining.State = StateDraining
	r.Apply(Update{NextPosition: 11, Entries: []Entry{draining}, Removed: []Removal{{"a", 3}}})
	is.Equal(names(r.Ready("s")), []string{"a"})
	r.Apply(Update{NextPosition: 11, Removed: []Removal{{"a", 7}}})
	r.Apply(Update{NextPosition: 11, Entries: []Entry{entry("a", "1", 6)}})
	is.Equal(len(r.Ready("s")), 0)
}

func TestNewUpstreamAtAnAddressReplacesTheOld(t *testing.T) {
	is := is.New(t)
	r := newComplete(clockwork.NewFakeClock(), entry("old", "1", 1))
	putEntries(r, entry("new", "1", 12))
	is.Equal(names(r.Ready("s")), []string{"new"})
}

func TestUpstreamWithAStaleEntryWaitsForANewerRecord(t *testing.T) {
	is := is.New(t)
	e := entry("a", "1", 1)
	r := newComplete(clockwork.NewFakeClock(), e)
	r.MarkStale(e)
	is.Equal(len(r.Ready("s")), 0)
	putEntries(r, entry("a", "1", 12))
	is.Equal(len(r.Ready("s")), 1)
}

func TestUpstreamsThatExpireInAnOutageAreUsedUntilTheGraceIsOver(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r := newComplete(clock, entry("back", "1", 1), entry("gone", "2", 2))
	passOutage(clock, r)
	r.Apply(Update{NextPosition: 14, Removed: []Removal{{"back", 12}, {"gone", 13}}})
	is.Equal(len(r.Ready("s")), 2)
	clock.Advance(time.Second)
	putEntries(r, entry("back", "1", 14))
	clock.Advance(1100 * time.Millisecond)
	is.Equal(names(r.Ready("s")), []string{"back"})
}

func TestRemovalOutsideOfAnOutageIsImmediate(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r := newComplete(clock, entry("a", "1", 1))
	clock.Advance(ReadInterval + ReadWait)
	removeEntry(r, "a", 11)
	is.Equal(len(r.Ready("s")), 0)
}

func TestUpdateBringsAnotherRegistrarUpToDate(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	hub := newComplete(clock, entry("a", "1", 1), entry("b", "2", 2))
	other := New(clock)
	is.True(New(clock).UpdateSince(identifier.NoPosition) == nil) // the list is not read yet
	other.Apply(*hub.UpdateSince(other.NextPosition()))
	is.Equal(names(other.Ready("s")), []string{"a", "b"})
	is.True(other.IsComplete())
	putEntries(hub, entry("a", "1", 15), entry("c", "3", 16)) // of a, only the position differs
	removeEntry(hub, "b", 17)
	update := hub.UpdateSince(other.NextPosition())
	is.Equal(names(update.Entries), []string{"c"})
	other.Apply(*update)
	is.Equal(names(other.Ready("s")), []string{"a", "c"})
	is.Equal(other.NextPosition(), identifier.Position(18))
}

func TestAgesOfRelayedListsAddUp(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	hub := newComplete(clock, entry("a", "1", 1))
	clock.Advance(900 * time.Millisecond)
	other := New(clock)
	other.Apply(*hub.UpdateSince(identifier.NoPosition))
	clock.Advance(100 * time.Millisecond)
	is.Equal(other.Age(), time.Second)
}

// Guards against an upstream that a daemon never hears of: a heartbeat that is answered
// while changes are applied must not name the position after them.
func TestPositionIsVisibleOnlyWithItsChanges(t *testing.T) {
	is := is.New(t)
	const updates, entriesPerUpdate = 60, 20
	r := newComplete(clockwork.NewFakeClock())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range updates {
			var entries []Entry
			for range entriesPerUpdate {
				position := int64(10 + i*entriesPerUpdate + len(entries))
				entries = append(entries, entry(fmt.Sprint("u-", position), fmt.Sprint(position), position))
			}
			putEntries(r, entries...)
		}
	}()
	for isDone := false; !isDone; {
		select {
		case <-done:
			isDone = true
		default:
		}
		update := r.UpdateSince(10)
		is.Equal(len(update.Entries), int(update.NextPosition-10))
	}
}

// Guards against an upstream that is used for good after it has left: a delayed update
// lists it, and no later one its removal.
func TestDelayedUpdateBringsNoRemovedUpstreamBack(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	hub := newComplete(clock, entry("a", "1", 1))
	other := newComplete(clock, entry("a", "1", 1))
	putEntries(hub, entry("b", "2", 12))
	delayed := hub.UpdateSince(other.NextPosition())
	removeEntry(other, "b", 14) // it has read the list itself
	other.Apply(*delayed)
	is.Equal(names(other.Ready("s")), []string{"a"})
}

// Guards against DRAIN: a hub defers the removal of an upstream that is gone, and reads on
// meanwhile. The other daemons must hear of it all the same.
func TestDeferredRemovalIsRelayed(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	hub := newComplete(clock, entry("a", "1", 1), entry("b", "2", 2))
	other := New(clock)
	other.Apply(*hub.UpdateSince(other.NextPosition()))
	passOutage(clock, hub, other)
	removeEntry(hub, "b", 12)
	other.Apply(*hub.UpdateSince(other.NextPosition()))
	clock.Advance(recoveryGrace / 2)
	putEntries(hub, entry("a", "1", 20))
	other.Apply(*hub.UpdateSince(other.NextPosition()))
	is.Equal(names(other.Ready("s")), []string{"a", "b"})
	clock.Advance(recoveryGrace/2 + time.Millisecond)
	is.Equal(names(hub.Ready("s")), []string{"a"})
	other.Apply(*hub.UpdateSince(other.NextPosition()))
	is.Equal(names(other.Ready("s")), []string{"a"})
	// One that comes back later is used again.
	putEntries(hub, entry("b", "2", 30))
	other.Apply(*hub.UpdateSince(other.NextPosition()))
	is.Equal(names(other.Ready("s")), []string{"a", "b"})
}

// Guards against RECOVER: upstreams whose entries expired in an outage of the store and came
// back unchanged were no change for the hubs. A daemon that had read their removal itself
// lost them for good.
func TestUpstreamThatComesBackAfterAnOutageIsRelayed(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	hub := newComplete(clock, entry("a", "1", 1))
	other := newComplete(clock, entry("a", "1", 1))
	passOutage(clock, hub, other)
	removeEntry(other, "a", 12) // it has read the list itself
	hub.Apply(Update{NextPosition: 15, Removed: []Removal{{"a", 12}}})
	putEntries(hub, entry("a", "1", 15))
	other.Apply(*hub.UpdateSince(other.NextPosition()))
	clock.Advance(recoveryGrace + time.Millisecond)
	is.Equal(names(hub.Ready("s")), []string{"a"})
	is.Equal(names(other.Ready("s")), []string{"a"})
}

// Guards against an upstream that a daemon loses for good: a hub that was behind the
// retained records reads the whole list, and does not know what its last records changed.
func TestUpdateAfterAFullReadIsASnapshot(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	hub := newComplete(clock, entry("a", "1", 1))
	other := newComplete(clock, entry("a", "1", 1))
	removeEntry(other, "a", 12)
	hub.Apply(Update{NextPosition: 20, IsSnapshot: true, Entries: []Entry{entry("a", "1", 15)}})
	other.Apply(*hub.UpdateSince(other.NextPosition()))
	is.Equal(names(other.Ready("s")), []string{"a"})
}

// Guards against DRAIN: a daemon that had heard of no hub for a while, or had been paused, took
// that for an outage of the store, and used an upstream that had left for two seconds more.
func TestRemovalIsDeferredOnlyAfterAnOutage(t *testing.T) {
	tests := []struct {
		name         string
		beforeIt     func(r *Registrar, clock *clockwork.FakeClock)
		wantDeferred bool
	}{
		{"long time without a read", func(_ *Registrar, clock *clockwork.FakeClock) { clock.Advance(10 * time.Second) }, false},
		{"failed read", func(r *Registrar, clock *clockwork.FakeClock) {
			r.RecordReadTime(time.Millisecond, true)
			clock.Advance(3 * time.Second)
		}, true},
		{"failed read that was repeated at once", func(r *Registrar, clock *clockwork.FakeClock) {
			r.RecordReadTime(time.Millisecond, true)
			clock.Advance(time.Second)
		}, false},
		{"slow read", func(r *Registrar, clock *clockwork.FakeClock) {
			clock.Advance(2 * time.Second)
			r.RecordReadTime(1200*time.Millisecond, false)
		}, true},
		{"a hub that cannot read the list", func(r *Registrar, clock *clockwork.FakeClock) {
			clock.Advance(3 * time.Second)
			r.Apply(Update{NextPosition: 10, Age: 3 * time.Second})
			clock.Advance(time.Second)
		}, true},
		{"outage before the last read", func(r *Registrar, clock *clockwork.FakeClock) {
			passOutage(clock, r)
			r.Apply(Update{NextPosition: 11})
			clock.Advance(3 * time.Second)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			r := newComplete(clock, entry("a", "1", 1))
			test.beforeIt(r, clock)
			removeEntry(r, "a", 12)
			is.Equal(len(r.Ready("s")) > 0, test.wantDeferred)
		})
	}
}

// TestColdTimeIsRelayedAsTheTimeLeft guards against an upstream that counts as cold for longer
// the more often its entry is relayed, and against one that loses its cold time on the way.
func TestColdTimeIsRelayedAsTheTimeLeft(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	cold := entry("a", "1", 1)
	cold.ColdLeft = 10 * time.Second
	hub := newComplete(clock, cold)
	coldUntil := clock.Now().Add(10 * time.Second)
	clock.Advance(4 * time.Second)
	other := New(clock)
	for range 3 {
		update := hub.UpdateSince(identifier.NoPosition)
		is.True(update.Entries[0].ColdLeft > 0)
		other.Apply(*update)
		is.Equal(other.All()[0].ColdUntil, coldUntil)
		clock.Advance(time.Second)
		late := *update // arrives after a second on the way
		other.Apply(late)
		is.Equal(other.All()[0].ColdUntil, coldUntil)
	}
	clock.Advance(10 * time.Second)
	is.Equal(hub.UpdateSince(identifier.NoPosition).Entries[0].ColdLeft, time.Duration(0))
}

// BenchmarkReportsOf3000Upstreams measures what a hub computes each time that all
// upstreams of a large fleet have reported.
func BenchmarkReportsOf3000Upstreams(b *testing.B) {
	r := New(clockwork.NewRealClock())
	position := int64(1)
	for b.Loop() {
		entries := make([]Entry, 0, 3000)
		for i := range 3000 {
			entries = append(entries, entry(fmt.Sprint("u-", i), fmt.Sprint(i), position))
			position++
		}
		putEntries(r, entries...)
	}
}

// TestUpstreamsThatChangeTheirAddressesReplaceEachOther guards against an index of
// addresses that differs from the entries: a random sequence of records must lead to the
// same list as a comparison of each record with all entries.
func TestUpstreamsThatChangeTheirAddressesReplaceEachOther(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	r := newComplete(clockwork.NewFakeClock())
	want := make(map[identifier.UpstreamName]Entry)
	for position := int64(10); position < 3000; position++ {
		name, address := fmt.Sprint("u-", random.IntN(20)), fmt.Sprint(random.IntN(15))
		if random.IntN(5) == 0 {
			removeEntry(r, name, identifier.Position(position))
			delete(want, identifier.UpstreamName(name))
			continue
		}
		added := entry(name, address, position)
		putEntries(r, added)
		maps.DeleteFunc(want, func(_ identifier.UpstreamName, other Entry) bool { return other.Address == added.Address })
		want[added.Name] = added
		is.Equal(len(r.All()), len(want))
		for _, got := range r.All() {
			is.Equal(got, want[got.Name])
		}
	}
}
