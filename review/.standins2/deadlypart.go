package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The rules: from 2 x stabilityWindowMs after the fifth crash, sound requests of the route begin at
// the first attempt less than half as often as outside disturbance; and more than three requests
// with a part that crashes servers reach servers, sent later than stabilityWindowMs after the
// fifth crash.
const (
	deadly            = "dead0001"
	stabilityWindow   = 3 * time.Second
	countedCrashes    = 5
	allowedAfterCrash = 3
	engineDownTime    = 3 * time.Second
	calmSpan          = 12 * time.Second
	deadlyPartSpan    = 85 * time.Second
	// minSound is the number of sound requests that the rule asks for.
	minSound = 20
)

// deadlyPart lets the part crash the only decode engine before the first event of the answer. The
// engine is back after some seconds, under its identifier.
func deadlyPart(r *run) (isBroken bool) {
	return r.sendDeadlyParts(1, false, false)
}

// deadlyLater lets the part crash each of four decode engines a moment after the first event. An
// engine is back after some seconds, under a new identifier.
func deadlyLater(r *run) (isBroken bool) {
	return r.sendDeadlyParts(4, true, true)
}

// deadlyControl is like deadlyPart, with a new identifier at each start. The rules hold.
func deadlyControl(r *run) (isBroken bool) {
	return r.sendDeadlyParts(1, false, true)
}

// crashDelay is the time from the first event to the crash.
const crashDelay = 100 * time.Millisecond

// sendDeadlyParts sends requests with a part of a prompt that crashes each decode engine that
// begins to write an answer on it.
func (r *run) sendDeadlyParts(engines int, isLater, hasNewName bool) (isBroken bool) {
	st, err := startStore()
	if err != nil {
		r.fail("%v", err)
	}
	var mu sync.Mutex
	var crashes []time.Time
	reached := make(map[string]bool)
	sentAt := make(map[string]time.Time)
	begins := make(map[string]bool)
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
	for i := range engines {
		decode := &server{run: r, store: st, name: fmt.Sprintf("i-d%d", i), service: "llm", zone: "bc-lower-b", stage: "decode", slots: 48, onArrival: onArrival}
		decode.handle = func(s *server, boot int, w http.ResponseWriter, req *http.Request) {
			if !strings.Contains(req.Header.Get("Prompt-Prefix"), deadly) || !r.isTroubled {
				mu.Lock()
				begins[req.Header.Get("Attempt-Id")] = true
				mu.Unlock()
				s.stream(w, req)
				return
			}
			s.beginStream(w, req)
			if isLater {
				writeEvent(w, 1)
				time.Sleep(crashDelay)
			}
			if !s.crashIn(boot) {
				return
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			if hasNewName {
				s.replace(fmt.Sprintf("i-d%d-%d", i, boot))
			}
			time.AfterFunc(engineDownTime, s.start)
		}
		decode.start()
	}
	prefill.start()
	st.publish(1, []any{route("/sum/", "streaming", "llm", 1)}, "key-1")
	for i := range 3 {
		r.startDaemon(i, st.address)
	}
	r.awaitReady()
	time.Sleep(4 * time.Second)
	var sound []soundRequest
	firstDeadly := time.Now().Add(calmSpan)
	every(500*time.Millisecond, time.Now().Add(calmSpan+deadlyPartSpan), func(n int) {
		// Both kinds have the first part in common, and each request has a last part of its own.
		part, isDeadly := "91bd3f06", n%2 == 1 && time.Now().After(firstDeadly)
		if isDeadly {
			part = deadly
		}
		req := &request{
			id: newID(), method: http.MethodPost, path: "/sum/1", key: "key-1", deadline: 14 * time.Second, body: []byte("sheet"), daemon: r.daemons[n%len(r.daemons)], patience: streamPatience,
			header: map[string]string{"Model": "m", "Token-Usage": fmt.Sprintf("%d,80", 1000+n), "Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%s:200,%s:%d", part, newID(), 600+n)},
		}
		mu.Lock()
		sentAt[req.id] = time.Now()
		mu.Unlock()
		a := r.send(req)
		mu.Lock()
		defer mu.Unlock()
		if !isDeadly {
			sound = append(sound, soundRequest{sentAt: sentAt[req.id], hasBegun: begins[req.id]})
		}
		r.note("%s sent to %s, deadly part %t: status %d, Retry-After %q, error %v", req.id, req.daemon.name, isDeadly, a.status, a.retryAfter, a.err)
	})
	mu.Lock()
	defer mu.Unlock()
	var fifthOrLast time.Time
	late := 0
	if len(crashes) > 0 {
		fifthOrLast = crashes[min(len(crashes), countedCrashes)-1]
	}
	if len(crashes) >= countedCrashes {
		for id := range reached {
			if sentAt[id].After(fifthOrLast.Add(stabilityWindow)) {
				late++
			}
		}
	}
	calm := shareBegun(sound, func(at time.Time) bool { return at.Before(firstDeadly) })
	troubled := shareBegun(sound, func(at time.Time) bool { return at.After(firstDeadly) })
	if len(crashes) > 0 {
		troubled = shareBegun(sound, func(at time.Time) bool { return at.After(fifthOrLast.Add(2 * stabilityWindow)) })
	}
	isLost := calm.count >= minSound && troubled.count >= minSound && 2*troubled.share() < calm.share()
	r.say("%d crashes; %d requests with the part reached servers that were sent later than %s after the fifth; of the sound requests, %d of %d began before the first, and %d of %d later than %s after the fifth crash",
		len(crashes), late, stabilityWindow, calm.begun, calm.count, troubled.begun, troubled.count, 2*stabilityWindow)
	r.say("LOST broken: %t; BUDGET broken: %t", isLost, late > allowedAfterCrash)
	if calm.begun == 0 {
		r.fail("no request was served")
	}
	return isLost || late > allowedAfterCrash
}

type soundRequest struct {
	sentAt   time.Time
	hasBegun bool
}

// begun counts requests, and those that began at the first attempt.
type begun struct{ count, begun int }

func (b begun) share() float64 { return float64(b.begun) / float64(max(1, b.count)) }

func shareBegun(sound []soundRequest, counts func(at time.Time) bool) (b begun) {
	for _, s := range sound {
		if !counts(s.sentAt) {
			continue
		}
		b.count++
		if s.hasBegun {
			b.begun++
		}
	}
	return b
}

// crashIn crashes a boot. It returns false if the boot has crashed already.
func (s *server) crashIn(boot int) bool {
	s.mu.Lock()
	isRunning := s.boot == boot && s.http != nil
	s.mu.Unlock()
	if isRunning {
		s.crash()
	}
	return isRunning
}

// replace gives the next boot another identifier. The entry of the last one has lapsed by then.
func (s *server) replace(name string) {
	s.mu.Lock()
	old := s.name
	s.name = name
	s.mu.Unlock()
	s.store.put("keyed.servers", old, nil)
}

func (s *server) beginStream(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Server-Signature", "3e1b."+s.name+"."+req.Header.Get("Attempt-Id"))
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
}

func writeEvent(w http.ResponseWriter, id int) {
	_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", id)
	_ = http.NewResponseController(w).Flush()
}

// stream writes an answer of ten events.
func (s *server) stream(w http.ResponseWriter, req *http.Request) {
	s.beginStream(w, req)
	for i := range 10 {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-req.Context().Done():
			return
		}
		writeEvent(w, i+1)
	}
}
