package quarantiner

import (
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

type output struct {
	parts     []identifier.PromptPartID
	startedAt time.Time
}

// RecordStart records that an output has lasted for SettleTime. It clears its parts of a
// crash once it has lasted longer than the output that the crash cut. RecordOutput,
// RecordCut or DropStart must follow.
func (q *Quarantiner) RecordStart(parts []identifier.PromptPartID, startedAt time.Time) {
	q.outputs = append(q.outputs, output{parts: limitParts(parts), startedAt: startedAt})
}

// DropStart records that an output has ended, neither whole nor by a crash.
func (q *Quarantiner) DropStart(parts []identifier.PromptPartID, startedAt time.Time) {
	parts = limitParts(parts)
	q.removeOutput(parts, startedAt)
	for _, part := range parts {
		if q.lastStart(part).IsZero() {
			q.setStart(part, time.Time{})
		}
	}
}

func (q *Quarantiner) removeOutput(parts []identifier.PromptPartID, startedAt time.Time) {
	index := slices.IndexFunc(q.outputs, func(o output) bool {
		return o.startedAt.Equal(startedAt) && slices.Equal(o.parts, parts)
	})
	if index >= 0 {
		q.outputs = slices.Delete(q.outputs, index, index+1)
	}
}

// RecordOutput clears the parts of a request whose output started at the given time, and
// ended whole or reached ProvenAge, of the crashes before it.
func (q *Quarantiner) RecordOutput(parts []identifier.PromptPartID, startedAt time.Time) (decisions []Decision) {
	isEvidence := false
	parts = limitParts(parts)
	q.removeOutput(parts, startedAt)
	for _, part := range parts {
		q.setStart(part, startedAt)
		_, isSuspected := q.evidence[part]
		isEvidence = isEvidence || isSuspected
		held, isQuarantined := q.quarantines[part]
		if isQuarantined && startedAt.After(held.suspicion.LastCrash) {
			delete(q.quarantines, part)
			decisions = append(decisions, Decision{Change: ChangeReleased, Suspicion: held.suspicion, LastStart: startedAt})
		}
	}
	if isEvidence {
		q.sumUp()
	}
	return decisions
}

// Update takes into account which outputs have lasted until now.
func (q *Quarantiner) Update(now time.Time) {
	if len(q.evidence) > 0 && now.Sub(q.summedUpAt) >= sumUpInterval {
		q.sumUpAt(now)
	}
}

func (q *Quarantiner) setStart(part identifier.PromptPartID, at time.Time) {
	if at.Before(q.lastStart(part)) {
		return
	}
	if len(q.starts) >= maxStarts/2 {
		q.olderStarts = q.starts
		q.starts = make(map[identifier.PromptPartID]time.Time)
	}
	q.starts[part] = at
}

// hasHistory reports whether an output with a part has lasted for SettleTime that no
// crash has cut.
func (q *Quarantiner) hasHistory(part identifier.PromptPartID) bool {
	_, isRecent := q.starts[part]
	_, isOlder := q.olderStarts[part]
	return isRecent || isOlder || q.hasOpenOutput(part)
}

// lastStart returns the zero time if no start is known.
func (q *Quarantiner) lastStart(part identifier.PromptPartID) time.Time {
	at, ok := q.starts[part]
	if !ok {
		at = q.olderStarts[part]
	}
	return at
}

// collectOpenStarts finds the outputs that may clear the parts of remembered crashes.
func (q *Quarantiner) collectOpenStarts() {
	clear(q.openStarts)
	for _, c := range q.crashes {
		for _, cut := range c.suspects {
			for _, part := range cut.Parts {
				q.openStarts[part] = nil
			}
		}
	}
	for _, o := range q.outputs {
		for _, part := range o.parts {
			starts, ok := q.openStarts[part]
			if ok {
				q.openStarts[part] = append(starts, o.startedAt)
			}
		}
	}
}

// isCleared reports whether a part is cleared of a crash: an output that started after
// the one that the crash cut has outlasted it.
func (q *Quarantiner) isCleared(part identifier.PromptPartID, c *crash) bool {
	startedAt, minAge := c.at, SettleTime
	age, hasOutput := c.outputAges[part]
	if hasOutput {
		startedAt, minAge = c.at.Add(-age), age+reportDelay
	}
	if !startedAt.After(q.lastStart(part)) {
		return true
	}
	return slices.ContainsFunc(q.openStarts[part], func(at time.Time) bool {
		return at.After(startedAt) && q.summedUpAt.Sub(at) >= minAge
	})
}

// hasOpenOutput reports whether an output with a part goes on that may still be cut.
func (q *Quarantiner) hasOpenOutput(part identifier.PromptPartID) bool {
	return slices.ContainsFunc(q.outputs, func(o output) bool { return slices.Contains(o.parts, part) })
}
