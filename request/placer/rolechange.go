package placer

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// minMixRequests is the number of requests needed before their mean size is
	// used.
	minMixRequests = 16
	// minMixWeight is the smallest weight of a new request in the moving averages
	// of request sizes. Each of the first requests weighs more.
	minMixWeight = 0.01
	// prefillHeadroom is the factor by which the prefill capacity must exceed the
	// mean prefill load, because prompts arrive in bursts and a request whose
	// prompt is queued misses its deadline.
	prefillHeadroom = 1.3
	// minThroughputGain is the relative throughput gain required for a role
	// change.
	minThroughputGain = 0.1
	// A pool with minEnginesForTwoPrefills engines or more has at least two prefill
	// engines, so that one may fail.
	minEnginesForTwoPrefills = 6
	// maxChangingFraction is the fraction of engines that may change role at the
	// same time.
	maxChangingFraction = 0.15
	// switchGrace is how much longer than the profile's switch time an engine may
	// take to report its new role, because it first finishes its running requests.
	switchGrace = 14 * time.Second
)

// RoleChange recommends a new role for one engine.
type RoleChange struct {
	Engine registrar.Entry
	To     parser.Role
	// PrefillCount and DecodeCount are the current numbers of engines in each
	// role; an engine that is changing its role counts under the new one.
	// TargetPrefillCount is the number of prefill engines that gives the highest
	// throughput.
	PrefillCount       int
	DecodeCount        int
	TargetPrefillCount int
	// PrefillTime and DecodeTime are what a request of mean size uses of the
	// engines' capacity, as times for which it would occupy one whole prefill engine
	// and one whole decode engine.
	PrefillTime time.Duration
	DecodeTime  time.Duration
}

// requestMix holds the number of submitted requests and moving averages of their
// prompt and output tokens.
type requestMix struct {
	requests         int
	meanPromptTokens float64
	meanOutputTokens float64
}

func (m *requestMix) add(promptTokens, outputTokens float64) {
	m.requests++
	weight := max(minMixWeight, 1/float64(m.requests))
	m.meanPromptTokens += weight * (promptTokens - m.meanPromptTokens)
	m.meanOutputTokens += weight * (outputTokens - m.meanOutputTokens)
}

// pendingRoleChange is a role change in progress, which expires at until.
type pendingRoleChange struct {
	to    parser.Role
	until time.Time
}

// isChangingRole reports whether the engine is changing its role. It gets no
// requests while it does.
func (e *engine) isChangingRole(now time.Time) bool {
	return now.Before(e.roleChange.until)
}

// effectiveRole returns the engine's new role if it is changing its role, and its
// current one otherwise.
func (e *engine) effectiveRole(now time.Time) parser.Role {
	if e.isChangingRole(now) {
		return e.roleChange.to
	}
	return e.entry.Role
}

// RecommendRoleChange returns the role change of one engine that brings the pool
// closer to its best throughput for the current request mix. It returns false if
// the gain is too small, too few requests were submitted, or too many engines are
// already changing their roles.
func (p *Pool) RecommendRoleChange(now time.Time) (c RoleChange, ok bool) {
	changing := 0
	for _, e := range p.engines {
		switch e.effectiveRole(now) {
		case parser.RolePrefill:
			c.PrefillCount++
		case parser.RoleDecode:
			c.DecodeCount++
		}
		if e.isChangingRole(now) {
			changing++
		}
	}
	total := c.PrefillCount + c.DecodeCount
	if p.mix.requests < minMixRequests || total < 2 || changing >= max(1, int(maxChangingFraction*float64(total))) {
		return c, false
	}
	prefillTime, decodeTime := p.meanEngineTimes()
	c.PrefillTime = duration(prefillTime)
	c.DecodeTime = duration(decodeTime)
	c.TargetPrefillCount = bestPrefillCount(total, prefillTime, decodeTime)
	gain := throughput(c.TargetPrefillCount, total, prefillTime, decodeTime) / throughput(c.PrefillCount, total, prefillTime, decodeTime)
	if c.TargetPrefillCount == c.PrefillCount || gain < 1+minThroughputGain {
		return c, false
	}
	from := parser.RolePrefill
	c.To = parser.RoleDecode
	if c.TargetPrefillCount > c.PrefillCount {
		from, c.To = c.To, from
	}
	c.Engine, ok = p.leastBusyEngine(from, now)
	return c, ok
}

// meanEngineTimes returns the times in seconds for which a request of mean size
// would occupy one whole prefill engine and one whole decode engine. A decode engine
// is limited by its slots or its memory, whichever runs out first.
func (p *Pool) meanEngineTimes() (prefillTime, decodeTime float64) {
	prefillTime = prefillHeadroom * p.mix.meanPromptTokens / p.meanPrefillRate()
	memory := tokenSeconds(p.mix.meanPromptTokens, p.mix.meanOutputTokens, p.meanDecodeRate()) / (maxUtilization * max(1, tokens(p.profile.KVCacheCapacity)))
	slots := p.mix.meanOutputTokens / p.meanDecodeRate() / max(1, float64(p.profile.Slots))
	return prefillTime, max(memory, slots)
}

// throughput returns how many requests of mean size per second the engines can
// serve if prefillCount of them are prefill engines and the rest decode engines.
func throughput(prefillCount, total int, prefillTime, decodeTime float64) float64 {
	return min(float64(prefillCount)/prefillTime, float64(total-prefillCount)/decodeTime)
}

// bestPrefillCount returns the number of prefill engines that gives the highest
// throughput.
func bestPrefillCount(total int, prefillTime, decodeTime float64) int {
	minCount := 1
	if total >= minEnginesForTwoPrefills {
		minCount = 2
	}
	bestCount := minCount
	highest := -math.MaxFloat64
	for prefillCount := minCount; prefillCount < total; prefillCount++ {
		rate := throughput(prefillCount, total, prefillTime, decodeTime)
		if rate > highest {
			highest = rate
			bestCount = prefillCount
		}
	}
	return bestCount
}

// leastBusyEngine returns the least loaded usable engine of a role from the zone
// with the most such engines.
func (p *Pool) leastBusyEngine(role parser.Role, now time.Time) (registrar.Entry, bool) {
	candidates := p.usableEngines(role, Request{}, now)
	if len(candidates) == 0 {
		return registrar.Entry{}, false
	}
	inZone := make(map[identifier.ZoneName]int)
	for _, e := range candidates {
		inZone[e.entry.Zone]++
	}
	best := slices.MinFunc(candidates, func(a, b *engine) int {
		return cmp.Or(
			cmp.Compare(inZone[b.entry.Zone], inZone[a.entry.Zone]),
			cmp.Compare(len(a.placements), len(b.placements)),
			a.busyUntil.Compare(b.busyUntil),
			strings.Compare(string(a.entry.Name), string(b.entry.Name)),
		)
	})
	return best.entry, true
}

// BeginRoleChange stops assigning requests to an engine that is about to change
// its role. Assignment resumes when the engine reports its new role, when it
// restarts, or after the profile's switch time plus switchGrace.
func (p *Pool) BeginRoleChange(name identifier.UpstreamName, to parser.Role, now time.Time) {
	e, ok := p.engines[name]
	if ok {
		e.roleChange = pendingRoleChange{to: to, until: now.Add(p.profile.RoleChangeTime + switchGrace)}
	}
}

// CancelRoleChange undoes BeginRoleChange.
func (p *Pool) CancelRoleChange(name identifier.UpstreamName) {
	e, ok := p.engines[name]
	if ok {
		e.roleChange = pendingRoleChange{}
	}
}

// HasNoPendingWork reports whether an engine has no prefill to finish and no
// decode to start.
func (p *Pool) HasNoPendingWork(name identifier.UpstreamName) bool {
	for _, pl := range p.placements {
		isPending := (pl.prefill.entry.Name == name && !pl.prefilled) || (pl.decode.entry.Name == name && !pl.decoding)
		if isPending {
			return false
		}
	}
	return true
}
