package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeat is how often a server writes its entry.
const heartbeat = 1200 * time.Millisecond

// server is a stand-in for a server of a service. It can crash and start again at its address.
type server struct {
	run                                       *run
	store                                     *store
	name, service, zone, stage, address, sign string
	slots                                     int
	// registersAfter is the time from the start to the first heartbeat.
	registersAfter time.Duration
	// handle answers a request that the server accepts. It is called without locks.
	handle func(s *server, boot int, w http.ResponseWriter, req *http.Request)
	// onArrival is called for each request that reaches the server.
	onArrival func(s *server, boot int, req *http.Request)

	mu       sync.Mutex
	boot     int
	born     time.Time
	sequence int
	state    string
	http     *http.Server
	stop     chan struct{}
}

// start begins a new boot: the server listens, registers and sends heartbeats.
func (s *server) start() {
	if s.address == "" {
		s.address = freeAddress()
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		s.run.fail("%s cannot listen: %v", s.name, err)
	}
	s.mu.Lock()
	s.boot++
	s.state = "ready"
	boot := s.boot
	s.born = time.Now()
	s.stop = make(chan struct{})
	stop := s.stop
	s.http = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { s.serve(boot, w, req) }),
		// A crash resets all channels.
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateNew {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		},
	}
	server := s.http
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	s.run.note("%s starts, boot %d, at %s", s.name, boot, s.address)
	go func() {
		time.Sleep(s.registersAfter)
		s.register()
		for {
			select {
			case <-time.After(heartbeat):
				s.register()
			case <-stop:
				return
			}
		}
	}()
}

// drain reports that the server leaves, and goes on serving. The store has acknowledged that
// when drain returns.
func (s *server) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.register()
	s.run.note("%s is draining", s.name)
}

// leave ends a server that has drained.
func (s *server) leave() {
	s.end("leaves")
	s.store.put("keyed.servers", s.name, nil)
}

// crash ends the boot without notice. Nothing listens at the address until the next start.
func (s *server) crash() {
	s.end("crashes")
}

// end ends the boot. What the server does is written to the record.
func (s *server) end(what string) {
	s.mu.Lock()
	server, stop := s.http, s.stop
	s.http = nil
	s.mu.Unlock()
	if server == nil {
		return
	}
	close(stop)
	_ = server.Close()
	s.run.note("%s %s", s.name, what)
}

func (s *server) register() {
	entry := s.entry()
	s.store.put("keyed.servers", s.name, entry)
}

// registerLate writes a heartbeat that gets no answer. The store carries it out after a delay.
func (s *server) registerLate(delay time.Duration) {
	entry := s.entry()
	s.run.note("%s: a heartbeat (ready, sequence %v) gets no answer", s.name, entry["sequence"])
	time.AfterFunc(delay, func() {
		s.store.put("keyed.servers", s.name, entry)
		s.run.note("%s: that heartbeat is carried out", s.name)
	})
}

// entry returns the next heartbeat.
func (s *server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"coldRemainingMs": 0, "sequence": s.sequence, "born": s.born.UnixMilli(),
	}
	if s.stage != "" {
		entry["stage"] = s.stage
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return entry
}

func (s *server) serve(boot int, w http.ResponseWriter, req *http.Request) {
	expected := req.Header.Get("Expected-Instance")
	if expected != "" && expected != s.name {
		w.Header().Set("Instance-Id", s.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case req.URL.Path == "/health":
		w.Header().Set("Instance-Id", s.name)
		return
	case req.URL.Path == "/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"%s","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":73378,"kvHandles":0}`, s.stage)
		return
	case req.URL.Path == "/order":
		w.WriteHeader(http.StatusConflict)
		return
	case strings.HasPrefix(req.URL.Path, "/kv-handle/"):
		return
	}
	_, err := io.Copy(io.Discard, req.Body)
	if err != nil {
		return
	}
	w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
	s.onArrival(s, boot, req)
	s.handle(s, boot, w, req)
}

// answer runs a request to a good end.
func (s *server) answer(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Server-Signature", "3e1b."+s.name+"."+req.Header.Get("Attempt-Id"))
	_, _ = fmt.Fprintf(w, "%s %s", s.name, strings.Repeat("x", 800))
}

// shed rejects a request that was not run.
func shed(w http.ResponseWriter, retryAfter string) {
	w.Header().Set("Not-Executed", "1")
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
