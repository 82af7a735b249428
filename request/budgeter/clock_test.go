package budgeter

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// steppedClock is a clock whose time of day can jump, while the time between two
// events stays right, as with the monotonic readings of time.Time.
type steppedClock struct {
	*clockwork.FakeClock
	step time.Duration
}

func (c *steppedClock) Now() time.Time { return c.FakeClock.Now().Add(c.step) }

func (c *steppedClock) Since(at time.Time) time.Duration { return c.FakeClock.Since(at) }

// TestStepOfTheTimeOfDayMovesNoWindow guards against a budget that is granted twice
// after a step forward, and against one that stays used up after a step back.
func TestStepOfTheTimeOfDayMovesNoWindow(t *testing.T) {
	tests := []struct {
		name string
		step time.Duration
	}{
		{"forward", time.Hour},
		{"back", -time.Hour},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := &steppedClock{FakeClock: clockwork.NewFakeClock()}
			b := New(clock, bounds)
			granted := takeRetries(b, 100)
			is.True(granted > 0)
			clock.step = tt.step
			is.Equal(takeRetries(b, 100), 0) // the window has not moved
			clock.Advance(2 * bounds.Window)
			is.Equal(takeRetries(b, 100), granted)
		})
	}
}
