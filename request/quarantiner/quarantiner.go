// Package quarantiner finds the prompt parts that crash engines, so that requests
// with such a part can be refused.
//
// An engine's crash is held against the requests on it that had no output or whose
// output was younger than ProvenAge, and so against all parts of their prompts. A
// request whose output lasts longer than those that a crash cut clears its parts of that
// crash, until it is cut by another one. Until a part is cleared or quarantined, only one
// request with it may be before its output, so each further crash is a test of it. A
// part that fails two tests, with different requests, is quarantined, and the crashes of
// its requests are no longer held against other parts.
// Requests with output are many, so three tests are needed if some failed after that.
//
// What counts as one test is the crash of one process of an engine, at a request that was
// placed after the test before. A process crashes once: several cuts of one are a fault of
// its own or of the network. An engine that starts again is another process, under
// whatever name, so that a pool of one engine gives as many tests as any other.
package quarantiner

import (
	"maps"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	// ProvenAge is the age of an output from which on a crash is not held against the
	// request.
	ProvenAge = 2 * time.Second
	// SettleTime is how long an output must last to clear its parts of a crash before the
	// output, and reportDelay by how much longer it must last than one that a crash cut, as
	// starts and cuts are reported late.
	SettleTime  = 50 * time.Millisecond
	reportDelay = 150 * time.Millisecond
	// sumUpInterval is the time after which outputs that last are taken into account.
	sumUpInterval = 20 * time.Millisecond
	// minRounds is the number of tests failed before the output after which a part is
	// quarantined, and minRoundsWithHistory that for a part with which requests have
	// started before. If some failed after the output, one more is needed of each, and
	// minRoundsOfProven of a part whose outputs have lasted. minRequests is the number of
	// different requests among them.
	minRounds            = 2
	minRoundsWithHistory = 3
	minRoundsOfProven    = 4
	minRequests          = 2
	// minMoreCrashes is the number of crashes by which a part explains more than another.
	minMoreCrashes = 2
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

// Cut is the end of a request whose engine broke off before the request's output, or
// soon after it.
type Cut struct {
	Process  Process
	Parts    []identifier.PromptPartID
	Shape    Shape
	PlacedAt time.Time
	// OutputAt is the start of the output, zero if there was none.
	OutputAt time.Time
}

// Process is one process of an engine. An engine that starts again may keep its name.
type Process struct {
	Engine    identifier.UpstreamName
	StartedAt time.Time
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
	// starts and olderStarts hold the last start of an output that ended whole or reached
	// ProvenAge by part, and the zero time if one has ended in another way.
	// olderStarts is dropped when starts is full.
	starts      map[identifier.PromptPartID]time.Time
	olderStarts map[identifier.PromptPartID]time.Time
	// outputs holds the other outputs that go on, the oldest first. openStarts holds the
	// starts of those that have a part of a remembered crash, by part, as of summedUpAt.
	outputs    []output
	openStarts map[identifier.PromptPartID][]time.Time
	summedUpAt time.Time
}

// New returns a quarantiner without evidence.
func New() *Quarantiner {
	return &Quarantiner{
		evidence:    make(map[identifier.PromptPartID]*evidence),
		quarantines: make(map[identifier.PromptPartID]*quarantine),
		starting:    make(map[identifier.PromptPartID]int),
		starts:      make(map[identifier.PromptPartID]time.Time),
		openStarts:  make(map[identifier.PromptPartID][]time.Time),
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

// RecordCut holds a cut against the parts of its request. Cuts of one process at about
// the same time are one crash.
func (q *Quarantiner) RecordCut(cut Cut, now time.Time) (decisions []Decision) {
	cut.Parts = limitParts(cut.Parts)
	if len(cut.Parts) == 0 {
		return nil
	}
	if !cut.OutputAt.IsZero() {
		q.removeOutput(cut.Parts, cut.OutputAt)
	}
	c := q.findCrash(cut.Process, now)
	if len(c.suspects) >= maxSuspects || c.partCount()+len(cut.Parts) > maxSuspectParts {
		return nil
	}
	c.addSuspect(cut)
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
			decisions = append(decisions, Decision{Change: ChangeExtended, Suspicion: held.suspicion, Engine: cut.Process.Engine, LastStart: q.lastStart(part), Until: held.until})
		}
	}
	q.sumUpAt(now)
	if c.explained {
		return decisions
	}
	decisions = append(decisions, q.suspect(cut)...)
	worst := q.findWorst(c)
	if worst == "" {
		return decisions
	}
	decision := q.decide(ChangeQuarantined, worst, cut.Process.Engine)
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

func (q *Quarantiner) suspect(cut Cut) (decisions []Decision) {
	for _, part := range cut.Parts {
		e := q.evidence[part]
		if e == nil || e.isSuspicious() {
			decisions = append(decisions, q.decide(ChangeSuspected, part, cut.Process.Engine))
		}
	}
	return decisions
}

func (q *Quarantiner) decide(change Change, part identifier.PromptPartID, engine identifier.UpstreamName) Decision {
	e := q.evidence[part]
	if e == nil {
		e = &evidence{}
	}
	return Decision{Change: change, Suspicion: e.suspicion(part), Engine: engine, Rounds: e.rounds.count, LastStart: q.lastStart(part)}
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
