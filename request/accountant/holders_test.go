package accountant

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
)

// newRunningFleet returns a fleet whose home has admitted nothing for a while.
func newRunningFleet() (f *testFleet, home *testNode) {
	f = newTestFleet(5, calm)
	f.propose(0, 1, 2, 3, 4)
	f.passTime(30 * time.Second)
	return f, f.home()
}

func (f *testFleet) passTime(d time.Duration) {
	for ; d > 0; d -= 20 * time.Millisecond {
		f.step(20 * time.Millisecond)
	}
}

// without returns the VMs of all nodes but one.
func (f *testFleet) without(excluded *testNode) (vms []int) {
	for i, n := range f.nodes {
		if n != excluded {
			vms = append(vms, i)
		}
	}
	return vms
}

// admitUntilRefused requests tokens from a node until it grants no more.
func (n *testNode) admitUntilRefused(tokens identifier.Tokens) (admitted identifier.Tokens) {
	for {
		before := len(n.fleet.admitted)
		n.request(tokens)
		n.fleet.passTime(60 * time.Millisecond)
		if len(n.fleet.admitted) == before || !n.fleet.admitted[before].isHome {
			return admitted
		}
		admitted += tokens
	}
}

// TestSuccessorCountsWhatOnlyTheHolderKnew guards against a home that admits requests,
// is cut off before any other hub has its account, and is followed by another one.
func TestSuccessorCountsWhatOnlyTheHolderKnew(t *testing.T) {
	is := is.New(t)
	f, home := newRunningFleet()
	is.True(home.admitUntilRefused(20_000) >= testLimit)
	f.passTime(testWindow)
	f.passTime(testWindow)
	for i, n := range f.nodes {
		for j := range f.nodes {
			f.cut[[2]int{i, j}] = n == home
		}
	}
	sum := identifier.Tokens(0)
	for home.request(1000) == Granted {
		sum += 1000
	}
	is.Equal(sum, testBounds.Unconfirmed) // more must wait for the others
	f.propose(f.without(home)...)
	f.passTime(time.Second)
	successor := f.home()
	is.True(successor != nil && successor != home)
	sum += successor.admitUntilRefused(10_000)
	is.True(sum <= testBounds.Allowed)
	is.True(sum > testLimit)
}

// TestPausedHolderCannotBeConfirmedByItsSuccessors guards against a former home that
// wakes up after a pause, and against its late heartbeats.
func TestPausedHolderCannotBeConfirmedByItsSuccessors(t *testing.T) {
	is := is.New(t)
	f, home := newRunningFleet()
	home.request(1000)
	home.mustSend = true
	home.pausedUntil = f.clock.Now().Add(5 * time.Second)
	f.propose(f.without(home)...)
	f.passTime(5*time.Second - 20*time.Millisecond)
	successor := f.home()
	admitted := successor.admitUntilRefused(20_000)
	is.True(admitted > testLimit-20_000)
	f.step(20 * time.Millisecond) // wakes the former home
	for range 50 {
		is.True(home.request(1000) != Granted || !f.admitted[len(f.admitted)-1].isHome)
		f.step(20 * time.Millisecond)
	}
}

// TestHomeAfterARestartOfAllCountsItsWholeBound guards against an account that starts
// as empty although the former home may have admitted the whole limit right before.
func TestHomeAfterARestartOfAllCountsItsWholeBound(t *testing.T) {
	is := is.New(t)
	f, home := newRunningFleet()
	is.True(home.admitUntilRefused(20_000) >= testLimit)
	for i := range f.nodes {
		f.nodes[i].isAlive = false
		f.start(i, len(f.nodes))
	}
	f.passTime(500 * time.Millisecond)
	f.propose(0, 1, 2, 3, 4)
	f.passTime(2 * time.Second)
	home = f.home()
	is.Equal(home.admitUntilRefused(20_000), identifier.Tokens(0))
	f.passTime(testWindow + testLease + testWindow/slotsPerWindow)
	is.True(home.admitUntilRefused(20_000) >= testLimit)
}

// TestFirstHomeOfAFleetStartsWithTheWholeLimit guards against refusals in a fleet that
// has just been created.
func TestFirstHomeOfAFleetStartsWithTheWholeLimit(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(5, calm)
	f.propose(0, 1, 2, 3, 4)
	f.passTime(2 * time.Second)
	is.True(f.home().admitUntilRefused(20_000) >= testLimit)
}

// newSoleAccountant returns the accountant of the only member of the first epoch.
func newSoleAccountant() (*Accountant, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	a := New(clock, "self", testWindow, testLease)
	a.HoldsLimit = func(identifier.WorkspaceName) bool { return true }
	a.Configure(map[identifier.WorkspaceName]Bounds{"w": testBounds})
	a.EnterEpoch(epochtracker.Epoch{Number: 0, BasedOn: identifier.NoPosition, Members: []epochtracker.Member{{Incarnation: "self", VM: "vm"}}})
	return a, clock
}

func (a *Accountant) admitNow(number int64, tokens identifier.Tokens) Decision {
	return a.Admit(context.Background(), Key{Requester: "r", Number: number}, "w", tokens, 0)
}

// TestHandoverOfAHomeThatStopsIsExact guards against a successor that assumes more than
// its predecessor admitted.
func TestHandoverOfAHomeThatStopsIsExact(t *testing.T) {
	is := is.New(t)
	members := []epochtracker.Member{{Incarnation: "old", VM: "a"}, {Incarnation: "self", VM: "b"}}
	clock := clockwork.NewFakeClock()
	a := New(clock, "self", testWindow, testLease)
	a.HoldsLimit = func(identifier.WorkspaceName) bool { return true }
	for _, name := range []identifier.WorkspaceName{"w1", "w2", "w3", "w4"} {
		a.Configure(map[identifier.WorkspaceName]Bounds{name: testBounds})
	}
	a.EnterEpoch(epochtracker.Epoch{Number: 0, BasedOn: identifier.NoPosition, Members: members})
	epoch := epochtracker.Epoch{Number: 0, Members: members}
	account := Account{Slot: testWindow / 16, Slots: []identifier.Tokens{3000, 0, 4000, 9_000_000}, Age: -100 * time.Millisecond}
	for _, name := range []identifier.WorkspaceName{"w1", "w2", "w3", "w4"} {
		if epoch.RankedMembers(name)[0].Incarnation == "old" {
			account.Workspace = name
		}
	}
	is.True(account.Workspace != "")
	a.Adopt("old", 0, []Account{account}, false)
	a.Adopt("old", 0, nil, true)
	a.EnterEpoch(epochtracker.Epoch{Number: 1, BasedOn: 0, Members: members[1:]})
	clock.Advance(gatherTimeout - time.Millisecond)
	is.Equal(a.Admit(context.Background(), Key{}, account.Workspace, 500, 0).Outcome, NotHolder) // half of the members
	a.Adopt("old", 1, nil, true)
	is.Equal(a.Admit(context.Background(), Key{}, account.Workspace, 500, 0).Outcome, Granted)
	is.Equal(a.States()[0].Counted, identifier.Tokens(7500))
}

func TestRefusedRequestIsToldWhenTheWindowHasRoom(t *testing.T) {
	is := is.New(t)
	a, clock := newSoleAccountant()
	is.Equal(a.admitNow(1, 300_000).Outcome, Granted)
	clock.Advance(3 * time.Second)
	is.Equal(a.admitNow(2, 200_000).Outcome, Granted)
	decision := a.admitNow(3, 250_000)
	is.Equal(decision.Outcome, Refused)
	clock.Advance(decision.RetryAfter - 50*time.Millisecond)
	is.Equal(a.admitNow(4, 250_000).Outcome, Refused)
	clock.Advance(50 * time.Millisecond)
	is.Equal(a.admitNow(5, 250_000).Outcome, Granted)
	is.Equal(a.admitNow(6, testLimit*2), Decision{Outcome: Refused}) // no time would help
}

func TestSmallRequestsAreServedBesideHugeOnes(t *testing.T) {
	is := is.New(t)
	a, _ := newSoleAccountant()
	for number := int64(0); a.admitNow(number, 50_000).Outcome == Granted; number++ {
	}
	is.Equal(a.States()[0].Counted, identifier.Tokens(testLimit))
	for number := range int64(40) { // what Allowed adds to the limit
		is.Equal(a.admitNow(1000+number, 1000).Outcome, Granted)
	}
	is.Equal(a.admitNow(2000, 1000).Outcome, Refused)
}

func TestLowerLimitBindsOneWindowLater(t *testing.T) {
	is := is.New(t)
	a, clock := newSoleAccountant()
	lower := Bounds{Limit: 1000, Allowed: 1100, Unconfirmed: 50}
	a.Configure(map[identifier.WorkspaceName]Bounds{"w": lower})
	clock.Advance(testWindow - time.Millisecond)
	is.Equal(a.admitNow(1, 5000).Outcome, Granted)
	a.Configure(map[identifier.WorkspaceName]Bounds{"w": lower}) // as after a reload
	clock.Advance(time.Millisecond)
	is.Equal(a.admitNow(2, 500).Outcome, Refused)
	a.Configure(map[identifier.WorkspaceName]Bounds{"w": testBounds}) // a higher one binds at once
	is.Equal(a.admitNow(3, 500).Outcome, Granted)
}

func TestRefundedTokensAreFree(t *testing.T) {
	is := is.New(t)
	a, _ := newSoleAccountant()
	is.Equal(a.admitNow(1, testLimit).Outcome, Granted)
	is.Equal(a.admitNow(2, testLimit/2).Outcome, Refused)
	a.Refund(Key{Requester: "r", Number: 1})
	a.Refund(Key{Requester: "r", Number: 1})
	is.Equal(a.admitNow(3, testLimit).Outcome, Granted)
	is.Equal(a.admitNow(4, testLimit/2).Outcome, Refused)
}

// TestUnusableAccountsAreIgnored guards against values in messages of peers that would
// overflow or take unbounded memory.
func TestUnusableAccountsAreIgnored(t *testing.T) {
	is := is.New(t)
	a, _ := newSoleAccountant()
	slot := testWindow / 16
	for _, account := range []Account{
		{Slot: slot},
		{Slot: 0, Slots: []identifier.Tokens{1}},
		{Slot: slot, Slots: []identifier.Tokens{-1, 5}},
		{Slot: slot, Slots: []identifier.Tokens{1 << 62, 5}},
		{Slot: slot, Slots: []identifier.Tokens{1, 1 << 62}},
		{Slot: slot, Slots: make([]identifier.Tokens, maxReceivedSlots+1)},
		{Slot: slot, Slots: []identifier.Tokens{1, 1}, Age: 365 * 24 * time.Hour},
	} {
		account.Workspace = "other"
		a.Adopt("peer", 0, []Account{account}, false)
	}
	is.Equal(len(a.States()), 0)
}

// TestNewerEpochSealsTheCopies guards against a holder of an older epoch whose accounts
// still seem to be confirmed after a member has sent its copies to the next home.
func TestNewerEpochSealsTheCopies(t *testing.T) {
	is := is.New(t)
	a, _ := newSoleAccountant()
	accounts := []Account{{Workspace: "other", Slot: testWindow / 16, Slots: []identifier.Tokens{500, 0}}}
	a.EnterEpoch(epochtracker.Epoch{Number: 1, BasedOn: 0, Members: []epochtracker.Member{{Incarnation: "p", VM: "p"}}})
	a.Adopt("p", 0, accounts, false)
	is.Equal(len(a.States()), 0)
	a.Confirm("p", 0, 1, accounts)
	is.Equal(len(a.confirmed), 0)
	a.Adopt("p", 1, accounts, false)
	is.Equal(a.States()[0].Counted, identifier.Tokens(500))
}

// TestHomeThatMissedEpochsCountsItsWholeBound guards against a daemon that learns the
// newest epoch only, and cannot know who held the limit before.
func TestHomeThatMissedEpochsCountsItsWholeBound(t *testing.T) {
	is := is.New(t)
	first, _ := newSoleAccountant()
	is.Equal(first.admitNow(1, testLimit).Outcome, Granted)
	a, clock := newSoleAccountant()
	a.EnterEpoch(epochtracker.Epoch{Number: 7, BasedOn: 6, Members: []epochtracker.Member{{Incarnation: "self", VM: "vm"}}})
	is.Equal(a.admitNow(1, 500).Outcome, NotHolder)
	clock.Advance(gatherTimeout)
	is.Equal(a.admitNow(2, 500).Outcome, NotHolder)
	is.Equal(a.States()[0].Counted, testBounds.Allowed)
	is.True(a.books["w"].total > first.books["w"].total) // so that its copies replace older ones
	clock.Advance(testWindow + testLease + time.Second)
	is.Equal(a.admitNow(3, testLimit).Outcome, Granted)
}

// Guards against a copy of before the log came back from an older copy that is taken for newer
// than the account of the present home, as the offset of its epoch was higher.
func TestAccountOfALaterEraIsTheNewerOne(t *testing.T) {
	is := is.New(t)
	a := New(clockwork.NewFakeClock(), "self", testWindow, testLease)
	members := []epochtracker.Member{{Incarnation: "self", VM: "1"}, {Incarnation: "old", VM: "2"}, {Incarnation: "new", VM: "3"}}
	lost, next := identifier.NewPosition(1, 5), identifier.NewPosition(2, 1)
	account := func(epoch identifier.Position, tokens identifier.Tokens) []Account {
		return []Account{{Workspace: "w", Slot: testWindow / 16, Slots: []identifier.Tokens{tokens, identifier.Tokens(epoch.Offset()+1) << epochShift}, Era: epoch.Era()}}
	}
	a.EnterEpoch(epochtracker.Epoch{Number: lost, BasedOn: identifier.NoPosition, Members: members})
	a.Adopt("old", lost, account(lost, 1000), false)
	a.EnterEpoch(epochtracker.Epoch{Number: next, BasedOn: lost, Members: members})
	a.Adopt("new", next, account(next, 7000), false)
	a.Adopt("old", next, account(lost, 2000), false)
	is.Equal(a.bookOf("w").counted(), identifier.Tokens(7000))
	is.Equal(a.bookOf("w").epoch(), next)
}
