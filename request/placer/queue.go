package placer

import (
	"net/http"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/quarantiner"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// prefillAllowance is the time that MaxWait leaves for the prefill. A request whose prompt
// takes longer must begin earlier, or its prompt is read in vain.
const prefillAllowance = 300 * time.Millisecond

// PendingRequest is a submitted request whose outcome may not be known yet.
type PendingRequest struct {
	// Outcome receives exactly one outcome, unless the request is cancelled first.
	Outcome chan Outcome

	request  Request
	queuedAt time.Time
	// latestStart is the latest time at which a prefill can start and still
	// produce the first event by the deadline.
	latestStart    time.Time
	expiresAt      time.Time
	expectedOutput float64
	// urgency orders the queue of ChoiceBySpeed; lower values go first. isOverdue is set
	// once the request goes first because it would starve otherwise.
	urgency   time.Duration
	isOverdue bool
	// reserved is the engine on which a request without room waits to begin.
	reserved *engine
}

// Outcome is a grant, or a refusal if Refusal is not nil.
type Outcome struct {
	Grant   Grant
	Refusal *refuser.Refusal
}

// Submit queues a request. It refuses the request at once if a part of its prompt is
// quarantined, an engine role is missing, the prompt does not fit, or the estimated
// queue time exceeds MaxWait. The caller must call ProcessQueue next.
func (p *Pool) Submit(req Request, now time.Time) *PendingRequest {
	pending := &PendingRequest{
		Outcome:        make(chan Outcome, 1),
		request:        req,
		queuedAt:       now,
		latestStart:    now.Add(req.TimeToDeadline - duration(tokens(req.PromptTokens)/p.meanPrefillRate()) - transferTime),
		expiresAt:      now.Add(req.MaxWait),
		expectedOutput: expectedOutput(req),
	}
	if p.Choice == ChoiceBySpeed {
		readTime := duration(tokens(req.PromptTokens) / p.meanPrefillRate())
		pending.expiresAt = pending.expiresAt.Add(-max(0, readTime+transferTime-prefillAllowance))
	}
	verdict := p.judge(pending, now)
	if verdict.Ruling == quarantiner.Refuse {
		pending.refuseQuarantined(verdict)
		return pending
	}
	p.mix.add(tokens(req.PromptTokens), pending.expectedOutput)
	switch wait := p.estimateQueueTime(); {
	case !p.hasRole(parser.RoleDecode) || !p.hasRole(parser.RolePrefill):
		pending.refuse(refuser.NoUpstream, "no engine is known", minRetryAfter)
	case tokens(req.PromptTokens)+blockTokens > tokens(p.profile.KVCacheCapacity):
		pending.refuse(refuser.PromptTooLarge, "the prompt exceeds an engine's memory", maxRetryAfter)
	case wait > req.MaxWait && p.Choice != ChoiceBySpeed:
		pending.refuse(refuser.QueueFull, "more waits than the engines can serve in time", wait-req.MaxWait)
	default:
		p.queue = append(p.queue, pending)
	}
	return pending
}

func (r *PendingRequest) refuse(code refuser.Code, reason string, retryAfter time.Duration) {
	retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	r.Outcome <- Outcome{Refusal: refuser.New(http.StatusServiceUnavailable, code, "%s", reason).WithRetryAfter(retryAfter)}
}

func (r *PendingRequest) refuseQuarantined(verdict quarantiner.Verdict) {
	refusal := refuser.New(http.StatusServiceUnavailable, refuser.Quarantined, "the prompt part %s crashes engines", verdict.Part)
	r.Outcome <- Outcome{Refusal: refusal.WithRetryAfter(verdict.RetryAfter)}
}

// judge also holds a retry whose failed engine the pool has not heard of, because
// reports are sent in batches and may arrive after the retry.
func (p *Pool) judge(pending *PendingRequest, now time.Time) quarantiner.Verdict {
	req := pending.request
	verdict := p.quarantine.Judge(req.PromptParts, shapeOf(req), req.Avoid, now)
	if verdict.Ruling != quarantiner.Refuse && p.awaitsReport(req) {
		return quarantiner.Verdict{Ruling: quarantiner.Hold, Part: req.PromptParts[0], MayHaveCrashed: true}
	}
	return verdict
}

// awaitsReport reports whether a retry's earlier placement is still before its output on
// an engine that the retry avoids.
func (p *Pool) awaitsReport(req Request) bool {
	if len(req.Avoid) == 0 || len(req.PromptParts) == 0 {
		return false
	}
	for _, pl := range p.placements {
		if pl.isStarting && pl.key.Requester == req.Key.Requester && pl.shape == shapeOf(req) && slices.Contains(req.Avoid, pl.decode.entry.Name) {
			return true
		}
	}
	return false
}

func shapeOf(req Request) quarantiner.Shape {
	return quarantiner.Shape{PromptTokens: req.PromptTokens, MaxOutput: req.MaxOutput, OutputHint: req.OutputHint, OwnPart: req.OwnPart}
}

// Cancel removes a request from the queue. It returns false if the request
// already has an outcome.
func (p *Pool) Cancel(pending *PendingRequest) bool {
	index := slices.Index(p.queue, pending)
	if index < 0 {
		return false
	}
	p.queue = slices.Delete(p.queue, index, index+1)
	return true
}

// estimateQueueTime estimates how long the decode engines need for the queued
// requests: the requests' memory integrated over time, divided by the engines'
// memory.
func (p *Pool) estimateQueueTime() time.Duration {
	need := 0.0
	for _, pending := range p.queue {
		need += tokenSeconds(tokens(pending.request.PromptTokens), pending.expectedOutput, p.meanDecodeRate())
	}
	capacity := p.decodeCapacity()
	if capacity == 0 {
		return 0
	}
	return duration(need / capacity)
}

// ProcessQueue assigns engines to queued requests in order, and refuses requests
// whose MaxWait has passed. Requests with a suspected prompt part wait without holding
// back others. It returns the number of requests still queued.
func (p *Pool) ProcessQueue(now time.Time) int {
	p.releaseExpired(now)
	p.settleOutputs(now)
	p.sortQueue(now)
	waiting := p.queue[:0]
	pass := p.newPass()
	for _, pending := range p.queue {
		verdict := p.judge(pending, now)
		isHeld := verdict.Ruling == quarantiner.Hold
		hasExpired := !now.Before(pending.expiresAt)
		switch {
		case verdict.Ruling == quarantiner.Refuse:
			pending.refuseQuarantined(verdict)
		case isHeld && (hasExpired || (verdict.MayHaveCrashed && now.Sub(pending.queuedAt) >= maxRetryHold)):
			pending.refuse(refuser.CrashSuspected, "the prompt part "+string(verdict.Part)+" may crash engines", minRetryAfter)
		case hasExpired:
			pending.refuse(refuser.QueueFull, "no engine became free in time", p.estimateQueueTime()/2)
		case isHeld:
			waiting = append(waiting, pending)
		case !pass.place(pending, verdict.Ruling == quarantiner.Test, now) && !pass.refuseUnservable(pending, now):
			waiting = append(waiting, pending)
		}
	}
	p.queue = waiting
	return len(p.queue)
}

// sortQueue orders the queue as the choice of engines demands.
func (p *Pool) sortQueue(now time.Time) {
	if p.Choice == ChoiceBySpeed {
		p.sortByUrgency(now)
		return
	}
	slices.SortStableFunc(p.queue, func(a, b *PendingRequest) int { return compareQueued(a, b, now) })
}

// compareQueued orders queued requests: those that can still meet their deadline
// come first, then lower priority values, then earlier arrivals.
func compareQueued(a, b *PendingRequest, now time.Time) int {
	aLate, bLate := now.After(a.latestStart), now.After(b.latestStart)
	switch {
	case aLate != bLate && bLate:
		return -1
	case aLate != bLate:
		return 1
	case a.request.Priority != b.request.Priority:
		return a.request.Priority - b.request.Priority
	}
	return a.queuedAt.Compare(b.queuedAt)
}
