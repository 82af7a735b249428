// Package evacuator keeps the set of zones that the operator has evacuated. Nothing may
// be sent to the upstreams of such a zone. The set comes from the store, read by this
// daemon or relayed by another one.
package evacuator

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	// maxZoneBytes is the maximum length of a zone's name in a record.
	maxZoneBytes = 255
	// Never is the age of a set that was neither read nor relayed.
	Never = time.Duration(-1)
)

// Evacuation is one evacuated zone, with the position of the record that evacuated it.
type Evacuation struct {
	Zone     identifier.ZoneName `json:"zone"`
	Position identifier.Position `json:"offset"`
	// HeldFor is how much longer the zone stays evacuated if the log lost the record, and
	// zero otherwise. Only relays state it.
	HeldFor time.Duration `json:"-"`
}

// Change is one record of the store about a zone.
type Change struct {
	Evacuation
	// IsRevoked is set if the record ends the evacuation.
	IsRevoked bool
}

// Read is the result of reading records from the store.
type Read struct {
	Changes []Change
	// NextPosition is the position after the last record that was read.
	NextPosition identifier.Position
	// IsSnapshot says that Changes holds the newest record of each zone. Otherwise
	// it holds the records from the NextPosition of the previous read on.
	IsSnapshot bool
	// ReachedEnd says that no further record followed at AsOf.
	ReachedEnd bool
	AsOf       time.Time
}

// Relay is the set as another daemon knows it.
type Relay struct {
	// NextPosition is the position up to which the store was read.
	NextPosition identifier.Position
	// Age is the time, as of the sending, since the sender knew that no record followed.
	Age time.Duration
	// Delay is the longest time that the relay may have been on its way.
	Delay       time.Duration
	Evacuations []Evacuation
}

// Evacuator holds the set of evacuated zones. It is safe for concurrent use.
type Evacuator struct {
	// OnChange is called without locks for each zone whose evacuation begins or ends.
	OnChange func(change Change, isRelayed bool)
	// HasSources reports whether there are daemons that relay the set to this one.
	// MaxCutOffAge is the age of the set and of the newest relay above which a daemon
	// that has sources sends nothing to any zone, as a zone may have been evacuated
	// since; zero sets no limit.
	HasSources   func() bool
	MaxCutOffAge func() time.Duration

	clock clockwork.Clock

	mu sync.Mutex
	// zones maps the evacuated zones to the positions of their records.
	zones map[identifier.ZoneName]identifier.Position
	// lost holds the zones whose records the log lost, also after their holds ended, so that
	// no relay begins them anew.
	lost map[identifier.ZoneName]lostRecord
	// nextPosition is the position up to which the set is known, or NoPosition.
	nextPosition identifier.Position
	// asOf is when the set was last known to be complete.
	asOf time.Time
	// relayedAt is when the newest relay was sent at the earliest.
	relayedAt time.Time
}

// New returns an evacuator that knows nothing yet.
func New(clock clockwork.Clock) *Evacuator {
	return &Evacuator{
		OnChange:     func(Change, bool) {},
		HasSources:   func() bool { return false },
		MaxCutOffAge: func() time.Duration { return 0 },
		clock:        clock,
		zones:        make(map[identifier.ZoneName]identifier.Position),
		lost:         make(map[identifier.ZoneName]lostRecord),
		nextPosition: identifier.NoPosition,
	}
}

var errEmptyZone = errors.New("the zone is empty")

// CheckZone returns an error for the name of a zone that no record may have.
func CheckZone(zone identifier.ZoneName) error {
	switch {
	case zone == "":
		return errEmptyZone
	case len(zone) > maxZoneBytes:
		return fmt.Errorf("the zone has %d bytes, more than %d", len(zone), maxZoneBytes)
	case !utf8.ValidString(string(zone)):
		return fmt.Errorf("the zone %q is not valid UTF-8", zone)
	}
	return nil
}

// ApplyRead applies what this daemon read from the store. Records that the set already
// covers are ignored.
func (e *Evacuator) ApplyRead(read Read) {
	e.mu.Lock()
	zones := make(map[identifier.ZoneName]identifier.Position)
	if !read.IsSnapshot {
		zones = maps.Clone(e.zones)
	}
	isKnown := e.nextPosition != identifier.NoPosition
	if isKnown && read.IsSnapshot && read.NextPosition.Era() > e.nextPosition.Era() {
		// The older copy may lack the newest evacuations.
		maps.Copy(zones, e.zones)
	}
	for _, change := range read.Changes {
		switch {
		case !read.IsSnapshot && change.Position < e.nextPosition:
		case change.IsRevoked:
			e.endHold(zones, change)
			delete(zones, change.Zone)
		default:
			zones[change.Zone] = change.Position
		}
	}
	if read.NextPosition < e.nextPosition || (!read.IsSnapshot && !isKnown) {
		e.mu.Unlock()
		return
	}
	changes := e.replace(zones, read.NextPosition)
	if read.ReachedEnd && read.AsOf.After(e.asOf) {
		e.asOf = read.AsOf
	}
	e.mu.Unlock()
	e.announce(changes, false)
}

// ApplyRelay applies a set that another daemon relayed. A set that was read up to a lower
// position than the known one is ignored.
func (e *Evacuator) ApplyRelay(relay Relay) {
	if relay.NextPosition < 0 || relay.Age < 0 {
		return
	}
	e.mu.Lock()
	sentAt := e.clock.Now().Add(-relay.Delay)
	if sentAt.After(e.relayedAt) {
		e.relayedAt = sentAt
	}
	if relay.NextPosition < e.nextPosition {
		e.mu.Unlock()
		return
	}
	zones := maps.Clone(e.zones)
	isNews := relay.NextPosition > e.nextPosition
	if isNews {
		clear(zones)
	}
	for _, evacuation := range relay.Evacuations {
		if CheckZone(evacuation.Zone) != nil {
			continue
		}
		if evacuation.HeldFor > 0 {
			e.addLost(zones, evacuation, relay.NextPosition.Era(), sentAt)
		} else if isNews {
			zones[evacuation.Zone] = evacuation.Position
		}
	}
	changes := e.replace(zones, relay.NextPosition)
	asOf := sentAt.Add(-relay.Age)
	if asOf.After(e.asOf) {
		e.asOf = asOf
	}
	e.mu.Unlock()
	e.announce(changes, true)
}

// replace sets the zones as of a position and returns what changed. The caller holds the
// lock.
func (e *Evacuator) replace(zones map[identifier.ZoneName]identifier.Position, nextPosition identifier.Position) (changes []Change) {
	e.dropLost(zones, nextPosition.Era())
	for zone, position := range zones {
		_, wasEvacuated := e.zones[zone]
		if !wasEvacuated {
			changes = append(changes, Change{Evacuation: Evacuation{Zone: zone, Position: position}})
		}
	}
	for zone, position := range e.zones {
		_, isEvacuated := zones[zone]
		if !isEvacuated {
			changes = append(changes, Change{Evacuation: Evacuation{Zone: zone, Position: position}, IsRevoked: true})
		}
	}
	e.zones = zones
	e.nextPosition = nextPosition
	return changes
}

func (e *Evacuator) announce(changes []Change, isRelayed bool) {
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Zone, b.Zone) })
	for _, change := range changes {
		e.OnChange(change, isRelayed)
	}
}

// RelaySince returns the set to relay to a daemon that knows it up to a position. If that daemon
// knows the zones, only those are listed whose records the log lost, which it can't read. It
// returns nil while nothing is known.
func (e *Evacuator) RelaySince(known identifier.Position) *Relay {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.nextPosition == identifier.NoPosition || e.asOf.IsZero() {
		return nil
	}
	relay := &Relay{NextPosition: e.nextPosition, Age: max(0, e.clock.Since(e.asOf))}
	now := e.clock.Now()
	for _, evacuation := range e.sorted() {
		isHeld := evacuation.Position.Era() < e.nextPosition.Era()
		if isHeld {
			evacuation.HeldFor = e.lost[evacuation.Zone].until.Sub(now)
		}
		if evacuation.HeldFor >= time.Millisecond || !isHeld && known != e.nextPosition {
			relay.Evacuations = append(relay.Evacuations, evacuation)
		}
	}
	return relay
}

// sorted returns the evacuations by zone. The caller holds the lock.
func (e *Evacuator) sorted() (evacuations []Evacuation) {
	for zone, position := range e.zones {
		evacuations = append(evacuations, Evacuation{Zone: zone, Position: position})
	}
	slices.SortFunc(evacuations, func(a, b Evacuation) int { return cmp.Compare(a.Zone, b.Zone) })
	return evacuations
}

// NextPosition returns the position up to which the set is known, or NoPosition.
func (e *Evacuator) NextPosition() identifier.Position {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.nextPosition
}

// IsKnown reports whether the set was read or relayed once.
func (e *Evacuator) IsKnown() bool {
	return e.NextPosition() != identifier.NoPosition
}

// Age returns the time since the set was last known to be complete, or Never.
func (e *Evacuator) Age() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.asOf.IsZero() {
		return Never
	}
	return max(0, e.clock.Since(e.asOf))
}

// IsOlderThan reports whether the set is unknown or older than an age.
func (e *Evacuator) IsOlderThan(age time.Duration) bool {
	current := e.Age()
	return current == Never || current > age
}

// IsTrusted reports whether this daemon may rely on the set: it is known, and not too old
// at a daemon that is cut off.
func (e *Evacuator) IsTrusted() bool {
	longest := e.MaxCutOffAge()
	return e.IsKnown() && (longest <= 0 || !e.IsOlderThan(longest) || !e.isCutOff(longest))
}

// isCutOff reports whether this daemon has sources and none has relayed the set for a time. The
// store may be out of reach for the sources too, so an old set alone is no sign of that.
func (e *Evacuator) isCutOff(longest time.Duration) bool {
	e.mu.Lock()
	relayAge := e.clock.Since(e.relayedAt)
	e.mu.Unlock()
	return relayAge > longest && e.HasSources()
}

// IsEvacuated reports whether a zone is evacuated.
func (e *Evacuator) IsEvacuated(zone identifier.ZoneName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, isEvacuated := e.zones[zone]
	return isEvacuated
}

// HasEvacuations reports whether any zone is evacuated.
func (e *Evacuator) HasEvacuations() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.zones) > 0
}

// Status is the state of the set, as /v1/status shows it. AgeMs is -1 if the set was
// neither read nor relayed.
type Status struct {
	Zones        []Evacuation        `json:"zones"`
	NextPosition identifier.Position `json:"next-offset"`
	AgeMs        int64               `json:"age-ms"`
}

// Status returns the state of the set.
func (e *Evacuator) Status() Status {
	age := e.Age()
	e.mu.Lock()
	defer e.mu.Unlock()
	status := Status{Zones: e.sorted(), NextPosition: e.nextPosition, AgeMs: age.Milliseconds()}
	if age == Never {
		status.AgeMs = -1
	}
	return status
}
