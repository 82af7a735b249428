package deduplicator

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/repeater"
)

const (
	// maxPending is the number of pending entries from which on intents are
	// rejected.
	maxPending = 4096
	// maxBatch is the maximum number of entries in one record.
	maxBatch         = 256
	appendTimeout    = 2 * time.Second
	appendRetryDelay = 100 * time.Millisecond
)

// Writer appends entries to the once stream in order and in batches, and retries
// until the log acknowledges them. Entries may thus be in the log more than
// once; they are idempotent. It is safe for concurrent use.
type Writer struct {
	// Append adds a record to a stream of the log and returns its offset.
	Append func(ctx context.Context, stream identifier.StreamName, data []byte) (identifier.Offset, error)
	Clock  clockwork.Clock
	Log    *slog.Logger
	Meter  *meter.Meter

	mu      sync.Mutex
	pending []pendingEntry
	wake    chan struct{}
}

// pendingEntry is an entry that the log has not acknowledged.
type pendingEntry struct {
	entry Entry
	// sent is true once an append with the entry has been started, after which
	// the log may hold the entry.
	sent bool
}

// NewWriter returns a writer without entries. Append, Clock, Log and Meter must be
// set before Run.
func NewWriter() *Writer {
	return &Writer{wake: make(chan struct{}, 1)}
}

// Enqueue queues an entry. It rejects an intent, and reports false, while 4,096 or
// more entries are pending. Other entries are always accepted, as each follows
// an intent that was accepted.
func (w *Writer) Enqueue(entry Entry) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if entry.Kind == KindIntent && len(w.pending) >= maxPending {
		return false
	}
	w.pending = append(w.pending, pendingEntry{entry: entry})
	w.notify()
	return true
}

// AbandonIntent ends the attempt of an intent. An intent that was never sent to the
// log is dropped; for any other, an abandon entry is queued.
func (w *Writer) AbandonIntent(intent Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.IndexFunc(w.pending, func(p pendingEntry) bool {
		return p.entry.Kind == KindIntent && p.entry.Attempt == intent.Attempt
	})
	if i >= 0 {
		sent := w.pending[i].sent
		w.pending = slices.Delete(w.pending, i, i+1)
		if !sent {
			return
		}
	}
	abandon := Entry{Kind: KindAbandon, Workspace: intent.Workspace, Key: intent.Key, Attempt: intent.Attempt}
	w.pending = append(w.pending, pendingEntry{entry: abandon})
	w.notify()
}

// Len returns the number of entries that the log has not acknowledged.
func (w *Writer) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}

// notify wakes Run, which may be waiting for entries.
func (w *Writer) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run appends entries until the context ends. It returns the context's error.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-w.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for w.Len() > 0 && ctx.Err() == nil {
			w.appendBatch(ctx)
		}
	}
}

// appendBatch appends the oldest pending entries, or waits after a failure.
func (w *Writer) appendBatch(ctx context.Context) {
	batch := w.nextBatch()
	err := w.appendRecord(ctx, batch)
	if err == nil {
		w.remove(batch)
		return
	}
	w.Meter.CountRetry(meter.RetryAppend)
	w.Log.Debug("Cannot append to the once stream.", "err", err)
	repeater.Sleep(ctx, w.Clock, appendRetryDelay)
}

// nextBatch returns up to maxBatch of the oldest pending entries and marks them as
// sent. They stay pending.
func (w *Writer) nextBatch() []Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch []Entry
	for i := range w.pending[:min(maxBatch, len(w.pending))] {
		w.pending[i].sent = true
		batch = append(batch, w.pending[i].entry)
	}
	return batch
}

// appendRecord appends a batch to the once stream as one record.
func (w *Writer) appendRecord(ctx context.Context, batch []Entry) error {
	if len(batch) == 0 {
		return nil
	}
	data, err := json.Marshal(batch)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = w.Append(ctx, appender.StreamIdempotencyKeys, data)
	return err
}

// remove removes the entries of an acknowledged batch from the pending ones. Some
// may have been removed by AbandonIntent in the meantime.
func (w *Writer) remove(batch []Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, entry := range batch {
		i := slices.IndexFunc(w.pending, func(p pendingEntry) bool {
			return p.entry.Kind == entry.Kind && p.entry.Attempt == entry.Attempt
		})
		if i >= 0 {
			w.pending = slices.Delete(w.pending, i, i+1)
		}
	}
}
