package scheduler

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/asserter"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/request/planner"
	"sassafraspass.dev/sassafraspass/request/queuer"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	siteDaemons     = 6
	sitePrefills    = 4
	siteDecodes     = 6
	siteSeconds     = 60
	siteWarmup      = 5 * time.Second
	siteFaultAt     = 25 * time.Second
	stallFor        = 10 * time.Second
	firstTokenBound = 1300 * time.Millisecond
	tokenGapBound   = 61 * time.Millisecond
	gapShare        = 0.95
	siteSeeds       = 5
	model           = identifier.ModelName("m")
)

// row is one condition under which the policies are compared.
type row struct {
	name      string
	reportLag time.Duration
	eventGaps bool
	stall     bool
	kill      bool
	// wasted is the target for this policy's wasted prefills, as a share.
	wasted float64
}

var rows = []row{
	{name: "no fault", wasted: 0.01},
	{name: "reports 1 s late", reportLag: time.Second, wasted: 0.03},
	{name: "events with 20% gaps", eventGaps: true, wasted: 0.03},
	{name: "a stalled link", stall: true, wasted: 0.03},
	{name: "an engine killed", kill: true, wasted: 0.03},
}

// client is a workspace with the load it offers.
type client struct {
	name      identifier.WorkspaceName
	perSecond float64
	// allowed is the part of its requests that is inside its rate.
	allowed    float64
	class      parser.Class
	prompt     [2]int
	output     [2]int
	sheets     int
	firstToken time.Duration
}

// rate is the workspace's rate in tokens a second, which its load just fills.
func (c client) rate() identifier.Tokens {
	mean := float64(c.prompt[0]+c.prompt[1]+c.output[0]+c.output[1]) / 2
	return identifier.Tokens(c.perSecond * c.allowed * mean)
}

var clients = []client{
	{"large-chat", 8, 1, parser.ClassInteractive, [2]int{200, 2000}, [2]int{20, 150}, 0, firstTokenBound},
	{"large-summaries", 2, 1, parser.ClassBatch, [2]int{4000, 16000}, [2]int{150, 300}, 12, 30 * time.Second},
	{"medium-chat", 5.5, 1, parser.ClassInteractive, [2]int{200, 4000}, [2]int{20, 150}, 6, firstTokenBound},
	{"small-chat", 1.4, 1, parser.ClassInteractive, [2]int{200, 1000}, [2]int{20, 100}, 0, firstTokenBound},
	{"noisy-chat", 22, 0.25, parser.ClassInteractive, [2]int{200, 2000}, [2]int{20, 150}, 0, firstTokenBound},
}

// job is one request.
type job struct {
	client   client
	arrived  time.Time
	deadline time.Time
	tokens   identifier.Tokens
	output   int
	blocks   []dispatcher.BlockHash
	daemon   *fakeDaemon
	plan     *planner.Plan
	avoid    []identifier.UpstreamName

	produced   int
	lastToken  time.Time
	firstToken time.Time
	gaps       int
	longGaps   int
	tries      int
	done       bool
	refused    bool
}

func (j *job) item() *queuer.Item {
	return &queuer.Item{
		Workspace: j.client.name,
		Class:     j.client.class,
		Cost:      j.tokens + identifier.Tokens(j.output),
		Weight:    j.client.rate(),
		Arrived:   j.arrived,
		Deadline:  j.deadline,
	}
}

func (j *job) planRequest() planner.Request {
	return planner.Request{Model: model, Tokens: j.tokens + identifier.Tokens(j.produced), Blocks: j.blocks, Deadline: j.deadline, Avoid: j.avoid}
}

// isGood reports whether the job met both targets.
func (j *job) isGood() bool {
	if !j.done || j.firstToken.Sub(j.arrived) > j.client.firstToken {
		return false
	}
	return j.gaps == 0 || float64(j.longGaps) <= (1-gapShare)*float64(j.gaps)
}

// fakeDaemon is one daemon's view of the engines.
type fakeDaemon struct {
	scheduler *Scheduler
	// reported is what engines reported last; sent is own work since.
	reported map[identifier.UpstreamName]float64
	sent     map[identifier.UpstreamName]float64
	nextSeen map[identifier.UpstreamName]int
	// held is what this daemon's plans hold at each engine.
	held map[identifier.UpstreamName]planner.Load
}

// hold changes what a daemon's plans hold.
func (d *fakeDaemon) hold(name identifier.UpstreamName, running int, tokens identifier.Tokens) {
	load := d.held[name]
	d.held[name] = planner.Load{Running: load.Running + running, Tokens: load.Tokens + tokens}
}

// claims returns what a daemon says that it holds.
func (d *fakeDaemon) claims() map[identifier.UpstreamName]planner.Load {
	return maps.Clone(d.held)
}

// site is one run of one policy under one condition.
type site struct {
	*agenda
	rng      *rand.Rand
	row      row
	policy   policy
	prefills []*fakePrefill
	decodes  []*fakeDecode
	daemons  []*fakeDaemon
	jobs     []*job
	turn     int
	start    time.Time
}

func newSite(seed uint64, r row, p policy) *site {
	s := &site{
		agenda: &agenda{clock: clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0))},
		rng:    rand.New(rand.NewPCG(seed, 7)),
		row:    r,
		policy: p,
	}
	s.start = s.clock.Now()
	service := parser.Service{Name: "m", Kind: parser.KindModel, Model: model}
	add := func(role parser.Role, i int) identifier.UpstreamName {
		name := identifier.UpstreamName(fmt.Sprintf("%s-%d", role, i))
		service.Upstreams = append(service.Upstreams, parser.Upstream{Name: name, VM: "vm", Zone: "z", Role: role, Seats: fakeSeats})
		return name
	}
	for i := range sitePrefills {
		s.prefills = append(s.prefills, &fakePrefill{
			agenda: s.agenda, name: add(parser.RolePrefill, i), rng: s.rng,
			blocks: make(map[dispatcher.BlockHash]time.Time), eventGaps: r.eventGaps,
		})
	}
	for i := range siteDecodes {
		s.decodes = append(s.decodes, &fakeDecode{agenda: s.agenda, name: add(parser.RoleDecode, i), running: make(map[*job]bool)})
	}
	for range siteDaemons {
		d := &fakeDaemon{
			scheduler: New(s.clock, asserter.New(logger.Discard(), meter.NewDetached(), true), planner.New()),
			reported:  make(map[identifier.UpstreamName]float64),
			sent:      make(map[identifier.UpstreamName]float64),
			nextSeen:  make(map[identifier.UpstreamName]int),
			held:      make(map[identifier.UpstreamName]planner.Load),
		}
		d.update(func(p *planner.Planner, _ time.Time) {
			p.Configure(map[identifier.ServiceName]parser.Service{"m": service})
		})
		s.daemons = append(s.daemons, d)
	}
	return s
}

// run plays the whole time and returns the jobs that count.
func (s *site) run() []*job {
	for _, c := range clients {
		s.arrive(c)
	}
	for i, d := range s.daemons {
		s.after(time.Duration(i)*40*time.Millisecond, func() { s.observe(d) })
		s.after(time.Duration(i)*30*time.Millisecond, func() { s.beat(i) })
		s.every(tickInterval, d.scheduler.tick)
	}
	if s.row.stall {
		s.after(siteFaultAt, func() { s.prefills[0].stalled = true })
		s.after(siteFaultAt+stallFor, func() { s.prefills[0].stalled = false })
	}
	if s.row.kill {
		s.after(siteFaultAt, func() { s.kill(s.decodes[0]) })
	}
	s.until(s.start.Add(siteSeconds * time.Second))
	var counted []*job
	for _, j := range s.jobs {
		early := j.arrived.Sub(s.start) < siteWarmup
		unfinished := j.arrived.Sub(s.start) > (siteSeconds-25)*time.Second && !j.done && !j.refused
		if !early && !unfinished {
			counted = append(counted, j)
		}
	}
	return counted
}

func (s *site) every(d time.Duration, run func()) {
	s.after(d, func() {
		run()
		s.every(d, run)
	})
}

// arrive lets requests of a client come at random times. Those above its rate
// are refused by its limit, whatever the policy.
func (s *site) arrive(c client) {
	wait := -math.Log(1-s.rng.Float64()) / c.perSecond
	s.after(seconds(wait), func() {
		s.arrive(c)
		if s.rng.Float64() >= c.allowed {
			return
		}
		j := s.newJob(c)
		s.jobs = append(s.jobs, j)
		s.policy.pick(s, s.daemons[s.rng.IntN(len(s.daemons))], j)
	})
}

func (s *site) newJob(c client) *job {
	now := s.clock.Now()
	j := &job{client: c, arrived: now, output: c.output[0] + s.rng.IntN(c.output[1]-c.output[0])}
	j.tokens = identifier.Tokens(c.prompt[0] + s.rng.IntN(c.prompt[1]-c.prompt[0]))
	j.deadline = now.Add(c.firstToken)
	sheet := dispatcher.BlockHash(s.rng.Uint64())
	if c.sheets > 0 {
		sheet = dispatcher.BlockHash(len(c.name)*1000 + s.rng.IntN(c.sheets))
	}
	for i := range int(j.tokens / dispatcher.BlockTokens) {
		j.blocks = append(j.blocks, sheet*100+dispatcher.BlockHash(i))
	}
	return j
}

// observe gives a daemon the engines' reports, as late as the row says.
func (s *site) observe(d *fakeDaemon) {
	const interval = 500 * time.Millisecond
	lag := max(s.row.reportLag, 100*time.Millisecond)
	for _, p := range s.prefills {
		load := dispatcher.Load{QueuedTokens: p.queued}
		events := p.events[min(d.nextSeen[p.name], len(p.events)):]
		d.nextSeen[p.name] = len(p.events)
		s.after(lag, func() {
			d.reported[p.name] = float64(load.QueuedTokens)
			d.update(func(pl *planner.Planner, now time.Time) {
				pl.Reported(p.name, load, now)
				pl.CacheChanged(p.name, events, now)
			})
		})
	}
	for _, e := range s.decodes {
		load := dispatcher.Load{Running: e.taken, Waiting: len(e.line), Seats: fakeSeats}
		dead := e.dead
		s.after(lag, func() {
			d.reported[e.name] = float64(load.Running + load.Waiting)
			d.update(func(pl *planner.Planner, now time.Time) {
				if dead {
					pl.Failed(e.name, now)
					return
				}
				pl.Reported(e.name, load, now)
			})
		})
	}
	s.after(interval, func() { s.observe(d) })
}

// beat tells the other daemons what one has running.
func (s *site) beat(i int) {
	const interval = 250 * time.Millisecond
	loads := s.daemons[i].claims()
	name := identifier.Incarnation(fmt.Sprint(i))
	s.after(2*time.Millisecond, func() {
		for k, d := range s.daemons {
			if k != i {
				d.update(func(p *planner.Planner, _ time.Time) { p.Claimed(name, loads) })
			}
		}
	})
	s.after(interval, func() { s.beat(i) })
}

// prefill computes a job's prompt and then moves it to a decode engine.
func (s *site) prefill(j *job, pre *fakePrefill, dec *fakeDecode) {
	plan, began := j.plan, s.clock.Now()
	pre.compute(j.tokens+identifier.Tokens(j.produced), j.blocks, func() {
		if plan != nil {
			j.daemon.hold(pre.name, -1, -plan.Work)
			j.daemon.update(func(p *planner.Planner, now time.Time) { p.PrefillDone(plan, now.Sub(began), j.blocks, now) })
		}
		if dec == nil {
			dec = lateSeat(s, j.daemon)
		}
		s.transfer(j, pre, dec, s.clock.Now().Add(fakeLifetime))
	})
}

// transfer needs a seat first, then the link. Past the result's life the
// prefill was for nothing. A plan's bound tells a stall.
func (s *site) transfer(j *job, pre *fakePrefill, dec *fakeDecode, expires time.Time) {
	plan, settled := j.plan, false
	fail := func() {
		if settled {
			return
		}
		settled = true
		pre.wasted++
		j.avoid = []identifier.UpstreamName{pre.name}
		s.release(j, plan)
		s.again(j)
	}
	bound := expires.Sub(s.clock.Now())
	if plan != nil {
		bound = min(bound, plan.TransferBound)
	}
	s.after(bound, func() {
		if settled || plan == nil {
			fail()
			return
		}
		j.daemon.update(func(p *planner.Planner, now time.Time) { p.TransferFailed(plan, now) })
		moved := j.daemon.scheduler.Reseat(plan, j.planRequest())
		if moved == nil || !s.clock.Now().Before(expires) || pre.stalled {
			if moved != nil {
				j.daemon.hold(plan.Decode.Name, -1, 0)
				j.daemon.hold(moved.Decode.Name, 1, 0)
				j.plan, plan = moved, moved
			}
			fail()
			return
		}
		settled = true
		j.daemon.hold(plan.Decode.Name, -1, 0)
		j.daemon.hold(moved.Decode.Name, 1, 0)
		j.plan = moved
		s.transfer(j, pre, s.decodeOf(moved.Decode.Name), expires)
	})
	began := s.clock.Now()
	dec.seat(func() {
		if settled {
			dec.free()
			return
		}
		pre.export(j.tokens, func() {
			if settled || dec.dead {
				dec.free()
				return
			}
			settled = true
			if plan != nil {
				j.daemon.update(func(p *planner.Planner, now time.Time) { p.TransferDone(plan, j.tokens, now.Sub(began)) })
			}
			dec.running[j] = true
			s.generate(j, dec)
		})
	})
}

func (s *site) release(j *job, plan *planner.Plan) {
	if plan != nil {
		j.daemon.hold(plan.Decode.Name, -1, 0)
		j.daemon.update(func(p *planner.Planner, now time.Time) { p.Release(plan, now) })
	}
}

// again tries a job anew, while its deadline allows.
func (s *site) again(j *job) {
	j.plan = nil
	j.tries++
	late := j.produced == 0 && s.clock.Now().After(j.deadline)
	if late || j.tries > 4 {
		j.refused = true
		return
	}
	if j.produced > 0 {
		j.deadline = s.clock.Now().Add(10 * time.Second)
	}
	s.policy.pick(s, s.daemons[s.rng.IntN(len(s.daemons))], j)
}

func (s *site) generate(j *job, dec *fakeDecode) {
	plan := j.plan
	s.after(dec.tokenTime(), func() {
		if dec.dead {
			s.release(j, plan)
			s.again(j)
			return
		}
		s.token(j)
		if j.produced < j.output {
			s.generate(j, dec)
			return
		}
		j.done = true
		delete(dec.running, j)
		s.release(j, plan)
		dec.free()
	})
}

func (s *site) token(j *job) {
	now := s.clock.Now()
	if j.produced == 0 {
		j.firstToken = now
	} else {
		j.gaps++
		if now.Sub(j.lastToken) > tokenGapBound {
			j.longGaps++
		}
	}
	j.lastToken = now
	j.produced++
}

// kill ends a decode engine for good.
func (s *site) kill(d *fakeDecode) {
	d.dead = true
	d.line = nil
	s.after(50*time.Millisecond, func() {
		for _, daemon := range s.daemons {
			daemon.update(func(p *planner.Planner, now time.Time) { p.Failed(d.name, now) })
		}
	})
}

// score is what one policy reached under one condition.
type score struct {
	goodput float64
	wasted  float64
	worst   float64
	mean    float64
	refused float64
}

func measure(r row, p policy) score {
	good := make(map[identifier.WorkspaceName]float64)
	all := make(map[identifier.WorkspaceName]float64)
	var prefills, wasted, refused, total, served float64
	for seed := range uint64(siteSeeds) {
		s := newSite(seed+1, r, p)
		for _, j := range s.run() {
			all[j.client.name]++
			total++
			if j.isGood() {
				good[j.client.name]++
				served++
			}
			if j.refused {
				refused++
			}
		}
		for _, pre := range s.prefills {
			prefills += float64(pre.prefills)
			wasted += float64(pre.wasted)
		}
	}
	result := score{goodput: served / total, wasted: wasted / prefills, refused: refused / total, worst: 1}
	if os.Getenv("BENCH_EACH") != "" {
		for _, c := range clients {
			fmt.Printf("    %s %s: %.1f%%\n", r.name, c.name, 100*good[c.name]/all[c.name])
		}
	}
	for name, n := range all {
		result.worst = min(result.worst, good[name]/n)
		result.mean += good[name] / n / float64(len(all))
	}
	return result
}

// TestPolicyReport compares the policy with baselines on the same fakes, and
// with daemons that each plan alone. BENCH_ONLY picks one policy, BENCH_EACH
// prints each workspace.
func TestPolicyReport(t *testing.T) {
	lines := []string{fmt.Sprintf("%-21s %-20s %8s %8s %8s %8s %8s", "", "", "goodput", "wasted", "worst", "mean", "refused")}
	for _, r := range rows {
		var own score
		for i, p := range policies {
			if only := os.Getenv("BENCH_ONLY"); only != "" && only != p.name {
				continue
			}
			got := measure(r, p)
			lines = append(lines, fmt.Sprintf("%-21s %-20s %7.2f%% %7.2f%% %7.2f%% %7.2f%% %7.2f%%", r.name, p.name,
				100*got.goodput, 100*got.wasted, 100*got.worst, 100*got.mean, 100*got.refused))
			if i == 0 {
				own = got
				checkOwn(t, r, own)
			} else if own.goodput < got.goodput {
				t.Errorf("%s: goodput %.4f is below that of %s, %.4f", r.name, own.goodput, p.name, got.goodput)
			}
		}
	}
	t.Log("\n" + strings.Join(lines, "\n"))
}

func checkOwn(t *testing.T, r row, own score) {
	const worstWithin = 0.9
	if own.wasted >= r.wasted {
		t.Errorf("%s: wasted prefill %.4f, the target is %.2f", r.name, own.wasted, r.wasted)
	}
	if own.worst < worstWithin*own.mean {
		t.Errorf("%s: the worst-served workspace has %.4f, the mean is %.4f", r.name, own.worst, own.mean)
	}
}
