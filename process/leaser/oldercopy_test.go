package leaser

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafraspass.dev/sassafraspass/identifier"
)

// erasLog is a log of the claims of one duty that comes back from older copies of itself.
type erasLog struct {
	era    identifier.Era
	claims [][]byte
	copied [][]byte
	// losesAppend makes the next append fail without a response. The log carries it out
	// when carryOutLate is called, if its condition holds then.
	losesAppend bool
	late        []lateAppend
}

type lateAppend struct {
	data []byte
	at   identifier.Position
}

var errLost = errors.New("no response")

func (l *erasLog) readNewest(context.Context, string) (newest NewestClaim, err error) {
	end := len(l.claims)
	newest.NextPosition = identifier.NewPosition(l.era, identifier.Offset(end))
	if end > 0 {
		newest.Data = l.claims[end-1]
		newest.Position = newest.NextPosition - 1
	}
	return newest, nil
}

func (l *erasLog) append(_ context.Context, _ string, data []byte, next identifier.Position) (identifier.Position, error) {
	if l.losesAppend {
		l.losesAppend = false
		l.late = append(l.late, lateAppend{data, next})
		return 0, errLost
	}
	return next, l.add(data, next)
}

// add knows nothing of the era in its condition, as the platform's log does.
func (l *erasLog) add(data []byte, at identifier.Position) error {
	if at.Offset() != identifier.Offset(len(l.claims)) {
		return errLog
	}
	l.claims = append(l.claims, data)
	if at.Era() != l.era {
		return errLost
	}
	return nil
}

func (l *erasLog) carryOutLate() {
	for _, late := range l.late {
		_ = l.add(late.data, late.at)
	}
	l.late = nil
}

func (l *erasLog) copy() { l.copied = slices.Clone(l.claims) }

func (l *erasLog) comeBack() {
	l.era++
	l.claims = slices.Clone(l.copied)
}

func newErasLeaser(l *erasLog, clock clockwork.Clock, vm string, incarnation int) *Leaser {
	leaser := newLeaser(&claimLog{}, clock, vm, fmt.Sprint(incarnation))
	leaser.ReadNewestClaim = l.readNewest
	leaser.AppendClaim = l.append
	return leaser
}

// Guards against a fencing token that two holders have, or that falls, because the log came
// back from a copy without the newest claim and gave its offset out again.
func TestTokenRisesAfterTheNewestClaimWasLost(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := &erasLog{era: 1}
	first := newErasLeaser(l, clock, "a", 1)
	lost := newErasLeaser(l, clock, "b", 1)
	acquire(t, first)
	l.copy()
	lostToken, _ := acquire(t, lost)
	l.comeBack()
	next := newErasLeaser(l, clock, "c", 1) // it has never seen the claim that was lost
	token, held := acquire(t, next)
	is.True(token > lostToken)
	is.True(!held)
}

// Guards against a holder that acts at once, as the log shows no other claim, while one whose
// claim was lost still acts.
func TestHolderWaitsForOneWhoseClaimWasLost(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := &erasLog{era: 1}
	l.copy()
	acquire(t, newErasLeaser(l, clock, "a", 1))
	l.comeBack()
	_, held := acquire(t, newErasLeaser(l, clock, "b", 1))
	is.True(!held)
}

// act is something that the holder of the duty did.
type act struct {
	vm    string
	token identifier.FencingToken
	at    time.Time
}

// Guards against two holders with one token, a token below an earlier one, and holders that
// follow each other sooner than after the wait, when two VMs acquire a duty, restart and lose
// responses while the log comes back from older copies.
func TestDutyAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		l := &erasLog{era: 1}
		vms := []string{"a", "b"}
		leasers := []*Leaser{newErasLeaser(l, clock, "a", 1), newErasLeaser(l, clock, "b", 1)}
		var acts []act
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "vm")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				l.copy()
			case 1:
				l.comeBack()
			case 2:
				l.losesAppend = true
			case 3:
				l.carryOutLate()
			case 4:
				leasers[i] = newErasLeaser(l, clock, vms[i], step+2)
			case 5, 6:
				clock.Advance(time.Duration(rapid.IntRange(1, 3).Draw(t, "halves")) * handoverWait / 2)
			default:
				token, held, err := leasers[i].Acquire(context.Background(), duty)
				if err == nil && held {
					acts = append(acts, act{vms[i], token, clock.Now()})
				}
			}
		}
		for i, later := range acts {
			for _, earlier := range acts[:i] {
				isTurn := earlier.vm != later.vm
				if isTurn && (later.token <= earlier.token || later.at.Sub(earlier.at) < handoverWait) {
					t.Fatalf("%v after %v", later, earlier)
				}
			}
		}
	})
}
