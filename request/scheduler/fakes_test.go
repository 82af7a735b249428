package scheduler

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
)

const (
	fakePrefillRate = 20_000.0  // tokens a second
	fakeLinkRate    = 400_000.0 // tokens a second
	fakeSeats       = 20
	fakeLifetime    = 800 * time.Millisecond
	fakeCacheBlocks = 40
	baseTokenTime   = 30 * time.Millisecond
	perRequestTime  = 1200 * time.Microsecond
)

// agenda runs what is due, in order, on a fake clock.
type agenda struct {
	clock  *clockwork.FakeClock
	due    dueHeap
	serial int
}

type dueItem struct {
	at     time.Time
	serial int
	run    func()
}

type dueHeap []dueItem

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].serial < h[j].serial
	}
	return h[i].at.Before(h[j].at)
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)   { *h = append(*h, x.(dueItem)) }
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	*h = (*h)[:last]
	return item
}

func (a *agenda) after(d time.Duration, run func()) {
	a.serial++
	heap.Push(&a.due, dueItem{at: a.clock.Now().Add(d), serial: a.serial, run: run})
}

// until runs everything that is due before a time.
func (a *agenda) until(end time.Time) {
	for len(a.due) > 0 && a.due[0].at.Before(end) {
		item := heap.Pop(&a.due).(dueItem)
		a.clock.Advance(item.at.Sub(a.clock.Now()))
		item.run()
	}
}

// fakePrefill computes one prompt at a time and exports over its link.
type fakePrefill struct {
	*agenda
	name      identifier.UpstreamName
	freeAt    time.Time
	linkFree  time.Time
	stalled   bool
	queued    identifier.Tokens
	blocks    map[dispatcher.BlockHash]time.Time
	events    []dispatcher.CacheEvent
	prefills  int
	wasted    int
	eventGaps bool
	rng       *rand.Rand
}

// compute calls done when the prompt is prefilled.
func (p *fakePrefill) compute(tokens identifier.Tokens, blocks []dispatcher.BlockHash, done func()) {
	p.prefills++
	hits := 0
	for _, block := range blocks {
		if _, ok := p.blocks[block]; !ok {
			break
		}
		hits++
	}
	work := tokens - identifier.Tokens(hits)*dispatcher.BlockTokens
	start := later(p.freeAt, p.clock.Now())
	p.freeAt = start.Add(seconds(float64(work) / fakePrefillRate))
	p.queued += work
	p.after(p.freeAt.Sub(p.clock.Now()), func() {
		p.queued -= work
		p.remember(blocks)
		done()
	})
}

// remember keeps blocks, least recently used ones go, and events may be lost.
func (p *fakePrefill) remember(blocks []dispatcher.BlockHash) {
	for _, block := range blocks {
		p.blocks[block] = p.clock.Now()
		p.publish(block, true)
	}
	for len(p.blocks) > fakeCacheBlocks {
		var oldest dispatcher.BlockHash
		at := p.clock.Now().Add(time.Hour)
		for block, used := range p.blocks {
			if used.Before(at) || (used.Equal(at) && block < oldest) {
				oldest, at = block, used
			}
		}
		delete(p.blocks, oldest)
		p.publish(oldest, false)
	}
}

func (p *fakePrefill) publish(block dispatcher.BlockHash, stored bool) {
	if p.eventGaps && p.rng.IntN(5) == 0 {
		return
	}
	p.events = append(p.events, dispatcher.CacheEvent{Block: block, Stored: stored})
}

// export moves a KV cache; on a stalled link nothing ever arrives.
func (p *fakePrefill) export(tokens identifier.Tokens, done func()) {
	if p.stalled {
		return
	}
	start := later(p.linkFree, p.clock.Now())
	p.linkFree = start.Add(seconds(float64(tokens) / fakeLinkRate))
	p.after(p.linkFree.Sub(p.clock.Now()), done)
}

// fakeDecode generates tokens for as many requests as it has seats; others
// wait in line.
type fakeDecode struct {
	*agenda
	name    identifier.UpstreamName
	running map[*job]bool
	line    []func()
	taken   int
	dead    bool
}

// seat calls start when there is a seat.
func (d *fakeDecode) seat(start func()) {
	if d.dead {
		return
	}
	if d.taken < fakeSeats {
		d.taken++
		start()
		return
	}
	d.line = append(d.line, start)
}

func (d *fakeDecode) free() {
	d.taken--
	if len(d.line) == 0 || d.dead {
		return
	}
	next := d.line[0]
	d.line = d.line[1:]
	d.taken++
	next()
}

// tokenTime grows with the batch.
func (d *fakeDecode) tokenTime() time.Duration {
	return baseTokenTime + time.Duration(len(d.running))*perRequestTime
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
