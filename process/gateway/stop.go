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
	// acceptFraction is the largest fraction of the grace period during which the
	// daemon accepts requests that may outlast it. It does so for no longer than callers
	// cache its address, and announceDelay, which the other daemons need to learn of the
	// shutdown.
	acceptFraction = 0.3
	announceDelay  = 500 * time.Millisecond
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
	grace := g.currentSettings().Gateway.GracePeriod
	announcement := min(g.currentSettings().EntryMaxAge+announceDelay, time.Duration(acceptFraction*float64(grace)))
	shutdown := g.drainer.Begin(announcement, time.Duration(drainFraction*float64(grace)))
	g.Log.Info("Leaving.", "grace", grace)
	g.Leaving.Store(true)
	g.Heartbeater.SendAllNow()
	repeater.Sleep(ctx, g.Clock, announcement)
	g.drainer.CloseIdle()
	repeater.Sleep(ctx, g.Clock, time.Duration(lingerFraction*float64(grace))-announcement)
	g.Limiter.Drain()
	g.Heartbeater.SendAllNow()
	shutdownCtx, cancel := context.WithTimeout(ctx, shutdown.Deadline.Sub(g.Clock.Now()))
	defer cancel()
	err := g.callerServer.Shutdown(shutdownCtx)
	if err != nil {
		g.Log.Warn("Requests were still running at the drain deadline.", "err", err)
	}
}
