package planner

import (
	"time"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	// maxEstimatedBlocks is the number of blocks of one engine's estimate above
	// which old blocks are evicted.
	maxEstimatedBlocks = 4096
	// evictionBatch is the largest number of blocks evicted at once.
	evictionBatch = 512
)

// cacheEstimate tracks which prompt blocks an engine has probably cached. Cache
// events arrive late and with gaps, so a wrong estimate may only affect latency,
// never correctness.
type cacheEstimate struct {
	lastSeen map[dispatcher.BlockHash]time.Time
}

func newCacheEstimate() *cacheEstimate {
	return &cacheEstimate{lastSeen: make(map[dispatcher.BlockHash]time.Time)}
}

// cachedPrefix returns the number of tokens in the leading blocks of a prompt that
// are probably cached.
func (c *cacheEstimate) cachedPrefix(blocks []dispatcher.BlockHash) identifier.Tokens {
	hits := 0
	for _, block := range blocks {
		_, ok := c.lastSeen[block]
		if !ok {
			break
		}
		hits++
	}
	return identifier.Tokens(hits) * dispatcher.BlockTokens
}

func (c *cacheEstimate) recordStored(blocks []dispatcher.BlockHash, now time.Time) {
	for _, block := range blocks {
		c.lastSeen[block] = now
	}
	if len(c.lastSeen) > maxEstimatedBlocks {
		c.evictOldest()
	}
}

func (c *cacheEstimate) recordEvicted(block dispatcher.BlockHash) {
	delete(c.lastSeen, block)
}

// evictOldest removes up to evictionBatch blocks from the older half of the time
// span that the estimate covers.
func (c *cacheEstimate) evictOldest() {
	var newest, oldest time.Time
	for _, at := range c.lastSeen {
		if newest.IsZero() || at.After(newest) {
			newest = at
		}
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	cutoff := oldest.Add(newest.Sub(oldest) / 2)
	evicted := 0
	for block, at := range c.lastSeen {
		if evicted >= evictionBatch {
			return
		}
		if !at.After(cutoff) {
			delete(c.lastSeen, block)
			evicted++
		}
	}
}
