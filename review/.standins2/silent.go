package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// proxy passes channels on to the store. It can make the open ones silent for good: nothing
// passes on them any more, and none of them is closed. New ones work.
type proxy struct {
	address string

	mu       sync.Mutex
	silenced chan struct{}
}

func startProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), silenced: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			silenced := p.silenced
			p.mu.Unlock()
			go pass(c, target, silenced)
		}
	}()
	return p, nil
}

func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silenced)
	p.silenced = make(chan struct{})
}

func pass(c net.Conn, target string, silenced chan struct{}) {
	up, err := net.Dial("tcp", target)
	if err != nil {
		_ = c.Close()
		return
	}
	isSilent := func() bool {
		select {
		case <-silenced:
			return true
		default:
			return false
		}
	}
	pipe := func(dst, src net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			if isSilent() {
				// The channel stays open, and nobody hears of anything.
				<-time.After(time.Hour)
			}
			if n > 0 {
				_, writeErr := dst.Write(buf[:n])
				if writeErr != nil {
					err = writeErr
				}
			}
			if err != nil {
				_ = dst.Close()
				_ = src.Close()
				return
			}
		}
	}
	go pipe(up, c)
	pipe(c, up)
}

var _ = io.EOF

// The rule: a request that is sent later than configApplyMs after the ack of a version is handled
// as only an older version allows, by machines in touch.
const (
	configApply = 2 * time.Second
	silentRuns  = 5
	silentGap   = 15 * time.Second
)

// silentStore makes the open channels to the store silent. After stabilityWindowMs the machines
// are in touch again, and the operator takes a key away.
func silentStore(r *run) (isBroken bool) {
	st, err := startStore()
	if err != nil {
		r.fail("%v", err)
	}
	var mu sync.Mutex
	var revokedAt time.Time
	revoked := ""
	late, wrong, refused := 0, 0, 0
	sentAt := make(map[string]time.Time)
	s := &server{run: r, store: st, name: "i-a1", service: "app", zone: "bc-lower-a", slots: 24, onArrival: func(*server, int, *http.Request) {}}
	s.handle = func(s *server, _ int, w http.ResponseWriter, req *http.Request) { s.answer(w, req) }
	s.start()
	routes := []any{route("/book/", "unsafe", "app", 1)}
	keys := []string{"key-0", "key-1", "key-2", "key-3", "key-4", "key-5"}
	st.publish(1, routes, keys...)
	proxies := []*proxy{}
	for i := range 3 {
		p, err := startProxy(st.address)
		if err != nil {
			r.fail("%v", err)
		}
		proxies = append(proxies, p)
		r.startDaemon(i, p.address)
	}
	r.awaitReady()
	time.Sleep(4 * time.Second)
	end := time.Now().Add(silentRuns * silentGap)
	go func() {
		for n := range silentRuns {
			if r.isTroubled {
				for _, p := range proxies {
					p.silence()
				}
				r.note("the open channels to the store are silent")
			}
			time.Sleep(stabilityWindow + 200*time.Millisecond)
			mu.Lock()
			st.publish(n+2, routes, keys[n+1:]...)
			revoked, revokedAt = keys[n], time.Now()
			mu.Unlock()
			r.note("%s is taken away", keys[n])
			time.Sleep(silentGap - stabilityWindow - 200*time.Millisecond)
		}
	}()
	every(50*time.Millisecond, end, func(n int) {
		mu.Lock()
		key, at := revoked, revokedAt
		mu.Unlock()
		if key == "" {
			key = keys[0]
		}
		req := &request{id: newID(), method: http.MethodPost, path: "/book/1", key: key, deadline: 3 * time.Second, body: []byte("lock"), daemon: r.daemons[n%len(r.daemons)]}
		a := r.send(req)
		mu.Lock()
		defer mu.Unlock()
		sentAt[req.id] = req.sentAt
		isLate := !at.IsZero() && req.sentAt.Sub(at) > configApply
		r.note("%s sent to %s with %s, late %t: status %d, error %v", req.id, req.daemon.name, key, isLate, a.status, a.err)
		if isLate {
			late++
			if a.status == http.StatusOK {
				wrong++
				r.note("%s ran with a key that was taken away %s before", req.id, req.sentAt.Sub(at).Round(time.Millisecond))
			} else if a.status == http.StatusUnauthorized {
				refused++
			}
		}
	})
	r.say("of %d requests with a key that was taken away over %s before, %d ran and %d got 401", late, configApply, wrong, refused)
	if late == 0 {
		r.fail("no request was late")
	}
	return wrong > 0
}
