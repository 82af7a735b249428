package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

// crash is an engine's crash with the requests that it is held against.
type crash struct {
	process  Process
	at       time.Time
	suspects []Cut
	// outputAges holds the age of the oldest output with a part that the crash cut, if any.
	// The part may crash engines that late.
	outputAges map[identifier.PromptPartID]time.Duration
	// explained is set if a quarantined part was among them.
	explained bool
}

// evidence sums up the crashes that are held against a part.
type evidence struct {
	crashes   int
	lastCrash time.Time
	shapes    map[Shape]bool
	engines   map[identifier.UpstreamName]bool
	// rounds are the failed tests, and startRounds those that failed before the output.
	rounds      testRounds
	startRounds testRounds
}

// testRounds counts independent tests of a part.
type testRounds struct {
	count     int
	last      time.Time
	processes map[Process]bool
}

// add counts a crash. Only a request that was placed after the last round was known is
// another test: crashes at the same moment have a cause of their own, and those of
// requests on their way have not been held back.
func (r *testRounds) add(c *crash, placedAt time.Time) {
	if r.processes[c.process] || placedAt.Before(r.last) {
		return
	}
	if r.processes == nil {
		r.processes = make(map[Process]bool)
	}
	r.processes[c.process] = true
	r.count++
	r.last = c.at
}

// isSuspicious reports whether requests with the part are held back. A crash is held
// against many requests with output, so one alone says little.
func (e *evidence) isSuspicious() bool {
	return e.startRounds.count > 0 || e.rounds.count >= minRounds
}

// findCrash returns the crash that a cut of a process belongs to, a new one if there
// is none.
func (q *Quarantiner) findCrash(process Process, at time.Time) *crash {
	for _, c := range q.crashes {
		if c.process == process && at.Sub(c.at).Abs() < crashWindow {
			return c
		}
	}
	c := &crash{process: process, at: at}
	q.addCrash(c)
	return c
}

func (c *crash) addSuspect(cut Cut) {
	c.suspects = append(c.suspects, cut)
	if cut.OutputAt.IsZero() {
		return
	}
	if c.outputAges == nil {
		c.outputAges = make(map[identifier.PromptPartID]time.Duration)
	}
	for _, part := range cut.Parts {
		c.outputAges[part] = max(c.outputAges[part], c.at.Sub(cut.OutputAt))
	}
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
	q.summedUpAt = now
	q.sumUp()
}

// sumUp sums up the crashes by part. It leaves out those of which the part is cleared and
// those that a quarantined part explains.
func (q *Quarantiner) sumUp() {
	clear(q.evidence)
	q.collectOpenStarts()
	for _, c := range q.crashes {
		if c.explained {
			continue
		}
		for _, cut := range c.suspects {
			for _, part := range cut.Parts {
				_, isQuarantined := q.quarantines[part]
				if !isQuarantined && !q.isCleared(part, c) {
					q.addEvidence(part, c, cut)
				}
			}
		}
	}
}

// addEvidence adds a suspect of a crash.
func (q *Quarantiner) addEvidence(part identifier.PromptPartID, c *crash, cut Cut) {
	e := q.evidence[part]
	if e == nil {
		e = &evidence{shapes: make(map[Shape]bool), engines: make(map[identifier.UpstreamName]bool)}
		q.evidence[part] = e
	}
	e.rounds.add(c, cut.PlacedAt)
	if cut.OutputAt.IsZero() {
		e.startRounds.add(c, cut.PlacedAt)
	}
	if !e.lastCrash.Equal(c.at) {
		e.crashes++
	}
	e.lastCrash = c.at
	e.shapes[cut.Shape] = true
	e.engines[c.process.Engine] = true
}

// findWorst returns the part that explains a crash best, empty if that has not failed
// enough tests or another part explains the crashes better.
func (q *Quarantiner) findWorst(c *crash) (worst identifier.PromptPartID) {
	for _, cut := range c.suspects {
		for _, part := range cut.Parts {
			e := q.evidence[part]
			if e != nil && len(e.shapes) >= minRequests && (worst == "" || q.compare(part, worst) >= 0) {
				worst = part
			}
		}
	}
	if worst == "" || !q.hasFailedTests(worst, q.evidence[worst]) {
		return ""
	}
	for part, e := range q.evidence {
		// Its cut of this crash may not be reported yet.
		if len(e.shapes) >= minRequests && q.compare(part, worst) > 0 {
			return ""
		}
	}
	return worst
}

// compare returns a positive number if a part explains the crashes better than another:
// if it was in clearly more of them, then if its outputs have not lasted for longer, then
// if it failed more tests. A part that is later in the prompt is in fewer requests, and is
// the better one of two that are equal.
func (q *Quarantiner) compare(part, other identifier.PromptPartID) int {
	e, otherEvidence := q.evidence[part], q.evidence[other]
	moreCrashes := e.crashes - otherEvidence.crashes
	if max(moreCrashes, -moreCrashes) < minMoreCrashes {
		moreCrashes = 0
	}
	return cmp.Or(moreCrashes, q.lastStart(other).Compare(q.lastStart(part)), e.rounds.count-otherEvidence.rounds.count)
}

func (q *Quarantiner) hasFailedTests(part identifier.PromptPartID, e *evidence) bool {
	minStartRounds, minAllRounds := minRounds, minRoundsWithHistory
	if q.hasHistory(part) {
		minStartRounds = minRoundsWithHistory
	}
	if !q.lastStart(part).IsZero() {
		minAllRounds = minRoundsOfProven
	}
	return e.startRounds.count >= minStartRounds || e.rounds.count >= minAllRounds
}
