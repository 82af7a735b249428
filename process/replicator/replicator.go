// Package replicator replicates each daemon's running attempts at engines to daemons
// in other availability zones. When a daemon is proven gone, its replicas cancel the
// attempts that no caller resumed, so that they hold no engine memory any longer.
package replicator

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/messenger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
)

const (
	// replicaCount is the number of daemons that hold another one's attempts.
	replicaCount = 2
	// ackTimeout bounds the time that a request waits until a replica has
	// acknowledged its attempts.
	ackTimeout = 100 * time.Millisecond
	// sendTimeout bounds the send of one batch.
	sendTimeout = 500 * time.Millisecond
	// flushInterval is how often attempts that ended are sent.
	flushInterval = 50 * time.Millisecond
)

// Replicator sends this daemon's running attempts to its replicas.
type Replicator struct {
	Self identifier.Incarnation
	Zone identifier.ZoneName
	// Live returns the other live daemons. The replicator sorts the result in place.
	Live func() []heartbeater.Peer
	// Send sends a batch to one replica.
	Send  func(ctx context.Context, address identifier.Address, batch messenger.JournalUpdate) error
	Clock clockwork.Clock
	Log   *slog.Logger

	// wake makes Run send new attempts without waiting for flushInterval.
	wake chan struct{}

	mu sync.Mutex
	// running holds this daemon's attempts by id, one for each engine.
	running map[identifier.AttemptID][]messenger.Attempt
	queues  map[identifier.Incarnation]*replicaQueue
	// batchDone is closed and replaced whenever the send of a batch ends.
	batchDone chan struct{}
}

// replicaQueue holds the changes that one replica has not been sent yet.
type replicaQueue struct {
	// needsSnapshot says that the next batch is to hold all running attempts.
	needsSnapshot bool
	started       []messenger.Attempt
	ended         []identifier.AttemptID
	isSending     bool
}

// New returns a replicator without attempts or replicas.
func New() *Replicator {
	return &Replicator{
		wake:      make(chan struct{}, 1),
		running:   make(map[identifier.AttemptID][]messenger.Attempt),
		queues:    make(map[identifier.Incarnation]*replicaQueue),
		batchDone: make(chan struct{}),
	}
}

// Begin replicates an attempt at one or two engines. It returns when a replica has
// acknowledged it, immediately if there is no replica, and after ackTimeout at the
// latest.
func (r *Replicator) Begin(ctx context.Context, attempts ...messenger.Attempt) {
	r.mu.Lock()
	for _, attempt := range attempts {
		r.running[attempt.ID] = append(r.running[attempt.ID], attempt)
	}
	for _, queue := range r.queues {
		queue.started = append(queue.started, attempts...)
	}
	r.mu.Unlock()
	r.signal()
	r.awaitReplication(ctx, attempts)
}

// awaitReplication waits until one replica has acknowledged the attempts.
func (r *Replicator) awaitReplication(ctx context.Context, attempts []messenger.Attempt) {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	for {
		replicated, done := r.isReplicated(attempts)
		if replicated {
			return
		}
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

// isReplicated reports whether some replica has acknowledged the attempts, or there
// is no replica. Otherwise done is closed when the next batch has been sent.
func (r *Replicator) isReplicated(attempts []messenger.Attempt) (replicated bool, done chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queues) == 0 {
		return true, nil
	}
	for _, queue := range r.queues {
		isPending := queue.needsSnapshot || queue.isSending || slices.ContainsFunc(attempts, func(a messenger.Attempt) bool {
			return slices.Contains(queue.started, a)
		})
		if !isPending {
			return true, nil
		}
	}
	return false, r.batchDone
}

// End removes an attempt that no engine holds any longer.
func (r *Replicator) End(attempt identifier.AttemptID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endLocked(attempt)
}

// MarkReleased records that one engine no longer holds an attempt.
func (r *Replicator) MarkReleased(address identifier.Address, attempt identifier.AttemptID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	remaining := slices.DeleteFunc(r.running[attempt], func(a messenger.Attempt) bool { return a.Address == address })
	if len(remaining) == 0 {
		r.endLocked(attempt)
		return
	}
	r.running[attempt] = remaining
}

func (r *Replicator) endLocked(attempt identifier.AttemptID) {
	_, running := r.running[attempt]
	if !running {
		return
	}
	delete(r.running, attempt)
	for _, queue := range r.queues {
		queue.ended = append(queue.ended, attempt)
	}
}

// RunningCount returns the number of running attempts.
func (r *Replicator) RunningCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// IsFlushed reports whether no attempt is running and all replicas have acknowledged
// that.
func (r *Replicator) IsFlushed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, queue := range r.queues {
		if queue.needsSnapshot || queue.isSending || len(queue.started) > 0 || len(queue.ended) > 0 {
			return false
		}
	}
	return len(r.running) == 0
}

func (r *Replicator) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run sends batches to the replicas until the context ends. New attempts are sent
// immediately, ended ones every flushInterval or with the next batch. Changes during
// a send wait for the batch after it.
func (r *Replicator) Run(ctx context.Context) error {
	ticker := r.Clock.NewTicker(flushInterval)
	defer ticker.Stop()
	var senders sync.WaitGroup
	defer senders.Wait()
	for {
		isTick := false
		select {
		case <-r.wake:
		case <-ticker.Chan():
			isTick = true
		case <-ctx.Done():
			return ctx.Err()
		}
		replicas := r.chooseReplicas()
		r.updateQueues(replicas)
		for _, replica := range replicas {
			batch, ok := r.nextBatch(replica.Incarnation, isTick)
			if ok {
				senders.Go(func() { r.send(ctx, replica, batch) })
			}
		}
	}
}

// chooseReplicas returns the replicas of this daemon by rendezvous hashing. Daemons
// in other availability zones come first, one from each zone; the remaining daemons
// follow in case there are too few zones.
func (r *Replicator) chooseReplicas() []heartbeater.Peer {
	live := slices.Clone(r.Live())
	slices.SortFunc(live, func(a, b heartbeater.Peer) int {
		if rendezvousHash(r.Self, a.Incarnation) < rendezvousHash(r.Self, b.Incarnation) {
			return -1
		}
		return 1
	})
	var replicas, rest []heartbeater.Peer
	zones := map[identifier.ZoneName]bool{r.Zone: true}
	for _, peer := range live {
		if zones[peer.Zone] {
			rest = append(rest, peer)
			continue
		}
		zones[peer.Zone] = true
		replicas = append(replicas, peer)
	}
	replicas = append(replicas, rest...)
	return replicas[:min(replicaCount, len(replicas))]
}

func rendezvousHash(a, b identifier.Incarnation) uint64 {
	return xxhash.Sum64String(string(a) + "/" + string(b))
}

// updateQueues adds a queue that begins with a snapshot for each new replica, and
// drops the queues of former ones.
func (r *Replicator) updateQueues(replicas []heartbeater.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	queues := make(map[identifier.Incarnation]*replicaQueue)
	for _, replica := range replicas {
		queue, ok := r.queues[replica.Incarnation]
		if !ok {
			queue = &replicaQueue{needsSnapshot: true}
		}
		queues[replica.Incarnation] = queue
	}
	r.queues = queues
}

// nextBatch returns the next batch for a replica and marks it as being sent. It
// returns false if nothing is due or a batch is being sent. Ended attempts alone are
// due only with allowEndedOnly.
func (r *Replicator) nextBatch(replica identifier.Incarnation, allowEndedOnly bool) (batch messenger.JournalUpdate, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	queue := r.queues[replica]
	isDue := queue.needsSnapshot || len(queue.started) > 0 || (allowEndedOnly && len(queue.ended) > 0)
	if queue.isSending || !isDue {
		return batch, false
	}
	batch = messenger.JournalUpdate{Incarnation: r.Self, IsSnapshot: queue.needsSnapshot, Started: queue.started, Ended: queue.ended}
	if queue.needsSnapshot {
		batch.Started = r.runningAttempts()
		batch.Ended = nil
	}
	*queue = replicaQueue{isSending: true}
	return batch, true
}

func (r *Replicator) runningAttempts() []messenger.Attempt {
	var all []messenger.Attempt
	for _, attempts := range r.running {
		all = append(all, attempts...)
	}
	return all
}

// send sends a batch to one replica. After a failure the next batch is a snapshot.
func (r *Replicator) send(ctx context.Context, replica heartbeater.Peer, batch messenger.JournalUpdate) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err := r.Send(ctx, replica.Peer, batch)
	r.mu.Lock()
	defer r.mu.Unlock()
	queue, ok := r.queues[replica.Incarnation]
	if ok {
		queue.isSending = false
		queue.needsSnapshot = queue.needsSnapshot || err != nil
	}
	close(r.batchDone)
	r.batchDone = make(chan struct{})
	r.signal()
}
