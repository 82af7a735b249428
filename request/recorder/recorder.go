package recorder

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
	// KeyWindow is how old a key may be. The log's retention must exceed it
	// by more than KeySkew.
	KeyWindow = 30 * time.Minute
	// KeySkew is how far in the future a key may be.
	KeySkew = time.Minute

	confirmTimeout = 2 * time.Second
	expireInterval = time.Minute
	maxKeptBody    = 8 << 10
	retryAfter     = 2 * time.Second
)

// Recorder decides whether an attempt at a key may be sent.
type Recorder struct {
	Self   identifier.Incarnation
	Ledger *Ledger
	// Writer appends entries to the log.
	Writer *Writer
	// IsLive reports whether a daemon was heard lately.
	IsLive func(identifier.Incarnation) bool
	Clock  clockwork.Clock
	Log    *slog.Logger
}

// Ticket allows one send of one attempt.
type Ticket struct {
	recorder *Recorder
	intent   Entry
}

// Decision is what Begin decided: a ticket, the kept answer, or a refusal.
type Decision struct {
	Ticket  *Ticket
	Answer  *Answer
	Refusal *refuser.Refusal
}

// Begin asks for leave to send a call. It returns a ticket only after the
// log showed the call's intent to be the first of its key.
func (r *Recorder) Begin(ctx context.Context, workspace identifier.WorkspaceName, key Key, fingerprint string) Decision {
	refusal := r.checkKey(key)
	if refusal != nil {
		return Decision{Refusal: refusal}
	}
	if !r.Ledger.IsWhole() {
		return Decision{Refusal: unrecorded("the record of earlier calls is not read yet")}
	}
	fate := r.Ledger.Fate(workspace, key)
	if fate.State != StateFree {
		return r.judge(fate, fingerprint)
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

// confirm appends an intent and waits until the log shows it.
func (r *Recorder) confirm(ctx context.Context, intent Entry) Decision {
	if !r.Writer.Add(intent) {
		return Decision{Refusal: unrecorded("too many calls wait to be recorded")}
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		fate, isRead, changed := r.Ledger.Look(intent.Workspace, intent.Key, intent.Attempt)
		if fate.Attempt == intent.Attempt {
			return Decision{Ticket: &Ticket{recorder: r, intent: intent}}
		}
		if isRead {
			return r.judge(fate, intent.Fingerprint)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			r.abandon(intent)
			return Decision{Refusal: unrecorded("the log did not confirm the call in time")}
		}
	}
}

// abandon closes an attempt that this daemon never sends. Until the record is
// in the log, repeats at other daemons are told that the outcome is unknown.
func (r *Recorder) abandon(intent Entry) {
	r.Writer.Withdraw(intent)
}

// judge answers a call whose key has an earlier attempt.
func (r *Recorder) judge(fate Fate, fingerprint string) Decision {
	if fate.Fingerprint != fingerprint {
		return Decision{Refusal: refuser.New(http.StatusUnprocessableEntity, refuser.OnceKeyReused, "the idempotency key was used for another request")}
	}
	switch {
	case fate.State == StateDone:
		return Decision{Answer: fate.Answer}
	case fate.State == StateRunning && (fate.Daemon == r.Self || r.IsLive(fate.Daemon)):
		return Decision{Refusal: refuser.Unsettled(http.StatusConflict, refuser.OnceRunning, "an earlier call with this key is running").After(retryAfter)}
	}
	return Decision{Refusal: refuser.Unsettled(http.StatusConflict, refuser.OnceUnknown, "what became of an earlier call with this key is unknown")}
}

// checkKey refuses keys whose record the log may no longer keep.
func (r *Recorder) checkKey(key Key) *refuser.Refusal {
	keyTime, err := key.Time()
	if err != nil {
		return refuser.New(http.StatusBadRequest, refuser.OnceKeyMalformed, "the Idempotency-Key must be a ULID or a UUIDv7")
	}
	now := r.Clock.Now()
	if keyTime.Before(now.Add(-KeyWindow)) || keyTime.After(now.Add(KeySkew)) {
		return refuser.New(http.StatusBadRequest, refuser.OnceKeyExpired, "the Idempotency-Key must be at most %s old", KeyWindow)
	}
	return nil
}

func unrecorded(reason string) *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, refuser.OnceUnrecorded, "the call was not sent: %s", reason).After(retryAfter)
}

// NotSent closes the ticket's attempt, of which no byte left this daemon. The
// key is free again.
func (t *Ticket) NotSent() {
	t.recorder.abandon(t.intent)
}

// Done records the answer of the ticket's attempt.
func (t *Ticket) Done(answer Answer) {
	if len(answer.Body) > maxKeptBody {
		answer.Body = nil
		answer.Kept = false
	}
	t.record(&answer)
}

// Unknown records that the ticket's attempt was sent without an answer.
func (t *Ticket) Unknown() {
	t.record(nil)
}

func (t *Ticket) record(answer *Answer) {
	outcome := t.intent
	outcome.Kind = KindOutcome
	outcome.Answer = answer
	t.recorder.Writer.Add(outcome)
}

// RunExpiry drops keys that are past their window until the context ends.
func (r *Recorder) RunExpiry(ctx context.Context) error {
	for {
		select {
		case <-r.Clock.After(expireInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
		r.Ledger.Expire(r.Clock.Now().Add(-KeyWindow - KeySkew))
	}
}
