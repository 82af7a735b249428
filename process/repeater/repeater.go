// Package repeater runs a duty at fixed times.
package repeater

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Every runs a duty once in each interval until the context ends, whose error
// it returns.
func Every(ctx context.Context, clock clockwork.Clock, interval time.Duration, duty func()) error {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
		duty()
	}
}

// Sleep waits for a time or until the context ends.
func Sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	select {
	case <-clock.After(d):
	case <-ctx.Done():
	}
}
