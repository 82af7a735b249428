// Package repeater runs functions at fixed intervals and waits for durations, on a
// given clock, until a context ends.
package repeater

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Every calls task once per interval until the context ends, and returns the
// context's error. The first call is one interval after the start.
func Every(ctx context.Context, clock clockwork.Clock, interval time.Duration, task func()) error {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
		task()
	}
}

// Sleep waits for a duration or until the context ends, whichever comes first.
func Sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	select {
	case <-clock.After(d):
	case <-ctx.Done():
	}
}
