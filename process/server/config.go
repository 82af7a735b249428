package server

import (
	"context"
	"fmt"
	"time"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/connection/tailer"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/request/planner"
	"sassafraspass.dev/sassafraspass/version/epocher"
	"sassafraspass.dev/sassafraspass/version/folder"
	"sassafraspass.dev/sassafraspass/version/snapshotter"
)

const (
	snapshotRetry   = 500 * time.Millisecond
	snapshotTimeout = 10 * time.Second
)

// followConfig starts from the newest snapshot and follows the config stream.
func (s *Server) followConfig(ctx context.Context) error {
	s.startFromSnapshot(ctx)
	t := s.tailer(appender.StreamConfig)
	t.Next = s.follower.Next
	t.Handle = s.follower.Handle
	t.Truncated = s.configTruncated
	t.Confirmed = func(asked time.Time, whole bool) {
		if whole {
			s.confirmer.LogRead(appender.StreamConfig, asked)
			s.versionRead.Store(true)
		}
	}
	return t.Run(ctx)
}

// startFromSnapshot installs the newest snapshot, as soon as the log or a
// peer gives this daemon some configuration.
func (s *Server) startFromSnapshot(ctx context.Context) {
	for ctx.Err() == nil && s.follower.Version().Number == identifier.NoOffset {
		err := s.installSnapshot(ctx)
		if err == nil {
			return
		}
		s.log.Warn("Cannot read the newest snapshot.", "err", err)
		repeater.Sleep(ctx, s.clock, snapshotRetry)
	}
}

func (s *Server) installSnapshot(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	version, epoch, err := snapshotter.Newest(ctx, s.logClient.Read)
	if err != nil {
		return err
	}
	s.follower.InstallVersion(version)
	s.epocher.Install(epoch)
	return nil
}

// configTruncated looks for a newer snapshot where the records that follow the
// version in force are gone. Peers may have one too; the fetcher asks them.
func (s *Server) configTruncated(ctx context.Context, first identifier.Offset) error {
	err := s.installSnapshot(ctx)
	if err != nil {
		return err
	}
	if s.follower.Next() < first {
		return fmt.Errorf("the records before %d are gone and no snapshot covers them", first)
	}
	return nil
}

func (s *Server) followEpochs(ctx context.Context) error {
	t := s.tailer(appender.StreamEpochs)
	t.Next = s.epocher.Next
	t.Handle = func(record appender.Record) {
		err := s.epocher.Handle(record.Offset, record.Data)
		if err != nil {
			s.log.Debug("An epoch record has no effect.", "err", err)
		}
	}
	t.Truncated = func(ctx context.Context, first identifier.Offset) error {
		err := s.installSnapshot(ctx)
		if err != nil {
			return err
		}
		if s.epocher.Next() < first {
			return fmt.Errorf("the epochs before %d are gone and no snapshot covers them", first)
		}
		return nil
	}
	t.Confirmed = func(asked time.Time, whole bool) {
		if whole {
			s.confirmer.LogRead(appender.StreamEpochs, asked)
		}
	}
	return t.Run(ctx)
}

func (s *Server) followOnce(ctx context.Context) error {
	t := s.tailer(appender.StreamOnce)
	t.Next = s.ledger.Next
	t.Handle = func(record appender.Record) {
		err := s.ledger.Handle(record.Offset, record.Data)
		if err != nil {
			s.meter.Event(meter.EventBrokenRecord)
		}
	}
	t.Truncated = func(_ context.Context, first identifier.Offset) error {
		s.ledger.Skip(first)
		return nil
	}
	t.Confirmed = func(_ time.Time, whole bool) {
		if whole {
			s.ledger.MarkWhole()
		}
	}
	return t.Run(ctx)
}

func (s *Server) tailer(stream identifier.StreamName) *tailer.Tailer {
	return &tailer.Tailer{
		Stream: stream,
		Read:   s.logClient.Read,
		Clock:  s.clock,
		Log:    logger.For(s.log, logger.Config),
		Meter:  s.meter,
	}
}

// installed puts a new version in force.
func (s *Server) installed(version *folder.Version) {
	s.limiter.Configure(version.Workspaces)
	s.scheduler.Update(func(p *planner.Planner, _ time.Time) { p.Configure(version.Services) })
	s.admitter.Installed(version)
	s.log.Info("A version is in force.", "version", version.Number)
}

// enterEpoch begins an epoch in the limiter.
func (s *Server) enterEpoch(epoch epocher.Epoch) {
	base := identifier.Parts(0)
	if epoch.Has(s.self.Incarnation) {
		base = epoch.BaseShare()
	}
	s.limiter.EnterEpoch(epoch.Number, base)
	s.heartbeat.Kick()
	s.log.Info("An epoch began.", "epoch", epoch.Number, "members", len(epoch.Members), "share-ppm", base)
}
