package spiller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

// Status is the decision for one service and pair of zones, with what it is based on.
type Status struct {
	Service identifier.ServiceName `json:"service"`
	From    identifier.ZoneName    `json:"from"`
	To      identifier.ZoneName    `json:"to"`
	Share   float64                `json:"share"`
	Reason  Reason                 `json:"reason,omitempty"`
	// HomeMillis and AwayMillis are the times compared by the last decision, 0 if unknown.
	HomeMillis float64 `json:"home-ms"`
	AwayMillis float64 `json:"away-ms"`
	// RateThere is the number of requests per second at the servers of the other zone, and
	// AgeMillis the age of that knowledge, -1 if there is none.
	RateThere float64 `json:"rate-there"`
	AgeMillis int64   `json:"age-ms"`
}

// PathStatus is what is measured on the way to another zone.
type PathStatus struct {
	To              identifier.ZoneName `json:"to"`
	RoundTripMillis float64             `json:"round-trip-ms"`
	LossRate        float64             `json:"loss"`
	AgeMillis       int64               `json:"age-ms"`
}

// Statuses returns the shares of all services, sorted by service and zone.
func (s *Spiller) Statuses() (statuses []Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for name, state := range s.services {
		zones := maps.Clone(state.controllers)
		for zone := range state.sums {
			_, ok := zones[zone]
			if !ok && zone != s.zone {
				zones[zone] = &controller{}
			}
		}
		for zone, c := range zones {
			status := Status{Service: name, From: s.zone, To: zone, Share: c.share, Reason: c.reason, HomeMillis: millis(c.homeTime), AwayMillis: millis(c.awayTime), AgeMillis: -1}
			known, ok := state.sums[zone]
			if ok {
				status.RateThere, status.AgeMillis = known.ArrivalRate, now.Sub(known.asOf).Milliseconds()
			}
			statuses = append(statuses, status)
		}
	}
	slices.SortFunc(statuses, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.To, b.To))
	})
	return statuses
}

// PathStatuses returns the measured paths, sorted by zone.
func (s *Spiller) PathStatuses() (statuses []PathStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, zone := range slices.Sorted(maps.Keys(s.paths)) {
		p := s.paths[zone]
		if len(p.roundTrips) == 0 {
			continue
		}
		statuses = append(statuses, PathStatus{To: zone, RoundTripMillis: millis(p.smallest()), LossRate: p.lossRate, AgeMillis: now.Sub(p.measuredAt).Milliseconds()})
	}
	return statuses
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
