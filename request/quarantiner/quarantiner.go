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
	// maxCrashes, maxSuspects, maxParts, maxSuspectParts, maxStarts and maxQuarantines
	// bound the memory: the crashes remembered, the requests of each, the parts of each,
	// the parts of all requests of all crashes, the parts whose last start is known, and
	// the parts in quarantine.
	maxCrashes      = 64
	maxSuspects     = 48
	maxParts        = 1024
	maxSuspectParts = 16384
	maxStarts       = 32768
	maxQuarantines  = 256
	// maxSuspicions limits the evidence that is passed on to other daemons.
	maxSuspicions = 64
)

// Shape tells requests apart that share parts. Repeats of a request have its shape.
type Shape struct {
	PromptTokens identifier.Tokens
	MaxOutput    identifier.Tokens
	OutputHint   identifier.Tokens
	// OwnPart is the last part of the prompt. The requests of a session have the same.
	OwnPart identifier.PromptPartID
}

// Cut is the end of a request whose engine broke off before the request's output.
type Cut struct {
	Engine   identifier.UpstreamName
	Parts    []identifier.PromptPartID
	Shape    Shape
	PlacedAt time.Time
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
	if len(c.suspects) >= maxSuspects || c.partCount()+len(cut.Parts) > maxSuspectParts {
		return nil
	}
	c.suspects = append(c.suspects, cut)
	q.limitSuspectParts()
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

// add counts another crash and extends the quarantine. The crash may be an earlier one.
func (h *quarantine) add(at time.Time) {
	h.suspicion.Crashes++
	h.suspicion.Requests++
	if at.After(h.suspicion.LastCrash) {
		h.suspicion.LastCrash = at
	}
	h.until = h.suspicion.LastCrash.Add(quarantineTime(h.suspicion.Crashes))
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
func (q *Quarantiner) findCrash(engine identifier.UpstreamName, at time.Time) *crash {
	for _, c := range q.crashes {
		if c.engine == engine && at.Sub(c.at).Abs() < crashWindow {
			return c
		}
	}
	c := &crash{engine: engine, at: at}
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

// limitSuspectParts forgets the oldest crashes if there are too many parts in all.
func (q *Quarantiner) limitSuspectParts() {
	count := 0
	for i := len(q.crashes) - 1; i >= 0; i-- {
		count += q.crashes[i].partCount()
		if count > maxSuspectParts {
			q.crashes = slices.Delete(q.crashes, 0, i+1)
			return
		}
	}
}

// partCount returns the number of parts of all suspects.
func (c *crash) partCount() (count int) {
	for _, cut := range c.suspects {
		count += len(cut.Parts)
	}
	return count
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

func limitParts(parts []identifier.PromptPartID) []identifier.PromptPartID {
	return parts[:min(len(parts), maxParts)]
}
