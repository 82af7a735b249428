package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The rule: more than two requests reach a server from a machine between half a second after it
// has answered that machine 503 with Retry-After and the end of that time.
const (
	askedPause       = 5 * time.Second
	pauseGrace       = 500 * time.Millisecond
	allowedInPause   = 2
	busySpan         = 600 * time.Millisecond
	serverDownTime   = 100 * time.Millisecond
	serverRestartGap = 8 * time.Second
	// firstHeartbeat is a quarter of the interval between heartbeats.
	firstHeartbeat    = 300 * time.Millisecond
	retryAfterServers = 7
	restartCount      = 6
)

// arrival is a request that reached a server.
type arrival struct {
	server, daemon string
	boot           int
	at             time.Time
	isShed         bool
}

// retryAfter restarts the servers of a service one after the other, each under its identifier and
// at its address. For a moment after its start a server turns requests away and says for how
// long it wants none.
func retryAfter(r *run) (isBroken bool) {
	st, err := startStore()
	if err != nil {
		r.fail("%v", err)
	}
	var mu sync.Mutex
	var arrivals []arrival
	senders := make(map[string]string)
	busyUntil := make(map[string]time.Time)
	var servers []*server
	for i := range retryAfterServers {
		s := &server{
			run: r, store: st, name: fmt.Sprintf("i-a%d", i), service: "app",
			zone: []string{"bc-lower-a", "bc-lower-b", "bc-lower-c"}[i%3], slots: 6,
		}
		s.onArrival = func(*server, int, *http.Request) {}
		s.handle = func(s *server, boot int, w http.ResponseWriter, req *http.Request) {
			mu.Lock()
			now := time.Now()
			a := arrival{server: s.name, daemon: senders[req.Header.Get("Attempt-Id")], boot: boot, at: now, isShed: now.Before(busyUntil[s.name])}
			arrivals = append(arrivals, a)
			mu.Unlock()
			r.note("%s, boot %d: request %s from %s, shed %t", s.name, boot, req.Header.Get("Attempt-Id"), a.daemon, a.isShed)
			if a.isShed {
				shed(w, "5")
				return
			}
			time.Sleep(20 * time.Millisecond)
			s.answer(w, req)
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
	end := time.Now().Add(serverRestartGap * restartCount)
	go func() {
		for n := range restartCount {
			s := servers[n%retryAfterServers]
			time.Sleep(time.Second)
			if r.isTroubled {
				s.crash()
			}
			time.Sleep(serverDownTime)
			mu.Lock()
			busyUntil[s.name] = time.Now().Add(busySpan)
			mu.Unlock()
			if r.isTroubled {
				s.registersAfter = firstHeartbeat
				s.start()
			}
			time.Sleep(serverRestartGap - time.Second - serverDownTime)
		}
	}()
	every(14*time.Millisecond, end, func(n int) {
		req := &request{id: newID(), method: http.MethodPost, path: "/book/1", key: "key-1", deadline: 3 * time.Second, body: []byte("lock"), daemon: r.daemons[n%len(r.daemons)]}
		mu.Lock()
		senders[req.id] = req.daemon.name
		mu.Unlock()
		a := r.send(req)
		r.note("%s sent to %s: status %d, error %v", req.id, req.daemon.name, a.status, a.err)
	})
	return r.checkPauses(arrivals)
}

// checkPauses counts what reached a server while it wanted nothing from a machine.
func (r *run) checkPauses(arrivals []arrival) (isBroken bool) {
	sheds, worst := 0, 0
	for _, asked := range arrivals {
		if !asked.isShed {
			continue
		}
		sheds++
		count := 0
		for _, a := range arrivals {
			since := a.at.Sub(asked.at)
			if a.server == asked.server && a.daemon == asked.daemon && since > pauseGrace && since < askedPause {
				count++
			}
		}
		if count > allowedInPause {
			r.note("%s, boot %d, asked %s for a pause: %d requests reached it in that time", asked.server, asked.boot, asked.daemon, count)
		}
		worst = max(worst, count)
	}
	r.say("%d requests were turned away with Retry-After; the most that came from a machine in the time after that: %d", sheds, worst)
	if sheds == 0 {
		r.fail("no request was turned away")
	}
	return worst > allowedInPause
}
