package registrar

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
)

// inEra returns an entry at the same offset in an era.
func inEra(era identifier.Era, e Entry) Entry {
	e.Position = identifier.NewPosition(era, e.Position.Offset())
	return e
}

// readCopy applies the whole list of an older copy of the log, which ends at an offset.
func readCopy(r *Registrar, era identifier.Era, end identifier.Offset, entries ...Entry) {
	update := Update{NextPosition: identifier.NewPosition(era, end), IsSnapshot: true}
	for _, e := range entries {
		update.Entries = append(update.Entries, inEra(era, e))
	}
	r.Apply(update)
}

// Guards against a ready server that gets no requests because it had registered after the
// copy from which the log came back.
func TestReadyUpstreamThatAnOlderCopyLacksStaysInUse(t *testing.T) {
	tests := []struct {
		name string
		// backAt is the offset at which it registers again, negative if it does not.
		backAt  int64
		isReady bool
	}{
		{"and registers again, as the first record", 20, true},
		{"and registers again, as a later record", 23, true},
		{"and is gone", -1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			r, peer := newComplete(clock), newComplete(clock)
			for _, e := range []Entry{record(firstStart, StateReady, 3, 12), entry("b", "2", 25)} {
				putEntries(r, e)
				relay(r, peer)
			}
			readCopy(r, 1, 20, entry("b", "2", 9))
			relay(r, peer)
			for _, daemon := range []*Registrar{r, peer} {
				is.Equal(len(daemon.Ready("s")), 2)
			}
			if test.backAt >= 0 {
				putEntries(r, inEra(1, record(firstStart, StateReady, 4, test.backAt)))
				relay(r, peer)
			}
			clock.Advance(recoveryGrace + time.Second)
			_ = r.Ready("s")
			relay(r, peer)
			for _, daemon := range []*Registrar{r, peer} {
				is.Equal(len(daemon.Ready("s")) == 2, test.isReady)
			}
		})
	}
}

// Guards against a server that has left and gets requests again because the log came back
// from a copy that still has its record.
func TestUpstreamOfAnOlderCopyIsNotRevived(t *testing.T) {
	ready, draining := StateReady, StateDraining
	tests := []struct {
		name      string
		lost      Entry
		isRemoved bool
		// knowsNumber is set if the daemon read the list itself before.
		knowsNumber bool
		copied      Entry
	}{
		{"draining", record(firstStart, draining, 3, 12), false, true, record(firstStart, ready, 2, 11)},
		{"draining, as peers told", record(firstStart, draining, 3, 12), false, false, record(firstStart, ready, 2, 11)},
		{"removed", record(firstStart, ready, 3, 12), true, true, record(firstStart, ready, 2, 11)},
		{"removed, as peers told", record(firstStart, ready, 3, 12), true, false, record(firstStart, ready, 2, 11)},
		{"removed, at the last record", record(firstStart, ready, 3, 12), true, false, record(firstStart, ready, 3, 12)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			r, reader := newComplete(clock), newComplete(clock)
			for _, e := range []Entry{record(firstStart, ready, 2, 11), test.lost} {
				putEntries(reader, e)
				relay(reader, r)
			}
			if test.isRemoved {
				removeEntry(reader, "a", 13)
				relay(reader, r)
			}
			if test.knowsNumber {
				r = reader
			}
			clock.Advance(lateDrainHold / 10)
			readCopy(r, 1, 12, test.copied)
			is.Equal(len(r.Ready("s")), 0)
			// It lives after all, or another process has its name.
			next := test.copied
			next.Sequence, next.Position, next.StartedAt = next.Sequence+1, 14, secondStart
			putEntries(r, inEra(1, next))
			is.Equal(len(r.Ready("s")), 1)
		})
	}
}

// Guards against a removed server that lives, as its records after the log came back show,
// and gets no requests.
func TestRemovedUpstreamThatWritesAgainIsUsed(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r := newComplete(clock)
	r.Apply(Update{NextPosition: 13, Entries: []Entry{record(firstStart, StateReady, 0, 12)}})
	removeEntry(r, "a", 13)
	readCopy(r, 1, 12, record(firstStart, StateReady, 2, 11))
	is.Equal(len(r.Ready("s")), 0)
	putEntries(r, inEra(1, record(firstStart, StateReady, 3, 12)))
	is.Equal(len(r.Ready("s")), 1)
}

// Guards against a peer that has not heard that the log came back, and brings back what is
// gone, or hides what is new.
func TestPeerOfAnEarlierEraChangesNothing(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r, peer := newComplete(clock), newComplete(clock)
	for _, daemon := range []*Registrar{r, peer} {
		putEntries(daemon, record(firstStart, StateReady, 3, 30))
	}
	readCopy(r, 1, 12, record(firstStart, StateReady, 2, 11))
	putEntries(r, inEra(1, record(firstStart, StateDraining, 4, 12)))
	removeEntry(peer, "a", 31)
	is.True(peer.UpdateSince(r.NextPosition()) == nil) // it has nothing newer
	r.Apply(*peer.UpdateSince(identifier.NoPosition))
	is.Equal(len(r.All()), 1)
	is.Equal(r.All()[0].State, StateDraining)
	relay(r, peer)
	is.Equal(peer.NextPosition(), r.NextPosition())
	is.Equal(len(peer.Ready("s")), 0)
}
