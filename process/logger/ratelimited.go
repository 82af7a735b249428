package logger

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxQueuedLines is the maximum number of lines that wait to be written.
	maxQueuedLines = 2048
	// flushInterval is the delay from the first line of a batch to its write.
	flushInterval = 100 * time.Millisecond
	// maxSuccessFraction is the fraction of a second's lines after which Success
	// lines are dropped. The rest is reserved for refusals, failures and state
	// changes.
	maxSuccessFraction = 0.5
	// flushBytes is the buffer size from which no more lines are added to a
	// write.
	flushBytes = 32 << 10
)

// Success is the level of lines about successful requests. They are dropped
// first when the log reaches its rate limit, and are written with the level
// INFO.
const Success = slog.Level(-1)

// NewRateLimited returns a logger that never blocks its callers. It writes at most
// perSecond lines per second, or any number if perSecond is zero, and logs how many
// lines it dropped. The cleanup function writes the waiting lines, up to flushBytes, and
// stops the logger.
func NewRateLimited(w io.Writer, level slog.Level, perSecond int, clock clockwork.Clock) (log *slog.Logger, cleanup func()) {
	if level == slog.LevelInfo {
		level = Success
	}
	writer := &asyncWriter{
		out:          w,
		clock:        clock,
		lines:        make(chan []byte, maxQueuedLines),
		maxPerSecond: perSecond,
		closing:      make(chan struct{}),
		closed:       make(chan struct{}),
	}
	go writer.run()
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: relabelSuccess}
	handler := &rateLimitedHandler{Handler: slog.NewTextHandler(writer, options), writer: writer}
	return slog.New(handler), writer.close
}

// relabelSuccess writes the level Success as INFO.
func relabelSuccess(_ []string, a slog.Attr) slog.Attr {
	level, ok := a.Value.Any().(slog.Level)
	if ok && a.Key == slog.LevelKey && level == Success {
		return slog.Any(slog.LevelKey, slog.LevelInfo)
	}
	return a
}

// rateLimitedHandler drops records above the rate limit before they are
// formatted.
type rateLimitedHandler struct {
	slog.Handler
	writer *asyncWriter
}

// Handle writes a record, or drops and counts it.
func (h *rateLimitedHandler) Handle(ctx context.Context, record slog.Record) error {
	if !h.writer.admit(record.Level <= Success) {
		return nil
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs keeps the rate limit on derived loggers.
func (h *rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithAttrs(attrs), writer: h.writer}
}

// WithGroup keeps the rate limit on derived loggers.
func (h *rateLimitedHandler) WithGroup(name string) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithGroup(name), writer: h.writer}
}

// asyncWriter queues formatted lines and writes them in a goroutine of its own.
type asyncWriter struct {
	out          io.Writer
	clock        clockwork.Clock
	lines        chan []byte
	maxPerSecond int
	closing      chan struct{}
	closed       chan struct{}
	closeOnce    sync.Once

	mu            sync.Mutex
	currentSecond int64
	admitted      int
	dropped       int
}

// admit reports whether another line may be written in the current second, and
// counts the line as admitted or dropped.
func (w *asyncWriter) admit(isSuccess bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.maxPerSecond == 0 {
		return true
	}
	second := w.clock.Now().Unix()
	if second != w.currentSecond {
		w.currentSecond = second
		w.admitted = 0
	}
	limit := w.maxPerSecond
	if isSuccess {
		limit = int(maxSuccessFraction * float64(limit))
	}
	if w.admitted >= limit {
		w.dropped++
		return false
	}
	w.admitted++
	return true
}

// Write queues one formatted line, or drops and counts it if the queue is full.
// It never returns an error.
func (w *asyncWriter) Write(line []byte) (int, error) {
	lineCopy := append([]byte(nil), line...)
	select {
	case w.lines <- lineCopy:
	default:
		w.mu.Lock()
		w.dropped++
		w.mu.Unlock()
	}
	return len(line), nil
}

// run writes lines in batches, each flushInterval after its first line, until
// the writer is closed.
func (w *asyncWriter) run() {
	defer close(w.closed)
	var buf []byte
	for {
		select {
		case line := <-w.lines:
			buf = append(buf, line...)
		case <-w.closing:
			w.flush(w.drain(buf))
			return
		}
		select {
		case <-w.clock.After(flushInterval):
		case <-w.closing:
		}
		buf = w.flush(w.drain(buf))
	}
}

// drain appends the queued lines to buf until it reaches flushBytes.
func (w *asyncWriter) drain(buf []byte) []byte {
	for len(buf) < flushBytes {
		select {
		case line := <-w.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}

// flush writes buf and the number of lines dropped since the last flush, and
// returns the emptied buffer.
func (w *asyncWriter) flush(buf []byte) []byte {
	w.mu.Lock()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	// A write error is ignored, as there is nowhere else to report it.
	_, _ = w.out.Write(buf)
	if dropped > 0 {
		slog.New(slog.NewTextHandler(w.out, nil)).Warn("process: Lines of the log were dropped.", "lines", dropped)
	}
	return buf[:0]
}

// close makes run write the waiting lines, up to flushBytes, and waits for it
// to return.
func (w *asyncWriter) close() {
	w.closeOnce.Do(func() { close(w.closing) })
	<-w.closed
}
