package proposer

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/asserter"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/request/limiter"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
)

func member(name string) epochtracker.Member {
	return epochtracker.Member{Incarnation: identifier.Incarnation(name), VM: identifier.VMName("vm-" + name), PeerAddress: identifier.Address(name)}
}

// testProposer is a proposer with a fake clock that records its proposals.
type testProposer struct {
	*Proposer
	clock    *clockwork.FakeClock
	proposed []epochtracker.Proposal
}

// newTestProposer returns the proposer of the daemon self; members form the first
// epoch.
func newTestProposer(self string, members ...string) *testProposer {
	p := &testProposer{clock: clockwork.NewFakeClock()}
	epochs := epochtracker.New()
	proposal := epochtracker.Proposal{BasedOn: identifier.NoPosition}
	for _, name := range members {
		proposal.Members = append(proposal.Members, member(name))
	}
	raw, _ := json.Marshal(proposal)
	_ = epochs.Handle(epochtracker.Record{Position: 0, Data: raw})
	l := limiter.New(p.clock, asserter.New(logger.Discard(), meter.NewNoop(), true))
	p.Proposer = &Proposer{
		Self:                   member(self),
		EpochTracker:           epochs,
		Limiter:                l,
		Peers:                  heartbeater.NewPeers(p.clock, identifier.Incarnation(self)),
		WantsShares:            func() bool { return true },
		IsCurrent:              func() bool { return true },
		MaxMembers:             len(members),
		SilenceTimeout:         1800 * time.Millisecond,
		HearsMajority:          func() bool { return true },
		CanReadLog:             func() bool { return true },
		MinoritySilenceTimeout: 5 * time.Second,
		MaxSilenceTimeout:      15 * time.Second,
		Append: func(_ context.Context, _ identifier.StreamName, data []byte) (identifier.Offset, error) {
			var next epochtracker.Proposal
			_ = json.Unmarshal(data, &next)
			p.proposed = append(p.proposed, next)
			return 1, nil
		},
		Clock: p.clock,
		Log:   logger.Discard(),
	}
	return p
}

// run advances the clock by d, with a step and heartbeats from the daemons in heard
// on each tick.
func (p *testProposer) run(d time.Duration, heard ...string) {
	const tick = 100 * time.Millisecond
	for range d / tick {
		p.clock.Advance(tick)
		for _, name := range heard {
			m := member(name)
			p.Peers.RecordHeartbeat(heartbeater.Heartbeat{Incarnation: m.Incarnation, VM: m.VM, Peer: m.PeerAddress, Zone: "z", State: heartbeater.StateServing})
		}
		p.Step(context.Background())
	}
}

// TestMemberProposesIfANonMemberHasTheLowestIncarnation guards against waiting for
// a proposal that never comes: a member is gone for good, and the daemon with the
// lowest incarnation is not a member and therefore proposes nothing. Another member
// has to propose.
func TestMemberProposesIfANonMemberHasTheLowestIncarnation(t *testing.T) {
	is := is.New(t)
	p := newTestProposer("b", "b", "c", "dead")
	p.run(time.Second, "a-no-hub", "c", "dead")
	p.run(4*time.Second, "a-no-hub", "c")
	is.True(len(p.proposed) > 0)
	names := make(map[identifier.Incarnation]bool)
	for _, m := range p.proposed[0].Members {
		names[m.Incarnation] = true
	}
	is.Equal(names, map[identifier.Incarnation]bool{"b": true, "c": true, "a-no-hub": true})
}

func TestOnlyTheFirstMemberProposesDuringItsTurn(t *testing.T) {
	is := is.New(t)
	p := newTestProposer("c", "b", "c", "dead")
	p.run(time.Second, "b", "dead")
	p.run(3*time.Second, "b") // ends less than proposerStagger after the first member's turn began
	is.Equal(len(p.proposed), 0)
}

// TestNextMemberProposesIfTheFirstCannot covers a first member that the others still
// hear but that cannot reach the log.
func TestNextMemberProposesIfTheFirstCannot(t *testing.T) {
	is := is.New(t)
	p := newTestProposer("c", "b", "c", "dead")
	p.run(time.Second, "b", "dead")
	p.run(5*time.Second, "b")
	is.True(len(p.proposed) > 0)
}

// TestMinorityWaitsForAMajorityToRemoveIt covers a member that hears no other member
// but reads the log: either it is partitioned itself, or most members are cut off.
func TestMinorityWaitsForAMajorityToRemoveIt(t *testing.T) {
	is := is.New(t)
	p := newTestProposer("b", "b", "c", "d")
	p.HearsMajority = func() bool { return false }
	p.run(time.Second, "c", "d")
	p.run(4500 * time.Millisecond)
	is.Equal(len(p.proposed), 0)
	p.run(2 * time.Second)
	is.True(len(p.proposed) > 0) // no epoch removed it, so the others are gone
}

func TestRemovedDaemonProposesNothing(t *testing.T) {
	is := is.New(t)
	p := newTestProposer("b", "b", "c", "d")
	p.HearsMajority = func() bool { return false }
	p.Rejoins = true
	p.run(time.Second, "c", "d")
	raw, _ := json.Marshal(epochtracker.Proposal{BasedOn: 0, Members: []epochtracker.Member{member("c"), member("d")}})
	is.NoErr(p.EpochTracker.Handle(epochtracker.Record{Position: 1, Data: raw}))
	p.run(12 * time.Second)
	is.Equal(len(p.proposed), 0)
}

func TestMinorityThatCannotReadTheLogProposesNothing(t *testing.T) {
	is := is.New(t)
	p := newTestProposer("b", "b", "c", "d")
	p.HearsMajority = func() bool { return false }
	p.CanReadLog = func() bool { return false }
	p.run(time.Second, "c", "d")
	p.run(12 * time.Second)
	is.Equal(len(p.proposed), 0)
}

// TestRestartedFleetWithoutOneMemberProposesAnEpoch covers a restart of all daemons
// after which one of the old members does not come back.
func TestRestartedFleetWithoutOneMemberProposesAnEpoch(t *testing.T) {
	is := is.New(t)
	p := newTestProposer("new-b", "b", "c", "dead")
	p.HearsMajority = func() bool { return false }
	p.run(200 * time.Millisecond)
	for range 30 {
		for _, address := range []string{"b", "c"} {
			p.Peers.RecordResponse(identifier.Address(address), identifier.Incarnation("new-"+address), p.clock.Now())
		}
		p.run(100 * time.Millisecond)
	}
	is.True(len(p.proposed) > 0)
	is.Equal(len(p.proposed[0].Members), 1)
}

// TestRestartedFleetProposesAnEpochAtOnce covers a restart of all daemons. No
// daemon admits requests until the next epoch, so waiting for late daemons costs
// more than another epoch that adds them.
func TestRestartedFleetProposesAnEpochAtOnce(t *testing.T) {
	is := is.New(t)
	p := newTestProposer("new-b", "b", "c")
	p.HearsMajority = func() bool { return false }
	p.run(200 * time.Millisecond)
	for _, address := range []string{"b", "c"} {
		p.Peers.RecordResponse(identifier.Address(address), identifier.Incarnation("new-"+address), p.clock.Now())
	}
	p.run(300*time.Millisecond, "new-c")
	is.Equal(len(p.proposed), 1)
	is.Equal(len(p.proposed[0].Members), 2)
}

func TestDaemonsThatStartTogetherShareOneEpoch(t *testing.T) {
	is := is.New(t)
	p := newTestProposer("b")
	p.MaxMembers = 5
	p.run(300*time.Millisecond, "c")
	is.Equal(len(p.proposed), 0) // more daemons may still start
	p.run(300*time.Millisecond, "c", "d")
	is.Equal(len(p.proposed), 0)
	p.run(300*time.Millisecond, "c", "d")
	is.Equal(len(p.proposed), 1)
	is.Equal(len(p.proposed[0].Members), 3)
}

// Guards against a fleet whose epoch is only in the memory of its daemons after the log came
// back from an older copy.
func TestLostEpochIsProposedAgain(t *testing.T) {
	is := is.New(t)
	p := newTestProposer("a", "a", "b", "c")
	older := identifier.NewPosition(1, 0)
	next := identifier.NewPosition(1, 1)
	raw, err := json.Marshal(epochtracker.Proposal{Number: &older, Members: []epochtracker.Member{member("gone")}})
	is.NoErr(err)
	p.EpochTracker.Install(epochtracker.Epoch{Number: identifier.NewPosition(1, 2), Members: []epochtracker.Member{member("a"), member("b"), member("c")}})
	p.AppendAt = func(_ context.Context, data []byte, at identifier.Position) (identifier.Position, error) {
		var proposal epochtracker.Proposal
		is.NoErr(json.Unmarshal(data, &proposal))
		p.proposed = append(p.proposed, proposal)
		return at, p.EpochTracker.Handle(epochtracker.Record{Position: at, Data: data})
	}
	p.run(time.Second, "b", "c")
	is.Equal(len(p.proposed), 0)
	is.NoErr(p.EpochTracker.Restart(epochtracker.Record{Position: identifier.NewPosition(2, 0), Data: raw}, identifier.NewPosition(2, next.Offset())))
	p.run(300*time.Millisecond, "b", "c")
	is.Equal(len(p.proposed), 1)
	is.Equal(p.proposed[0].BasedOn, identifier.NewPosition(1, 2))
	is.Equal(p.EpochTracker.Current().Members, []epochtracker.Member{member("a"), member("b"), member("c")})
	is.Equal(p.EpochTracker.Current().Number, identifier.NewPosition(2, 1))
	p.run(3*time.Second, "b", "c")
	is.Equal(len(p.proposed), 1) // it is in the log now
}

// Guards against a log line whose epoch can't be found in the other lines, as it mixes era and
// offset in one number.
func TestRefusedProposalNamesTheEpochAsOtherLinesDo(t *testing.T) {
	is := is.New(t)
	p := newTestProposer("a", "a", "b")
	p.AppendAt = func(context.Context, []byte, identifier.Position) (identifier.Position, error) {
		return 0, errors.New("refused")
	}
	err := p.propose(context.Background(), epochtracker.Epoch{Number: identifier.NewPosition(2, 7)})
	is.Equal(err.Error(), "propose after epoch 2:7: refused")
}
