package imitator

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"sassafraspass.dev/sassafraspass/identifier"
)

// PathRuns is the path from which the counters of a service are read.
const PathRuns = "/runs"

// credentialHeaders are the headers that may carry a caller's key and must never
// reach an upstream.
var credentialHeaders = []string{"Authorization", "X-Api-Key", "Proxy-Authorization"}

// Service stands in for a server of a plain service. It counts the calls that it
// ran, by their bodies.
type Service struct {
	faultInjector
	name identifier.UpstreamName

	mu       sync.Mutex
	counters ServiceCounters
}

// ServiceCounters count the calls that a service ran since its start.
type ServiceCounters struct {
	// RunsByBody counts the calls that ran, by their bodies.
	RunsByBody map[string]int `json:"by-body"`
	// LeakedKeys counts the headers with a caller's credentials that reached
	// the service.
	LeakedKeys int `json:"leaked-keys"`
}

// NewService returns a service that includes its name in its responses.
func NewService(name identifier.UpstreamName) *Service {
	return &Service{name: name, counters: ServiceCounters{RunsByBody: make(map[string]int)}}
}

// Handler returns the handler of the HTTP API. Every path other than PathRuns and
// PathFaults runs a call.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathRuns, s.serveRuns)
	mux.HandleFunc("POST "+PathFaults, s.serveSetFaults)
	mux.HandleFunc("/", s.withFaults(s.serveCall))
	return mux
}

// Counters returns a copy of the counters.
func (s *Service) Counters() ServiceCounters {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := ServiceCounters{RunsByBody: make(map[string]int), LeakedKeys: s.counters.LeakedKeys}
	for body, n := range s.counters.RunsByBody {
		copied.RunsByBody[body] = n
	}
	return copied
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counters())
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.consume(func(f *Faults) *int { return &f.AbortBeforeRun }) {
		abortConnection()
	}
	runs := s.countRun(string(body), r.Header)
	if s.consume(func(f *Faults) *int { return &f.AbortAfterRun }) {
		abortConnection()
	}
	if status := s.currentFaults().ErrorStatus; status != 0 {
		http.Error(w, "asked to fail", status)
		return
	}
	response := fmt.Sprintf("%s ran %s %s (%d) for %s: %s\n", s.name, r.Method, r.URL.Path, runs, r.Header.Get("Sassafraspass-Workspace"), body)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.Copy(w, strings.NewReader(response))
}

// countRun counts a call and returns how often a call with its body has run.
func (s *Service) countRun(body string, header http.Header) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range credentialHeaders {
		if header.Get(name) != "" {
			s.counters.LeakedKeys++
		}
	}
	s.counters.RunsByBody[body]++
	return s.counters.RunsByBody[body]
}
