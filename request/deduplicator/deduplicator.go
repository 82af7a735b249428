package deduplicator

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/refuser"
)

const (
	// MaxKeyAge is the maximum age of a key. The log's retention must exceed it
	// by more than MaxKeySkew.
	MaxKeyAge = 30 * time.Minute
	// MaxKeySkew is how far in the future the creation time of a key may be.
	MaxKeySkew = time.Minute

	// confirmTimeout bounds the wait for an intent to be read back from the log.
	confirmTimeout = 2 * time.Second
	expiryInterval = time.Minute
	// maxStoredBody is the size up to which a response body is stored, in bytes.
	maxStoredBody = 8 << 10
	retryAfter    = 2 * time.Second
)

// Deduplicator decides whether a call with an idempotency key may be sent.
type Deduplicator struct {
	// Self is this daemon.
	Self  identifier.Incarnation
	Index *Index
	// Writer appends entries to the log.
	Writer *Writer
	// IsLive reports whether a daemon was heard from recently.
	IsLive func(identifier.Incarnation) bool
	Clock  clockwork.Clock
	Log    *slog.Logger
}

// Permit allows a call to be sent once. Exactly one of its methods must be called
// when the call has ended.
type Permit struct {
	recorder *Deduplicator
	intent   Entry
}

// Decision is the result of Begin. Exactly one field is set: a permit to send the
// call, the stored response of an earlier call, or a refusal.
type Decision struct {
	Permit   *Permit
	Response *Response
	Refusal  *refuser.Refusal
}

// Begin decides whether a call may be sent. It grants a permit only after the log
// shows the call's intent to be the first of its key that was not abandoned,
// and blocks up to 2 s for that.
func (r *Deduplicator) Begin(ctx context.Context, workspace identifier.WorkspaceName, key Key, fingerprint string) Decision {
	refusal := r.checkKey(key)
	if refusal != nil {
		return Decision{Refusal: refusal}
	}
	if !r.Index.IsCaughtUp() {
		return Decision{Refusal: unrecordedRefusal("the record of earlier calls is not read yet")}
	}
	status := r.Index.Status(workspace, key)
	if status.State != StateFree {
		return r.decideRepeat(status, fingerprint)
	}
	intent := Entry{
		Kind:        KindIntent,
		Workspace:   workspace,
		Key:         key,
		Attempt:     identifier.NewAttemptID(),
		Daemon:      r.Self,
		Fingerprint: fingerprint,
	}
	return r.confirm(ctx, intent)
}

// confirm appends an intent to the log, waits until it is read back, and decides
// whether the call may be sent.
func (r *Deduplicator) confirm(ctx context.Context, intent Entry) Decision {
	if !r.Writer.Enqueue(intent) {
		return Decision{Refusal: unrecordedRefusal("too many calls wait to be recorded")}
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		status, intentRead, changed := r.Index.Lookup(intent.Workspace, intent.Key, intent.Attempt)
		if status.Attempt == intent.Attempt {
			return Decision{Permit: &Permit{recorder: r, intent: intent}}
		}
		if intentRead {
			return r.decideRepeat(status, intent.Fingerprint)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			r.abandon(intent)
			return Decision{Refusal: unrecordedRefusal("the log did not confirm the call in time")}
		}
	}
}

// abandon ends an attempt whose call this daemon will never send. If the log holds
// the intent, daemons refuse repeats of the call as running or unknown until
// they have read the abandon entry.
func (r *Deduplicator) abandon(intent Entry) {
	r.Writer.AbandonIntent(intent)
}

// decideRepeat decides about a call whose key has an earlier attempt.
func (r *Deduplicator) decideRepeat(status KeyStatus, fingerprint string) Decision {
	if status.Fingerprint != fingerprint {
		return Decision{Refusal: refuser.New(http.StatusUnprocessableEntity, refuser.IdempotencyKeyReused, "the idempotency key was used for another request")}
	}
	switch {
	case status.State == StateDone:
		return Decision{Response: status.Response}
	case status.State == StateRunning && (status.Daemon == r.Self || r.IsLive(status.Daemon)):
		return Decision{Refusal: refuser.NewIndeterminate(http.StatusConflict, refuser.EarlierCallRunning, "an earlier call with this key is running").WithRetryAfter(retryAfter)}
	}
	return Decision{Refusal: refuser.NewIndeterminate(http.StatusConflict, refuser.EarlierCallUnknown, "what became of an earlier call with this key is unknown")}
}

// checkKey refuses malformed keys, and keys whose entries the log may no longer
// retain.
func (r *Deduplicator) checkKey(key Key) *refuser.Refusal {
	keyTime, err := key.Time()
	if err != nil {
		return refuser.New(http.StatusBadRequest, refuser.IdempotencyKeyMalformed, "the Idempotency-Key must be a ULID or a UUIDv7")
	}
	now := r.Clock.Now()
	if keyTime.Before(now.Add(-MaxKeyAge)) || keyTime.After(now.Add(MaxKeySkew)) {
		return refuser.New(http.StatusBadRequest, refuser.IdempotencyKeyExpired, "the Idempotency-Key must be at most %s old", MaxKeyAge)
	}
	return nil
}

func unrecordedRefusal(reason string) *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, refuser.IdempotencyKeyUnrecorded, "the call was not sent: %s", reason).WithRetryAfter(retryAfter)
}

// Abandon ends an attempt of which no byte left this daemon. The key becomes free
// again.
func (p *Permit) Abandon() {
	p.recorder.abandon(p.intent)
}

// Complete records the response of the call. A body of more than 8 KiB is not
// stored.
func (p *Permit) Complete(response Response) {
	if len(response.Body) > maxStoredBody {
		response.Body = nil
		response.BodyStored = false
	}
	p.record(&response)
}

// MarkUnknown records that the call was sent and got no response.
func (p *Permit) MarkUnknown() {
	p.record(nil)
}

// record appends the outcome of the attempt to the log.
func (p *Permit) record(response *Response) {
	outcome := p.intent
	outcome.Kind = KindOutcome
	outcome.Response = response
	p.recorder.Writer.Enqueue(outcome)
}

// RunExpiry drops keys that are older than MaxKeyAge plus MaxKeySkew, once a minute
// until the context ends. It returns the context's error.
func (r *Deduplicator) RunExpiry(ctx context.Context) error {
	for {
		select {
		case <-r.Clock.After(expiryInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
		r.Index.Expire(r.Clock.Now().Add(-MaxKeyAge - MaxKeySkew))
	}
}
