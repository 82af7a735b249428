package placer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/quarantiner"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// queueInterval is how often the queues are processed while requests wait.
	queueInterval = 15 * time.Millisecond
	// decisionCapacity is the number of decisions that may wait to be logged.
	decisionCapacity = 256
)

// Placer holds one pool per model service. It is safe for concurrent use.
type Placer struct {
	// OnQuarantine is called when a part is quarantined, and again when it has crashed
	// another engine. It must not block nor call the placer.
	OnQuarantine func(service identifier.ServiceName, suspicion quarantiner.Suspicion)
	// Grants bounds the requests to engines that have just started.
	Grants Grants
	// Choice selects how engines are chosen. ZoneCost is the cost of a service's work
	// between two zones, as a waiting time. Both are set before the first request.
	Choice   Choice
	ZoneCost func(service identifier.ServiceName, from, to identifier.ZoneName) time.Duration

	clock     clockwork.Clock
	wake      chan struct{}
	decisions chan QuarantineDecision
	speeds    chan SpeedChange

	mu    sync.Mutex
	pools map[identifier.ServiceName]*Pool
}

// QuarantineDecision is a decision on a prompt part of a service's requests.
type QuarantineDecision struct {
	Service identifier.ServiceName
	quarantiner.Decision
}

// New returns a placer without pools.
func New(clock clockwork.Clock) *Placer {
	return &Placer{
		OnQuarantine: func(identifier.ServiceName, quarantiner.Suspicion) {},
		Choice:       ChoicePooled,
		ZoneCost: func(_ identifier.ServiceName, from, to identifier.ZoneName) time.Duration {
			return DefaultZoneCost(from, to)
		},
		clock:     clock,
		wake:      make(chan struct{}, 1),
		decisions: make(chan QuarantineDecision, decisionCapacity),
		speeds:    make(chan SpeedChange, decisionCapacity),
		pools:     make(map[identifier.ServiceName]*Pool),
	}
}

// Decisions returns the decisions on prompt parts, to be logged. Those that nobody
// receives in time are dropped.
func (p *Placer) Decisions() <-chan QuarantineDecision {
	return p.decisions
}

// SpeedChanges returns the changes of engines' speeds, to be logged. Those that nobody
// receives in time are dropped.
func (p *Placer) SpeedChanges() <-chan SpeedChange {
	return p.speeds
}

// Configure sets a service's engine profile and engines.
func (p *Placer) Configure(service identifier.ServiceName, profile parser.EngineProfile, entries []registrar.Entry) {
	p.withPool(service, func(pool *Pool, now time.Time) {
		pool.Configure(profile, entries, now)
		pool.ProcessQueue(now)
	})
}

// Place waits for a pair of engines until the request's MaxWait has passed or
// the context ends. It returns a refusal if no pair was assigned.
func (p *Placer) Place(ctx context.Context, service identifier.ServiceName, req Request) (Grant, *refuser.Refusal) {
	var pending *PendingRequest
	waiting := 0
	p.withPool(service, func(pool *Pool, now time.Time) {
		req.HeldBack = pool.known(req.HeldBack)
		pending = pool.Submit(req, now)
		waiting = pool.ProcessQueue(now)
	})
	if waiting > 0 {
		p.notify()
	}
	select {
	case outcome := <-pending.Outcome:
		return outcome.Grant, outcome.Refusal
	case <-ctx.Done():
	}
	cancelled := false
	p.withPool(service, func(pool *Pool, now time.Time) { cancelled = pool.Cancel(pending) })
	if !cancelled {
		outcome := <-pending.Outcome
		if outcome.Refusal == nil {
			p.Report(service, Report{Key: req.Key, Step: StepEnded})
		}
	}
	return Grant{}, refuser.New(statusCallerGone, refuser.CallerGone, "the caller disconnected")
}

// statusCallerGone is the status of a refusal that no caller receives, because
// the caller has already disconnected.
const statusCallerGone = 408

// Report records a step of a placement and processes the service's queue.
func (p *Placer) Report(service identifier.ServiceName, report Report) {
	p.withPool(service, func(pool *Pool, now time.Time) {
		pool.HandleReport(report, now)
		// A first event gives no room.
		if pool.Choice != ChoiceBySpeed || report.Step != StepStarted {
			pool.ProcessQueue(now)
		}
	})
}

// SetExternalLoads replaces the memory used on a service's engines by requests
// that other daemons placed.
func (p *Placer) SetExternalLoads(service identifier.ServiceName, loads []ExternalLoad) {
	p.withPool(service, func(pool *Pool, now time.Time) { pool.SetExternalLoads(loads, now) })
}

// ReleaseDeadRequesters releases the placements that were requested by daemons
// that are not live.
func (p *Placer) ReleaseDeadRequesters(isLive func(identifier.Incarnation) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		pool.ReleaseDeadRequesters(isLive)
	}
}

// Statuses returns the state of a service's engines.
func (p *Placer) Statuses(service identifier.ServiceName) (statuses []Status) {
	p.withPool(service, func(pool *Pool, now time.Time) { statuses = pool.Statuses(now) })
	return statuses
}

// RecommendRoleChange returns a role change that increases the throughput of a
// service's engines for its current request mix, or false if there is none.
func (p *Placer) RecommendRoleChange(service identifier.ServiceName) (c RoleChange, ok bool) {
	p.withPool(service, func(pool *Pool, now time.Time) { c, ok = pool.RecommendRoleChange(now) })
	return c, ok
}

// BeginRoleChange stops assigning requests to an engine that is about to change
// its role.
func (p *Placer) BeginRoleChange(service identifier.ServiceName, name identifier.UpstreamName, to parser.Role) {
	p.withPool(service, func(pool *Pool, now time.Time) { pool.BeginRoleChange(name, to, now) })
}

// CancelRoleChange undoes BeginRoleChange.
func (p *Placer) CancelRoleChange(service identifier.ServiceName, name identifier.UpstreamName) {
	p.withPool(service, func(pool *Pool, now time.Time) {
		pool.CancelRoleChange(name)
		pool.ProcessQueue(now)
	})
}

// HasNoPendingWork reports whether an engine has no prefill to finish and no
// decode to start.
func (p *Placer) HasNoPendingWork(service identifier.ServiceName, name identifier.UpstreamName) (hasNoPendingWork bool) {
	p.withPool(service, func(pool *Pool, _ time.Time) { hasNoPendingWork = pool.HasNoPendingWork(name) })
	return hasNoPendingWork
}

// withPool calls fn with a service's pool while it holds the lock. It creates
// the pool if the service has none.
func (p *Placer) withPool(service identifier.ServiceName, fn func(pool *Pool, now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.pools[service]
	if !ok {
		pool = NewPool()
		pool.grants = p.Grants
		pool.Choice = p.Choice
		pool.ZoneCost = func(from, to identifier.ZoneName) time.Duration { return p.ZoneCost(service, from, to) }
		p.pools[service] = pool
	}
	fn(pool, p.clock.Now())
	p.publishDecisions(service, pool)
}

func (p *Placer) publishDecisions(service identifier.ServiceName, pool *Pool) {
	for _, change := range pool.TakeSpeedChanges() {
		change.Service = service
		select {
		case p.speeds <- change:
		default:
		}
	}
	for _, decision := range pool.TakeDecisions() {
		if decision.Change == quarantiner.ChangeQuarantined || decision.Change == quarantiner.ChangeExtended {
			p.OnQuarantine(service, decision.Suspicion)
		}
		select {
		case p.decisions <- QuarantineDecision{service, decision}:
		default:
		}
	}
}

// notify wakes Run without blocking.
func (p *Placer) notify() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run processes the queues every queueInterval while requests wait, until the
// context ends. It returns the context's error.
func (p *Placer) Run(ctx context.Context) error {
	for {
		select {
		case <-p.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for p.processQueues() > 0 {
			select {
			case <-p.clock.After(queueInterval):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// processQueues processes the queue of every pool and returns the number of
// requests still queued.
func (p *Placer) processQueues() (waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for service, pool := range p.pools {
		waiting += pool.ProcessQueue(now)
		p.publishDecisions(service, pool)
	}
	return waiting
}

// Suspicions returns the evidence against the prompt parts of a service's requests.
func (p *Placer) Suspicions(service identifier.ServiceName) (suspicions []quarantiner.Suspicion) {
	p.withPool(service, func(pool *Pool, now time.Time) { suspicions = pool.Suspicions(now) })
	return suspicions
}

// AdoptSuspicions adds the evidence that another daemon has collected.
func (p *Placer) AdoptSuspicions(service identifier.ServiceName, suspicions []quarantiner.Suspicion) {
	p.withPool(service, func(pool *Pool, now time.Time) { pool.AdoptSuspicions(suspicions, now) })
}
