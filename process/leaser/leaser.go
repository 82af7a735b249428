// Package leaser acquires leases of duties, which are tasks that only one daemon
// may perform at a time. A daemon claims a duty with a record that is appended to
// the log only if the log has no newer record of that duty. The record's position gives
// the fencing token, so that each later holder has a higher one.
package leaser

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/identifier"
)

// Claim is the record in the log by which a daemon claims a duty.
type Claim struct {
	Holder      identifier.VMName      `json:"holder"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	// Era is that of the log in which the claim was made.
	Era identifier.Era `json:"era,omitempty"`
	// MustWait is set if the daemon had to wait before it acted. Whether it still had to
	// when its process ended is not known.
	MustWait bool `json:"must-wait,omitempty"`
}

// isOf reports whether a claim is that of a daemon.
func (c Claim) isOf(own Claim) bool {
	return c.Holder == own.Holder && c.Incarnation == own.Incarnation
}

// NewestClaim is the newest claim of a duty.
type NewestClaim struct {
	// Data is the encoded Claim. It is nil if the duty was never claimed.
	Data     []byte
	Position identifier.Position
	// NextPosition is the position that the next record gets.
	NextPosition identifier.Position
}

// Leaser acquires the leases of duties and remembers those of this daemon.
type Leaser struct {
	// OwnClaim is the claim that this daemon appends.
	OwnClaim Claim
	// ReadNewestClaim reads the newest claim of a duty. AppendClaim appends one and
	// returns its position; it fails if nextPosition is no longer the next position.
	ReadNewestClaim func(ctx context.Context, duty string) (NewestClaim, error)
	AppendClaim     func(ctx context.Context, duty string, data []byte, nextPosition identifier.Position) (identifier.Position, error)
	// HandoverWait returns how long a new holder waits before it acts. Everything
	// that the previous holder sent before it read the new claim must have arrived by
	// then.
	HandoverWait func() time.Duration

	Clock clockwork.Clock
	Log   *slog.Logger

	mu     sync.Mutex
	leases map[string]lease
}

// lease is this daemon's own lease of a duty.
type lease struct {
	token      identifier.FencingToken
	usableFrom time.Time
	// isFenced is set once this token was rejected because a higher one was seen.
	isFenced bool
}

// New returns a leaser without leases.
func New() *Leaser {
	return &Leaser{leases: make(map[string]lease)}
}

// Acquire reads the newest claim of a duty. It appends a claim of this daemon if the
// duty has no holder or another one, or if this daemon's lease is fenced. It returns
// the fencing token, and true once this daemon may act, that is, after HandoverWait.
// The first holder of a duty, and a new incarnation on the VM of a holder that had
// not to wait, need not wait, unless the log may have lost a claim in between. If a read or an append fails, it returns an error and the daemon must not
// act.
func (l *Leaser) Acquire(ctx context.Context, duty string) (token identifier.FencingToken, ok bool, err error) {
	defer annotator.Annotate(&err, "acquire the lease of the duty %s", duty)
	newest, err := l.ReadNewestClaim(ctx, duty)
	if err != nil {
		return 0, false, err
	}
	var claim Claim
	if newest.Data != nil {
		err = json.Unmarshal(newest.Data, &claim)
		if err != nil {
			// A claim that cannot be decoded has no holder. This daemon claims anew.
			l.Log.Warn("A claim cannot be read.", "duty", duty, "position", newest.Position, "err", err)
		}
	}
	now := l.Clock.Now()
	current, known := l.get(duty)
	isOwn := claim.isOf(l.OwnClaim)
	switch {
	case isOwn && known && current.token == tokenOf(newest.Position) && !current.isFenced:
	case isOwn && !current.isFenced:
		// The claim was appended, but the response was lost.
		current = lease{token: tokenOf(newest.Position), usableFrom: now.Add(l.HandoverWait())}
	default:
		isFree := newest.Data == nil || (claim.Holder == l.OwnClaim.Holder && !claim.MustWait && !current.isFenced)
		// After a claim of an earlier era, or without any, a later one may be lost whose
		// holder still acts.
		isNewest := claim.Era == newest.NextPosition.Era()
		current, err = l.appendOwnClaim(ctx, duty, newest.NextPosition, !isFree || !isNewest)
		if err != nil {
			return 0, false, err
		}
		l.Log.Info("This daemon claims a duty.", "duty", duty, "token", current.token, "last", claim.Holder, "from", current.usableFrom)
	}
	l.set(duty, current)
	return current.token, !now.Before(current.usableFrom), nil
}

// appendOwnClaim appends this daemon's claim if nextPosition is still the next position,
// and returns the lease of it.
func (l *Leaser) appendOwnClaim(ctx context.Context, duty string, nextPosition identifier.Position, mustWait bool) (claimed lease, err error) {
	claimed.usableFrom = l.Clock.Now()
	if mustWait {
		claimed.usableFrom = claimed.usableFrom.Add(l.HandoverWait())
	}
	claim := l.OwnClaim
	claim.Era = nextPosition.Era()
	claim.MustWait = mustWait
	data, err := json.Marshal(claim)
	if err != nil {
		return claimed, err
	}
	position, err := l.AppendClaim(ctx, duty, data, nextPosition)
	claimed.token = tokenOf(position)
	return claimed, err
}

// tokenOf returns the fencing token of the claim at a position. Zero means no token.
func tokenOf(position identifier.Position) identifier.FencingToken {
	return identifier.FencingToken(position) + 1
}

// MarkFenced records that this daemon's token was rejected because a higher one was
// seen. The next Acquire claims the duty anew.
func (l *Leaser) MarkFenced(duty string) {
	current, known := l.get(duty)
	if known {
		current.isFenced = true
		l.set(duty, current)
	}
}

func (l *Leaser) get(duty string) (current lease, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, known = l.leases[duty]
	return current, known
}

func (l *Leaser) set(duty string, current lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leases[duty] = current
}
