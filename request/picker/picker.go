// Package picker chooses the server of a plain service that a call is sent to.
package picker

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// ejectionTime is how long a server that failed is tried only after all others.
const ejectionTime = 2 * time.Second

// Picker tracks the running calls and the last failure of each server of the
// plain services. It is safe for concurrent use.
type Picker struct {
	clock clockwork.Clock
	zone  identifier.ZoneName

	mu           sync.Mutex
	running      map[identifier.UpstreamName]int
	ejectedUntil map[identifier.UpstreamName]time.Time
	leavingVMs   []identifier.VMName
}

// New returns a picker for a daemon in a zone.
func New(clock clockwork.Clock, zone identifier.ZoneName) *Picker {
	return &Picker{
		clock:        clock,
		zone:         zone,
		running:      make(map[identifier.UpstreamName]int),
		ejectedUntil: make(map[identifier.UpstreamName]time.Time),
	}
}

// SetDrainingVMs replaces the list of VMs that are leaving, as reported by the
// platform. Their servers get no new calls.
func (p *Picker) SetDrainingVMs(vms []identifier.VMName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leavingVMs = vms
}

// Order returns the servers that may get a call, best first, without those on
// leaving VMs. Servers that did not fail recently come first, then the ones
// with the fewest running calls, then those in this daemon's zone.
func (p *Picker) Order(upstreams []parser.Upstream) []parser.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var usable []parser.Upstream
	for _, upstream := range upstreams {
		if !slices.Contains(p.leavingVMs, upstream.VM) {
			usable = append(usable, upstream)
		}
	}
	slices.SortStableFunc(usable, func(a, b parser.Upstream) int {
		return p.cost(a, now) - p.cost(b, now)
	})
	return usable
}

// cost returns the cost of sending a call to a server; lower is better.
func (p *Picker) cost(upstream parser.Upstream, now time.Time) int {
	const (
		ejectedCost   = 1 << 20
		runningCost   = 2
		otherZoneCost = 1
	)
	cost := p.running[upstream.Name] * runningCost
	if upstream.Zone != p.zone {
		cost += otherZoneCost
	}
	if now.Before(p.ejectedUntil[upstream.Name]) {
		cost += ejectedCost
	}
	return cost
}

// Begin counts a call as running at a server until the returned function is
// called, which must happen exactly once.
func (p *Picker) Begin(name identifier.UpstreamName) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[name]++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.running[name]--
	}
}

// MarkFailed records that a call to a server failed. Until ejectionTime has passed,
// the server comes last in Order.
func (p *Picker) MarkFailed(name identifier.UpstreamName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ejectedUntil[name] = p.clock.Now().Add(ejectionTime)
}
