package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// switchTime is how long an engine of the deployments takes to change its role.
const switchTime = 6 * time.Second

// roleSwitcher simulates engines that apply the role changes a pool recommends.
// An engine finishes its running requests, is unavailable for switchTime and
// then appears with its new role.
type roleSwitcher struct {
	entries []registrar.Entry
	// readyAt holds, for each engine that is switching, when it is ready in its new
	// role.
	readyAt  map[identifier.UpstreamName]time.Time
	newRoles map[identifier.UpstreamName]parser.Role
	changes  int
}

func newRoleSwitcher(prefill, decode int) *roleSwitcher {
	return &roleSwitcher{
		entries:  engines(prefill, decode),
		readyAt:  make(map[identifier.UpstreamName]time.Time),
		newRoles: make(map[identifier.UpstreamName]parser.Role),
	}
}

func (s *roleSwitcher) step(p *Pool, now time.Time) {
	c, ok := p.RecommendRoleChange(now)
	if ok {
		s.changes++
		s.newRoles[c.Engine.Name] = c.To
		p.BeginRoleChange(c.Engine.Name, c.To, now)
	}
	changed := false
	for i, entry := range s.entries {
		to, isChanging := s.newRoles[entry.Name]
		ready, isSwitching := s.readyAt[entry.Name]
		switch {
		case !isChanging:
		case !isSwitching && p.HasNoPendingWork(entry.Name) && len(p.engines[entry.Name].placements) == 0:
			s.readyAt[entry.Name] = now.Add(switchTime)
		case isSwitching && !now.Before(ready):
			s.entries[i].Role = to
			delete(s.newRoles, entry.Name)
			delete(s.readyAt, entry.Name)
			changed = true
		}
	}
	if changed {
		p.Configure(p.profile, s.entries, now)
	}
}

// TestRolesFollowTheMixOfRequests compares fixed roles with role changes on the
// same loads. A request starts on time if its first event arrives by its deadline.
// Role changes must increase the on-time starts in the cases with expectGain, and
// cost at most 2 % of them in the others.
func TestRolesFollowTheMixOfRequests(t *testing.T) {
	cases := []struct {
		load
		// expectGain means that role changes must increase the on-time starts.
		expectGain bool
	}{
		{load{name: "long outputs, one burst", rate: burst(8, 28, 11*time.Second, 5*time.Second), prefill: 4, decode: 7}, true},
		{load{name: "long prompts, one burst", rate: burst(10, 40, 11*time.Second, 5*time.Second), prefill: 2, decode: 9, prompt: 12_000, output: 800}, true},
		{load{name: "steady", rate: func(time.Duration) float64 { return 8 }, prefill: 3, decode: 8}, false},
		{load{name: "hardly any load", rate: func(time.Duration) float64 { return 0.5 }, prefill: 4, decode: 7}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var fixed, adaptive result
			changes := 0
			for seed := range uint64(5) {
				fixedRun := simulate(c.load, policyForecast, seed)
				fixed.onTime += fixedRun.onTime
				s := newRoleSwitcher(c.prefill, c.decode)
				adaptiveRun := simulate(c.load, policyForecast, seed, s.step)
				adaptive.onTime += adaptiveRun.onTime
				changes += s.changes
				is.True(s.changes <= 4) // roles must not oscillate during a run
			}
			t.Logf("on time with fixed roles %d, with role changes %d, number of role changes %d", fixed.onTime, adaptive.onTime, changes)
			if c.expectGain {
				is.True(adaptive.onTime > fixed.onTime)
				return
			}
			is.True(adaptive.onTime*100 >= fixed.onTime*98) // an unneeded role change costs little
		})
	}
}

func TestNoRoleChangesBeforeTheMixIsKnown(t *testing.T) {
	is := is.New(t)
	p := newPool(4, 7)
	_, ok := p.RecommendRoleChange(start)
	is.True(!ok)
}

func TestEngineChangingRoleGetsNoRequests(t *testing.T) {
	is := is.New(t)
	p := newPool(2, 1)
	p.BeginRoleChange("e00", parser.RoleDecode, start)
	for n := range int64(3) {
		pending := p.Submit(newRequest(n, 1000, 100), start)
		p.ProcessQueue(start)
		outcome, ok := outcomeOf(pending)
		is.True(ok)
		is.Equal(outcome.Grant.Prefill, identifier.UpstreamName("e01"))
	}
}

func TestEngineIsUsedAgainAfterItsRoleChange(t *testing.T) {
	cases := []struct {
		name string
		end  func(p *Pool) time.Time
	}{
		{"its new role is configured", func(p *Pool) time.Time {
			entries := engines(1, 1)
			entries[0].Role = parser.RoleDecode
			p.Configure(p.profile, entries, start)
			return start
		}},
		{"it restarted", func(p *Pool) time.Time {
			entries := engines(1, 1)
			entries[0].StartedAt = start
			p.Configure(p.profile, entries, start)
			return start
		}},
		{"the role change was cancelled", func(p *Pool) time.Time {
			p.CancelRoleChange("e00")
			return start
		}},
		{"it never reported its new role", func(p *Pool) time.Time {
			return start.Add(p.profile.RoleChangeTime + switchGrace)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPool(1, 1)
			p.BeginRoleChange("e00", parser.RoleDecode, start)
			is.True(p.engines["e00"].isChangingRole(start))
			now := c.end(p)
			is.True(!p.engines["e00"].isChangingRole(now))
		})
	}
}

func TestBestPrefillCount(t *testing.T) {
	cases := []struct {
		name                    string
		total                   int
		prefillTime, decodeTime float64
		want                    int
	}{
		{"prompts and outputs alike", 10, 1, 1, 5},
		{"long outputs", 11, 0.17, 0.44, 3},
		{"hardly any prompts", 11, 0.001, 1, 2},
		{"few engines", 3, 0.1, 1, 1},
		{"long prompts", 11, 1, 0.1, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(bestPrefillCount(c.total, c.prefillTime, c.decodeTime), c.want)
		})
	}
}
