package main

import (
	"net/http"
	"sync"
	"time"
)

// The rule: in some quotaWindowS, more of a tenant's tokens run than (ratePerS x window + burst) x
// (1 + quotaOvershoot) + quotaSlack.
const (
	quotaWindow     = 8 * time.Second
	quotaRate       = 10_000
	quotaBurst      = 10_000
	quotaOvershoot  = 0.1
	quotaSlack      = 110_000
	usualUsage      = "1000,1000"
	usualTokens     = 2_000
	overflowUsage   = "9223372036854775807,4611686018427387904"
	overflowEvery   = 5
	quotaInterval   = 5 * time.Millisecond
	quotaSpan       = 25 * time.Second
	quotaServerSize = 60
)

// quota lets a tenant send far more than its limit allows. Each fifth request names two numbers of
// tokens whose sum is beyond 64 bits.
func quota(r *run) (isBroken bool) {
	st, err := startStore()
	if err != nil {
		r.fail("%v", err)
	}
	var mu sync.Mutex
	var ran []time.Time
	s := &server{run: r, store: st, name: "i-a1", service: "app", zone: "bc-lower-a", slots: quotaServerSize, onArrival: func(*server, int, *http.Request) {}}
	s.handle = func(s *server, _ int, w http.ResponseWriter, req *http.Request) {
		if req.Header.Get("Token-Usage") == usualUsage {
			mu.Lock()
			ran = append(ran, time.Now())
			mu.Unlock()
		}
		s.answer(w, req)
	}
	s.start()
	st.publishLimited(1, []any{route("/book/", "unsafe", "app", 1)}, quotaRate, quotaBurst, "key-1")
	for i := range 3 {
		r.startDaemon(i, st.address)
	}
	r.awaitReady()
	time.Sleep(4 * time.Second)
	statuses := make(map[int]int)
	every(quotaInterval, time.Now().Add(quotaSpan), func(n int) {
		usage := usualUsage
		if r.isTroubled && n%overflowEvery == 0 {
			usage = overflowUsage
		}
		req := &request{
			id: newID(), method: http.MethodPost, path: "/book/1", key: "key-1", deadline: 1500 * time.Millisecond, daemon: r.daemons[n%len(r.daemons)],
			header: map[string]string{"Model": "m", "Token-Usage": usage},
		}
		a := r.send(req)
		mu.Lock()
		defer mu.Unlock()
		statuses[a.status]++
		r.note("%s sent to %s, usage %s: status %d, error %v", req.id, req.daemon.name, usage, a.status, a.err)
	})
	mu.Lock()
	defer mu.Unlock()
	worst := 0
	for _, end := range ran {
		worst = max(worst, usualTokens*countWithin(ran, end.Add(-quotaWindow), end))
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOvershoot) + quotaSlack
	r.say("statuses: %v; %d tokens ran in the worst window, not counting the odd requests, and %.0f are allowed", statuses, worst, allowed)
	if statuses[http.StatusOK] == 0 {
		r.fail("no request was served")
	}
	return float64(worst) > allowed
}
