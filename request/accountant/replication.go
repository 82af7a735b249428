package accountant

import (
	"maps"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
)

// epochEntry is an epoch and the time at which this daemon entered it.
type epochEntry struct {
	epoch     epochtracker.Epoch
	enteredAt time.Time
}

// retention is how far back an epoch matters: what was admitted in it may count.
func (a *Accountant) retention() time.Duration {
	return a.window + a.lease + knowledgeLag
}

// EnterEpoch enters an epoch. From then on, this daemon confirms no account of a holder
// that has not entered it.
func (a *Accountant) EnterEpoch(epoch epochtracker.Epoch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	isSuccessor := len(a.epochs) > 0 && epoch.BasedOn == a.currentEpoch().Number
	if epoch.Number.Era() != a.currentEpoch().Number.Era() {
		clear(a.confirmed) // sums of different eras do not compare
	}
	if !isSuccessor {
		a.epochs = nil
	}
	a.epochs = append(a.epochs, epochEntry{epoch: epoch, enteredAt: now})
	a.dropOldEpochs(now)
	a.forgetOthers()
	for name, b := range a.books {
		b.home = homeOf(epoch, name)
		if b.isHeld && isSuccessor && b.home == a.self {
			b.beginEpoch(epoch.Number)
		} else if b.isHeld {
			b.isHeld = false
			b.source = a.self
		}
	}
	a.notifyChanged()
}

func (a *Accountant) dropOldEpochs(now time.Time) {
	for len(a.epochs) > 1 && now.Sub(a.epochs[1].enteredAt) > a.retention() {
		a.epochs = a.epochs[1:]
	}
}

// forgetOthers drops what is known of daemons that are members of none of the epochs.
func (a *Accountant) forgetOthers() {
	isOther := func(incarnation identifier.Incarnation) bool { return !a.isMemberOfAny(incarnation) }
	deleteKeys(a.confirmed, isOther)
	deleteKeys(a.entered, isOther)
	deleteKeys(a.drained, isOther)
}

// isMemberOfAny reports whether a daemon is a member of an epoch that matters.
func (a *Accountant) isMemberOfAny(incarnation identifier.Incarnation) bool {
	return slices.ContainsFunc(a.epochs, func(e epochEntry) bool { return e.epoch.HasMember(incarnation) })
}

func deleteKeys[V any](entries map[identifier.Incarnation]V, isDeleted func(identifier.Incarnation) bool) {
	maps.DeleteFunc(entries, func(key identifier.Incarnation, _ V) bool { return isDeleted(key) })
}

// currentEpoch returns the epoch that was entered last.
func (a *Accountant) currentEpoch() epochtracker.Epoch {
	if len(a.epochs) == 0 {
		return epochtracker.Epoch{Number: identifier.NoPosition}
	}
	return a.epochs[len(a.epochs)-1].epoch
}

// Epoch returns the number of the epoch that was entered last. A heartbeat must not
// state a newer one, because its receiver relies on what the epoch says about copies.
func (a *Accountant) Epoch() identifier.Position {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.currentEpoch().Number
}

func homeOf(epoch epochtracker.Epoch, name identifier.WorkspaceName) identifier.Incarnation {
	ranked := epoch.RankedMembers(name)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0].Incarnation
}

// heldBook returns the account of a workspace if this daemon keeps it, and begins to
// keep it if it may.
func (a *Accountant) heldBook(name identifier.WorkspaceName, now time.Time) *book {
	b := a.bookOf(name)
	if a.isClosed || b.home != a.self {
		return nil
	}
	b.applyBounds(now)
	a.expire(b, now)
	if !now.Before(b.assumedUntil) {
		b.assumed = 0
	}
	if b.isHeld {
		b.isFilled = b.isFilled && b.counted() >= b.bounds.Limit
		return b
	}
	if !a.begin(b, now) {
		return nil
	}
	return b
}

// gatherTimeout is how long a new home waits for copies of the account. The members
// send them with the first heartbeat in the new epoch.
const gatherTimeout = time.Second

// begin makes this daemon the keeper of an account. It returns false while copies may
// still arrive.
func (a *Accountant) begin(b *book, now time.Time) bool {
	a.dropOldEpochs(now)
	entry := a.epochs[len(a.epochs)-1]
	earlier := a.epochs[:len(a.epochs)-1]
	since := b.epoch()
	isComplete := a.hasWholeHistory(now) || a.epochs[0].epoch.Number <= since
	// The holder of that epoch had taken over from all earlier ones.
	earlier = slices.DeleteFunc(slices.Clone(earlier), func(e epochEntry) bool { return e.epoch.Number < since })
	for _, e := range earlier {
		isComplete = isComplete && a.hasCopiesOfMajority(e.epoch, entry.epoch.Number)
	}
	if !isComplete && now.Sub(entry.enteredAt) < gatherTimeout {
		return false
	}
	endOfPrevious := a.slotAt(now.Add(a.lease))
	missing := a.missingTokens(b, earlier)
	if !isComplete {
		missing = max(missing, b.bounds.Allowed-b.counted())
		b.isFilled = true
	}
	b.add(endOfPrevious, missing)
	b.assumed, b.assumedUntil = missing, a.slotEnd(endOfPrevious).Add(a.window)
	b.beginEpoch(entry.epoch.Number)
	b.isHeld = true
	b.source = a.self
	a.OnBegin(isComplete)
	if b.counted() == 0 {
		return true
	}
	a.Log.Info("This daemon keeps the account of a workspace.", "workspace", b.name, "epoch", entry.epoch.Number, "counted", b.counted(), "assumed", missing, "complete", isComplete)
	return true
}

// hasWholeHistory reports whether the known epochs reach back to the beginning of the
// retention, or to the first epoch of the fleet.
func (a *Accountant) hasWholeHistory(now time.Time) bool {
	first := a.epochs[0]
	return first.epoch.BasedOn == identifier.NoPosition || now.Sub(first.enteredAt) > a.retention()
}

// hasCopiesOfMajority reports whether a majority of an epoch's members has sent its
// copies in the current epoch.
func (a *Accountant) hasCopiesOfMajority(epoch epochtracker.Epoch, current identifier.Position) bool {
	count := 0
	for _, member := range epoch.Members {
		newest, ok := a.entered[member.Incarnation]
		if member.Incarnation == a.self || (ok && newest >= current) {
			count++
		}
	}
	return count*2 > len(epoch.Members)
}

// missingTokens returns how many tokens the holders of earlier epochs may have admitted
// that the newest copy lacks.
func (a *Accountant) missingTokens(b *book, earlier []epochEntry) identifier.Tokens {
	for _, e := range earlier {
		home := homeOf(e.epoch, b.name)
		if home != a.self && !a.drained[home] {
			return b.bounds.Unconfirmed
		}
	}
	return 0
}

// majorityConfirmed returns the sum up to which a majority of the members, this daemon
// included, has an account.
func (a *Accountant) majorityConfirmed(b *book) identifier.Tokens {
	members := a.currentEpoch().Members
	sums := make([]identifier.Tokens, 0, len(members))
	for _, member := range members {
		if member.Incarnation != a.self {
			sums = append(sums, a.confirmed[member.Incarnation][b.name])
		}
	}
	needed := len(members) / 2
	if needed == 0 {
		return b.total
	}
	slices.Sort(sums)
	return sums[len(sums)-needed]
}

// Export returns what to send to another member: the accounts that this daemon holds
// and the member has not confirmed, and copies of those whose home the member is.
func (a *Accountant) Export(to identifier.Incarnation) (accounts []Account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	epoch := a.currentEpoch()
	if !epoch.HasMember(to) || to == a.self {
		return nil
	}
	now := a.clock.Now()
	for name, b := range a.books {
		isOwn := b.isHeld && b.total > a.confirmed[to][name]
		isCopy := !b.isHeld && b.total > 0 && b.source != to && b.home == to
		if isOwn || isCopy {
			a.expire(b, now)
			accounts = append(accounts, b.encode(name, a.slotLength(), now, a.slotEnd))
		}
	}
	return accounts
}

// Adopt takes over what another member sent in an epoch. An account of a holder that has
// not entered the epoch of this daemon is ignored. hasDrained states that the member
// admits nothing more.
func (a *Accountant) Adopt(from identifier.Incarnation, epoch identifier.Position, accounts []Account, hasDrained bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch < a.currentEpoch().Number {
		return
	}
	now := a.clock.Now()
	for _, received := range accounts {
		if !received.isValid() {
			a.Log.Warn("An account of a workspace cannot be used.", "workspace", received.Workspace, "from", from)
			continue
		}
		b := a.bookOf(received.Workspace)
		if b.isHeld && epoch == a.currentEpoch().Number || b.isNewerThan(received) {
			continue
		}
		b.isHeld = false // another daemon holds the limit in a newer epoch
		b.account = decode(received, now, a.slotAt)
		b.source = from
	}
	if a.isMemberOfAny(from) {
		a.entered[from] = max(a.entered[from], epoch)
		a.drained[from] = a.drained[from] || hasDrained
	}
}

// Confirm records that a member has received the accounts that this daemon sent in an
// epoch. The member's epoch is that of its response. A member in a newer epoch ignored
// the accounts.
func (a *Accountant) Confirm(by identifier.Incarnation, sentIn, epoch identifier.Position, accounts []Account) {
	if epoch > sentIn || len(accounts) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if sentIn.Era() != a.currentEpoch().Number.Era() {
		return
	}
	sums, ok := a.confirmed[by]
	if !ok {
		sums = make(map[identifier.WorkspaceName]identifier.Tokens)
		a.confirmed[by] = sums
	}
	for _, account := range accounts {
		sums[account.Workspace] = max(sums[account.Workspace], account.Sum())
	}
	a.notifyChanged()
}

// notifyChanged wakes the requests that wait for a confirmation.
func (a *Accountant) notifyChanged() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Close stops the admission of requests. The accounts are still sent, so that the next
// home knows all that was admitted.
func (a *Accountant) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isClosed = true
}

// State is the account of one workspace as the operators' status shows it.
type State struct {
	Workspace identifier.WorkspaceName `json:"workspace"`
	Held      bool                     `json:"held"`
	Counted   identifier.Tokens        `json:"counted-tokens"`
	Allowed   identifier.Tokens        `json:"allowed-tokens"`
	// Unconfirmed is what a majority of the members has not confirmed.
	Unconfirmed identifier.Tokens `json:"unconfirmed-tokens"`
	// Booked counts the refused requests for which capacity is kept.
	Booked int `json:"booked-requests"`
}

// States returns the accounts that this daemon holds or has copies of, by name.
func (a *Accountant) States() []State {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	states := make([]State, 0, len(a.books))
	for name, b := range a.books {
		a.expire(b, now)
		if !b.isHeld && b.counted() == 0 {
			continue
		}
		state := State{Workspace: name, Held: b.isHeld, Counted: b.counted(), Allowed: b.bounds.Allowed, Booked: b.rebooker.Booked()}
		if b.isHeld {
			state.Unconfirmed = b.total - a.majorityConfirmed(b)
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(x, y State) int {
		if x.Workspace < y.Workspace {
			return -1
		}
		return 1
	})
	return states
}
