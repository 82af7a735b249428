package quarantiner

import (
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
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

func (e *evidence) suspicion(part identifier.PromptPartID) Suspicion {
	return Suspicion{Part: part, Crashes: e.crashes, Requests: len(e.shapes), LastCrash: e.lastCrash}
}

// Suspicions returns the evidence for another daemon: quarantined parts first, then
// suspected ones, then those that were cleared, the newest first.
func (q *Quarantiner) Suspicions(now time.Time) (suspicions []Suspicion) {
	for _, held := range q.quarantines {
		suspicions = append(suspicions, held.suspicion)
	}
	for part, e := range q.evidence {
		if e.isSuspicious() && now.Sub(e.lastCrash) <= evidenceAge {
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
				if q.isCleared(part, c) {
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
			// Which process it was is not known. No two crashes are of the same one.
			q.addCrash(&crash{process: Process{StartedAt: s.LastCrash}, at: s.LastCrash, suspects: []Cut{cut}})
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
