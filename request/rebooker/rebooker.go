// Package rebooker tells callers that are refused for lack of capacity when to return,
// and keeps the capacity of that time for them.
//
// Refused callers are served in the order of their first refusal. One that repeats its
// request before its time is told the same time again and gains nothing. One that
// returns at its time, or a little later, takes the capacity that was kept for it.
// Others get what is left when all of those have been served.
package rebooker

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxBookings bounds the callers for whom capacity is kept. Further ones are told
	// a time, but nothing is kept for them.
	maxBookings = 256
	// minGrace and graceFraction set how long after its time a booking is kept.
	// Callers return up to a third of their remaining time later.
	minGrace      = 500 * time.Millisecond
	graceFraction = 1.0 / 3
	// earlyTolerance is how much before its time a caller may return: a Retry-After
	// time is rounded, and a caller's clock is not exact.
	earlyTolerance = 20 * time.Millisecond
)

// Caller identifies a caller as well as the refusing daemon can tell them apart.
type Caller string

// Amount is a part of the capacity, in the unit of the resource: tokens or requests.
type Amount int64

// Rebooker keeps the bookings for one resource. It is safe for concurrent use.
type Rebooker struct {
	// FreeAt returns the time at which an amount is free if nothing else is taken
	// before. It is not after now if the amount is free now, and not earlier for a
	// larger amount.
	FreeAt func(now time.Time, amount Amount) time.Time
	// SharesCallers states that several callers may have the same name, because the
	// refusing daemon cannot tell them apart. Those that come before the time that the
	// first one was told are told later ones, and nothing is kept for them.
	SharesCallers bool
	// MaxKept returns the most that is kept for all refused callers together, because
	// some of them never return. Further ones are told a time in the same order, but
	// nothing is kept for them. If it is nil, it has no bound.
	MaxKept func() Amount

	clock clockwork.Clock

	mu sync.Mutex
	// bookings is in the order of the first refusals.
	bookings []booking
}

// booking is the capacity that is kept for one caller.
type booking struct {
	caller Caller
	amount Amount
	at     time.Time
	until  time.Time
	// isKept is false if the booking only keeps the place in the order.
	isKept bool
	// repeats counts the requests before the time.
	repeats int
}

// New returns a rebooker without bookings. The caller sets FreeAt.
func New(clock clockwork.Clock) *Rebooker {
	return &Rebooker{clock: clock}
}

// Take reports whether a caller may take an amount now. It may if its time has come and
// the amount is free, or if the amount is free in addition to what all others were
// promised. Its own booking ends then.
func (r *Rebooker) Take(caller Caller, amount Amount) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.dropExpired(now)
	if r.FreeAt(now, amount).After(now) {
		return false
	}
	own := r.find(caller, amount)
	isDue := own >= 0 && !now.Before(r.bookings[own].at.Add(-earlyTolerance))
	if !isDue && !r.fitsBeforeOthers(now, amount) {
		return false
	}
	if own >= 0 {
		r.bookings = slices.Delete(r.bookings, own, own+1)
	}
	return true
}

// fitsBeforeOthers reports whether all bookings can still be served at their times if an
// amount is taken now.
func (r *Rebooker) fitsBeforeOthers(now time.Time, amount Amount) bool {
	for _, b := range r.bookings {
		if !b.isKept {
			continue
		}
		amount += b.amount
		if r.FreeAt(now, amount).After(b.at) {
			return false
		}
	}
	return true
}

// Refuse returns the time until a refused caller can be served, and keeps the amount
// for it. The time is at least a millisecond.
func (r *Rebooker) Refuse(caller Caller, amount Amount) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.dropExpired(now)
	own := r.find(caller, amount)
	if own >= 0 && r.bookings[own].at.After(now) {
		return r.refuseEarly(now, own)
	}
	before := r.bookings
	if own >= 0 {
		// It came at its time and keeps its place.
		before = r.bookings[:own]
	}
	sum := amount
	for _, b := range before {
		sum += b.amount
	}
	wait := max(r.FreeAt(now, sum).Sub(now), time.Millisecond)
	grace := max(minGrace, time.Duration(graceFraction*float64(wait)))
	renewed := booking{caller: caller, amount: amount, at: now.Add(wait), until: now.Add(wait + grace)}
	switch {
	case own >= 0:
		renewed.isKept = r.bookings[own].isKept
		r.bookings[own] = renewed
	case len(r.bookings) < maxBookings:
		renewed.isKept = r.canKeep(amount)
		r.bookings = append(r.bookings, renewed)
	}
	return wait
}

// canKeep reports whether an amount may be kept in addition to the others.
func (r *Rebooker) canKeep(amount Amount) bool {
	if r.MaxKept == nil {
		return true
	}
	for _, b := range r.bookings {
		if b.isKept {
			amount += b.amount
		}
	}
	return amount <= r.MaxKept()
}

// refuseEarly returns the time that a caller with a booking is told before its time.
func (r *Rebooker) refuseEarly(now time.Time, own int) time.Duration {
	b := &r.bookings[own]
	if !r.SharesCallers {
		return b.at.Sub(now)
	}
	b.repeats++
	sum := Amount(b.repeats) * b.amount
	for _, other := range r.bookings {
		sum += other.amount
	}
	return max(r.FreeAt(now, sum).Sub(now), time.Millisecond)
}

// Booked returns the number of bookings.
func (r *Rebooker) Booked() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.bookings)
}

// find returns the index of a caller's booking, or -1.
func (r *Rebooker) find(caller Caller, amount Amount) int {
	return slices.IndexFunc(r.bookings, func(b booking) bool { return b.caller == caller && b.amount == amount })
}

func (r *Rebooker) dropExpired(now time.Time) {
	r.bookings = slices.DeleteFunc(r.bookings, func(b booking) bool { return now.After(b.until) })
}
