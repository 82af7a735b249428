package imitator

import (
	"context"
	"slices"
	"sync"
)

// semaphore is a counting semaphore with a priority queue. A free slot goes to the
// waiter with the lowest priority value, and to the first to arrive among equals.
type semaphore struct {
	mu      sync.Mutex
	free    int
	limit   int
	waiters []*waiter
}

type waiter struct {
	priority int
	admitted chan struct{}
}

func newSemaphore(limit int) *semaphore {
	return &semaphore{free: limit, limit: limit}
}

// acquire waits for a slot. It returns false if the context ended first.
func (s *semaphore) acquire(ctx context.Context, priority int) bool {
	w := s.enqueue(priority)
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	index := slices.Index(s.waiters, w)
	if index < 0 { // admitted while the context ended
		s.releaseLocked()
		return false
	}
	s.waiters = slices.Delete(s.waiters, index, index+1)
	return false
}

// enqueue returns a waiter that is admitted already if a slot is free, and queued
// otherwise.
func (s *semaphore) enqueue(priority int) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &waiter{priority: priority, admitted: make(chan struct{})}
	if s.free > 0 {
		s.free--
		close(w.admitted)
		return w
	}
	index := len(s.waiters)
	for index > 0 && priority < s.waiters[index-1].priority {
		index--
	}
	s.waiters = slices.Insert(s.waiters, index, w)
	return w
}

// release frees a slot, which goes to the first waiter if there is one.
func (s *semaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *semaphore) releaseLocked() {
	if len(s.waiters) == 0 {
		s.free++
		return
	}
	close(s.waiters[0].admitted)
	s.waiters = s.waiters[1:]
}

// inUse returns how many slots are taken.
func (s *semaphore) inUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit - s.free
}
