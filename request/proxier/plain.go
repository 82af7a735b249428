package proxier

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"sassafraspass.dev/sassafraspass/connection/exchanger"
	"sassafraspass.dev/sassafraspass/connection/rationer"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/ejector"
	"sassafraspass.dev/sassafraspass/request/requester"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// maxHops limits the sends per request, including those that upstreams rejected.
	maxHops = 3
	// maxBufferedBytes is the response size up to which a body is read completely
	// before it is relayed, so that a request with a truncated response can still be
	// retried.
	maxBufferedBytes = 256 << 10
	// hopTimeFraction is the fraction of the remaining time that one hop of an
	// idempotent request may use before another upstream is tried.
	hopTimeFraction = 0.45
)

// hopResult is the outcome of one hop.
type hopResult struct {
	// response is nil if the hop failed with err. body holds the first part of the
	// response body, and hasMore reports that the rest must still be read from
	// response.
	response *exchanger.Response
	body     []byte
	hasMore  bool
	// notRun is set if the upstream certainly did not execute the request.
	notRun bool
	// misdirected is set if a different upstream responded at the address.
	misdirected bool
	// incomplete is set if a part of a response arrived and its end did not.
	incomplete bool
	err        error
	// refusal is set if the request was refused a server for the next hop.
	refusal *refuser.Refusal
	// end records the outcome of a hop whose response has more than body. It is nil
	// if the outcome is already recorded.
	end func(ejector.Outcome)
	// ration holds the memory of body.
	ration *rationer.Ration
}

func (r hopResult) isFailure() bool {
	return r.err != nil || r.response.StatusCode >= http.StatusInternalServerError
}

// servePlain serves a request to a plain service, by sending it whole to one upstream
// after the other.
func (p *Proxier) servePlain(ctx context.Context, rs *requestState) (*refuser.Refusal, error) {
	usable, refusal := p.usableUpstreams(rs)
	if refusal != nil {
		return refusal, nil
	}
	last := p.sendWithRetries(ctx, rs, p.Ejector.Order(usable))
	if last.refusal != nil {
		last.close()
		return p.admissionRefusal(ctx, rs, last.refusal), nil
	}
	if last.err == nil && !last.notRun {
		return nil, p.relayResponse(ctx, rs, last)
	}
	last.close()
	if last.notRun && !rs.mayHaveRun && ctx.Err() == nil {
		_, refusal = p.usableUpstreams(rs)
		if refusal != nil {
			return refusal, nil
		}
	}
	if last.notRun && !rs.mayHaveRun {
		return p.noResponseRefusal(ctx, rs, refuser.QueueFull, "the service is full"), nil
	}
	return p.noResponseRefusal(ctx, rs, refuser.UpstreamFailed, "the service did not answer"), nil
}

// sendWithRetries sends a request to one upstream after the other until one
// succeeds or no retry is allowed, and returns the last result.
func (p *Proxier) sendWithRetries(ctx context.Context, rs *requestState, upstreams []registrar.Entry) (last hopResult) {
	isIdempotent := rs.route.Kind == parser.RouteIdempotent
	executions := 0
	last = hopResult{err: errHeldBack, notRun: true}
	var tried []identifier.UpstreamName
	for hop := 0; hop < maxHops && ctx.Err() == nil; hop++ {
		upstream, admission, denial := p.chooseUpstream(ctx, rs, upstreams, tried)
		if denial != nil {
			last.refusal = denial.refusalAfter(last)
			return last
		}
		tried = append(tried, upstream.Name)
		last.close()
		canRetryElsewhere := hop+1 < maxHops && isIdempotent && executions+1 < rs.route.MaxAttempts && len(upstreams) > 1
		last = p.sendHop(ctx, rs, upstream, upstreams, admission, canRetryElsewhere)
		if !last.notRun {
			executions++
		}
		if !last.isFailure() && !last.notRun {
			return last
		}
		p.Log.Info("A hop failed.", "id", rs.req.ID, "upstream", upstream.Name, "reason", retryReason(last), "not-run", last.notRun, "status", last.status(), "err", last.err)
		mayRun := last.notRun || (isIdempotent && executions < rs.route.MaxAttempts)
		if !mayRun || ctx.Err() != nil || !p.beginRetry(rs, last, upstreams, hop+1) {
			return last
		}
	}
	return last
}

// beginRetry reports whether a request may be sent again as the given hop, which then
// has taken a retry from the budget.
func (p *Proxier) beginRetry(rs *requestState, last hopResult, upstreams []registrar.Entry, hop int) bool {
	_, ok := p.nextUpstream(upstreams, hop)
	return ok && hop < maxHops && p.takeRetry(rs, retryReason(last))
}

// takeRetry takes one retry from the service's retry budget and counts it under
// reason. It reports whether there was one.
func (p *Proxier) takeRetry(rs *requestState, reason meter.RetryReason) bool {
	if !p.RetryBudget.TakeRetry(rs.service.Name) {
		p.Meter.CountRetry(meter.RetryBudgetSpent)
		return false
	}
	p.Meter.CountRetry(reason)
	return true
}

func (r hopResult) status() int {
	if r.response == nil {
		return 0
	}
	return r.response.StatusCode
}

func (r hopResult) close() {
	r.ration.Release()
	if r.response != nil {
		_ = r.response.Body.Close()
	}
}

func retryReason(r hopResult) meter.RetryReason {
	switch {
	case r.misdirected:
		return meter.RetryUpstreamReplaced
	case r.notRun && r.err == nil:
		return meter.RetryUpstreamFull
	case r.err == nil:
		return meter.RetryErrorStatus
	}
	return meter.RetryConnect
}

// sendHop sends a request to one upstream, reads its response and records the outcome
// in the ejector and the admission. If the request can be retried elsewhere, the hop may
// use only hopTimeFraction of the remaining time. The rest of a response that is relayed
// in parts may use all of it, as no other server can be tried by then.
func (p *Proxier) sendHop(ctx context.Context, rs *requestState, upstream registrar.Entry, peers []registrar.Entry, admission *requester.Admission, canRetryElsewhere bool) (r hopResult) {
	done := p.beginHop(upstream, peers, admission)
	hopCtx, cancel := context.WithCancelCause(ctx)
	endHop := func() { cancel(nil) }
	if canRetryElsewhere {
		left := rs.deadline.Sub(p.Clock.Now())
		hopTimer := p.Clock.AfterFunc(time.Duration(hopTimeFraction*float64(left)), func() { cancel(context.DeadlineExceeded) })
		defer hopTimer.Stop()
	}
	r = p.exchange(hopCtx, rs, upstream, Hop{Upstream: upstream, Stage: StagePlain})
	if r.response == nil || !r.hasMore {
		endHop()
	} else {
		r.response.Body = &cancelOnClose{ReadCloser: r.response.Body, cancel: endHop}
	}
	switch {
	case r.incomplete && !errors.Is(ctx.Err(), context.Canceled):
		done(ejector.Failed)
	case ctx.Err() != nil && r.err != nil:
		done(ejector.Abandoned)
	case r.notRun:
		admission.End(unsentOutcome(r))
		done(ejector.Rejected)
	case r.isFailure():
		done(ejector.Failed)
	case r.hasMore:
		r.end = done
	default:
		done(ejector.Succeeded)
	}
	return r
}

// cancelOnClose is a response body that cancels its context when it is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel func()
}

// Close closes the body and cancels its context.
func (b *cancelOnClose) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// exchange sends one hop and reads up to maxBufferedBytes of the response body.
func (p *Proxier) exchange(ctx context.Context, rs *requestState, upstream registrar.Entry, hop Hop) (r hopResult) {
	if hop.Stage == StagePlain && !p.takeCold(upstream) {
		return hopResult{err: &exchanger.SendError{Err: errCold}, notRun: true}
	}
	rs.hops++
	rs.upstream = upstream.Name
	defer p.beginZoneLoad(rs, upstream, hop.Stage)(&r)
	sentAt := p.Clock.Now()
	response, err := p.sendHopRequest(ctx, rs, hop)
	p.Meter.ObserveDuration(meter.TimingUpstream, p.Clock.Since(sentAt))
	if err != nil {
		r.err = err
		r.notRun = !exchanger.MaybeSent(err)
		r.incomplete = exchanger.IsIncomplete(err)
		rs.mayHaveRun = rs.mayHaveRun || !r.notRun
		return r
	}
	r.response = response
	r.notRun = p.isNotRun(response)
	r.misdirected = p.isMisdirected(response)
	if r.misdirected {
		p.Registrar.MarkStale(upstream)
		p.Log.Info("An address has another upstream.", "id", rs.req.ID, "upstream", upstream.Name, "offset", upstream.Position)
	}
	rs.mayHaveRun = rs.mayHaveRun || !r.notRun
	r.ration = p.Memory.Begin()
	r.body, r.hasMore, err = readBodyPrefix(r.ration, response, maxBufferedBytes)
	if err != nil {
		r.ration.Release()
		_ = response.Body.Close()
		return hopResult{err: fmt.Errorf("read the response of %s: %w", upstream.Name, err), notRun: r.notRun, misdirected: r.misdirected, incomplete: true}
	}
	if !r.hasMore {
		_ = response.Body.Close()
	}
	return r
}

// readBodyPrefix reads up to limit bytes of a response, or fewer if no memory is left.
// hasMore reports whether more bytes may follow.
func readBodyPrefix(ration *rationer.Ration, response *exchanger.Response, limit int64) (prefix []byte, hasMore bool, err error) {
	prefix, err = ration.ReadAll(io.LimitReader(response.Body, limit), min(response.ContentLength, limit))
	if errors.Is(err, rationer.ErrExhausted) {
		return prefix, true, nil
	}
	if err != nil {
		return nil, false, err
	}
	return prefix, int64(len(prefix)) == limit, nil
}

// relayResponse writes the upstream's response to the caller, unchanged except for
// hop-by-hop headers. Its error wraps ErrResponseTruncated.
func (p *Proxier) relayResponse(ctx context.Context, rs *requestState, r hopResult) (err error) {
	defer r.close()
	outcome := ejector.Abandoned
	if r.end != nil {
		defer func() { r.end(outcome) }()
	}
	length := int64(-1)
	if !r.hasMore {
		length = int64(len(r.body))
	} else if r.response.ContentLength >= 0 {
		length = r.response.ContentLength
	}
	rs.w.writeHeader(r.response.StatusCode, r.response.Header, length)
	err = rs.w.write(r.body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrResponseTruncated, err)
	}
	if !r.hasMore {
		return nil
	}
	remainder := &remainderReader{body: r.response.Body}
	_, err = io.Copy(rs.w, remainder)
	if remainder.err != nil && !errors.Is(ctx.Err(), context.Canceled) {
		outcome = ejector.Failed
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrResponseTruncated, err)
	}
	outcome = ejector.Succeeded
	return nil
}

// remainderReader reads the remainder of a response body and keeps the error, which
// tells a failure of the upstream from one of the caller.
type remainderReader struct {
	body io.Reader
	err  error
}

// Read reads from the body.
func (r *remainderReader) Read(p []byte) (n int, err error) {
	n, err = r.body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}
