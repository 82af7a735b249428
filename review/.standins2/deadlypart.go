package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The rule: more than three requests with a part that crashes servers reach servers, sent later
// than stabilityWindowMs after the fifth crash.
const (
	deadly            = "dead0001"
	stabilityWindow   = 3 * time.Second
	countedCrashes    = 5
	allowedAfterCrash = 3
	engineDownTime    = 2 * time.Second
	deadlyPartSpan    = 80 * time.Second
)

// deadlyPart sends requests with a part of a prompt that crashes each decode engine as it
// begins to write an answer. The engine is back after some seconds, under its identifier.
func deadlyPart(r *run) (isBroken bool) {
	st, err := startStore()
	if err != nil {
		r.fail("%v", err)
	}
	var mu sync.Mutex
	var crashes []time.Time
	reached := make(map[string]bool)
	sentAt := make(map[string]time.Time)
	onArrival := func(s *server, boot int, req *http.Request) {
		id := req.Header.Get("Attempt-Id")
		isDeadly := strings.Contains(req.Header.Get("Prompt-Prefix"), deadly)
		r.note("%s, boot %d: request %s, prefill %t, deadly part %t", s.name, boot, id, req.Header.Get("Serving-Stage") == "prefill", isDeadly)
		if isDeadly {
			mu.Lock()
			reached[id] = true
			mu.Unlock()
		}
	}
	prefill := &server{run: r, store: st, name: "i-p1", service: "llm", zone: "bc-lower-a", stage: "prefill", slots: 48, onArrival: onArrival}
	prefill.handle = func(_ *server, _ int, w http.ResponseWriter, req *http.Request) {
		if req.Header.Get("Serving-Stage") != "prefill" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"kvHandle":"%s","tokens":1000,"version":1}`, newID())
	}
	decode := &server{run: r, store: st, name: "i-d1", service: "llm", zone: "bc-lower-b", stage: "decode", slots: 48, onArrival: onArrival}
	decode.handle = func(s *server, boot int, w http.ResponseWriter, req *http.Request) {
		if strings.Contains(req.Header.Get("Prompt-Prefix"), deadly) && r.isTroubled {
			if s.crashIn(boot, w) {
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				time.AfterFunc(engineDownTime, s.start)
			}
			return
		}
		s.stream(w, req)
	}
	prefill.start()
	decode.start()
	st.publish(1, []any{route("/sum/", "streaming", "llm", 1)}, "key-1")
	for i := range 3 {
		r.startDaemon(i, st.address)
	}
	r.awaitReady()
	time.Sleep(4 * time.Second)
	served := 0
	every(500*time.Millisecond, time.Now().Add(deadlyPartSpan), func(n int) {
		part, isDeadly := "5c1e07a2", n%2 == 1
		if isDeadly {
			part = deadly
		}
		req := &request{
			id: newID(), method: http.MethodPost, path: "/sum/1", key: "key-1", deadline: 14 * time.Second, body: []byte("sheet"), daemon: r.daemons[n%len(r.daemons)],
			header: map[string]string{"Model": "m", "Token-Usage": fmt.Sprintf("%d,80", 1000+n), "Prompt-Prefix": fmt.Sprintf("%s:200,%s:800", part, newID())},
		}
		mu.Lock()
		sentAt[req.id] = time.Now()
		mu.Unlock()
		a := r.send(req)
		mu.Lock()
		defer mu.Unlock()
		if a.status == http.StatusOK && !isDeadly {
			served++
		}
		r.note("%s sent to %s, deadly part %t: status %d, Retry-After %q, error %v", req.id, req.daemon.name, isDeadly, a.status, a.retryAfter, a.err)
	})
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= countedCrashes {
		limit := crashes[countedCrashes-1].Add(stabilityWindow)
		for id := range reached {
			if sentAt[id].After(limit) {
				late++
			}
		}
	}
	r.say("%d crashes; %d requests with the part reached servers that were sent later than %s after the fifth; %d sound requests were served", len(crashes), late, stabilityWindow, served)
	if served == 0 {
		r.fail("no request was served")
	}
	return late > allowedAfterCrash
}

// crashIn crashes the boot that answers a request: it begins its answer, and breaks off. It
// returns false if the boot has crashed already.
func (s *server) crashIn(boot int, w http.ResponseWriter) bool {
	s.mu.Lock()
	isRunning := s.boot == boot && s.http != nil
	s.mu.Unlock()
	if !isRunning {
		return false
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Server-Signature", "3e1b."+s.name)
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	s.crash()
	return true
}

// stream writes an answer of ten events.
func (s *server) stream(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Server-Signature", "3e1b."+s.name+"."+req.Header.Get("Attempt-Id"))
	for i := range 10 {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-req.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", i+1)
		_ = http.NewResponseController(w).Flush()
	}
}
