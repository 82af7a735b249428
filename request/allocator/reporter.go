package allocator

import (
	"context"
	"sync"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/request/coordinator"
)

// Run delivers events to the coordinators until ctx ends, and returns the error of
// ctx. Each coordinator gets its events in order and in batches.
func (s *Allocator) Run(ctx context.Context) error {
	queues := make(map[identifier.Address]chan coordinator.Event)
	var senders sync.WaitGroup
	defer senders.Wait()
	for {
		select {
		case next := <-s.pendingEvents:
			queue, ok := queues[next.target]
			if !ok {
				queue = make(chan coordinator.Event, eventBuffer)
				queues[next.target] = queue
				senders.Go(func() { s.send(ctx, next.target, queue) })
			}
			select {
			case queue <- next.event:
			default: // the coordinator is gone; its plans end with it
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// send delivers the events of one coordinator until ctx ends.
func (s *Allocator) send(ctx context.Context, target identifier.Address, queue <-chan coordinator.Event) {
	for {
		select {
		case event := <-queue:
			s.deliver(ctx, target, collectBatch(event, queue))
		case <-ctx.Done():
			return
		}
	}
}

// collectBatch returns a batch of the first event and the queued ones, without
// waiting for more.
func collectBatch(first coordinator.Event, queue <-chan coordinator.Event) []coordinator.Event {
	batch := []coordinator.Event{first}
	for len(batch) < maxEventBatch {
		select {
		case event := <-queue:
			batch = append(batch, event)
		default:
			return batch
		}
	}
	return batch
}

// deliver sends a batch to a coordinator, and drops it after maxSettleAttempts
// failed attempts.
func (s *Allocator) deliver(ctx context.Context, target identifier.Address, batch []coordinator.Event) {
	for range maxSettleAttempts {
		sendCtx, cancel := context.WithTimeout(ctx, settleTimeout)
		err := s.SendEvents(sendCtx, target, s.Self, batch)
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
		repeater.Sleep(ctx, s.Clock, settleRetryDelay)
	}
}
