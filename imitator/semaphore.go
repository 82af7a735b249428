package imitator

import (
	"context"
	"slices"
	"sync"
)

// semaphore lets a number of callers in at once. Those that wait enter by rising
// priority, and in order of arrival within one.
type semaphore struct {
	mu    sync.Mutex
	free  int
	limit int
	line  []*waiter
}

type waiter struct {
	priority int
	admitted chan struct{}
}

func newSemaphore(limit int) *semaphore {
	return &semaphore{free: limit, limit: limit}
}

// acquire waits for a place. It reports false where the context ended first.
func (s *semaphore) acquire(ctx context.Context, priority int) bool {
	own := s.queue(priority)
	select {
	case <-own.admitted:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := slices.Index(s.line, own)
	if at < 0 { // admitted meanwhile
		s.releaseLocked()
		return false
	}
	s.line = slices.Delete(s.line, at, at+1)
	return false
}

func (s *semaphore) queue(priority int) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := &waiter{priority: priority, admitted: make(chan struct{})}
	if s.free > 0 {
		s.free--
		close(own.admitted)
		return own
	}
	at := len(s.line)
	for at > 0 && priority < s.line[at-1].priority {
		at--
	}
	s.line = slices.Insert(s.line, at, own)
	return own
}

// release gives a place back.
func (s *semaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *semaphore) releaseLocked() {
	if len(s.line) == 0 {
		s.free++
		return
	}
	close(s.line[0].admitted)
	s.line = s.line[1:]
}

// inside returns how many callers are in.
func (s *semaphore) inside() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit - s.free
}
