// Package asserter checks invariants in the running program. A violation is counted
// and logged; in tests it also panics.
package asserter

import (
	"log/slog"
	"sync/atomic"

	"sassafraspass.dev/sassafraspass/process/meter"
)

// Invariant is the name of a property that must always hold.
type Invariant string

// The invariants of the system.
const (
	// A daemon's share of a limit does not exceed the whole limit.
	SharesWithinLimit Invariant = "shares-within-whole"
	// A call that must not be repeated is sent at most once.
	OneSendPerAttempt Invariant = "one-send-per-attempt"
	// The number of the configuration version only grows.
	VersionMonotonic Invariant = "version-monotone"
	// A stream carries frames of its own attempt only.
	FrameOfOwnAttempt Invariant = "frame-of-own-attempt"
	// A caller's key is not forwarded to an upstream.
	NoKeyUpstream Invariant = "no-key-upstream"
	// A reservation of tokens is settled once.
	ReservationReleasedOnce Invariant = "reservation-released-once"
	// The tokens of a stream arrive without gaps or repeats.
	TokensInOrder Invariant = "tokens-in-order"
	// The level of a token bucket does not go below zero.
	LevelNotNegative Invariant = "level-within-share"
	// A seat at a decode engine is released once.
	SeatReleasedOnce Invariant = "seat-released-once"
	// No request is still running at the end of a planned stop.
	StopCutsNoRequest Invariant = "stop-cuts-no-request"
)

// Asserter reports violated invariants.
type Asserter struct {
	log   *slog.Logger
	meter *meter.Meter
	fatal atomic.Bool
}

// New returns an asserter. Where fatal is true, a violation also panics.
func New(log *slog.Logger, m *meter.Meter, fatal bool) *Asserter {
	a := &Asserter{log: log, meter: m}
	a.fatal.Store(fatal)
	return a
}

// That reports a violation of the invariant unless holds is true. The args are added
// to the log line as keys and values.
func (a *Asserter) That(holds bool, invariant Invariant, args ...any) {
	if holds {
		return
	}
	a.meter.CountEvent(meter.EventInvariantViolation)
	a.log.Error("Invariant violated.", append([]any{"invariant", invariant}, args...)...)
	if a.fatal.Load() {
		panic("invariant violated: " + string(invariant))
	}
}
