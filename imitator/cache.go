package imitator

import (
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
)

// maxRetainedEvents bounds the cache events that an engine retains.
const maxRetainedEvents = 4096

// prefixCache is an engine's LRU cache of prompt blocks. The blocks are ordered
// from the least to the most recently used. It retains the latest cache events
// for readers.
type prefixCache struct {
	capacity     int
	blocks       []dispatcher.BlockHash
	events       []timestampedEvent
	nextSequence int64
}

type timestampedEvent struct {
	at    time.Time
	event dispatcher.CacheEvent
}

// newPrefixCache returns an empty cache that holds up to capacity blocks.
func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity}
}

// insert caches all blocks and returns how many leading blocks were cached
// before.
func (c *prefixCache) insert(blocks []dispatcher.BlockHash) int {
	hits := 0
	for i, block := range blocks {
		position := slices.Index(c.blocks, block)
		if position < 0 {
			c.add(block)
			continue
		}
		if hits == i {
			hits++
		}
		c.blocks = append(slices.Delete(c.blocks, position, position+1), block)
	}
	return hits
}

// add appends a block and evicts the least recently used one if the cache is
// over its capacity.
func (c *prefixCache) add(block dispatcher.BlockHash) {
	c.blocks = append(c.blocks, block)
	c.recordEvent(block, true)
	if len(c.blocks) <= c.capacity {
		return
	}
	c.recordEvent(c.blocks[0], false)
	c.blocks = c.blocks[1:]
}

func (c *prefixCache) recordEvent(block dispatcher.BlockHash, stored bool) {
	event := dispatcher.CacheEvent{Sequence: c.nextSequence, Block: block, Stored: stored}
	c.nextSequence++
	c.events = append(c.events, timestampedEvent{at: time.Now(), event: event})
	if len(c.events) > maxRetainedEvents {
		c.events = c.events[1:]
	}
}

// eventsFrom returns the events whose sequence number is at least from and that
// were recorded no later than until. If dropEveryNth is above 0, it leaves out
// each event whose sequence number is a multiple of it.
func (c *prefixCache) eventsFrom(from int64, until time.Time, dropEveryNth int) dispatcher.CacheEvents {
	result := dispatcher.CacheEvents{NextSequence: from}
	for _, recorded := range c.events {
		event := recorded.event
		if event.Sequence < from || recorded.at.After(until) {
			continue
		}
		result.NextSequence = event.Sequence + 1
		if dropEveryNth > 0 && event.Sequence%int64(dropEveryNth) == 0 {
			continue
		}
		result.Events = append(result.Events, event)
	}
	return result
}
