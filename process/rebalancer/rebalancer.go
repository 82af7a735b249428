// Package rebalancer changes the roles of engines between prefill and decode as the
// mix of requests requires. For each service one daemon at a time may do so.
package rebalancer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/exchanger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/leaser"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/request/placer"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// adjustInterval is how often the balance of the roles is checked.
	adjustInterval = 500 * time.Millisecond
	// drainTimeout is how long an order waits until the engine has no prefill
	// left to finish and no decode left to start; the order is sent after that in
	// any case. drainPollInterval is how often this is checked.
	drainTimeout      = time.Second
	drainPollInterval = 20 * time.Millisecond
	// leaseTimeout bounds one acquisition of the lease, and callTimeout one request
	// to an engine. MaxSendDelay covers both, so that a holder that loses the lease
	// sends no order later than that.
	leaseTimeout = 500 * time.Millisecond
	callTimeout  = 500 * time.Millisecond
	// failureBackoff is how long a service's engines get no further order after
	// one that failed.
	failureBackoff = 4 * time.Second
	// maxResponseBytes limits the body of an engine's response. A longer one does not
	// count as a response.
	maxResponseBytes = 64 << 10
)

var errResponseTooLarge = errors.New("the response exceeds the size limit")

// MaxSendDelay is how long after a holder acquired the lease it may still send an
// order, as its calls time out by then. A new holder waits for it, in addition to
// the configured wait, before its first order.
const MaxSendDelay = leaseTimeout + 2*callTimeout + drainTimeout

// Order is a command to an engine to change its role.
type Order struct {
	To     parser.Role
	Holder identifier.VMName
	Token  identifier.FencingToken
	// ExpectedSequence is the number of orders that the engine must have accepted
	// so far.
	ExpectedSequence int64
}

// EngineState is the state that an engine reports.
type EngineState struct {
	Role parser.Role
	// IsChangingRole is true while the engine carries out an earlier order.
	IsChangingRole bool
	// Sequence is the number of orders that the engine accepted since it started.
	Sequence int64
}

// Outcome is the result of an order.
type Outcome string

// The outcomes of an order.
const (
	OutcomeAccepted      Outcome = "accepted"
	OutcomeAlreadyInRole Outcome = "holds-already"
	OutcomeConflict      Outcome = "conflict"
	OutcomeFenced        Outcome = "fenced"
	OutcomeRefused       Outcome = "refused"
	// OutcomeUnknown means that the engine may carry out the order, even later.
	OutcomeUnknown Outcome = "unknown"
)

// Protocol encodes and decodes the messages for orders and engine states.
type Protocol struct {
	EncodeStateRequest func(engine registrar.Entry) exchanger.Request
	DecodeState        func(body []byte) (EngineState, error)
	EncodeOrder        func(engine registrar.Entry, order Order) (exchanger.Request, error)
	DecodeOutcome      func(status int) Outcome
}

// Rebalancer sends orders to engines.
type Rebalancer struct {
	Self identifier.VMName
	// Services returns the model services whose requests this daemon places.
	Services func() []identifier.ServiceName
	// IsEnabled reports whether the settings allow role changes.
	IsEnabled func() bool
	Placer    *placer.Placer
	Leaser    *leaser.Leaser
	Exchange  func(ctx context.Context, engine registrar.Entry, message exchanger.Request) (*exchanger.Response, error)
	Protocol  Protocol

	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter

	// backoffUntil is accessed by Run only.
	backoffUntil map[identifier.ServiceName]time.Time
}

// New returns a rebalancer that has sent no order yet. The caller sets its exported
// fields before Run.
func New() *Rebalancer {
	return &Rebalancer{backoffUntil: make(map[identifier.ServiceName]time.Time)}
}

// Run checks the balance of the roles and sends orders until the context ends.
func (r *Rebalancer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		repeater.Sleep(ctx, r.Clock, adjustInterval)
		if !r.IsEnabled() {
			continue
		}
		for _, service := range r.Services() {
			if r.Clock.Now().Before(r.backoffUntil[service]) {
				continue
			}
			err := r.adjust(ctx, service)
			if err != nil && ctx.Err() == nil {
				r.backoffUntil[service] = r.Clock.Now().Add(failureBackoff)
				r.Log.Info("An engine's role was not changed.", "service", service, "err", err)
			}
		}
	}
	return ctx.Err()
}

// adjust changes the role of one engine if that raises the load that a service's
// engines can serve. It asks the placer again after it acquired the lease, as the
// recommendation may have changed meanwhile.
func (r *Rebalancer) adjust(ctx context.Context, service identifier.ServiceName) error {
	_, wanted := r.Placer.RecommendRoleChange(service)
	if !wanted {
		return nil
	}
	_, held, err := r.acquireLease(ctx, service)
	if err != nil || !held {
		return err
	}
	change, wanted := r.Placer.RecommendRoleChange(service)
	if !wanted {
		return nil
	}
	r.Placer.BeginRoleChange(service, change.Engine.Name, change.To)
	r.awaitDrained(ctx, service, change.Engine.Name)
	outcome, err := r.sendOrder(ctx, service, change)
	r.countOutcome(outcome)
	r.Log.Info("An engine was told to change its role.", "engine", change.Engine.Name, "to", change.To, "outcome", outcome,
		"prefill", change.PrefillCount, "decode", change.DecodeCount, "wanted", change.TargetPrefillCount,
		"prefill-ms", change.PrefillTime.Milliseconds(), "decode-ms", change.DecodeTime.Milliseconds(), "err", err)
	switch outcome {
	case OutcomeAccepted, OutcomeUnknown:
		return err
	case OutcomeFenced:
		r.Leaser.MarkFenced(string(service))
	case OutcomeAlreadyInRole, OutcomeConflict, OutcomeRefused:
	}
	r.Placer.CancelRoleChange(service, change.Engine.Name)
	return err
}

func (r *Rebalancer) countOutcome(outcome Outcome) {
	if outcome == OutcomeAccepted {
		r.Meter.CountEvent(meter.EventRoleOrder)
		return
	}
	r.Meter.CountEvent(meter.EventFailedRoleOrder)
}

// awaitDrained waits until an engine has no prefill left to finish and no decode
// left to start, at most for drainTimeout.
func (r *Rebalancer) awaitDrained(ctx context.Context, service identifier.ServiceName, name identifier.UpstreamName) {
	start := r.Clock.Now()
	for ctx.Err() == nil && r.Clock.Since(start) < drainTimeout && !r.Placer.HasNoPendingWork(service, name) {
		repeater.Sleep(ctx, r.Clock, drainPollInterval)
	}
}

func (r *Rebalancer) acquireLease(ctx context.Context, service identifier.ServiceName) (token identifier.FencingToken, held bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	return r.Leaser.Acquire(ctx, string(service))
}

// sendOrder reads an engine's state, acquires the lease again and sends one order.
// It sends nothing if the engine's role differs from the registered one or is
// being changed.
func (r *Rebalancer) sendOrder(ctx context.Context, service identifier.ServiceName, change placer.RoleChange) (Outcome, error) {
	state, err := r.fetchState(ctx, change.Engine)
	if err != nil {
		return OutcomeRefused, fmt.Errorf("read the engine's state: %w", err)
	}
	if state.IsChangingRole || state.Role != change.Engine.Role {
		return OutcomeConflict, fmt.Errorf("the engine has the role %s, busy %t", state.Role, state.IsChangingRole)
	}
	token, held, err := r.acquireLease(ctx, service)
	if err != nil || !held {
		return OutcomeRefused, errors.Join(err, errors.New("this daemon does not hold the lease"))
	}
	message, err := r.Protocol.EncodeOrder(change.Engine, Order{To: change.To, Holder: r.Self, Token: token, ExpectedSequence: state.Sequence})
	if err != nil {
		return OutcomeRefused, err
	}
	status, _, err := r.send(ctx, change.Engine, message)
	switch {
	case err != nil && !exchanger.MaybeSent(err):
		return OutcomeRefused, err
	case err != nil:
		return OutcomeUnknown, err
	}
	outcome := r.Protocol.DecodeOutcome(status)
	if outcome != OutcomeAccepted {
		return outcome, fmt.Errorf("status %d", status)
	}
	return outcome, nil
}

// fetchState requests an engine's state.
func (r *Rebalancer) fetchState(ctx context.Context, engine registrar.Entry) (state EngineState, err error) {
	status, body, err := r.send(ctx, engine, r.Protocol.EncodeStateRequest(engine))
	if err != nil {
		return state, err
	}
	if status != http.StatusOK {
		return state, fmt.Errorf("status %d", status)
	}
	return r.Protocol.DecodeState(body)
}

func (r *Rebalancer) send(ctx context.Context, engine registrar.Entry, message exchanger.Request) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := r.Exchange(ctx, engine, message)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errResponseTooLarge
	}
	return response.StatusCode, body, err
}
