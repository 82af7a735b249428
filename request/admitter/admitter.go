// Package admitter decides which request to a plain service is sent to which server, and
// when. One daemon of the fleet decides for all daemons, so that a server gets no more
// requests than it has slots.
//
// A Pool holds the state of one service and decides without network. The Admitter
// serves the calls of the other daemons with one pool per service.
package admitter

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/request/ejector"
)

const (
	// processInterval is how often the queues are processed while requests wait.
	processInterval = 5 * time.Millisecond
	// holdTime is how long a call is held until there is a decision. It is below the
	// time after which callers choose by themselves.
	holdTime = 100 * time.Millisecond
	// refreshInterval is the maximum age of the list of servers.
	refreshInterval = 50 * time.Millisecond
	// reportInterval is the time between two reports that there is contention.
	reportInterval = 100 * time.Millisecond
	// idleTimeout is how long the state of a service is kept without calls.
	idleTimeout = time.Minute
)

// Admitter admits the requests of all daemons to the services for which they ask this
// daemon. It is safe for concurrent use.
type Admitter struct {
	// Servers returns the servers of a service that may be used now.
	Servers func(service identifier.ServiceName) []registrar.Entry
	// ZoneCost is the cost of sending a request of a service to a server in another
	// zone.
	ZoneCost func(service identifier.ServiceName, from, to identifier.ZoneName) time.Duration
	// OnContention is called when requests of a service had to wait, or were rejected or
	// refused. It must not block nor call the admitter.
	OnContention func(service identifier.ServiceName)
	Log          *slog.Logger

	clock clockwork.Clock
	wake  chan struct{}

	mu       sync.Mutex
	services map[identifier.ServiceName]*serviceState
}

// serviceState is a service's pool with the calls that wait for decisions.
type serviceState struct {
	pool        *Pool
	refreshedAt time.Time
	calledAt    time.Time
	reportedAt  time.Time
	// openCalls holds for each caller the channel that is closed when there is a
	// decision for it.
	openCalls map[identifier.Incarnation]chan struct{}
}

// New returns an admitter without services. The caller sets Servers.
func New(clock clockwork.Clock) *Admitter {
	return &Admitter{
		ZoneCost: func(_ identifier.ServiceName, from, to identifier.ZoneName) time.Duration {
			return DefaultZoneCost(from, to)
		},
		OnContention: func(identifier.ServiceName) {},
		Log:          logger.Discard(),
		clock:        clock,
		wake:         make(chan struct{}, 1),
		services:     make(map[identifier.ServiceName]*serviceState),
	}
}

// Admit applies a call and waits up to holdTime for the first decision on its items. The
// items without a decision still wait; the caller names them in its next call.
func (a *Admitter) Admit(ctx context.Context, call Call) (decisions []Decision) {
	decisions, decided := a.begin(call)
	if decided == nil {
		return decisions
	}
	timer := a.clock.NewTimer(holdTime)
	defer timer.Stop()
	select {
	case <-decided:
	case <-timer.Chan():
	case <-ctx.Done():
	}
	return a.end(call, decided)
}

// begin applies a call. It returns the decisions that can be made at once, or a channel
// that is closed when there are some.
func (a *Admitter) begin(call Call) (decisions []Decision, decided chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	s := a.service(call.Service, now)
	if s == nil {
		for _, item := range call.Items {
			decisions = append(decisions, Decision{Number: item.Number})
		}
		return decisions, nil
	}
	s.calledAt = now
	s.pool.Handle(call, now)
	waiting := s.process(now)
	a.reportChanges(call.Service, s, now)
	decisions = s.pool.TakeDecisions(call.Caller)
	if len(decisions) > 0 || len(call.Items) == 0 {
		return decisions, nil
	}
	earlier, ok := s.openCalls[call.Caller]
	if ok {
		// The caller gave up on its earlier call.
		close(earlier)
	}
	decided = make(chan struct{})
	s.openCalls[call.Caller] = decided
	if waiting > 0 {
		a.notify()
	}
	return nil, decided
}

// end returns the decisions for a call that was held. A call that a later one of the
// same caller has replaced gets none.
func (a *Admitter) end(call Call, decided chan struct{}) []Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.services[call.Service]
	if !ok {
		return nil
	}
	current, isOpen := s.openCalls[call.Caller]
	if isOpen && current != decided {
		return nil
	}
	delete(s.openCalls, call.Caller)
	return s.pool.TakeDecisions(call.Caller)
}

// service returns the state of a service with a recent list of its servers. It is nil if
// the service is unknown or has none.
func (a *Admitter) service(name identifier.ServiceName, now time.Time) *serviceState {
	s, ok := a.services[name]
	if ok && now.Sub(s.refreshedAt) < refreshInterval {
		return s
	}
	entries := a.Servers(name)
	if !ok && len(entries) == 0 {
		return nil
	}
	if !ok {
		s = &serviceState{pool: NewPool(ejector.New(a.clock, "")), openCalls: make(map[identifier.Incarnation]chan struct{})}
		s.pool.ZoneCost = func(from, to identifier.ZoneName) time.Duration { return a.ZoneCost(name, from, to) }
		a.services[name] = s
	}
	s.refreshedAt = now
	s.pool.SetServers(entries, now)
	return s
}

// process lets the pool decide and wakes the calls with decisions.
func (s *serviceState) process(now time.Time) (waiting int) {
	waiting = s.pool.Process(now)
	for name, decided := range s.openCalls {
		if s.pool.HasDecisions(name) {
			delete(s.openCalls, name)
			close(decided)
		}
	}
	return waiting
}

// reportChanges logs what changed about a service and reports contention, at most once
// per reportInterval.
func (a *Admitter) reportChanges(service identifier.ServiceName, s *serviceState, now time.Time) {
	for _, change := range s.pool.TakeChanges() {
		a.Log.Info("A server rejected a request and is assumed to have fewer slots.", "service", service, "upstream", change.Server, "limit", change.Limit, "slots", change.Slots)
	}
	if now.Sub(s.reportedAt) >= reportInterval && s.pool.IsContended(reportInterval, now) {
		s.reportedAt = now
		a.OnContention(service)
	}
}

func (a *Admitter) notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run processes the queues while requests wait, until the context ends. It returns the
// context's error.
func (a *Admitter) Run(ctx context.Context) error {
	for {
		select {
		case <-a.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for a.processAll() > 0 {
			select {
			case <-a.clock.After(processInterval):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// processAll processes the queues of all services and returns the number of requests
// that still wait. It forgets services without calls.
func (a *Admitter) processAll() (waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for name, s := range a.services {
		if now.Sub(s.calledAt) > idleTimeout {
			delete(a.services, name)
			continue
		}
		if s.pool.Waiting() > 0 {
			a.service(name, now)
			waiting += s.process(now)
			a.reportChanges(name, s, now)
		}
	}
	return waiting
}

// Statuses returns the state of a service's servers.
func (a *Admitter) Statuses() map[identifier.ServiceName]Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	statuses := make(map[identifier.ServiceName]Status, len(a.services))
	for name, s := range a.services {
		statuses[name] = s.pool.Status(now)
	}
	return statuses
}
