package spiller

import (
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	// pathSamples is the number of recent round trips that are kept. The smallest one
	// counts, because a busy hub responds late without the link being slow. At two
	// heartbeats a second to a zone, a slow link is seen after four seconds; requests that
	// are under way show it sooner.
	pathSamples = 8
	// retransmission is how much longer than the smallest round trip one with a lost
	// packet takes: the minimum of the kernel's retransmission timeout.
	retransmission = 200 * time.Millisecond
	// lossWeight is the weight of a new sample in the fraction of losses.
	lossWeight = 0.1
	// assumedDelay is the delay of a path that this daemon does not measure.
	assumedDelay = 2 * time.Millisecond
	// maxPathAge is the age of the newest response from which on a path is unknown.
	maxPathAge = 5 * time.Second
)

// path holds what this daemon measured on the way to another zone.
type path struct {
	roundTrips []time.Duration
	lossRate   float64
	measuredAt time.Time
}

// ObservePath records an exchange with a peer in a zone: its round trip, or that it got
// no response in time.
func (s *Spiller) ObservePath(zone identifier.ZoneName, roundTrip time.Duration, isLost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.paths[zone]
	if !ok {
		p = &path{}
		s.paths[zone] = p
	}
	loss := 0.0
	if isLost || (len(p.roundTrips) > 0 && roundTrip >= p.smallest()+retransmission) {
		loss = 1
	}
	p.lossRate += lossWeight * (loss - p.lossRate)
	if isLost {
		return
	}
	p.measuredAt = s.clock.Now()
	p.roundTrips = append(p.roundTrips, roundTrip)
	if len(p.roundTrips) > pathSamples {
		p.roundTrips = slices.Delete(p.roundTrips, 0, 1)
	}
}

func (p *path) isKnown(now time.Time) bool {
	return len(p.roundTrips) > 0 && now.Sub(p.measuredAt) <= maxPathAge
}

func (p *path) smallest() time.Duration {
	return slices.Min(p.roundTrips)
}

// delay returns how much the path adds to the time of a request on a kept connection.
func (p *path) delay() time.Duration {
	return p.smallest() + time.Duration(p.lossRate*float64(retransmission))
}
