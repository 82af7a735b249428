package budgeter

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

var bounds = Bounds{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}

// takeRetries tries to take a number of retries and returns how many it got.
func takeRetries(b *Budgeter, attempts int) (taken int) {
	for range attempts {
		if b.TakeRetry("s") {
			taken++
		}
	}
	return taken
}

func TestRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	b := New(clockwork.NewFakeClock(), bounds)
	b.DaemonCount = func() int { return 10 }
	is.Equal(takeRetries(b, 100), 4) // 0.8 of 50 over 10 daemons
	for range 100 {
		b.CountRequest("s")
	}
	is.Equal(takeRetries(b, 100), 16)    // 0.8 of 0.2 per request
	is.Equal(b.TakeRetry("other"), true) // each service has a budget of its own
}

func TestRetriesInEveryWindowAreBounded(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := New(clock, bounds)
	var sent []time.Time
	for range 400 {
		clock.Advance(100 * time.Millisecond)
		if b.TakeRetry("s") {
			sent = append(sent, clock.Now())
		}
	}
	for i, from := range sent {
		count := 0
		for _, at := range sent[i:] {
			if at.Sub(from) < bounds.Window {
				count++
			}
		}
		is.True(float64(count) <= bounds.Extra)
	}
	is.True(len(sent) > 100)
}
