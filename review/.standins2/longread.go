package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The rule: a request reaches a server later than drainMs after the store's ack of the server's
// leaving.
const (
	drainTime = 2 * time.Second
	// lingerTime is how much longer a leaving server serves.
	lingerTime = time.Second
	// A prompt engine reads prompts one after the other, 55.6 tokens a ms. One of the eight
	// engines takes slowFactor times as long for slowTime. The prompts have promptTokens, which
	// is within the sheet's 11,000.
	promptTokens   = 10_000
	readTime       = 180 * time.Millisecond
	slowFactor     = 8
	slowTime       = 6 * time.Second
	slowBefore     = 600 * time.Millisecond
	prefillEngines = 6
	decodeEngines  = 2
	drainGap       = 10 * time.Second
	drainRuns      = 10
)

// longRead drains a decode engine while a slow prefill engine reads prompts for it.
func longRead(r *run) (isBroken bool) {
	st, err := startStore()
	if err != nil {
		r.fail("%v", err)
	}
	var mu sync.Mutex
	acks := make(map[string]time.Time)
	isLate := make(map[string]bool)
	var slowUntil time.Time
	var freeAt [prefillEngines]time.Time
	cut, served, refused, lateCut := 0, 0, 0, 0
	onArrival := func(s *server, _ int, req *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		id := req.Header.Get("Attempt-Id")
		ack, isLeaving := acks[s.name]
		r.note("%s: request %s, prefill %t", s.name, id, req.Header.Get("Serving-Stage") == "prefill")
		if isLeaving && time.Since(ack) > drainTime {
			isLate[id] = true
			r.note("%s: request %s has come %s after the ack of its leaving", s.name, id, time.Since(ack).Round(time.Millisecond))
		}
	}
	for i := range prefillEngines {
		prefill := &server{run: r, store: st, name: fmt.Sprintf("i-p%d", i), service: "llm", zone: "bc-lower-a", stage: "prefill", slots: 48, onArrival: onArrival}
		prefill.handle = func(_ *server, _ int, w http.ResponseWriter, req *http.Request) {
			if req.Header.Get("Serving-Stage") != "prefill" {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			mu.Lock()
			takes := readTime
			if i == 0 && time.Now().Before(slowUntil) {
				takes *= slowFactor
			}
			now := time.Now()
			if freeAt[i].Before(now) {
				freeAt[i] = now
			}
			freeAt[i] = freeAt[i].Add(takes)
			doneAt := freeAt[i]
			mu.Unlock()
			select {
			case <-time.After(time.Until(doneAt)):
			case <-req.Context().Done():
				// The rest of the prompt is not read.
				mu.Lock()
				freeAt[i] = freeAt[i].Add(-min(takes, time.Until(doneAt)))
				mu.Unlock()
				return
			}
			w.Header().Set("Content-Type", "application/json")
			_, _ = fmt.Fprintf(w, `{"kvHandle":"%s","tokens":%d,"version":1}`, newID(), promptTokens)
		}
		prefill.start()
	}
	var decodes []*server
	for i := range decodeEngines {
		s := &server{
			run: r, store: st, name: fmt.Sprintf("i-d%d", i), service: "llm", zone: "bc-lower-b", stage: "decode", slots: 48, onArrival: onArrival,
			handle: func(s *server, _ int, w http.ResponseWriter, req *http.Request) { s.stream(w, req) },
		}
		decodes = append(decodes, s)
		s.start()
	}
	st.publish(1, []any{route("/sum/", "streaming", "llm", 1)}, "key-1")
	for i := range 3 {
		r.startDaemon(i, st.address)
	}
	r.awaitReady()
	time.Sleep(4 * time.Second)
	end := time.Now().Add(drainGap * drainRuns)
	go func() {
		for n := range drainRuns {
			s := decodes[n%decodeEngines]
			time.Sleep(drainGap/2 - slowBefore)
			if r.isTroubled {
				mu.Lock()
				slowUntil = time.Now().Add(slowTime)
				mu.Unlock()
				r.note("i-p0 is slow")
			}
			time.Sleep(slowBefore)
			s.drain()
			mu.Lock()
			acks[s.name] = time.Now()
			mu.Unlock()
			time.Sleep(drainTime + lingerTime)
			s.leave()
			time.Sleep(time.Second)
			mu.Lock()
			delete(acks, s.name)
			mu.Unlock()
			s.start()
			time.Sleep(drainGap/2 - drainTime - lingerTime - time.Second)
		}
	}()
	every(80*time.Millisecond, end, func(n int) {
		req := &request{
			id: newID(), method: http.MethodPost, path: "/sum/1", key: "key-1", deadline: 14 * time.Second, body: []byte("sheet"), daemon: r.daemons[n%len(r.daemons)], patience: streamPatience,
			header: map[string]string{"Model": "m", "Token-Usage": fmt.Sprintf("%d,80", promptTokens+n%100), "Prompt-Prefix": fmt.Sprintf("%s:200,%s:%d", newID()[:8], newID(), promptTokens-200+n%100)},
		}
		a := r.send(req)
		mu.Lock()
		defer mu.Unlock()
		switch a.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
		default:
			cut++
			if isLate[req.id] {
				lateCut++
			}
		}
		r.note("%s sent to %s: status %d, error %v", req.id, req.daemon.name, a.status, a.err)
	})
	mu.Lock()
	defer mu.Unlock()
	r.say("%d requests reached a decode engine later than %s after the ack of its leaving, and %d of them got no complete answer; of all, %d were served, %d refused, %d failed", len(isLate), drainTime, lateCut, served, refused, cut)
	if served == 0 {
		r.fail("no request was served")
	}
	return len(isLate) > 0
}
