package placer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// Parameters of the simulated engines, which match the deployments' engines, and of
// the simulated load.
const (
	engineMemory        = 73_378
	trueDecodeRate      = 1250.0
	truePrefillRate     = 55_555.0
	firstEventObjective = 900 * time.Millisecond
	maxWait             = 3 * time.Second
	simulationStep      = 10 * time.Millisecond
	loadDuration        = 20 * time.Second
	requesterName       = identifier.Incarnation("holder")
)

var start = time.Unix(1_000_000, 0)

func engines(prefill, decode int) (entries []registrar.Entry) {
	for i := range prefill + decode {
		role := parser.RolePrefill
		if i >= prefill {
			role = parser.RoleDecode
		}
		entries = append(entries, registrar.Entry{
			Name:  identifier.UpstreamName(fmt.Sprintf("e%02d", i)),
			Zone:  identifier.ZoneName([]string{"a", "b", "c"}[i%3]),
			Role:  role,
			Slots: 48,
		})
	}
	return entries
}

func newPool(prefill, decode int) *Pool {
	p := NewPool()
	p.Configure(parser.EngineProfile{Slots: 48, KVCacheCapacity: engineMemory, TokensPerEvent: 63}, engines(prefill, decode), start)
	return p
}

func newRequest(number int64, prompt, output int) Request {
	return Request{
		Key:            Key{Requester: requesterName, Number: number},
		PromptTokens:   identifier.Tokens(prompt),
		MaxOutput:      8190,
		OutputHint:     identifier.Tokens(output),
		TimeToDeadline: firstEventObjective,
		MaxWait:        maxWait,
	}
}

func outcomeOf(pending *PendingRequest) (Outcome, bool) {
	select {
	case outcome := <-pending.Outcome:
		return outcome, true
	default:
		return Outcome{}, false
	}
}

func TestPeakMemoryCountsGrowthAndEnds(t *testing.T) {
	is := is.New(t)
	now := start
	one := &placement{promptTokens: 1000, expectedOutput: 1000, decodeStart: now}
	is.True(math.Abs(peakMemory([]*placement{one}, now, 1000)-2016) < 1)
	// The second request starts after the first one ends.
	later := &placement{promptTokens: 1000, expectedOutput: 1000, decodeStart: now.Add(1100 * time.Millisecond)}
	is.True(peakMemory([]*placement{one, later}, now, 1000) < 3200)
	// A request that exceeds its expected output still counts.
	is.True(peakMemory([]*placement{one}, now.Add(3*time.Second), 1000) > 4000)
}

func TestDecodeEnginesAreNotOverfilled(t *testing.T) {
	is := is.New(t)
	p := newPool(40, 1)
	granted := 0
	for i := range 40 {
		pending := p.Submit(newRequest(int64(i), 5000, 4000), start)
		p.ProcessQueue(start)
		_, ok := outcomeOf(pending)
		if ok {
			granted++
		}
	}
	is.True(granted >= 6)
	is.True(peakMemory(p.engines["e40"].placements, start, p.decodeRate) <= maxUtilization*engineMemory)
}

func TestUrgentAndLateRequestsArePlacedIfBothFit(t *testing.T) {
	is := is.New(t)
	p := newPool(4, 1)
	filler := p.Submit(newRequest(1, 60_000, 8000), start)
	p.ProcessQueue(start)
	_, ok := outcomeOf(filler)
	is.True(ok)
	late := newRequest(2, 5000, 4000)
	late.TimeToDeadline = -time.Second
	latePending := p.Submit(late, start)
	urgent := p.Submit(newRequest(3, 5000, 4000), start.Add(simulationStep))
	p.HandleReport(Report{Key: Key{requesterName, 1}, Step: StepEnded}, start.Add(2*simulationStep))
	p.ProcessQueue(start.Add(2 * simulationStep))
	_, ok = outcomeOf(urgent)
	is.True(ok)
	_, ok = outcomeOf(latePending)
	is.True(ok) // the engine has room for both
}

func TestRequestThatCannotBeServedInTimeIsRefusedWithRetryAfter(t *testing.T) {
	is := is.New(t)
	p := newPool(1, 1)
	var last *PendingRequest
	for i := range 60 {
		last = p.Submit(newRequest(int64(i), 5000, 4000), start)
		p.ProcessQueue(start)
	}
	outcome, ok := outcomeOf(last)
	is.True(ok)
	is.Equal(outcome.Refusal.Code, refuser.QueueFull)
	is.True(outcome.Refusal.NotRun)
	is.True(outcome.Refusal.RetryAfter >= minRetryAfter)
}

func TestQueuedRequestsAreRefusedAfterMaxWait(t *testing.T) {
	is := is.New(t)
	p := newPool(1, 1)
	p.Submit(newRequest(1, 60_000, 8000), start)
	p.ProcessQueue(start)
	waiting := p.Submit(newRequest(2, 60_000, 8000), start)
	is.Equal(p.ProcessQueue(start.Add(maxWait-simulationStep)), 1)
	is.Equal(p.ProcessQueue(start.Add(maxWait)), 0)
	outcome, _ := outcomeOf(waiting)
	is.Equal(outcome.Refusal.Code, refuser.QueueFull)
}

func TestFailedEngineIsAvoidedForAWhile(t *testing.T) {
	is := is.New(t)
	p := newPool(1, 2)
	first := p.Submit(newRequest(1, 5000, 4000), start)
	p.ProcessQueue(start)
	outcome, _ := outcomeOf(first)
	p.HandleReport(Report{Key: Key{requesterName, 1}, Step: StepDecodeFailed}, start)
	for i := range 3 {
		next := p.Submit(newRequest(int64(10+i), 5000, 4000), start.Add(300*time.Millisecond))
		p.ProcessQueue(start.Add(300 * time.Millisecond))
		other, ok := outcomeOf(next)
		is.True(ok)
		is.True(other.Grant.Decode != outcome.Grant.Decode)
	}
}

func TestPlacementsOfADaemonThatIsGoneAreReleased(t *testing.T) {
	is := is.New(t)
	p := newPool(1, 1)
	p.Submit(newRequest(1, 60_000, 8000), start)
	p.ProcessQueue(start)
	is.Equal(len(p.placements), 1)
	p.ReleaseDeadRequesters(func(identifier.Incarnation) bool { return false })
	is.Equal(len(p.placements), 0)
	is.Equal(len(p.engines["e01"].placements), 0)
}

func TestReportsOfUnknownPlacementsChangeNothing(t *testing.T) {
	is := is.New(t)
	p := newPool(1, 1)
	for _, step := range []Step{StepPrefilled, StepStarted, StepEnded, StepPrefillFailed, StepDecodeFailed} {
		p.HandleReport(Report{Key: Key{requesterName, 99}, Step: step}, start)
	}
	is.Equal(len(p.placements), 0)
}

// simulatedRequest is a request on a simulated engine. The pool does not know its
// true output in advance.
type simulatedRequest struct {
	number       int64
	promptTokens float64
	outputTokens float64
	decodeStart  time.Time
	started      bool
	arrivedAt    time.Time
	engine       identifier.UpstreamName
}

func (r *simulatedRequest) outputAt(now time.Time) float64 {
	return max(0, trueDecodeRate*now.Sub(r.decodeStart).Seconds())
}

// result counts the requests of one simulation by outcome, and the preemptions.
type result struct {
	submitted, onTime, late, refused, preempted int
}

// load describes the requests and engine failures of one simulation.
type load struct {
	name string
	// rate returns the requests per second at a time since the start.
	rate    func(at time.Duration) float64
	prefill int
	decode  int
	// failAt is the time at which half of the decode engines fail, zero for
	// never.
	failAt time.Duration
	// prompt and output are the mean tokens of a request, zero for the defaults.
	prompt float64
	output float64
}

var loads = []load{
	{name: "steady", rate: func(time.Duration) float64 { return 10 }, prefill: 4, decode: 7},
	{name: "one burst", rate: burst(10, 44, 5*time.Second, 4*time.Second), prefill: 4, decode: 7},
	{name: "two bursts", rate: func(at time.Duration) float64 {
		return max(burst(10, 30, 3*time.Second, 4*time.Second)(at), burst(10, 30, 12*time.Second, 4*time.Second)(at))
	}, prefill: 4, decode: 7},
	{name: "half of the decode engines fail", rate: func(time.Duration) float64 { return 12 }, prefill: 4, decode: 7, failAt: 8 * time.Second},
}

func burst(base, high float64, from, length time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < from+length {
			return high
		}
		return base
	}
}

// policy selects the output estimate by which the simulation admits requests.
type policy string

const (
	// policyForecast uses the output hint, as the pool does in production.
	policyForecast policy = "forecast"
	// policySlots admits by slots alone, as a balancer by least outstanding
	// requests does.
	policySlots policy = "slots"
	// policyMaxOutput reserves memory for the prompt and the maximum output.
	policyMaxOutput policy = "largest output"
)

// simulate runs a load on simulated engines, which enforce their memory limit: an
// engine that exceeds it preempts its newest request and prefills it again. The
// hooks are called at every step.
func simulate(l load, pol policy, seed uint64, hooks ...func(p *Pool, now time.Time)) (res result) {
	random := rand.New(rand.NewPCG(seed, 1))
	p := newPool(l.prefill, l.decode)
	running := make(map[int64]*simulatedRequest)
	waiting := make(map[int64]*PendingRequest)
	submitted := make(map[int64]*simulatedRequest)
	number := int64(0)
	failed := false
	for at := time.Duration(0); at < loadDuration+maxWait; at += simulationStep {
		now := start.Add(at)
		if l.failAt > 0 && at >= l.failAt && !failed {
			failed = true
			failHalfOfDecodeEngines(p, l, running, now)
		}
		if at < loadDuration && random.Float64() < l.rate(at)*simulationStep.Seconds() {
			number++
			r := &simulatedRequest{number: number, promptTokens: lognormal(random, cmp.Or(l.prompt, 5200)), outputTokens: min(lognormal(random, cmp.Or(l.output, 4400)), 8190), arrivedAt: now}
			submitted[number] = r
			res.submitted++
			hint := r.outputTokens * math.Exp(0.3*random.NormFloat64())
			waiting[number] = p.Submit(requestForPolicy(pol, number, r, hint), now)
		}
		for _, hook := range hooks {
			hook(p, now)
		}
		p.ProcessQueue(now)
		for n, pending := range waiting {
			outcome, ok := outcomeOf(pending)
			if !ok {
				continue
			}
			delete(waiting, n)
			if outcome.Refusal != nil {
				res.refused++
				continue
			}
			r := submitted[n]
			r.engine = outcome.Grant.Decode
			r.decodeStart = p.placements[Key{requesterName, n}].decodeStart
			running[n] = r
		}
		advance(p, running, now, &res)
	}
	return res
}

func lognormal(random *rand.Rand, mean float64) float64 {
	const sigma = 0.5
	return mean * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
}

func requestForPolicy(pol policy, number int64, r *simulatedRequest, hint float64) Request {
	req := newRequest(number, int(r.promptTokens), int(hint))
	switch pol {
	case policySlots:
		req.OutputHint = 1
	case policyMaxOutput:
		req.OutputHint = 8190
	case policyForecast:
	}
	return req
}

func failHalfOfDecodeEngines(p *Pool, l load, running map[int64]*simulatedRequest, now time.Time) {
	remaining := engines(l.prefill, l.decode)[:l.prefill+l.decode/2]
	p.Configure(p.profile, remaining, start)
	for n, r := range running {
		if !slices.ContainsFunc(remaining, func(e registrar.Entry) bool { return e.Name == r.engine }) {
			delete(running, n)
			p.HandleReport(Report{Key: Key{requesterName, n}, Step: StepDecodeFailed}, now)
		}
	}
}

// advance moves the engines to the given time. It reports prefills, first events
// and ends, and preempts requests on engines that exceed their memory.
func advance(p *Pool, running map[int64]*simulatedRequest, now time.Time, res *result) {
	used := make(map[identifier.UpstreamName]float64)
	newest := make(map[identifier.UpstreamName]*simulatedRequest)
	for n, r := range running {
		if now.Before(r.decodeStart) {
			continue
		}
		if !r.started {
			r.started = true
			p.HandleReport(Report{Key: Key{requesterName, n}, Step: StepPrefilled, Elapsed: time.Duration(r.promptTokens / truePrefillRate * float64(time.Second))}, now)
			p.HandleReport(Report{Key: Key{requesterName, n}, Step: StepStarted}, now)
			if now.Sub(r.arrivedAt) <= firstEventObjective {
				res.onTime++
			} else {
				res.late++
			}
		}
		if r.outputAt(now) >= r.outputTokens {
			delete(running, n)
			p.HandleReport(Report{Key: Key{requesterName, n}, Step: StepEnded, Elapsed: now.Sub(r.decodeStart), Output: identifier.Tokens(r.outputTokens)}, now)
			continue
		}
		used[r.engine] += r.promptTokens + r.outputAt(now)
		if newest[r.engine] == nil || r.number > newest[r.engine].number {
			newest[r.engine] = r
		}
	}
	for name, sum := range used {
		if sum > engineMemory {
			res.preempted++
			newest[name].decodeStart = now.Add(time.Duration(newest[name].promptTokens / truePrefillRate * 2 * float64(time.Second)))
		}
	}
}

// TestForecastIsNoWorseThanSlotsAndMaxOutput compares the forecast with
// admission by slots and by maximum output on the same loads. The forecast must
// start at least as many requests on time as admission by maximum output, and
// preempt no more than admission by slots.
func TestForecastIsNoWorseThanSlotsAndMaxOutput(t *testing.T) {
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			is := is.New(t)
			sums := make(map[policy]result)
			for _, pol := range []policy{policyForecast, policySlots, policyMaxOutput} {
				for seed := range uint64(5) {
					one := simulate(l, pol, seed)
					sum := sums[pol]
					sum.submitted += one.submitted
					sum.onTime += one.onTime
					sum.late += one.late
					sum.refused += one.refused
					sum.preempted += one.preempted
					sums[pol] = sum
				}
				t.Logf("%-15s %+v", pol, sums[pol])
			}
			forecast := sums[policyForecast]
			is.True(forecast.onTime >= sums[policyMaxOutput].onTime)
			is.True(forecast.preempted*100 <= max(100, forecast.submitted*5)) // at most 5 % of the prompts are prefilled again
			is.True(forecast.preempted <= sums[policySlots].preempted)
		})
	}
}
