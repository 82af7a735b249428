package planner

import (
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// engine is what this daemon knows of one engine.
type engine struct {
	upstream parser.Upstream
	model    identifier.ModelName

	// ownRunning and ownTokens are this daemon's own work there.
	ownRunning int
	ownTokens  identifier.Tokens
	// peers is what other daemons said they have there.
	peers map[identifier.Incarnation]PeerLoad

	report      dispatcher.Load
	reportedAt  time.Time
	ownAtReport int

	sickUntil   time.Time
	stallsInRow int
	// probe is the one plan that an engine gets after its transfers stalled.
	probe       *Plan
	leaving     bool
	unlisted    bool
	prefillRate float64
	isRateKnown bool
	cache       *cacheEstimate
}

// PeerLoad is what one daemon has running at one engine.
type PeerLoad struct {
	Running int
	Tokens  identifier.Tokens
}

func newEngine() *engine {
	return &engine{
		peers:       make(map[identifier.Incarnation]PeerLoad),
		prefillRate: defaultPrefillRate,
		cache:       newCacheEstimate(),
	}
}

func (e *engine) isUsable(now time.Time) bool {
	return !e.leaving && !e.unlisted && e.probe == nil && !now.Before(e.sickUntil)
}

// occupancy estimates the requests at a decode engine: this daemon's own, and
// of the others the larger of what they said and what the report implies.
func (e *engine) occupancy(now time.Time) int {
	others := 0
	for _, load := range e.peers {
		others += load.Running
	}
	if now.Sub(e.reportedAt) <= reportFresh {
		others = max(others, e.report.Running+e.report.Waiting-e.ownAtReport)
	}
	return e.ownRunning + others
}

// backlog estimates how long a prefill engine is busy with what it has.
func (e *engine) backlog() time.Duration {
	tokens := e.ownTokens
	for _, load := range e.peers {
		tokens += load.Tokens
	}
	return duration(float64(tokens) / e.prefillRate)
}

// learnRate takes a sample of the prefill rate. The first one replaces the
// default.
func (e *engine) learnRate(sample float64) {
	if !e.isRateKnown {
		e.prefillRate = sample
		e.isRateKnown = true
		return
	}
	e.prefillRate = blend(e.prefillRate, sample)
}

func (e *engine) seatCost(now time.Time) time.Duration {
	fill := float64(e.occupancy(now)) / float64(e.upstream.Seats)
	return time.Duration(fill * float64(seatPenalty))
}

// Reported takes an engine's load report.
func (p *Planner) Reported(name identifier.UpstreamName, load dispatcher.Load, now time.Time) {
	e, ok := p.engines[name]
	if !ok {
		return
	}
	e.report = load
	e.reportedAt = now
	e.ownAtReport = e.ownRunning
	e.leaving = load.Leaving
}

// Failed marks an engine that did not answer, so that it gets no new work for
// a while.
func (p *Planner) Failed(name identifier.UpstreamName, now time.Time) {
	e, ok := p.engines[name]
	if ok {
		e.sickUntil = now.Add(sickFor)
	}
}

// Listed marks the engines whose VMs the platform lists as leaving.
func (p *Planner) Listed(leaving []identifier.VMName) {
	for _, e := range p.engines {
		e.unlisted = slices.Contains(leaving, e.upstream.VM)
	}
}

// PeerReported takes what another daemon has running.
func (p *Planner) PeerReported(peer identifier.Incarnation, loads map[identifier.UpstreamName]PeerLoad) {
	for name, e := range p.engines {
		load, ok := loads[name]
		if ok {
			e.peers[peer] = load
		} else {
			delete(e.peers, peer)
		}
	}
}

// KeepPeers drops the loads of daemons that are not live.
func (p *Planner) KeepPeers(live []identifier.Incarnation) {
	for _, e := range p.engines {
		for peer := range e.peers {
			if !slices.Contains(live, peer) {
				delete(e.peers, peer)
			}
		}
	}
}

// OwnLoad is this daemon's own work at an engine.
type OwnLoad struct {
	Upstream identifier.UpstreamName
	Running  int
	Tokens   identifier.Tokens
}

// OwnLoads returns this daemon's own work at each engine that has some.
func (p *Planner) OwnLoads() []OwnLoad {
	var loads []OwnLoad
	for name, e := range p.engines {
		if e.ownRunning > 0 {
			loads = append(loads, OwnLoad{Upstream: name, Running: e.ownRunning, Tokens: e.ownTokens})
		}
	}
	return loads
}

// CacheChanged takes cache events of an engine.
func (p *Planner) CacheChanged(name identifier.UpstreamName, events []dispatcher.CacheEvent, now time.Time) {
	e, ok := p.engines[name]
	if !ok {
		return
	}
	for _, event := range events {
		if event.Stored {
			e.cache.stored([]dispatcher.BlockHash{event.Block}, now)
		} else {
			e.cache.evicted(event.Block)
		}
	}
}

// Status is what operators see of an engine.
type Status struct {
	Upstream  identifier.UpstreamName `json:"upstream"`
	Role      parser.Role             `json:"role"`
	Usable    bool                    `json:"usable"`
	Occupancy int                     `json:"occupancy"`
	Seats     int                     `json:"seats"`
}

// Statuses returns the state of each engine, ordered by name.
func (p *Planner) Statuses(now time.Time) []Status {
	var statuses []Status
	for name, e := range p.engines {
		statuses = append(statuses, Status{
			Upstream:  name,
			Role:      e.upstream.Role,
			Usable:    e.isUsable(now),
			Occupancy: e.occupancy(now),
			Seats:     e.upstream.Seats,
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
