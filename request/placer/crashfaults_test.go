package placer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// crash cuts all requests whose prefill has ended on an engine.
func (s *crashSimulation) crash(name identifier.UpstreamName) {
	s.takeDown(name)
	for _, number := range slices.Sorted(maps.Keys(s.running)) {
		r := s.running[number]
		switch {
		case r.decode != name || r.startsAt.Sub(s.now) > timeToOutput:
			continue
		case r.started:
			s.result.victims++
			s.finish(number, StepCutAfterOutput)
		default:
			s.finish(number, s.sign.cutStep())
		}
		s.retry(r)
	}
}

// retry resumes a request on another engine if the route allows it. Else the caller of a
// request without output repeats it once.
func (s *crashSimulation) retry(r *crashRequest) {
	again := *r
	again.attempt++
	if again.attempt > 1 {
		return
	}
	delay := 5 * time.Millisecond
	if s.resumable {
		again.avoid = append(slices.Clone(r.avoid), r.decode)
	} else {
		delay = 200 * time.Millisecond
	}
	s.later = append(s.later, laterAction{s.now.Add(delay), func() { s.submit(&again) }})
}

// returnEngines takes crashed engines from the pool's configuration and puts the restarted ones in.
func (s *crashSimulation) returnEngines() {
	changed := false
	for i, entry := range s.entries {
		if at, ok := s.backAt[entry.Name]; ok && !s.now.Before(at) {
			delete(s.backAt, entry.Name)
			delete(s.leaves, entry.Name)
			s.boots++
			s.entries[i].StartedAt = s.now
			if !s.keepsNames {
				s.entries[i].Name = identifier.UpstreamName(fmt.Sprintf("e%02d-%d", i, s.boots))
			}
			changed = true
		}
		if at, ok := s.leaves[entry.Name]; ok && !s.now.Before(at) {
			changed = true
		}
	}
	if !changed {
		return
	}
	var configured []registrar.Entry
	for _, entry := range s.entries {
		at, isLeaving := s.leaves[entry.Name]
		if !isLeaving || s.now.Before(at) {
			configured = append(configured, entry)
		}
	}
	s.pool.Configure(s.pool.profile, configured, s.now)
}

// cutConnections resets a request of an engine that refuses work, or all requests, at engines
// that go on.
func (s *crashSimulation) cutConnections(at time.Duration) {
	isDue := func(every time.Duration) bool { return every > 0 && at > 0 && at%every < simulationStep }
	isBurst := isDue(s.burstEvery)
	if !isBurst && !isDue(s.resetEvery) {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(s.running)) {
		r := s.running[number]
		switch {
		case r.started && isBurst:
			s.finish(number, StepCutAfterOutput)
		case !r.started && r.startsAt.Sub(s.now) <= timeToOutput:
			s.finish(number, StepCutBeforeHeader)
		default:
			continue
		}
		s.retry(r)
		if !isBurst {
			return
		}
	}
}

// crashUnrelated crashes engines for reasons that lie in no request.
func (s *crashSimulation) crashUnrelated(at time.Duration) {
	isDue := func(every time.Duration) bool { return every > 0 && at > 0 && at%every < simulationStep }
	var alive []identifier.UpstreamName
	for _, entry := range s.entries {
		_, isDown := s.backAt[entry.Name]
		if entry.Role == parser.RoleDecode && !isDown {
			alive = append(alive, entry.Name)
		}
	}
	switch {
	case len(alive) == 0:
	case isDue(s.rackEvery):
		for _, name := range alive[:len(alive)/2] {
			s.crash(name)
		}
	case isDue(s.flapEvery):
		s.crash(alive[s.random.IntN(len(alive))])
	}
}
