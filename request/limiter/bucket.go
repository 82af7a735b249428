package limiter

import (
	"math"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// demandHalfLife is the time in which the weight of a request in the demand
	// estimate halves.
	demandHalfLife = 5 * time.Second
	// smallRequestFraction is the fraction of the burst up to which a request is
	// small.
	smallRequestFraction = 0.02
	// tokenEpsilon is the tolerance for floating-point errors when token counts are
	// compared.
	tokenEpsilon = 1e-6
)

// bucket is this daemon's share of one workspace's token bucket.
//
// The shares of all daemons sum to at most one. The level of each bucket grows by its
// share of the rate and never exceeds its share of the burst. Together, the daemons
// therefore admit at most rate * window + burst tokens in any time window.
type bucket struct {
	workspace identifier.WorkspaceName
	// rate is in tokens per second, and burst in tokens. Both are the whole
	// workspace's.
	rate  float64
	burst float64
	share identifier.PartsPerMillion
	// level is the number of available tokens as of updatedAt.
	level     float64
	updatedAt time.Time

	// demand estimates how many tokens per second are requested here, as of
	// demandUpdatedAt.
	demand          float64
	demandUpdatedAt time.Time

	// outstanding holds the reservations that are not released yet.
	outstanding map[*Reservation]struct{}
	// waiters is the queue: small requests first, then large ones, both in order of
	// arrival.
	waiters []*Waiter
	// waitingTokens is the sum of the tokens that the waiters need.
	waitingTokens float64
}

// Waiter is a request for tokens that may wait in the queue of its workspace.
type Waiter struct {
	// Granted receives the reservation. It is buffered, so that granting never blocks.
	Granted chan *Reservation

	workspace  identifier.WorkspaceName
	tokens     float64
	enqueuedAt time.Time
}

func newBucket(w parser.Workspace, share identifier.PartsPerMillion, now time.Time) *bucket {
	return &bucket{
		workspace:       w.Name,
		rate:            float64(w.Rate),
		burst:           float64(w.Burst),
		share:           share,
		updatedAt:       now,
		demandUpdatedAt: now,
		outstanding:     make(map[*Reservation]struct{}),
	}
}

func (b *bucket) shareFraction() float64 {
	return float64(b.share) / float64(identifier.WholeShare)
}

// capacity returns the level at which the bucket is full, in tokens.
func (b *bucket) capacity() float64 {
	return b.shareFraction() * b.burst
}

// refill adds the tokens that have accrued since the last call.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.updatedAt).Seconds()
	b.updatedAt = now
	if elapsed > 0 {
		b.level += elapsed * b.rate * b.shareFraction()
	}
	b.clampLevel()
}

// clampLevel drops the tokens above the capacity. It also updates the headroom of each
// outstanding reservation.
func (b *bucket) clampLevel() {
	capacity := b.capacity()
	b.level = min(b.level, capacity)
	for r := range b.outstanding {
		r.headroom = min(r.headroom, capacity-b.level)
	}
}

// isSmall reports whether a request is small relative to the burst. Small requests are
// served first: many of them can run while a large one waits for enough tokens, and
// they delay it only a little.
func (b *bucket) isSmall(tokens float64) bool {
	return tokens <= smallRequestFraction*b.burst
}

// goesFirst reports whether no waiter precedes a new request.
func (b *bucket) goesFirst(tokens float64) bool {
	return len(b.waiters) == 0 || (b.isSmall(tokens) && !b.isSmall(b.waiters[0].tokens))
}

// tokensAhead returns the tokens of the waiters that precede a new request.
func (b *bucket) tokensAhead(tokens float64) float64 {
	if !b.isSmall(tokens) {
		return b.waitingTokens
	}
	sum := 0.0
	for _, w := range b.waiters {
		if !b.isSmall(w.tokens) {
			break
		}
		sum += w.tokens
	}
	return sum
}

// enqueue adds a request to the queue, small requests before large ones.
func (b *bucket) enqueue(w *Waiter) {
	index := len(b.waiters)
	if b.isSmall(w.tokens) {
		index = slices.IndexFunc(b.waiters, func(other *Waiter) bool { return !b.isSmall(other.tokens) })
	}
	if index < 0 {
		index = len(b.waiters)
	}
	b.waiters = slices.Insert(b.waiters, index, w)
	b.waitingTokens += w.tokens
}

// reserve deducts tokens from the level and returns their reservation.
func (b *bucket) reserve(tokens float64) *Reservation {
	b.level -= tokens
	r := &Reservation{bucket: b, tokens: tokens, headroom: math.Inf(1)}
	b.outstanding[r] = struct{}{}
	return r
}

// refund ends a reservation and returns its unused tokens to the bucket.
//
// A refund must leave the bucket as if only the used tokens had been deducted when the
// reservation was made. Unused tokens that would have overflowed the bucket since then
// are lost, so a refund is at most the reservation's headroom. It also reduces the
// headroom of all other outstanding reservations, because they share the free capacity.
func (b *bucket) refund(r *Reservation, used float64) {
	delete(b.outstanding, r)
	unused := max(0, r.tokens-used)
	b.level += max(0, min(unused, r.headroom))
	for other := range b.outstanding {
		other.headroom -= unused
	}
	b.clampLevel()
}

// setShare changes the share. An increase adds capacity but no tokens.
func (b *bucket) setShare(share identifier.PartsPerMillion) {
	b.share = share
	b.clampLevel()
}

// configure sets the rate and the burst of a new configuration.
func (b *bucket) configure(w parser.Workspace) {
	b.rate = float64(w.Rate)
	b.burst = float64(w.Burst)
	b.clampLevel()
}

// addDemand adds a request to the demand estimate.
func (b *bucket) addDemand(now time.Time, tokens float64) {
	b.decayDemand(now)
	b.demand += tokens * math.Ln2 / demandHalfLife.Seconds()
}

// decayDemand applies the exponential decay of the demand estimate.
func (b *bucket) decayDemand(now time.Time) {
	elapsed := now.Sub(b.demandUpdatedAt)
	b.demandUpdatedAt = now
	b.demand *= math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
}

// lend deducts part of the share and of the tokens for a borrower, and returns both.
// The lender keeps at least minKeptShare, or all of a smaller share. The share is
// divided in proportion to demand. The tokens go to the daemon whose first waiter has
// waited longer. Without that order, daemons that all lack tokens would pass them
// around, and no large request would ever collect enough.
func (b *bucket) lend(now time.Time, req BorrowRequest, minKeptShare identifier.PartsPerMillion) (share identifier.PartsPerMillion, tokens float64) {
	b.decayDemand(now)
	lendable := b.lendableTokens(now, req.HeadWait)
	tokens = max(0, min(float64(req.WantTokens), lendable))
	share = max(b.shareByDemand(req), b.shareForTokens(tokens))
	kept := max(min(minKeptShare, b.share), b.shareForTokens(b.level-lendable))
	share = min(share, b.share-kept)
	if share <= 0 {
		return 0, 0
	}
	lentCapacity := float64(share) / float64(identifier.WholeShare) * b.burst
	overflow := b.level - (b.capacity() - lentCapacity)
	tokens = min(max(tokens, overflow), lentCapacity)
	b.level -= tokens
	b.setShare(b.share - share)
	return share, tokens
}

// lendableTokens returns the tokens that may go to a borrower: the whole level if no
// request waits here or the borrower's first waiter has waited longer than this
// bucket's, and otherwise the tokens that this bucket's first waiter does not need.
func (b *bucket) lendableTokens(now time.Time, headWait time.Duration) float64 {
	if len(b.waiters) == 0 || now.Sub(b.waiters[0].enqueuedAt) < headWait {
		return b.level
	}
	return max(0, b.level-b.waiters[0].tokens)
}

// shareByDemand returns the share to lend so that both daemons' shares are in
// proportion to their demand. It is negative if the borrower already holds more.
func (b *bucket) shareByDemand(req BorrowRequest) identifier.PartsPerMillion {
	totalDemand := b.demand + req.Demand
	if totalDemand <= 0 {
		return 0
	}
	kept := identifier.PartsPerMillion(float64(b.share+req.Share) * b.demand / totalDemand)
	return b.share - kept
}

// shareForTokens returns the smallest share whose part of the burst holds the tokens.
func (b *bucket) shareForTokens(tokens float64) identifier.PartsPerMillion {
	return identifier.PartsPerMillion(math.Ceil(max(0, tokens) / b.burst * float64(identifier.WholeShare)))
}

// add adds a share and tokens to the bucket.
func (b *bucket) add(share identifier.PartsPerMillion, tokens float64) {
	b.share += share
	b.level += tokens
	b.clampLevel()
}
