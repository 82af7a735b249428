// Package authenticator authenticates requests by API key, and cancels the running
// requests of a key that is withdrawn. It also parses completion requests.
package authenticator

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/version/parser"
	"sassafraspass.dev/sassafraspass/version/reducer"
)

const (
	bearerPrefix = "Bearer "
	maxKeyBytes  = 512
	// maxConfirmWait is the longest time that a request waits until its daemon has
	// confirmed that the configuration is current, after a pause or a network partition.
	maxConfirmWait      = time.Second
	confirmPollInterval = 10 * time.Millisecond
	// checkInterval is how often Run checks whether the configuration is current.
	checkInterval = 250 * time.Millisecond
	// maxUnconfirmed is how long a daemon may fail to confirm that its configuration is
	// current before it cancels the running requests, whose keys may have been withdrawn
	// in the meantime.
	maxUnconfirmed = 4 * time.Second
)

// Caller is the authenticated sender of a request.
type Caller struct {
	Workspace parser.Workspace
	KeyDigest identifier.KeyDigest
}

// Authenticator checks keys against the version of the configuration in force.
type Authenticator struct {
	Version func() *reducer.Version
	// IsCurrent reports whether Version is confirmed to return the newest version.
	IsCurrent func() bool
	Clock     clockwork.Clock
	Meter     *meter.Meter

	mu      sync.Mutex
	tracked map[*trackedRequest]struct{}
}

// trackedRequest is a running request that is cancelled if its key is withdrawn.
type trackedRequest struct {
	digest identifier.KeyDigest
	cancel context.CancelCauseFunc
}

// New returns an authenticator without tracked requests. The caller sets its exported
// fields.
func New() *Authenticator {
	return &Authenticator{tracked: make(map[*trackedRequest]struct{})}
}

// Authenticate returns the caller whose key is in a request's header. It waits up to
// maxConfirmWait for the version to be current. It returns a refusal if it is not, or
// if the key is missing, malformed, unknown or withdrawn.
func (a *Authenticator) Authenticate(ctx context.Context, header http.Header) (Caller, *refuser.Refusal) {
	key, refusal := parseKey(header)
	if refusal != nil {
		return Caller{}, refusal
	}
	if !a.waitUntilCurrent(ctx) {
		return Caller{}, notCurrentRefusal()
	}
	return a.lookup(identifier.NewKeyDigest(key))
}

// lookup returns the caller with the given key digest. Its duration depends on the
// digest, which reveals nothing about keys, as nobody can choose a key by its digest.
func (a *Authenticator) lookup(digest identifier.KeyDigest) (Caller, *refuser.Refusal) {
	version := a.Version()
	_, withdrawn := version.Withdrawn[digest]
	if withdrawn {
		return Caller{}, withdrawnKeyRefusal()
	}
	name, ok := version.Keys[digest]
	if !ok {
		return Caller{}, refuser.New(http.StatusUnauthorized, refuser.UnknownKey, "the key is not known")
	}
	return Caller{Workspace: version.Workspaces[name], KeyDigest: digest}, nil
}

// parseKey returns the key in the Authorization or the X-Api-Key header. If both are
// present, Authorization takes precedence.
func parseKey(header http.Header) (string, *refuser.Refusal) {
	authorization := header.Get("Authorization")
	key := header.Get("X-Api-Key")
	if authorization != "" {
		bearer, ok := strings.CutPrefix(authorization, bearerPrefix)
		if !ok {
			return "", malformedKeyRefusal()
		}
		key = bearer
	}
	if key == "" && authorization == "" {
		return "", refuser.New(http.StatusUnauthorized, refuser.MissingKey, "send the key as \"Authorization: Bearer <key>\"")
	}
	if key == "" || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t,") {
		return "", malformedKeyRefusal()
	}
	return key, nil
}

// waitUntilCurrent waits up to maxConfirmWait for the version to be current, and
// reports whether it is.
func (a *Authenticator) waitUntilCurrent(ctx context.Context) bool {
	deadline := a.Clock.Now().Add(maxConfirmWait)
	for !a.IsCurrent() {
		if a.Clock.Now().After(deadline) {
			return false
		}
		select {
		case <-a.Clock.After(confirmPollInterval):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Track returns a context that is cancelled, with a refusal as its cause, when the
// caller's key is withdrawn. The caller must call done when the request ends.
func (a *Authenticator) Track(ctx context.Context, caller Caller) (trackedCtx context.Context, done func()) {
	trackedCtx, cancel := context.WithCancelCause(ctx)
	r := &trackedRequest{digest: caller.KeyDigest, cancel: cancel}
	a.mu.Lock()
	a.tracked[r] = struct{}{}
	a.mu.Unlock()
	// The key may have been withdrawn between Authenticate and Track, so that
	// CancelRequestsOfWithdrawnKeys missed the request.
	_, stillValid := a.Version().Keys[caller.KeyDigest]
	if !stillValid {
		cancel(withdrawnKeyRefusal())
	}
	done = func() {
		a.mu.Lock()
		delete(a.tracked, r)
		a.mu.Unlock()
		cancel(nil)
	}
	return trackedCtx, done
}

// TrackedCount returns the number of tracked requests.
func (a *Authenticator) TrackedCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.tracked)
}

// CancelRequestsOfWithdrawnKeys cancels the tracked requests whose keys are not in
// version. It must be called after Version has begun to return version, so that Track
// and CancelRequestsOfWithdrawnKeys together miss no request.
func (a *Authenticator) CancelRequestsOfWithdrawnKeys(version *reducer.Version) {
	a.cancelTracked(withdrawnKeyRefusal(), func(digest identifier.KeyDigest) bool {
		_, ok := version.Keys[digest]
		return !ok
	})
}

// Run cancels all tracked requests when the version has not been confirmed as current
// for maxUnconfirmed, as their keys may have been withdrawn. It runs until the context
// ends, and returns the context's error.
func (a *Authenticator) Run(ctx context.Context) error {
	unconfirmed := time.Duration(0)
	return repeater.Every(ctx, a.Clock, checkInterval, func() {
		unconfirmed += checkInterval
		if a.IsCurrent() {
			unconfirmed = 0
		}
		if unconfirmed >= maxUnconfirmed {
			a.cancelTracked(notCurrentRefusal(), func(identifier.KeyDigest) bool { return true })
		}
	})
}

// cancelTracked cancels the tracked requests whose key digests match.
func (a *Authenticator) cancelTracked(cause *refuser.Refusal, match func(identifier.KeyDigest) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for r := range a.tracked {
		if match(r.digest) {
			r.cancel(cause)
			a.Meter.CountEvent(meter.EventCutByKeyWithdrawal)
		}
	}
}

func malformedKeyRefusal() *refuser.Refusal {
	return refuser.New(http.StatusUnauthorized, refuser.MalformedKey, "the key must be sent as \"Authorization: Bearer <key>\"")
}

func withdrawnKeyRefusal() *refuser.Refusal {
	return refuser.New(http.StatusUnauthorized, refuser.WithdrawnKey, "the key was withdrawn")
}

func notCurrentRefusal() *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, refuser.NotCurrent, "this VM cannot confirm that its configuration is current").WithRetryAfter(time.Second)
}
