// Package budgeter implements a retry budget, which limits the retries of each
// service's requests. In each window, all daemons together may send as many retries as
// a fraction of the service's requests, plus a fixed number.
package budgeter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	// safetyFactor is the fraction of the budget that is used. The rest covers daemons
	// that join or leave within a window.
	safetyFactor = 0.8
	// bucketsPerWindow is the number of buckets into which a window is divided.
	// Requests and retries are counted per bucket.
	bucketsPerWindow = 20
)

// Bounds is the retry budget of each service.
type Bounds struct {
	// Ratio is the number of retries allowed per request in a window.
	Ratio float64
	// Extra is the number of retries that all daemons together may send in each window
	// in addition to those that Ratio allows.
	Extra float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budgeter counts the requests and the retries of each service at this daemon. It
// is safe for concurrent use.
type Budgeter struct {
	// DaemonCount returns the number of daemons that share Bounds.Extra.
	DaemonCount func() int

	bounds Bounds
	clock  clockwork.Clock
	// startedAt is the origin of the numbers of buckets. Time since then is monotonic,
	// so a step of the wall clock moves no window.
	startedAt time.Time

	mu              sync.Mutex
	countsByService map[identifier.ServiceName]*windowCounts
}

// windowCounts holds the counts of a service in the last window, as a ring of buckets.
// Buckets are numbered from the budgeter's start on; bucket n is at index n modulo
// bucketsPerWindow.
type windowCounts struct {
	requests [bucketsPerWindow]int
	retries  [bucketsPerWindow]int
	// newestBucket is the number of the newest bucket in the ring.
	newestBucket int64
}

// New returns a budgeter with empty counts. DaemonCount returns 1 until it is
// replaced.
func New(clock clockwork.Clock, bounds Bounds) *Budgeter {
	return &Budgeter{
		DaemonCount:     func() int { return 1 },
		bounds:          bounds,
		startedAt:       clock.Now(),
		clock:           clock,
		countsByService: make(map[identifier.ServiceName]*windowCounts),
	}
}

// SetBounds replaces the bounds. If the length of the window changes, all counts are
// reset.
func (b *Budgeter) SetBounds(bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bounds.Window != b.bounds.Window {
		clear(b.countsByService)
	}
	b.bounds = bounds
}

// CountRequest counts a request that a caller sent to a service.
func (b *Budgeter) CountRequest(service identifier.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, index := b.advanceWindow(service)
	c.requests[index]++
}

// TakeRetry takes one retry from a service's budget. It returns false and takes nothing
// if the budget is used up.
func (b *Budgeter) TakeRetry(service identifier.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, index := b.advanceWindow(service)
	requests, retries := 0, 0
	for i := range bucketsPerWindow {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	extraShare := b.bounds.Extra / float64(max(1, b.DaemonCount()))
	allowed := safetyFactor * (b.bounds.Ratio*float64(requests) + extraShare)
	if float64(retries+1) > allowed {
		return false
	}
	c.retries[index]++
	return true
}

// advanceWindow moves a service's window to the current time and clears the buckets that
// it reuses. It returns the service's counts and the index of the current bucket.
func (b *Budgeter) advanceWindow(service identifier.ServiceName) (c *windowCounts, index int) {
	c, ok := b.countsByService[service]
	if !ok {
		c = &windowCounts{}
		b.countsByService[service] = c
	}
	current := int64(b.clock.Since(b.startedAt) / max(1, b.bounds.Window/bucketsPerWindow))
	for n := max(c.newestBucket+1, current-bucketsPerWindow+1); n <= current; n++ {
		c.requests[n%bucketsPerWindow] = 0
		c.retries[n%bucketsPerWindow] = 0
	}
	c.newestBucket = max(c.newestBucket, current)
	return c, int(c.newestBucket % bucketsPerWindow)
}
