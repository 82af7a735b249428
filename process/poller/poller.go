// Package poller polls engines for their load reports and cache events.
package poller

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/request/planner"
	"sassafraspass.dev/sassafraspass/request/scheduler"
	"sassafraspass.dev/sassafraspass/version/parser"
	"sassafraspass.dev/sassafraspass/version/reducer"
)

const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = time.Second
)

// Poller polls the engines of the models that this daemon coordinates. A daemon
// that cannot reach any other daemon coordinates every model itself.
type Poller struct {
	// IsCoordinator reports whether this daemon coordinates a model.
	IsCoordinator func(model identifier.ModelName) bool
	Version       func() *reducer.Version
	EngineClient  *dispatcher.EngineClient
	Scheduler     *scheduler.Scheduler
	Clock         clockwork.Clock

	mu sync.Mutex
	// polling holds the engines that are being polled.
	polling map[identifier.UpstreamName]bool
	// nextEvents holds the sequence number of each engine's next cache event.
	nextEvents map[identifier.UpstreamName]int64
}

// Run polls the coordinated engines once per pollInterval until the context
// ends, and returns the context's error.
func (p *Poller) Run(ctx context.Context) error {
	p.polling = make(map[identifier.UpstreamName]bool)
	p.nextEvents = make(map[identifier.UpstreamName]int64)
	ticker := p.Clock.NewTicker(pollInterval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		for _, upstream := range p.coordinatedEngines() {
			running.Go(func() { p.poll(ctx, upstream) })
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// coordinatedEngines returns the engines of the models that this daemon
// coordinates.
func (p *Poller) coordinatedEngines() []parser.Upstream {
	var engines []parser.Upstream
	for _, service := range p.Version().Services {
		if service.Kind == parser.KindModel && p.IsCoordinator(service.Model) {
			engines = append(engines, service.Upstreams...)
		}
	}
	return engines
}

// poll reads the load of one engine, and the new cache events of a prefill
// engine. It does nothing while an earlier poll of the engine is running.
func (p *Poller) poll(ctx context.Context, upstream parser.Upstream) {
	if !p.tryBegin(upstream.Name) {
		return
	}
	defer p.end(upstream.Name)
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := p.EngineClient.FetchLoad(ctx, upstream.Address)
	if err != nil {
		if ctx.Err() != context.Canceled {
			p.Scheduler.EngineFailed(upstream.Name)
		}
		return
	}
	p.Scheduler.Update(func(pl *planner.Planner, now time.Time) { pl.UpdateLoad(upstream.Name, load, now) })
	if upstream.Role != parser.RolePrefill {
		return
	}
	events, err := p.EngineClient.FetchCacheEvents(ctx, upstream.Address, p.nextEvent(upstream.Name))
	if err != nil {
		return
	}
	p.setNextEvent(upstream.Name, events.NextSequence)
	p.Scheduler.Update(func(pl *planner.Planner, now time.Time) { pl.HandleCacheEvents(upstream.Name, events.Events, now) })
}

// tryBegin marks an engine as being polled. It reports false if it already was.
func (p *Poller) tryBegin(name identifier.UpstreamName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.polling[name] {
		return false
	}
	p.polling[name] = true
	return true
}

func (p *Poller) end(name identifier.UpstreamName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.polling, name)
}

func (p *Poller) nextEvent(name identifier.UpstreamName) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nextEvents[name]
}

func (p *Poller) setNextEvent(name identifier.UpstreamName, next int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextEvents[name] = next
}
