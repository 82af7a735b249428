package placer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/request/quarantiner"
)

// crashLoad describes the requests and the engine crashes of one simulated day.
type crashLoad struct {
	// rate is the number of requests per second, and poisonedShare the fraction of them
	// that has a poisoned part. Each entry of poisonedFrom begins another poisoned part;
	// the ones before it no longer come.
	rate          float64
	poisonedShare float64
	poisonedFrom  []time.Duration
	// firstParts and subjects are the numbers of different first and second parts.
	firstParts int
	subjects   int
	// hasHistory lets requests with the poisoned parts run well before they are poisoned.
	hasHistory bool
	// flapEvery is the time between unrelated crashes of one engine, and rackEvery that
	// between crashes of half of the engines at the same moment. Zero means none.
	flapEvery time.Duration
	rackEvery time.Duration
	resumable bool
	// sign is what is seen of a crash. resetEvery is the time between resets of requests by
	// engines that refuse work, and burstEvery that between cuts of all connections.
	sign       crashSign
	resetEvery time.Duration
	burstEvery time.Duration
	// hidesParts keeps the parts from the pool, so that it holds and refuses nothing.
	hidesParts bool
	// crashAges lists the ages of the output at which a poisoned request crashes its engine;
	// each request draws one. Zero, as if there is none, is before the output.
	crashAges []time.Duration
	// decodeEngines is the number of decode engines, zero for ten, and prefillEngines that
	// of prefill engines, zero for six.
	decodeEngines  int
	prefillEngines int
	// keepsNames lets a restarted engine keep its name.
	keepsNames bool
	// hitsPrefill lets a poisoned request crash its prefill engine instead.
	hitsPrefill bool
}

// crashSign says what is seen of an engine that crashes at a request.
type crashSign string

const (
	// afterHeader means that the header of the response came before the crash.
	afterHeader crashSign = ""
	// refusedAtOnce means that nothing came, and that the engine refuses a connection right
	// after the crash, refusedLater that it refuses those of later requests, and
	// seenRestart that only its return shows the crash.
	refusedAtOnce crashSign = "refused at once"
	refusedLater  crashSign = "refused later"
	seenRestart   crashSign = "seen restart"
)

// cutStep is the report on a request that a crash cuts before its output.
func (s crashSign) cutStep() Step {
	switch s {
	case refusedAtOnce:
		return StepDecodeCrashed
	case refusedLater, seenRestart:
		return StepCutBeforeHeader
	case afterHeader:
	}
	return StepCutBeforeOutput
}

// downStep is the report on a request for an engine that is down.
func (s crashSign) downStep() Step {
	if s == refusedAtOnce || s == refusedLater {
		return StepDecodeDown
	}
	return StepCutAfterOutput
}

// crashRequest is a request of the simulation.
type crashRequest struct {
	parts    []identifier.PromptPartID
	shape    int
	poisoned int
	attempt  int
	avoid    []identifier.UpstreamName
	// decode is the engine that it is on, startsAt when the engine begins its output and
	// endsAt when it ends.
	prefill  identifier.UpstreamName
	decode   identifier.UpstreamName
	startsAt time.Time
	endsAt   time.Time
	started  bool
	// crashAge is the age of its output at which a poisoned request crashes its engine.
	crashAge time.Duration
}

// crashDayResult counts what happened to the requests of one simulated day. The slices have an
// entry for each poisoned part.
type crashDayResult struct {
	crashes        []int
	fifthCrash     []time.Time
	sentAfterFifth []int
	sound          int
	soundStarted   int
	quarantined    int
	victims        int
	// quarantinedParts lists the parts that were quarantined.
	quarantinedParts []identifier.PromptPartID
}

// crashSimulation runs the requests of a crashLoad on simulated engines, whose reports arrive
// after a delay.
type crashSimulation struct {
	crashLoad
	pool    *Pool
	random  *rand.Rand
	now     time.Time
	entries []registrar.Entry
	boots   int
	number  int64
	// backAt holds the engines that are down, and leaves the time at which the pool learns of it.
	backAt  map[identifier.UpstreamName]time.Time
	leaves  map[identifier.UpstreamName]time.Time
	waiting map[int64]*crashRequest
	pending map[int64]*PendingRequest
	running map[int64]*crashRequest
	later   []laterAction
	result  crashDayResult
}

type laterAction struct {
	at time.Time
	do func()
}

func runCrashDay(l crashLoad, seed uint64) crashDayResult {
	if l.decodeEngines == 0 {
		l.decodeEngines = 10
	}
	if l.prefillEngines == 0 {
		l.prefillEngines = 6
	}
	s := &crashSimulation{
		crashLoad: l, pool: newPool(l.prefillEngines, l.decodeEngines), random: rand.New(rand.NewPCG(seed, 7)), now: start, entries: engines(l.prefillEngines, l.decodeEngines),
		backAt: make(map[identifier.UpstreamName]time.Time), leaves: make(map[identifier.UpstreamName]time.Time),
		waiting: make(map[int64]*crashRequest), pending: make(map[int64]*PendingRequest), running: make(map[int64]*crashRequest),
	}
	for i := range s.entries {
		s.entries[i].Address = identifier.Address(fmt.Sprintf("10.0.0.%d:80", i))
	}
	s.pool.Configure(s.pool.profile, s.entries, s.now)
	n := len(l.poisonedFrom)
	s.result = crashDayResult{crashes: make([]int, n), fifthCrash: make([]time.Time, n), sentAfterFifth: make([]int, n)}
	for at := time.Duration(0); at < crashDay; at += simulationStep {
		s.now = start.Add(at)
		s.returnEngines()
		s.runLater()
		if s.random.Float64() < l.rate*simulationStep.Seconds() {
			s.submit(s.newRequest(at))
		}
		s.crashUnrelated(at)
		s.cutConnections(at)
		s.pool.ProcessQueue(s.now)
		s.takeOutcomes()
		s.takeDecisions()
		s.advance()
	}
	return s.result
}

// newRequest returns a request whose first part and subject others share, and whose poisoned
// part, if any, is all that poisoned requests have in common.
func (s *crashSimulation) newRequest(at time.Duration) *crashRequest {
	r := &crashRequest{poisoned: -1, shape: int(s.number)}
	r.parts = append(r.parts, identifier.PromptPartID(fmt.Sprintf("first-%d", s.random.IntN(s.firstParts))))
	newest := -1
	for i, from := range s.poisonedFrom {
		if at >= from {
			newest = i
		}
	}
	isDrawn := s.random.Float64() < s.poisonedShare
	switch {
	case isDrawn && newest >= 0:
		r.poisoned = newest
		r.parts = append(r.parts, poisonedPart(newest))
	case isDrawn && s.hasHistory:
		r.poisoned = 0
		r.parts = append(r.parts, poisonedPart(0))
	}
	r.parts = append(r.parts, identifier.PromptPartID(fmt.Sprintf("subject-%d", s.random.IntN(s.subjects))))
	return r
}

func poisonedPart(i int) identifier.PromptPartID {
	return identifier.PromptPartID(fmt.Sprintf("poisoned-%d", i))
}

func (s *crashSimulation) submit(r *crashRequest) {
	s.number++
	req := newRequest(s.number, 5000+r.shape%400, 1500)
	req.Avoid = r.avoid
	if !s.hidesParts {
		req.PromptParts = r.parts
	}
	if r.poisoned < 0 && r.attempt == 0 {
		s.result.sound++
	}
	s.waiting[s.number] = r
	s.pending[s.number] = s.pool.Submit(req, s.now)
}

func (s *crashSimulation) takeOutcomes() {
	for _, number := range slices.Sorted(maps.Keys(s.waiting)) {
		r := s.waiting[number]
		outcome, ok := outcomeOf(s.pending[number])
		switch {
		case !ok:
			continue
		case outcome.Refusal != nil && outcome.Refusal.Code == quarantinedCode && r.poisoned < 0:
			s.result.quarantined++
		case outcome.Refusal == nil:
			s.send(number, r, outcome.Grant)
		}
		delete(s.waiting, number)
		delete(s.pending, number)
	}
}

func (s *crashSimulation) takeDecisions() {
	for _, decision := range s.pool.TakeDecisions() {
		if decision.Change == quarantiner.ChangeQuarantined {
			s.result.quarantinedParts = append(s.result.quarantinedParts, decision.Suspicion.Part)
		}
	}
}

func (s *crashSimulation) send(number int64, r *crashRequest, grant Grant) {
	r.prefill, r.decode, r.started = grant.Prefill, grant.Decode, false
	r.startsAt = s.now.Add(100*time.Millisecond + s.randomDelay(200*time.Millisecond))
	r.endsAt = r.startsAt.Add(500*time.Millisecond + s.randomDelay(2*time.Second))
	if len(s.crashAges) > 0 && r.poisoned >= 0 {
		r.crashAge = s.crashAges[s.random.IntN(len(s.crashAges))]
		r.endsAt = r.endsAt.Add(r.crashAge)
	}
	s.running[number] = r
	if r.poisoned >= 0 {
		fifth := s.result.fifthCrash[r.poisoned]
		if !fifth.IsZero() && s.now.After(fifth.Add(ruleWindow)) {
			s.result.sentAfterFifth[r.poisoned]++
		}
	}
}

func (s *crashSimulation) randomDelay(most time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(most))
}

// advance starts and ends the requests on the engines, and crashes an engine that begins to
// answer a poisoned request.
func (s *crashSimulation) advance() {
	for _, number := range slices.Sorted(maps.Keys(s.running)) {
		r, ok := s.running[number]
		if !ok {
			continue // cut by a crash in this step
		}
		_, isDown := s.backAt[r.decode]
		_, isPrefillDown := s.backAt[r.prefill]
		switch {
		case isPrefillDown && s.isPrefilling(r):
			s.finish(number, StepPrefillDown)
			s.retry(r)
		case s.hitsPrefill && r.poisoned >= 0 && !s.isPrefilling(r) && !r.started:
			s.countCrash(r)
			s.crashPrefill(r.prefill)
		case isDown && !s.now.Before(r.startsAt):
			s.finish(number, s.sign.downStep())
			s.retry(r)
		case s.crashesNow(r):
			s.countCrash(r)
			s.crash(r.decode)
		case !r.started && !s.now.Before(r.startsAt):
			r.started = true
			if r.attempt == 0 && r.poisoned < 0 {
				s.result.soundStarted++
			}
			s.report(Report{Key: Key{requesterName, number}, Step: StepStarted})
		case r.started && !s.now.Before(r.endsAt):
			s.finish(number, StepEnded)
		}
	}
}

func (s *crashSimulation) countCrash(r *crashRequest) {
	s.result.crashes[r.poisoned]++
	if s.result.crashes[r.poisoned] == 5 {
		s.result.fifthCrash[r.poisoned] = s.now
	}
}

func (s *crashSimulation) isPrefilling(r *crashRequest) bool {
	return r.startsAt.Sub(s.now) > timeToOutput
}

// crashPrefill cuts the requests on a prefill engine whose prefill goes on or has just ended.
func (s *crashSimulation) crashPrefill(name identifier.UpstreamName) {
	s.takeDown(name)
	for _, number := range slices.Sorted(maps.Keys(s.running)) {
		r := s.running[number]
		isJustDone := r.poisoned >= 0 && !r.started
		if r.prefill == name && (s.isPrefilling(r) || isJustDone) {
			s.finish(number, StepPrefillCrashed)
			s.retry(r)
		}
	}
}

// takeDown takes an engine down, which is back after some seconds.
func (s *crashSimulation) takeDown(name identifier.UpstreamName) {
	s.backAt[name] = s.now.Add(3*time.Second + s.randomDelay(500*time.Millisecond))
	s.leaves[name] = s.now.Add(time.Second)
}

// crashesNow reports whether a poisoned request has come to the point where it crashes its
// engine.
func (s *crashSimulation) crashesNow(r *crashRequest) bool {
	if r.poisoned < 0 || s.now.Before(start.Add(s.poisonedFrom[r.poisoned])) {
		return false
	}
	return !s.hitsPrefill && r.started == (r.crashAge > 0) && !s.now.Before(r.startsAt.Add(r.crashAge))
}

func (s *crashSimulation) finish(number int64, step Step) {
	delete(s.running, number)
	s.report(Report{Key: Key{requesterName, number}, Step: step, Output: 1000, Elapsed: time.Second})
}

// report delivers a report as late as a batch from another daemon would arrive.
func (s *crashSimulation) report(report Report) {
	delay := 10*time.Millisecond + s.randomDelay(40*time.Millisecond)
	s.later = append(s.later, laterAction{s.now.Add(delay), func() { s.pool.HandleReport(report, s.now) }})
}

func (s *crashSimulation) runLater() {
	due := s.later
	s.later = nil
	for _, a := range due {
		if s.now.Before(a.at) {
			s.later = append(s.later, a)
			continue
		}
		a.do()
	}
}
