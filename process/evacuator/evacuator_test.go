package evacuator

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
)

func evacuated(zone identifier.ZoneName, position identifier.Position) Change {
	return Change{Evacuation: Evacuation{Zone: zone, Position: position}}
}

func revoked(zone identifier.ZoneName, position identifier.Position) Change {
	return Change{Evacuation: Evacuation{Zone: zone, Position: position}, IsRevoked: true}
}

func TestNewestRecordWins(t *testing.T) {
	snapshot := func(next identifier.Position, changes ...Change) func(e *Evacuator) {
		return func(e *Evacuator) {
			e.ApplyRead(Read{Changes: changes, NextPosition: next, IsSnapshot: true, ReachedEnd: true, AsOf: e.clock.Now()})
		}
	}
	read := func(next identifier.Position, changes ...Change) func(e *Evacuator) {
		return func(e *Evacuator) {
			e.ApplyRead(Read{Changes: changes, NextPosition: next, ReachedEnd: true, AsOf: e.clock.Now()})
		}
	}
	relay := func(next identifier.Position, evacuations ...Evacuation) func(e *Evacuator) {
		return func(e *Evacuator) { e.ApplyRelay(Relay{NextPosition: next, Evacuations: evacuations}) }
	}
	a3 := Evacuation{Zone: "a", Position: 3}
	tests := []struct {
		name   string
		steps  []func(e *Evacuator)
		wanted []Evacuation
	}{
		{"read", []func(*Evacuator){snapshot(4, evacuated("a", 3))}, []Evacuation{a3}},
		{"read on", []func(*Evacuator){snapshot(3), read(4, evacuated("a", 3))}, []Evacuation{a3}},
		{"revoked at once", []func(*Evacuator){snapshot(3), read(5, evacuated("a", 3), revoked("a", 4))}, nil},
		{"revoked and evacuated again", []func(*Evacuator){snapshot(0), read(4, evacuated("a", 1), revoked("a", 2), evacuated("a", 3))}, []Evacuation{a3}},
		{"relayed", []func(*Evacuator){relay(4, a3)}, []Evacuation{a3}},
		{"older relay after a revocation", []func(*Evacuator){snapshot(5), relay(4, a3)}, nil},
		{"older relay without the zone", []func(*Evacuator){snapshot(4, evacuated("a", 3)), relay(3)}, []Evacuation{a3}},
		{"relay without zones that are known", []func(*Evacuator){snapshot(4, evacuated("a", 3)), relay(4)}, []Evacuation{a3}},
		{"newer relay that revokes", []func(*Evacuator){snapshot(4, evacuated("a", 3)), relay(5)}, nil},
		{"older snapshot after a relay", []func(*Evacuator){relay(4, a3), snapshot(3)}, []Evacuation{a3}},
		{"records that a relay covered", []func(*Evacuator){snapshot(1), relay(5), read(5, evacuated("a", 3), revoked("a", 4))}, nil},
		{"records before and after a relay", []func(*Evacuator){snapshot(1), relay(3, Evacuation{Zone: "b", Position: 2}), read(5, evacuated("b", 2), evacuated("a", 3), revoked("b", 4))}, []Evacuation{a3}},
		{"snapshot after records were deleted unread", []func(*Evacuator){snapshot(2, evacuated("b", 1)), snapshot(9, evacuated("a", 3))}, []Evacuation{a3}},
		{"records without a snapshot", []func(*Evacuator){read(4, evacuated("a", 3))}, nil},
		{"relayed zone without a name", []func(*Evacuator){relay(4, Evacuation{Position: 2}, a3)}, []Evacuation{a3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := New(clockwork.NewFakeClock())
			for _, step := range tt.steps {
				step(e)
			}
			is.Equal(e.Status().Zones, tt.wanted)
			is.Equal(e.IsEvacuated("a"), len(tt.wanted) > 0)
		})
	}
}

// TestDaemonsAgreeInAnyOrderOfReadsAndRelays guards against a daemon that keeps an
// evacuation that was revoked, or misses one, because of the order in which it heard.
func TestDaemonsAgreeInAnyOrderOfReadsAndRelays(t *testing.T) {
	clock := clockwork.NewFakeClock()
	zones := []identifier.ZoneName{"a", "b", "c"}
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		var log []Change
		daemons := []*Evacuator{New(clock), New(clock), New(clock)}
		next := []identifier.Position{identifier.NoPosition, identifier.NoPosition, identifier.NoPosition}
		readAt := func(i int) {
			read := Read{NextPosition: identifier.Position(len(log)), IsSnapshot: next[i] == identifier.NoPosition, ReachedEnd: true, AsOf: clock.Now()}
			read.Changes = log[max(0, next[i]):]
			next[i] = read.NextPosition
			daemons[i].ApplyRead(read)
		}
		for range 40 {
			i, j := random.IntN(3), random.IntN(3)
			switch random.IntN(3) {
			case 0:
				change := evacuated(zones[random.IntN(3)], identifier.Position(len(log)))
				change.IsRevoked = random.IntN(2) == 0
				log = append(log, change)
			case 1:
				readAt(i)
			default:
				relay := daemons[j].RelaySince(daemons[i].NextPosition())
				if relay != nil {
					daemons[i].ApplyRelay(*relay)
				}
			}
		}
		for i := range daemons {
			readAt(i)
			if len(daemons[i].Status().Zones) != len(daemons[0].Status().Zones) {
				t.Fatalf("seed %d: %v and %v", seed, daemons[i].Status(), daemons[0].Status())
			}
		}
		wanted := make(map[identifier.ZoneName]bool)
		for _, change := range log {
			wanted[change.Zone] = !change.IsRevoked
		}
		for _, zone := range zones {
			if daemons[0].IsEvacuated(zone) != wanted[zone] {
				t.Fatalf("seed %d: zone %s should be evacuated: %t", seed, zone, wanted[zone])
			}
		}
	}
}

func TestAgeCountsFromTheNewestSource(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	e := New(clock)
	is.Equal(e.Age(), Never)
	is.True(!e.IsKnown())
	is.True(e.IsOlderThan(time.Hour))
	is.True(e.RelaySince(identifier.NoPosition) == nil)
	e.ApplyRelay(Relay{NextPosition: 4, Age: time.Second})
	e.ApplyRelay(Relay{NextPosition: 4, Age: 3 * time.Second})
	is.Equal(e.Age(), time.Second)
	e.ApplyRelay(Relay{NextPosition: 3}) // older knowledge does not renew the newer one
	is.Equal(e.Age(), time.Second)
	clock.Advance(time.Second)
	is.Equal(e.RelaySince(4), &Relay{NextPosition: 4, Age: 2 * time.Second})
	e.ApplyRead(Read{NextPosition: 5, IsSnapshot: true, AsOf: clock.Now()})
	is.Equal(e.Age(), 2*time.Second) // further records may follow
	is.Equal(e.NextPosition(), identifier.Position(5))
}

// TestCutOffDaemonTrustsItsSetOnlyForAWhile guards against requests to a zone that was
// evacuated while the daemon could neither read the store nor hear a hub.
func TestCutOffDaemonTrustsItsSetOnlyForAWhile(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	e := New(clock)
	is.True(!e.IsTrusted())
	e.ApplyRelay(Relay{NextPosition: 1})
	clock.Advance(time.Minute)
	is.True(e.IsTrusted()) // no limit is set
	e.MaxCutOffAge = func() time.Duration { return 4 * time.Second }
	is.True(e.IsTrusted()) // there is no other daemon
	e.HasSources = func() bool { return true }
	is.True(!e.IsTrusted())
	e.ApplyRelay(Relay{NextPosition: 1, Delay: time.Minute}) // sent before a pause of this daemon
	is.True(!e.IsTrusted())
	e.ApplyRelay(Relay{NextPosition: 1, Age: time.Minute}) // the store is out of reach for all
	is.True(e.IsTrusted())
	clock.Advance(5 * time.Second)
	is.True(!e.IsTrusted())
	e.ApplyRead(Read{NextPosition: 1, ReachedEnd: true, AsOf: clock.Now()})
	is.True(e.IsTrusted())
}

func TestBadZonesAreRejected(t *testing.T) {
	is := is.New(t)
	is.True(CheckZone("") != nil)
	is.True(CheckZone(identifier.ZoneName(strings.Repeat("z", 256))) != nil)
	is.True(CheckZone("\xff") != nil)
	is.NoErr(CheckZone(identifier.ZoneName(strings.Repeat("z", 255))))
}

// Guards against a zone that gets requests again although it is evacuated, because the log
// came back from a copy that lacks the record.
func TestEvacuationThatAnOlderCopyLacksIsKept(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	e, peer := New(clock), New(clock)
	in := func(era identifier.Era, offset identifier.Offset) identifier.Position {
		return identifier.NewPosition(era, offset)
	}
	relay := func() { peer.ApplyRelay(*e.RelaySince(peer.NextPosition())) }
	read := func(isSnapshot bool, next identifier.Position, changes ...Change) {
		e.ApplyRead(Read{Changes: changes, NextPosition: next, IsSnapshot: isSnapshot, ReachedEnd: true, AsOf: clock.Now()})
		relay()
	}
	evacuated := func(zone identifier.ZoneName) bool {
		is.Equal(e.IsEvacuated(zone), peer.IsEvacuated(zone))
		return e.IsEvacuated(zone)
	}
	change := func(zone identifier.ZoneName, at identifier.Position) Change {
		return Change{Evacuation: Evacuation{Zone: zone, Position: at}}
	}
	read(true, in(1, 5), change("kept", in(1, 4)))
	read(false, in(1, 8), change("again", in(1, 5)), change("ended", in(1, 6)), change("lost", in(1, 7)))
	read(true, in(2, 5), change("kept", in(2, 4)))
	for _, zone := range []identifier.ZoneName{"kept", "again", "ended", "lost"} {
		is.True(evacuated(zone))
	}
	read(false, in(2, 7), change("again", in(2, 5)), Change{Evacuation: Evacuation{Zone: "ended", Position: in(2, 6)}, IsRevoked: true})
	is.True(evacuated("again"))
	is.True(!evacuated("ended"))
	clock.Advance(lostHold)
	read(false, in(2, 7))
	is.True(evacuated("kept"))
	is.True(evacuated("again"))
	is.True(!evacuated("lost")) // the operator did not write it again
}

// Guards against daemons that keep a zone evacuated whose record the log lost, because each
// hears of it from another one after its own hold has ended.
func TestLostEvacuationIsNotKeptByRelays(t *testing.T) {
	in := identifier.NewPosition
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 2))
		clock := clockwork.NewFakeClock()
		daemons := []*Evacuator{New(clock), New(clock), New(clock)}
		next := in(2, 3)
		read := func(e *Evacuator) {
			e.ApplyRead(Read{NextPosition: next, IsSnapshot: e.NextPosition().Era() < next.Era(), ReachedEnd: true, AsOf: clock.Now()})
		}
		for _, e := range daemons {
			e.ApplyRead(Read{Changes: []Change{evacuated("z", in(1, 4))}, NextPosition: in(1, 5), IsSnapshot: true, ReachedEnd: true, AsOf: clock.Now()})
		}
		for _, e := range daemons {
			read(e)
			clock.Advance(300 * time.Millisecond)
		}
		returnedAt := clock.Now()
		for clock.Since(returnedAt) < lostHold+time.Second {
			i, j := random.IntN(3), random.IntN(3)
			switch random.IntN(3) {
			case 0:
				next++ // the operator writes something else
			case 1:
				read(daemons[i])
			default:
				daemons[j].ApplyRelay(*daemons[i].RelaySince(daemons[j].NextPosition()))
			}
			clock.Advance(100 * time.Millisecond)
		}
		for i, e := range daemons {
			read(e)
			if e.IsEvacuated("z") {
				t.Fatalf("seed %d: daemon %d holds the zone %s after the return", seed, i, clock.Since(returnedAt))
			}
		}
	}
}

// Guards against requests to an evacuated zone from a daemon that starts on an older copy, while
// its peers still hold the evacuation that the copy lacks.
func TestDaemonThatStartsOnAnOlderCopyHearsOfTheLostEvacuation(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	in := identifier.NewPosition
	snapshot := func(e *Evacuator, next identifier.Position, changes ...Change) {
		e.ApplyRead(Read{Changes: changes, NextPosition: next, IsSnapshot: true, ReachedEnd: true, AsOf: clock.Now()})
	}
	peer, started, later := New(clock), New(clock), New(clock)
	relay := func(from, to *Evacuator) { to.ApplyRelay(*from.RelaySince(to.NextPosition())) }
	snapshot(peer, in(1, 5), evacuated("z", in(1, 4)))
	snapshot(peer, in(2, 4))
	clock.Advance(lostHold - time.Second)
	snapshot(started, in(2, 4))
	is.True(!started.IsEvacuated("z"))
	relay(peer, started)
	is.True(started.IsEvacuated("z"))
	clock.Advance(time.Second / 2)
	snapshot(later, in(2, 3))
	relay(started, later) // tells it the rest of the time, with the later position
	is.True(later.IsEvacuated("z"))
	clock.Advance(time.Second / 2)
	for _, e := range []*Evacuator{peer, started, later} {
		e.ApplyRead(Read{NextPosition: in(2, 4), ReachedEnd: true, AsOf: clock.Now()})
		is.True(!e.IsEvacuated("z"))
	}
	relay(started, peer)
	is.True(!peer.IsEvacuated("z"))
}

// Guards against a zone that is evacuated again, although the operator ended that, because another
// daemon that has not read the end still holds it.
func TestEndOfALostEvacuationIsNotUndoneByAPeer(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	in := identifier.NewPosition
	e := New(clock)
	e.ApplyRead(Read{Changes: []Change{evacuated("z", in(1, 4))}, NextPosition: in(1, 5), IsSnapshot: true})
	e.ApplyRead(Read{NextPosition: in(2, 4), IsSnapshot: true})
	e.ApplyRead(Read{Changes: []Change{revoked("z", in(2, 4))}, NextPosition: in(2, 5)})
	is.True(!e.IsEvacuated("z"))
	// The peer read the newest records only after the end.
	e.ApplyRelay(Relay{NextPosition: in(2, 5), Evacuations: []Evacuation{{Zone: "z", Position: in(1, 4), HeldFor: time.Second}}})
	is.True(!e.IsEvacuated("z"))
}
