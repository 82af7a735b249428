// Package logger builds the loggers of the daemon's components. Every message
// starts with the fixed prefix of its component.
package logger

import (
	"context"
	"io"
	"log/slog"
)

// Component is the prefix of the log messages of one component of the daemon.
type Component string

// The prefixes in use.
const (
	Process     Component = "process"
	Config      Component = "config"
	Members     Component = "members"
	Shares      Component = "shares"
	Idempotency Component = "once"
	Request     Component = "request"
	Upstream    Component = "upstream"
	Cancel      Component = "cancel"
	Imitator    Component = "stand-in"
)

// New returns a logger that writes text lines of the given level and above.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

// Discard returns a logger that writes nothing.
func Discard() *slog.Logger {
	return slog.New(slog.DiscardHandler)
}

// For returns a logger with the prefix of one component. It replaces the prefix
// that log already has.
func For(log *slog.Logger, part Component) *slog.Logger {
	handler := log.Handler()
	prefixed, ok := handler.(*prefixHandler)
	if ok {
		handler = prefixed.Handler
	}
	return slog.New(&prefixHandler{Handler: handler, prefix: string(part) + ": "})
}

// prefixHandler adds a prefix to each message.
type prefixHandler struct {
	slog.Handler
	prefix string
}

// Handle writes the record with the prefix.
func (h *prefixHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Message = h.prefix + r.Message
	return h.Handler.Handle(ctx, r)
}

// WithAttrs keeps the prefix on derived loggers.
func (h *prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &prefixHandler{Handler: h.Handler.WithAttrs(attrs), prefix: h.prefix}
}

// WithGroup keeps the prefix on derived loggers.
func (h *prefixHandler) WithGroup(name string) slog.Handler {
	return &prefixHandler{Handler: h.Handler.WithGroup(name), prefix: h.prefix}
}
