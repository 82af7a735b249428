// Package tailer reads a stream of the platform's log continuously, beginning at an
// offset.
package tailer

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/repeater"
)

const (
	batchSize       = 1000
	longPollTimeout = time.Second
	readTimeout     = 4 * time.Second
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = time.Second
)

// Tailer reads a stream and passes its records to Handle in order.
type Tailer struct {
	// Stream is the stream to read.
	Stream identifier.StreamName
	// Read reads a batch of records from the log, as appender.Client.Read does.
	Read func(ctx context.Context, stream identifier.StreamName, from identifier.Offset, limit int, maxWait time.Duration) (appender.Batch, error)
	// NextOffset returns the offset of the record to read next. The calls of Handle
	// and OnTruncated must advance it. Records behind it are not handled.
	NextOffset func() identifier.Offset
	// Handle processes a record.
	Handle func(appender.Record)
	// OnTruncated is called if the log has deleted records that were not read yet,
	// with the offset of the oldest record that it still keeps. After an error the
	// tailer backs off and reads again.
	OnTruncated func(ctx context.Context, oldestOffset identifier.Offset) error
	// OnRead is called after each successful read, with the time at which the read
	// began. If reachedEnd is true, it read up to the end of the stream.
	OnRead func(requestedAt time.Time, reachedEnd bool)
	// WaitUntilDue blocks until the next read is due. It may be nil.
	WaitUntilDue func(ctx context.Context)

	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter
}

// Run reads the stream until the context ends and returns the context's error.
// After a failed read it backs off exponentially with jitter.
func (t *Tailer) Run(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		if t.WaitUntilDue != nil {
			t.WaitUntilDue(ctx)
		}
		err := t.readBatch(ctx)
		if err == nil {
			backoff = minBackoff
			continue
		}
		if ctx.Err() != nil {
			break
		}
		t.Meter.CountRetry(meter.RetryLogRead)
		t.Log.Debug("Cannot read the log.", "stream", t.Stream, "err", err)
		repeater.Sleep(ctx, t.Clock, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
	return ctx.Err()
}

func (t *Tailer) readBatch(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	from := t.NextOffset()
	requestedAt := t.Clock.Now()
	batch, err := t.Read(readCtx, t.Stream, from, batchSize, longPollTimeout)
	if err != nil {
		return err
	}
	if batch.OldestOffset > from {
		err = t.OnTruncated(readCtx, batch.OldestOffset)
		if err != nil {
			return err
		}
	}
	for _, record := range batch.Records {
		next := t.NextOffset()
		if record.Offset > next {
			return fmt.Errorf("the log returned record %d, but %d comes next", record.Offset, next)
		}
		t.Handle(record)
	}
	t.OnRead(requestedAt, t.NextOffset() >= batch.NextOffset)
	return nil
}
