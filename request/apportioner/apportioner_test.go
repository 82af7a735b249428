package apportioner

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
)

const window = 8 * time.Second

func member(i int) epochtracker.Member {
	name := fmt.Sprintf("vm%d", i)
	return epochtracker.Member{Incarnation: identifier.Incarnation(name), VM: identifier.VMName(name)}
}

// TestDeputyPartsInAnyWindowStayBelowTheirSum guards against two daemons that use the
// part of the same rank within one window, because the epoch changed in between. The
// daemons learn of the epochs up to four seconds apart.
func TestDeputyPartsInAnyWindowStayBelowTheirSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons, members = 8, 5
		clock := clockwork.NewFakeClock()
		var all []*Apportioner
		for i := range daemons {
			all = append(all, New(clock, member(i), window))
		}
		entered := make([]int, daemons)
		var epochs []epochtracker.Epoch
		var begun []time.Time
		// largest holds, for each daemon, the parts that it might use and when.
		type use struct {
			at   time.Time
			part float64
		}
		uses := make([][]use, daemons)
		steps := rapid.IntRange(30, 200).Draw(t, "steps")
		for range steps {
			clock.Advance(time.Duration(rapid.SampledFrom([]int{100, 500, 1000}).Draw(t, "ms")) * time.Millisecond)
			if len(epochs) == 0 || rapid.IntRange(0, 9).Draw(t, "begin") == 0 {
				first := rapid.IntRange(0, daemons-1).Draw(t, "first")
				epoch := epochtracker.Epoch{Number: identifier.Position(len(epochs)), BasedOn: identifier.Position(len(epochs) - 1)}
				for i := range members {
					epoch.Members = append(epoch.Members, member((first+i)%daemons))
				}
				epochs, begun = append(epochs, epoch), append(begun, clock.Now())
			}
			for i, a := range all {
				for entered[i] < len(epochs) && (clock.Since(begun[entered[i]]) > 3*time.Second || rapid.Bool().Draw(t, "enter")) {
					a.EnterEpoch(epochs[entered[i]])
					entered[i]++
				}
				uses[i] = append(uses[i], use{clock.Now(), a.DeputyPart("w")})
			}
			sum := 0.0
			for i := range uses {
				largest := 0.0
				for _, u := range uses[i] {
					if clock.Since(u.at) <= window {
						largest = max(largest, u.part)
					}
				}
				sum += largest
			}
			if sum >= 3*firstDeputyPart {
				t.Fatalf("deputies may use %f of the tolerance in one window", sum)
			}
		}
	})
}

// init fixes the seed of the property test, so that it gives the same result in every
// run.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestPartsSumToLessThanOne(t *testing.T) {
	for _, size := range []int{1, 6, 59, 300, 1400} {
		t.Run(fmt.Sprintf("%d daemons", size), func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			a := New(clock, member(0), window)
			a.ObserveFleetSize(size)
			is.Equal(a.IsolatedPart(), 0.0) // an earlier process may have used it
			clock.Advance(30 * time.Second)
			sum := HomePart + float64(size)*(a.IsolatedPart()+a.PrefetchPart())
			for rank := range 60 {
				sum += RankPart(rank)
			}
			is.True(sum < 1)
		})
	}
}

// TestMembersOfTheFirstEpochHaveTheirPartsAtOnce guards against a new fleet that refuses
// requests when its first home stops: two tests of platform/ then got 429.
func TestMembersOfTheFirstEpochHaveTheirPartsAtOnce(t *testing.T) {
	is := is.New(t)
	a := New(clockwork.NewFakeClock(), member(0), window)
	is.Equal(a.DeputyPart("w"), 0.0)
	a.EnterEpoch(epochtracker.Epoch{Number: 3, BasedOn: identifier.NoPosition, Members: []epochtracker.Member{member(0), member(1)}})
	is.True(a.DeputyPart("w") > 0)
	a.EnterEpoch(epochtracker.Epoch{Number: 4, BasedOn: 3, Members: []epochtracker.Member{member(1)}})
	is.Equal(a.DeputyPart("w"), 0.0)
}

func TestLargestFleetSizeAppliesForItsMemory(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	a := New(clock, member(0), window)
	for _, size := range []int{3, 100, 40, 60, 2} {
		a.ObserveFleetSize(size)
		clock.Advance(time.Second)
	}
	is.Equal(a.FleetSize(), 100)
	clock.Advance(fleetSizeMemory - 3*time.Second)
	is.Equal(a.FleetSize(), 60)
	clock.Advance(time.Hour)
	is.Equal(a.FleetSize(), 2)
}

// All daemons start again. Guards against limits that begin without tokens then, and
// against the same part for a process that takes a limit over from another one.
func TestRestartedHomeHasAPart(t *testing.T) {
	first := epochtracker.Epoch{Number: 3, BasedOn: 2, Members: []epochtracker.Member{member(0), member(1)}}
	ranked := first.RankedMembers("w")
	other := epochtracker.Epoch{Number: 4, BasedOn: 3, Members: []epochtracker.Member{ranked[1]}}
	tests := []struct {
		name   string
		self   epochtracker.Member
		epochs []epochtracker.Epoch
		want   float64
	}{
		{"home", ranked[0], []epochtracker.Epoch{first}, restartPart},
		{"deputy", ranked[1], []epochtracker.Epoch{first}, 0},
		{"successor", ranked[1], []epochtracker.Epoch{first, other}, 0},
		{"no epoch", ranked[0], nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := New(clockwork.NewFakeClock(), tt.self, window)
			for _, epoch := range tt.epochs {
				a.EnterEpoch(epoch)
			}
			is.Equal(a.DeputyPart("w"), tt.want)
		})
	}
}
