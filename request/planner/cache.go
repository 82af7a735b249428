package planner

import (
	"time"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	// maxEstimatedBlocks bounds the memory of one engine's estimate.
	maxEstimatedBlocks = 4096
	// evictionBatch is how many old blocks are dropped at once.
	evictionBatch = 512
)

// cacheEstimate guesses which blocks an engine has cached. Events come late
// and with gaps, so it is never trusted for anything but speed.
type cacheEstimate struct {
	seenAt map[dispatcher.BlockHash]time.Time
}

func newCacheEstimate() *cacheEstimate {
	return &cacheEstimate{seenAt: make(map[dispatcher.BlockHash]time.Time)}
}

// expectedHit returns the tokens of the leading blocks that seem cached.
func (c *cacheEstimate) expectedHit(blocks []dispatcher.BlockHash) identifier.Tokens {
	hits := 0
	for _, block := range blocks {
		_, ok := c.seenAt[block]
		if !ok {
			break
		}
		hits++
	}
	return identifier.Tokens(hits) * dispatcher.BlockTokens
}

func (c *cacheEstimate) stored(blocks []dispatcher.BlockHash, now time.Time) {
	for _, block := range blocks {
		c.seenAt[block] = now
	}
	if len(c.seenAt) > maxEstimatedBlocks {
		c.dropOldest()
	}
}

func (c *cacheEstimate) evicted(block dispatcher.BlockHash) {
	delete(c.seenAt, block)
}

// dropOldest drops blocks older than the middle of the time span kept, until
// a batch is gone.
func (c *cacheEstimate) dropOldest() {
	var newest, oldest time.Time
	for _, at := range c.seenAt {
		if newest.IsZero() || at.After(newest) {
			newest = at
		}
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	bound := oldest.Add(newest.Sub(oldest) / 2)
	dropped := 0
	for block, at := range c.seenAt {
		if dropped >= evictionBatch {
			return
		}
		if !at.After(bound) {
			delete(c.seenAt, block)
			dropped++
		}
	}
}
