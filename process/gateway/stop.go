package gateway

import (
	"context"
	"time"

	"sassafraspass.dev/sassafraspass/process/repeater"
)

const (
	// lingerFraction is the fraction of the grace period during which the daemon
	// still serves callers that have its address from before.
	lingerFraction = 0.55
	// The daemon accepts requests that may outlast its shutdown for no longer than
	// callers cache its address, and announceDelay, which the other daemons need to learn
	// of the shutdown. acceptFraction is the largest fraction of the grace period, and
	// maxAnnouncement the longest time, for which it does so.
	announceDelay   = 500 * time.Millisecond
	acceptFraction  = 0.3
	maxAnnouncement = 2500 * time.Millisecond
	// drainFraction is the fraction of the grace period after which the daemon no
	// longer waits for running requests.
	drainFraction = 0.92
)

// awaitStop shuts down gracefully when ctx ends. It returns at once when runCtx ends,
// that is, when another part of Run has ended.
func (g *Gateway) awaitStop(ctx, runCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
		return nil
	}
	g.shutDownGracefully(runCtx)
	return nil
}

// shutDownGracefully first announces that the daemon is leaving, so that no more
// callers are sent to it, and serves those that still come. Once callers know, it
// closes idle connections and refuses requests that may outlast it. It then gives up
// the daemon's shares of the limits and waits for running requests.
func (g *Gateway) shutDownGracefully(ctx context.Context) {
	settings := g.currentSettings()
	grace := settings.Gateway.GracePeriod
	announcement := min(settings.EntryMaxAge+announceDelay, fractionOf(grace, acceptFraction), maxAnnouncement)
	shutdown := g.drainer.Begin(announcement, fractionOf(grace, drainFraction))
	g.Log.Info("Leaving.", "grace", grace)
	g.Leaving.Store(true)
	g.Heartbeater.AnnounceNow()
	g.sleepUntil(ctx, shutdown.KnownBy)
	g.drainer.CloseIdle()
	g.sleepUntil(ctx, shutdown.Began.Add(fractionOf(grace, lingerFraction)))
	g.accountant.Close()
	g.Limiter.Drain()
	g.Heartbeater.SendAllNow()
	err := g.drainer.Drain(ctx)
	if err != nil {
		g.Log.Warn("Requests were still running at the drain deadline.", "err", err)
	}
}

func (g *Gateway) sleepUntil(ctx context.Context, at time.Time) {
	repeater.Sleep(ctx, g.Clock, at.Sub(g.Clock.Now()))
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}
