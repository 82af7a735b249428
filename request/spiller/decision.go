package spiller

import (
	"maps"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

// Reason says why a share has its value.
type Reason string

// The reasons.
const (
	// ReasonHomeSlower means that requests are served later at home.
	ReasonHomeSlower Reason = "home-slower"
	// ReasonAwaySlower means that requests are served later in the other zone.
	ReasonAwaySlower Reason = "away-slower"
	// ReasonHomeHasRoom means that the zone's own servers can take the requests back.
	ReasonHomeHasRoom Reason = "home-has-room"
	// ReasonNoHomeServers means that the zone has no usable servers.
	ReasonNoHomeServers Reason = "no-home-servers"
	// ReasonNoServers means that the other zone has no usable servers.
	ReasonNoServers Reason = "no-servers"
	// ReasonTooOld means that what is known is too old to decide on.
	ReasonTooOld Reason = "knowledge-too-old"
)

const (
	// maxStep is the largest change of a share in one step, and minStep the smallest one
	// that is worth a change.
	maxStep = 0.15
	minStep = 0.02
	// maxAway is the largest sum of the shares while the zone has servers. The rest keeps
	// measuring them.
	maxAway = 0.9
	// retreatFactor lowers a share if requests are served later in the other zone.
	retreatFactor = 0.5
	// settleTime is how long after a change its effect is not known yet: requests lose
	// half their weight in half a second, and hubs relay the sums after about a second.
	settleTime = 2 * time.Second
	// stepsToConfirm is the number of consecutive decisions that must agree before a share
	// rises.
	stepsToConfirm = 2
	// A share goes back while the home has room no sooner than minHold after its last
	// change. Each time it had to rise again within reversalTime, the time doubles up to
	// maxHold and the step halves. After calmTime without that, both are reset.
	minHold      = time.Second
	maxHold      = 16 * time.Second
	reversalTime = 10 * time.Second
	calmTime     = 30 * time.Second
	// roomOccupancy is the fraction of its slots that a zone may use in the mean to count
	// as having room for requests that come back, and fullOccupancy the fraction up to
	// which other zones fill it. Between them shares stay as they are.
	roomOccupancy = 0.7
	fullOccupancy = 0.8
	// headroomFraction is the fraction of a zone's free capacity that all zones together
	// may take in one step.
	headroomFraction = 0.75
)

// zoneView is what a decision knows about one zone.
type zoneView struct {
	zone     identifier.ZoneName
	capacity float64
	// rate is the number of requests per second that arrive at the zone's servers, and
	// time how long they take there. A time of zero is unknown.
	rate float64
	time time.Duration
	// away is the time from here, with the path and the price. Zero is unknown.
	away time.Duration
}

// view is what one decision is based on.
type view struct {
	home   zoneView
	others []zoneView
	// entryRate is the number of requests per second that enter in the home zone.
	entryRate float64
}

// controller is the share of one other zone and its history.
type controller struct {
	share  float64
	reason Reason
	// homeTime and awayTime are those of the last decision.
	homeTime, awayTime time.Duration
	confirmed          int
	changedAt          time.Time
	raisedAt           time.Time
	loweredAt          time.Time
	reversedAt         time.Time
	step               float64
	hold               time.Duration
}

// view collects what is known about a service now.
func (s *Spiller) view(state *serviceState, capacities map[identifier.ZoneName]Capacity, byteCost time.Duration, now time.Time) view {
	v := view{home: state.zoneView(s.zone, capacities, now)}
	ownRate := 0.0
	for _, own := range state.own {
		own.decayTo(now)
		ownRate += own.rate()
	}
	v.entryRate = ownRate * float64(max(1, state.sums[s.zone].Daemons))
	for _, zone := range slices.Sorted(maps.Keys(capacities)) {
		if zone == s.zone {
			continue
		}
		other := state.zoneView(zone, capacities, now)
		direct := time.Duration(0)
		own, ok := state.own[zone]
		if ok {
			direct = own.time(minDirectWeight)
		}
		p, isMeasured := s.paths[zone]
		switch {
		case direct > 0:
			other.away = direct + byteCost
		case other.time > 0 && isMeasured && p.isKnown(now):
			other.away = other.time + p.delay() + byteCost
		}
		v.others = append(v.others, other)
	}
	return v
}

func (state *serviceState) zoneView(zone identifier.ZoneName, capacities map[identifier.ZoneName]Capacity, now time.Time) zoneView {
	v := zoneView{zone: zone, capacity: capacities[zone].effective()}
	known, ok := state.sums[zone]
	if ok && now.Sub(known.asOf) <= maxKnowledgeAge {
		v.rate, v.time = known.ArrivalRate, known.Wait
	}
	return v
}

// decide takes one step and returns the shares that changed.
func (state *serviceState) decide(v view, now time.Time) (changes []Change) {
	old := make(map[identifier.ZoneName]float64)
	for zone, c := range state.controllers {
		old[zone] = c.share
	}
	state.dropUnusable(v)
	switch {
	case v.home.capacity <= 0:
		state.leave(v, now)
	case v.home.time <= 0:
		state.lowerAll(ReasonTooOld, now)
	default:
		state.compare(v, now)
	}
	for _, zone := range slices.Sorted(maps.Keys(state.controllers)) {
		c := state.controllers[zone]
		if c.share != old[zone] {
			changes = append(changes, Change{To: zone, OldShare: old[zone], Share: c.share, Reason: c.reason, HomeTime: c.homeTime, AwayTime: c.awayTime})
		}
		if c.share == 0 && now.Sub(c.changedAt) > calmTime {
			delete(state.controllers, zone)
		}
	}
	return changes
}

func (state *serviceState) controller(zone identifier.ZoneName, now time.Time) *controller {
	c, ok := state.controllers[zone]
	if !ok {
		c = &controller{step: maxStep, hold: minHold, changedAt: now}
		state.controllers[zone] = c
	}
	return c
}

// dropUnusable takes the shares of zones without usable servers back at once.
func (state *serviceState) dropUnusable(v view) {
	for zone, c := range state.controllers {
		isUsable := slices.ContainsFunc(v.others, func(other zoneView) bool { return other.zone == zone && other.capacity > 0 })
		if !isUsable && c.share > 0 {
			c.share, c.reason, c.confirmed = 0, ReasonNoServers, 0
		}
	}
}

// leave spreads all requests of a zone without servers over the other zones, in proportion
// to their capacity and in inverse proportion to the time there. Zones of which nothing is
// known are used only if nothing is known of any.
func (state *serviceState) leave(v view, now time.Time) {
	isAnyKnown := slices.ContainsFunc(v.others, func(other zoneView) bool { return other.capacity > 0 && other.away > 0 })
	weights := make(map[identifier.ZoneName]float64)
	sum := 0.0
	for _, other := range v.others {
		weight := max(0, other.capacity)
		switch {
		case other.away > 0:
			weight /= other.away.Seconds()
		case isAnyKnown:
			weight = 0
		}
		weights[other.zone] = weight
		sum += weight
	}
	if sum <= 0 {
		return
	}
	for _, other := range v.others {
		c := state.controller(other.zone, now)
		target := weights[other.zone] / sum
		c.awayTime, c.homeTime = other.away, 0
		if max(target-c.share, c.share-target) >= minStep {
			c.set(target, ReasonNoHomeServers, now)
		}
	}
}

// lowerAll takes all shares back in a few steps.
func (state *serviceState) lowerAll(reason Reason, now time.Time) {
	for _, c := range state.controllers {
		c.confirmed = 0
		if c.share > 0 {
			c.set(c.share*retreatFactor, reason, now)
		}
	}
}

// compare moves the shares towards the zones where requests are served sooner.
func (state *serviceState) compare(v view, now time.Time) {
	margin := max(minGain, time.Duration(minRelativeGain*float64(v.home.time)))
	var better []zoneView
	for _, other := range v.others {
		gain := v.home.time - other.away
		isBetter := other.away > 0 && other.capacity > 0 && gain > margin
		if isBetter {
			better = append(better, other)
		}
		c, isKnown := state.controllers[other.zone]
		if !isBetter && isKnown {
			c.homeTime, c.awayTime, c.confirmed = v.home.time, other.away, 0
			c.lower(v, other, gain, margin, now)
		}
	}
	if len(better) > 0 {
		state.raise(v, better, now)
	}
}

// lower takes a part of a share back if requests are served later in the other zone, if
// nothing is known of it, or if the home has room for them.
func (c *controller) lower(v view, other zoneView, gain, margin time.Duration, now time.Time) {
	isOverloaded := other.away > 2*v.home.time
	isSettled := now.Sub(c.changedAt) >= settleTime || isOverloaded
	if c.share <= 0 {
		return
	}
	switch {
	case other.away <= 0:
		c.set(c.share*retreatFactor, ReasonTooOld, now)
	case gain < -margin && isSettled:
		c.set(c.share*retreatFactor, ReasonAwaySlower, now)
	case gain <= margin && now.Sub(c.changedAt) >= c.hold:
		back := v.shareWithRoom()
		if back >= min(c.step, c.share) {
			c.set(c.share-max(c.step, back/2), ReasonHomeHasRoom, now)
		}
	}
}

// raise adds steps to the shares of the zones where requests are served sooner, in
// proportion to their free capacity and bounded by a part of it. If they are all full, the
// best one takes a small step, but only if requests take more than twice as long at home.
func (state *serviceState) raise(v view, better []zoneView, now time.Time) {
	best := better[0]
	total, sumFree := 0.0, 0.0
	isConfirmed := true
	for _, to := range better {
		c := state.controller(to.zone, now)
		c.homeTime, c.awayTime = v.home.time, to.away
		c.confirmed++
		isConfirmed = isConfirmed && c.confirmed >= stepsToConfirm
		sumFree += v.freeRate(to)
		if to.away < best.away {
			best = to
		}
	}
	for _, c := range state.controllers {
		total += c.share
	}
	isOverloaded := v.home.time > 2*best.away
	isSettled := now.Sub(state.raisedAt) >= settleTime
	if (!isConfirmed && !isOverloaded) || !isSettled {
		return
	}
	for _, to := range better {
		c := state.controllers[to.zone]
		c.noteReversal(now)
		step := c.step
		if isOverloaded && c.step == maxStep {
			step = max(maxStep, v.excess(to)-total)
		}
		step = min(step, maxAway-total)
		switch {
		case sumFree > 0:
			free := v.freeRate(to)
			step = min(step*free/sumFree, headroomFraction*free/v.senders(to)/v.entryRate)
		case isOverloaded && to.zone == best.zone:
			step = min(step, minStep)
		default:
			step = 0
		}
		if step < minStep {
			continue
		}
		c.set(c.share+step, ReasonHomeSlower, now)
		state.raisedAt = now
	}
}

// shareWithRoom returns the fraction of the requests that the home zone can take back.
func (v view) shareWithRoom() float64 {
	if v.entryRate <= 0 {
		return 1
	}
	return (roomOccupancy*v.home.capacity/v.home.time.Seconds() - v.home.rate) / v.entryRate
}

// freeRate returns how many more requests per second the servers of a zone can take.
func (v view) freeRate(zone zoneView) float64 {
	if zone.time <= 0 {
		return 0
	}
	return max(0, fullOccupancy*zone.capacity/zone.time.Seconds()-zone.rate)
}

// senders returns the number of zones, the home included, that are likely to send requests
// to another one because requests take longer there.
func (v view) senders(to zoneView) float64 {
	senders := 1.0
	for _, other := range v.others {
		if other.zone != to.zone && other.time > to.away+minGain {
			senders++
		}
	}
	return senders
}

// excess returns the fraction of the requests that is too much for the home zone if its
// servers are as fast as those of the other zone.
func (v view) excess(other zoneView) float64 {
	if other.time <= 0 || v.entryRate <= 0 {
		return 0
	}
	return 1 - fullOccupancy*v.home.capacity/other.time.Seconds()/v.entryRate
}

// noteReversal makes the steps smaller and the times between them longer if a share that
// was just lowered is about to rise again, and resets both after a calm time.
func (c *controller) noteReversal(now time.Time) {
	isReversal := c.loweredAt.After(c.raisedAt) && now.Sub(c.loweredAt) < reversalTime
	switch {
	case isReversal:
		c.step = max(c.step/2, minStep)
		c.hold = min(2*c.hold, maxHold)
		c.reversedAt = now
	case now.Sub(c.reversedAt) > calmTime:
		c.step, c.hold = maxStep, minHold
	}
}

// set changes the share. Shares below minStep become 0.
func (c *controller) set(share float64, reason Reason, now time.Time) {
	if share < minStep {
		share = 0
	}
	if share > c.share {
		c.raisedAt = now
	} else {
		c.loweredAt = now
	}
	c.share, c.reason, c.changedAt = share, reason, now
}
