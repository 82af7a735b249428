package accountant

import (
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/request/rebooker"
)

const (
	// Requests of at most smallRequestFraction of the limit may use the part of the
	// bound, reservedFraction of the limit, that large ones leave free.
	smallRequestFraction = 0.02
	reservedFraction     = 0.1
	// keptFraction is the part of the bound that is kept for refused callers. Some never
	// return, and what is kept for them stays unused.
	keptFraction = 0.1
)

// Bounds are the bounds of one workspace's account.
type Bounds struct {
	// Limit is what the workspace may use within the window. Allowed is the bound of
	// the account, which is not lower.
	Limit   identifier.Tokens
	Allowed identifier.Tokens
	// Unconfirmed is the part of Allowed that may be admitted before a majority of the
	// members has confirmed it.
	Unconfirmed identifier.Tokens
}

// book is the account of one workspace with its bounds.
type book struct {
	account
	name identifier.WorkspaceName
	// home is the home of the workspace in the current epoch.
	home identifier.Incarnation
	// source is the daemon that the copy came from.
	source identifier.Incarnation
	bounds Bounds
	// next replaces bounds at nextAt, one window after it was configured, because it is
	// lower.
	next   Bounds
	nextAt time.Time
	// isHeld is set while this daemon, as home, keeps the account. isFilled is set if
	// it counted its whole bound as admitted when it began.
	isHeld   bool
	isFilled bool
	// assumed is what the account counts until assumedUntil because the former home may
	// have admitted it.
	assumed      identifier.Tokens
	assumedUntil time.Time
	rebooker     *rebooker.Rebooker
}

// applyBounds makes lower bounds effective once they are due.
func (b *book) applyBounds(now time.Time) {
	if !b.nextAt.IsZero() && !now.Before(b.nextAt) {
		b.bounds, b.nextAt = b.next, time.Time{}
	}
}

// isSmall reports whether a request is small relative to the limit.
func (b *book) isSmall(tokens identifier.Tokens) bool {
	return float64(tokens) <= smallRequestFraction*float64(b.bounds.Limit)
}

// boundFor returns the bound for a request: large ones leave a part of it free. But none
// is refused below the limit because a slot counts as a whole, or because this home assumes
// that its predecessor admitted tokens without confirmation.
func (b *book) boundFor(tokens identifier.Tokens) identifier.Tokens {
	if b.isSmall(tokens) {
		return b.bounds.Allowed
	}
	reserved := identifier.Tokens(reservedFraction * float64(b.bounds.Limit))
	counted := b.bounds.Limit + b.bounds.Limit/slotsPerWindow + b.assumed
	return min(b.bounds.Allowed, max(counted, b.bounds.Allowed-reserved))
}
