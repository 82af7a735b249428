package gateway

import (
	"math"
	"sync"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/configurer"
	"sassafraspass.dev/sassafraspass/process/fleet"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/request/admitter"
	"sassafraspass.dev/sassafraspass/request/broker"
	"sassafraspass.dev/sassafraspass/request/requester"
)

const (
	// contentionMemory is how long after a wait or a rejection a service counts as
	// contended. Hubs tell each other every 400 ms, and the other daemons every 200 ms.
	contentionMemory = 1500 * time.Millisecond
	// slotCountInterval is the time between two counts of a service's slots. Each request
	// needs the number, and a count reads the whole list of upstreams.
	slotCountInterval = 500 * time.Millisecond
	// maxContentions bounds the services in a heartbeat.
	maxContentions = 64
	// ownShare is the number of requests per slot that all daemons together may run
	// while none admits for the others. Daemons are loaded unevenly, and servers queue a
	// few requests per slot.
	ownShare = 2.0
	// minOwnLimit lets a daemon use a second server while one does not respond.
	minOwnLimit = 2
	// One daemon admits for all from minAdmittedServers servers on, until there are fewer
	// than minKeptServers. With three servers the choices of single daemons are seldom
	// far off, and the common queue refuses requests that the servers' own queues would
	// have served late (a deployment of 64 VMs: 0.236 refused in place of 0.122).
	minAdmittedServers = 6
	minKeptServers     = 4
)

// wireAdmission builds the components that choose the servers of plain services.
func (g *Gateway) wireAdmission(deps fleet.Dependencies) {
	log := logger.For(deps.Log, logger.Upstream)
	g.admitter = admitter.New(deps.Clock)
	g.admitter.Servers = func(service identifier.ServiceName) []registrar.Entry { return g.proxier.UsableServers(service) }
	g.admitter.Log = log
	g.admitter.OnContention = func(service identifier.ServiceName) {
		isNew := g.contentions.adopt([]heartbeater.Contention{{Service: service}}, deps.Clock.Now())
		if isNew && g.isHub() {
			log.Info("Requests of a service have to wait, or are rejected.", "service", service)
			g.Heartbeater.SendAllNow()
		}
	}
	g.requester = requester.New()
	g.requester.Self = g.Identity.Self.Incarnation
	g.requester.Zone = g.Identity.Zone
	g.requester.IsFleetWide = g.isAdmittedFleetWide
	g.requester.IsContended = func(service identifier.ServiceName) bool {
		return g.contentions.isContended(service, deps.Clock.Now())
	}
	g.requester.Candidates = g.admittingCandidates
	g.requester.Call = g.PeerClient.Admit
	g.requester.Local = g.admitter.Admit
	g.requester.OwnLimit = g.ownRequestLimit
	g.requester.Clock = deps.Clock
	g.requester.Log = log
	g.requester.Meter = deps.Meter
}

// slots returns the sum of the slots of a service's servers.
func (g *Gateway) slots(service identifier.ServiceName) int { return g.countServers(service).slots }

// countServers returns the servers of a service and their slots, as of the last
// slotCountInterval.
func (g *Gateway) countServers(service identifier.ServiceName) serverCount {
	now := g.Clock.Now()
	cached, ok := g.serverCounts.Load(service)
	if ok && now.Sub(cached.(serverCount).countedAt) < slotCountInterval {
		return cached.(serverCount)
	}
	count := serverCount{countedAt: now}
	for _, entry := range g.registrar.Ready(service) {
		count.slots += entry.Slots
		count.servers++
	}
	hadMany := ok && cached.(serverCount).isMany
	count.isMany = count.servers >= minAdmittedServers || (hadMany && count.servers >= minKeptServers)
	g.serverCounts.Store(service, count)
	return count
}

// serverCount is the number of servers and slots of a service at a time.
type serverCount struct {
	slots   int
	servers int
	// isMany says that a choice by one daemon for all pays.
	isMany    bool
	countedAt time.Time
}

// isAdmittedFleetWide reports whether one daemon admits the requests of a service for
// all daemons under contention.
func (g *Gateway) isAdmittedFleetWide(service identifier.ServiceName) bool {
	switch g.currentSettings().Gateway.PlainAdmission {
	case configurer.AdmissionFleet:
		return true
	case configurer.AdmissionLocal:
		return false
	}
	count := g.countServers(service)
	return count.isMany && g.daemonCount() > count.slots
}

// ownRequestLimit returns how many requests of a service this daemon may have running
// while it chooses their servers although there is contention.
func (g *Gateway) ownRequestLimit(service identifier.ServiceName) int {
	share := ownShare * float64(g.slots(service)) / float64(g.daemonCount())
	return max(minOwnLimit, int(math.Ceil(share)))
}

// admittingCandidates returns the daemons that may admit a service's requests, by rank.
// They are those that would place them, but a daemon that is no hub admits nothing, as
// it does not know the load of the others.
func (g *Gateway) admittingCandidates(service identifier.ServiceName) []broker.Candidate {
	candidates := g.placementCandidates(service)
	if g.isHub() && g.acceptsRequests() {
		return candidates
	}
	last := len(candidates) - 1
	if candidates[last].Address == "" {
		return candidates[:last]
	}
	return candidates
}

// contentionTracker holds the services whose requests had to wait lately at the daemon
// that admits them.
type contentionTracker struct {
	mu sync.Mutex
	// newest holds the time of the last wait or rejection.
	newest map[identifier.ServiceName]time.Time
}

// adopt records contentions and reports whether any of the services had none before.
func (t *contentionTracker) adopt(contentions []heartbeater.Contention, now time.Time) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newest == nil {
		t.newest = make(map[identifier.ServiceName]time.Time)
	}
	for _, contention := range contentions {
		at := now.Add(-max(0, contention.Age))
		known := t.newest[contention.Service]
		isNew = isNew || now.Sub(known) >= contentionMemory
		if at.After(known) && now.Sub(at) < contentionMemory {
			t.newest[contention.Service] = at
		}
	}
	return isNew
}

func (t *contentionTracker) isContended(service identifier.ServiceName, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.newest[service]) < contentionMemory
}

// recent returns up to maxContentions of the recorded contentions and forgets old ones.
func (t *contentionTracker) recent(now time.Time) (contentions []heartbeater.Contention) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, at := range t.newest {
		if now.Sub(at) >= contentionMemory {
			delete(t.newest, service)
		} else if len(contentions) < maxContentions {
			contentions = append(contentions, heartbeater.Contention{Service: service, Age: now.Sub(at)})
		}
	}
	return contentions
}

// reportContentions returns the contentions that this daemon tells others. Only hubs do,
// as the other daemons know of them from hubs.
func (g *Gateway) reportContentions() []heartbeater.Contention {
	if !g.isHub() {
		return nil
	}
	return g.contentions.recent(g.Clock.Now())
}
