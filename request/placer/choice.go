package placer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// Choice selects how engines are chosen.
type Choice string

// The choices.
const (
	// ChoicePooled takes the pair with the lowest forecast peak, at one speed for all
	// engines.
	ChoicePooled Choice = "pooled"
	// ChoiceBySpeed takes, among pairs of nearly equal cost, the one that the hash of
	// the request's last prompt part ranks first.
	ChoiceBySpeed Choice = "by-speed"
)

const (
	// decodeTolerance is the extra cost, as a fraction of a decode engine's memory, at
	// which an engine counts as nearly equal. It is about the memory of one request.
	// All engines whose memory is promised up to comfortableFill count as equal too: with
	// decodeTolerance alone, resumes after a restart read 1,590k tokens again, with 0.7
	// 849k, with 0.9 354k (TestResumesFindTheirPrompts).
	decodeTolerance = 0.15
	comfortableFill = 0.9
	// maxFitChecks bounds the decode engines whose memory is forecast for one request,
	// because the forecast takes much longer than the comparison of two engines.
	maxFitChecks = 8
)

// DefaultZoneCost is the cost of a transfer between two zones, which takes twice as
// long as one within a zone.
func DefaultZoneCost(from, to identifier.ZoneName) time.Duration {
	if from == to {
		return 0
	}
	return transferTime
}

// memoryFraction converts a waiting time to a cost in fractions of a decode engine's
// memory.
func memoryFraction(wait time.Duration) float64 {
	return crossZonePenalty * float64(wait) / float64(transferTime)
}

// candidate is a decode engine with room for a request, and what it costs to use it.
type candidate struct {
	engine *engine
	cost   float64
}

// choice is the choice of engines for one request.
type choice struct {
	pending  *PendingRequest
	mayCrash bool
	now      time.Time
	// partHash is the hash of the request's last prompt part. It ranks the engines by
	// rendezvous hashing, so that every daemon finds the engines that have the prompt,
	// without any state.
	partHash uint64
	// promptZone is the zone that is preferred, empty if there is none.
	promptZone identifier.ZoneName
	// need is the memory of the request at its end, as a fraction of an engine's.
	need float64
}

// rank returns the rank of an engine for the request. The highest is the first choice.
func (c *choice) rank(e *engine) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], c.partHash)
	binary.LittleEndian.PutUint64(key[8:], e.nameHash)
	return xxhash.Sum64(key[:])
}

// hasAffinity reports whether the request's prompt ranks the engines.
func (c *choice) hasAffinity() bool {
	return c.pending.request.OwnPart != ""
}

// isRepeat reports whether engines are likely to have the request's prompt.
func (c *choice) isRepeat() bool {
	return c.pending.request.Resumed || len(c.pending.request.Avoid) > 0
}

// place assigns a request to a pair of engines. It returns false if no pair has room.
func (p *Pool) place(pending *PendingRequest, mayCrash bool, now time.Time) bool {
	if p.Choice == ChoiceBySpeed {
		return p.placeByCost(pending, mayCrash, now)
	}
	return p.placePooled(pending, mayCrash, now)
}

// placeByCost assigns a request to the pair that its prompt ranks first among those of
// nearly equal cost. The cost of a decode engine is the fraction of its memory that is
// promised to requests, in proportion to the time that it takes to serve them, plus the
// extra wait for a prefill engine as a fraction of memory.
func (p *Pool) placeByCost(pending *PendingRequest, mayCrash bool, now time.Time) bool {
	c := &choice{pending: pending, mayCrash: mayCrash, now: now, partHash: xxhash.Sum64String(string(pending.request.OwnPart)), promptZone: p.failedZone(pending.request)}
	c.need = (tokens(pending.request.PromptTokens) + pending.expectedOutput) / max(1, tokens(p.profile.KVCacheCapacity))
	p.leaveOut(pending.request)
	prefills := p.prefillCandidates(c)
	candidates := p.decodeCandidates(c, zoneWaits(prefills))
	if p.placeWithoutPrefill(c, candidates) {
		return true
	}
	if len(prefills) == 0 {
		return false
	}
	for range maxFitChecks {
		decode := c.pickDecode(candidates)
		if decode < 0 {
			return false
		}
		e := candidates[decode].engine
		pl := p.newPlacement(pending, p.pickPrefill(c, prefills, e.entry.Zone), e, now)
		peak, fits := p.forecast(pl, now)
		if fits && p.grant(pending, pl, peak, now) {
			return true
		}
		candidates[decode] = candidates[len(candidates)-1]
		candidates = candidates[:len(candidates)-1]
	}
	return false
}

// decodeCandidates returns the usable decode engines with a free slot. The result is
// valid until the next call.
func (p *Pool) decodeCandidates(c *choice, waits []zoneWait) []candidate {
	capacity := max(1, tokens(p.profile.KVCacheCapacity))
	meanRate := p.meanDecodeRate()
	zoneCosts := make(map[identifier.ZoneName]float64)
	candidates := p.candidates[:0]
	for _, e := range p.byRole[parser.RoleDecode] {
		if len(e.placements) >= max(1, e.entry.Slots) || !p.isUsable(e, c.now) || p.isReserved(e, c) {
			continue
		}
		zoneCost, known := zoneCosts[e.entry.Zone]
		if !known {
			zoneCost = memoryFraction(p.excessWait(waits, e.entry.Zone))
			zoneCosts[e.entry.Zone] = zoneCost
		}
		fill := (e.reserved + e.estimateExternalTokens(c.now)) / capacity
		cost := fill*meanRate/p.decodeRateOf(e, c.now) + zoneCost
		if c.mayCrash {
			cost += float64(len(e.placements))
		}
		candidates = append(candidates, candidate{engine: e, cost: cost})
	}
	p.candidates = candidates
	return candidates
}

// pickDecode returns the index of the candidate that the prompt ranks first among those
// of nearly the lowest cost, or -1 if there is none.
func (c *choice) pickDecode(candidates []candidate) int {
	cheapest := -1
	for i := range candidates {
		if cheapest < 0 || candidates[i].cost < candidates[cheapest].cost {
			cheapest = i
		}
	}
	if cheapest < 0 || !c.hasAffinity() || c.mayCrash {
		return cheapest
	}
	highest := max(candidates[cheapest].cost+decodeTolerance, comfortableFill-c.need)
	best, bestRank, bestInZone := -1, uint64(0), false
	for i := range candidates {
		if candidates[i].cost > highest {
			continue
		}
		e := candidates[i].engine
		rank, inZone := c.rank(e), e.entry.Zone == c.promptZone
		if best < 0 || (inZone && !bestInZone) || (inZone == bestInZone && rank > bestRank) {
			best, bestRank, bestInZone = i, rank, inZone
		}
	}
	return best
}

// failedZone returns the zone of a decode engine that failed the request. The prefill
// engine that has the prompt is probably in the same zone.
func (p *Pool) failedZone(req Request) identifier.ZoneName {
	for _, name := range req.Avoid {
		e, ok := p.engines[name]
		if ok && e.entry.Role == parser.RoleDecode {
			return e.entry.Zone
		}
	}
	return ""
}

// placeWithoutPrefill assigns a resumed request to the decode engine that its prompt
// ranks first, which has probably run it and still has its prompt. That engine reads
// the rest by itself. It returns false if the engine is not usable or costs too much.
func (p *Pool) placeWithoutPrefill(c *choice, candidates []candidate) bool {
	if !c.pending.request.Resumed || !c.hasAffinity() || c.mayCrash {
		return false
	}
	first := c.firstChoice(p.byRole[parser.RoleDecode])
	picked := c.pickDecode(candidates)
	if picked < 0 || candidates[picked].engine != first {
		return false
	}
	pl := p.newPlacement(c.pending, first, first, c.now)
	pl.prefillTime = 0
	pl.prefilled = true
	pl.decodeStart = c.now
	peak, fits := p.forecast(pl, c.now)
	return fits && p.grant(c.pending, pl, peak, c.now)
}

// firstChoice returns the engine that the prompt ranks first, whatever its state.
func (c *choice) firstChoice(engines []*engine) (first *engine) {
	highest := uint64(0)
	for _, e := range engines {
		rank := c.rank(e)
		if first == nil || rank > highest {
			first, highest = e, rank
		}
	}
	return first
}

// forecast returns the peak memory of the decode engine of a placement, which is not in
// the pool yet, and whether it fits. An engine without placements accepts any request.
func (p *Pool) forecast(pl *placement, now time.Time) (peak float64, fits bool) {
	decode := pl.decode
	limit := maxUtilization * tokens(p.profile.KVCacheCapacity)
	p.forecasted = append(append(p.forecasted[:0], decode.placements...), pl)
	peak = peakMemory(p.forecasted, now, p.decodeRateOf(decode, now)) + decode.estimateExternalTokens(now)
	return peak, peak <= limit || len(decode.placements) == 0
}

// grant adds a placement and tells the request about it. It returns false if one of the
// engines is cold and may not get another request now.
func (p *Pool) grant(pending *PendingRequest, pl *placement, peak float64, now time.Time) bool {
	if !p.grants.takeBoth(pl) {
		return false
	}
	p.addPlacement(pl, now)
	granted := Grant{Decode: pl.decode.entry.Name, Waited: now.Sub(pending.queuedAt), PeakUtilization: peak / max(1, tokens(p.profile.KVCacheCapacity))}
	if pl.prefill != pl.decode {
		granted.Prefill = pl.prefill.entry.Name
	}
	pending.Outcome <- Outcome{Grant: granted}
	return true
}
