// Package epochtracker tracks the current epoch from the records of the epochs
// stream. An epoch is the set of daemons, called members, that hold the limits of
// the workspaces. Each record proposes the next epoch; of concurrent proposals, the
// one that is first in the log takes effect.
package epochtracker

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/identifier"
)

// Member is a daemon that holds limits, or shares of them, in an epoch.
type Member struct {
	Incarnation identifier.Incarnation `json:"incarnation"`
	VM          identifier.VMName      `json:"vm"`
	// PeerAddress is the address for other daemons.
	PeerAddress identifier.Address `json:"peer"`
}

// Epoch is the set of daemons that hold the limits of the workspaces. Either each
// member holds a share of every limit, or, with fleet.Fleet.WholeLimits, one member
// holds the whole limit of a workspace (see RankedMembers).
type Epoch struct {
	// Number is the position that the record had that began the epoch. A log that came
	// back from an older copy may have that record elsewhere, or not any more.
	Number identifier.Position `json:"number"`
	// BasedOn is the number of the epoch before this one: identifier.NoPosition for the
	// first one of the fleet, and zero also if it is unknown.
	BasedOn identifier.Position `json:"based-on,omitempty"`
	Members []Member            `json:"members"`
	// MustAwaitStaleness tells the members to wait before they use the limits of
	// this epoch. It is set if a member was removed only because the platform's
	// list of VMs no longer has it. That daemon may still run, and uses its limits
	// until its configuration counts as stale. Later epochs keep the flag until
	// the wait is over.
	MustAwaitStaleness bool `json:"wait-for-stale,omitempty"`
}

// Record is a record of the epochs stream.
type Record struct {
	Position identifier.Position
	Data     []byte
}

// Proposal is the content of a record of the epochs stream. One with a number was appended
// on the condition that the log ends there. It begins an epoch if the number is higher than
// that of the newest epoch. One without begins an epoch if the epoch that it is based on is
// still the newest.
type Proposal struct {
	// Number is the number of the epoch, unless it is nil: the position at which the
	// proposal was to be appended.
	Number *identifier.Position `json:"number,omitempty"`
	// BasedOn is the number of the epoch that the proposer saw.
	BasedOn            identifier.Position `json:"based-on"`
	Members            []Member            `json:"members"`
	MustAwaitStaleness bool                `json:"wait-for-stale,omitempty"`
}

// HasMember reports whether an incarnation is a member of the epoch.
func (e Epoch) HasMember(incarnation identifier.Incarnation) bool {
	return slices.ContainsFunc(e.Members, func(member Member) bool { return member.Incarnation == incarnation })
}

// BaseShare returns the share of each limit with which each member starts the epoch,
// where limits are divided: an equal part, rounded down. It is zero if the epoch has
// no members.
func (e Epoch) BaseShare() identifier.PartsPerMillion {
	if len(e.Members) == 0 {
		return 0
	}
	return identifier.WholeShare / identifier.PartsPerMillion(len(e.Members))
}

// RankedMembers returns the members ranked for a workspace by rendezvous hashing.
// Where limits are not divided, the first one is the workspace's home, which holds
// its whole limit. The second one is its deputy, which replaces an unreachable home.
func (e Epoch) RankedMembers(workspace identifier.WorkspaceName) []Member {
	ranked := slices.Clone(e.Members)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Compare(rendezvousWeight(workspace, b), rendezvousWeight(workspace, a))
	})
	return ranked
}

// rendezvousWeight returns the weight of a member in the ranking for a workspace. It
// hashes the VM and not the incarnation, so that a limit stays on its VM when the
// daemon there restarts.
func rendezvousWeight(workspace identifier.WorkspaceName, member Member) uint64 {
	return xxhash.Sum64String(string(workspace) + "/" + string(member.VM))
}

// Apply returns the epoch after a record. If the record is malformed or begins no epoch, it
// returns the current epoch and an error.
func Apply(current Epoch, record Record) (next Epoch, err error) {
	defer annotator.Annotate(&err, "apply epoch record %s", record.Position)
	proposal, err := record.proposal()
	if err != nil {
		return current, err
	}
	next = proposal.epoch(record.Position)
	switch {
	case proposal.Number == nil && proposal.BasedOn != current.Number:
		return current, fmt.Errorf("the proposal is based on epoch %s, but the newest is %s", proposal.BasedOn, current.Number)
	case next.Number <= current.Number:
		return current, fmt.Errorf("the proposal is for epoch %s, but the newest is %s", next.Number, current.Number)
	case next.Number > record.Position:
		return current, fmt.Errorf("the proposal is for epoch %s, which is not reached yet", next.Number)
	}
	return next, nil
}

func (r Record) proposal() (proposal Proposal, err error) {
	err = json.Unmarshal(r.Data, &proposal)
	return proposal, err
}

// epoch returns the epoch that the record begins if there is no newer one.
func (r Record) epoch() (Epoch, error) {
	proposal, err := r.proposal()
	return proposal.epoch(r.Position), err
}

// isOtherThan reports whether two epochs have one number and are not the same. A proposal may
// be carried out under the number of an epoch that the log has lost.
func (e Epoch) isOtherThan(other Epoch) bool {
	return e.Number == other.Number && !slices.Equal(e.Members, other.Members)
}

// epoch returns the epoch that a proposal at a position begins.
func (p Proposal) epoch(position identifier.Position) Epoch {
	number := position
	if p.Number != nil {
		number = *p.Number
	}
	return Epoch{Number: number, BasedOn: p.BasedOn, Members: p.Members, MustAwaitStaleness: p.MustAwaitStaleness}
}

// Tracker holds the newest epoch that this daemon knows.
type Tracker struct {
	// OnChange is called with each new epoch, in order.
	OnChange func(Epoch)

	// current is read without mu to avoid a deadlock: OnChange runs under mu and
	// may take locks whose holders call Current.
	current atomic.Pointer[Epoch]
	// mu serializes changes of the epoch.
	mu           sync.Mutex
	nextPosition identifier.Position
	// newestRead is the highest number of an epoch whose record was read since the log
	// last came back from an older copy.
	newestRead identifier.Position
}

// New returns a Tracker that knows no epoch yet. Its current epoch has the number
// identifier.NoPosition and no members.
func New() *Tracker {
	t := &Tracker{OnChange: func(Epoch) {}, newestRead: identifier.NoPosition}
	t.current.Store(&Epoch{Number: identifier.NoPosition})
	return t
}

// Current returns the newest epoch.
func (t *Tracker) Current() Epoch {
	return *t.current.Load()
}

// NextPosition returns the position of the record to read next.
func (t *Tracker) NextPosition() identifier.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nextPosition
}

// Handle applies a record. It ignores a record that was already read, and returns an
// error for a record that begins no epoch.
func (t *Tracker) Handle(record Record) (err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record.Position < t.nextPosition {
		return nil
	}
	t.nextPosition = record.Position + 1
	return t.apply(record)
}

// apply applies a record that was read. The caller holds mu.
func (t *Tracker) apply(record Record) error {
	current := t.Current()
	epoch, err := Apply(current, record)
	if err != nil {
		if proposed, parseErr := record.epoch(); parseErr == nil && proposed.isOtherThan(current) {
			t.newestRead = identifier.NoPosition
		}
		return err
	}
	t.newestRead = epoch.Number
	t.current.Store(&epoch)
	t.OnChange(epoch)
	return nil
}

// Advance records that there are no records before a position that were not read.
func (t *Tracker) Advance(next identifier.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextPosition = max(t.nextPosition, next)
}

// Restart continues at another position, because the log does not have all records from
// NextPosition on. The newest record has no data if there is none. The current epoch stays
// if it is newer than that.
func (t *Tracker) Restart(newest Record, next identifier.Position) (err error) {
	defer annotator.Annotate(&err, "restart at %s", next)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextPosition = next
	t.newestRead = identifier.NoPosition
	if newest.Data == nil {
		return nil
	}
	epoch, err := newest.epoch()
	if err != nil {
		return err
	}
	if !epoch.isOtherThan(t.Current()) {
		t.newestRead = epoch.Number
	}
	if epoch.Number > t.Current().Number {
		t.current.Store(&epoch)
		t.OnChange(epoch)
	}
	return nil
}

// IsLost reports whether the log came back from an older copy that does not have the
// current epoch, or has another one with its number.
func (t *Tracker) IsLost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.Current().Number
	return current != identifier.NoPosition && current.Era() < t.nextPosition.Era() && t.newestRead < current
}

// Install replaces the current epoch with one from a snapshot or a peer, if that
// is newer.
func (t *Tracker) Install(epoch Epoch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch.Number <= t.Current().Number {
		return
	}
	t.current.Store(&epoch)
	t.nextPosition = max(t.nextPosition, epoch.Number+1)
	t.OnChange(epoch)
}
