// Package spiller decides which part of a service's requests leaves the availability
// zone in which it entered. It compares the time that requests take at the zone's own
// servers with the time that they take in another zone, the path there included: round
// trips, losses and the operator's price of the bytes.
//
// Each daemon decides for the requests that enter at it. The shares move in steps, and
// steps that had to be taken back become smaller, so that zones neither swap their load
// nor all move it to one zone.
package spiller

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	// StepInterval is the time between two decisions.
	StepInterval = 500 * time.Millisecond
	// maxKnowledgeAge is the age from which on the sums of other daemons are not used. A
	// daemon hears five hubs in turn, one every 200 ms.
	maxKnowledgeAge = 3 * time.Second
	// minGain is how much sooner a request must be served elsewhere, path and price
	// included, for it to leave its zone. It equals the cost that request/ejector assumes
	// for any other zone. minRelativeGain is the same as a fraction of the time at home,
	// above the noise of the means.
	minGain         = 10 * time.Millisecond
	minRelativeGain = 0.15
	// bytesPerPrice is the number of bytes to which the price applies.
	bytesPerPrice = 1e6
)

// Capacity is what the usable upstreams of a service in one zone can run at once.
type Capacity struct {
	// Slots counts all slots, and ColdSlots those among them whose upstreams are cold.
	Slots     int
	ColdSlots int
}

// effective returns the number of slots with cold ones counted as half, because cold
// upstreams are slower and may get only a few requests a second.
func (c Capacity) effective() float64 {
	return float64(c.Slots) - float64(c.ColdSlots)/2
}

// Change says that a share changed.
type Change struct {
	Service  identifier.ServiceName
	From, To identifier.ZoneName
	OldShare float64
	Share    float64
	Reason   Reason
	// HomeTime and AwayTime are the times compared, zero if unknown.
	HomeTime time.Duration
	AwayTime time.Duration
}

// Spiller decides for one daemon. It is safe for concurrent use.
type Spiller struct {
	// Capacities returns the capacity of a service by zone.
	Capacities func(service identifier.ServiceName) map[identifier.ZoneName]Capacity
	// BytePrice returns how much waiting a megabyte between zones is worth.
	BytePrice func() time.Duration
	// OnChange is called with each change of a share, without any lock held.
	OnChange func(change Change)
	// Random returns a number from 0 to less than 1.
	Random func() float64

	clock clockwork.Clock
	zone  identifier.ZoneName

	mu       sync.Mutex
	services map[identifier.ServiceName]*serviceState
	paths    map[identifier.ZoneName]*path
}

// serviceState is what a daemon knows and has decided about one service.
type serviceState struct {
	own map[identifier.ZoneName]*ownLoad
	// sums are those of all daemons, with the time as of which they are.
	sums        map[identifier.ZoneName]knownSum
	bytes       float64
	controllers map[identifier.ZoneName]*controller
	// raisedAt is when a share last rose.
	raisedAt time.Time
	// usedAt is when the last request of this daemon was observed.
	usedAt time.Time
}

// serviceRetention is how long the state of a service without requests is kept.
const serviceRetention = time.Minute

// New returns a spiller for a daemon in a zone. Without further knowledge, all requests
// stay in that zone.
func New(clock clockwork.Clock, zone identifier.ZoneName) *Spiller {
	return &Spiller{
		Capacities: func(identifier.ServiceName) map[identifier.ZoneName]Capacity { return nil },
		BytePrice:  func() time.Duration { return 0 },
		OnChange:   func(Change) {},
		Random:     rand.Float64,
		clock:      clock,
		zone:       zone,
		services:   make(map[identifier.ServiceName]*serviceState),
		paths:      make(map[identifier.ZoneName]*path),
	}
}

func (s *Spiller) service(name identifier.ServiceName) *serviceState {
	state, ok := s.services[name]
	if !ok {
		state = &serviceState{
			own:         make(map[identifier.ZoneName]*ownLoad),
			sums:        make(map[identifier.ZoneName]knownSum),
			controllers: make(map[identifier.ZoneName]*controller),
			usedAt:      s.clock.Now(),
		}
		s.services[name] = state
	}
	return state
}

// EntryZone returns the zone whose servers the next request of a service should use: in
// proportion to the shares another one, and otherwise the daemon's own.
func (s *Spiller) EntryZone(service identifier.ServiceName) identifier.ZoneName {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.services[service]
	if !ok {
		return s.zone
	}
	point := s.Random()
	for _, zone := range slices.Sorted(maps.Keys(state.controllers)) {
		point -= state.controllers[zone].share
		if point < 0 {
			return zone
		}
	}
	return s.zone
}

// ZoneCost returns what sending a request of a service from one zone to another costs, as
// a time: the path, the price of the bytes and the gain that leaving must bring at least.
func (s *Spiller) ZoneCost(service identifier.ServiceName, from, to identifier.ZoneName) time.Duration {
	if from == to {
		return 0
	}
	price := s.BytePrice()
	s.mu.Lock()
	defer s.mu.Unlock()
	other := from
	if from == s.zone {
		other = to
	}
	delay := assumedDelay
	p, ok := s.paths[other]
	if ok && (from == s.zone || to == s.zone) && p.isKnown(s.clock.Now()) {
		delay = p.delay()
	}
	return delay + s.byteCost(service, price) + minGain
}

// StayCost returns the cost of leaving the zone that EntryZone returned, for a decision
// that knows only this daemon's own requests. It is ZoneCost, less what this daemon's
// requests lately took longer there than those in the other zone, down to minGain. Between
// two steps of the shares, it keeps a daemon from filling the servers of a zone alone.
func (s *Spiller) StayCost(service identifier.ServiceName, from, to identifier.ZoneName) time.Duration {
	if from == to {
		return 0
	}
	cost := s.ZoneCost(service, from, to)
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.services[service]
	if !ok {
		return cost
	}
	now := s.clock.Now()
	here, isUsed := state.own[from]
	there, isKnown := state.sums[to]
	if !isUsed || !isKnown || now.Sub(there.asOf) > maxKnowledgeAge || there.Wait <= 0 {
		return cost
	}
	here.decayTo(now)
	gain := here.latestTime(now) - there.Wait
	return max(minGain, cost-max(0, gain))
}

// byteCost returns the price of the bytes of a mean request.
func (s *Spiller) byteCost(service identifier.ServiceName, price time.Duration) time.Duration {
	state, ok := s.services[service]
	if !ok {
		return 0
	}
	return time.Duration(state.bytes / bytesPerPrice * float64(price))
}

// Step takes one step for each service.
func (s *Spiller) Step() {
	for _, change := range s.step() {
		s.OnChange(change)
	}
}

func (s *Spiller) step() (changes []Change) {
	s.mu.Lock()
	names := slices.Sorted(maps.Keys(s.services))
	s.mu.Unlock()
	price := s.BytePrice()
	for _, name := range names {
		capacities := s.Capacities(name)
		s.mu.Lock()
		now := s.clock.Now()
		state := s.services[name]
		if now.Sub(state.usedAt) > serviceRetention {
			delete(s.services, name)
			s.mu.Unlock()
			continue
		}
		view := s.view(state, capacities, s.byteCost(name, price), now)
		for _, change := range state.decide(view, now) {
			change.Service, change.From = name, s.zone
			changes = append(changes, change)
		}
		s.mu.Unlock()
	}
	return changes
}
