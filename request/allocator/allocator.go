// Package allocator acquires engines for the requests of one daemon. It asks the
// model's coordinator, and falls back to this daemon's own planner while that is
// unreachable.
package allocator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/coordinator"
	"sassafraspass.dev/sassafraspass/request/planner"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// localPlanningPeriod is how long a daemon plans locally after a call to a
	// coordinator failed.
	localPlanningPeriod = 500 * time.Millisecond
	// responseSlack is how much longer than the request's timeout a coordinator may
	// take to respond.
	responseSlack    = 250 * time.Millisecond
	reseatTimeout    = 250 * time.Millisecond
	settleTimeout    = time.Second
	settleRetryDelay = 50 * time.Millisecond
	// maxSettleAttempts bounds the attempts to deliver a batch of events. A
	// coordinator that has stopped needs none, as its plans end with it.
	maxSettleAttempts = 20
	// eventBuffer is the number of events that can wait for delivery, in total and
	// for each coordinator.
	eventBuffer = 4096
	// maxEventBatch is the largest number of events in one call.
	maxEventBatch = 256
)

// EnginePair is a prefill engine and a seat in a decode engine, held for one request.
// Its holder reports the progress of the request and calls Release at the end.
type EnginePair struct {
	Prefill parser.Upstream
	Decode  parser.Upstream
	// TransferBound is how long a KV-cache transfer may take before it counts as
	// stalled.
	TransferBound time.Duration

	seater *Allocator
	planID coordinator.PlanID
	// coordinator is the address of the coordinator that granted the seat, empty
	// for this daemon.
	coordinator identifier.Address
	work        identifier.Tokens
}

// Allocator acquires seats and delivers their events to the coordinators. All
// exported fields must be set before use.
type Allocator struct {
	// Self is the incarnation of this daemon, the holder of its plans.
	Self identifier.Incarnation
	// Local is this daemon's own coordinator.
	Local *coordinator.Coordinator
	// CoordinatorOf returns the address of a model's coordinator, empty for this
	// daemon.
	CoordinatorOf func(model identifier.ModelName) identifier.Address
	// Acquire, Reseat and Settle call the coordinator of another daemon. Their
	// errors mean that the call failed and may or may not have had its effect.
	Acquire    func(ctx context.Context, target identifier.Address, req coordinator.Request) (coordinator.Grant, *refuser.Refusal, error)
	Reseat     func(ctx context.Context, target identifier.Address, holder identifier.Incarnation, from, to coordinator.PlanID, avoid []identifier.UpstreamName) (coordinator.Grant, bool, error)
	SendEvents func(ctx context.Context, target identifier.Address, holder identifier.Incarnation, events []coordinator.Event) error
	// FindUpstream returns the engine of a name, and false if it is unknown.
	FindUpstream func(name identifier.UpstreamName) (parser.Upstream, bool)

	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter

	pendingEvents chan pendingEvent

	mu sync.Mutex
	// loads is what this daemon's seats hold at each engine.
	loads      map[identifier.UpstreamName]planner.Load
	localUntil map[identifier.Address]time.Time
}

// pendingEvent is an event that waits for delivery to a coordinator.
type pendingEvent struct {
	target identifier.Address
	event  coordinator.Event
}

// New returns a seater without seats.
func New() *Allocator {
	return &Allocator{
		pendingEvents: make(chan pendingEvent, eventBuffer),
		loads:         make(map[identifier.UpstreamName]planner.Load),
		localUntil:    make(map[identifier.Address]time.Time),
	}
}

// Allocate waits for a seat until the request's timeout or ctx ends. After a refusal
// nothing is held. If the coordinator's response is lost, Take releases the plan
// that it may have granted and plans locally.
func (s *Allocator) Allocate(ctx context.Context, req coordinator.Request) (*EnginePair, *refuser.Refusal) {
	req.Requester = s.Self
	req.PlanID = newPlanID()
	target := s.reachableCoordinator(req.Model)
	if target == "" {
		grant, refusal := s.Local.Acquire(ctx, req)
		return s.newSeat(req.PlanID, target, grant, refusal)
	}
	askedAt := s.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, req.MaxWait+responseSlack)
	grant, refusal, err := s.Acquire(callCtx, target, req)
	cancel()
	if err == nil {
		return s.newSeat(req.PlanID, target, grant, refusal)
	}
	s.report(target, coordinator.Event{PlanID: req.PlanID, Kind: coordinator.EventReleased})
	if ctx.Err() != nil {
		return nil, refuser.New(408, refuser.CallerGone, "the caller is gone")
	}
	s.fallBackToLocal(target, err)
	waited := s.Clock.Since(askedAt)
	req.Waited += waited
	req.MaxWait -= waited
	req.PlanID = newPlanID()
	grant, refusal = s.Local.Acquire(ctx, req)
	return s.newSeat(req.PlanID, "", grant, refusal)
}

func newPlanID() coordinator.PlanID {
	return coordinator.PlanID(identifier.NewAttemptID())
}

// reachableCoordinator returns the address of the coordinator to ask. It is empty
// if this daemon coordinates the model, or plans locally after a failed call.
func (s *Allocator) reachableCoordinator(model identifier.ModelName) identifier.Address {
	target := s.CoordinatorOf(model)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Clock.Now().Before(s.localUntil[target]) {
		return ""
	}
	return target
}

// fallBackToLocal makes this daemon plan locally for a while instead of asking a
// coordinator that failed.
func (s *Allocator) fallBackToLocal(target identifier.Address, err error) {
	s.Meter.CountRetry(meter.RetryCoordinator)
	s.Log.Warn("A coordinator cannot be reached; planning alone.", "coordinator", target, "err", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.localUntil[target] = s.Clock.Now().Add(localPlanningPeriod)
}

// newSeat builds a seat from a grant. It releases the plan if an engine is not in
// this daemon's configuration.
func (s *Allocator) newSeat(id coordinator.PlanID, target identifier.Address, grant coordinator.Grant, refusal *refuser.Refusal) (*EnginePair, *refuser.Refusal) {
	if refusal != nil {
		return nil, refusal
	}
	seat := &EnginePair{seater: s, planID: id, coordinator: target, work: grant.PrefillWork, TransferBound: grant.TransferBound}
	prefill, knowsPrefill := s.FindUpstream(grant.Prefill)
	decode, knowsDecode := s.FindUpstream(grant.Decode)
	if !knowsPrefill || !knowsDecode {
		s.report(target, coordinator.Event{PlanID: id, Kind: coordinator.EventReleased})
		return nil, refuser.New(503, refuser.NoUpstream, "the chosen engines are not in this VM's configuration yet").WithRetryAfter(time.Second)
	}
	seat.Prefill = prefill
	seat.Decode = decode
	s.addLoad(prefill.Name, 1, grant.PrefillWork)
	s.addLoad(decode.Name, 1, 0)
	return seat, nil
}

// addLoad changes the load that this daemon reports to have on an engine.
func (s *Allocator) addLoad(name identifier.UpstreamName, running int, tokens identifier.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.loads[name]
	load.Running += running
	load.PendingPrefill += tokens
	if load == (planner.Load{}) {
		delete(s.loads, name)
		return
	}
	s.loads[name] = load
}

// Loads returns a copy of this daemon's load by engine, without idle engines.
func (s *Allocator) Loads() map[identifier.UpstreamName]planner.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[identifier.UpstreamName]planner.Load, len(s.loads))
	for name, load := range s.loads {
		copied[name] = load
	}
	return copied
}

// PrefillEnded reports that the prefill has ended, which frees its load on the
// prefill engine. A took of zero means that it failed.
func (seat *EnginePair) PrefillEnded(took time.Duration) {
	seat.seater.addLoad(seat.Prefill.Name, -1, -seat.work)
	seat.work = 0
	seat.report(coordinator.EventPrefillEnded, took)
}

// TransferDone reports that the KV-cache transfer succeeded, and how long it took.
func (seat *EnginePair) TransferDone(took time.Duration) {
	seat.report(coordinator.EventTransferDone, took)
}

// TransferFailed reports that the KV-cache transfer stalled.
func (seat *EnginePair) TransferFailed() {
	seat.report(coordinator.EventTransferFailed, 0)
}

// PrefillEngineFailed reports that the prefill engine did not answer.
func (seat *EnginePair) PrefillEngineFailed() {
	seat.report(coordinator.EventPrefillEngineFailed, 0)
}

// DecodeEngineFailed reports that the decode engine did not answer.
func (seat *EnginePair) DecodeEngineFailed() {
	seat.report(coordinator.EventDecodeEngineFailed, 0)
}

// Release frees the decode seat. PrefillEnded must have been called before.
func (seat *EnginePair) Release() {
	seat.seater.addLoad(seat.Decode.Name, -1, 0)
	seat.report(coordinator.EventReleased, 0)
}

// report sends an event of the seat's plan to its coordinator.
func (seat *EnginePair) report(kind coordinator.EventKind, took time.Duration) {
	seat.seater.report(seat.coordinator, coordinator.Event{PlanID: seat.planID, Kind: kind, Elapsed: took})
}

// Reseat moves the request to another decode engine for the same prefill and
// returns the new seat, which replaces this one. It returns nil if it gets none;
// this seat then stays in use.
func (seat *EnginePair) Reseat(ctx context.Context, avoid []identifier.UpstreamName) *EnginePair {
	s := seat.seater
	to := newPlanID()
	grant, ok, err := s.requestReseat(ctx, seat, to, avoid)
	if err != nil {
		s.report(seat.coordinator, coordinator.Event{PlanID: to, Kind: coordinator.EventReleased})
	}
	if err != nil || !ok {
		return nil
	}
	decode, known := s.FindUpstream(grant.Decode)
	if !known {
		s.report(seat.coordinator, coordinator.Event{PlanID: to, Kind: coordinator.EventReleased})
		return nil
	}
	s.addLoad(seat.Decode.Name, -1, 0)
	s.addLoad(decode.Name, 1, 0)
	return &EnginePair{
		Prefill:       seat.Prefill,
		Decode:        decode,
		TransferBound: grant.TransferBound,
		seater:        s,
		planID:        to,
		coordinator:   seat.coordinator,
	}
}

// requestReseat asks the coordinator of a seat for another decode engine.
func (s *Allocator) requestReseat(ctx context.Context, seat *EnginePair, to coordinator.PlanID, avoid []identifier.UpstreamName) (coordinator.Grant, bool, error) {
	if seat.coordinator == "" {
		grant, ok := s.Local.Reseat(s.Self, seat.planID, to, avoid)
		return grant, ok, nil
	}
	ctx, cancel := context.WithTimeout(ctx, reseatTimeout)
	defer cancel()
	return s.Reseat(ctx, seat.coordinator, s.Self, seat.planID, to, avoid)
}

// report queues an event for a coordinator, or applies it if that is this daemon.
// It blocks while the buffer is full.
func (s *Allocator) report(target identifier.Address, event coordinator.Event) {
	if target == "" {
		s.Local.HandleEvents(s.Self, []coordinator.Event{event})
		return
	}
	s.pendingEvents <- pendingEvent{target: target, event: event}
}
