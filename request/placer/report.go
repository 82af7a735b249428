package placer

import (
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/request/quarantiner"
)

// Step is a point in the life of a placement.
type Step string

// The steps of a placement.
const (
	// StepPrefilled means that the prefill is done.
	StepPrefilled Step = "prefilled"
	// StepStarted means that the first event has arrived.
	StepStarted Step = "started"
	// StepEnded means that the request is over, whether or not it succeeded.
	StepEnded Step = "ended"
	// StepPrefillFailed and StepDecodeFailed mean that the request is over
	// because the prefill or the decode engine failed.
	StepPrefillFailed Step = "prefill-failed"
	StepDecodeFailed  Step = "decode-failed"
	// StepCutBeforeOutput means that the request is over because the decode engine broke
	// off between the header of its response and the first event. StepCutBeforeHeader
	// means that it broke off before the header, and may not have begun the request.
	StepCutBeforeOutput Step = "cut-before-output"
	StepCutBeforeHeader Step = "cut-before-header"
	// StepCutAfterOutput means that the request is over because the decode engine broke
	// off after the first event.
	StepCutAfterOutput Step = "cut-after-output"
	// StepPrefillCut means that the request is over because the prefill engine broke off
	// before the end of its response.
	StepPrefillCut Step = "prefill-cut"
	// StepDecodeCrashed and StepPrefillCrashed are like StepCutBeforeHeader and
	// StepPrefillCut, and the engine refused a new connection right after that.
	StepDecodeCrashed  Step = "decode-crashed"
	StepPrefillCrashed Step = "prefill-crashed"
	// StepDecodeDown and StepPrefillDown mean that the request is over because the engine
	// refused the connection for it.
	StepDecodeDown  Step = "decode-down"
	StepPrefillDown Step = "prefill-down"
)

// Report announces that a placement has reached a step.
type Report struct {
	Key  Key
	Step Step
	// Elapsed is the duration of the prefill for StepPrefilled, and the time
	// from the first event to the end for StepEnded.
	Elapsed time.Duration
	// Output is the number of output tokens, zero if the request did not complete.
	Output identifier.Tokens
}

// HandleReport applies a report. It ignores a report on an unknown placement.
func (p *Pool) HandleReport(report Report, now time.Time) {
	pl, ok := p.placements[report.Key]
	if !ok {
		return
	}
	switch report.Step {
	case StepPrefilled:
		p.recordPrefill(pl, report.Elapsed, now)
	case StepStarted:
		pl.decoding = true
		pl.decodeStart = now
		pl.decode.failures = 0
		p.recordOutput(pl)
	case StepEnded:
		p.updateDecodeRate(pl, report, now)
		if pl.decoding && report.Output > 0 {
			p.proveOutput(pl)
		}
		p.release(pl)
	case StepPrefillFailed, StepPrefillCut, StepPrefillCrashed, StepPrefillDown:
		pl.prefill.markFailed(now)
		p.handleCut(pl, pl.prefill, pl.prefillEntry, report.Step, now)
		p.release(pl)
	case StepDecodeFailed, StepCutAfterOutput, StepCutBeforeOutput, StepCutBeforeHeader, StepDecodeCrashed, StepDecodeDown:
		pl.decode.markFailed(now)
		p.handleCut(pl, pl.decode, pl.decodeEntry, report.Step, now)
		p.release(pl)
	}
}

// handleCut holds a crash of an engine against the placements without output, and those
// whose output is younger than quarantiner.ProvenAge. An engine
// that refuses work resets requests before the header too, and so does a fault of the
// network. Such a cut counts only if there is another sign of the crash at about the
// same time: the engine broke off a response or refuses connections, or it restarts soon.
func (p *Pool) handleCut(pl *placement, e *engine, entry registrar.Entry, step Step, now time.Time) {
	switch step {
	case StepCutBeforeHeader, StepPrefillCut:
		if now.Sub(e.crashSeenAt) < crashWindow {
			p.recordCut(pl, entry, now)
		} else {
			p.addUnanswered(unansweredCut{placement: pl, engine: entry, at: now})
		}
	case StepCutBeforeOutput, StepDecodeCrashed, StepPrefillCrashed:
		p.recordCut(pl, entry, now)
		p.confirmCrash(e, now)
	case StepDecodeDown, StepPrefillDown:
		p.confirmCrash(e, now)
	case StepCutAfterOutput, StepDecodeFailed:
		// A daemon of an older build reports cuts after the output as failures.
		isCut := step == StepCutAfterOutput || slices.Contains(p.outputs, pl)
		if isCut && pl.outputAge(now) < quarantiner.ProvenAge {
			p.recordCut(pl, entry, now)
		}
		if pl.decoding {
			p.confirmCrash(e, now)
		}
	case StepPrefilled, StepStarted, StepEnded, StepPrefillFailed:
	}
}

func (p *Pool) addUnanswered(cut unansweredCut) {
	p.unanswered = slices.DeleteFunc(p.unanswered, func(u unansweredCut) bool { return cut.at.Sub(u.at) >= restartWindow })
	if len(p.unanswered) >= maxUnanswered {
		p.unanswered = slices.Delete(p.unanswered, 0, 1)
	}
	p.unanswered = append(p.unanswered, cut)
}

// confirmCrash holds the recent unanswered cuts of an engine against their requests, after
// a sign that the engine crashed.
func (p *Pool) confirmCrash(e *engine, now time.Time) {
	e.crashSeenAt = now
	p.recordUnanswered(func(u unansweredCut) bool {
		return u.engine.Name == e.entry.Name && now.Sub(u.at) < crashWindow
	})
}

// confirmRestart holds the unanswered cuts of an engine against their requests when another
// process registers in its place.
func (p *Pool) confirmRestart(entry registrar.Entry, now time.Time) {
	p.recordUnanswered(func(u unansweredCut) bool {
		isSameProcess := u.engine.Name == entry.Name && u.engine.StartedAt.Equal(entry.StartedAt)
		isSamePlace := u.engine.Name == entry.Name || (u.engine.Address == entry.Address && entry.Address != "")
		return isSamePlace && !isSameProcess && now.Sub(u.at) < restartWindow
	})
}

func (p *Pool) recordUnanswered(isConfirmed func(u unansweredCut) bool) {
	p.unanswered = slices.DeleteFunc(p.unanswered, func(u unansweredCut) bool {
		if !isConfirmed(u) {
			return false
		}
		p.recordCut(u.placement, u.engine, u.at)
		return true
	})
}

// outputAge returns the time since the first event, zero if there was none.
func (pl *placement) outputAge(now time.Time) time.Duration {
	if !pl.decoding {
		return 0
	}
	return now.Sub(pl.decodeStart)
}

// recordOutput records the first event of a placement, which clears the parts of its
// prompt after quarantiner.SettleTime.
func (p *Pool) recordOutput(pl *placement) {
	if !pl.isStarting {
		return
	}
	p.endStart(pl)
	p.outputs = append(p.outputs, pl)
}

func (p *Pool) endStart(pl *placement) {
	if pl.isStarting {
		pl.isStarting = false
		p.quarantine.EndStart(pl.parts)
	}
}

// recordCut holds the crash of an engine at a time against the parts of a placement's prompt.
func (p *Pool) recordCut(pl *placement, entry registrar.Entry, at time.Time) {
	p.settleOutputs(at)
	p.endStart(pl)
	p.outputs = slices.DeleteFunc(p.outputs, func(other *placement) bool { return other == pl })
	process := quarantiner.Process{Engine: entry.Name, StartedAt: entry.StartedAt}
	cut := quarantiner.Cut{Process: process, Parts: pl.parts, Shape: pl.shape, PlacedAt: pl.placedAt}
	if pl.outputAge(at) >= quarantiner.SettleTime {
		cut.OutputAt = pl.decodeStart
	}
	pl.isOver = true
	p.decisions = append(p.decisions, p.quarantine.RecordCut(cut, at)...)
}

// settleOutputs clears the parts of the prompts whose output has lasted for quarantiner.SettleTime,
// and for good those whose output has reached quarantiner.ProvenAge.
func (p *Pool) settleOutputs(now time.Time) {
	p.outputs = takeOlder(p.outputs, now.Add(-quarantiner.SettleTime), func(pl *placement) {
		if pl.isOver {
			return
		}
		p.quarantine.RecordStart(pl.parts, pl.decodeStart)
		p.unproven = append(p.unproven, pl)
	})
	p.unproven = takeOlder(p.unproven, now.Add(-quarantiner.ProvenAge), func(pl *placement) {
		if !pl.isOver {
			p.proveOutput(pl)
		}
	})
	p.quarantine.Update(now)
}

// proveOutput clears the parts of a prompt whose output ended whole or reached
// quarantiner.ProvenAge.
func (p *Pool) proveOutput(pl *placement) {
	pl.isOver = true
	p.decisions = append(p.decisions, p.quarantine.RecordOutput(pl.parts, pl.decodeStart)...)
}

// takeOlder takes the placements whose output started at a time or before, and returns
// the others. The placements are ordered by that time.
func takeOlder(placements []*placement, startedBy time.Time, take func(pl *placement)) []*placement {
	taken := 0
	for taken < len(placements) && !placements[taken].decodeStart.After(startedBy) {
		take(placements[taken])
		taken++
	}
	return slices.Delete(placements, 0, taken)
}

// TakeDecisions returns the decisions on prompt parts since the last call.
func (p *Pool) TakeDecisions() []quarantiner.Decision {
	decisions := p.decisions
	p.decisions = nil
	return decisions
}

// Suspicions returns the evidence against prompt parts.
func (p *Pool) Suspicions(now time.Time) []quarantiner.Suspicion {
	return p.quarantine.Suspicions(now)
}

// AdoptSuspicions adds the evidence that another daemon has collected.
func (p *Pool) AdoptSuspicions(suspicions []quarantiner.Suspicion, now time.Time) {
	p.quarantine.Adopt(suspicions, now)
}

// recordPrefill records that a prefill is done and recomputes the prefill engine's
// backlog. It also updates the prefill rate if no other prompt was queued ahead of
// this one.
func (p *Pool) recordPrefill(pl *placement, elapsed time.Duration, now time.Time) {
	if pl.prefilled {
		return
	}
	pl.prefilled = true
	pl.prefill.failures = 0
	if pl.tokensToRead > 0 && elapsed > 0 {
		p.recordSpeed(p.prefillSpeeds, pl.prefill, pl.tokensToRead/elapsed.Seconds(), now)
	}
	queueDelay := pl.decodeStart.Add(-transferTime - pl.prefillTime).Sub(pl.placedAt)
	if queueDelay <= 0 && elapsed > 0 {
		p.prefillRate += sampleWeight * (pl.promptTokens/elapsed.Seconds() - p.prefillRate)
	}
	pl.prefill.unread -= pl.prefillTime
	pl.prefill.busyUntil = now.Add(pl.prefill.unread)
}

// updateDecodeRate updates the decode rate from the report on a completed request.
func (p *Pool) updateDecodeRate(pl *placement, report Report, now time.Time) {
	if !pl.decoding || report.Output == 0 || report.Elapsed <= 0 {
		return
	}
	rate := tokens(report.Output) / report.Elapsed.Seconds()
	p.recordSpeed(p.decodeSpeeds, pl.decode, rate, now)
	p.decodeRate += sampleWeight * (rate - p.decodeRate)
}

// release removes a placement from the pool and its decode engine, and its
// unfinished prefill from the prefill engine's backlog.
func (p *Pool) release(pl *placement) {
	p.endStart(pl)
	if pl.decoding && !pl.isOver {
		p.quarantine.DropStart(pl.parts, pl.decodeStart)
	}
	pl.isOver = true
	delete(p.placements, pl.key)
	pl.decode.reserved -= pl.finalMemory()
	pl.decode.placements = slices.DeleteFunc(pl.decode.placements, func(other *placement) bool { return other == pl })
	if !pl.prefilled {
		pl.prefill.unread -= pl.prefillTime
		pl.prefill.busyUntil = pl.prefill.busyUntil.Add(-pl.prefillTime)
	}
}

// markFailed ejects the engine, for longer after each consecutive failure.
func (e *engine) markFailed(now time.Time) {
	e.failures++
	ejectionTime := minEjectionTime
	for range e.failures - 1 {
		ejectionTime = min(2*ejectionTime, maxEjectionTime)
	}
	e.ejectedUntil = now.Add(ejectionTime)
}

// estimateExternalTokens estimates the memory used by requests that this pool did
// not place. It falls linearly to zero over externalLifetime after each update.
func (e *engine) estimateExternalTokens(now time.Time) float64 {
	if e.externalTokens == 0 {
		return 0
	}
	remaining := 1 - now.Sub(e.externalUpdatedAt).Seconds()/externalLifetime.Seconds()
	return max(0, remaining) * e.externalTokens
}

// externalLifetime is the time within which a request that another daemon placed
// is assumed to end.
const externalLifetime = 4 * time.Second

// ExternalLoad is the memory that a daemon's requests use on a decode engine. It
// counts only requests that the engine's pool did not place.
type ExternalLoad struct {
	Requester identifier.Incarnation
	Engine    identifier.UpstreamName
	Memory    identifier.Tokens
}

// SetExternalLoads replaces the memory used by requests that other daemons placed.
// Engines without an entry are set to zero.
func (p *Pool) SetExternalLoads(loads []ExternalLoad, now time.Time) {
	sums := make(map[identifier.UpstreamName]float64)
	for _, load := range loads {
		sums[load.Engine] += tokens(load.Memory)
	}
	for name, e := range p.engines {
		e.externalTokens = sums[name]
		e.externalUpdatedAt = now
	}
}

// ReleaseDeadRequesters releases the placements that were requested by daemons
// that are not live.
func (p *Pool) ReleaseDeadRequesters(isLive func(identifier.Incarnation) bool) {
	for _, pl := range p.allPlacements() {
		if !isLive(pl.key.Requester) {
			p.release(pl)
		}
	}
}

// releaseExpired releases placements older than placementTimeout, and placements
// on decode engines that are no longer configured once they have been decoding
// for externalLifetime.
func (p *Pool) releaseExpired(now time.Time) {
	if now.Sub(p.expiryCheckedAt) < expiryInterval {
		return
	}
	p.expiryCheckedAt = now
	for _, pl := range p.allPlacements() {
		_, configured := p.engines[pl.decode.entry.Name]
		if now.Sub(pl.placedAt) > placementTimeout || (!configured && pl.decoding && now.Sub(pl.decodeStart) > externalLifetime) {
			p.release(pl)
		}
	}
}

// allPlacements returns a copy, so that the caller may release placements while
// it iterates.
func (p *Pool) allPlacements() []*placement {
	all := make([]*placement, 0, len(p.placements))
	for _, pl := range p.placements {
		all = append(all, pl)
	}
	return all
}

// Status is the state of an engine that is shown to operators.
type Status struct {
	Engine          identifier.UpstreamName `json:"engine"`
	Role            string                  `json:"role"`
	Placements      int                     `json:"runs"`
	PeakUtilization float64                 `json:"forecast-fill"`
	PrefillBacklog  time.Duration           `json:"prefill-backlog"`
	// TokensPerSecond is the speed in the engine's role.
	TokensPerSecond int  `json:"tokens-per-s"`
	Ejected         bool `json:"suspect"`
}

// Statuses returns the state of each engine, sorted by name.
func (p *Pool) Statuses(now time.Time) []Status {
	var statuses []Status
	for name, e := range p.engines {
		statuses = append(statuses, Status{
			Engine:          name,
			Role:            string(e.entry.Role),
			Placements:      len(e.placements),
			PeakUtilization: peakMemory(e.placements, now, p.decodeRateOf(e, now)) / max(1, tokens(p.profile.KVCacheCapacity)),
			PrefillBacklog:  max(0, e.busyUntil.Sub(now)),
			TokensPerSecond: int(p.rateOf(e, now)),
			Ejected:         now.Before(e.ejectedUntil),
		})
	}
	slices.SortFunc(statuses, func(a, b Status) int {
		if a.Engine < b.Engine {
			return -1
		}
		return 1
	})
	return statuses
}
