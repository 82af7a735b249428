package server

import (
	"context"
	"time"

	"sassafraspass.dev/sassafraspass/process/asserter"
	"sassafraspass.dev/sassafraspass/process/repeater"
)

const (
	// announceDelay gives the other daemons time to learn that this one is
	// leaving.
	announceDelay = time.Second
	// maxDrainTime exceeds the duration of every request.
	maxDrainTime = 24 * time.Hour
	// handoverTimeout bounds the final waits for the log, engines and peers
	// together. The other daemons recover whatever is not handed over by then.
	handoverTimeout      = 10 * time.Second
	handoverPollInterval = 50 * time.Millisecond
)

// Abort stops the daemon immediately, without a graceful shutdown, as if its
// process had crashed. It is meant for tests.
func (s *Server) Abort() {
	s.abortOnce.Do(func() { close(s.aborted) })
}

// awaitStop shuts down gracefully once ctx ends. It returns early with
// ErrRemoved if the daemon is removed from the epoch, with errAborted after
// Abort, and with nil if hardStop ends.
func (s *Server) awaitStop(ctx, hardStop context.Context) error {
	select {
	case <-ctx.Done():
	case <-s.Removed():
		return ErrRemoved
	case <-s.aborted:
		return errAborted
	case <-hardStop.Done():
		return nil
	}
	shutdownCtx, cancel := context.WithCancel(hardStop)
	defer cancel()
	go func() {
		select {
		case <-s.aborted:
			cancel()
		case <-shutdownCtx.Done():
		}
	}()
	return s.shutDownGracefully(shutdownCtx)
}

// shutDownGracefully announces that the daemon is leaving, so that no more
// callers are directed to it. It keeps serving until the daemon addresses that
// callers cached have expired, lets running requests finish, and then hands over
// its shares and its unwritten records.
func (s *Server) shutDownGracefully(ctx context.Context) error {
	s.Log.Info("Leaving.", "entry-max-age", s.settings.EntryMaxAge)
	s.Leaving.Store(true)
	s.Heartbeater.AnnounceNow()
	s.drainer.Begin(s.settings.EntryMaxAge+announceDelay, maxDrainTime)
	repeater.Sleep(ctx, s.Clock, s.settings.EntryMaxAge+announceDelay)
	s.drainer.CloseIdle()
	err := s.drainer.Drain(ctx)
	if err != nil {
		return err
	}
	s.Assert.That(s.Authenticator.TrackedCount() == 0, asserter.StopCutsNoRequest, "running", s.Authenticator.TrackedCount())
	s.Limiter.Drain()
	s.Heartbeater.SendAllNow()
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	s.waitUntil(ctx, func() bool { return s.services.writer.Len() == 0 })
	s.waitUntil(ctx, func() bool { return s.engines.canceller.Pending() == 0 })
	s.waitUntil(ctx, func() bool { return s.engines.replicator.IsFlushed() })
	s.waitUntil(ctx, func() bool {
		return !s.EpochTracker.Current().HasMember(s.Identity.Self.Incarnation) || len(s.Peers.Live()) == 0
	})
	return nil
}

// waitUntil polls isDone until it reports true or the context ends.
func (s *Server) waitUntil(ctx context.Context, isDone func() bool) {
	for !isDone() && ctx.Err() == nil {
		repeater.Sleep(ctx, s.Clock, handoverPollInterval)
	}
}
