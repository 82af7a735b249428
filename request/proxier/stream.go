package proxier

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/connection/exchanger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/placer"
)

const (
	// maxPlacements limits the engine pairs that one request may use.
	maxPlacements = 3
	// A caller gives up on a stream after the longest of minEventWait,
	// objectiveWaitFactor times the latency objective, and gapWaitFactor times the
	// longest allowed gap between events. eventWaitMargin is left for the event's
	// way to the caller.
	minEventWait         = 2 * time.Second
	objectiveWaitFactor  = 4
	gapWaitFactor        = 8
	eventWaitMargin      = 250 * time.Millisecond
	freeKVHandleTimeout  = time.Second
	maxFreeResponseBytes = 64 << 10
	readBufferBytes      = 8 << 10
	// maxEventBytes limits the size of an event, and the bytes between two events.
	maxEventBytes = 64 << 10
	// minPrefillTime is the time that the wait for engines must leave for the
	// prefill.
	minPrefillTime = 300 * time.Millisecond
	// retriesPerPlacement is the number of retries that another engine pair takes
	// from the retry budget: a prefill and a decode.
	retriesPerPlacement = 2
	statusClassDivisor  = 100
	statusClassSuccess  = 2
)

// errIncompleteStream means that a stream ended before its first event or inside an
// event.
var errIncompleteStream = errors.New("the stream ended before its first event or inside an event")

// errCallerWrite means that the caller's connection failed, not the engine.
var errCallerWrite = errors.New("cannot write to the caller")

// errResponseTooLarge means that the response of an engine has maxBufferedBytes or
// more.
var errResponseTooLarge = errors.New("the response exceeds the size limit")

// errEventTooLarge means that a stream has more than maxEventBytes without a complete
// event.
var errEventTooLarge = errors.New("the stream has no complete event within the size limit")

// errNoPrefillResponse means that no complete response to a prefill arrived.
var errNoPrefillResponse = errors.New("the prefill engine did not respond")

// errCannotResume means that an engine responded to a request to resume a stream with a
// failure, or with something that does not continue the stream.
var errCannotResume = errors.New("the engine cannot resume the stream")

// errNoEvent means that a stream contains a block that is no part of an event stream.
var errNoEvent = errors.New("the stream contains something that is no event")

// noCrashErrors are the errors of streams whose engine did not break off.
var noCrashErrors = []error{errCallerWrite, errEventTooLarge, errCannotResume, errNoEvent, exchanger.ErrHeadTooLarge, exchanger.ErrInvalidStatus, exchanger.ErrMismatchedResponse}

// streamState is the state of a stream in progress, which may be served by several
// engine pairs in turn.
type streamState struct {
	*requestState
	placementRequest placer.Request
	// excluded lists engines that failed or rejected the request.
	excluded []identifier.UpstreamName
	// placements counts the engine pairs that were granted, and lastRefusal is the
	// outcome of the latest one.
	placements  int
	lastRefusal *refuser.Refusal
	// contentType is that of the response that the caller receives.
	contentType string
	// lastEventID is the id of the last event that the caller received.
	lastEventID string
	// eventCount is the number of complete events from all decode engines.
	eventCount int
	// decodeExecutions counts the decode engines that may have executed the request.
	decodeExecutions int
	// waitingSince is when the caller began to wait for the next event: the arrival, or
	// the latest event.
	waitingSince time.Time
	// hasEngineHeader is set once the current decode engine has sent the header of its
	// response, and hasEngineOutput once it has sent an event.
	hasEngineHeader bool
	hasEngineOutput bool
	reads           promptReads
}

// serveStream sends a request to an engine pair and relays the events to the caller.
// If the pair fails and a retry is allowed, it tries another one.
func (p *Proxier) serveStream(ctx context.Context, rs *requestState) (*refuser.Refusal, error) {
	ss := &streamState{requestState: rs, lastEventID: rs.req.LastEventID, waitingSince: rs.req.Arrived}
	defer func() { p.countUnusedRead(ctx, ss) }()
	var refusal *refuser.Refusal
	for range maxPlacements {
		var retry bool
		var err error
		refusal, retry, err = p.tryPlacement(ctx, ss)
		ss.lastRefusal = refusal
		if refusal == nil && err == nil {
			return nil, nil
		}
		if !retry || ctx.Err() != nil {
			if rs.w.headerSent && err == nil {
				err = ErrResponseTruncated
			}
			if rs.w.headerSent {
				return nil, err
			}
			return refusal, err
		}
	}
	if rs.w.headerSent {
		return nil, ErrResponseTruncated
	}
	return refusal, nil
}

// takePlacementRetry takes the retries for another engine pair from the service's
// retry budget and reports whether there were enough.
func (p *Proxier) takePlacementRetry(rs *requestState) bool {
	for range retriesPerPlacement {
		if !p.RetryBudget.TakeRetry(rs.service.Name) {
			p.Meter.CountRetry(meter.RetryBudgetSpent)
			return false
		}
	}
	return true
}

// tryPlacement serves a stream with one engine pair. If it fails, retry reports
// whether another pair may be tried.
func (p *Proxier) tryPlacement(ctx context.Context, ss *streamState) (refusal *refuser.Refusal, retry bool, err error) {
	ss.placementRequest = p.newPlacementRequest(ss)
	ss.placementRequest.HeldBack, refusal = p.checkEngines(ss.requestState)
	if refusal != nil {
		if ss.mayHaveRun {
			return p.noResponseRefusal(ctx, ss.requestState, refusal.Code, refusal.Message), false, nil
		}
		return refusal, false, nil
	}
	grant, refusal := p.Placements.Place(ctx, ss.service.Name, ss.placementRequest)
	if refusal != nil {
		if ss.mayHaveRun {
			return p.noResponseRefusal(ctx, ss.requestState, refusal.Code, refusal.Message), false, nil
		}
		if refusal.Code == refuser.CallerGone {
			return p.noResponseRefusal(ctx, ss.requestState, refuser.QueueFull, "no engine became free in time"), false, nil
		}
		return refusal, false, nil
	}
	p.Meter.ObserveDuration(meter.TimingEngineWait, grant.Waited)
	p.Log.Log(ctx, logger.Success, "Placed.", "id", ss.req.ID, "placement", ss.placementRequest.Key.Number, "prefill", grant.Prefill, "decode", grant.Decode, "waited-ms", grant.Waited.Milliseconds(), "fill", grant.PeakUtilization)
	report := placer.Report{Key: ss.placementRequest.Key, Step: placer.StepEnded}
	defer func() { p.Placements.Report(ss.service.Name, report) }()
	if ss.placements > 0 && !p.takePlacementRetry(ss.requestState) {
		return ss.lastRefusal, false, nil
	}
	ss.placements++
	prefill, decode, ok := p.findEngines(ss, grant)
	if !ok {
		return p.noResponseRefusal(ctx, ss.requestState, refuser.NoUpstream, "the engine has left"), true, nil
	}
	var handle KVHandle
	var prefillErr error
	if grant.Prefill == "" {
		p.Meter.CountEvent(meter.EventSkippedPrefill)
	} else {
		handle, prefillErr = p.prefill(ctx, ss, prefill)
	}
	if prefillErr != nil {
		if ctx.Err() == nil {
			report.Step = prefillFailureStep(ctx, prefill, prefillErr)
			ss.excluded = append(ss.excluded, prefill.Name)
			ss.reads.cause = meter.WastePrefillFailed
			p.Meter.CountRetry(meter.RetryPrefill)
		}
		return p.noResponseRefusal(ctx, ss.requestState, refuser.PrefillFailed, "the prefill engine failed"), true, nil
	}
	if p.Evacuator.IsEvacuated(prefill.Zone) {
		// The decode engine would fetch the handle from the evacuated zone.
		return p.noResponseRefusal(ctx, ss.requestState, refuser.ZoneEvacuated, "the zone of the prefill engine was evacuated"), true, nil
	}
	return p.decode(ctx, ss, decode, handle, &report)
}

// newPlacementRequest returns the request for an engine pair.
func (p *Proxier) newPlacementRequest(ss *streamState) placer.Request {
	now := p.Clock.Now()
	waited := now.Sub(ss.req.Arrived)
	priority := ss.route.Priority
	if ss.workspace.Priority != nil {
		priority = *ss.workspace.Priority
	}
	placementRequest := placer.Request{
		Key:            p.Placements.NextKey(),
		Priority:       priority,
		TimeToDeadline: ss.route.LatencyObjective - waited,
		MaxWait:        min(maxEngineWait(ss)-now.Sub(ss.waitingSince), ss.deadline.Sub(now)),
		Avoid:          ss.excluded,
		PromptParts:    ss.req.PromptParts,
		OwnPart:        ss.req.OwnPart,
		Workspace:      ss.workspace.Name,
		// An engine that failed the request here is not asked to continue it.
		Resumed: ss.req.LastEventID != "" && len(ss.excluded) == 0,
	}
	if ss.req.Tokens != nil {
		placementRequest.PromptTokens = ss.req.Tokens.PromptTokens
		placementRequest.MaxOutput = ss.req.Tokens.MaxOutput
		placementRequest.OutputHint = ss.req.Tokens.OutputHint
	}
	return placementRequest
}

// maxEngineWait returns how long a stream may wait for engines after its arrival or its
// latest event, so that the next event reaches the caller before the caller gives up.
func maxEngineWait(ss *streamState) time.Duration {
	longest := max(minEventWait, objectiveWaitFactor*ss.route.LatencyObjective, gapWaitFactor*ss.route.MaxEventGap)
	return longest - eventWaitMargin - minPrefillTime
}

// findEngines looks up the granted engines among the ready upstreams. The prefill engine
// is empty if the grant has none.
func (p *Proxier) findEngines(ss *streamState, grant placer.Grant) (prefill, decode registrar.Entry, ok bool) {
	ready := p.Registrar.Ready(ss.service.Name)
	prefillIndex := slices.IndexFunc(ready, func(e registrar.Entry) bool { return e.Name == grant.Prefill })
	decodeIndex := slices.IndexFunc(ready, func(e registrar.Entry) bool { return e.Name == grant.Decode })
	switch {
	case decodeIndex < 0 || !p.isHome(ss.requestState, ready[decodeIndex]):
		return prefill, decode, false
	case grant.Prefill == "":
		return prefill, ready[decodeIndex], true
	case prefillIndex < 0 || !p.isHome(ss.requestState, ready[prefillIndex]):
		return prefill, decode, false
	}
	return ready[prefillIndex], ready[decodeIndex], true
}

// prefill lets an engine compute the KV cache of the prompt. A prefill does not count
// as an execution of the request, so it leaves mayHaveRun unchanged.
func (p *Proxier) prefill(ctx context.Context, ss *streamState, engine registrar.Entry) (handle KVHandle, err error) {
	mayHaveRun := ss.mayHaveRun
	startedAt := p.Clock.Now()
	r := p.exchange(ctx, ss.requestState, engine, Hop{Upstream: engine, Stage: StagePrefill, LastEventID: ss.lastEventID})
	ss.mayHaveRun = mayHaveRun
	defer r.close()
	defer func() {
		if err != nil {
			p.Log.Info("A prefill failed.", "id", ss.req.ID, "upstream", engine.Name, "status", r.status(), "err", err)
		}
	}()
	if r.err != nil {
		return handle, fmt.Errorf("%w: %w", errNoPrefillResponse, r.err)
	}
	if r.response.StatusCode != http.StatusOK {
		return handle, fmt.Errorf("unexpected status %d", r.response.StatusCode)
	}
	if r.hasMore {
		return handle, errResponseTooLarge
	}
	id, err := p.Protocol.DecodeHandle(r.body)
	if err != nil {
		return handle, err
	}
	p.Meter.CountEvent(meter.EventPrefill)
	p.countRead(ss)
	p.Placements.Report(ss.service.Name, placer.Report{Key: ss.placementRequest.Key, Step: placer.StepPrefilled, Elapsed: p.Clock.Since(startedAt)})
	return KVHandle{Engine: engine, ID: id}, nil
}

// decode sends the request to the decode engine and relays its stream. It sets the
// outcome in report. If it fails, retry reports whether another pair may be tried.
func (p *Proxier) decode(ctx context.Context, ss *streamState, engine registrar.Entry, handle KVHandle, report *placer.Report) (refusal *refuser.Refusal, retry bool, err error) {
	ss.hops++
	ss.upstream = engine.Name
	ss.hasEngineHeader, ss.hasEngineOutput = false, false
	hop := Hop{Upstream: engine, Stage: StageDecode, Handle: handle, LastEventID: ss.lastEventID}
	hopCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := p.sendHopRequest(hopCtx, ss.requestState, hop)
	if err != nil {
		p.Log.Info("A decode engine did not respond.", "id", ss.req.ID, "upstream", engine.Name, "sent", exchanger.MaybeSent(err), "parts", ss.req.PromptParts, "err", err)
		p.recordDecodeFailure(ctx, ss, engine, report)
		if !exchanger.MaybeSent(err) {
			report.Step = unsentStep(err, report.Step, placer.StepDecodeDown)
			go p.freeKVHandle(handle)
		} else {
			ss.mayHaveRun = true
			ss.decodeExecutions++
			p.recordCut(ctx, ss, engine, report, err)
		}
		retry = !exchanger.MaybeSent(err) || p.mayResume(ss)
		return p.noResponseRefusal(ctx, ss.requestState, refuser.UpstreamFailed, "the decode engine did not answer"), retry, nil
	}
	defer func() { _ = response.Body.Close() }()
	ss.hasEngineHeader = true
	if p.isNotRun(response) {
		return p.handleRejection(ctx, ss, engine, handle, response, report)
	}
	ss.mayHaveRun = true
	ss.decodeExecutions++
	isSuccess := response.StatusCode/statusClassDivisor == statusClassSuccess
	if !isSuccess && !ss.w.headerSent {
		refusal, err = p.relayFailure(ctx, ss, engine, response, report)
		return refusal, false, err
	}
	if isSuccess {
		err = p.relayEvents(ctx, ss, response, report)
	} else {
		err = fmt.Errorf("%w: status %d", errCannotResume, response.StatusCode)
	}
	if err == nil {
		return nil, false, nil
	}
	p.Log.Info("A stream was cut.", "id", ss.req.ID, "upstream", engine.Name, "events", ss.eventCount, "engine-output", ss.hasEngineOutput, "workspace", ss.workspace.Name, "parts", ss.req.PromptParts, "err", err)
	p.recordDecodeFailure(ctx, ss, engine, report)
	p.recordCut(ctx, ss, engine, report, err)
	return p.noResponseRefusal(ctx, ss.requestState, refuser.StreamTruncated, "the stream was cut"), p.mayResume(ss), fmt.Errorf("%w: %w", ErrResponseTruncated, err)
}

// mayResume reports whether another engine may continue the stream.
func (p *Proxier) mayResume(ss *streamState) bool {
	return ss.route.AllowStreamFailover && ss.decodeExecutions < ss.route.MaxAttempts
}

// unsentStep returns the step to report for an engine that was sent nothing, because of
// err. One that is in an evacuated zone, asked this daemon to leave it alone, or drains, did
// not fail, and may serve the other daemons or later requests.
func unsentStep(err error, failed, down placer.Step) placer.Step {
	switch {
	case errors.Is(err, errHeldBack) || errors.Is(err, errEvacuated) || errors.Is(err, errNotListed):
		return placer.StepEnded
	case exchanger.IsRefused(err):
		return down
	}
	return failed
}

// prefillFailureStep returns the step to report for a prefill engine that failed with err.
func prefillFailureStep(ctx context.Context, engine registrar.Entry, err error) placer.Step {
	switch {
	case !errors.Is(err, errNoPrefillResponse) || !isCrashSign(err):
		return placer.StepPrefillFailed
	case !exchanger.MaybeSent(err):
		return unsentStep(err, placer.StepPrefillFailed, placer.StepPrefillDown)
	case exchanger.IsRefusing(ctx, engine.Address):
		return placer.StepPrefillCrashed
	}
	return placer.StepPrefillCut
}

// isCrashSign reports whether the engine itself may have broken off with err.
func isCrashSign(err error) bool {
	return !slices.ContainsFunc(noCrashErrors, func(target error) bool { return errors.Is(err, target) })
}

// recordDecodeFailure reports a failed decode engine and excludes it, unless the
// request itself has ended.
func (p *Proxier) recordDecodeFailure(ctx context.Context, ss *streamState, engine registrar.Entry, report *placer.Report) {
	if ctx.Err() != nil {
		return
	}
	report.Step = placer.StepDecodeFailed
	ss.excluded = append(ss.excluded, engine.Name)
	ss.reads.cause = meter.WasteCut
	p.Meter.CountRetry(meter.RetryDecode)
}

// recordCut counts a decode engine that broke off, and reports at which point of its
// response. It does nothing if the request itself has ended, or if err is of an
// engine that did not break off. Before the header, a connection that is refused tells an
// engine that crashed from one that refuses work.
func (p *Proxier) recordCut(ctx context.Context, ss *streamState, engine registrar.Entry, report *placer.Report, err error) {
	switch {
	case ctx.Err() != nil || !isCrashSign(err):
	case ss.hasEngineOutput:
		p.Meter.CountEvent(meter.EventCutAfterOutput)
		report.Step = placer.StepCutAfterOutput
	case ss.hasEngineHeader:
		p.Meter.CountEvent(meter.EventCutBeforeOutput)
		report.Step = placer.StepCutBeforeOutput
	case exchanger.IsRefusing(ctx, engine.Address):
		p.Meter.CountEvent(meter.EventCutBeforeOutput)
		report.Step = placer.StepDecodeCrashed
		p.Log.Info("A decode engine that broke off refuses connections.", "id", ss.req.ID, "upstream", engine.Name)
	default:
		p.Meter.CountEvent(meter.EventCutBeforeOutput)
		report.Step = placer.StepCutBeforeHeader
	}
}

// handleRejection handles a decode engine's response that states that the request was
// not executed. Another pair may be tried.
func (p *Proxier) handleRejection(ctx context.Context, ss *streamState, engine registrar.Entry, handle KVHandle, response *exchanger.Response, report *placer.Report) (*refuser.Refusal, bool, error) {
	misdirected := p.isMisdirected(response)
	if misdirected {
		p.Registrar.MarkStale(engine)
	}
	p.Log.Info("A decode engine rejected a request.", "id", ss.req.ID, "upstream", engine.Name, "status", response.StatusCode, "misplaced", misdirected)
	p.Meter.CountRetry(meter.RetryUpstreamFull)
	if handle.ID != "" {
		p.Meter.CountEvent(meter.EventWastedPrefill)
		ss.reads.cause = meter.WasteRejected
	}
	report.Step = placer.StepDecodeFailed
	ss.excluded = append(ss.excluded, engine.Name)
	go p.freeKVHandle(handle)
	return p.noResponseRefusal(ctx, ss.requestState, refuser.QueueFull, "the decode engine is full"), true, nil
}

// relayFailure relays the error response of an engine that executed the request. It
// returns a refusal if the response is not complete or too large.
func (p *Proxier) relayFailure(ctx context.Context, ss *streamState, engine registrar.Entry, response *exchanger.Response, report *placer.Report) (*refuser.Refusal, error) {
	ration := p.Memory.Begin()
	defer ration.Release()
	body, hasMore, err := readBodyPrefix(ration, response, maxBufferedBytes)
	if err == nil && hasMore {
		err = errResponseTooLarge
	}
	if err != nil {
		p.Log.Info("A decode engine's error response is incomplete.", "id", ss.req.ID, "upstream", engine.Name, "status", response.StatusCode, "err", err)
		p.recordDecodeFailure(ctx, ss, engine, report)
		return p.noResponseRefusal(ctx, ss.requestState, refuser.UpstreamFailed, "the decode engine failed"), nil
	}
	return nil, p.relayResponse(ctx, ss.requestState, hopResult{response: response, body: body})
}
