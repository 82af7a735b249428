package admitter

import (
	"math"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/request/ejector"
)

const (
	// excessFactor, times the square root of a server's slots, is the number of requests
	// that it gets beyond its slots. The expected number of running requests has an error
	// of about the square root, and requests are under way for a part of their time.
	excessFactor = 1.5
	// initialTime is the assumed service time until the first requests have ended.
	initialTime = 60 * time.Millisecond
	// A server's service time is a mean over serverHalfLife, short enough for a server
	// that is slow for half a second. With few samples, it is close to the mean of the
	// service, which counts as priorWeight samples.
	serverHalfLife  = 250 * time.Millisecond
	serviceHalfLife = 10 * time.Second
	priorWeight     = 3
	// Reported durations are cut to these bounds.
	minTime     = time.Millisecond
	maxReported = time.Minute
	// rejectionFactor lowers the assumed slots of a server that rejected a request, but
	// only once per rejectionInterval, in which one overload rejects several requests.
	// They rise again by recoveryStep of all slots per recoveryInterval.
	rejectionFactor   = 0.7
	rejectionInterval = 50 * time.Millisecond
	minLimitFactor    = 0.2
	recoveryStep      = 0.05
	recoveryInterval  = 100 * time.Millisecond
	// grantLifetime is how long an admitted request is remembered without any message
	// of its caller, and minOccupancy the probability of running below which it is
	// forgotten.
	grantLifetime = 10 * time.Second
	minOccupancy  = 0.01
	// fairnessHalfLife is the time in which admissions are forgotten when the next
	// workspace is chosen.
	fairnessHalfLife = time.Second
)

// key identifies a request in the fleet.
type key struct {
	caller identifier.Incarnation
	number int64
}

// grant is a request that may be running at a server.
type grant struct {
	server    *server
	startedAt time.Time
	// stretch is the factor by which requests that are queued before it in the server
	// lengthen its time.
	stretch float64
	// knownAt is when the caller last said that the request runs, or was given it.
	knownAt time.Time
	end     func(ejector.Outcome)
}

// server is the state of one server.
type server struct {
	entry registrar.Entry
	// occupancy is the expected number of running requests, as of the last update.
	occupancy float64
	took      average
	// limitFactor scales the assumed slots after rejections; limitChangedAt is when it
	// was last lowered or raised.
	limitFactor    float64
	limitChangedAt time.Time
	// isListed is set while the server may be used; listedAt is when it last could be.
	isListed bool
	listedAt time.Time
}

// waitingItem is a request that waits for a server.
type waitingItem struct {
	key
	Item
	zone identifier.ZoneName
	// The times are those of the item, as of its arrival.
	arrivedAt   time.Time
	objectiveAt time.Time
	deadlineAt  time.Time
}

// caller is a daemon that asks for servers.
type caller struct {
	heardAt time.Time
	// decisions are those that have not been returned yet.
	decisions []Decision
}

// Pool decides for one service which request is sent to which server, and when. It is
// not safe for concurrent use.
type Pool struct {
	// ZoneCost is the cost of sending a request to a server in another zone, as a time.
	ZoneCost func(from, to identifier.ZoneName) time.Duration

	ejector *ejector.Ejector
	servers map[identifier.UpstreamName]*server
	entries []registrar.Entry
	grants  map[key]*grant
	waiting []*waitingItem
	callers map[identifier.Incarnation]*caller
	took    average
	// usage counts the recent admissions by workspace.
	usage     map[identifier.WorkspaceName]float64
	usageAt   time.Time
	admitted  int
	checkedAt time.Time
	// nextReturn is when the next refused caller should come back.
	nextReturn time.Time
	// contendedAt is when a request last had to wait or was rejected.
	contendedAt time.Time
	changes     []LimitChange
}

// LimitChange says that the assumed capacity of a server was lowered.
type LimitChange struct {
	Server identifier.UpstreamName
	Limit  int
	Slots  int
}

// NewPool returns a pool without servers. The ejector records the outcomes of all
// callers' requests.
func NewPool(e *ejector.Ejector) *Pool {
	return &Pool{
		ZoneCost: DefaultZoneCost,
		ejector:  e,
		servers:  make(map[identifier.UpstreamName]*server),
		grants:   make(map[key]*grant),
		callers:  make(map[identifier.Incarnation]*caller),
		took:     average{halfLife: serviceHalfLife},
		usage:    make(map[identifier.WorkspaceName]float64),
	}
}

// SetServers sets the servers that may be used now.
func (p *Pool) SetServers(entries []registrar.Entry, now time.Time) {
	p.entries = entries
	for _, s := range p.servers {
		s.isListed = false
	}
	for _, entry := range entries {
		s, ok := p.servers[entry.Name]
		if !ok || entry.StartedAt.After(s.entry.StartedAt) {
			s = &server{took: average{halfLife: serverHalfLife}, limitFactor: 1, limitChangedAt: now}
			p.servers[entry.Name] = s
		}
		s.entry = entry
		s.isListed, s.listedAt = true, now
	}
}

// Handle applies a caller's message, which names all of the caller's requests that wait
// or run. It replaces what its earlier messages said of them.
func (p *Pool) Handle(call Call, now time.Time) {
	c, ok := p.callers[call.Caller]
	if !ok {
		c = &caller{}
		p.callers[call.Caller] = c
	}
	c.heardAt = now
	for _, report := range call.Reports {
		p.applyReport(call.Caller, report, now)
	}
	for _, number := range call.Cancelled {
		p.endGrant(key{call.Caller, number}, ejector.Abandoned)
	}
	p.endUnnamed(call, c, now)
	p.replaceItems(call, c, now)
}

// endUnnamed ends the grants of a caller that its call does not name: their requests were
// never sent, or a report of their end was lost.
func (p *Pool) endUnnamed(call Call, c *caller, now time.Time) {
	isNamed := make(map[int64]bool, len(call.Items)+len(call.Reports)+len(c.decisions))
	for _, item := range call.Items {
		isNamed[item.Number] = true
	}
	for _, report := range call.Reports {
		isNamed[report.Number] = true
	}
	for _, decision := range c.decisions {
		isNamed[decision.Number] = true
	}
	for k, g := range p.grants {
		switch {
		case k.caller != call.Caller:
		case isNamed[k.number]:
			g.knownAt = now
		default:
			p.endGrant(k, ejector.Abandoned)
		}
	}
}

// replaceItems makes the items of a call the waiting ones of its caller. An item that
// was decided, but whose decision did not arrive, gets the same decision again.
func (p *Pool) replaceItems(call Call, c *caller, now time.Time) {
	earlier := make(map[int64]*waitingItem)
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waitingItem) bool {
		if w.caller == call.Caller {
			earlier[w.Number] = w
		}
		return w.caller == call.Caller
	})
	for _, item := range call.Items {
		k := key{call.Caller, item.Number}
		g, isGranted := p.grants[k]
		isDecided := slices.ContainsFunc(c.decisions, func(d Decision) bool { return d.Number == item.Number })
		switch {
		case isDecided:
			continue
		case isGranted:
			c.decisions = append(c.decisions, Decision{Number: item.Number, Upstream: g.server.entry.Name})
			continue
		}
		w, ok := earlier[item.Number]
		if !ok {
			w = &waitingItem{key: k, Item: item, zone: call.Zone, arrivedAt: now, objectiveAt: now.Add(item.ToObjective), deadlineAt: now.Add(item.ToDeadline)}
		}
		w.Avoid = item.Avoid
		p.waiting = append(p.waiting, w)
	}
}

// applyReport records the end of a request, or one that runs and was not admitted here.
func (p *Pool) applyReport(from identifier.Incarnation, report Report, now time.Time) {
	k := key{from, report.Number}
	s, isKnown := p.servers[report.Upstream]
	if !isKnown {
		p.endGrant(k, ejector.Abandoned)
		return
	}
	age := min(max(0, report.Age), maxReported)
	took := min(max(minTime, report.Took), maxReported)
	g, isGranted := p.grants[k]
	if isGranted && g.server != s {
		p.endGrant(k, ejector.Abandoned)
		isGranted = false
	}
	if !isGranted && report.Outcome == Running {
		p.grants[k] = &grant{server: s, startedAt: now.Add(-age), stretch: 1, knownAt: now, end: p.ejector.Begin(s.entry.Name, p.entries)}
		return
	}
	switch report.Outcome {
	case Running:
		return
	case ejector.Succeeded:
		serviceTime := took.Seconds()
		if isGranted {
			serviceTime /= g.stretch
		}
		s.took.add(serviceTime, now.Add(-age))
		p.took.add(serviceTime, now.Add(-age))
	case ejector.Rejected:
		p.contendedAt = now
		p.lowerLimit(s, now)
	}
	if !isGranted {
		p.ejector.Begin(s.entry.Name, p.entries)(report.Outcome)
	}
	p.endGrant(k, report.Outcome)
}

func (p *Pool) endGrant(k key, outcome ejector.Outcome) {
	g, ok := p.grants[k]
	if ok {
		delete(p.grants, k)
		g.end(outcome)
	}
}

func (p *Pool) lowerLimit(s *server, now time.Time) {
	if s.limitFactor < 1 && now.Sub(s.limitChangedAt) < rejectionInterval {
		return
	}
	s.limitFactor = max(minLimitFactor, s.limitFactor*rejectionFactor)
	s.limitChangedAt = now
	p.changes = append(p.changes, LimitChange{Server: s.entry.Name, Limit: int(s.limit()), Slots: s.entry.Slots})
}

// limit returns the number of requests that a server is assumed to take.
func (s *server) limit() float64 {
	slots := float64(max(1, s.entry.Slots))
	return max(1, (slots+excessFactor*math.Sqrt(slots))*s.limitFactor)
}

// serviceTime returns the mean service time of all servers.
func (p *Pool) serviceTime(now time.Time) float64 {
	return p.took.mean(initialTime.Seconds(), 1, now)
}

// timeOf returns the learned service time of a server in seconds.
func (p *Pool) timeOf(s *server, now time.Time) float64 {
	return s.took.mean(p.serviceTime(now), priorWeight, now)
}

// updateServers computes the expected number of running requests of each server, and
// restores lowered limits.
//
// A request that was running when its caller last named it has ended since with a
// probability that depends on the service time. The longer it had run by then, the
// longer it is expected to run on, as its server may be slow or hang.
func (p *Pool) updateServers(now time.Time) {
	for name, s := range p.servers {
		s.occupancy = 0
		for s.limitFactor < 1 && now.Sub(s.limitChangedAt) >= recoveryInterval {
			s.limitFactor = min(1, s.limitFactor+recoveryStep)
			s.limitChangedAt = s.limitChangedAt.Add(recoveryInterval)
		}
		if !s.isListed && now.Sub(s.listedAt) > grantLifetime {
			delete(p.servers, name)
		}
	}
	times := make(map[*server]float64, len(p.servers))
	for k, g := range p.grants {
		mean, ok := times[g.server]
		if !ok {
			mean = p.timeOf(g.server, now)
			times[g.server] = mean
		}
		knownAge := g.knownAt.Sub(g.startedAt).Seconds()
		expected := max(mean*g.stretch, knownAge)
		occupancy := survival(now.Sub(g.startedAt).Seconds()/expected) / survival(knownAge/expected)
		if occupancy < minOccupancy || now.Sub(g.knownAt) > grantLifetime {
			p.endGrant(k, ejector.Abandoned)
			continue
		}
		g.server.occupancy += occupancy
	}
}

// survival returns the probability that a request runs longer than the given multiple of
// its mean time. Times have an Erlang distribution with two phases: an exponential one
// would free a third of the slots in the first 0.4 of the mean, and bursts would overfill
// servers.
func survival(multiple float64) float64 {
	return (1 + 2*multiple) * math.Exp(-2*multiple)
}
