package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The rule is that of longRead: nothing reaches a server later than drainTime after the store's ack
// of its leaving.
const (
	// A write that got no answer is carried out writeDelay later. That is 1 to 6 s on the pages.
	writeDelay = 5800 * time.Millisecond
	// drainAfter is the time from that write to the drain, when the store has been stable for
	// stabilityWindow.
	drainAfter   = stabilityWindow + 300*time.Millisecond
	staySpan     = 6 * time.Second
	lateGap      = 14 * time.Second
	lateRuns     = 4
	lateServers  = 4
	plainWork    = 20 * time.Millisecond
	lateInterval = 20 * time.Millisecond
)

// lateWrite loses the answer of a heartbeat of a server that is about to leave. The store carries the
// heartbeat out seconds later, when the server is draining.
func lateWrite(r *run) (isBroken bool) {
	st, err := startStore()
	if err != nil {
		r.fail("%v", err)
	}
	var mu sync.Mutex
	acks := make(map[string]time.Time)
	isLate := make(map[string]bool)
	lost := make(map[int]int)
	onArrival := func(s *server, _ int, req *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		id := req.Header.Get("Attempt-Id")
		ack, isLeaving := acks[s.name]
		r.note("%s: request %s, leaving %t", s.name, id, isLeaving)
		if isLeaving && time.Since(ack) > drainTime {
			isLate[id] = true
			r.note("%s: request %s has come %s after the ack of its leaving", s.name, id, time.Since(ack).Round(time.Millisecond))
		}
	}
	var servers []*server
	for i := range lateServers {
		s := &server{
			run: r, store: st, name: fmt.Sprintf("i-a%d", i), service: "app", zone: "bc-lower-a", slots: 6, onArrival: onArrival,
			handle: func(s *server, _ int, w http.ResponseWriter, req *http.Request) {
				time.Sleep(plainWork)
				s.answer(w, req)
			},
		}
		servers = append(servers, s)
		s.start()
	}
	st.publish(1, []any{route("/book/", "unsafe", "app", 1)}, "key-1")
	for i := range 3 {
		r.startDaemon(i, st.address)
	}
	r.awaitReady()
	time.Sleep(4 * time.Second)
	end := time.Now().Add(lateGap * lateRuns)
	go func() {
		for n := range lateRuns {
			s := servers[n%lateServers]
			time.Sleep(time.Second)
			if r.isTroubled {
				s.registerLate(writeDelay)
			}
			time.Sleep(drainAfter)
			s.drain()
			mu.Lock()
			acks[s.name] = time.Now()
			mu.Unlock()
			time.Sleep(staySpan)
			s.leave()
			time.Sleep(time.Second)
			mu.Lock()
			delete(acks, s.name)
			mu.Unlock()
			s.start()
			time.Sleep(lateGap - time.Second - drainAfter - staySpan - time.Second)
		}
	}()
	every(lateInterval, end, func(n int) {
		req := &request{id: newID(), method: http.MethodPost, path: "/book/1", key: "key-1", deadline: 1500 * time.Millisecond, body: []byte("lock"), daemon: r.daemons[n%len(r.daemons)]}
		a := r.send(req)
		mu.Lock()
		defer mu.Unlock()
		lost[a.status]++
		r.note("%s sent to %s: status %d, error %v", req.id, req.daemon.name, a.status, a.err)
	})
	mu.Lock()
	defer mu.Unlock()
	r.say("%d requests reached a server later than %s after the ack of its leaving; statuses: %v", len(isLate), drainTime, lost)
	if lost[http.StatusOK] == 0 {
		r.fail("no request was served")
	}
	return len(isLate) > 0
}
