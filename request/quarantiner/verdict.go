package quarantiner

import (
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

// Ruling says what to do with a request that waits for an engine.
type Ruling string

// The rulings.
const (
	// Admit means that nothing is known against the request.
	Admit Ruling = "admit"
	// Test means that the request is the only one with a suspected part that may be
	// before its output.
	Test Ruling = "test"
	// Hold means that the request must wait, as another one tests its part, or as it may
	// have crashed an engine itself.
	Hold Ruling = "hold"
	// Refuse means that a part of the request is quarantined.
	Refuse Ruling = "refuse"
)

// rulings lists the rulings from the mildest to the strictest.
var rulings = []Ruling{Admit, Test, Hold, Refuse}

// Verdict is the ruling on a request and the part that decided it, if any.
type Verdict struct {
	Ruling Ruling
	Part   identifier.PromptPartID
	// RetryAfter is when the caller should come back, for Refuse.
	RetryAfter time.Duration
	// MayHaveCrashed is set for Hold if the request itself may have crashed an engine.
	MayHaveCrashed bool
}

// Judge rules on a request that waits for an engine. Failed lists the engines that
// failed it before.
func (q *Quarantiner) Judge(parts []identifier.PromptPartID, shape Shape, failed []identifier.UpstreamName, now time.Time) Verdict {
	verdict := Verdict{Ruling: Admit}
	if len(q.quarantines) == 0 && len(q.evidence) == 0 {
		return verdict
	}
	for _, part := range limitParts(parts) {
		ruling := q.judgePart(part, shape, failed, now)
		if ruling.Ruling == Refuse {
			return ruling
		}
		if ruling.isStricterThan(verdict) {
			verdict = ruling
		}
	}
	return verdict
}

func (q *Quarantiner) judgePart(part identifier.PromptPartID, shape Shape, failed []identifier.UpstreamName, now time.Time) Verdict {
	held, isQuarantined := q.quarantines[part]
	e, isSuspected := q.evidence[part]
	isSuspected = isSuspected && e.isSuspicious() && now.Sub(e.lastCrash) <= evidenceAge
	isTested := q.starting[part] > 0 || (isQuarantined || isSuspected) && q.isOnTrial(part, now)
	switch {
	case isQuarantined && now.Before(held.until):
		return Verdict{Ruling: Refuse, Part: part, RetryAfter: held.until.Sub(now)}
	case isQuarantined && (isTested || len(failed) > 0):
		return Verdict{Ruling: Refuse, Part: part, RetryAfter: testWait}
	case !isQuarantined && !isSuspected:
		return Verdict{Ruling: Admit}
	case q.mayHaveCrashed(part, shape, failed):
		return Verdict{Ruling: Hold, Part: part, MayHaveCrashed: true}
	case isTested:
		return Verdict{Ruling: Hold, Part: part}
	}
	return Verdict{Ruling: Test, Part: part}
}

// isOnTrial reports whether the request that tests a part may still crash its engine,
// although it has output. A part that many requests share is not held back for that, as
// some of them have lasted meanwhile.
func (q *Quarantiner) isOnTrial(part identifier.PromptPartID, now time.Time) bool {
	_, isQuarantined := q.quarantines[part]
	return (isQuarantined || now.Sub(q.lastStart(part)) > 2*ProvenAge) && q.hasOpenOutput(part)
}

func (v Verdict) isStricterThan(other Verdict) bool {
	strictness := func(v Verdict) int {
		if v.MayHaveCrashed {
			return len(rulings)
		}
		return slices.Index(rulings, v.Ruling)
	}
	return strictness(v) > strictness(other)
}

// mayHaveCrashed reports whether a suspected part's crashes include one of the engines
// that failed a request of this shape.
func (q *Quarantiner) mayHaveCrashed(part identifier.PromptPartID, shape Shape, failed []identifier.UpstreamName) bool {
	e := q.evidence[part]
	return e != nil && e.shapes[shape] && slices.ContainsFunc(failed, func(name identifier.UpstreamName) bool { return e.engines[name] })
}
