// Package scheduler queues requests by model and assigns each a prefill and a
// decode engine. A mutex serializes all decisions.
package scheduler

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/asserter"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/planner"
	"sassafraspass.dev/sassafraspass/request/queuer"
)

const (
	// tickInterval is the time between two scheduling passes while requests wait.
	tickInterval = 5 * time.Millisecond
	// retryAfter is the retry delay that a refusal suggests to the caller.
	retryAfter = time.Second
)

// Request asks for a prefill and a decode engine.
type Request struct {
	// Item is the request's entry in the queue of its model.
	Item *queuer.Item
	// PlanRequest is what the planner chooses the engines by.
	PlanRequest planner.Request
}

// waiter is a queued request. The result channel receives at most one result;
// it receives none if the wait is cancelled.
type waiter struct {
	req    Request
	result chan result
}

// result is a plan, or a refusal if the request gets no engines.
type result struct {
	plan    *planner.Plan
	refusal *refuser.Refusal
}

// Scheduler holds a queue for each model and owns the planner. It is safe for
// concurrent use.
type Scheduler struct {
	clock  clockwork.Clock
	assert *asserter.Asserter

	mu sync.Mutex
	// queues has a queue for each model, so that a model without free engines
	// does not block requests for the others.
	queues  map[identifier.ModelName]*queuer.Queue
	planner *planner.Planner
	waiters map[*queuer.Item]*waiter
	// wake tells Run that a request was queued.
	wake chan struct{}
}

// New returns a scheduler with empty queues that owns p.
func New(clock clockwork.Clock, assert *asserter.Asserter, p *planner.Planner) *Scheduler {
	return &Scheduler{
		clock:   clock,
		assert:  assert,
		queues:  make(map[identifier.ModelName]*queuer.Queue),
		planner: p,
		waiters: make(map[*queuer.Item]*waiter),
		wake:    make(chan struct{}, 1),
	}
}

// Update calls change with the planner and then schedules the queued requests.
// The planner must not be kept after change returns.
func (s *Scheduler) Update(change func(p *planner.Planner, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.planner, s.clock.Now())
	s.scheduleAll()
}

// View calls view with the planner, which must not be changed or kept.
func (s *Scheduler) View(view func(p *planner.Planner, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view(s.planner, s.clock.Now())
}

// Acquire waits until req has a prefill engine and a seat in a decode engine.
// It refuses the request if the model has no engines, if its queue is full, and
// if the deadline cannot be met or ctx ends first. Nothing is held after a
// refusal; a plan must be released with Release.
func (s *Scheduler) Acquire(ctx context.Context, req Request) (*planner.Plan, *refuser.Refusal) {
	w, refusal := s.enqueue(req)
	if refusal != nil {
		return nil, refusal
	}
	select {
	case r := <-w.result:
		return r.plan, r.refusal
	case <-ctx.Done():
	}
	r, ok := s.cancelWait(w)
	if ok {
		return r.plan, r.refusal
	}
	return nil, deadlineRefusal()
}

// enqueue queues a request, and schedules its queue at once.
func (s *Scheduler) enqueue(req Request) (*waiter, *refuser.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.planner.HasEngines(req.PlanRequest.Model) {
		return nil, refuser.New(http.StatusServiceUnavailable, refuser.NoUpstream, "model %s has no engines now", req.PlanRequest.Model).WithRetryAfter(retryAfter)
	}
	w := &waiter{req: req, result: make(chan result, 1)}
	if !s.queueFor(req.PlanRequest.Model).Push(req.Item) {
		return nil, refuser.New(http.StatusServiceUnavailable, refuser.QueueFull, "too many requests wait").WithRetryAfter(retryAfter)
	}
	s.waiters[req.Item] = w
	s.schedule(s.queueFor(req.PlanRequest.Model))
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return w, nil
}

// queueFor returns the queue of a model, which it creates at the first request.
func (s *Scheduler) queueFor(model identifier.ModelName) *queuer.Queue {
	q, ok := s.queues[model]
	if !ok {
		q = queuer.New()
		s.queues[model] = q
	}
	return q
}

// cancelWait removes a request from its queue. If the request already has a
// result, cancelWait returns that with ok set.
func (s *Scheduler) cancelWait(w *waiter) (r result, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, waiting := s.waiters[w.req.Item]
	if !waiting {
		return <-w.result, true
	}
	s.queueFor(w.req.PlanRequest.Model).Drop(w.req.Item)
	delete(s.waiters, w.req.Item)
	return result{}, false
}

func (s *Scheduler) scheduleAll() {
	for _, q := range s.queues {
		s.schedule(q)
	}
}

// schedule assigns engines to the requests of a queue in order. It stops at the
// first request that fits no engines, so that smaller requests behind a large
// one cannot starve it.
func (s *Scheduler) schedule(q *queuer.Queue) {
	now := s.clock.Now()
	for {
		item := q.Peek(now)
		if item == nil {
			return
		}
		w := s.waiters[item]
		if s.willMissDeadline(now, w) {
			q.Drop(item)
			s.resolve(w, result{refusal: deadlineRefusal()})
			continue
		}
		plan := s.planner.Choose(now, w.req.PlanRequest)
		if plan == nil {
			return
		}
		q.Take(item)
		s.resolve(w, result{plan: plan})
	}
}

// willMissDeadline reports whether even the fastest prefill would end after the
// deadline.
func (s *Scheduler) willMissDeadline(now time.Time, w *waiter) bool {
	fastest := s.planner.FastestPrefill(now, w.req.PlanRequest)
	return now.Add(fastest).After(w.req.Item.Deadline)
}

// resolve ends a wait with a result. The request must be out of its queue.
func (s *Scheduler) resolve(w *waiter, r result) {
	delete(s.waiters, w.req.Item)
	w.result <- r
}

func deadlineRefusal() *refuser.Refusal {
	return refuser.New(http.StatusGatewayTimeout, refuser.DeadlineExceeded, "the request could not meet its deadline").WithRetryAfter(retryAfter)
}

// Waiting returns the number of queued requests of all models.
func (s *Scheduler) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiters)
}

// PrefillEnded reports that the prefill of a plan has ended, which frees the
// load it put on the prefill engine. A took of zero means that it failed;
// otherwise blocks are then in the engine's cache.
func (s *Scheduler) PrefillEnded(plan *planner.Plan, took time.Duration, blocks []dispatcher.BlockHash) {
	s.Update(func(p *planner.Planner, now time.Time) { p.PrefillEnded(plan, took, blocks, now) })
}

// Release frees the plan's decode seat, and its load on the prefill engine if
// the prefill has not ended. Releasing a plan twice violates an invariant.
func (s *Scheduler) Release(plan *planner.Plan) {
	s.Update(func(p *planner.Planner, now time.Time) {
		s.assert.That(p.Release(plan, now), asserter.SeatReleasedOnce, "decode", plan.Decode.Name)
	})
}

// Reseat moves a plan whose prefill is done to another decode engine and
// returns the new plan. It returns nil if no engine has a free seat; the plan
// then keeps its own.
func (s *Scheduler) Reseat(plan *planner.Plan, req planner.Request) (moved *planner.Plan) {
	s.Update(func(p *planner.Planner, now time.Time) { moved = p.Reseat(now, plan, req) })
	return moved
}

// TransferDone reports that a plan's KV-cache transfer of a number of tokens
// has succeeded, and how long it took.
func (s *Scheduler) TransferDone(plan *planner.Plan, tokens identifier.Tokens, took time.Duration) {
	s.Update(func(p *planner.Planner, _ time.Time) { p.TransferDone(plan, tokens, took) })
}

// TransferFailed reports that a plan's KV-cache transfer has stalled.
func (s *Scheduler) TransferFailed(plan *planner.Plan) {
	s.Update(func(p *planner.Planner, now time.Time) { p.TransferFailed(plan, now) })
}

// EngineFailed reports that an engine did not answer. The engine gets no new
// requests for a while.
func (s *Scheduler) EngineFailed(name identifier.UpstreamName) {
	s.Update(func(p *planner.Planner, now time.Time) { p.MarkFailed(name, now) })
}

// Run schedules the queued requests every few milliseconds until ctx ends, and
// returns the error of ctx. It sleeps while the queues are empty.
func (s *Scheduler) Run(ctx context.Context) error {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for s.Waiting() > 0 {
			s.tick()
			select {
			case <-s.clock.After(tickInterval):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// tick refuses requests past their deadline and schedules the others.
func (s *Scheduler) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, q := range s.queues {
		for _, item := range q.Expired(now) {
			q.Drop(item)
			s.resolve(s.waiters[item], result{refusal: deadlineRefusal()})
		}
		s.schedule(q)
	}
}
