// Package registrar keeps the list of upstreams that register themselves: they
// come, drain, lapse, and are replaced at the same address.
package registrar

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// outageAfter is how long the list must have been out of reach for
	// removals after its return to be doubted.
	outageAfter = 500 * time.Millisecond
	// returnGrace is how long after the list's return a missing upstream is
	// still used: entries that lapsed in an outage are back within that time.
	returnGrace = 2 * time.Second
)

// State tells whether an upstream takes new work.
type State string

// The states of an upstream.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Entry is what one upstream says about itself.
type Entry struct {
	Name    identifier.UpstreamName
	Service identifier.ServiceName
	Address identifier.Address
	Zone    identifier.ZoneName
	State   State
	// Role is empty for plain services.
	Role parser.Role
	// Slots is how many requests it runs at once.
	Slots int
	// Born is when the upstream's process started.
	Born time.Time
	// Offset is the position of the record in the list.
	Offset identifier.Offset
}

// Registrar holds the newest entry of each upstream.
type Registrar struct {
	// Changed is told that an upstream came, changed or went.
	Changed func()

	clock clockwork.Clock

	mu      sync.Mutex
	entries map[identifier.UpstreamName]Entry
	// moved holds upstreams that answered under another name at their
	// address, with the offset of the entry that was wrong.
	moved map[identifier.UpstreamName]identifier.Offset
	// doubted holds upstreams that the list lost around an outage.
	doubted map[identifier.UpstreamName]time.Time
	readAt  time.Time
	// returnedAt is when the list was reached again after an outage.
	returnedAt time.Time
	whole      bool
}

// New returns a registrar without upstreams.
func New(clock clockwork.Clock) *Registrar {
	return &Registrar{
		Changed: func() {},
		clock:   clock,
		entries: make(map[identifier.UpstreamName]Entry),
		moved:   make(map[identifier.UpstreamName]identifier.Offset),
		doubted: make(map[identifier.UpstreamName]time.Time),
	}
}

// Read notes a successful reading of the list. Whole says that all entries
// have been seen.
func (r *Registrar) Read(whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if !r.readAt.IsZero() && now.Sub(r.readAt) > outageAfter+r.interval() {
		r.returnedAt = now
	}
	r.readAt = now
	r.whole = r.whole || whole
}

// interval is the longest time between two readings in normal times.
func (r *Registrar) interval() time.Duration {
	return ReadInterval + ReadWait
}

// The reading of the list: it waits up to ReadWait for a record, and
// ReadInterval passes before the next reading.
const (
	ReadInterval = 600 * time.Millisecond
	ReadWait     = 400 * time.Millisecond
)

// IsWhole reports whether the list was read from start to end.
func (r *Registrar) IsWhole() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.whole
}

// Age returns the time since the list was last read.
func (r *Registrar) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Since(r.readAt)
}

// Put takes an upstream's entry. Another upstream at the same address is gone.
func (r *Registrar) Put(entry Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.entries[entry.Name]
	if known && old.Offset > entry.Offset {
		return
	}
	for name, other := range r.entries {
		if name != entry.Name && other.Address == entry.Address && other.Offset < entry.Offset {
			delete(r.entries, name)
		}
	}
	delete(r.doubted, entry.Name)
	r.entries[entry.Name] = entry
	old.Offset = entry.Offset
	if old != entry {
		r.Changed()
	}
}

// Remove takes an upstream off the list. Around an outage of the list the
// upstream may only have lapsed; it is then used a little longer.
func (r *Registrar) Remove(name identifier.UpstreamName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, known := r.entries[name]
	if !known {
		return
	}
	now := r.clock.Now()
	sinceReturn := now.Sub(r.returnedAt)
	if entry.State == StateReady && !r.returnedAt.IsZero() && sinceReturn < returnGrace {
		_, already := r.doubted[name]
		if !already {
			r.doubted[name] = r.returnedAt.Add(returnGrace)
		}
		return
	}
	r.drop(name)
}

func (r *Registrar) drop(name identifier.UpstreamName) {
	delete(r.entries, name)
	delete(r.doubted, name)
	r.Changed()
}

// Keep removes all upstreams but those named, after a whole reading.
func (r *Registrar) Keep(names map[identifier.UpstreamName]bool) {
	r.mu.Lock()
	var missing []identifier.UpstreamName
	for name := range r.entries {
		if !names[name] {
			missing = append(missing, name)
		}
	}
	r.mu.Unlock()
	for _, name := range missing {
		r.Remove(name)
	}
}

// Misplaced notes that another upstream answered at the address of an entry.
func (r *Registrar) Misplaced(entry Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moved[entry.Name] = entry.Offset
	r.Changed()
}

// Ready returns the upstreams of a service that take new work, by name.
func (r *Registrar) Ready(service identifier.ServiceName) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var ready []Entry
	for name, entry := range r.entries {
		until, doubted := r.doubted[name]
		if doubted && now.After(until) {
			r.drop(name)
			continue
		}
		wrongAt, misplaced := r.moved[name]
		if entry.Service != service || entry.State != StateReady || (misplaced && entry.Offset <= wrongAt) {
			continue
		}
		ready = append(ready, entry)
	}
	slices.SortFunc(ready, func(a, b Entry) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return ready
}

// All returns every entry, by name.
func (r *Registrar) All() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Entry, 0, len(r.entries))
	for _, entry := range r.entries {
		all = append(all, entry)
	}
	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return all
}
