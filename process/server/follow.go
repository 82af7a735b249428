package server

import (
	"context"
	"fmt"
	"time"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/request/planner"
	"sassafraspass.dev/sassafraspass/version/reducer"
	"sassafraspass.dev/sassafraspass/version/snapshotter"
)

const (
	snapshotRetryInterval = 500 * time.Millisecond
	snapshotTimeout       = 10 * time.Second
)

// followConfig installs the newest snapshot and then tails the config stream
// until the context ends.
func (s *Server) followConfig(ctx context.Context) error {
	s.startFromSnapshot(ctx)
	tailer := s.Tailer(appender.StreamConfig)
	tailer.NextOffset = s.Follower.NextOffset
	tailer.Handle = s.Follower.Handle
	tailer.OnTruncated = s.recoverTruncatedConfig
	tailer.OnRead = func(requestedAt time.Time, reachedEnd bool) {
		if reachedEnd {
			s.Confirmer.RecordLogRead(appender.StreamConfig, requestedAt)
			s.VersionLoaded.Store(true)
		}
	}
	return tailer.Run(ctx)
}

// startFromSnapshot installs the newest snapshot. It retries until the log can
// be read or the daemon has fetched a configuration from a peer.
func (s *Server) startFromSnapshot(ctx context.Context) {
	for ctx.Err() == nil && s.Follower.Version().Number == identifier.NoOffset {
		err := s.installSnapshot(ctx)
		if err == nil {
			return
		}
		s.Log.Warn("Cannot read the newest snapshot.", "err", err)
		repeater.Sleep(ctx, s.Clock, snapshotRetryInterval)
	}
}

// installSnapshot reads the newest snapshot from the log and installs its
// version and epoch.
func (s *Server) installSnapshot(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	version, epoch, err := snapshotter.ReadNewest(ctx, s.logClient.Read)
	if err != nil {
		return err
	}
	s.Follower.Install(version)
	s.EpochTracker.Install(epoch)
	return nil
}

// recoverTruncatedConfig installs the newest snapshot when the log no longer
// retains the records after the current version. It returns an error if the
// snapshot ends before first, the offset of the oldest retained record. In that
// case the fetcher may still get a newer version from a peer.
func (s *Server) recoverTruncatedConfig(ctx context.Context, first identifier.Offset) error {
	err := s.installSnapshot(ctx)
	if err != nil {
		return err
	}
	if s.Follower.NextOffset() < first {
		return fmt.Errorf("the records before %d are gone and no snapshot covers them", first)
	}
	return nil
}

// followEpochs tails the epochs stream until the context ends. It installs the
// newest snapshot if the log no longer retains the next epoch.
func (s *Server) followEpochs(ctx context.Context) error {
	tailer := s.EpochTailer()
	tailer.OnTruncated = func(ctx context.Context, first identifier.Offset) error {
		err := s.installSnapshot(ctx)
		if err != nil {
			return err
		}
		if identifier.Offset(s.EpochTracker.NextPosition()) < first {
			return fmt.Errorf("the epochs before %d are gone and no snapshot covers them", first)
		}
		return nil
	}
	return tailer.Run(ctx)
}

// followIdempotencyKeys tails the stream of calls that have an idempotency key
// into the index of these calls.
func (s *Server) followIdempotencyKeys(ctx context.Context) error {
	tailer := s.Tailer(appender.StreamIdempotencyKeys)
	tailer.NextOffset = s.services.index.Next
	tailer.Handle = func(record appender.Record) {
		err := s.services.index.Apply(record.Offset, record.Data)
		if err != nil {
			s.Meter.CountEvent(meter.EventMalformedRecord)
		}
	}
	tailer.OnTruncated = func(_ context.Context, first identifier.Offset) error {
		s.services.index.SkipTo(first)
		return nil
	}
	tailer.OnRead = func(_ time.Time, reachedEnd bool) {
		if reachedEnd {
			s.services.index.MarkCaughtUp()
		}
	}
	return tailer.Run(ctx)
}

// applyVersion passes a newly installed version to the components that use it.
func (s *Server) applyVersion(version *reducer.Version) {
	s.Limiter.Configure(version.Workspaces)
	s.engines.scheduler.Update(func(p *planner.Planner, _ time.Time) { p.Configure(version.Services) })
	s.Authenticator.CancelRequestsOfWithdrawnKeys(version)
	s.Log.Info("A version is in force.", "version", version.Number)
}
