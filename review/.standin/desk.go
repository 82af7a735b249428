package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// deskSlots and deskWork are the site's figures of the service costing-app.
const (
	deskSlots = 6
	deskWork  = 30 * time.Millisecond
)

// falseRefusal is what a faulty desk sends after a complete answer. It has the form of the
// refusal that `fleetbench wire` prints, without an Attempt-Id. All answers of a desk have
// one.
const falseRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// desk is a stand-in for one server of the plain service costing-app.
type desk struct {
	rec     *recorder
	id      string
	address string
	slots   chan struct{}
	// isFaulty makes it send falseRefusal late after each 34th answer of the fault's time.
	isFaulty bool

	mu sync.Mutex
	// faulty is the time of the fault. answers counts the answers, and inTime those in that
	// time; extras counts the extra ones.
	faulty  window
	answers int
	inTime  int
	extras  int
	// runs holds the requests that ran, by Attempt-Id.
	runs map[string]bool
}

func startDesk(p *deployment, zone string, isFaulty bool) *desk {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("a server cannot listen: %v", err)
	}
	d := &desk{rec: p.rec, id: fmt.Sprintf("i-%08x", rand.Uint32()), address: l.Addr().String(), slots: make(chan struct{}, deskSlots), isFaulty: isFaulty, runs: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	born := time.Now().UnixMilli()
	go func() {
		for sequence := 0; ; sequence++ {
			p.store.putJSON("keyed.servers", d.id, map[string]any{
				"service": "costing-app", "address": d.address, "zone": zone, "version": "v1", "slots": deskSlots, "state": "ready",
				"coldRemainingMs": 0, "sequence": sequence, "born": born,
			})
			time.Sleep(heartbeat)
		}
	}()
	return d
}

func (d *desk) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	isExtraDue := false
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if isExtraDue {
			d.rec.event("extra", "server", d.id, "before", r.Header.Get("Attempt-Id"), "bytes", firstLine(falseRefusal))
			_, _ = io.WriteString(c, falseRefusal)
		}
		if _, err := io.WriteString(c, d.answer(r, body)); err != nil {
			return
		}
		isExtraDue = d.countAnswer()
	}
}

// countAnswer reports whether an extra answer follows.
func (d *desk) countAnswer() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers++
	if !d.isFaulty || !d.faulty.contains(time.Now()) {
		return false
	}
	d.inTime++
	isDue := d.inTime%34 == 0
	if isDue {
		d.extras++
	}
	return isDue
}

func (d *desk) answer(r *http.Request, body []byte) string {
	id := r.Header.Get("Attempt-Id")
	switch want := r.Header.Get("Expected-Instance"); {
	case want != "" && want != d.id:
		return reply(r, http.StatusMisdirectedRequest, "Instance-Id: "+d.id+"\r\n", "")
	case id == "":
		return reply(r, http.StatusBadRequest, "Not-Executed: 1\r\n", "")
	}
	d.slots <- struct{}{}
	defer func() { <-d.slots }()
	d.mu.Lock()
	d.runs[id] = true
	d.mu.Unlock()
	d.rec.event("run", "server", d.id, "id", id, "what", string(body))
	time.Sleep(deskWork)
	return reply(r, http.StatusOK, "Server-Signature: "+signature(id, d.id)+"\r\n", "done "+string(body))
}

// falseRefusalCase sends price locks, which may run at most once. A client that is told
// 429 or 503, which promises that the attempt has not run and never will, tries once more
// with a new attempt, as the sheet says.
func falseRefusalCase(rec *recorder, trouble bool) bool {
	p := &deployment{dir: tempDir(), rec: rec, store: newStore()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("%v", err)
	}
	go func() { _ = http.Serve(l, p.store) }()
	config := configuration()
	config["routes"] = []any{map[string]any{"name": "r-lock", "host": "costing.example", "pathPrefix": "/lock/", "kind": "unsafe", "timeoutMs": 800, "targetLatencyMs": 150, "priority": 2, "service": "costing-app", "attempts": 1, "anonymous": false, "sticky": false, "resumable": false}}
	config["services"] = []any{map[string]any{"name": "costing-app", "healthPath": "/health", "connectionLimit": 96, "protocol": "h1", "tls": false}}
	p.store.putJSON("keyed.op", "config", config)
	var desks []*desk
	for i, zone := range zones {
		desks = append(desks, startDesk(p, zone, trouble && i == 0))
	}
	p.startDaemons(3, l.Addr().String())
	c := newClient(p)
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	locks, refused := 0, []string{}
	for _, d := range desks {
		d.mu.Lock()
		d.faulty = garbleFrom(time.Now().Add(5 * time.Second))
		d.mu.Unlock()
	}
	attempts := map[int][]string{}
	c.every(20*time.Millisecond, 30*time.Second, func() {
		mu.Lock()
		locks++
		lock := locks
		mu.Unlock()
		for range 2 {
			id, status, retryAfter := c.post(fmt.Sprintf("lock-%d", lock))
			mu.Lock()
			attempts[lock] = append(attempts[lock], id)
			isPromise := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
			if isPromise {
				refused = append(refused, id)
			}
			mu.Unlock()
			if !isPromise {
				return
			}
			time.Sleep(retryAfter)
		}
	})
	c.wait.Wait()
	time.Sleep(time.Second)
	ran := map[string]bool{}
	answers, inTime, extras := 0, 0, 0
	for _, d := range desks {
		d.mu.Lock()
		for id := range d.runs {
			ran[id] = true
		}
		answers, inTime, extras = answers+d.answers, inTime+d.inTime, extras+d.extras
		d.mu.Unlock()
	}
	broken, twice := 0, 0
	for _, id := range refused {
		if ran[id] {
			broken++
			rec.event("WRONG", "id", id, "why", "refused-but-it-ran")
		}
	}
	for lock, ids := range attempts {
		runs := 0
		for _, id := range ids {
			if ran[id] {
				runs++
			}
		}
		if runs > 1 {
			twice++
			rec.event("WRONG", "what", fmt.Sprintf("lock-%d", lock), "why", "posted-twice")
		}
	}
	rec.note("price locks: %d; answers of the servers: %d, of the faulty one in the 5 s of the fault %d, extra ones %d", locks, answers, inTime, extras)
	rec.note("attempts refused with 429 or 503: %d, of which %d had run; price locks posted twice: %d", len(refused), broken, twice)
	return broken == 0
}

// post sends one attempt of a price lock on a new channel.
func (c *client) post(what string) (id string, status int, retryAfter time.Duration) {
	c.mu.Lock()
	addresses := c.addresses
	c.mu.Unlock()
	id = newID()
	daemon := addresses[rand.IntN(len(addresses))]
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon+"/lock/1", stringBody(what))
	if err != nil {
		fatal("%v", err)
	}
	req.Host = "costing.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "1500")
	req.Header.Set("Authorization", "Bearer "+key)
	c.p.rec.event("sent", "id", id, "what", what, "daemon", daemon)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		c.p.rec.event("answer", "id", id, "err", err.Error())
		return id, 0, 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	c.p.rec.event("answer", "id", id, "status", strconv.Itoa(resp.StatusCode), "signature", resp.Header.Get("Server-Signature"), "not-executed", resp.Header.Get("Not-Executed"))
	return id, resp.StatusCode, time.Duration(seconds * float64(time.Second))
}
