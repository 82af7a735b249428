// Package fetcher copies the configuration between daemons, so that a daemon
// that cannot read the log still gets it.
package fetcher

import (
	"context"
	"log/slog"
	"time"

	"sassafraspass.dev/sassafraspass/connection/messenger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
	"sassafraspass.dev/sassafraspass/version/follower"
)

const (
	fetchTimeout = 3 * time.Second
	// maxHints is the capacity of the queue of hints. Further hints are
	// dropped; later heartbeats repeat them.
	maxHints = 64
)

// hint names a peer that has a newer version or epoch than this daemon.
type hint struct {
	peer    identifier.Address
	version identifier.Offset
	epoch   identifier.Position
}

// Fetcher fetches newer versions and epochs from peers.
type Fetcher struct {
	Follower     *follower.Follower
	EpochTracker *epochtracker.Tracker
	// Fetch requests from a peer its epoch and its configuration after a version.
	Fetch func(ctx context.Context, peer identifier.Address, after identifier.Offset) (messenger.ConfigUpdate, error)
	Log   *slog.Logger

	hints chan hint
}

// New returns a fetcher. The caller sets its exported fields before using it.
func New() *Fetcher {
	return &Fetcher{hints: make(chan hint, maxHints)}
}

// HandleHeartbeat queues a fetch if a peer's heartbeat announces a newer
// version or epoch. It does not block.
func (f *Fetcher) HandleHeartbeat(heartbeat heartbeater.Heartbeat) {
	if !f.isBehind(heartbeat.Version, heartbeat.Epoch) {
		return
	}
	select {
	case f.hints <- hint{peer: heartbeat.Peer, version: heartbeat.Version, epoch: heartbeat.Epoch}:
	default:
	}
}

// isBehind reports whether this daemon's version or epoch is older than the
// given one.
func (f *Fetcher) isBehind(version identifier.Offset, epoch identifier.Position) bool {
	return version > f.Follower.Version().Number || epoch > f.EpochTracker.Current().Number
}

// Run fetches until the context ends.
func (f *Fetcher) Run(ctx context.Context) error {
	for {
		select {
		case h := <-f.hints:
			if f.isBehind(h.version, h.epoch) {
				f.fetch(ctx, h.peer)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// fetch fetches the configuration and the epoch of a peer and installs them.
func (f *Fetcher) fetch(ctx context.Context, peer identifier.Address) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	config, err := f.Fetch(ctx, peer, f.Follower.Version().Number)
	if err != nil {
		f.Log.Debug("Cannot fetch the configuration from a peer.", "err", err)
		return
	}
	for _, record := range config.Records {
		f.Follower.Handle(record)
	}
	if config.Version != nil {
		f.Follower.Install(config.Version)
	}
	f.EpochTracker.Install(config.Epoch)
}

// ConfigAfter returns what a peer with the given version lacks: this daemon's
// epoch, and the records after that version if all of them are still kept,
// otherwise the whole current version. If this daemon has no newer version, only
// the epoch is set.
func (f *Fetcher) ConfigAfter(after identifier.Offset) messenger.ConfigUpdate {
	config := messenger.ConfigUpdate{Epoch: f.EpochTracker.Current()}
	version := f.Follower.Version()
	if version.Number <= after {
		return config
	}
	records, ok := f.Follower.RecordsAfter(after)
	if ok {
		config.Records = records
		return config
	}
	config.Version = version
	return config
}
