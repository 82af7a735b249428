package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/fleet"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/version/reducer"
	"sassafraspass.dev/sassafraspass/version/router"
)

const (
	// versionReadWait is how long a read of the log waits for a new version.
	versionReadWait = time.Second
	// maxRelayedAge is the age above which a daemon no longer relies on what the
	// hubs relay and reads the log itself.
	maxRelayedAge = 3 * time.Second
	// maxRelayedUpstreamsAge is the same for the list of upstreams. It is shorter
	// because changes must be known while a draining upstream still serves.
	maxRelayedUpstreamsAge = 1600 * time.Millisecond
	// epochReadWait is how long a read of the log waits for a new epoch.
	epochReadWait = time.Second
	// readDuePollInterval is how often a daemon checks whether a read is due.
	readDuePollInterval = 200 * time.Millisecond
	// retryDelay is the pause after a failed access to the platform. A daemon that hears
	// a hub learns from it that the store is back, and doubles the pause after each
	// failure, up to maxRetryDelay.
	retryDelay    = 300 * time.Millisecond
	maxRetryDelay = 2400 * time.Millisecond
)

// backoff counts the failures in a row of one kind of access to the platform.
type backoff struct {
	failures int
}

// delay returns the pause after another failure. The random part keeps the daemons from
// accessing the platform all at once when it is back.
func (b *backoff) delay(hearsHub bool) time.Duration {
	delay := retryDelay
	if hearsHub {
		delay = min(retryDelay<<min(b.failures, maxBackoffShift), maxRetryDelay)
	}
	b.failures++
	return delay/2 + rand.N(delay)
}

// maxBackoffShift keeps the shift in backoff.delay from overflowing.
const maxBackoffShift = 10

// pauseAfterFailure waits after a failed access to the platform. A hub reads for the
// others and does not back off.
func (g *Gateway) pauseAfterFailure(ctx context.Context, b *backoff) {
	repeater.Sleep(ctx, g.Clock, b.delay(!g.isHub() && g.hearsHub()))
}

// fleetDrivers returns the drivers for package fleet.
func (g *Gateway) fleetDrivers() fleet.Drivers {
	return fleet.Drivers{AppendAt: g.appendEpoch, ReadVMs: g.readVMs}
}

// appendEpoch appends a proposal. After a failure this daemon reads the epochs, as the log
// may end elsewhere than it expects.
func (g *Gateway) appendEpoch(ctx context.Context, data []byte, at identifier.Position) (identifier.Position, error) {
	startedAt := g.Clock.Now()
	position, err := g.drivers.AppendEpoch(ctx, data, at)
	g.Meter.ObserveDuration(meter.TimingAppend, g.Clock.Since(startedAt))
	if err != nil {
		g.isEpochReadDue.Store(true)
	}
	return position, err
}

// waitUntilReadDue waits until this daemon has to read the log: because it is one of the
// hubs that read for the others, or because what the hubs relay is too old.
func (g *Gateway) waitUntilReadDue(ctx context.Context) {
	for ctx.Err() == nil && g.isRelayedVersionRecent() && !g.isEpochReadDue.Load() {
		repeater.Sleep(ctx, g.Clock, readDuePollInterval)
	}
}

// waitUntilEpochReadDue waits until this daemon has to read the epochs. If it hears
// no hub, it reads at once, so that it learns of the next epoch from the log.
func (g *Gateway) waitUntilEpochReadDue(ctx context.Context) {
	if g.hearsHub() {
		g.waitUntilReadDue(ctx)
	}
	g.isEpochReadDue.Store(false)
}

// followVersions reads and applies the configuration until the context ends.
func (g *Gateway) followVersions(ctx context.Context) error {
	log := logger.For(g.Log, logger.Config)
	next := identifier.NoPosition
	var retries backoff
	wait := versionReadWait
	for ctx.Err() == nil {
		g.waitUntilVersionReadDue(ctx)
		requestedAt := g.Clock.Now()
		isSnapshot := next == identifier.NoPosition
		batch, err := g.drivers.ReadVersions(ctx, next, wait)
		if err != nil {
			g.Meter.CountRetry(meter.RetryLogRead)
			// The log may be back from an older copy, which the next response tells at once.
			wait = 0
			if !g.isStoreDown.Swap(true) && ctx.Err() == nil {
				log.Warn("The store is out of reach.", "err", err, "version", g.Follower.Version().Number)
			}
			g.pauseAfterFailure(ctx, &retries)
			continue
		}
		retries = backoff{}
		if g.isStoreDown.Swap(false) {
			log.Info("The store is back.", "version", g.Follower.Version().Number)
		}
		g.recordRead(topicVersions, next, batch.NextPosition, batch.EndPosition, batch.Truncated)
		isStuck := !batch.ReachedEnd && batch.NextPosition == next
		next = batch.NextPosition
		if batch.Truncated {
			next = identifier.NoPosition
			continue
		}
		if isStuck {
			log.Debug("A read returned none of the records that follow.", "position", next)
			repeater.Sleep(ctx, g.Clock, retryDelay)
			continue
		}
		for _, parseErr := range batch.ParseErrors {
			g.Meter.CountEvent(meter.EventMalformedRecord)
			log.Warn("A configuration record cannot be parsed.", "err", parseErr)
		}
		g.applyEvacuations(batch, isSnapshot, requestedAt)
		wait = waitAfter(batch)
		for _, version := range batch.Versions {
			g.installVersion(log, version)
		}
		if batch.ReachedEnd {
			g.Confirmer.RecordLogRead(appender.StreamConfig, requestedAt)
		}
		if g.Follower.Version().Number != identifier.NoOffset {
			g.VersionLoaded.Store(true)
		}
	}
	return ctx.Err()
}

// installVersion puts a version that was read in force, unless it is older.
func (g *Gateway) installVersion(log *slog.Logger, version *reducer.Version) {
	inForce := g.Follower.Version().Number
	if version.Number < inForce {
		log.Info("A version that was read is older than the one in force.", "version", version.Number, "in-force", inForce)
	}
	g.Follower.Install(version)
}

// applyVersion makes a new version the one in force.
func (g *Gateway) applyVersion(version *reducer.Version) {
	g.router.Store(router.New(version.Routes))
	g.configureLimits(version.Workspaces)
	g.notifyUpstreamsChanged()
	g.VersionLoaded.Store(true)
	g.Heartbeater.SendAllNow()
	logger.For(g.Log, logger.Config).Info("A version is in force.", "version", version.Number, "routes", len(version.Routes), "workspaces", len(version.Workspaces))
}

// followEpochs reads and applies the epochs until the context ends.
func (g *Gateway) followEpochs(ctx context.Context) error {
	log := logger.For(g.Log, logger.Config)
	var retries backoff
	for ctx.Err() == nil {
		g.waitUntilEpochReadDue(ctx)
		err := g.readNextEpochs(ctx, log)
		if err != nil {
			g.Meter.CountRetry(meter.RetryLogRead)
			log.Debug("Cannot read the epochs.", "err", err)
			g.pauseAfterFailure(ctx, &retries)
			continue
		}
		retries = backoff{}
	}
	return ctx.Err()
}

// readNextEpochs reads and applies the epochs that follow. If the log has not all of them, it
// continues with the newest.
func (g *Gateway) readNextEpochs(ctx context.Context, log *slog.Logger) error {
	from := g.EpochTracker.NextPosition()
	requestedAt := g.Clock.Now()
	batch, err := g.drivers.ReadEpochs(ctx, from, epochReadWait)
	if err != nil {
		return err
	}
	g.recordRead(topicEpochs, from, batch.NextPosition, batch.EndPosition, batch.Truncated)
	if batch.Truncated {
		return g.restartEpochs(ctx, log)
	}
	for _, record := range batch.Records {
		err := g.EpochTracker.Handle(record)
		if err != nil {
			log.Debug("An epoch record was ignored.", "err", err)
		}
	}
	g.EpochTracker.Advance(batch.NextPosition)
	if batch.ReachedEnd {
		g.Confirmer.RecordLogRead(appender.StreamEpochs, requestedAt)
	}
	return nil
}

// restartEpochs continues with the newest epoch.
func (g *Gateway) restartEpochs(ctx context.Context, log *slog.Logger) error {
	requestedAt := g.Clock.Now()
	newest, next, err := g.drivers.NewestEpoch(ctx)
	if err != nil {
		return err
	}
	err = g.EpochTracker.Restart(newest, next)
	if err != nil {
		return err
	}
	g.Confirmer.RecordLogRead(appender.StreamEpochs, requestedAt)
	if g.EpochTracker.IsLost() {
		log.Warn("The log lost the epoch in force.", "epoch", g.EpochTracker.Current().Number, "newest", newest.Position)
	}
	return nil
}

// followUpstreams reads and applies the list of upstreams until the context ends.
// A daemon that does not read for the others reads it only when what the hubs relay is
// too old, and goes on where the relayed list ends.
func (g *Gateway) followUpstreams(ctx context.Context) error {
	log := logger.For(g.Log, logger.Upstream)
	next, isFullReadDue := identifier.NoPosition, false
	var retries backoff
	g.requestList(ctx)
	for ctx.Err() == nil {
		if g.areRelayedUpstreamsRecent() {
			repeater.Sleep(ctx, g.Clock, readDuePollInterval)
			continue
		}
		if !isFullReadDue {
			next = max(next, g.registrar.NextPosition())
		}
		isFullReadDue = false
		requestedAt := g.Clock.Now()
		batch, err := g.drivers.ReadUpstreams(ctx, next, registrar.ReadWait)
		g.registrar.RecordReadTime(g.Clock.Since(requestedAt), err != nil)
		if err != nil {
			g.Meter.CountRetry(meter.RetryLogRead)
			g.pauseAfterFailure(ctx, &retries)
			continue
		}
		retries = backoff{}
		g.recordRead(topicUpstreams, next, batch.NextPosition, batch.EndPosition, batch.Truncated)
		isFullRead := next == identifier.NoPosition
		hasProgressed := batch.NextPosition > next
		next = batch.NextPosition
		if batch.Truncated {
			next = identifier.NoPosition
			isFullReadDue = true
			continue
		}
		g.registrar.Apply(g.updateOf(log, batch, isFullRead))
		if batch.ReachedEnd || !hasProgressed {
			repeater.Sleep(ctx, g.Clock, registrar.ReadInterval)
		}
	}
	return ctx.Err()
}

// updateOf returns a batch of changes as an update of the registrar, a snapshot after a
// full read. An upstream whose record cannot be parsed is removed.
func (g *Gateway) updateOf(log *slog.Logger, batch UpstreamBatch, isFullRead bool) registrar.Update {
	update := registrar.Update{NextPosition: batch.NextPosition, IsSnapshot: isFullRead}
	if !batch.ReachedEnd {
		update.Age = g.registrar.Age()
	}
	for _, change := range batch.Changes {
		if change.ParseError != nil {
			g.Meter.CountEvent(meter.EventMalformedRecord)
			log.Warn("An upstream record cannot be parsed.", "name", change.Name, "err", change.ParseError)
		}
		if change.Warning != nil {
			log.Warn("A field of an upstream record is out of range.", "name", change.Name, "err", change.Warning)
		}
		if change.Deleted || change.ParseError != nil {
			update.Removed = append(update.Removed, registrar.Removal{Name: change.Name, Position: change.Position})
			continue
		}
		update.Entries = append(update.Entries, change.Entry)
	}
	return update
}

// notifyUpstreamsChanged wakes distributeUpstreams.
func (g *Gateway) notifyUpstreamsChanged() {
	select {
	case g.upstreamsChanged <- struct{}{}:
	default:
	}
}

// distributeUpstreams updates the placer and the ejector when the upstreams or the
// version changed, until the context ends.
func (g *Gateway) distributeUpstreams(ctx context.Context) error {
	for {
		select {
		case <-g.upstreamsChanged:
		case <-ctx.Done():
			return ctx.Err()
		}
		for name, service := range g.Follower.Version().Services {
			if service.Engine != nil {
				g.configurePlacer(name, *service.Engine)
			}
		}
		g.ejector.Retain(g.registrar.All())
		g.coldstarter.Retain(g.registrar.All())
	}
}
