// Package limiter implements a distributed token-bucket rate limiter. It holds this
// daemon's shares of the workspaces' rates and bursts, and admits requests within them
// without contacting other daemons.
//
// Daemons lend each other shares and tokens. A lender deducts what it lends before it
// responds, and a borrower adds each response once. A lost message can lose tokens but
// never creates any, so the limits hold without synchronized clocks, leases or
// acknowledgements.
package limiter

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/asserter"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// grantInterval is how often Run grants tokens while requests wait.
	grantInterval = 5 * time.Millisecond
	// minShareDivisor sets the share that a lender keeps: at least its base share
	// divided by this number.
	minShareDivisor = 5
	// maxWaiters bounds the queue of a workspace.
	maxWaiters = 4096
	// maxWait bounds the wait of a request whose context has no deadline.
	maxWait = time.Hour
	// shortageCapacity is the capacity of the channel of shortages.
	shortageCapacity = 256
)

// Reservation holds the tokens deducted for one request until it is released.
type Reservation struct {
	bucket *bucket
	tokens float64
	// headroom is the smallest free capacity of the bucket, in tokens, since the
	// reservation was made. A larger refund would have overflowed the bucket.
	headroom float64
	released bool
}

// Limiter admits requests within this daemon's shares.
type Limiter struct {
	// IsCurrent reports whether the epoch is known to be the newest. A daemon
	// that was paused or partitioned may have been left out of a newer one. No
	// tokens are granted while it returns false.
	IsCurrent func() bool

	// InitialTokens, if set, returns the tokens that this daemon starts with when it
	// becomes the holder of a workspace's whole limit, because it does not know the
	// previous holder's level.
	InitialTokens func(workspace identifier.WorkspaceName) float64

	clock  clockwork.Clock
	assert *asserter.Asserter
	// shortages passes the workspaces that lack tokens to the component that borrows.
	shortages chan identifier.WorkspaceName
	// wake resumes Run when a request is queued.
	wake chan struct{}

	mu      sync.Mutex
	buckets map[identifier.WorkspaceName]*bucket
	// sortedBuckets lists the buckets by name, so that they are served in the same
	// order in every run.
	sortedBuckets []*bucket
	epoch         identifier.Position
	// baseShare returns this daemon's share of a workspace in the epoch, before
	// anything is lent. baseSharesApplied reports whether these shares are in use.
	baseShare         func(identifier.WorkspaceName) identifier.PartsPerMillion
	baseSharesApplied bool
	drained           bool
	loans             map[loanKey]loan
}

// loanKey identifies the loans of a borrower for one workspace.
type loanKey struct {
	borrower  identifier.Incarnation
	workspace identifier.WorkspaceName
}

// loan is the latest response to a borrower, which a retry gets again.
type loan struct {
	sequence int64
	response BorrowResponse
}

// BorrowRequest asks a lender for part of its share and tokens of a workspace.
type BorrowRequest struct {
	Borrower  identifier.Incarnation
	Epoch     identifier.Position
	Workspace identifier.WorkspaceName
	// Sequence increases with each request of the borrower. A retry has the sequence of
	// the request that it repeats.
	Sequence   int64
	WantTokens identifier.Tokens
	// Demand is the borrower's recent demand in tokens per second, and Share the
	// share that it holds.
	Demand float64
	Share  identifier.PartsPerMillion
	// HeadWait is how long the borrower's first waiter has waited.
	HeadWait time.Duration
}

// BorrowResponse is a lender's response to a BorrowRequest.
type BorrowResponse struct {
	Epoch identifier.Position
	// Share and Tokens are what the lender has deducted for the borrower.
	Share  identifier.PartsPerMillion
	Tokens float64
	// RemainingShare is the share that the lender keeps.
	RemainingShare identifier.PartsPerMillion
}

// New returns a limiter that holds no shares.
func New(clock clockwork.Clock, assert *asserter.Asserter) *Limiter {
	return &Limiter{
		IsCurrent: func() bool { return true },
		clock:     clock,
		assert:    assert,
		shortages: make(chan identifier.WorkspaceName, shortageCapacity),
		wake:      make(chan struct{}, 1),
		buckets:   make(map[identifier.WorkspaceName]*bucket),
		baseShare: func(identifier.WorkspaceName) identifier.PartsPerMillion { return 0 },
		epoch:     identifier.NoPosition,
		loans:     make(map[loanKey]loan),
	}
}

// Shortages returns the channel that receives the workspaces whose requests wait for
// tokens.
func (l *Limiter) Shortages() <-chan identifier.WorkspaceName {
	return l.shortages
}

// Configure applies the rates and bursts of a configuration version.
func (l *Limiter) Configure(workspaces map[identifier.WorkspaceName]parser.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for name, workspace := range workspaces {
		b, ok := l.buckets[name]
		if !ok {
			l.addBucket(newBucket(workspace, l.initialShare(name), now))
			continue
		}
		b.refill(now)
		b.configure(workspace)
	}
}

// addBucket adds a bucket and keeps the buckets sorted by workspace.
func (l *Limiter) addBucket(b *bucket) {
	l.buckets[b.workspace] = b
	index, _ := slices.BinarySearchFunc(l.sortedBuckets, b.workspace, func(other *bucket, name identifier.WorkspaceName) int {
		return strings.Compare(string(other.workspace), string(name))
	})
	l.sortedBuckets = slices.Insert(l.sortedBuckets, index, b)
}

// initialShare returns the share of a workspace that is first configured during
// the current epoch.
func (l *Limiter) initialShare(workspace identifier.WorkspaceName) identifier.PartsPerMillion {
	if !l.baseSharesApplied || l.drained {
		return 0
	}
	return l.baseShare(workspace)
}

// HoldsWholeLimit reports whether this daemon holds the whole limit of a workspace and
// knows that its epoch is current.
func (l *Limiter) HoldsWholeLimit(workspace identifier.WorkspaceName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[workspace]
	return ok && b.share >= identifier.WholeShare && l.IsCurrent()
}

// EnterEpoch enters an epoch with the same base share for every workspace, which is
// zero for a daemon that is not a member. Until ApplyBaseShares is called, each bucket
// holds the smaller of its old and its new share, so that the shares of all daemons sum
// to at most one while some of them are still in the old epoch.
func (l *Limiter) EnterEpoch(epoch identifier.Position, base identifier.PartsPerMillion) {
	l.EnterEpochWithShares(epoch, func(identifier.WorkspaceName) identifier.PartsPerMillion { return base })
}

// EnterEpochWithShares enters an epoch whose base shares differ by workspace. An
// epoch that is not newer than the current one is ignored.
func (l *Limiter) EnterEpochWithShares(epoch identifier.Position, baseShare func(identifier.WorkspaceName) identifier.PartsPerMillion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch <= l.epoch {
		return
	}
	l.epoch = epoch
	l.baseShare = baseShare
	l.baseSharesApplied = false
	clear(l.loans)
	now := l.clock.Now()
	for _, b := range l.buckets {
		b.refill(now)
		b.setShare(min(b.share, baseShare(b.workspace)))
	}
}

// ApplyBaseShares sets the shares to the base shares of the epoch. The caller must know
// that all members have entered it. ApplyBaseShares does nothing if it has been called
// in this epoch, for any other epoch, and after Drain.
func (l *Limiter) ApplyBaseShares(epoch identifier.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch != l.epoch || l.baseSharesApplied || l.drained {
		return
	}
	l.baseSharesApplied = true
	now := l.clock.Now()
	for _, b := range l.buckets {
		b.refill(now)
		l.applyBaseShare(b)
	}
}

// applyBaseShare sets a bucket's share to its base share. It adds the initial tokens
// if this daemon becomes the holder of the whole limit.
func (l *Limiter) applyBaseShare(b *bucket) {
	oldShare := b.share
	b.setShare(l.baseShare(b.workspace))
	isNewHolder := oldShare == 0 && b.share == identifier.WholeShare
	if isNewHolder && l.InitialTokens != nil {
		b.add(0, l.InitialTokens(b.workspace))
	}
}

// HasBaseShares reports whether ApplyBaseShares has been called in the current epoch.
func (l *Limiter) HasBaseShares() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.baseSharesApplied
}

// Drain gives up all shares permanently, before a planned shutdown.
func (l *Limiter) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drained = true
	now := l.clock.Now()
	for _, b := range l.buckets {
		b.refill(now)
		b.setShare(0)
	}
}

// IsDrained reports whether Drain was called.
func (l *Limiter) IsDrained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.drained
}

// Reserve reserves tokens for a request. It waits until the bucket has them or the
// context ends. If the refusal is nil, the tokens are reserved. It returns the refusals
// of Enqueue and CancelWait.
func (l *Limiter) Reserve(ctx context.Context, workspace identifier.WorkspaceName, tokens identifier.Tokens) (*Reservation, *refuser.Refusal) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = l.clock.Now().Add(maxWait)
	}
	w, refusal := l.Enqueue(workspace, tokens, deadline)
	if refusal != nil {
		return nil, refusal
	}
	select {
	case reservation := <-w.Granted:
		return reservation, nil
	case <-ctx.Done():
	}
	return l.CancelWait(w)
}

// Enqueue adds a request to the queue of its workspace. If no waiter precedes it and the
// bucket has the tokens, its reservation is granted at once instead. Enqueue refuses a
// request of an unknown workspace (UnknownKey), one above the burst (OverBurst), and one
// that cannot be served before the deadline (OverLimit).
func (l *Limiter) Enqueue(workspace identifier.WorkspaceName, tokens identifier.Tokens, deadline time.Time) (*Waiter, *refuser.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[workspace]
	if !ok {
		return nil, refuser.New(http.StatusUnauthorized, refuser.UnknownKey, "the key's workspace is not configured")
	}
	needed := float64(tokens)
	if needed > b.burst {
		return nil, refuser.New(http.StatusRequestEntityTooLarge, refuser.OverBurst, "the request needs %d tokens, and the workspace's burst is %.0f", tokens, b.burst)
	}
	now := l.clock.Now()
	b.refill(now)
	b.addDemand(now, needed)
	w := &Waiter{workspace: workspace, tokens: needed, enqueuedAt: now, Granted: make(chan *Reservation, 1)}
	if b.goesFirst(needed) && b.level+tokenEpsilon >= needed && l.IsCurrent() {
		w.Granted <- l.reserveFrom(b, needed)
		return w, nil
	}
	if !b.canServeInTime(now, needed, deadline) {
		return nil, b.overLimitRefusal(needed, "more is waiting than the rate allows before the deadline")
	}
	b.enqueue(w)
	l.signalShortage(workspace)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return w, nil
}

// canServeInTime reports whether the workspace's whole rate could serve a new request,
// and all waiters that precede it, before the deadline. It assumes that other daemons
// may lend up to the whole burst. It is false if the queue is full.
func (b *bucket) canServeInTime(now time.Time, tokens float64, deadline time.Time) bool {
	if len(b.waiters) >= maxWaiters {
		return false
	}
	available := b.burst
	if b.share >= identifier.WholeShare {
		// This daemon holds the whole limit, so nothing can be borrowed.
		available = b.level
	}
	budget := available + b.rate*deadline.Sub(now).Seconds()
	return b.tokensAhead(tokens)+tokens <= budget
}

// overLimitRefusal returns an OverLimit refusal. Its retry delay is the estimated time
// until the tokens are available, at least one second.
func (b *bucket) overLimitRefusal(needed float64, reason string) *refuser.Refusal {
	missing := b.tokensAhead(needed)
	if b.share >= identifier.WholeShare {
		missing += needed - b.level
	}
	wait := time.Duration(missing / b.rate * float64(time.Second))
	return refuser.New(429, refuser.OverLimit, "workspace %s is over its limit: %s (rate %.0f, share %d ppm, level %.0f, waiting %.0f tokens)",
		b.workspace, reason, b.rate, b.share, b.level, b.waitingTokens).WithRetryAfter(max(wait, time.Second))
}

// reserveFrom reserves tokens from a bucket and asserts that its level is not
// negative.
func (l *Limiter) reserveFrom(b *bucket, tokens float64) *Reservation {
	r := b.reserve(tokens)
	l.assert.That(b.level >= -tokenEpsilon, asserter.LevelNotNegative, "workspace", b.workspace, "level", b.level)
	return r
}

// CancelWait removes a request from the queue. It returns the reservation if one was
// already granted, and an OverLimit refusal otherwise.
func (l *Limiter) CancelWait(w *Waiter) (*Reservation, *refuser.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[w.workspace]
	index := slices.Index(b.waiters, w)
	if index < 0 {
		return <-w.Granted, nil
	}
	b.waiters = slices.Delete(b.waiters, index, index+1)
	b.waitingTokens -= w.tokens
	return nil, b.overLimitRefusal(w.tokens, "no tokens became free in time")
}

// Release ends a reservation and refunds the unused tokens. Further calls for the
// same reservation violate an invariant and have no effect.
func (l *Limiter) Release(r *Reservation, used identifier.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.assert.That(!r.released, asserter.ReservationReleasedOnce, "workspace", r.bucket.workspace)
	if r.released {
		return
	}
	r.released = true
	r.bucket.refill(l.clock.Now())
	r.bucket.refund(r, float64(used))
	l.grantWaiting(r.bucket)
}

// Run grants tokens to waiting requests every grantInterval until the context ends, and
// returns the context's error. It is idle while no request waits.
func (l *Limiter) Run(ctx context.Context) error {
	for {
		select {
		case <-l.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for l.GrantAll() > 0 {
			select {
			case <-l.clock.After(grantInterval):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// GrantAll grants the available tokens to the waiting requests of all workspaces and
// returns how many requests still wait.
func (l *Limiter) GrantAll() (waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, b := range l.sortedBuckets {
		if len(b.waiters) == 0 {
			continue
		}
		b.refill(now)
		l.grantWaiting(b)
		waiting += len(b.waiters)
	}
	return waiting
}

// grantWaiting grants the available tokens to the waiters in the order of the queue.
func (l *Limiter) grantWaiting(b *bucket) {
	for len(b.waiters) > 0 && b.level+tokenEpsilon >= b.waiters[0].tokens && l.IsCurrent() {
		w := b.waiters[0]
		b.waiters = b.waiters[1:]
		b.waitingTokens -= w.tokens
		w.Granted <- l.reserveFrom(b, w.tokens)
	}
	if len(b.waiters) > 0 {
		l.signalShortage(b.workspace)
	}
}

// signalShortage sends the workspace on the channel of shortages. It does nothing if
// the channel is full; the next attempt to grant tokens sends it again.
func (l *Limiter) signalShortage(workspace identifier.WorkspaceName) {
	select {
	case l.shortages <- workspace:
	default:
	}
}
