// Package accountant keeps the rate limits of workspaces as sliding-window accounts. The
// home of a workspace, the first of epochtracker.Epoch.RankedMembers, admits requests as
// long as the tokens admitted within the window stay below a bound.
//
// An account survives its holder:
//
//   - The holder sends its accounts to the other members. It admits at most
//     Bounds.Unconfirmed tokens beyond what a majority of the members has confirmed.
//   - A member that has entered a newer epoch confirms nothing to the holder of an
//     older one. It sends its copy to the new home.
//   - The new home begins when a majority of the members of each epoch since that of the
//     newest copy has done so. That copy then lacks at most Bounds.Unconfirmed tokens,
//     which the new home adds. If there is no such majority, it counts its whole bound
//     as admitted, and admits again when that leaves the window.
//
// All homes together thus admit at most Bounds.Allowed tokens in any window, whichever
// of them are killed, paused or cut off.
package accountant

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/request/rebooker"
)

const (
	// confirmTimeout is the longest time that a request waits for a majority to
	// confirm the accounts.
	confirmTimeout = 200 * time.Millisecond
	// replicationInterval is the least time between two replications outside the
	// heartbeats that are sent anyway. It bounds the messages of a busy home.
	replicationInterval = 20 * time.Millisecond
	// knowledgeLag is how long a daemon may act on an epoch after a newer one took
	// effect: confirmer.StaleAfter, and a second for the change itself.
	knowledgeLag = 5 * time.Second
	// maxWindowsAhead bounds the time that a refused request is told.
	maxWindowsAhead = 4
	// refundLifetime is how long tokens that were admitted can be refunded.
	refundLifetime = 15 * time.Second
)

// Key identifies a request for tokens, so that they can be refunded.
type Key struct {
	Requester identifier.Incarnation
	Number    int64
}

// Outcome says what became of a request for tokens.
type Outcome string

// The outcomes.
const (
	Granted Outcome = "granted"
	Refused Outcome = "refused"
	// NotHolder means that this daemon cannot decide: it does not hold the limit, does
	// not know the account, or cannot have it confirmed.
	NotHolder Outcome = "not-holder"
)

// Decision is the response to a request for tokens.
type Decision struct {
	Outcome Outcome
	// RetryAfter is the time until the account has room for the refused request. It is
	// zero if the request is larger than the bound.
	RetryAfter time.Duration
}

// Accountant keeps the accounts of one daemon: those that it holds, and copies of
// others. It is safe for concurrent use. Its exported fields are set before use.
type Accountant struct {
	// HoldsLimit reports whether this daemon holds the limit of a workspace in an epoch
	// that is current.
	HoldsLimit func(workspace identifier.WorkspaceName) bool
	// Replicate sends the accounts to the other members now. It does not block.
	Replicate func()
	// OnBegin is called when this daemon begins to keep an account. hasCopies is false if
	// it had to count its whole bound as admitted.
	OnBegin func(hasCopies bool)
	// OnUnconfirmed is called for each request that is not admitted because a majority of
	// the members did not confirm the account in time.
	OnUnconfirmed func()
	Log           *slog.Logger

	clock     clockwork.Clock
	self      identifier.Incarnation
	window    time.Duration
	lease     time.Duration
	startedAt time.Time

	mu sync.Mutex
	// epochs holds the epochs that were in force within the retention, oldest first.
	epochs []epochEntry
	books  map[identifier.WorkspaceName]*book
	// confirmed holds the sums of the accounts that each member has confirmed.
	confirmed map[identifier.Incarnation]map[identifier.WorkspaceName]identifier.Tokens
	// entered holds the newest epoch in which each member has sent its copies.
	entered map[identifier.Incarnation]identifier.Position
	// drained holds the members that admit nothing more and have sent everything.
	drained      map[identifier.Incarnation]bool
	isClosed     bool
	reservations map[Key]reservation
	prunedAt     time.Time
	replicatedAt time.Time
	// changed is closed when a confirmation arrives.
	changed chan struct{}
}

// reservation is an admission that may still be refunded.
type reservation struct {
	workspace identifier.WorkspaceName
	slot      slotIndex
	tokens    identifier.Tokens
	expiresAt time.Time
}

// New returns an accountant that knows nothing. The lease is how long the holder of a
// limit may admit requests after a majority has entered a newer epoch.
func New(clock clockwork.Clock, self identifier.Incarnation, window, lease time.Duration) *Accountant {
	return &Accountant{
		HoldsLimit:    func(identifier.WorkspaceName) bool { return false },
		Replicate:     func() {},
		OnBegin:       func(bool) {},
		OnUnconfirmed: func() {},
		Log:           slog.New(slog.DiscardHandler),
		clock:         clock,
		self:          self,
		window:        window,
		lease:         lease,
		startedAt:     clock.Now(),
		books:         make(map[identifier.WorkspaceName]*book),
		confirmed:     make(map[identifier.Incarnation]map[identifier.WorkspaceName]identifier.Tokens),
		entered:       make(map[identifier.Incarnation]identifier.Position),
		drained:       make(map[identifier.Incarnation]bool),
		reservations:  make(map[Key]reservation),
		changed:       make(chan struct{}),
	}
}

// BeginAll begins to keep the accounts of all workspaces whose limits this daemon holds,
// so that the other members have them before the first request.
func (a *Accountant) BeginAll() {
	a.mu.Lock()
	var names []identifier.WorkspaceName
	for name, b := range a.books {
		if !b.isHeld && b.home == a.self {
			names = append(names, name)
		}
	}
	a.mu.Unlock()
	for _, name := range names {
		if a.HoldsLimit(name) {
			a.mu.Lock()
			a.heldBook(name, a.clock.Now())
			a.mu.Unlock()
		}
	}
}

// Configure sets the bounds of all workspaces. A lower bound takes effect one window
// later, because what was admitted before counts until then.
func (a *Accountant) Configure(bounds map[identifier.WorkspaceName]Bounds) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for name, next := range bounds {
		b, ok := a.books[name]
		if !ok || b.bounds == (Bounds{}) {
			a.bookOf(name).bounds = next
			continue
		}
		b.applyBounds(now)
		if next.Allowed >= b.bounds.Allowed {
			b.bounds, b.nextAt = next, time.Time{}
		} else if b.nextAt.IsZero() || next != b.next {
			b.next, b.nextAt = next, now.Add(a.window)
		}
	}
}

func (a *Accountant) bookOf(name identifier.WorkspaceName) *book {
	b, ok := a.books[name]
	if !ok {
		b = &book{name: name, home: homeOf(a.currentEpoch(), name), rebooker: rebooker.New(a.clock)}
		b.rebooker.FreeAt = func(now time.Time, amount rebooker.Amount) time.Time {
			return a.roomAt(b, identifier.Tokens(amount), now)
		}
		b.rebooker.SharesCallers = true
		b.rebooker.MaxKept = func() rebooker.Amount { return rebooker.Amount(keptFraction * float64(b.bounds.Allowed)) }
		a.books[name] = b
	}
	return b
}

// Admit admits a request to a workspace within its account. It waits for at most maxWait
// until the account has room.
func (a *Accountant) Admit(ctx context.Context, key Key, workspace identifier.WorkspaceName, tokens identifier.Tokens, maxWait time.Duration) Decision {
	if !a.HoldsLimit(workspace) {
		return Decision{Outcome: NotHolder}
	}
	deadline := a.clock.Now().Add(maxWait)
	for {
		decision, position, wait := a.tryAdmit(key, workspace, tokens, deadline)
		if decision.Outcome != "" {
			return decision
		}
		if position > 0 {
			return a.awaitConfirmation(ctx, key, workspace, position)
		}
		select {
		case <-a.clock.After(wait):
		case <-ctx.Done():
			deadline = a.clock.Now()
		}
		if !a.HoldsLimit(workspace) {
			return Decision{Outcome: NotHolder}
		}
	}
}

// tryAdmit adds a request to the account if it has room. Without an outcome the caller
// waits: for the confirmation of the account up to position if that is positive, and
// else until the account has room.
func (a *Accountant) tryAdmit(key Key, workspace identifier.WorkspaceName, tokens identifier.Tokens, deadline time.Time) (decision Decision, position identifier.Tokens, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	b := a.heldBook(workspace, now)
	if b == nil {
		return Decision{Outcome: NotHolder}, 0, 0
	}
	if tokens > b.boundFor(tokens) {
		return Decision{Outcome: Refused}, 0, 0
	}
	// A caller may return through another daemon, with the same number of tokens.
	const caller = rebooker.Caller("")
	room := a.roomAt(b, tokens, now)
	isFree := !room.After(now) && (b.isSmall(tokens) || b.rebooker.Take(caller, rebooker.Amount(tokens)))
	if !isFree {
		switch {
		case b.isFilled:
			// Other members may still have a part of the tolerance.
			return Decision{Outcome: NotHolder}, 0, 0
		case room.After(now) && !room.After(deadline):
			return Decision{}, 0, room.Sub(now)
		}
		return Decision{Outcome: Refused, RetryAfter: b.rebooker.Refuse(caller, rebooker.Amount(tokens))}, 0, 0
	}
	slot := a.slotAt(now)
	isConfirmed := b.total+tokens-a.majorityConfirmed(b) <= b.bounds.Unconfirmed
	if !isConfirmed {
		// The request may be sent as late as this.
		slot = a.slotAt(now.Add(confirmTimeout))
	}
	b.add(slot, tokens)
	a.keepReservation(key, reservation{workspace: workspace, slot: slot, tokens: tokens, expiresAt: now.Add(refundLifetime)})
	unconfirmed := b.total - a.majorityConfirmed(b)
	if unconfirmed > b.bounds.Unconfirmed/2 {
		a.replicate(now)
	}
	if isConfirmed {
		return Decision{Outcome: Granted}, 0, 0
	}
	return Decision{}, b.total, 0
}

// roomAt returns the time from which the account has room for tokens if no more are
// admitted before. Beyond the bound it adds a window for each time that they exceed it.
func (a *Accountant) roomAt(b *book, tokens identifier.Tokens, now time.Time) time.Time {
	bound := max(1, b.boundFor(tokens))
	if tokens > bound {
		windows := (tokens - 1) / bound
		return a.roomAt(b, tokens-windows*bound, now).Add(time.Duration(min(windows, maxWindowsAhead)) * a.window)
	}
	excess := b.counted() + tokens - bound
	if excess <= 0 {
		return now
	}
	for _, slot := range b.sortedSlots() {
		excess -= b.recent[slot]
		if excess <= 0 {
			return a.slotEnd(slot).Add(a.window)
		}
	}
	return now.Add(a.window)
}

// awaitConfirmation waits until a majority has confirmed the account up to a position,
// less the tokens that need no confirmation. If that takes too long, it takes the
// request out of the account.
func (a *Accountant) awaitConfirmation(ctx context.Context, key Key, workspace identifier.WorkspaceName, position identifier.Tokens) Decision {
	timeout := a.clock.After(confirmTimeout)
	for {
		a.mu.Lock()
		changed := a.changed
		b := a.books[workspace]
		isHeld := b.isHeld
		a.replicate(a.clock.Now())
		isDone := isHeld && position-a.majorityConfirmed(b) <= b.bounds.Unconfirmed
		a.mu.Unlock()
		if isDone && a.HoldsLimit(workspace) {
			return Decision{Outcome: Granted}
		}
		if !isHeld {
			a.Refund(key)
			return Decision{Outcome: NotHolder}
		}
		select {
		case <-changed:
			continue
		case <-a.clock.After(replicationInterval):
			continue
		case <-timeout:
		case <-ctx.Done():
		}
		a.Refund(key)
		a.OnUnconfirmed()
		a.Log.Info("The account of a workspace was not confirmed in time.", "workspace", workspace)
		return Decision{Outcome: NotHolder}
	}
}

// replicate sends the accounts to the other members, unless that was done within
// replicationInterval.
func (a *Accountant) replicate(now time.Time) {
	if now.Sub(a.replicatedAt) >= replicationInterval {
		a.replicatedAt = now
		a.Replicate()
	}
}

// keepReservation keeps an admission for as long as it can be refunded.
func (a *Accountant) keepReservation(key Key, r reservation) {
	a.reservations[key] = r
	now := a.clock.Now()
	if now.Sub(a.prunedAt) < time.Second {
		return
	}
	a.prunedAt = now
	for key, r := range a.reservations {
		if now.After(r.expiresAt) {
			delete(a.reservations, key)
		}
	}
}

// Refund takes an admitted request that did not run out of its account.
func (a *Accountant) Refund(key Key) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.reservations[key]
	if !ok {
		return
	}
	delete(a.reservations, key)
	a.books[r.workspace].refund(r.slot, r.tokens)
}

// slotLength returns the length of one slot.
func (a *Accountant) slotLength() time.Duration {
	return a.window / slotsPerWindow
}

// slotAt returns the slot that ends at a time or first after it.
func (a *Accountant) slotAt(at time.Time) slotIndex {
	sinceStart := at.Sub(a.startedAt)
	slot := slotIndex(sinceStart / a.slotLength())
	if sinceStart%a.slotLength() <= 0 {
		slot--
	}
	return slot
}

func (a *Accountant) slotEnd(slot slotIndex) time.Time {
	return a.startedAt.Add(time.Duration(slot+1) * a.slotLength())
}

// expire drops the slots of an account that have left the window.
func (a *Accountant) expire(b *book, now time.Time) {
	boundary := now.Add(-a.window)
	slot := a.slotAt(boundary)
	if !a.slotEnd(slot).After(boundary) {
		slot++
	}
	b.expire(slot)
}
