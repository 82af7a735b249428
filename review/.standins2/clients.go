package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// request is a request of a client.
type request struct {
	id, method, path, key string
	deadline              time.Duration
	header                map[string]string
	body                  []byte
	daemon                *daemon
	// patience is how long the client of a stream waits for the first event, and then for
	// each further one. Zero sets no limit.
	patience time.Duration
	sentAt   time.Time
}

// answer is what the client saw. The status is 0 if there was no complete answer.
type answer struct {
	status     int
	signature  string
	retryAfter string
	bytes      int
	err        error
}

const host = "ficu95.example"

// streamPatience is four times the objective of a stream.
const streamPatience = 3600 * time.Millisecond

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

var clientTransport = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second, DisableCompression: true}

// send sends a request to a daemon and waits for the answer, for as long as the client does.
func (r *run) send(req *request) (a answer) {
	if req.id == "" {
		req.id = newID()
	}
	ctx, cancel := context.WithTimeout(context.Background(), req.deadline)
	defer cancel()
	httpReq, err := http.NewRequestWithContext(ctx, req.method, "http://"+req.daemon.callers+req.path, bytes.NewReader(req.body))
	if err != nil {
		return answer{err: err}
	}
	httpReq.Host = host
	httpReq.GetBody = nil
	httpReq.Header.Set("Attempt-Id", req.id)
	httpReq.Header.Set("Deadline-Ms", fmt.Sprint(req.deadline.Milliseconds()))
	httpReq.Header.Set("Authorization", "Bearer "+req.key)
	for name, value := range req.header {
		httpReq.Header.Set(name, value)
	}
	req.sentAt = time.Now()
	giveUp := time.AfterFunc(time.Hour, cancel)
	defer giveUp.Stop()
	if req.patience > 0 {
		giveUp.Reset(req.patience)
	}
	resp, err := clientTransport.RoundTrip(httpReq)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a = answer{signature: resp.Header.Get("Server-Signature"), retryAfter: resp.Header.Get("Retry-After")}
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buf)
		a.bytes += n
		if n > 0 && req.patience > 0 {
			giveUp.Reset(req.patience)
		}
		if errors.Is(err, io.EOF) {
			a.status = resp.StatusCode
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
	}
}

// every calls f at a rate, each time in its own goroutine, until the end, and waits for all.
func every(interval time.Duration, until time.Time, f func(n int)) {
	var all sync.WaitGroup
	next := time.Now()
	for n := 0; time.Now().Before(until); n++ {
		all.Go(func() { f(n) })
		next = next.Add(interval)
		time.Sleep(time.Until(next))
	}
	all.Wait()
}
