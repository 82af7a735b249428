// Package listener is the HTTP server for callers. It serves completions, calls of
// plain services, and the addresses of the VMs that a caller should use.
package listener

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/selector"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/authenticator"
	"sassafraspass.dev/sassafraspass/request/forwarder"
	"sassafraspass.dev/sassafraspass/request/limiter"
	"sassafraspass.dev/sassafraspass/request/streamer"
	"sassafraspass.dev/sassafraspass/version/parser"
	"sassafraspass.dev/sassafraspass/version/reducer"
)

const (
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes = 8 << 20
	// MaxHeaderBytes limits the size of a request header.
	MaxHeaderBytes = 32 << 10

	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 30 * time.Second
	idleTimeout       = 60 * time.Second
	// maxAnonymousCalls limits the concurrent calls of services that need no key.
	maxAnonymousCalls = 256
	// retryAfter is the Retry-After time of a daemon that is not ready or at its
	// limit of anonymous calls.
	retryAfter = time.Second
)

// Listener serves the callers of one daemon. All fields must be set before Handler
// is called.
type Listener struct {
	// Version returns the version in force.
	Version       func() *reducer.Version
	Authenticator *authenticator.Authenticator
	Limiter       *limiter.Limiter
	Streamer      *streamer.Streamer
	Forwarder     *forwarder.Forwarder
	// IsReady reports whether the daemon can serve requests.
	IsReady func() bool
	// IsDraining reports whether the daemon is shutting down.
	IsDraining func() bool
	// EntryVMs returns the addresses of the VMs that a workspace's callers should
	// use.
	EntryVMs func(workspace parser.Workspace) selector.Entry
	// OnResume is called with the event id when a caller resumes a stream here.
	OnResume func(id streamer.EventID)
	// MetricsHandler serves the path /metrics.
	MetricsHandler http.Handler

	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter

	// anonymousCallSlots is a semaphore for the calls of services that need no key.
	anonymousCallSlots chan struct{}
}

// NewServer returns an HTTP server with the listener's timeouts and size limits.
// It logs nothing.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
}

// Handler returns the handler of all paths for callers. It must be called only
// once.
func (l *Listener) Handler() http.Handler {
	l.anonymousCallSlots = make(chan struct{}, maxAnonymousCalls)
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", l.serveHealth)
	mux.HandleFunc("/readyz", l.serveReady)
	mux.Handle("/metrics", l.MetricsHandler)
	mux.HandleFunc("/v1/entry", l.wrap(l.serveEntryVMs))
	mux.HandleFunc("/v1/completions", l.wrap(l.completionHandler(authenticator.FormatText)))
	mux.HandleFunc("/v1/chat/completions", l.wrap(l.completionHandler(authenticator.FormatChat)))
	mux.HandleFunc("/", l.wrap(l.servePlain))
	return mux
}

// handlerFunc serves a request, or returns a refusal that the caller of the function
// has to write.
type handlerFunc func(w http.ResponseWriter, r *http.Request) *refuser.Refusal

// wrap turns a handlerFunc into an http.HandlerFunc, which counts the requests,
// refuses them while the daemon is not ready, and writes refusals.
func (l *Listener) wrap(next handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		l.Meter.CountEvent(meter.EventRequest)
		if l.IsDraining() {
			w.Header().Set("Connection", "close")
		}
		tracked := &trackedWriter{ResponseWriter: w}
		refusal := l.serveIfReady(next, tracked, r)
		if refusal == nil {
			l.Meter.CountEvent(meter.EventResponse)
			return
		}
		l.Meter.CountRefusal(refusal.Code)
		l.Log.Debug("Refused.", "code", refusal.Code, "path", r.URL.Path, "not-run", refusal.NotRun)
		if tracked.started {
			panic(http.ErrAbortHandler)
		}
		refusal.Write(w)
	}
}

// trackedWriter records whether the response has started. A refusal after that
// aborts the connection, so that the response does not look complete.
type trackedWriter struct {
	http.ResponseWriter
	started bool
}

// WriteHeader starts the response.
func (t *trackedWriter) WriteHeader(status int) {
	t.started = true
	t.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body. It starts the response if WriteHeader was not
// called.
func (t *trackedWriter) Write(data []byte) (int, error) {
	t.started = true
	return t.ResponseWriter.Write(data)
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (t *trackedWriter) Unwrap() http.ResponseWriter {
	return t.ResponseWriter
}

func (l *Listener) serveIfReady(next handlerFunc, w http.ResponseWriter, r *http.Request) *refuser.Refusal {
	if !l.IsReady() {
		return refuser.New(http.StatusServiceUnavailable, refuser.NotReady, "this VM is not ready yet").WithRetryAfter(retryAfter)
	}
	return next(w, r)
}

func (l *Listener) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

func (l *Listener) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case l.IsDraining():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !l.IsReady():
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	case !l.Authenticator.IsCurrent():
		http.Error(w, "isolated: cannot confirm that the configuration is current", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

func (l *Listener) serveEntryVMs(w http.ResponseWriter, r *http.Request) *refuser.Refusal {
	if r.Method != http.MethodGet {
		return methodNotAllowed(r)
	}
	caller, refusal := l.Authenticator.Authenticate(r.Context(), r.Header)
	if refusal != nil {
		return refusal
	}
	entry := l.EntryVMs(caller.Workspace)
	w.Header().Set("Cache-Control", "private, max-age="+strconv.Itoa(entry.MaxAgeSeconds))
	writeJSON(w, entry)
	return nil
}

func methodNotAllowed(r *http.Request) *refuser.Refusal {
	return refuser.New(http.StatusMethodNotAllowed, refuser.MethodNotAllowed, "%s does not allow %s", r.URL.Path, r.Method)
}

// readBody reads a body of at most MaxBodyBytes within readBodyTimeout.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *refuser.Refusal) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(readBodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuser.New(http.StatusRequestEntityTooLarge, refuser.BodyTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, refuser.New(http.StatusBadRequest, refuser.MalformedBody, "the body could not be read")
	}
	return body, nil
}

// authenticatedRequest is a request with a valid key.
type authenticatedRequest struct {
	// ctx is cancelled if the key is withdrawn.
	ctx    context.Context
	caller authenticator.Caller
	// untrack must be called when the request has ended.
	untrack func()
}

// reserve reserves tokens of a workspace's limit. It waits for them until the
// deadline.
func (l *Listener) reserve(ctx context.Context, workspace identifier.WorkspaceName, tokens identifier.Tokens, deadline time.Time) (*limiter.Reservation, *refuser.Refusal) {
	waitCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	reservation, refusal := l.Limiter.Reserve(waitCtx, workspace, tokens)
	if refusal == nil || ctx.Err() == nil {
		return reservation, refusal
	}
	var cause *refuser.Refusal
	if errors.As(context.Cause(ctx), &cause) {
		return nil, cause
	}
	return nil, refuser.New(http.StatusRequestTimeout, refuser.CallerGone, "the caller is gone")
}

// authenticate checks the key of a request and tracks the request, so that it is
// cancelled when the key is withdrawn.
func (l *Listener) authenticate(r *http.Request) (authenticatedRequest, *refuser.Refusal) {
	caller, refusal := l.Authenticator.Authenticate(r.Context(), r.Header)
	if refusal != nil {
		return authenticatedRequest{}, refusal
	}
	ctx, untrack := l.Authenticator.Track(r.Context(), caller)
	return authenticatedRequest{ctx: ctx, caller: caller, untrack: untrack}, nil
}
