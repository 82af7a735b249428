// Package planner chooses a prefill engine and a decode engine for each request.
// It reserves a seat, which is one place in a decode engine's batch, before the
// prefill starts: a prefill costs as much as many tens of output tokens, and its
// result expires in less than a second.
package planner

import (
	"maps"
	"math"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// defaultPrefillRate is the assumed prefill rate, in tokens per second, of an
	// engine that has not completed a prefill yet.
	defaultPrefillRate = 20_000.0
	// defaultLinkRate is the assumed transfer rate, in tokens per second, of a
	// link that has not been measured yet.
	defaultLinkRate = 500_000.0
	// crossZonePenalty is added to the cost of a pair whose engines are in
	// different zones.
	crossZonePenalty = 2 * time.Millisecond
	// fullEnginePenalty is the cost of a full decode engine relative to an empty
	// one.
	fullEnginePenalty = 150 * time.Millisecond
	// maxPrefillBacklog is the backlog above which a prefill engine gets no more
	// work. Further requests wait in this daemon, where they can still be
	// reordered and refused.
	maxPrefillBacklog = 400 * time.Millisecond
	// baseEjectionTime is how long an engine gets no new work after a failure.
	baseEjectionTime = 2 * time.Second
	// sampleWeight is the weight of a new sample in a moving average.
	sampleWeight = 0.2
	// reportMaxAge is the age above which an engine's load report is ignored.
	reportMaxAge = 3 * time.Second
	// minSampleTokens is the smallest amount of work from which a rate is
	// measured.
	minSampleTokens = 64
	// stallPenalty is added to the cost of a pair for stallPenaltyTime after a
	// transfer between its engines stalled.
	stallPenalty     = time.Second
	stallPenaltyTime = 5 * time.Second
	// stallsForEjection is the number of consecutive stalled transfers after
	// which a prefill engine is ejected. The ejection time doubles with each
	// further stall, at most maxEjectionDoublings times.
	stallsForEjection    = 2
	maxEjectionDoublings = 3
	// maxShortlist is the number of engines of each role that are considered as
	// pairs.
	maxShortlist = 8
)

// Request describes a request that needs a pair of engines.
type Request struct {
	Model        identifier.ModelName
	PromptTokens identifier.Tokens
	// Blocks are the hashes of the prompt's blocks, in order.
	Blocks []dispatcher.BlockHash
	// Deadline is the time at which the first token is due.
	Deadline time.Time
	// Requester is the daemon that the plan is for.
	Requester identifier.Incarnation
	// Avoid lists engines that already failed this request.
	Avoid []identifier.UpstreamName
}

// Plan is a chosen pair of engines with a reserved seat on the decode engine.
type Plan struct {
	Prefill parser.Upstream
	Decode  parser.Upstream
	// Cost is the estimated time to the first token, including the
	// penalties for zones, stalls and occupancy.
	Cost time.Duration
	// PrefillWork is the work added to the prefill engine's backlog.
	PrefillWork identifier.Tokens
	// TransferBound is the duration after which a transfer counts as stalled.
	TransferBound time.Duration

	holder      identifier.Incarnation
	prefillDone bool
	released    bool
}

// Planner tracks the load of the engines of all models. It is not safe for
// concurrent use; the scheduler serializes access to it.
type Planner struct {
	engines map[identifier.UpstreamName]*engine
	// enginesByName is sorted by name, so that ties between equal costs are
	// always resolved in the same way.
	enginesByName []*engine
	// linkRates holds the measured transfer rates in tokens per second.
	linkRates map[linkKey]float64
	// lastStalls holds the time of the last stalled transfer of each link.
	lastStalls map[linkKey]time.Time
}

// linkKey identifies the link from a prefill engine to a decode engine.
type linkKey struct {
	from identifier.UpstreamName
	to   identifier.UpstreamName
}

// New returns a planner without engines.
func New() *Planner {
	return &Planner{
		engines:    make(map[identifier.UpstreamName]*engine),
		linkRates:  make(map[linkKey]float64),
		lastStalls: make(map[linkKey]time.Time),
	}
}

// Configure replaces the engines with those of the model services of a
// configuration version. Engines that stay keep their state.
func (p *Planner) Configure(services map[identifier.ServiceName]parser.Service) {
	kept := make(map[identifier.UpstreamName]*engine)
	for _, service := range services {
		if service.Kind != parser.KindModel {
			continue
		}
		for _, upstream := range service.Upstreams {
			e, ok := p.engines[upstream.Name]
			if !ok {
				e = newEngine()
			}
			e.upstream = upstream
			e.model = service.Model
			kept[upstream.Name] = e
		}
	}
	p.engines = kept
	p.enginesByName = p.enginesByName[:0]
	for _, name := range slices.Sorted(maps.Keys(kept)) {
		p.enginesByName = append(p.enginesByName, kept[name])
	}
}

// Choose returns the cheapest pair and reserves a seat on its decode engine. It
// returns nil if no pair is free now. Only the maxShortlist cheapest engines of
// each role are paired, so the running time is linear in the number of engines
// and not quadratic.
func (p *Planner) Choose(now time.Time, req Request) *Plan {
	prefills := p.shortlist(now, req, parser.RolePrefill, func(e *engine) (time.Duration, bool) {
		backlog := e.prefillBacklog()
		return backlog + duration(float64(e.missingTokens(req))/e.prefillRate), backlog <= maxPrefillBacklog
	})
	decodes := p.freeDecodeEngines(now, req)
	var best *Plan
	for _, pre := range prefills {
		for _, dec := range decodes {
			cost := pre.cost + dec.cost + p.estimateTransfer(now, pre.engine, dec.engine, req.PromptTokens)
			if best == nil || cost < best.Cost {
				best = &Plan{Prefill: pre.engine.upstream, Decode: dec.engine.upstream, Cost: cost, PrefillWork: pre.engine.missingTokens(req), holder: req.Requester}
			}
		}
	}
	if best == nil {
		return nil
	}
	best.TransferBound = p.transferBound(best, req.PromptTokens)
	p.reserve(best)
	return best
}

// freeDecodeEngines returns the least occupied decode engines with a free seat.
func (p *Planner) freeDecodeEngines(now time.Time, req Request) []candidate {
	return p.shortlist(now, req, parser.RoleDecode, func(e *engine) (time.Duration, bool) {
		occupancy := e.occupancy(now)
		return e.occupancyCost(occupancy), occupancy < e.upstream.Slots
	})
}

// candidate is an engine with its own share of a pair's cost.
type candidate struct {
	engine *engine
	cost   time.Duration
}

// shortlist returns the cheapest engines of a role that may serve the request,
// sorted by cost. The evaluate function returns an engine's cost and whether it
// has room.
func (p *Planner) shortlist(now time.Time, req Request, role parser.Role, evaluate func(e *engine) (time.Duration, bool)) []candidate {
	var list []candidate
	for _, e := range p.enginesByName {
		if e.model != req.Model || e.upstream.Role != role || !e.isUsable(now) || slices.Contains(req.Avoid, e.upstream.Name) {
			continue
		}
		cost, hasRoom := evaluate(e)
		if !hasRoom {
			continue
		}
		list = insertCheapest(list, candidate{engine: e, cost: cost})
	}
	return list
}

// insertCheapest adds a candidate to a list sorted by cost and keeps only the
// maxShortlist cheapest.
func insertCheapest(list []candidate, c candidate) []candidate {
	index := len(list)
	for index > 0 && c.cost < list[index-1].cost {
		index--
	}
	if index >= maxShortlist {
		return list
	}
	list = slices.Insert(list, index, c)
	return list[:min(len(list), maxShortlist)]
}

// HasEngines reports whether a model has engines of both roles that are not
// leaving. Ejected engines count, as they may return before a request's deadline.
func (p *Planner) HasEngines(model identifier.ModelName) bool {
	hasRole := make(map[parser.Role]bool)
	for _, e := range p.enginesByName {
		if e.model == model && !e.isLeaving() {
			hasRole[e.upstream.Role] = true
		}
	}
	return hasRole[parser.RolePrefill] && hasRole[parser.RoleDecode]
}

// FastestPrefill returns the shortest time in which an engine can prefill the
// prompt. Callers use it to refuse requests that can no longer meet their
// deadline. It returns zero if any usable engine's rate is unknown, or if there
// is no usable engine.
func (p *Planner) FastestPrefill(now time.Time, req Request) time.Duration {
	fastest := time.Duration(math.MaxInt64)
	for _, e := range p.enginesByName {
		if e.model != req.Model || e.upstream.Role != parser.RolePrefill || !e.isUsable(now) {
			continue
		}
		if !e.isRateKnown {
			return 0
		}
		fastest = min(fastest, duration(float64(e.missingTokens(req))/e.prefillRate))
	}
	if fastest == math.MaxInt64 {
		return 0
	}
	return fastest
}

// Reseat moves a plan whose prefill is done to another decode engine: it reserves
// a seat there, releases the plan and returns its replacement. It returns nil and
// leaves the plan as it is if no decode engine has a free seat or the prefill
// engine is no longer configured.
func (p *Planner) Reseat(now time.Time, plan *Plan, req Request) *Plan {
	pre, ok := p.engines[plan.Prefill.Name]
	if !ok {
		return nil
	}
	decodes := p.freeDecodeEngines(now, req)
	if len(decodes) == 0 {
		return nil
	}
	best := decodes[0].engine
	best.adjustPlanned(plan.holder, 1, 0)
	p.Release(plan, now)
	moved := &Plan{Prefill: pre.upstream, Decode: best.upstream, holder: plan.holder, prefillDone: true}
	moved.TransferBound = p.transferBound(moved, req.PromptTokens)
	return moved
}

// reserve adds a plan to the planned loads of its engines. The plan becomes the
// probe of a prefill engine that was ejected for stalls.
func (p *Planner) reserve(plan *Plan) {
	pre := p.engines[plan.Prefill.Name]
	pre.adjustPlanned(plan.holder, 1, plan.PrefillWork)
	if pre.consecutiveStalls >= stallsForEjection {
		pre.probe = plan
	}
	p.engines[plan.Decode.Name].adjustPlanned(plan.holder, 1, 0)
}

// PrefillEnded releases a plan's load on its prefill engine. An elapsed time of
// zero means that the prefill failed. Otherwise the blocks count as cached, and
// the prefill rate is updated if the work is at least minSampleTokens and the
// engine has no other planned request. Later calls for the same plan do nothing.
func (p *Planner) PrefillEnded(plan *Plan, elapsed time.Duration, blocks []dispatcher.BlockHash, now time.Time) {
	if plan.prefillDone {
		return
	}
	plan.prefillDone = true
	pre, ok := p.engines[plan.Prefill.Name]
	if !ok {
		return
	}
	pre.adjustPlanned(plan.holder, -1, -plan.PrefillWork)
	if elapsed <= 0 {
		return
	}
	pre.cache.recordStored(blocks, now)
	if plan.PrefillWork >= minSampleTokens && pre.plannedRequests() == 0 {
		pre.updatePrefillRate(float64(plan.PrefillWork) / elapsed.Seconds())
	}
}

// TransferDone records the duration of a transfer that succeeded. It resets the
// prefill engine's count of consecutive stalls and ends its probe. Transfers of
// fewer than minSampleTokens do not update the link's rate.
func (p *Planner) TransferDone(plan *Plan, tokens identifier.Tokens, elapsed time.Duration) {
	pre, ok := p.engines[plan.Prefill.Name]
	if ok {
		pre.consecutiveStalls = 0
		pre.probe = nil
	}
	if tokens < minSampleTokens || elapsed <= 0 {
		return
	}
	key := linkKey{from: plan.Prefill.Name, to: plan.Decode.Name}
	p.linkRates[key] = movingAverage(p.linkRate(key), float64(tokens)/elapsed.Seconds())
}

// TransferFailed records that a transfer stalled, which adds stallPenalty to the
// pair's cost for stallPenaltyTime. After stallsForEjection consecutive stalls,
// the prefill engine is ejected for a time that doubles with each further stall.
// After the ejection it gets one request at a time as a probe, until a transfer
// succeeds.
func (p *Planner) TransferFailed(plan *Plan, now time.Time) {
	p.lastStalls[linkKey{from: plan.Prefill.Name, to: plan.Decode.Name}] = now
	pre, ok := p.engines[plan.Prefill.Name]
	if !ok {
		return
	}
	pre.consecutiveStalls++
	if pre.consecutiveStalls < stallsForEjection {
		return
	}
	exponent := min(pre.consecutiveStalls-stallsForEjection, maxEjectionDoublings)
	pre.ejectedUntil = now.Add(baseEjectionTime << exponent)
}

// Release frees what a plan still holds: its decode seat, and its prefill work if
// the prefill has not ended. It returns false if the plan was already released.
func (p *Planner) Release(plan *Plan, now time.Time) bool {
	if plan.released {
		return false
	}
	plan.released = true
	p.clearProbe(plan)
	p.PrefillEnded(plan, 0, nil, now)
	dec, ok := p.engines[plan.Decode.Name]
	if ok {
		dec.adjustPlanned(plan.holder, -1, 0)
	}
	return true
}

// clearProbe allows the prefill engine a new probe if the plan was its probe.
func (p *Planner) clearProbe(plan *Plan) {
	pre, ok := p.engines[plan.Prefill.Name]
	if ok && pre.probe == plan {
		pre.probe = nil
	}
}

// linkRate returns the transfer rate of a link in tokens per second.
func (p *Planner) linkRate(key linkKey) float64 {
	rate, ok := p.linkRates[key]
	if !ok {
		return defaultLinkRate
	}
	return rate
}

// estimateTransfer returns the cost of a transfer between two engines: its
// expected duration plus the penalties for zones and stalls.
func (p *Planner) estimateTransfer(now time.Time, pre, dec *engine, tokens identifier.Tokens) time.Duration {
	key := linkKey{from: pre.upstream.Name, to: dec.upstream.Name}
	cost := duration(float64(tokens) / p.linkRate(key))
	if pre.upstream.Zone != dec.upstream.Zone {
		cost += crossZonePenalty
	}
	stalledAt, stalled := p.lastStalls[key]
	if stalled && now.Sub(stalledAt) < stallPenaltyTime {
		cost += stallPenalty
	}
	return cost
}

// transferBound returns the duration after which a transfer counts as stalled: a
// fixed margin plus several times the expected duration.
func (p *Planner) transferBound(plan *Plan, tokens identifier.Tokens) time.Duration {
	const (
		margin = 200 * time.Millisecond
		factor = 4
	)
	key := linkKey{from: plan.Prefill.Name, to: plan.Decode.Name}
	return margin + factor*duration(float64(tokens)/p.linkRate(key))
}

// movingAverage returns the exponential moving average after a new sample.
func movingAverage(old, sample float64) float64 {
	return old + sampleWeight*(sample-old)
}

func duration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
