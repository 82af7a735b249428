package tailer

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
)

// Guards against a daemon that goes on behind records that it has not got: whatever part of
// a stream each read returns, the records are handled once and in order.
func TestAnySplitOfAStreamIsHandledInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := identifier.Offset(rapid.IntRange(0, 12).Draw(t, "records"))
		next, reachedEnd := identifier.Offset(0), false
		tailer := Tailer{
			NextOffset: func() identifier.Offset { return next },
			Handle: func(record appender.Record) {
				if record.Offset > next {
					t.Fatalf("record %d came after %d records", record.Offset, next)
				}
				next = max(next, record.Offset+1)
			},
			OnRead: func(_ time.Time, isEnd bool) {
				reachedEnd = isEnd
				if isEnd != (next == end) {
					t.Fatalf("the end counts as reached after %d of %d records: %v", next, end, isEnd)
				}
			},
			Read: func(_ context.Context, _ identifier.StreamName, from identifier.Offset, _ int, _ time.Duration) (appender.Batch, error) {
				if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
					return appender.Batch{}, errors.New("no response")
				}
				batch := appender.Batch{NextOffset: end}
				start := from + identifier.Offset(rapid.SampledFrom([]int{0, 0, 0, -1, 1, 3}).Draw(t, "start"))
				count := identifier.Offset(rapid.IntRange(0, 4).Draw(t, "count"))
				for offset := max(0, start); offset < min(end, start+count); offset++ {
					batch.Records = append(batch.Records, appender.Record{Offset: offset})
				}
				return batch, nil
			},
			Clock: clockwork.NewFakeClock(),
			Log:   slog.New(slog.DiscardHandler),
		}
		for reads := 0; !reachedEnd; reads++ {
			if reads > 100_000 {
				t.Fatal("the reads never reached the end")
			}
			_ = tailer.readBatch(context.Background())
		}
	})
}
