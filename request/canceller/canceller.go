// Package canceller cancels attempts at engines whose results are no longer needed.
// It repeats each cancellation until the engine acknowledges it or is taken to have
// stopped.
package canceller

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/repeater"
)

const (
	// cancelTimeout bounds one request to an engine.
	cancelTimeout = time.Second
	minBackoff    = 50 * time.Millisecond
	maxBackoff    = time.Second
	// giveUpAfter is the age of an engine's sender from which a failed send drops
	// the cancellations it contains. The engine is then taken to have stopped and to
	// run no attempts.
	giveUpAfter = 2 * time.Minute
	// queueCapacity is the number of cancellations that can wait for Run.
	queueCapacity = 1024
)

// cancellation identifies an attempt to cancel and the engine that runs it.
type cancellation struct {
	address identifier.Address
	attempt identifier.AttemptID
}

// Canceller sends cancellations to engines, one batch at a time to each engine. It is
// safe for concurrent use.
type Canceller struct {
	// Send cancels attempts at an engine. It returns nil if the engine
	// acknowledged all of them.
	Send func(ctx context.Context, address identifier.Address, attempts []identifier.AttemptID) error
	// OnReleased is called for each attempt that an engine no longer runs: the
	// engine acknowledged its cancellation, or is taken to have stopped.
	OnReleased func(address identifier.Address, attempt identifier.AttemptID)

	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter

	cancellations chan cancellation

	mu sync.Mutex
	// queues holds the attempts of each engine whose cancellation is not
	// acknowledged, oldest first. An engine without an entry has no sender.
	queues map[identifier.Address][]identifier.AttemptID
}

// New returns a canceller without pending cancellations. Send, Clock, Log and Meter
// must be set before Run.
func New() *Canceller {
	return &Canceller{
		OnReleased:    func(identifier.Address, identifier.AttemptID) {},
		cancellations: make(chan cancellation, queueCapacity),
		queues:        make(map[identifier.Address][]identifier.AttemptID),
	}
}

// Cancel queues the cancellation of an attempt at an engine. It blocks while 1,024
// cancellations wait for Run.
func (c *Canceller) Cancel(address identifier.Address, attempt identifier.AttemptID) {
	c.cancellations <- cancellation{address: address, attempt: attempt}
}

// Pending returns the number of cancellations that are neither acknowledged nor
// dropped.
func (c *Canceller) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := len(c.cancellations)
	for _, queue := range c.queues {
		pending += len(queue)
	}
	return pending
}

// Run sends cancellations until the context ends, with one sender goroutine for each
// engine that has pending ones. It returns the context's error after all senders have
// stopped.
func (c *Canceller) Run(ctx context.Context) error {
	var senders sync.WaitGroup
	defer senders.Wait()
	for {
		select {
		case next := <-c.cancellations:
			if c.enqueue(next) {
				senders.Go(func() { c.sendQueue(ctx, next.address) })
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// enqueue adds a cancellation to its engine's queue. It reports whether the
// engine has no sender yet.
func (c *Canceller) enqueue(next cancellation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue, hasSender := c.queues[next.address]
	c.queues[next.address] = append(queue, next.attempt)
	return !hasSender
}

// sendQueue sends the cancellations of an engine until its queue is empty or the
// context ends. It repeats failed ones with exponential backoff.
func (c *Canceller) sendQueue(ctx context.Context, address identifier.Address) {
	backoff := minBackoff
	started := c.Clock.Now()
	for {
		attempts := c.pendingAttempts(address)
		if len(attempts) == 0 || ctx.Err() != nil {
			return
		}
		sendCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
		err := c.Send(sendCtx, address, attempts)
		cancel()
		if err == nil || c.Clock.Since(started) > giveUpAfter {
			c.release(address, attempts)
			backoff = minBackoff
			continue
		}
		c.Meter.CountRetry(meter.RetryCancel)
		c.Log.Debug("Cannot cancel attempts at an engine.", "engine", address, "attempts", len(attempts), "err", err)
		repeater.Sleep(ctx, c.Clock, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// pendingAttempts returns the queue of an engine. It removes an empty queue, so
// that the next cancellation starts a new sender.
func (c *Canceller) pendingAttempts(address identifier.Address) []identifier.AttemptID {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.queues[address]
	if len(queue) == 0 {
		delete(c.queues, address)
	}
	return queue
}

// release removes attempts from the head of an engine's queue and reports them to
// OnReleased.
func (c *Canceller) release(address identifier.Address, attempts []identifier.AttemptID) {
	c.mu.Lock()
	c.queues[address] = c.queues[address][len(attempts):]
	c.mu.Unlock()
	for _, attempt := range attempts {
		c.OnReleased(address, attempt)
	}
}
