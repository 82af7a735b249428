package accountant

import (
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	// slotsPerWindow is the number of slots into which a window is divided.
	slotsPerWindow = 16
	// maxReceivedSlots bounds the slots of an account that a peer sends: those of a
	// window, some that end later, and the last one.
	maxReceivedSlots = 4 * slotsPerWindow
	// maxSlotTokens and maxOlderTokens bound what a peer sends, so that additions cannot
	// overflow.
	maxSlotTokens  = identifier.Tokens(1) << 54
	maxOlderTokens = identifier.Tokens(1) << 61
	// epochShift sets the sum with which a holder begins an epoch: at least the offset of
	// the epoch's number shifted by it. All sums of earlier epochs of the era are lower, as
	// none admits that many tokens.
	epochShift = 40
)

// Account is what one daemon tells another about the admissions of a workspace.
type Account struct {
	Workspace identifier.WorkspaceName
	// Slot is the length of one slot. Slots holds the tokens admitted in each, the newest
	// first. The last one holds those that no longer count, and what the sum was raised
	// by when the holder began. Within an era the sum of all never decreases, not even when
	// a limit moves to another holder, so of two accounts the one with the larger sum is
	// newer.
	Slot  time.Duration
	Slots []identifier.Tokens
	// Age is the time since the end of the newest slot. It is negative before that.
	Age time.Duration
	// Era is that of the number of the holder's epoch.
	Era identifier.Era
}

// Sum returns the sum of all slots.
func (a Account) Sum() (sum identifier.Tokens) {
	for _, tokens := range a.Slots {
		sum += tokens
	}
	return sum
}

// isValid reports whether an account that was received can be used.
func (a Account) isValid() bool {
	if a.Slot <= 0 || len(a.Slots) == 0 || len(a.Slots) > maxReceivedSlots || a.Age.Abs() > maxAge {
		return false
	}
	last := len(a.Slots) - 1
	isBad := func(tokens identifier.Tokens) bool { return tokens < 0 || tokens > maxSlotTokens }
	return a.Era >= 0 && a.Era <= identifier.MaxEra && a.Slots[last] >= 0 && a.Slots[last] <= maxOlderTokens && !slices.ContainsFunc(a.Slots[:last], isBad)
}

// maxAge bounds the age of an account that a peer sends.
const maxAge = 24 * time.Hour

// slotIndex numbers the slots from the start of the process.
type slotIndex int64

// account holds the tokens of one workspace by slot.
type account struct {
	// recent holds the slots that may still count, and older the sum of the others.
	recent map[slotIndex]identifier.Tokens
	older  identifier.Tokens
	// total is the sum of recent and older.
	total identifier.Tokens
	// era is that of the number of the holder's epoch. Totals of different eras do not
	// compare.
	era identifier.Era
}

// isNewerThan reports whether an account is newer than one that was received.
func (a *account) isNewerThan(received Account) bool {
	return a.era > received.Era || a.era == received.Era && a.total > received.Sum()
}

func (a *account) add(slot slotIndex, tokens identifier.Tokens) {
	if a.recent == nil {
		a.recent = make(map[slotIndex]identifier.Tokens)
	}
	a.recent[slot] += tokens
	a.total += tokens
}

// expire moves the slots before a slot to those that no longer count.
func (a *account) expire(before slotIndex) {
	for slot, tokens := range a.recent {
		if slot < before {
			a.older += tokens
			delete(a.recent, slot)
		}
	}
}

// counted returns the sum of the slots that count.
func (a *account) counted() identifier.Tokens {
	return a.total - a.older
}

// epoch returns the epoch of the account's holder, or identifier.NoPosition for an account
// that was never held.
func (a *account) epoch() identifier.Position {
	ordinal := identifier.Offset(a.total >> epochShift)
	if ordinal == 0 {
		return identifier.NoPosition
	}
	return identifier.NewPosition(a.era, ordinal-1)
}

// beginEpoch raises the sum to the lowest one of an epoch, without counting more tokens. In
// a later era sums begin anew.
func (a *account) beginEpoch(epoch identifier.Position) {
	if epoch.Era() > a.era {
		a.era = epoch.Era()
		a.total -= a.older
		a.older = 0
	}
	total := identifier.Tokens(epoch.Offset()+1) << epochShift
	if total > a.total {
		a.older += total - a.total
		a.total = total
	}
}

// refund moves tokens from a slot to those that no longer count.
func (a *account) refund(slot slotIndex, tokens identifier.Tokens) {
	tokens = min(tokens, a.recent[slot])
	if tokens <= 0 {
		return
	}
	a.recent[slot] -= tokens
	a.older += tokens
}

// sortedSlots returns the slots that count, oldest first.
func (a *account) sortedSlots() []slotIndex {
	slots := make([]slotIndex, 0, len(a.recent))
	for slot := range a.recent {
		slots = append(slots, slot)
	}
	slices.Sort(slots)
	return slots
}

// encode returns the account as it is sent. end returns the end of a slot.
func (a *account) encode(name identifier.WorkspaceName, slot time.Duration, now time.Time, end func(slotIndex) time.Time) Account {
	encoded := Account{Workspace: name, Slot: slot, Era: a.era}
	slots := a.sortedSlots()
	if len(slots) > 0 {
		newest := slots[len(slots)-1]
		encoded.Age = now.Sub(end(newest))
		for i := newest; i >= slots[0]; i-- {
			encoded.Slots = append(encoded.Slots, a.recent[i])
		}
	}
	encoded.Slots = append(encoded.Slots, a.older)
	return encoded
}

// decode returns the account that was received. slotAt returns the slot that ends at a
// time or first after it. An account is sent before it is received, so its tokens count
// for at least as long here as they do at the sender.
func decode(received Account, now time.Time, slotAt func(time.Time) slotIndex) account {
	a := account{era: received.Era}
	newestEnd := now.Add(-received.Age)
	last := len(received.Slots) - 1
	for i, tokens := range received.Slots[:last] {
		if tokens > 0 {
			a.add(slotAt(newestEnd.Add(-time.Duration(i)*received.Slot)), tokens)
		}
	}
	a.older = received.Slots[last]
	a.total += a.older
	return a
}
