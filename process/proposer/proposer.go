// Package proposer decides which daemons are members of the next epoch and so hold
// shares of the rate limits. It proposes a new epoch when a daemon joins or is
// proven gone, and lets the limiter use the shares of an epoch once all its members
// have entered it.
package proposer

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/confirmer"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/request/limiter"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
)

const (
	tickInterval = 100 * time.Millisecond
	// debounceDelay is how long the target membership must be unchanged before it
	// is proposed, so that daemons that start together share one epoch.
	debounceDelay = 400 * time.Millisecond
	// orphanedDebounceDelay applies instead when all members are gone. They were
	// replaced, so most daemons are already present, and no daemon admits requests
	// until the next epoch.
	orphanedDebounceDelay = 100 * time.Millisecond
	// proposerStagger is the delay per rank before a daemon proposes, in case the
	// daemons before it are cut off from the log.
	proposerStagger = time.Second
	// minProposalInterval is the minimum time between two proposals of one daemon.
	minProposalInterval = time.Second
	appendTimeout       = 2 * time.Second
	// staleGracePeriod is how long after the start of an epoch a member that the
	// epoch removed may still use its old shares. Its own epoch counts as stale after
	// confirmer.StaleAfter.
	staleGracePeriod = confirmer.StaleAfter + time.Second
)

// Proposer proposes epochs for one daemon and settles them, that is, makes the
// limiter use their shares. Step and Run must not be called concurrently.
type Proposer struct {
	Self         epochtracker.Member
	EpochTracker *epochtracker.Tracker
	Limiter      *limiter.Limiter
	Peers        *heartbeater.Peers
	// WantsShares reports whether this daemon wants to hold shares.
	WantsShares func() bool
	// IsCurrent reports whether the known epoch is confirmed to be the newest.
	IsCurrent func() bool
	// Append appends a proposal to a stream of the log and returns its offset.
	Append func(ctx context.Context, stream identifier.StreamName, data []byte) (identifier.Offset, error)
	// AppendAt replaces Append for a log that appends on a condition, unless it is nil. It
	// appends a proposal if the log still ends at a position.
	AppendAt func(ctx context.Context, data []byte, at identifier.Position) (identifier.Position, error)
	// OnRemoved is called when an epoch removes this daemon although it wants to hold
	// shares, unless Rejoins is set.
	OnRemoved func()
	// MaxMembers limits the number of members; zero means no limit. Joiners are
	// spread over the availability zones, those with the most CPU cores first.
	MaxMembers int
	// IsPassive reports whether this daemon leaves proposals to others; nil means
	// never.
	IsPassive func() bool
	// OwnHeartbeat returns this daemon's own heartbeat. It may be nil if MaxMembers
	// is zero.
	OwnHeartbeat func() heartbeater.Heartbeat
	// SilenceTimeout is the silence after which a member counts as gone; zero means
	// never. It requires members that stop admitting on their own, and sooner, when
	// they do not hear a majority of the epoch.
	SilenceTimeout time.Duration
	// HearsMajority reports whether this daemon hears a majority of the epoch. A
	// daemon that does not may be partitioned itself. SilenceTimeout therefore
	// applies only at a member that hears a majority, or if a majority is proven
	// gone. MinoritySilenceTimeout applies at a member that hears no majority but
	// can read the log, because a majority would have removed it by then.
	// MaxSilenceTimeout applies otherwise.
	HearsMajority          func() bool
	CanReadLog             func() bool
	MinoritySilenceTimeout time.Duration
	MaxSilenceTimeout      time.Duration
	// Rejoins makes a daemon that an epoch removed join the next one instead of
	// calling OnRemoved. Its shares end when the epoch that removed it begins.
	Rejoins bool

	Clock clockwork.Clock
	Log   *slog.Logger

	// target is the membership that the next epoch should have. It has been
	// unchanged since targetSince.
	target         []epochtracker.Member
	targetSince    time.Time
	lastProposedAt time.Time
	// wasMember is set once this daemon has been a member of an epoch. With Rejoins
	// set, a removal clears it.
	wasMember bool
	// enteredAt is when this daemon was first seen to have entered enteredEpoch.
	enteredAt    time.Time
	enteredEpoch identifier.Position
}

// Run calls Step periodically until the context ends.
func (p *Proposer) Run(ctx context.Context) error {
	return repeater.Every(ctx, p.Clock, tickInterval, func() { p.Step(ctx) })
}

// Step settles the current epoch if all members have entered it, and proposes a
// new one if that is due.
func (p *Proposer) Step(ctx context.Context) {
	epoch := p.EpochTracker.Current()
	if p.checkRemoval(epoch) {
		return
	}
	if p.isEpochEntered(epoch) {
		p.Limiter.ApplyBaseShares(epoch.Number)
	}
	if p.IsPassive != nil && p.IsPassive() {
		return
	}
	if !p.shouldPropose(epoch) {
		return
	}
	p.lastProposedAt = p.Clock.Now()
	err := p.propose(ctx, epoch)
	if err != nil {
		p.Log.Warn("Cannot propose an epoch.", "err", err)
	}
}

// checkRemoval calls OnRemoved and returns true if the epoch removed this daemon.
// With Rejoins set, it logs the removal and returns false.
func (p *Proposer) checkRemoval(epoch epochtracker.Epoch) bool {
	isMember := epoch.HasMember(p.Self.Incarnation)
	removed := p.wasMember && !isMember && p.WantsShares()
	p.wasMember = p.wasMember || isMember
	if removed && p.Rejoins {
		p.Log.Warn("This daemon was left out of the epoch and joins again.", "epoch", epoch.Number)
		p.wasMember = false
		return false
	}
	if removed {
		p.Log.Error("This daemon was removed from the epoch.", "epoch", epoch.Number)
		p.OnRemoved()
	}
	return removed
}

// isEpochEntered reports whether all members are known to have entered the epoch,
// so that none spends shares of an earlier one. If the epoch must wait for stale
// members, it also requires staleGracePeriod to have passed.
func (p *Proposer) isEpochEntered(epoch epochtracker.Epoch) bool {
	if !epoch.HasMember(p.Self.Incarnation) || p.Limiter.Epoch() != epoch.Number {
		return false
	}
	if p.enteredEpoch != epoch.Number || p.enteredAt.IsZero() {
		p.enteredEpoch = epoch.Number
		p.enteredAt = p.Clock.Now()
	}
	if epoch.MustAwaitStaleness && p.Clock.Since(p.enteredAt) < staleGracePeriod {
		return false
	}
	for _, member := range epoch.Members {
		if member.Incarnation == p.Self.Incarnation {
			continue
		}
		peer, heard := p.Peers.Find(member.Incarnation)
		if !heard || peer.Epoch < epoch.Number {
			return false
		}
	}
	return true
}

// shouldPropose updates the target membership. It reports whether the target
// differs from the epoch's members and has been unchanged for the debounce delay, or the
// log lost the epoch, and it is this daemon's turn to propose the target.
func (p *Proposer) shouldPropose(epoch epochtracker.Epoch) bool {
	now := p.Clock.Now()
	target := p.targetMembers(epoch)
	if !slices.Equal(target, p.target) {
		p.target = target
		p.targetSince = now
	}
	isDue := !slices.Equal(target, epoch.Members) || p.EpochTracker.IsLost()
	if len(target) == 0 || !isDue {
		return false
	}
	isTurn := now.Sub(p.targetSince) >= p.debounceDelay(epoch)+time.Duration(p.proposerRank(epoch))*proposerStagger
	isThrottled := now.Sub(p.lastProposedAt) < minProposalInterval
	return isTurn && !isThrottled && p.isEligibleProposer(epoch) && p.IsCurrent()
}

func (p *Proposer) debounceDelay(epoch epochtracker.Epoch) time.Duration {
	if p.EpochTracker.IsLost() {
		return 0
	}
	if len(epoch.Members) > 0 && !p.hasLiveMember(epoch) {
		return orphanedDebounceDelay
	}
	return debounceDelay
}

// isEligibleProposer reports whether this daemon may propose an epoch. If the
// number of members is limited, only members propose, until all of them are gone.
func (p *Proposer) isEligibleProposer(epoch epochtracker.Epoch) bool {
	return p.MaxMembers == 0 || epoch.HasMember(p.Self.Incarnation) || !p.hasLiveMember(epoch)
}

// proposerRank returns the number of live daemons that propose before this one.
// Concurrent proposals are safe, because the log orders them and the first wins.
func (p *Proposer) proposerRank(epoch epochtracker.Epoch) (before int) {
	for _, peer := range p.Peers.Live() {
		isProposer := p.MaxMembers == 0 || epoch.HasMember(peer.Incarnation) || !epoch.HasMember(p.Self.Incarnation)
		if isProposer && peer.Incarnation < p.Self.Incarnation {
			before++
		}
	}
	return before
}

// hasLiveMember reports whether any member is not proven gone. While there is one,
// only members propose epochs, because a daemon outside the epoch may be partitioned
// itself.
func (p *Proposer) hasLiveMember(epoch epochtracker.Epoch) bool {
	return slices.ContainsFunc(epoch.Members, func(member epochtracker.Member) bool {
		return p.goneProof(member) == heartbeater.ProofNone
	})
}

// targetMembers returns the members that the next epoch should have, sorted by
// incarnation.
func (p *Proposer) targetMembers(epoch epochtracker.Epoch) []epochtracker.Member {
	var target []epochtracker.Member
	for _, member := range epoch.Members {
		if !p.isGone(member) {
			target = append(target, member)
		}
	}
	target = append(target, p.joiners(epoch, len(target))...)
	slices.SortFunc(target, func(x, y epochtracker.Member) int {
		if x.Incarnation < y.Incarnation {
			return -1
		}
		return 1
	})
	return target
}

// silenceTimeout returns the silence after which this daemon considers a member
// gone.
func (p *Proposer) silenceTimeout() time.Duration {
	isMember := p.EpochTracker.Current().HasMember(p.Self.Incarnation)
	switch {
	case p.HearsMajority() && isMember, p.isMajorityGone():
		return p.SilenceTimeout
	case isMember && p.CanReadLog():
		return p.MinoritySilenceTimeout
	}
	return p.MaxSilenceTimeout
}

// isMajorityGone reports whether most members are proven gone without regard to
// silence. There can be no majority on the other side of a partition then.
func (p *Proposer) isMajorityGone() bool {
	members := p.EpochTracker.Current().Members
	goneCount := 0
	for _, member := range members {
		if p.Peers.GoneProof(member) != heartbeater.ProofNone {
			goneCount++
		}
	}
	return goneCount*2 > len(members)
}

// joiners returns the daemons to add to an epoch of which stayingCount members stay.
func (p *Proposer) joiners(epoch epochtracker.Epoch, stayingCount int) (joining []epochtracker.Member) {
	if p.MaxMembers > 0 && stayingCount >= p.MaxMembers {
		return nil
	}
	var candidates []heartbeater.Heartbeat
	for _, peer := range p.Peers.Live() {
		canJoin := peer.State != heartbeater.StateLeaving && !peer.Drained
		if canJoin && !epoch.HasMember(peer.Incarnation) {
			candidates = append(candidates, peer.Heartbeat)
		}
	}
	if p.WantsShares() && !epoch.HasMember(p.Self.Incarnation) && !p.wasMember {
		candidates = append(candidates, p.ownHeartbeat())
	}
	if p.MaxMembers > 0 {
		candidates = p.selectCandidates(candidates, epoch, max(0, p.MaxMembers-stayingCount))
	}
	for _, heartbeat := range candidates {
		joining = append(joining, epochtracker.Member{Incarnation: heartbeat.Incarnation, VM: heartbeat.VM, PeerAddress: heartbeat.Peer})
	}
	return joining
}

func (p *Proposer) ownHeartbeat() heartbeater.Heartbeat {
	if p.OwnHeartbeat != nil {
		return p.OwnHeartbeat()
	}
	return heartbeater.Heartbeat{Incarnation: p.Self.Incarnation, VM: p.Self.VM, Peer: p.Self.PeerAddress}
}

// selectCandidates selects up to count candidates. Each comes from the zone with
// the fewest members so far, and has the most CPU cores of the candidates there.
func (p *Proposer) selectCandidates(candidates []heartbeater.Heartbeat, epoch epochtracker.Epoch, count int) (chosen []heartbeater.Heartbeat) {
	membersPerZone := make(map[identifier.ZoneName]int)
	for _, member := range epoch.Members {
		peer, ok := p.Peers.Find(member.Incarnation)
		if ok && !p.isGone(member) {
			membersPerZone[peer.Zone]++
		}
	}
	for len(chosen) < count && len(candidates) > 0 {
		best := 0
		for i, c := range candidates {
			b := candidates[best]
			order := cmp.Or(
				cmp.Compare(membersPerZone[c.Zone], membersPerZone[b.Zone]),
				cmp.Compare(b.Weight, c.Weight),
				cmp.Compare(c.Incarnation, b.Incarnation),
			)
			if order < 0 {
				best = i
			}
		}
		chosen = append(chosen, candidates[best])
		membersPerZone[candidates[best].Zone]++
		candidates = slices.Delete(candidates, best, best+1)
	}
	return chosen
}

func (p *Proposer) isGone(member epochtracker.Member) bool {
	if member.Incarnation == p.Self.Incarnation {
		return p.Limiter.IsDrained()
	}
	return p.goneProof(member) != heartbeater.ProofNone
}

// goneProof returns the proof that a member is gone. In addition to the proofs of
// Peers.GoneProof it accepts a silence longer than silenceTimeout. ProofSilent also
// replaces ProofUnlisted, because the next epoch then need not wait for stale
// members.
func (p *Proposer) goneProof(member epochtracker.Member) heartbeater.GoneProof {
	proof := p.Peers.GoneProof(member)
	if p.SilenceTimeout == 0 || member.Incarnation == p.Self.Incarnation {
		return proof
	}
	if p.Peers.SilentFor(member) > p.silenceTimeout() && (proof == heartbeater.ProofNone || proof == heartbeater.ProofUnlisted) {
		return heartbeater.ProofSilent
	}
	return proof
}

func (p *Proposer) propose(ctx context.Context, epoch epochtracker.Epoch) (err error) {
	defer annotator.Annotate(&err, "propose after epoch %s", epoch.Number)
	proposal := epochtracker.Proposal{BasedOn: epoch.Number, Members: p.target}
	for _, member := range epoch.Members {
		proof := p.goneProof(member)
		if proof == heartbeater.ProofNone {
			continue
		}
		p.Log.Info("A daemon is gone.", "vm", member.VM, "incarnation", member.Incarnation, "proof", proof)
		proposal.MustAwaitStaleness = proposal.MustAwaitStaleness || proof == heartbeater.ProofUnlisted
	}
	// If this epoch still waits for stale members, the next one must wait too.
	proposal.MustAwaitStaleness = proposal.MustAwaitStaleness || (epoch.MustAwaitStaleness && !p.Limiter.HasBaseShares())
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return p.append(ctx, proposal)
}

// append appends a proposal. On a condition, it is the place that gives the epoch its number.
func (p *Proposer) append(ctx context.Context, proposal epochtracker.Proposal) error {
	at := p.EpochTracker.NextPosition()
	if p.AppendAt != nil {
		proposal.Number = &at
	}
	data, err := json.Marshal(proposal)
	if err != nil {
		return err
	}
	if p.AppendAt != nil {
		_, err = p.AppendAt(ctx, data, at)
		return err
	}
	_, err = p.Append(ctx, appender.StreamEpochs, data)
	return err
}
