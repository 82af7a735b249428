package limiter

import (
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/asserter"
)

// BucketState is the state of one workspace's bucket at this daemon. Level is in
// tokens, and Waiting counts requests.
type BucketState struct {
	Workspace identifier.WorkspaceName   `json:"workspace"`
	Share     identifier.PartsPerMillion `json:"share-ppm"`
	Level     float64                    `json:"level-tokens"`
	Waiting   int                        `json:"waiting-requests"`
}

// BucketStates returns the state of each workspace's bucket, in no defined order.
func (l *Limiter) BucketStates() []BucketState {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	states := make([]BucketState, 0, len(l.buckets))
	for name, b := range l.buckets {
		b.refill(now)
		states = append(states, BucketState{Workspace: name, Share: b.share, Level: b.level, Waiting: len(b.waiters)})
	}
	return states
}

// NewBorrowRequest returns the request to send to lenders for a workspace. The caller
// sets Borrower and Sequence. It returns false if no tokens are missing or nothing may
// be borrowed now.
func (l *Limiter) NewBorrowRequest(workspace identifier.WorkspaceName) (req BorrowRequest, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, known := l.buckets[workspace]
	if !known || !l.baseSharesApplied || l.drained || len(b.waiters) == 0 {
		return req, false
	}
	now := l.clock.Now()
	b.refill(now)
	b.decayDemand(now)
	missing := b.waitingTokens - b.level
	if missing <= 0 {
		return req, false
	}
	return BorrowRequest{
		Epoch:      l.epoch,
		Workspace:  workspace,
		WantTokens: identifier.Tokens(missing) + 1,
		Demand:     b.demand,
		Share:      b.share,
		HeadWait:   now.Sub(b.waiters[0].enqueuedAt),
	}, true
}

// Lend returns the response to a borrower. What it lends is deducted before it
// returns. A retry of the borrower's latest request gets the same response; an older
// request, or one of another epoch, gets nothing.
func (l *Limiter) Lend(req BorrowRequest) BorrowResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	empty := BorrowResponse{Epoch: l.epoch}
	if req.Epoch != l.epoch {
		return empty
	}
	key := loanKey{borrower: req.Borrower, workspace: req.Workspace}
	latest, exists := l.loans[key]
	if exists && latest.sequence == req.Sequence {
		return latest.response
	}
	if exists && latest.sequence > req.Sequence {
		return empty
	}
	response := empty
	b, known := l.buckets[req.Workspace]
	if known && l.baseSharesApplied {
		response = l.lendFrom(b, req)
	}
	l.loans[key] = loan{sequence: req.Sequence, response: response}
	return response
}

// lendFrom deducts what is lent from a bucket and returns the response to the borrower.
func (l *Limiter) lendFrom(b *bucket, req BorrowRequest) BorrowResponse {
	now := l.clock.Now()
	b.refill(now)
	minKeptShare := l.baseShare(b.workspace) / minShareDivisor
	if l.drained {
		minKeptShare = 0
	}
	share, tokens := b.lend(now, req, minKeptShare)
	return BorrowResponse{Epoch: l.epoch, Share: share, Tokens: tokens, RemainingShare: b.share}
}

// AddBorrowed adds what a lender has lent. The caller must pass each response only
// once. A response is dropped if it is of another epoch, before ApplyBaseShares is
// called in this epoch, and after Drain.
func (l *Limiter) AddBorrowed(workspace identifier.WorkspaceName, response BorrowResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, known := l.buckets[workspace]
	if !known || response.Epoch != l.epoch || !l.baseSharesApplied || l.drained {
		return
	}
	b.refill(l.clock.Now())
	b.add(response.Share, response.Tokens)
	l.assert.That(b.share <= identifier.WholeShare, asserter.SharesWithinLimit, "workspace", workspace, "share", b.share)
	l.grantWaiting(b)
}

// Epoch returns the epoch of the shares.
func (l *Limiter) Epoch() identifier.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}
