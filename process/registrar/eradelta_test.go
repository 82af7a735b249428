package registrar

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"sassafraspass.dev/sassafraspass/identifier"
)

// upstreamLog is the log of upstreams, which comes back from an older copy of itself.
type upstreamLog struct {
	era     identifier.Era
	records []Update
	// newest holds the newest record of each upstream that has not left, also of those that
	// the log has lost.
	newest map[identifier.UpstreamName]Entry
	starts int64
}

func (l *upstreamLog) end() identifier.Position {
	return identifier.NewPosition(l.era, identifier.Offset(len(l.records)))
}

func (l *upstreamLog) add(update Update) {
	update.NextPosition = l.end() + 1
	l.records = append(l.records, update)
}

// write appends the next record of an upstream, or of its next process.
func (l *upstreamLog) write(name identifier.UpstreamName, drains bool) {
	e, known := l.newest[name]
	if !known {
		l.starts++
		e = entry(string(name), string(name), 0)
		e.StartedAt = firstStart.Add(time.Duration(l.starts) * time.Second)
	}
	if drains {
		e.State = StateDraining
	}
	e.Sequence++
	e.Position = l.end()
	l.newest[name] = e
	l.add(Update{Entries: []Entry{e}})
}

func (l *upstreamLog) remove(name identifier.UpstreamName) {
	delete(l.newest, name)
	l.add(Update{Removed: []Removal{{Name: name, Position: l.end()}}})
}

// snapshot returns the newest record of each upstream in the log.
func (l *upstreamLog) snapshot() Update {
	entries := make(map[identifier.UpstreamName]Entry)
	for i, record := range l.records {
		for _, e := range record.Entries {
			e.Position = identifier.NewPosition(l.era, identifier.Offset(i))
			entries[e.Name] = e
		}
		for _, removed := range record.Removed {
			delete(entries, removed.Name)
		}
	}
	update := Update{NextPosition: l.end(), IsSnapshot: true}
	for _, e := range entries {
		update.Entries = append(update.Entries, e)
	}
	return update
}

// readTo lets a registrar read the records of the current era up to an offset.
func (l *upstreamLog) readTo(r *Registrar, end int) {
	for i := int(r.NextPosition().Offset()); i < end; i++ {
		r.Apply(l.records[i])
	}
}

func (l *upstreamLog) comeBack(end int) {
	l.era++
	l.records = slices.Clone(l.records[:end])
}

func describe(r *Registrar) (described []string) {
	for _, e := range r.All() {
		described = append(described, fmt.Sprint(e.Name, e.State, e.StartedAt.Unix()))
	}
	return described
}

// Guards against a daemon that misses a change, or keeps what is gone, because it was told only
// the changes that a peer found when the log came back from an older copy. Whole lists for all
// daemons of a large fleet take longer than daemons wait before they read the log themselves.
func TestChangesSufficeAfterTheLogCameBack(t *testing.T) {
	names := []identifier.UpstreamName{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		l := &upstreamLog{newest: make(map[identifier.UpstreamName]Entry)}
		daemons := []*Registrar{New(clock), New(clock)}
		reader, told := daemons[0], daemons[1]
		draw := func(most int) int { return rapid.IntRange(0, most).Draw(t, "n") }
		act := func() {
			name := names[draw(len(names)-1)]
			_, known := l.newest[name]
			switch choice := draw(5); {
			case choice == 0 && known:
				l.remove(name)
			case choice == 1 && known:
				l.write(name, true)
			default:
				l.write(name, false)
			}
		}
		for _, r := range daemons {
			r.Apply(Update{IsSnapshot: true})
		}
		for range 1 + draw(15) {
			act()
		}
		for _, r := range daemons {
			l.readTo(r, draw(len(l.records)))
		}
		readUpTo := reader.NextPosition()
		l.comeBack(draw(len(l.records)))
		for range draw(3) {
			act()
		}
		reader.Apply(l.snapshot())
		for _, name := range names {
			if _, lives := l.newest[name]; lives {
				l.write(name, false)
			} else {
				l.remove(name) // as its record expires
			}
		}
		l.readTo(reader, len(l.records))
		isBehind := told.NextPosition() <= readUpTo
		update := reader.UpdateSince(told.NextPosition())
		if update.IsSnapshot == isBehind {
			t.Fatalf("whole list: %t, for %s while the reader had read up to %s", update.IsSnapshot, told.NextPosition(), readUpTo)
		}
		told.Apply(*update)
		for range 2 { // removals that were deferred are told later
			clock.Advance(recoveryGrace + time.Second)
			_, _ = reader.Ready("s"), told.Ready("s")
			told.Apply(*reader.UpdateSince(told.NextPosition()))
		}
		if !slices.Equal(describe(reader), describe(told)) {
			t.Fatalf("%v, but the peer has %v", describe(told), describe(reader))
		}
	})
}
