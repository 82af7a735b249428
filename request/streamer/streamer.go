// Package streamer serves a completion through a pair of engines, a prefill engine
// and a decode engine, and streams its tokens to the caller. It uses the engines that
// the configuration lists; package proxier serves requests with those that register
// themselves on a platform.
//
//	wait for an engine pair -> prefill -> KV cache transfer -> decode -> caller
//	        ^                     |               |              |
//	        +---------------------+---------------+--------------+
//	         retry with another engine, the prompt and the tokens so far
package streamer

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/connection/messenger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/asserter"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/allocator"
	"sassafraspass.dev/sassafraspass/request/coordinator"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// maxTries is the largest number of engine pairs that a completion is tried
	// with, and of resumptions of an interrupted stream in a row.
	maxTries = 4
	// tokenTimeout is the longest gap between frames before a stream is treated as
	// interrupted.
	tokenTimeout = 10 * time.Second
	// maxRepeatedFrames limits the repeated frames in a row.
	maxRepeatedFrames = 1000
	resumeTimeout     = time.Second
	retryAfter        = time.Second
)

// Request is a completion request.
type Request struct {
	Workspace parser.Workspace
	Class     parser.Class
	Model     identifier.ModelName
	Prompt    string
	// MaxOutput is the largest number of tokens to generate, zero if it is not known, as
	// after a resumption at another daemon.
	MaxOutput int
	Arrived   time.Time
	// FirstTokenDeadline is the time by which the first token is due.
	FirstTokenDeadline time.Time
}

// Token is one generated token to deliver to the caller.
type Token struct {
	Upstream identifier.UpstreamName
	Attempt  identifier.AttemptID
	Index    int
	Text     string
}

// Sink receives the tokens of one completion in order. It returns an error if the
// caller disconnected.
type Sink func(token Token) error

// Result is the outcome of a completion.
type Result struct {
	// OutputTokens is the number of tokens delivered, including those that the
	// caller had before a resumption.
	OutputTokens int
	// FinishReason is the reason that the engine gave in the final frame; empty if
	// the completion is incomplete.
	FinishReason string
}

// Streamer serves completions.
type Streamer struct {
	Allocator *allocator.Allocator
	Engines   *dispatcher.EngineClient
	// BeginAttempts records attempts in the journal before they are sent.
	BeginAttempts func(ctx context.Context, attempts ...messenger.Attempt)
	// EndAttempt removes an attempt from the journal when no engine runs it any
	// more.
	EndAttempt func(attempt identifier.AttemptID)
	// CancelAttempt cancels an attempt at an engine, and removes it from the
	// journal afterwards.
	CancelAttempt func(address identifier.Address, attempt identifier.AttemptID)
	RetryBudget   *RetryBudget
	Clock         clockwork.Clock
	Log           *slog.Logger
	Meter         *meter.Meter
	Assert        *asserter.Asserter
}

// requestState is the state of a completion in progress.
type requestState struct {
	*Streamer
	req  Request
	sink Sink
	// output holds the texts of the tokens that the caller has received.
	output []string
	// avoid lists the engines that the next pair must not contain, as they failed
	// during this request.
	avoid        []identifier.UpstreamName
	finishReason string
	tries        int
	// mayHaveRun is set once the request was sent to an engine.
	mayHaveRun bool
	// callerErr is the sink's error after the caller disconnected.
	callerErr error
}

// Serve runs a completion to its final frame and passes its tokens to sink. If it
// returns a refusal, the tokens that sink received are an incomplete response.
func (s *Streamer) Serve(ctx context.Context, req Request, sink Sink) (Result, *refuser.Refusal) {
	r := &requestState{Streamer: s, req: req, sink: sink}
	refusal := r.serveWithRetries(ctx)
	if refusal == nil {
		s.RetryBudget.Deposit()
	} else if r.mayHaveRun {
		refusal = refusal.AsIndeterminate()
	}
	return Result{OutputTokens: len(r.output), FinishReason: r.finishReason}, refusal
}

// serveWithRetries tries engine pairs until the completion is served. It retries only
// after a failure of an engine, within maxTries and the retry budget.
func (r *requestState) serveWithRetries(ctx context.Context) *refuser.Refusal {
	for {
		refusal := r.tryPair(ctx)
		if refusal == nil {
			return nil
		}
		if ctx.Err() != nil || r.callerErr != nil {
			return r.contextRefusal(ctx)
		}
		if refusal.Code != refuser.UpstreamFailed {
			return refusal
		}
		r.tries++
		if r.tries >= maxTries {
			return refusal
		}
		if !r.RetryBudget.Take() {
			r.Meter.CountRetry(meter.RetryBudgetSpent)
			return refusal
		}
	}
}

// contextRefusal returns the refusal for a completion whose context ended or whose
// caller disconnected: the cause of the context if that is a refusal, CallerGone
// otherwise.
func (r *requestState) contextRefusal(ctx context.Context) *refuser.Refusal {
	var cause *refuser.Refusal
	if errors.As(context.Cause(ctx), &cause) {
		return refuser.NewIndeterminate(cause.Status, cause.Code, "%s", cause.Message)
	}
	return refuser.NewIndeterminate(http.StatusRequestTimeout, refuser.CallerGone, "the caller is gone")
}

// tryPair serves the rest of the completion with one engine pair.
func (r *requestState) tryPair(ctx context.Context) *refuser.Refusal {
	pair, refusal := r.Allocator.Allocate(ctx, r.pairRequest())
	if refusal != nil {
		return refusal
	}
	held := &heldPair{EnginePair: pair}
	defer held.release()
	attempt := identifier.NewAttemptID()
	r.BeginAttempts(ctx,
		messenger.Attempt{ID: attempt, Upstream: pair.Prefill.Name, Address: pair.Prefill.Address},
		messenger.Attempt{ID: attempt, Upstream: pair.Decode.Name, Address: pair.Decode.Address})
	prefilled, refusal := r.prefill(ctx, pair, attempt)
	if refusal != nil {
		r.CancelAttempt(pair.Prefill.Address, attempt)
		r.CancelAttempt(pair.Decode.Address, attempt)
		return refusal
	}
	return r.decode(ctx, held, attempt, prefilled)
}

// pairRequest returns the request for an engine pair. Only the first token has a
// deadline; after it, the wait is limited by tokenTimeout.
func (r *requestState) pairRequest() coordinator.Request {
	now := r.Clock.Now()
	maxWait := r.req.FirstTokenDeadline.Sub(now)
	if len(r.output) > 0 {
		maxWait = tokenTimeout
	}
	prompt := r.currentPrompt()
	tokens := dispatcher.CountTokens(prompt)
	return coordinator.Request{
		Model:        r.req.Model,
		Workspace:    r.req.Workspace.Name,
		Class:        r.req.Class,
		Cost:         tokens + identifier.Tokens(r.req.MaxOutput),
		Weight:       r.req.Workspace.Rate,
		Waited:       now.Sub(r.req.Arrived),
		MaxWait:      maxWait,
		PromptTokens: tokens,
		Blocks:       dispatcher.PromptBlockHashes(r.req.Model, prompt),
		Avoid:        r.avoid,
	}
}

// currentPrompt returns the prompt followed by the tokens that the caller has
// received.
func (r *requestState) currentPrompt() string {
	return r.req.Prompt + strings.Join(r.output, "")
}

// prefillResult is a KV cache that a prefill engine keeps for a transfer until it
// expires.
type prefillResult struct {
	source  dispatcher.KVSource
	expires time.Time
}

// prefill computes the KV cache of the current prompt at the pair's prefill engine.
func (r *requestState) prefill(ctx context.Context, pair *allocator.EnginePair, attempt identifier.AttemptID) (prefillResult, *refuser.Refusal) {
	prompt := r.currentPrompt()
	r.mayHaveRun = true
	started := r.Clock.Now()
	r.Meter.CountEvent(meter.EventPrefill)
	resp, err := r.Engines.Prefill(ctx, pair.Prefill.Address, dispatcher.PrefillRequest{
		Attempt:   attempt,
		Workspace: r.req.Workspace.Name,
		Model:     r.req.Model,
		Prompt:    prompt,
		Priority:  enginePriority(r.req.Class),
	})
	if err != nil {
		r.recordEngineFailure(ctx, pair.Prefill.Name, meter.RetryPrefill, err, pair.PrefillEngineFailed)
		pair.PrefillEnded(0)
		return prefillResult{}, upstreamRefusal("the prefill failed")
	}
	now := r.Clock.Now()
	pair.PrefillEnded(now.Sub(started))
	return prefillResult{
		source:  dispatcher.KVSource{Address: pair.Prefill.Address, Handle: resp.Handle},
		expires: now.Add(resp.HandleTTL()),
	}, nil
}

// recordEngineFailure makes the rest of this request avoid an engine. Unless the
// engine responded with an error status, it also calls reportFailure, which ejects the
// engine for all requests. It records nothing if the request itself has ended.
func (r *requestState) recordEngineFailure(ctx context.Context, engine identifier.UpstreamName, reason meter.RetryReason, err error, reportFailure func()) {
	if ctx.Err() != nil {
		return
	}
	r.Meter.CountRetry(reason)
	r.Log.Warn("An engine failed.", "engine", engine, "reason", reason, "err", err)
	r.avoid = append(r.avoid, engine)
	var status *dispatcher.StatusError
	if !errors.As(err, &status) {
		reportFailure()
	}
}

// heldPair is the engine pair to release at the end. A failed transfer may replace it.
type heldPair struct {
	*allocator.EnginePair
}

func (h *heldPair) release() {
	h.Release()
}

// enginePriority returns the priority of a class at an engine; 0 goes first.
func enginePriority(class parser.Class) int {
	if class == parser.ClassInteractive {
		return 0
	}
	return 1
}

// upstreamRefusal returns the refusal of a completion that failed at its engines.
func upstreamRefusal(message string) *refuser.Refusal {
	return refuser.NewIndeterminate(http.StatusBadGateway, refuser.UpstreamFailed, "%s", message).WithRetryAfter(retryAfter)
}
