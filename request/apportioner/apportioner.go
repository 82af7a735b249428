// Package apportioner divides the tolerance of the rate limits, which is what a
// deployment allows beyond a workspace's limit in any window, among the daemons that
// may admit requests without the limit's holder.
//
// The parts of all daemons sum to less than 1 for any number of daemons, and for any
// number of epochs within a window:
//
//   - The holder of a limit uses HomePart. It does not depend on how many holders
//     follow each other, because a holder takes over what its predecessor admitted.
//   - A member of the epoch has a part by its rank for the workspace, which halves from
//     the second rank on. A daemon uses the smallest of its parts in the epochs of
//     the last window, so that no two daemons use the part of one rank within a window.
//   - A daemon that reaches none of the members has an equal part of IsolatedPart. A new
//     process has none until a window has passed, because an earlier one on its VM may
//     have used the same part.
package apportioner

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
)

const (
	// HomePart is the part of the tolerance that the holder of a limit adds to it.
	HomePart = 0.5
	// firstDeputyPart is the part of the members that rank first and second for a
	// workspace. With half as much for each further one, all of them have less than
	// three times that.
	firstDeputyPart = 0.07
	// IsolatedPart is divided among all daemons, for small requests of a daemon that
	// reaches none of the members.
	IsolatedPart = 0.1
	// restartPart is for the home in the first epochs of its process. All daemons may
	// have started together, and without it every limit then begins without tokens. It
	// makes up the rest of the sum, as a limit has one home that is new to it at a time.
	restartPart = 0.1
	// PrefetchPart is divided among all daemons too. It bounds the tokens that a daemon
	// reserves in advance and may use when the holder no longer counts them.
	PrefetchPart = 0.05

	// maxRank bounds the ranks that are told apart.
	maxRank = 60

	// knowledgeLag is how long a daemon may act on an epoch or a version after a newer
	// one took effect: confirmer.StaleAfter, and a second for the change itself.
	knowledgeLag = 5 * time.Second
	// fleetSizeMemory is how long the largest known size of the fleet applies.
	// Daemons that are cut off from each other hear fewer; with a memory of a minute,
	// each of them used the part of a fleet of five after that.
	fleetSizeMemory = 10 * time.Minute
)

// Apportioner computes the parts of one daemon. It is safe for concurrent use.
type Apportioner struct {
	self      epochtracker.Member
	window    time.Duration
	clock     clockwork.Clock
	startedAt time.Time

	mu sync.Mutex
	// epochs holds the epochs that were in force within the retention, oldest first.
	epochs []entry
	// sizes holds the observed sizes of the fleet in descending order of size and
	// ascending order of time; the first is the largest.
	sizes []observation
}

// entry is an epoch and the time at which this daemon entered it.
type entry struct {
	epoch     epochtracker.Epoch
	enteredAt time.Time
}

type observation struct {
	size int
	at   time.Time
}

// New returns the apportioner of a daemon that has just started.
func New(clock clockwork.Clock, self epochtracker.Member, window time.Duration) *Apportioner {
	return &Apportioner{self: self, window: window, clock: clock, startedAt: clock.Now()}
}

// retention is how far back an epoch matters: two daemons that admit within one window
// then agree on the epoch of one moment in it.
func (a *Apportioner) retention() time.Duration {
	return a.window + knowledgeLag
}

// EnterEpoch records the epoch that takes effect now.
func (a *Apportioner) EnterEpoch(epoch epochtracker.Epoch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.epochs = append(a.epochs, entry{epoch: epoch, enteredAt: now})
	for len(a.epochs) > 1 && now.Sub(a.epochs[1].enteredAt) > a.retention() {
		a.epochs = a.epochs[1:]
	}
}

// DeputyPart returns the part of the tolerance that this daemon may use for a
// workspace in any window without holding its limit. It is zero for a daemon that was
// not a member of all epochs of the last window, as far as the fleet existed then.
func (a *Apportioner) DeputyPart(workspace identifier.WorkspaceName) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for len(a.epochs) > 1 && now.Sub(a.epochs[1].enteredAt) > a.retention() {
		a.epochs = a.epochs[1:]
	}
	// Before the first epoch of the fleet there were no members.
	isWhole := len(a.epochs) > 0 && (a.epochs[0].epoch.BasedOn == identifier.NoPosition || now.Sub(a.epochs[0].enteredAt) > a.retention())
	if !isWhole {
		return a.restartPart(workspace)
	}
	worst := 0
	for _, e := range a.epochs {
		rank := slices.IndexFunc(e.epoch.RankedMembers(workspace), func(m epochtracker.Member) bool { return m.Incarnation == a.self.Incarnation })
		if rank < 0 {
			return 0
		}
		worst = max(worst, rank)
	}
	return RankPart(worst)
}

// restartPart returns the part of a process that has not been a member for a whole
// window: none, unless it has been the home in all epochs that it knows. The caller holds
// the lock.
func (a *Apportioner) restartPart(workspace identifier.WorkspaceName) float64 {
	for _, e := range a.epochs {
		ranked := e.epoch.RankedMembers(workspace)
		if len(ranked) == 0 || ranked[0].Incarnation != a.self.Incarnation {
			return 0
		}
	}
	if len(a.epochs) == 0 {
		return 0
	}
	return restartPart
}

// RankPart returns the part of the member with a rank, where the home's rank is zero.
// The home has the part of its deputy, and not a larger one, because it may have been
// the deputy in an earlier epoch of the window.
func RankPart(rank int) float64 {
	return firstDeputyPart / float64(int64(1)<<max(0, min(rank-1, maxRank)))
}

// ObserveFleetSize records how many daemons the fleet has, this one included.
func (a *Apportioner) ObserveFleetSize(size int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.sizes = slices.DeleteFunc(a.sizes, func(o observation) bool {
		return o.size <= size || now.Sub(o.at) > fleetSizeMemory
	})
	a.sizes = append(a.sizes, observation{size: size, at: now})
}

// IsolatedPart returns the part that this daemon may use in any window while it
// reaches none of the members.
func (a *Apportioner) IsolatedPart() float64 {
	if a.clock.Since(a.startedAt) <= a.retention() {
		return 0
	}
	return IsolatedPart / float64(a.FleetSize())
}

// PrefetchPart returns the part that this daemon may have reserved in advance.
func (a *Apportioner) PrefetchPart() float64 {
	return PrefetchPart / float64(a.FleetSize())
}

// FleetSize returns the largest size of the fleet known within fleetSizeMemory.
func (a *Apportioner) FleetSize() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for _, o := range a.sizes {
		if now.Sub(o.at) <= fleetSizeMemory {
			return max(1, o.size)
		}
	}
	if len(a.sizes) > 0 {
		return max(1, a.sizes[len(a.sizes)-1].size)
	}
	return 1
}
