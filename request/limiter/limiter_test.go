package limiter

import (
	"context"
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/asserter"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	rate  = 1000
	burst = 4000
)

func newLimiter(clock clockwork.Clock) *Limiter {
	l := New(clock, asserter.New(logger.Discard(), meter.NewNoop(), true))
	l.Configure(map[identifier.WorkspaceName]parser.Workspace{"w": {Name: "w", Rate: rate, Burst: burst}})
	return l
}

// newLimiterWithWholeShare returns a limiter that holds the whole limit with a full
// bucket.
func newLimiterWithWholeShare(clock *clockwork.FakeClock) *Limiter {
	l := newLimiter(clock)
	l.EnterEpoch(0, identifier.WholeShare)
	l.ApplyBaseShares(0)
	clock.Advance(time.Minute)
	return l
}

func TestNewShareStartsWithoutTokens(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := newLimiter(clock)
	clock.Advance(time.Minute)
	l.EnterEpoch(0, identifier.WholeShare)
	is.Equal(l.BucketStates()[0].Share, identifier.PartsPerMillion(0))
	l.ApplyBaseShares(0)
	is.Equal(l.BucketStates()[0].Level, 0.0)
	clock.Advance(time.Second)
	is.Equal(l.BucketStates()[0].Level, float64(rate))
}

func TestRequestWaitsForTokensUntilItsDeadline(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := newLimiterWithWholeShare(clock)
	_, refusal := l.Reserve(context.Background(), "w", burst)
	is.True(refusal == nil)
	waiter, refusal := l.Enqueue("w", rate, clock.Now().Add(5*time.Second))
	is.True(refusal == nil)
	clock.Advance(900 * time.Millisecond)
	l.GrantAll()
	is.Equal(len(waiter.Granted), 0)
	clock.Advance(100 * time.Millisecond)
	l.GrantAll()
	is.Equal(len(waiter.Granted), 1)
	late, refusal := l.Enqueue("w", rate, clock.Now().Add(5*time.Second))
	is.True(refusal == nil)
	_, refusal = l.CancelWait(late)
	is.Equal(refusal.Code, refuser.OverLimit)
	is.True(refusal.NotRun)
}

// TestSmallRequestsDoNotWaitBehindLargeOnes guards against head-of-line blocking in
// a workspace far over its rate that sends large requests and many small ones.
func TestSmallRequestsDoNotWaitBehindLargeOnes(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := newLimiterWithWholeShare(clock)
	_, refusal := l.Reserve(context.Background(), "w", burst-100)
	is.True(refusal == nil)
	large, refusal := l.Enqueue("w", burst, clock.Now().Add(10*time.Second))
	is.True(refusal == nil)
	for range 2 {
		small, refusal := l.Enqueue("w", 50, clock.Now().Add(time.Second))
		is.True(refusal == nil)
		is.Equal(len(small.Granted), 1)
	}
	waiting, refusal := l.Enqueue("w", 50, clock.Now().Add(time.Second))
	is.True(refusal == nil)
	clock.Advance(50 * time.Millisecond)
	l.GrantAll()
	is.Equal(len(waiting.Granted), 1)
	is.Equal(len(large.Granted), 0)
	clock.Advance(time.Minute)
	l.GrantAll()
	is.Equal(len(large.Granted), 1)
}

func TestRequestsThatCannotBeServedAreRefusedImmediately(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := newLimiterWithWholeShare(clock)
	tests := []struct {
		name      string
		workspace identifier.WorkspaceName
		tokens    identifier.Tokens
		wait      time.Duration
		code      refuser.Code
	}{
		{"unknown workspace", "other", 1, time.Second, refuser.UnknownKey},
		{"above the burst", "w", burst + 1, time.Second, refuser.OverBurst},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, refusal := l.Enqueue(test.workspace, test.tokens, clock.Now().Add(test.wait))
			is.Equal(refusal.Code, test.code)
		})
	}
}

func TestRepeatedBorrowRequestGetsTheSameResponse(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := newLimiterWithWholeShare(clock)
	req := BorrowRequest{Borrower: "b", Epoch: 0, Workspace: "w", Sequence: 1, WantTokens: 1000, Demand: 100, HeadWait: time.Second}
	first := l.Lend(req)
	is.True(first.Share > 0)
	is.True(first.Tokens >= 1000)
	remaining := l.BucketStates()[0].Share
	is.Equal(l.Lend(req), first)
	is.Equal(l.BucketStates()[0].Share, remaining)
	req.Sequence = 0
	is.Equal(l.Lend(req).Share, identifier.PartsPerMillion(0)) // older than the latest request
	req.Sequence, req.Epoch = 2, 7
	is.Equal(l.Lend(req).Share, identifier.PartsPerMillion(0)) // another epoch
}

// TestSharesSumToAtMostOneInAnyMixtureOfEpochs moves limiters through the epochs one at
// a time, with loans between limiters in the same epoch, and checks the sums of shares
// and levels after each step.
func TestSharesSumToAtMostOneInAnyMixtureOfEpochs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		size := rapid.IntRange(2, 5).Draw(t, "size")
		limiters := make([]*Limiter, size)
		for i := range limiters {
			limiters[i] = newLimiter(clock)
			limiters[i].EnterEpoch(0, identifier.WholeShare/identifier.PartsPerMillion(size))
		}
		for _, l := range limiters {
			l.ApplyBaseShares(0)
		}
		bases := []identifier.PartsPerMillion{identifier.WholeShare / identifier.PartsPerMillion(size), 0, 0}
		for epoch := 1; epoch < len(bases); epoch++ {
			bases[epoch] = identifier.WholeShare / identifier.PartsPerMillion(size+rapid.IntRange(0, 2).Draw(t, "joined"))
		}
		sequence := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, size-1).Draw(t, "node")
			chosen := limiters[i]
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				next := chosen.Epoch() + 1
				if int(next) < len(bases) {
					chosen.EnterEpoch(next, bases[next])
				}
			case 1:
				if allEntered(limiters, chosen.Epoch()) {
					chosen.ApplyBaseShares(chosen.Epoch())
				}
			default:
				lender := limiters[rapid.IntRange(0, size-1).Draw(t, "lender")]
				if lender == chosen {
					continue
				}
				sequence++
				chosen.AddBorrowed("w", lender.Lend(BorrowRequest{
					Borrower: "b", Epoch: chosen.Epoch(), Workspace: "w", Sequence: sequence,
					WantTokens: identifier.Tokens(rapid.IntRange(1, burst).Draw(t, "want")), Demand: 10, HeadWait: time.Second,
				}))
			}
			checkSumsOfSharesAndLevels(t, limiters)
		}
	})
}

// allEntered reports whether all limiters have entered an epoch, which daemons learn
// from heartbeats.
func allEntered(limiters []*Limiter, epoch identifier.Position) bool {
	for _, l := range limiters {
		if l.Epoch() < epoch {
			return false
		}
	}
	return true
}

func checkSumsOfSharesAndLevels(t *rapid.T, limiters []*Limiter) {
	share, level := identifier.PartsPerMillion(0), 0.0
	for _, l := range limiters {
		state := l.BucketStates()[0]
		share += state.Share
		level += state.Level
	}
	if share > identifier.WholeShare || level > burst+tokenEpsilon {
		t.Fatalf("shares sum to %d ppm, levels to %f tokens", share, level)
	}
}

// admission is one admitted request: its time, and the tokens that it used in the end.
type admission struct {
	at   time.Time
	used float64
}

// TestRefundsNeverAllowMoreThanRateAndBurst admits, releases and waits at random,
// with idle times, and then checks that no time window exceeds rate * window + burst.
func TestRefundsNeverAllowMoreThanRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		l := newLimiterWithWholeShare(clock)
		var admissions []*admission
		byReservation := make(map[*Reservation]*admission)
		var outstanding []*Reservation
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				clock.Advance(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				tokens := identifier.Tokens(rapid.IntRange(1, burst).Draw(t, "tokens"))
				waiter, refusal := l.Enqueue("w", tokens, clock.Now())
				if refusal != nil || len(waiter.Granted) == 0 {
					if refusal == nil {
						_, _ = l.CancelWait(waiter)
					}
					continue
				}
				r := <-waiter.Granted
				a := &admission{at: clock.Now(), used: float64(tokens)}
				admissions = append(admissions, a)
				byReservation[r] = a
				outstanding = append(outstanding, r)
			case 2:
				if len(outstanding) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(outstanding)-1).Draw(t, "which")
				r := outstanding[i]
				outstanding = append(outstanding[:i:i], outstanding[i+1:]...)
				used := math.Floor(byReservation[r].used * rapid.Float64Range(0, 1).Draw(t, "part"))
				l.Release(r, identifier.Tokens(used))
				byReservation[r].used = used
			}
		}
		checkAdmissionsInEveryWindow(t, admissions)
	})
}

func checkAdmissionsInEveryWindow(t *rapid.T, admissions []*admission) {
	for i := range admissions {
		sum := 0.0
		for j := i; j < len(admissions); j++ {
			sum += admissions[j].used
			allowed := rate*admissions[j].at.Sub(admissions[i].at).Seconds() + burst
			if sum > allowed+0.01 {
				t.Fatalf("%f tokens in a window that allows %f", sum, allowed)
			}
		}
	}
}

// init fixes the seed of the property tests, so that they give the same result in
// every run.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

func TestOverlappingRefundsShareTheirHeadroom(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := newLimiterWithWholeShare(clock)
	first, _ := l.Reserve(context.Background(), "w", 1000)
	second, _ := l.Reserve(context.Background(), "w", 1000)
	clock.Advance(time.Second)
	_, refusal := l.Reserve(context.Background(), "w", 3000)
	is.True(refusal == nil)
	l.Release(first, 0)
	l.Release(second, 0)
	// Without these two reservations the bucket would have been full until the third,
	// which leaves 1000 of 4000 tokens.
	is.Equal(l.BucketStates()[0].Level, 1000.0)
}

func BenchmarkAdmission(b *testing.B) {
	for _, workspaces := range []int{5, 580} {
		b.Run(fmt.Sprintf("%d workspaces", workspaces), func(b *testing.B) {
			l := New(clockwork.NewRealClock(), asserter.New(logger.Discard(), meter.NewNoop(), true))
			all := make(map[identifier.WorkspaceName]parser.Workspace)
			for i := range workspaces {
				name := identifier.WorkspaceName(fmt.Sprintf("w%d", i))
				all[name] = parser.Workspace{Name: name, Rate: 1 << 40, Burst: 1 << 40}
			}
			l.Configure(all)
			l.EnterEpoch(0, identifier.WholeShare)
			l.ApplyBaseShares(0)
			b.ReportAllocs()
			for b.Loop() {
				r, refusal := l.Reserve(context.Background(), "w1", 1)
				if refusal != nil {
					continue
				}
				l.Release(r, 1)
			}
		})
	}
}

func BenchmarkEpochChange(b *testing.B) {
	l := New(clockwork.NewRealClock(), asserter.New(logger.Discard(), meter.NewNoop(), true))
	all := make(map[identifier.WorkspaceName]parser.Workspace)
	for i := range 580 {
		name := identifier.WorkspaceName(fmt.Sprintf("w%d", i))
		all[name] = parser.Workspace{Name: name, Rate: 1000, Burst: 4000}
	}
	l.Configure(all)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.EnterEpoch(identifier.Position(i), 1000)
		l.ApplyBaseShares(identifier.Position(i))
	}
}
