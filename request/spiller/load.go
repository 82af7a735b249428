package spiller

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	// loadHalfLife is the time in which an observed request loses half its weight.
	loadHalfLife = 500 * time.Millisecond
	// minWeight is the weight of served requests from which on their mean time is used.
	minWeight = 0.3
	// minDirectWeight is the weight from which on this daemon trusts its own requests to
	// another zone more than the sums and the measured path.
	minDirectWeight = 3
	// minRunning is the number of running requests from which on their age is used.
	minRunning = 2
	// maxRejectedFraction bounds the fraction of rejected requests, and with it the time
	// of a zone that rejects them all.
	maxRejectedFraction = 0.9
	// bytesWeight is the weight of a new request in the mean number of bytes.
	bytesWeight = 0.02
)

// ZoneLoad is the load that one daemon or several put on the servers of a zone.
type ZoneLoad struct {
	Service identifier.ServiceName
	Zone    identifier.ZoneName
	// ArrivalRate is the number of requests sent to these servers per second.
	ArrivalRate float64
	// Wait is the mean time that they took, rejections included, for the daemons of the
	// zone itself. It is zero if unknown.
	Wait time.Duration
	Age  time.Duration
	// Daemons is the number of daemons that contributed to Wait.
	Daemons int
}

// Outcome is how one send of a request to a server ended.
type Outcome struct {
	// Took is the time from the send to the response, and Bytes the size of both.
	Took  time.Duration
	Bytes int64
	// Rejected is set if the server did not execute the request.
	Rejected bool
}

// ownLoad holds the weights of this daemon's recent requests to one zone.
type ownLoad struct {
	sent      float64
	served    float64
	rejected  float64
	seconds   float64
	decayedAt time.Time
	// running is the number of requests without an outcome, and startedSum the sum of their
	// starting times since createdAt, in seconds.
	running    int
	startedSum float64
	createdAt  time.Time
}

// knownSum is a sum over daemons as of a time.
type knownSum struct {
	ZoneLoad
	asOf time.Time
}

// Begin records that this daemon sends a request to a server in a zone. The returned
// function records the outcome.
func (s *Spiller) Begin(service identifier.ServiceName, zone identifier.ZoneName) (end func(Outcome)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	state := s.service(service)
	state.usedAt = now
	load, ok := state.own[zone]
	if !ok {
		load = &ownLoad{decayedAt: now, createdAt: now}
		state.own[zone] = load
	}
	load.decayTo(now)
	load.sent++
	started := now.Sub(load.createdAt).Seconds()
	load.running++
	load.startedSum += started
	return func(outcome Outcome) {
		s.mu.Lock()
		defer s.mu.Unlock()
		load.decayTo(s.clock.Now())
		load.running--
		load.startedSum -= started
		state.record(load, outcome)
	}
}

func (state *serviceState) record(load *ownLoad, outcome Outcome) {
	if outcome.Rejected {
		load.rejected++
		return
	}
	load.served++
	load.seconds += outcome.Took.Seconds()
	if state.bytes == 0 {
		state.bytes = float64(outcome.Bytes)
	}
	state.bytes += bytesWeight * (float64(outcome.Bytes) - state.bytes)
}

func (l *ownLoad) decayTo(now time.Time) {
	factor := math.Exp2(-now.Sub(l.decayedAt).Seconds() / loadHalfLife.Seconds())
	l.sent *= factor
	l.served *= factor
	l.rejected *= factor
	l.seconds *= factor
	l.decayedAt = now
}

// rate returns the number of requests sent per second.
func (l *ownLoad) rate() float64 {
	return l.sent * math.Ln2 / loadHalfLife.Seconds()
}

// time returns the mean time of a request, with as many attempts as the rejections make
// necessary. It is zero if too few were served to tell.
func (l *ownLoad) time(minServed float64) time.Duration {
	if l.served < minServed {
		return 0
	}
	rejectedFraction := min(l.rejected/(l.served+l.rejected), maxRejectedFraction)
	return time.Duration(l.seconds / l.served / (1 - rejectedFraction) * float64(time.Second))
}

// latestTime returns the mean time of a request. If the mean age of the running ones, half
// of their time, exceeds that, it returns twice the age, which shows a slow zone before
// the first slow responses.
func (l *ownLoad) latestTime(now time.Time) time.Duration {
	served := l.time(minDirectWeight)
	if l.running < minRunning {
		return served
	}
	age := seconds(now.Sub(l.createdAt).Seconds() - l.startedSum/float64(l.running))
	if age < served {
		return served
	}
	return 2 * age
}

// OwnLoads returns the load of this daemon's own requests, sorted by service and zone.
func (s *Spiller) OwnLoads() (loads []ZoneLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for service, state := range s.services {
		for zone, own := range state.own {
			own.decayTo(now)
			if own.sent < minWeight {
				continue
			}
			load := ZoneLoad{Service: service, Zone: zone, ArrivalRate: own.rate()}
			if zone == s.zone {
				load.Wait = own.time(minWeight)
			}
			if load.Wait > 0 {
				load.Daemons = 1
			}
			loads = append(loads, load)
		}
	}
	sortLoads(loads)
	return loads
}

func sortLoads(loads []ZoneLoad) {
	slices.SortFunc(loads, func(a, b ZoneLoad) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
}

// loadKey names the servers of a service in a zone.
type loadKey struct {
	service identifier.ServiceName
	zone    identifier.ZoneName
}

// Sum adds the loads of several daemons up, by service and zone. The waits and the ages
// are means weighted by the rates.
func Sum(loads []ZoneLoad) (sums []ZoneLoad) {
	type total struct{ rate, waitRate, wait, age, daemons float64 }
	totals := make(map[loadKey]*total)
	for _, load := range loads {
		key := loadKey{load.Service, load.Zone}
		t, ok := totals[key]
		if !ok {
			t = &total{}
			totals[key] = t
		}
		t.rate += load.ArrivalRate
		t.age += load.ArrivalRate * load.Age.Seconds()
		if load.Wait > 0 {
			t.waitRate += load.ArrivalRate
			t.wait += load.ArrivalRate * load.Wait.Seconds()
			t.daemons += float64(load.Daemons)
		}
	}
	for key, t := range totals {
		if t.rate <= 0 {
			continue
		}
		sum := ZoneLoad{Service: key.service, Zone: key.zone, ArrivalRate: t.rate, Age: seconds(t.age / t.rate), Daemons: int(t.daemons)}
		if t.waitRate > 0 {
			sum.Wait = seconds(t.wait / t.waitRate)
		}
		sums = append(sums, sum)
	}
	sortLoads(sums)
	return sums
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// Adopt takes over the sums of a hub, unless newer ones are known. It ignores values that
// no daemon measures.
func (s *Spiller) Adopt(sums []ZoneLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, sum := range sums {
		isValid := sum.ArrivalRate >= 0 && !math.IsInf(sum.ArrivalRate, 0) && sum.Wait >= 0 && sum.Age >= 0
		state, isUsed := s.services[sum.Service]
		if !isValid || !isUsed {
			continue
		}
		asOf := now.Add(-sum.Age)
		if asOf.After(state.sums[sum.Zone].asOf) {
			state.sums[sum.Zone] = knownSum{ZoneLoad: sum, asOf: asOf}
		}
	}
	for _, state := range s.services {
		maps.DeleteFunc(state.sums, func(_ identifier.ZoneName, known knownSum) bool {
			return now.Sub(known.asOf) > serviceRetention
		})
	}
}
