// Package queuer orders the requests that wait for engines. Interactive requests
// go before batch requests, unless a batch request has waited for PromotionAge.
// Within a class, start-time fair queueing divides the tokens among workspaces by
// weight, and each workspace's requests go earliest deadline first.
package queuer

import (
	"container/heap"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// PromotionAge is how long a batch request waits before it gets the priority of
	// interactive requests, so that no class starves.
	PromotionAge = 10 * time.Second
	// MaxQueueLength is the largest number of requests in a queue.
	MaxQueueLength = 8192
)

// Item is a queued request. It must not change while it is in a queue.
type Item struct {
	Workspace identifier.WorkspaceName
	Class     parser.Class
	// Cost is the number of tokens that is charged to the workspace's fair share.
	Cost identifier.Tokens
	// Weight is the workspace's rate limit in tokens per second.
	Weight   identifier.Tokens
	Arrived  time.Time
	Deadline time.Time

	// heapIndex is the position in the flow's heap.
	heapIndex int
}

// Queue holds the requests that wait for the engines of one model. It is not safe
// for concurrent use.
type Queue struct {
	flows map[flowKey]*flow
	// virtualTime is the highest start tag of the requests taken so far.
	virtualTime float64
	size        int
}

// flowKey identifies a flow.
type flowKey struct {
	workspace identifier.WorkspaceName
	class     parser.Class
}

func (k flowKey) isBefore(other flowKey) bool {
	if k.workspace != other.workspace {
		return k.workspace < other.workspace
	}
	return k.class < other.class
}

// flow holds the queued requests of one workspace and class.
type flow struct {
	items itemHeap
	// startTag is the virtual start time of the flow's next request. Taking a
	// request advances it by the request's cost divided by its weight.
	startTag float64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{flows: make(map[flowKey]*flow)}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int {
	return q.size
}

// Push adds a request. It returns false if the queue is full. A flow that was
// empty starts at the current virtual time or later, so that idle workspaces
// accumulate no credit.
func (q *Queue) Push(item *Item) bool {
	if q.size >= MaxQueueLength {
		return false
	}
	key := flowKey{workspace: item.Workspace, class: item.Class}
	f, ok := q.flows[key]
	if !ok {
		f = &flow{}
		q.flows[key] = f
	}
	if len(f.items) == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	heap.Push(&f.items, item)
	q.size++
	return true
}

// Peek returns the request that goes next, without removing it, or nil if the queue
// is empty.
func (q *Queue) Peek(now time.Time) *Item {
	_, item := q.next(now)
	return item
}

// Take removes a request and charges its cost to its flow. The request must be in
// the queue.
func (q *Queue) Take(item *Item) {
	f := q.remove(item)
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag += float64(item.Cost) / float64(max(item.Weight, 1))
}

// Drop removes a request without charging its cost. The request must be in the
// queue.
func (q *Queue) Drop(item *Item) {
	q.remove(item)
}

// Expired returns the requests whose deadline is before the given time, in no
// particular order. They stay in the queue.
func (q *Queue) Expired(before time.Time) []*Item {
	var expired []*Item
	for _, f := range q.flows {
		for _, item := range f.items {
			if item.Deadline.Before(before) {
				expired = append(expired, item)
			}
		}
	}
	return expired
}

// remove deletes a request from the queue and returns its flow.
func (q *Queue) remove(item *Item) *flow {
	f := q.flows[flowKey{workspace: item.Workspace, class: item.Class}]
	heap.Remove(&f.items, item.heapIndex)
	q.size--
	return f
}

// next returns the first request of the flow that goes next: the one with the best
// priority, then with the lowest start tag, then with the lowest key, which makes
// the order deterministic.
func (q *Queue) next(now time.Time) (bestKey flowKey, bestItem *Item) {
	bestPriority := 0
	bestStart := 0.0
	for key, f := range q.flows {
		if len(f.items) == 0 {
			continue
		}
		priority := priorityOf(f.items, now)
		better := bestItem == nil || priority < bestPriority
		if bestItem != nil && priority == bestPriority {
			better = f.startTag < bestStart || (f.startTag == bestStart && key.isBefore(bestKey))
		}
		if better {
			bestKey, bestItem, bestPriority, bestStart = key, f.items[0], priority, f.startTag
		}
	}
	return bestKey, bestItem
}

// priorityOf returns the priority of a flow, which must not be empty. Priority 0
// goes before 1. It is that of interactive flows, and of flows whose first request
// has waited for PromotionAge.
func priorityOf(items itemHeap, now time.Time) int {
	first := items[0]
	if first.Class == parser.ClassInteractive || now.Sub(first.Arrived) >= PromotionAge {
		return 0
	}
	return 1
}

// itemHeap is a heap of requests with the earliest deadline first.
type itemHeap []*Item

// Len implements heap.Interface.
func (h itemHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h itemHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }

// Swap implements heap.Interface.
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.heapIndex = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return item
}
