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
	"strings"
	"sync"
	"time"
)

// client sends requests as PROTOCOL.md says: it asks the directory for the daemons, and
// uses a new channel for each attempt.
type client struct {
	p    *deployment
	mu   sync.Mutex
	sent int
	wait sync.WaitGroup
	// addresses is the newest answer of the directory.
	addresses []string
}

func newClient(p *deployment) *client {
	c := &client{p: p}
	c.refresh()
	go func() {
		for {
			time.Sleep(2 * time.Second)
			c.refresh()
		}
	}()
	return c
}

func (c *client) refresh() {
	for _, d := range c.p.daemons {
		addresses := resolve(d)
		if len(addresses) > 0 {
			c.mu.Lock()
			c.addresses = addresses
			c.mu.Unlock()
			return
		}
	}
}

// result is what a client saw of one attempt.
type result struct {
	id        string
	daemon    string
	sentAt    time.Time
	status    int
	signature string
	// events holds the ids of the events, and isComplete is set if the answer had its end.
	events     []int
	isComplete bool
	body       string
	err        error
}

type stream struct {
	path   string
	prefix string
	prompt int
	output int
	hint   int
	label  string
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one attempt to a random daemon and reads the answer to its end.
func (c *client) send(s stream) result {
	c.mu.Lock()
	addresses := c.addresses
	c.mu.Unlock()
	if len(addresses) == 0 {
		return result{err: fmt.Errorf("the directory names no daemon")}
	}
	r := result{id: newID(), daemon: addresses[rand.IntN(len(addresses))], sentAt: time.Now()}
	c.p.rec.event("sent", "id", r.id, "kind", s.label, "daemon", r.daemon)
	ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
	defer cancel()
	body := strings.Repeat("x", 500)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.daemon+s.path, strings.NewReader(body))
	if err != nil {
		fatal("%v", err)
	}
	req.Host = "costing.example"
	req.Header.Set("Attempt-Id", r.id)
	req.Header.Set("Model", "m")
	req.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", s.prompt, s.output))
	req.Header.Set("Length-Hint", strconv.Itoa(s.hint))
	req.Header.Set("Prompt-Prefix", s.prefix)
	req.Header.Set("Deadline-Ms", "14000")
	req.Header.Set("Authorization", "Bearer "+key)
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		r.err = err
		c.p.rec.event("answer", "id", r.id, "kind", s.label, "err", err.Error())
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	r.status = resp.StatusCode
	r.signature = resp.Header.Get("Server-Signature")
	var text strings.Builder
	in := bufio.NewReader(resp.Body)
	for {
		line, err := in.ReadString('\n')
		text.WriteString(line)
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			n, _ := strconv.Atoi(id)
			r.events = append(r.events, n)
		}
		if err == io.EOF {
			r.isComplete = true
			break
		}
		if err != nil {
			r.err = err
			break
		}
	}
	r.body = text.String()
	state := "cut"
	if r.isComplete {
		state = "complete"
	}
	c.p.rec.event("answer", "id", r.id, "kind", s.label, "status", strconv.Itoa(r.status), "signature", r.signature, "events", fmt.Sprint(len(r.events)), "state", state, "ms", strconv.FormatInt(time.Since(r.sentAt).Milliseconds(), 10))
	return r
}

// isServed reports whether the attempt got the whole stream.
func (r result) isServed(s stream) bool {
	return r.status == http.StatusOK && r.isComplete && len(r.events) == (s.output+tokensPerEvent-1)/tokensPerEvent
}

// every calls play on its own goroutine at the given rate until the time is over.
func (c *client) every(interval, length time.Duration, play func()) {
	c.wait.Go(func() {
		end := time.Now().Add(length)
		for time.Now().Before(end) {
			c.wait.Go(play)
			time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(interval)))
		}
	})
}
