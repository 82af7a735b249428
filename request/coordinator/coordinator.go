// Package coordinator assigns the engines of a model to the requests of all
// daemons.
//
// Each model is coordinated by one daemon, chosen by hashing over the live ones. It
// holds the only queue and counts seats exactly, so that no decode engine is
// overbooked. If it dies, the next daemon by hash takes over; until then each daemon
// plans locally. A wrong choice of coordinator costs only latency, so the choice
// needs no consensus.
package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/planner"
	"sassafraspass.dev/sassafraspass/request/queuer"
	"sassafraspass.dev/sassafraspass/request/scheduler"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// tombstoneTTL is how long the release of an unknown plan is remembered, as it
	// may arrive before the request that makes the plan.
	tombstoneTTL = 30 * time.Second
	// sweepInterval is the least time between two removals of old tombstones.
	sweepInterval = time.Second
)

// PlanID identifies a plan of one holder. The holder chooses it.
type PlanID string

// Request asks for a prefill engine and a seat in a decode engine.
type Request struct {
	// Requester is the daemon that asks and will hold the plan.
	Requester identifier.Incarnation
	PlanID    PlanID
	Model     identifier.ModelName
	Workspace identifier.WorkspaceName
	Class     parser.Class
	// Cost is the number of tokens that is charged to the workspace's fair share.
	Cost identifier.Tokens
	// Weight is the workspace's rate limit in tokens per second.
	Weight identifier.Tokens
	// Waited is the time since the request arrived.
	Waited time.Duration
	// MaxWait is the time left until the request's deadline.
	MaxWait time.Duration
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens identifier.Tokens
	// Blocks are the hashes of the prompt's blocks, by which cache hits are
	// estimated.
	Blocks []dispatcher.BlockHash
	// Avoid names engines that failed this request before.
	Avoid []identifier.UpstreamName
}

// Grant is a prefill engine and a decode engine with a seat taken.
type Grant struct {
	Prefill identifier.UpstreamName
	Decode  identifier.UpstreamName
	// PrefillWork is the number of tokens charged as load to the prefill engine.
	PrefillWork identifier.Tokens
	// TransferBound is how long a KV-cache transfer may take before it counts as
	// stalled.
	TransferBound time.Duration
}

// EventKind is the kind of an event in the life of a plan.
type EventKind string

// The kinds of events.
const (
	EventPrefillEnded   EventKind = "prefill-done"
	EventTransferDone   EventKind = "transfer-done"
	EventTransferFailed EventKind = "transfer-failed"
	EventReleased       EventKind = "released"
	// An engine did not answer.
	EventPrefillEngineFailed EventKind = "prefill-engine-failed"
	EventDecodeEngineFailed  EventKind = "decode-engine-failed"
)

// Event reports progress or the end of a plan.
type Event struct {
	PlanID PlanID
	Kind   EventKind
	// Elapsed is how long the prefill or the transfer took. It is zero if that failed.
	Elapsed time.Duration
}

// planKey identifies a plan among those of all daemons.
type planKey struct {
	holder identifier.Incarnation
	planID PlanID
}

// heldPlan is a plan that was not released yet, with its request.
type heldPlan struct {
	plan *planner.Plan
	req  Request
}

// Coordinator serves the requests of all daemons from one scheduler and tracks their
// plans. It is safe for concurrent use.
type Coordinator struct {
	scheduler *scheduler.Scheduler
	clock     clockwork.Clock

	mu    sync.Mutex
	plans map[planKey]*heldPlan
	// tombstones holds when plans were released that were not known then.
	tombstones map[planKey]time.Time
	lastSweep  time.Time
}

// New returns a coordinator that assigns engines through s.
func New(clock clockwork.Clock, s *scheduler.Scheduler) *Coordinator {
	return &Coordinator{
		scheduler:  s,
		clock:      clock,
		plans:      make(map[planKey]*heldPlan),
		tombstones: make(map[planKey]time.Time),
	}
}

// Acquire waits for engines until the request's timeout or ctx ends. If the plan's
// release arrived first, the engines are freed at once and the returned grant holds
// nothing.
func (c *Coordinator) Acquire(ctx context.Context, req Request) (Grant, *refuser.Refusal) {
	now := c.clock.Now()
	deadline := now.Add(req.MaxWait)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	item := &queuer.Item{
		Workspace: req.Workspace,
		Class:     req.Class,
		Cost:      req.Cost,
		Weight:    req.Weight,
		Arrived:   now.Add(-req.Waited),
		Deadline:  deadline,
	}
	plan, refusal := c.scheduler.Acquire(ctx, scheduler.Request{Item: item, PlanRequest: req.planRequest(deadline)})
	if refusal != nil {
		return Grant{}, refusal
	}
	key := planKey{holder: req.Requester, planID: req.PlanID}
	if !c.addPlan(key, &heldPlan{plan: plan, req: req}) {
		c.scheduler.Release(plan)
	}
	return newGrant(plan), nil
}

func (r Request) planRequest(deadline time.Time) planner.Request {
	return planner.Request{
		Model:        r.Model,
		PromptTokens: r.PromptTokens,
		Blocks:       r.Blocks,
		Deadline:     deadline,
		Requester:    r.Requester,
		Avoid:        r.Avoid,
	}
}

func newGrant(plan *planner.Plan) Grant {
	return Grant{
		Prefill:       plan.Prefill.Name,
		Decode:        plan.Decode.Name,
		PrefillWork:   plan.PrefillWork,
		TransferBound: plan.TransferBound,
	}
}

// addPlan stores a plan. It returns false if the plan's release arrived before.
func (c *Coordinator) addPlan(key planKey, held *heldPlan) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, released := c.tombstones[key]
	if released {
		return false
	}
	c.plans[key] = held
	return true
}

// Reseat moves the plan from to another decode engine, under the new id to. It
// returns false if the plan is unknown or no seat is free; the plan then keeps its
// seat.
func (c *Coordinator) Reseat(holder identifier.Incarnation, from, to PlanID, avoid []identifier.UpstreamName) (Grant, bool) {
	c.mu.Lock()
	held, ok := c.plans[planKey{holder: holder, planID: from}]
	c.mu.Unlock()
	if !ok {
		return Grant{}, false
	}
	req := held.req
	req.Avoid = avoid
	moved := c.scheduler.Reseat(held.plan, req.planRequest(c.clock.Now()))
	if moved == nil {
		return Grant{}, false
	}
	c.mu.Lock()
	delete(c.plans, planKey{holder: holder, planID: from})
	c.mu.Unlock()
	if !c.addPlan(planKey{holder: holder, planID: to}, &heldPlan{plan: moved, req: req}) {
		c.scheduler.Release(moved)
	}
	return newGrant(moved), true
}

// HandleEvents applies events of the holder's plans in order. Events of unknown plans are
// ignored, but their releases are remembered for tombstoneTTL.
func (c *Coordinator) HandleEvents(holder identifier.Incarnation, events []Event) {
	for _, event := range events {
		key := planKey{holder: holder, planID: event.PlanID}
		held, ok := c.planOf(key, event.Kind)
		if ok {
			c.applyEvent(held, event)
		}
	}
}

// planOf returns the plan of an event. A release removes the plan, or leaves a
// tombstone if the plan is unknown.
func (c *Coordinator) planOf(key planKey, kind EventKind) (*heldPlan, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.plans[key]
	if kind == EventReleased {
		delete(c.plans, key)
		if !ok {
			c.tombstones[key] = c.clock.Now()
		}
	}
	return held, ok
}

// applyEvent passes an event of a plan on to the scheduler.
func (c *Coordinator) applyEvent(held *heldPlan, event Event) {
	switch event.Kind {
	case EventPrefillEnded:
		c.scheduler.PrefillEnded(held.plan, event.Elapsed, held.req.Blocks)
	case EventTransferDone:
		c.scheduler.TransferDone(held.plan, held.req.PromptTokens, event.Elapsed)
	case EventTransferFailed:
		c.scheduler.TransferFailed(held.plan)
	case EventReleased:
		c.scheduler.Release(held.plan)
	case EventPrefillEngineFailed:
		c.scheduler.EngineFailed(held.plan.Prefill.Name)
	case EventDecodeEngineFailed:
		c.scheduler.EngineFailed(held.plan.Decode.Name)
	}
}

// ReleaseDeadRequesters releases the plans of all holders that are not live.
func (c *Coordinator) ReleaseDeadRequesters(isLive func(identifier.Incarnation) bool) {
	for _, held := range c.removeOrphans(isLive) {
		c.scheduler.Release(held.plan)
	}
}

// removeOrphans removes and returns the plans of holders that are not live. It also
// removes old tombstones.
func (c *Coordinator) removeOrphans(isLive func(identifier.Incarnation) bool) []*heldPlan {
	c.mu.Lock()
	defer c.mu.Unlock()
	var orphans []*heldPlan
	for key, held := range c.plans {
		if !isLive(key.holder) {
			orphans = append(orphans, held)
			delete(c.plans, key)
		}
	}
	now := c.clock.Now()
	if now.Sub(c.lastSweep) < sweepInterval {
		return orphans
	}
	c.lastSweep = now
	for key, releasedAt := range c.tombstones {
		if now.Sub(releasedAt) > tombstoneTTL {
			delete(c.tombstones, key)
		}
	}
	return orphans
}

// HeldPlans returns the number of plans that are not released.
func (c *Coordinator) HeldPlans() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.plans)
}
