package main

import (
	"net/http"
	"sync"
	"time"
)

// The rule: in some budgetWindowS, a service gets more arrivals beyond the first of each request than
// retryBudgetRatio x the requests for it + budgetExtraRetries, summed over all machines. The
// requests are counted in that window, the one before it or the one half a window before it,
// whichever has most.
const (
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
	budgetExtra  = 52
	// The service has four slots and serves 9 requests a second. It usually gets 8.
	slowWork   = 450 * time.Millisecond
	usualPause = 125 * time.Millisecond
	// burstFactor10 is ten times the factor of the burst.
	burstFactor10 = 19
	queueLength   = 1
	usualSpan     = 10 * time.Second
	burstSpan     = 10 * time.Second
	killAfter     = 5 * time.Second
	downTime      = 500 * time.Millisecond
)

// retryBudget kills all daemons at once while a service is overloaded.
func retryBudget(r *run) (isBroken bool) {
	st, err := startStore()
	if err != nil {
		r.fail("%v", err)
	}
	var mu sync.Mutex
	var sent, again []time.Time
	seen := make(map[string]bool)
	for i := range 2 {
		s := &server{run: r, store: st, name: []string{"i-a1", "i-b2"}[i], service: "app", zone: []string{"bc-lower-a", "bc-lower-b"}[i], slots: 2}
		s.onArrival = func(s *server, boot int, req *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			id := req.Header.Get("Attempt-Id")
			r.note("%s: request %s, again %t", s.name, id, seen[id])
			if seen[id] {
				again = append(again, time.Now())
			}
			seen[id] = true
		}
		slots := make(chan struct{}, s.slots)
		places := make(chan struct{}, s.slots+queueLength)
		s.handle = func(s *server, _ int, w http.ResponseWriter, req *http.Request) {
			select {
			case places <- struct{}{}:
				defer func() { <-places }()
			default:
				shed(w, "")
				return
			}
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
			case <-req.Context().Done():
				return
			}
			select {
			case <-time.After(slowWork):
			case <-req.Context().Done():
				return
			}
			s.answer(w, req)
		}
		s.start()
	}
	st.publish(1, []any{route("/look/", "safe", "app", 2)}, "key-1")
	for i := range 3 {
		r.startDaemon(i, st.address)
	}
	r.awaitReady()
	time.Sleep(4 * time.Second)
	counts := make(map[int]int)
	call := func(n int) {
		req := &request{id: newID(), method: http.MethodGet, path: "/look/1", key: "key-1", deadline: 1500 * time.Millisecond, daemon: r.daemons[n%len(r.daemons)]}
		mu.Lock()
		sent = append(sent, time.Now())
		mu.Unlock()
		a := r.send(req)
		mu.Lock()
		defer mu.Unlock()
		counts[a.status]++
		r.note("%s sent to %s: status %d, error %v", req.id, req.daemon.name, a.status, a.err)
	}
	every(usualPause, time.Now().Add(usualSpan), call)
	r.note("the burst begins")
	time.AfterFunc(killAfter, func() {
		if !r.isTroubled {
			return
		}
		r.note("all daemons are killed")
		for _, d := range r.daemons {
			d.kill()
		}
		time.Sleep(downTime)
		for _, d := range r.daemons {
			d.start()
		}
		r.note("all daemons are started")
	})
	every(usualPause*10/burstFactor10, time.Now().Add(burstSpan), call)
	mu.Lock()
	defer mu.Unlock()
	worst, worstBound := 0, 0.0
	for _, end := range again {
		count := countWithin(again, end.Add(-budgetWindow), end)
		most := 0
		for _, earlier := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
			most = max(most, countWithin(sent, end.Add(-budgetWindow-earlier), end.Add(-earlier)))
		}
		bound := budgetRatio*float64(most) + budgetExtra
		if worst == 0 || float64(count)-bound > float64(worst)-worstBound {
			worst, worstBound = count, bound
		}
	}
	r.say("statuses: %v; the worst window has %d arrivals beyond the first of their requests, and %.0f are allowed", counts, worst, worstBound)
	if counts[http.StatusOK] == 0 {
		r.fail("no request was served")
	}
	return float64(worst) > worstBound
}

func countWithin(times []time.Time, after, until time.Time) (n int) {
	for _, at := range times {
		if at.After(after) && !at.After(until) {
			n++
		}
	}
	return n
}
