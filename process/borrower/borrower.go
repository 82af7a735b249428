// Package borrower asks other daemons for parts of their shares when this daemon is
// short of tokens of a workspace's rate limit.
package borrower

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/request/limiter"
)

const (
	// maxFanOut is the maximum number of lenders that one round asks.
	maxFanOut = 3
	// minBackoff is the initial time between two rounds of requests for one
	// workspace. It doubles up to maxBackoff while the lenders grant little.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 320 * time.Millisecond
	// minUsefulFraction is the fraction of the wanted tokens that a grant must reach
	// to reset the backoff.
	minUsefulFraction = 0.02
	borrowTimeout     = 500 * time.Millisecond
)

// requestKey identifies the requests to one lender for one workspace.
type requestKey struct {
	lender    identifier.Incarnation
	workspace identifier.WorkspaceName
}

// requestState is the state of the requests to one lender for one workspace. A
// request without a response is sent again with the same sequence number until the
// lender responds or the epoch ends.
type requestState struct {
	sequence int64
	epoch    identifier.Position
	pending  *limiter.BorrowRequest
	inFlight bool
	// lenderShare is the lender's share after its last response, if isShareKnown.
	lenderShare  identifier.PartsPerMillion
	isShareKnown bool
}

// Borrower borrows shares for this daemon. It is safe for concurrent use.
type Borrower struct {
	Incarnation identifier.Incarnation
	Limiter     *limiter.Limiter
	// Lenders returns the live members of the epoch except this daemon. The borrower
	// sorts the result in place.
	Lenders func() []heartbeater.Peer
	// Borrow sends a request to the lender at an address and returns its response.
	Borrow func(ctx context.Context, lender identifier.Address, req limiter.BorrowRequest) (limiter.BorrowResponse, error)

	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter

	mu       sync.Mutex
	requests map[requestKey]*requestState
	backoffs map[identifier.WorkspaceName]*backoff
}

// backoff limits the rate of rounds for one workspace: the newest started at
// startedAt, and the next may start after delay.
type backoff struct {
	startedAt time.Time
	delay     time.Duration
}

// New returns a borrower without requests. Its exported fields must be set before
// use.
func New() *Borrower {
	return &Borrower{
		requests: make(map[requestKey]*requestState),
		backoffs: make(map[identifier.WorkspaceName]*backoff),
	}
}

// Run starts a round of requests for each shortage that the limiter reports, until
// the context ends. It returns after all requests have finished.
func (b *Borrower) Run(ctx context.Context) error {
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		select {
		case workspace := <-b.Limiter.Shortages():
			for _, lender := range b.selectLenders(workspace) {
				requests.Go(func() { b.requestShare(ctx, lender, workspace) })
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Forget drops the state of all requests to a lender that is gone.
func (b *Borrower) Forget(lender identifier.Incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.requests, func(key requestKey, _ *requestState) bool { return key.lender == lender })
}

// selectLenders starts a round and returns the lenders to ask, or none while the
// backoff lasts. Lenders whose share is unknown come first, then those with the
// largest known share.
func (b *Borrower) selectLenders(workspace identifier.WorkspaceName) []heartbeater.Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	workspaceBackoff, ok := b.backoffs[workspace]
	if !ok {
		workspaceBackoff = &backoff{}
		b.backoffs[workspace] = workspaceBackoff
	}
	if now.Sub(workspaceBackoff.startedAt) < workspaceBackoff.delay {
		return nil
	}
	workspaceBackoff.startedAt = now
	workspaceBackoff.delay = min(max(2*workspaceBackoff.delay, minBackoff), maxBackoff)
	lenders := b.Lenders()
	slices.SortStableFunc(lenders, func(x, y heartbeater.Peer) int {
		return int(b.expectedShare(y, workspace) - b.expectedShare(x, workspace))
	})
	return lenders[:min(maxFanOut, len(lenders))]
}

// expectedShare returns the last known share of a lender in this epoch, the whole
// limit if it is unknown, and -1 while a request to the lender is in flight.
func (b *Borrower) expectedShare(lender heartbeater.Peer, workspace identifier.WorkspaceName) identifier.PartsPerMillion {
	state, ok := b.requests[requestKey{lender: lender.Incarnation, workspace: workspace}]
	switch {
	case ok && state.inFlight:
		return -1
	case ok && state.isShareKnown && state.epoch == b.Limiter.Epoch():
		return state.lenderShare
	}
	return identifier.WholeShare
}

func (b *Borrower) requestShare(ctx context.Context, lender heartbeater.Peer, workspace identifier.WorkspaceName) {
	key := requestKey{lender: lender.Incarnation, workspace: workspace}
	req, ok := b.beginRequest(key)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	response, err := b.Borrow(ctx, lender.Peer, req)
	b.finishRequest(key, req, response, err)
}

// beginRequest returns the request to send: the pending one if there is one, or
// else a new one. It reports false if a request is already in flight or the
// workspace has no shortage in the current epoch.
func (b *Borrower) beginRequest(key requestKey) (req limiter.BorrowRequest, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state, known := b.requests[key]
	if !known {
		state = &requestState{}
		b.requests[key] = state
	}
	if state.inFlight {
		return req, false
	}
	epoch := b.Limiter.Epoch()
	if state.epoch != epoch {
		*state = requestState{epoch: epoch, sequence: state.sequence}
	}
	if state.pending != nil {
		state.inFlight = true
		return *state.pending, true
	}
	req, ok = b.Limiter.NewBorrowRequest(key.workspace)
	if !ok || req.Epoch != epoch {
		return req, false
	}
	state.sequence++
	req.Borrower = b.Incarnation
	req.Sequence = state.sequence
	state.pending = &req
	state.inFlight = true
	return req, true
}

// finishRequest records the response to a request and passes it to the limiter, once
// per request. Without a response of the same epoch, the request stays pending.
func (b *Borrower) finishRequest(key requestKey, req limiter.BorrowRequest, response limiter.BorrowResponse, err error) {
	b.mu.Lock()
	state, known := b.requests[key]
	if !known {
		b.mu.Unlock()
		return
	}
	state.inFlight = false
	hasResponse := err == nil && response.Epoch == req.Epoch
	isPending := state.pending != nil && state.pending.Sequence == req.Sequence && state.epoch == req.Epoch
	if !hasResponse || !isPending {
		b.mu.Unlock()
		b.Meter.CountRetry(meter.RetryBorrow)
		return
	}
	state.pending = nil
	state.isShareKnown = true
	state.lenderShare = response.RemainingShare
	if response.Tokens >= minUsefulFraction*float64(req.WantTokens) {
		b.backoffs[key.workspace].delay = minBackoff
	}
	b.mu.Unlock()
	b.Limiter.AddBorrowed(key.workspace, response)
}
