package heartbeater

import (
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
)

// GoneProof names the evidence that a daemon is gone and admits no more requests.
type GoneProof string

// The kinds of proof.
const (
	ProofNone GoneProof = ""
	// ProofDrained: the daemon reported that it holds no shares any more.
	ProofDrained GoneProof = "handed-over"
	// ProofReplaced: another process responds at the daemon's address.
	ProofReplaced GoneProof = "replaced-at-its-address"
	// ProofRefused: the daemon's address refuses connections.
	ProofRefused GoneProof = "connection-refused"
	// ProofUnlisted: the VM is missing from the platform's list and no daemon hears
	// the member any more.
	ProofUnlisted GoneProof = "missing-from-the-list"
	// ProofSilent: the daemon has not been heard for a while. This is a proof only
	// if members that do not hear a majority stop admitting on their own.
	ProofSilent GoneProof = "silent"
)

// GoneProof returns the proof that a member of an epoch is gone, or ProofNone.
// Silence alone is no proof here.
func (p *Peers) GoneProof(member epochtracker.Member) GoneProof {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordFirstQuery(member)
	switch {
	case p.drained[member.Incarnation]:
		return ProofDrained
	case p.isReplaced(member):
		return ProofReplaced
	case p.refusals[member.PeerAddress].count >= refusalThreshold:
		return ProofRefused
	case p.isUnlisted(member):
		return ProofUnlisted
	}
	return ProofNone
}

// recordFirstQuery records when GoneProof or SilentFor was first called for a
// member. Responses and refusals at its address before that time may concern an
// earlier process and are ignored.
func (p *Peers) recordFirstQuery(member epochtracker.Member) {
	_, known := p.firstQueriedAt[member.Incarnation]
	if known {
		return
	}
	p.firstQueriedAt[member.Incarnation] = p.clock.Now()
	delete(p.refusals, member.PeerAddress)
}

// isReplaced reports whether another process responded at the member's address
// after the first query for the member. Two processes cannot listen there at once,
// so the member must have ended.
func (p *Peers) isReplaced(member epochtracker.Member) bool {
	newest := p.responses[member.PeerAddress]
	isOther := newest.incarnation != "" && newest.incarnation != member.Incarnation
	return isOther && newest.sentAt.After(p.firstQueriedAt[member.Incarnation])
}

// isUnlisted reports whether the member's VM has been missing from the platform's
// list for UnlistedTimeout and no daemon hears the member.
func (p *Peers) isUnlisted(member epochtracker.Member) bool {
	since, isMissing := p.unlistedSince[member.VM]
	if !isMissing || p.lastListedAt.Sub(since) < UnlistedTimeout {
		return false
	}
	now := p.clock.Now()
	peer, heard := p.peers[member.Incarnation]
	if heard && now.Sub(peer.HeardAt) < UnlistedTimeout {
		return false
	}
	for _, other := range p.peers {
		if slices.Contains(other.Heard, member.Incarnation) {
			return false
		}
	}
	return true
}

// SilentFor returns the time since a member was last heard, or since the first
// query for it if that is later.
func (p *Peers) SilentFor(member epochtracker.Member) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordFirstQuery(member)
	peer, ok := p.peers[member.Incarnation]
	since := p.firstQueriedAt[member.Incarnation]
	if ok && peer.HeardAt.After(since) {
		since = peer.HeardAt
	}
	return p.clock.Now().Sub(since)
}

// HasAnswered reports whether a member responded to a heartbeat that this daemon sent
// within the given duration before now, in an epoch that is not newer than the given
// one. Heartbeats that the member sent do not count: after a pause of this process,
// those that waited in its sockets look as if they had just been sent.
func (p *Peers) HasAnswered(member epochtracker.Member, epoch identifier.Position, within time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	response := p.responses[member.PeerAddress]
	return response.incarnation == member.Incarnation && p.clock.Since(response.sentAt) <= within && p.peers[member.Incarnation].Epoch <= epoch
}
