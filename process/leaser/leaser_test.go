package leaser

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/logger"
)

const (
	duty         = "orders"
	handoverWait = 4 * time.Second
)

var errLog = errors.New("the log failed")

// claimLog is an in-memory log with the claims of one duty.
type claimLog struct {
	claims [][]byte
	// dropsResponses makes append add the claim and then fail, as if the response
	// was lost.
	dropsResponses bool
	isDown         bool
}

func (c *claimLog) readNewest(context.Context, string) (NewestClaim, error) {
	if c.isDown {
		return NewestClaim{}, errLog
	}
	end := identifier.Position(len(c.claims))
	if end == 0 {
		return NewestClaim{}, nil
	}
	return NewestClaim{Data: c.claims[end-1], Position: end - 1, NextPosition: end}, nil
}

func (c *claimLog) append(_ context.Context, _ string, data []byte, nextPosition identifier.Position) (identifier.Position, error) {
	if nextPosition != identifier.Position(len(c.claims)) {
		return 0, errors.New("newer records")
	}
	c.claims = append(c.claims, data)
	if c.dropsResponses {
		return 0, errLog
	}
	return nextPosition, nil
}

func newLeaser(c *claimLog, clock clockwork.Clock, vm, incarnation string) *Leaser {
	l := New()
	l.OwnClaim = Claim{Holder: identifier.VMName(vm), Incarnation: identifier.Incarnation(incarnation)}
	l.ReadNewestClaim = c.readNewest
	l.AppendClaim = c.append
	l.HandoverWait = func() time.Duration { return handoverWait }
	l.Clock = clock
	l.Log = logger.Discard()
	return l
}

func acquire(t *testing.T, l *Leaser) (token identifier.FencingToken, held bool) {
	t.Helper()
	token, held, err := l.Acquire(context.Background(), duty)
	if err != nil {
		t.Fatal(err)
	}
	return token, held
}

func TestFirstHolderStartsAtOnceAndTheNextOneWaits(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c := &claimLog{}
	first := newLeaser(c, clock, "a", "1")
	second := newLeaser(c, clock, "b", "2")
	firstToken, held := acquire(t, first)
	is.True(held)
	secondToken, held := acquire(t, second)
	is.True(!held) // requests of the first holder may still be in flight
	is.True(secondToken > firstToken)
	clock.Advance(handoverWait - time.Millisecond)
	_, held = acquire(t, second)
	is.True(!held)
	clock.Advance(time.Millisecond)
	token, held := acquire(t, second)
	is.True(held)
	is.Equal(token, secondToken)
	is.Equal(len(c.claims), 2)
}

func TestHolderThatLostItsDutyWaitsAgain(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c := &claimLog{}
	first := newLeaser(c, clock, "a", "1")
	second := newLeaser(c, clock, "b", "2")
	acquire(t, first)
	acquire(t, second)
	token, held := acquire(t, first)
	is.True(!held)
	is.Equal(token, identifier.FencingToken(3))
}

func TestNextIncarnationOnTheSameVMSkipsTheWait(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c := &claimLog{}
	old, _ := acquire(t, newLeaser(c, clock, "a", "1"))
	token, held := acquire(t, newLeaser(c, clock, "a", "2"))
	is.True(held)
	is.True(token > old)
}

func TestClaimWhoseResponseIsLostHoldsAfterTheWait(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c := &claimLog{dropsResponses: true}
	l := newLeaser(c, clock, "a", "1")
	_, held, err := l.Acquire(context.Background(), duty)
	is.True(errors.Is(err, errLog))
	is.True(!held)
	_, held = acquire(t, l)
	is.True(!held)
	clock.Advance(handoverWait)
	_, held = acquire(t, l)
	is.True(held)
	is.Equal(len(c.claims), 1)
}

func TestFencedHolderClaimsAnew(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c := &claimLog{}
	l := newLeaser(c, clock, "a", "1")
	old, _ := acquire(t, l)
	l.MarkFenced(duty)
	token, held := acquire(t, l)
	is.True(!held)
	is.True(token > old)
	clock.Advance(handoverWait)
	again, held := acquire(t, l)
	is.True(held)
	is.Equal(again, token)
}

func TestNobodyHoldsADutyWhileTheLogIsDown(t *testing.T) {
	is := is.New(t)
	c := &claimLog{}
	l := newLeaser(c, clockwork.NewFakeClock(), "a", "1")
	acquire(t, l)
	c.isDown = true
	_, held, err := l.Acquire(context.Background(), duty)
	is.True(err != nil)
	is.True(!held)
}

func TestBrokenClaimIsReplaced(t *testing.T) {
	is := is.New(t)
	c := &claimLog{claims: [][]byte{[]byte("no json")}}
	l := newLeaser(c, clockwork.NewFakeClock(), "a", "1")
	_, held := acquire(t, l)
	is.True(!held)
	is.Equal(len(c.claims), 2)
}

// Guards against two holders at a time: the process after one that still had to wait for the
// holder before acted at once.
func TestNextIncarnationWaitsIfTheOneBeforeHadTo(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c := &claimLog{}
	_, held := acquire(t, newLeaser(c, clock, "b", "1"))
	is.True(held)
	_, held = acquire(t, newLeaser(c, clock, "a", "1"))
	is.True(!held)
	_, held = acquire(t, newLeaser(c, clock, "a", "2"))
	is.True(!held)
}
