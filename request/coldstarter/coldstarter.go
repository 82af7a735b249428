// Package coldstarter bounds the rate of requests to upstreams that have just started, or
// whose zone was evacuated. Such an upstream is cold: it has empty caches and is slow. The
// bound holds over all daemons together, whether they are in contact or not:
//
//   - The daemon that holds the lease on a service's cold upstreams grants up to the
//     service's rate of a second to each. At most one daemon holds it.
//   - The rest of the bound is divided among all daemons that the fleet may have. Each
//     uses its share without asking.
//
// A service without a placing daemon has no lease, and the whole bound is divided.
package coldstarter

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
)

const (
	// window is the time in which requests are counted. It is longer than the second for
	// which the bound holds, as requests leave a little after they were counted.
	window = 1250 * time.Millisecond
	// vmRetention is how long a VM counts as part of the fleet after it was last known.
	vmRetention = time.Minute
	// vmRefreshInterval is how often the known VMs are read.
	vmRefreshInterval = 250 * time.Millisecond
	// MaxContactAge is the time without news of the fleet after which a daemon stops
	// using its share. joinDelay is how long a daemon must have been in contact before it
	// uses its share. It is longer, so that all daemons that use theirs have learned of
	// one that joins or comes back by then.
	MaxContactAge = 4 * time.Second
	joinDelay     = 6 * time.Second
	// maxCold limits what an upstream can say of itself.
	maxCold = 10 * time.Minute
	// minWait is the shortest wait that a refused caller is told.
	minWait = 100 * time.Millisecond
)

// Bound is the deployment's tolerance over a service's rate. An Overshoot of zero switches
// all bounds off.
type Bound struct {
	Overshoot float64
	Slack     float64
}

// Service is what the configuration says about the cold upstreams of a service.
type Service struct {
	// Period is how long an upstream is cold after its start.
	Period time.Duration
	// RatePerSecond is the rate of requests to one cold upstream; zero sets no limit.
	RatePerSecond float64
	// HasPlacer says that one daemon places the service's requests.
	HasPlacer bool
}

// Coldstarter counts the requests to cold upstreams. It is safe for concurrent use. The
// caller sets its exported fields first, which are called with its lock held, but for OnCold.
type Coldstarter struct {
	// OnCold is called without locks when the response of an upstream says that it is cold.
	OnCold func()
	Self   identifier.VMName
	Bound  func() Bound
	Find   func(service identifier.ServiceName) Service
	// VMs returns the VMs of the daemons that are known now, listed or heard.
	VMs func() []identifier.VMName
	// ContactAge returns the time since this daemon had news of the fleet, negative for
	// never.
	ContactAge func() time.Duration
	// ListedSince returns when this daemon first had the complete list of upstreams. It
	// is zero before that.
	ListedSince func() time.Time

	clock clockwork.Clock

	mu sync.Mutex
	// leases maps the services to the end of this daemon's lease.
	leases map[identifier.ServiceName]time.Time
	// returns maps the zones whose evacuation ended to the time of that.
	returns   map[identifier.ZoneName]time.Time
	upstreams map[identifier.UpstreamName]*upstreamState
	// knownVMs maps the VMs that the fleet may have to when they were last known.
	knownVMs    map[identifier.VMName]time.Time
	refreshedAt time.Time
	// contactAt is when this daemon last had news of the fleet, and contactSince since when
	// it has had news without a gap of more than MaxContactAge. Both are zero for never.
	contactAt    time.Time
	contactSince time.Time
}

// upstreamState is what is known of one cold upstream.
type upstreamState struct {
	startedAt time.Time
	// toldUntil is the end of the cold time that a response told.
	toldUntil time.Time
	// granted and own hold the times of the requests of the last window.
	granted []time.Time
	own     []time.Time
}

// New returns a coldstarter that knows no upstreams.
func New(clock clockwork.Clock) *Coldstarter {
	return &Coldstarter{
		OnCold:      func() {},
		Bound:       func() Bound { return Bound{} },
		Find:        func(identifier.ServiceName) Service { return Service{} },
		VMs:         func() []identifier.VMName { return nil },
		ContactAge:  func() time.Duration { return 0 },
		ListedSince: func() time.Time { return time.Time{} },
		clock:       clock,
		leases:      make(map[identifier.ServiceName]time.Time),
		returns:     make(map[identifier.ZoneName]time.Time),
		upstreams:   make(map[identifier.UpstreamName]*upstreamState),
		knownVMs:    make(map[identifier.VMName]time.Time),
	}
}

// SetLease records that this daemon alone may grant requests to a service's cold upstreams
// until a time.
func (c *Coldstarter) SetLease(service identifier.ServiceName, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leases[service] = until
}

// RecordReturn records that the evacuation of a zone ended. Its upstreams are cold then.
func (c *Coldstarter) RecordReturn(zone identifier.ZoneName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.returns[zone] = c.clock.Now()
}

// Observe records for how long an upstream is cold, as one of its responses says.
func (c *Coldstarter) Observe(upstream registrar.Entry, left time.Duration) {
	c.mu.Lock()
	v := c.viewOf(upstream.Service)
	wasCold := c.left(upstream, v) > 0
	c.state(upstream).toldUntil = v.now.Add(min(max(left, 0), maxCold))
	isCold := c.left(upstream, v) > 0
	c.mu.Unlock()
	if isCold && !wasCold {
		c.OnCold()
	}
}

// state returns the state of an upstream's process. The caller holds the lock.
func (c *Coldstarter) state(upstream registrar.Entry) *upstreamState {
	s, ok := c.upstreams[upstream.Name]
	if !ok || upstream.StartedAt.After(s.startedAt) {
		s = &upstreamState{startedAt: upstream.StartedAt}
		c.upstreams[upstream.Name] = s
	}
	return s
}

// view is what decisions on the upstreams of a service depend on at a time.
type view struct {
	now         time.Time
	bound       Bound
	service     Service
	listedSince time.Time
}

func (c *Coldstarter) viewOf(service identifier.ServiceName) view {
	return view{now: c.clock.Now(), bound: c.Bound(), service: c.Find(service), listedSince: c.ListedSince()}
}

// isBounded reports whether the service's cold upstreams have a rate.
func (v view) isBounded() bool {
	return v.bound.Overshoot > 0 && v.service.RatePerSecond > 0
}

// Left returns how long an upstream is still cold, zero if it is not.
func (c *Coldstarter) Left(upstream registrar.Entry) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.left(upstream, c.viewOf(upstream.Service))
}

// IsCold reports whether an upstream is cold.
func (c *Coldstarter) IsCold(upstream registrar.Entry) bool { return c.Left(upstream) > 0 }

func (c *Coldstarter) left(upstream registrar.Entry, v view) time.Duration {
	until := upstream.ColdUntil
	period := v.service.Period
	if !v.listedSince.IsZero() && upstream.StartedAt.After(v.listedSince) && upstream.StartedAt.Sub(v.now) <= period {
		until = later(until, upstream.StartedAt.Add(period))
	}
	if len(c.returns) > 0 {
		returnedAt, hasReturned := c.returns[upstream.Zone]
		if hasReturned {
			until = later(until, returnedAt.Add(period))
		}
	}
	s, ok := c.upstreams[upstream.Name]
	if ok && !upstream.StartedAt.After(s.startedAt) {
		until = later(until, s.toldUntil)
	}
	return max(0, until.Sub(v.now))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// HasRoom reports whether this daemon may send an upstream a request on its own now.
func (c *Coldstarter) HasRoom(upstream registrar.Entry) bool {
	return c.use(upstream, false, false)
}

// Take counts a request that this daemon sends on its own. It returns false if it must not
// be sent.
func (c *Coldstarter) Take(upstream registrar.Entry) bool {
	return c.use(upstream, false, true)
}

// HasGrant reports whether this daemon may grant another request to an upstream now.
func (c *Coldstarter) HasGrant(upstream registrar.Entry) bool {
	return c.use(upstream, true, false)
}

// TakeGrant counts a request that this daemon grants to an upstream. It returns false if it
// must not.
func (c *Coldstarter) TakeGrant(upstream registrar.Entry) bool {
	return c.use(upstream, true, true)
}

// use reports whether a request fits the bound, and counts it if it is taken. A granted one
// comes from the lease or else from this daemon's share.
func (c *Coldstarter) use(upstream registrar.Entry, isGrant, isTaken bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.viewOf(upstream.Service)
	if !v.isBounded() || c.left(upstream, v) <= 0 {
		return true
	}
	s := c.state(upstream)
	isLeased := isGrant && v.service.HasPlacer && v.now.Before(c.leases[upstream.Service])
	if isLeased && fits(&s.granted, limitOf(v.service.RatePerSecond), v.now) {
		if isTaken {
			s.granted = append(s.granted, v.now)
		}
		return true
	}
	if !c.hasOwnRoom(upstream, v) {
		return false
	}
	if isTaken {
		s.own = append(s.own, v.now)
	}
	return true
}

// hasOwnRoom reports whether another request to a cold upstream fits this daemon's share.
func (c *Coldstarter) hasOwnRoom(upstream registrar.Entry, v view) bool {
	return fits(&c.state(upstream).own, c.share(upstream.Name, sharedRate(v.bound, v.service), v.now), v.now)
}

// sharedRate returns the part of the bound that the daemons divide.
func sharedRate(bound Bound, service Service) float64 {
	whole := service.RatePerSecond*max(1, bound.Overshoot) + max(0, bound.Slack)
	if service.HasPlacer {
		return whole - service.RatePerSecond
	}
	return whole
}

// limit is a number of requests within a period.
type limit struct {
	count  int
	period time.Duration
}

// limitOf returns the limit for a rate of requests a second. A rate below 1 is one request
// in a longer period.
func limitOf(rate float64) limit {
	if rate >= 1 {
		return limit{count: int(min(rate, 1e6)), period: window}
	}
	if rate <= 0 {
		return limit{}
	}
	return limit{count: 1, period: time.Duration(min(float64(window)/rate, float64(maxCold)))}
}

// fits drops the times before the limit's period and reports whether another request fits.
func fits(times *[]time.Time, l limit, now time.Time) bool {
	*times = slices.DeleteFunc(*times, func(at time.Time) bool { return now.Sub(at) >= l.period })
	return len(*times) < l.count
}

// share returns this daemon's limit for an upstream. The whole requests of the rate are dealt
// to the VMs in an order that is the same at all daemons and differs by upstream, so that the
// shares sum to the rate in every second. Shares of a fraction of a request would not: the
// daemons could use them in the same second. The caller holds the lock.
func (c *Coldstarter) share(upstream identifier.UpstreamName, rate float64, now time.Time) limit {
	c.refresh(now)
	isInContact := !c.contactAt.IsZero() && now.Sub(c.contactAt) <= MaxContactAge
	if !isInContact || now.Sub(c.contactSince) < joinDelay {
		return limit{}
	}
	whole := limitOf(rate)
	count := len(c.knownVMs)
	l := limit{count: whole.count / count, period: whole.period}
	if c.rank(upstream) < whole.count%count {
		l.count++
	}
	return l
}

// Refresh records the VMs of the fleet and when this daemon had news of them. It must be
// called often, also while no upstream is cold.
func (c *Coldstarter) Refresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh(c.clock.Now())
}

// refresh adds the VMs that are known now. It forgets those that were last known vmRetention
// ago.
func (c *Coldstarter) refresh(now time.Time) {
	contactAge := c.ContactAge()
	if contactAge >= 0 {
		contactAt := now.Add(-contactAge)
		if c.contactAt.IsZero() || contactAt.Sub(c.contactAt) > MaxContactAge {
			c.contactSince = now
		}
		c.contactAt = later(c.contactAt, contactAt)
	}
	if !c.refreshedAt.IsZero() && now.Sub(c.refreshedAt) < vmRefreshInterval {
		return
	}
	c.refreshedAt = now
	c.knownVMs[c.Self] = now
	for _, vm := range c.VMs() {
		c.knownVMs[vm] = now
	}
	maps.DeleteFunc(c.knownVMs, func(_ identifier.VMName, at time.Time) bool { return now.Sub(at) > vmRetention })
}

// rank returns how many VMs come before this one in the order of an upstream.
func (c *Coldstarter) rank(upstream identifier.UpstreamName) (rank int) {
	own := rendezvousHash(upstream, c.Self)
	for vm := range c.knownVMs {
		hash := rendezvousHash(upstream, vm)
		if hash < own || (hash == own && vm < c.Self) {
			rank++
		}
	}
	return rank
}

func rendezvousHash(upstream identifier.UpstreamName, vm identifier.VMName) uint64 {
	return xxhash.Sum64String(string(upstream) + "/" + string(vm))
}

// Usable returns the upstreams of a service to which this daemon may send a request on its
// own now, with the end of their cold times as this daemon knows it. If none is usable, wait
// is the time until one may be.
func (c *Coldstarter) Usable(service identifier.ServiceName, upstreams []registrar.Entry) (usable []registrar.Entry, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.viewOf(service)
	for _, upstream := range upstreams {
		left := c.left(upstream, v)
		switch {
		case left <= 0:
			usable = append(usable, upstream)
		case !v.isBounded() || c.hasOwnRoom(upstream, v):
			upstream.ColdUntil = v.now.Add(left)
			usable = append(usable, upstream)
		default:
			left = max(minWait, min(window, left))
			if wait == 0 || left < wait {
				wait = left
			}
		}
	}
	return usable, wait
}

// Retain forgets all upstreams but the listed ones.
func (c *Coldstarter) Retain(listed []registrar.Entry) {
	names := make(map[identifier.UpstreamName]bool, len(listed))
	for _, entry := range listed {
		names[entry.Name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	maps.DeleteFunc(c.upstreams, func(name identifier.UpstreamName, _ *upstreamState) bool { return !names[name] })
	maps.DeleteFunc(c.returns, func(_ identifier.ZoneName, at time.Time) bool { return now.Sub(at) > maxCold })
}

// Status is a cold upstream, as /v1/status shows it.
type Status struct {
	Upstream identifier.UpstreamName `json:"upstream"`
	LeftMs   int64                   `json:"left-ms"`
}

// Statuses returns the cold ones of the listed upstreams, sorted by name.
func (c *Coldstarter) Statuses(listed []registrar.Entry) (statuses []Status) {
	for _, entry := range listed {
		left := c.Left(entry)
		if left > 0 {
			statuses = append(statuses, Status{Upstream: entry.Name, LeftMs: left.Milliseconds()})
		}
	}
	slices.SortFunc(statuses, func(a, b Status) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return statuses
}
