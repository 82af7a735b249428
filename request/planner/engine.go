package planner

import (
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// engine is the planner's view of one engine.
type engine struct {
	upstream parser.Upstream
	model    identifier.ModelName

	// plannedLoads is the load that this planner assigned, by the daemon that
	// holds the plan.
	plannedLoads map[identifier.Incarnation]Load
	// reportedLoads is the load that each daemon reports to have running on the
	// engine, whether or not this planner assigned it.
	reportedLoads map[identifier.Incarnation]Load

	// engineLoad is the last report of the engine itself, reportedAt the time of
	// that report and plannedAtReport the value of plannedRequests at that time.
	engineLoad      dispatcher.LoadReport
	reportedAt      time.Time
	plannedAtReport int

	ejectedUntil      time.Time
	consecutiveStalls int
	// probe is the single plan that an engine gets after an ejection for stalled
	// transfers; nil if there is none.
	probe *Plan
	// leaving is set when the engine reports that it shuts down, and vmLeaving
	// when the platform lists its VM as leaving.
	leaving   bool
	vmLeaving bool
	// prefillRate is in tokens per second. It is the default until isRateKnown.
	prefillRate float64
	isRateKnown bool
	cache       *cacheEstimate
}

// Load is the work that one daemon has on one engine.
type Load struct {
	// Running is the number of requests.
	Running int
	// PendingPrefill is the prefill work that is not done yet.
	PendingPrefill identifier.Tokens
}

func newEngine() *engine {
	return &engine{
		plannedLoads:  make(map[identifier.Incarnation]Load),
		reportedLoads: make(map[identifier.Incarnation]Load),
		prefillRate:   defaultPrefillRate,
		cache:         newCacheEstimate(),
	}
}

// isUsable reports whether the engine may get new work. It may not while it is
// leaving, ejected or being probed.
func (e *engine) isUsable(now time.Time) bool {
	return !e.isLeaving() && e.probe == nil && !now.Before(e.ejectedUntil)
}

// isLeaving reports whether the engine or the platform has announced that the
// engine is leaving.
func (e *engine) isLeaving() bool {
	return e.leaving || e.vmLeaving
}

// occupancy estimates the number of requests on a decode engine. It is the total
// load known from plans and daemons or, if larger, the engine's own report plus
// the requests planned since. Reports older than reportMaxAge do not count.
func (e *engine) occupancy(now time.Time) int {
	known := e.totalLoad().Running
	if now.Sub(e.reportedAt) > reportMaxAge {
		return known
	}
	plannedSince := e.plannedRequests() - e.plannedAtReport
	return max(known, e.engineLoad.Running+e.engineLoad.Waiting+plannedSince)
}

// totalLoad adds up the daemons' loads on the engine. For each daemon it takes the
// larger of the planned and the reported values.
func (e *engine) totalLoad() Load {
	var sum Load
	for holder, planned := range e.plannedLoads {
		reported := e.reportedLoads[holder]
		sum.Running += max(planned.Running, reported.Running)
		sum.PendingPrefill += max(planned.PendingPrefill, reported.PendingPrefill)
	}
	for holder, reported := range e.reportedLoads {
		_, hasPlanned := e.plannedLoads[holder]
		if !hasPlanned {
			sum.Running += reported.Running
			sum.PendingPrefill += reported.PendingPrefill
		}
	}
	return sum
}

// plannedRequests returns the number of requests that this planner assigned.
func (e *engine) plannedRequests() int {
	sum := 0
	for _, planned := range e.plannedLoads {
		sum += planned.Running
	}
	return sum
}

// adjustPlanned adds to the planned load of a holder; the changes may be negative.
func (e *engine) adjustPlanned(holder identifier.Incarnation, running int, tokens identifier.Tokens) {
	load := e.plannedLoads[holder]
	load.Running += running
	load.PendingPrefill += tokens
	if load == (Load{}) {
		delete(e.plannedLoads, holder)
		return
	}
	e.plannedLoads[holder] = load
}

// prefillBacklog estimates how long a prefill engine needs for its pending work.
func (e *engine) prefillBacklog() time.Duration {
	return duration(float64(e.totalLoad().PendingPrefill) / e.prefillRate)
}

// updatePrefillRate adds a sample, in tokens per second, to the prefill rate. The
// first sample replaces the default.
func (e *engine) updatePrefillRate(sample float64) {
	if !e.isRateKnown {
		e.prefillRate = sample
		e.isRateKnown = true
		return
	}
	e.prefillRate = movingAverage(e.prefillRate, sample)
}

// occupancyCost returns the cost of placing a request on a decode engine, which
// grows linearly with its occupancy.
func (e *engine) occupancyCost(occupancy int) time.Duration {
	utilization := float64(occupancy) / float64(e.upstream.Slots)
	return time.Duration(utilization * float64(fullEnginePenalty))
}

// missingTokens returns the prompt tokens that a prefill on this engine has to
// compute.
func (e *engine) missingTokens(req Request) identifier.Tokens {
	return req.PromptTokens - e.cache.cachedPrefix(req.Blocks)
}

// UpdateLoad records an engine's load report. It ignores unknown engines.
func (p *Planner) UpdateLoad(name identifier.UpstreamName, load dispatcher.LoadReport, now time.Time) {
	e, ok := p.engines[name]
	if !ok {
		return
	}
	e.engineLoad = load
	e.reportedAt = now
	e.plannedAtReport = e.plannedRequests()
	e.leaving = load.Draining
}

// MarkFailed ejects an engine that did not answer, so that it gets no new work for
// baseEjectionTime.
func (p *Planner) MarkFailed(name identifier.UpstreamName, now time.Time) {
	e, ok := p.engines[name]
	if ok {
		e.ejectedUntil = now.Add(baseEjectionTime)
	}
}

// SetDrainingVMs replaces the set of VMs that the platform lists as leaving. Their
// engines get no new work.
func (p *Planner) SetDrainingVMs(leaving []identifier.VMName) {
	for _, e := range p.engines {
		e.vmLeaving = slices.Contains(leaving, e.upstream.VM)
	}
}

// SetReportedLoads replaces the loads that a daemon reports to have running.
func (p *Planner) SetReportedLoads(holder identifier.Incarnation, loads map[identifier.UpstreamName]Load) {
	for name, e := range p.engines {
		load, ok := loads[name]
		if ok {
			e.reportedLoads[holder] = load
		} else {
			delete(e.reportedLoads, holder)
		}
	}
}

// DropLoadsOfDeadDaemons drops the reported loads of daemons that are not live.
func (p *Planner) DropLoadsOfDeadDaemons(live []identifier.Incarnation) {
	for _, e := range p.engines {
		for holder := range e.reportedLoads {
			if !slices.Contains(live, holder) {
				delete(e.reportedLoads, holder)
			}
		}
	}
}

// HandleCacheEvents applies cache events of an engine to its cache estimate. It
// ignores unknown engines.
func (p *Planner) HandleCacheEvents(name identifier.UpstreamName, events []dispatcher.CacheEvent, now time.Time) {
	e, ok := p.engines[name]
	if !ok {
		return
	}
	for _, event := range events {
		if event.Stored {
			e.cache.recordStored([]dispatcher.BlockHash{event.Block}, now)
		} else {
			e.cache.recordEvicted(event.Block)
		}
	}
}

// Status is the state of an engine as shown to operators.
type Status struct {
	Upstream  identifier.UpstreamName `json:"upstream"`
	Role      parser.Role             `json:"role"`
	Usable    bool                    `json:"usable"`
	Occupancy int                     `json:"occupancy"`
	Slots     int                     `json:"seats"`
}

// Statuses returns the state of each engine, sorted by name.
func (p *Planner) Statuses(now time.Time) []Status {
	var statuses []Status
	for name, e := range p.engines {
		statuses = append(statuses, Status{
			Upstream:  name,
			Role:      e.upstream.Role,
			Usable:    e.isUsable(now),
			Occupancy: e.occupancy(now),
			Slots:     e.upstream.Slots,
		})
	}
	slices.SortFunc(statuses, func(a, b Status) int {
		if a.Upstream < b.Upstream {
			return -1
		}
		return 1
	})
	return statuses
}
