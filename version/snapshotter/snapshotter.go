// Package snapshotter preserves the configuration in a log with limited retention:
// it appends a snapshot of the current version and epoch before the records that
// they were built from expire.
package snapshotter

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
	"sassafraspass.dev/sassafraspass/version/reducer"
)

const (
	readBatchSize = 100
	appendTimeout = 5 * time.Second
	// checkInterval is the time between two checks whether a snapshot is due.
	checkInterval = time.Second
)

// Snapshot is a record of the snapshots stream.
type Snapshot struct {
	// Version is encoded by reducer.Marshal.
	Version json.RawMessage    `json:"version"`
	Epoch   epochtracker.Epoch `json:"epoch"`
}

// ReadFunc reads at most limit records of a stream, beginning at an offset. If
// there are none yet, it waits up to maxWait for the first one.
type ReadFunc func(ctx context.Context, stream identifier.StreamName, from identifier.Offset, limit int, maxWait time.Duration) (appender.Batch, error)

// ReadNewest returns the highest version and the highest epoch of all snapshots
// in the log. Without snapshots it returns the empty version and an epoch with
// the number identifier.NoOffset. It skips malformed snapshots.
func ReadNewest(ctx context.Context, read ReadFunc) (version *reducer.Version, epoch epochtracker.Epoch, err error) {
	defer annotator.Annotate(&err, "read newest snapshot")
	version = reducer.NewVersion()
	epoch = epochtracker.Epoch{Number: identifier.NoPosition}
	from := identifier.Offset(0)
	for {
		batch, err := read(ctx, appender.StreamSnapshots, from, readBatchSize, 0)
		if err != nil {
			return nil, epoch, err
		}
		for _, record := range batch.Records {
			version, epoch = takeNewer(version, epoch, record.Data)
		}
		from = max(from, batch.OldestOffset) + identifier.Offset(len(batch.Records))
		if from >= batch.NextOffset {
			return version, epoch, nil
		}
		if len(batch.Records) == 0 {
			return nil, epoch, fmt.Errorf("the log returned none of the records from %d on", from)
		}
	}
}

// takeNewer decodes a snapshot and returns the newer of each: the given version or
// that of the snapshot, and the given epoch or that of the snapshot. It ignores
// malformed data.
func takeNewer(version *reducer.Version, epoch epochtracker.Epoch, data []byte) (*reducer.Version, epochtracker.Epoch) {
	var snapshot Snapshot
	err := json.Unmarshal(data, &snapshot)
	if err != nil {
		return version, epoch
	}
	candidate, err := reducer.Unmarshal(snapshot.Version)
	if err != nil {
		return version, epoch
	}
	if candidate.Number >= version.Number {
		version = candidate
	}
	if snapshot.Epoch.Number > epoch.Number {
		epoch = snapshot.Epoch
	}
	return version, epoch
}

// Snapshotter appends snapshots while this daemon is the designated writer.
type Snapshotter struct {
	// Interval is the time between two snapshots, well under the log's
	// retention.
	Interval time.Duration
	// IsWriter reports whether this daemon is the designated writer. Two writers at a
	// time do no harm, as ReadNewest takes the newest version and the newest epoch of
	// all snapshots.
	IsWriter func() bool
	// Version returns the version in force.
	Version func() *reducer.Version
	// Epoch returns the current epoch.
	Epoch func() epochtracker.Epoch
	// Append appends a record to a stream of the log and returns its offset.
	Append func(ctx context.Context, stream identifier.StreamName, data []byte) (identifier.Offset, error)

	Clock clockwork.Clock
	Log   *slog.Logger
}

// Run appends a snapshot once per Interval until the context ends, and returns the
// context's error. After a failed append it tries again at the next check.
func (s *Snapshotter) Run(ctx context.Context) error {
	nextWrite := s.Clock.Now().Add(s.Interval)
	for {
		select {
		case <-s.Clock.After(min(checkInterval, s.Interval)):
		case <-ctx.Done():
			return ctx.Err()
		}
		if s.Clock.Now().Before(nextWrite) || !s.IsWriter() {
			continue
		}
		err := s.Write(ctx)
		if err != nil {
			s.Log.Warn("Cannot append a snapshot.", "err", err)
			continue
		}
		nextWrite = s.Clock.Now().Add(s.Interval)
	}
}

// Write appends a snapshot of the current version and epoch.
func (s *Snapshotter) Write(ctx context.Context) (err error) {
	defer annotator.Annotate(&err, "write snapshot")
	version, err := reducer.Marshal(s.Version())
	if err != nil {
		return err
	}
	data, err := json.Marshal(Snapshot{Version: version, Epoch: s.Epoch()})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = s.Append(ctx, appender.StreamSnapshots, data)
	return err
}
