// Package quarantiner finds the prompt parts that crash engines, so that requests
// with such a part can be refused.
//
// An engine's crash is held against the requests on it that had no output, and so
// against all parts of their prompts. A request that starts its output clears its
// parts of the earlier crashes. Until a part is cleared or quarantined, only one
// request with it may be before its output, so each further crash is a test of it. A
// part that fails two tests, with different requests on different engines, is
// quarantined, and the crashes of its requests are no longer held against other parts.
package quarantiner

import (
	"maps"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	// minRounds is the number of failed tests after which a part is quarantined,
	// minRoundsWithHistory that for a part with which requests have started before, and
	// minRequests the number of different requests among them.
	minRounds            = 2
	minRoundsWithHistory = 3
	minRequests          = 2
	// minQuarantine is the length of a part's first quarantine. It doubles with each
	// further crash, up to maxQuarantine.
	minQuarantine = 30 * time.Second
	maxQuarantine = 10 * time.Minute
	// testWait is when a caller should come back while the one request that tests a
	// part is running.
	testWait = time.Second
	// crashWindow is the time within which the cuts of one crash are reported.
	crashWindow = time.Second
	// evidenceAge is the age up to which a crash is held against a part.
	evidenceAge = 2 * time.Minute
	// maxCrashes, maxSuspects, maxParts, maxStarts and maxQuarantines bound the memory:
	// the crashes remembered, the requests of each, the parts of each, the parts whose
	// last start is known, and the parts in quarantine.
	maxCrashes     = 64
	maxSuspects    = 48
	maxParts       = 32
	maxStarts      = 8192
	maxQuarantines = 256
	// maxSuspicions limits the evidence that is passed on to other daemons.
	maxSuspicions = 64
)

// Suspicion is the evidence that a prompt part crashes engines.
type Suspicion struct {
	Part identifier.PromptPartID
	// Crashes counts the engine crashes at the start of an output for a request with
	// the part, and Requests the different requests among them. Both are zero for a part
	// that was cleared since LastCrash.
	Crashes  int
	Requests int
	// LastCrash is the time of the newest crash.
	LastCrash time.Time
	// Quarantined is set if requests with the part are refused.
	Quarantined bool
}

// Shape tells requests apart that have the same parts. Repeats of a request have its
// shape.
type Shape struct {
	PromptTokens identifier.Tokens
	MaxOutput    identifier.Tokens
	OutputHint   identifier.Tokens
}

// Cut is the end of a request whose engine broke off before the request's output.
type Cut struct {
	Engine   identifier.UpstreamName
	Parts    []identifier.PromptPartID
	Shape    Shape
	PlacedAt time.Time
}

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

// Change is what happened to a part, as it is logged.
type Change string

// The changes.
const (
	ChangeSuspected   Change = "suspected"
	ChangeQuarantined Change = "quarantined"
	ChangeExtended    Change = "extended"
	ChangeReleased    Change = "released"
)

// Decision is a change with the evidence behind it.
type Decision struct {
	Change    Change
	Suspicion Suspicion
	Engine    identifier.UpstreamName
	// Rounds is the number of tests that the part failed, and LastStart the last start of
	// an output with it, zero if unknown.
	Rounds    int
	LastStart time.Time
	// Until is the end of the quarantine.
	Until time.Time
}

// crash is an engine's crash with the requests on it that had no output.
type crash struct {
	engine   identifier.UpstreamName
	at       time.Time
	suspects []Cut
	// explained is set if a quarantined part was among them.
	explained bool
}

// evidence sums up the crashes that are held against a part.
type evidence struct {
	crashes   int
	rounds    int
	lastCrash time.Time
	shapes    map[Shape]bool
	engines   map[identifier.UpstreamName]bool
}

type quarantine struct {
	suspicion Suspicion
	until     time.Time
}

// Quarantiner keeps the evidence for one service. It is not safe for concurrent use.
type Quarantiner struct {
	crashes     []*crash
	evidence    map[identifier.PromptPartID]*evidence
	quarantines map[identifier.PromptPartID]*quarantine
	// starting counts the requests before their output by part.
	starting map[identifier.PromptPartID]int
	// starts and olderStarts hold the last start of an output by part. olderStarts is
	// dropped when starts is full.
	starts      map[identifier.PromptPartID]time.Time
	olderStarts map[identifier.PromptPartID]time.Time
}

// New returns a quarantiner without evidence.
func New() *Quarantiner {
	return &Quarantiner{
		evidence:    make(map[identifier.PromptPartID]*evidence),
		quarantines: make(map[identifier.PromptPartID]*quarantine),
		starting:    make(map[identifier.PromptPartID]int),
		starts:      make(map[identifier.PromptPartID]time.Time),
	}
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
	isSuspected = isSuspected && now.Sub(e.lastCrash) <= evidenceAge
	isTested := q.starting[part] > 0
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

// BeginStart records that a request was sent to an engine. EndStart must follow once.
func (q *Quarantiner) BeginStart(parts []identifier.PromptPartID) {
	for _, part := range limitParts(parts) {
		q.starting[part]++
	}
}

// EndStart records that a request has output, or will have none.
func (q *Quarantiner) EndStart(parts []identifier.PromptPartID) {
	for _, part := range limitParts(parts) {
		q.starting[part]--
		if q.starting[part] <= 0 {
			delete(q.starting, part)
		}
	}
}

// RecordOutput clears the parts of a request whose output started at the given time of
// the crashes before it.
func (q *Quarantiner) RecordOutput(parts []identifier.PromptPartID, startedAt time.Time) (decisions []Decision) {
	isEvidence := false
	for _, part := range limitParts(parts) {
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

// lastStart returns the zero time if no start is known.
func (q *Quarantiner) lastStart(part identifier.PromptPartID) time.Time {
	at, ok := q.starts[part]
	if !ok {
		at = q.olderStarts[part]
	}
	return at
}

// RecordCut holds a cut against the parts of its request. Cuts on one engine at about
// the same time are one crash.
func (q *Quarantiner) RecordCut(cut Cut, now time.Time) (decisions []Decision) {
	cut.Parts = limitParts(cut.Parts)
	if len(cut.Parts) == 0 {
		return nil
	}
	c := q.findCrash(cut.Engine, now)
	if len(c.suspects) >= maxSuspects {
		return nil
	}
	c.suspects = append(c.suspects, cut)
	wasExplained := c.explained
	for _, part := range cut.Parts {
		held, ok := q.quarantines[part]
		if !ok {
			continue
		}
		c.explained = true
		if !wasExplained {
			held.add(now)
			decisions = append(decisions, Decision{Change: ChangeExtended, Suspicion: held.suspicion, Engine: cut.Engine, LastStart: q.lastStart(part), Until: held.until})
		}
	}
	q.sumUpAt(now)
	if c.explained {
		return decisions
	}
	for _, part := range cut.Parts {
		decisions = append(decisions, q.decide(ChangeSuspected, part, cut.Engine))
	}
	worst := q.findWorst(c)
	if worst == "" {
		return decisions
	}
	decision := q.decide(ChangeQuarantined, worst, cut.Engine)
	decision.Suspicion.Quarantined = true
	held := &quarantine{suspicion: decision.Suspicion, until: now.Add(minQuarantine)}
	decision.Until = held.until
	q.addQuarantine(held)
	for _, other := range q.crashes {
		if other.at.After(decision.LastStart) && other.hasPart(worst) {
			other.explained = true
		}
	}
	q.sumUpAt(now)
	return append(decisions, decision)
}

func (q *Quarantiner) decide(change Change, part identifier.PromptPartID, engine identifier.UpstreamName) Decision {
	e := q.evidence[part]
	if e == nil {
		e = &evidence{}
	}
	return Decision{Change: change, Suspicion: e.suspicion(part), Engine: engine, Rounds: e.rounds, LastStart: q.lastStart(part)}
}

// add counts another crash and extends the quarantine.
func (h *quarantine) add(now time.Time) {
	h.suspicion.Crashes++
	h.suspicion.Requests++
	h.suspicion.LastCrash = now
	h.until = now.Add(quarantineTime(h.suspicion.Crashes))
}

// quarantineTime returns the length of the quarantine after a number of crashes.
func quarantineTime(crashes int) time.Duration {
	length := minQuarantine
	for range crashes - minRounds {
		length = min(2*length, maxQuarantine)
	}
	return length
}

// findCrash returns the crash that a cut at an engine belongs to, a new one if there
// is none.
func (q *Quarantiner) findCrash(engine identifier.UpstreamName, now time.Time) *crash {
	for _, c := range q.crashes {
		if c.engine == engine && now.Sub(c.at) < crashWindow {
			return c
		}
	}
	c := &crash{engine: engine, at: now}
	q.addCrash(c)
	return c
}

func (q *Quarantiner) addCrash(c *crash) {
	q.crashes = append(q.crashes, c)
	slices.SortStableFunc(q.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	if len(q.crashes) > maxCrashes {
		q.crashes = slices.Delete(q.crashes, 0, len(q.crashes)-maxCrashes)
	}
}

func (c *crash) hasPart(part identifier.PromptPartID) bool {
	return slices.ContainsFunc(c.suspects, func(cut Cut) bool { return slices.Contains(cut.Parts, part) })
}

// sumUpAt drops the crashes that are too old and sums up the others.
func (q *Quarantiner) sumUpAt(now time.Time) {
	q.crashes = slices.DeleteFunc(q.crashes, func(c *crash) bool { return now.Sub(c.at) > evidenceAge })
	q.sumUp()
}

// sumUp sums up the crashes by part. It leaves out those before the part's last start and
// those that a quarantined part explains.
func (q *Quarantiner) sumUp() {
	clear(q.evidence)
	for _, c := range q.crashes {
		if c.explained {
			continue
		}
		for _, cut := range c.suspects {
			for _, part := range cut.Parts {
				_, isQuarantined := q.quarantines[part]
				if !isQuarantined && c.at.After(q.lastStart(part)) {
					q.addEvidence(part, c, cut)
				}
			}
		}
	}
}

// addEvidence adds a suspect of a crash. Only a request that was placed after the last
// crash of its part was known is a test of it: crashes at the same moment have a cause
// of their own, and those of requests on their way have not been held back.
func (q *Quarantiner) addEvidence(part identifier.PromptPartID, c *crash, cut Cut) {
	e := q.evidence[part]
	if e == nil {
		e = &evidence{shapes: make(map[Shape]bool), engines: make(map[identifier.UpstreamName]bool)}
		q.evidence[part] = e
	}
	if !e.engines[c.engine] && !cut.PlacedAt.Before(e.lastCrash) {
		e.rounds++
	}
	if !e.lastCrash.Equal(c.at) {
		e.crashes++
	}
	e.lastCrash = c.at
	e.shapes[cut.Shape] = true
	e.engines[c.engine] = true
}

func (e *evidence) suspicion(part identifier.PromptPartID) Suspicion {
	return Suspicion{Part: part, Crashes: e.crashes, Requests: len(e.shapes), LastCrash: e.lastCrash}
}

// findWorst returns the part that explains a crash best, empty if none has failed enough
// tests: the one that failed most, then the one that has not started an output for
// longest, then the one that comes later in the prompt, which fewer requests share.
func (q *Quarantiner) findWorst(c *crash) (worst identifier.PromptPartID) {
	for _, cut := range c.suspects {
		for _, part := range cut.Parts {
			e := q.evidence[part]
			if e == nil || len(e.shapes) < minRequests || e.rounds < q.requiredRounds(part) {
				continue
			}
			if worst == "" || e.rounds > q.evidence[worst].rounds || (e.rounds == q.evidence[worst].rounds && !q.lastStart(part).After(q.lastStart(worst))) {
				worst = part
			}
		}
	}
	return worst
}

func (q *Quarantiner) requiredRounds(part identifier.PromptPartID) int {
	if q.lastStart(part).IsZero() {
		return minRounds
	}
	return minRoundsWithHistory
}

// addQuarantine ends the quarantine with the oldest crash if there are too many.
func (q *Quarantiner) addQuarantine(held *quarantine) {
	if len(q.quarantines) >= maxQuarantines {
		oldest := slices.MinFunc(slices.Collect(maps.Values(q.quarantines)), func(a, b *quarantine) int {
			return a.suspicion.LastCrash.Compare(b.suspicion.LastCrash)
		})
		delete(q.quarantines, oldest.suspicion.Part)
	}
	q.quarantines[held.suspicion.Part] = held
}

// Suspicions returns the evidence for another daemon: quarantined parts first, then
// suspected ones, then those that were cleared, the newest first.
func (q *Quarantiner) Suspicions(now time.Time) (suspicions []Suspicion) {
	for _, held := range q.quarantines {
		suspicions = append(suspicions, held.suspicion)
	}
	for part, e := range q.evidence {
		if now.Sub(e.lastCrash) <= evidenceAge {
			suspicions = append(suspicions, e.suspicion(part))
		}
	}
	for part, at := range q.clearedParts(now) {
		if q.evidence[part] == nil && q.quarantines[part] == nil {
			suspicions = append(suspicions, Suspicion{Part: part, LastCrash: at})
		}
	}
	slices.SortFunc(suspicions, compareSuspicions)
	return suspicions[:min(len(suspicions), maxSuspicions)]
}

// clearedParts returns the parts that have started an output since a remembered crash,
// with the time of the newest such crash.
func (q *Quarantiner) clearedParts(now time.Time) map[identifier.PromptPartID]time.Time {
	cleared := make(map[identifier.PromptPartID]time.Time)
	for _, c := range q.crashes {
		if now.Sub(c.at) > evidenceAge {
			continue
		}
		for _, cut := range c.suspects {
			for _, part := range cut.Parts {
				if q.lastStart(part).After(c.at) {
					cleared[part] = c.at
				}
			}
		}
	}
	return cleared
}

func compareSuspicions(a, b Suspicion) int {
	switch {
	case a.Quarantined != b.Quarantined && a.Quarantined:
		return -1
	case a.Quarantined != b.Quarantined:
		return 1
	case (a.Crashes > 0) != (b.Crashes > 0):
		return b.Crashes - a.Crashes
	}
	return b.LastCrash.Compare(a.LastCrash)
}

// Adopt adds the evidence of another daemon. It ignores what is older than its own, and
// takes a time in the future for the present.
func (q *Quarantiner) Adopt(suspicions []Suspicion, now time.Time) {
	for _, s := range suspicions {
		if s.Part == "" {
			continue
		}
		if s.LastCrash.After(now) {
			s.LastCrash = now
		}
		switch {
		case s.Crashes == 0 && !s.Quarantined:
			q.RecordOutput([]identifier.PromptPartID{s.Part}, s.LastCrash.Add(1))
		case !s.LastCrash.After(q.lastStart(s.Part)):
		case s.Quarantined:
			q.adoptQuarantine(s)
		case now.Sub(s.LastCrash) <= evidenceAge && !q.hasCrashAt(s.Part, s.LastCrash):
			cut := Cut{Parts: []identifier.PromptPartID{s.Part}, PlacedAt: s.LastCrash}
			q.addCrash(&crash{at: s.LastCrash, suspects: []Cut{cut}})
		}
	}
	q.sumUpAt(now)
}

func (q *Quarantiner) adoptQuarantine(s Suspicion) {
	held, ok := q.quarantines[s.Part]
	if ok && !s.LastCrash.After(held.suspicion.LastCrash) {
		return
	}
	q.addQuarantine(&quarantine{suspicion: s, until: s.LastCrash.Add(quarantineTime(s.Crashes))})
}

// hasCrashAt reports whether a part's crash at a time or later is known.
func (q *Quarantiner) hasCrashAt(part identifier.PromptPartID, at time.Time) bool {
	return slices.ContainsFunc(q.crashes, func(c *crash) bool { return !c.at.Before(at) && c.hasPart(part) })
}

func limitParts(parts []identifier.PromptPartID) []identifier.PromptPartID {
	return parts[:min(len(parts), maxParts)]
}
