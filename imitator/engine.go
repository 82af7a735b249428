// Package imitator provides small stand-ins for the system's environment: the
// platform's log, model engines and plain services. The demo and the tests
// share them. Each can inject the faults that the real ones show.
package imitator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// EngineOptions configure one engine.
type EngineOptions struct {
	Name identifier.UpstreamName
	Role parser.Role
	// Slots is how many requests a decode engine runs at once.
	Slots int
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration
	// PrefillResultTTL is how long a prefill result is retained.
	PrefillResultTTL time.Duration
	// TransferRate is the rate of KV cache transfers, in tokens per second.
	TransferRate float64
	// ReportLag is the delay before load and cache events become visible.
	ReportLag time.Duration
	// PrefixCacheBlocks is the capacity of the prefix cache, in blocks.
	PrefixCacheBlocks int
}

// DefaultEngineOptions returns the options of a small fast engine.
func DefaultEngineOptions(name identifier.UpstreamName, role parser.Role) EngineOptions {
	return EngineOptions{
		Name:              name,
		Role:              role,
		Slots:             20,
		PrefillRate:       50_000,
		TokenInterval:     5 * time.Millisecond,
		PrefillResultTTL:  800 * time.Millisecond,
		TransferRate:      1_000_000,
		ReportLag:         100 * time.Millisecond,
		PrefixCacheBlocks: 256,
	}
}

// Engine stands in for a prefill or decode engine. It retains generated tokens, so
// that callers can resume a stream, and frees them when the attempt is cancelled.
type Engine struct {
	faultInjector
	options      EngineOptions
	decodeSlots  *semaphore
	prefillSlot  *semaphore
	transferSlot *semaphore

	mu       sync.Mutex
	results  map[string]prefillResult
	attempts map[identifier.AttemptID]*generation
	// cancelled holds the cancelled attempts, so that one whose cancellation
	// arrives before its start is refused.
	cancelled      map[identifier.AttemptID]bool
	cache          *prefixCache
	queuedTokens   identifier.Tokens
	waitingDecodes int
	loadHistory    []loadSample
	counters       EngineCounters
}

// EngineCounters count events of an engine since its start.
type EngineCounters struct {
	Prefills int `json:"prefills"`
	// ExpiredResults counts the prefill results that expired before a decode
	// engine fetched them.
	ExpiredResults  int `json:"expired-before-export"`
	GeneratedTokens int `json:"tokens"`
	// LeakedKeys counts the headers with a caller's credentials that reached
	// the engine.
	LeakedKeys int `json:"leaked-keys"`
}

type prefillResult struct {
	attempt   identifier.AttemptID
	prompt    string
	expiresAt time.Time
}

type loadSample struct {
	at   time.Time
	load dispatcher.LoadReport
}

// PathCounters is the path from which the counters of an engine are read.
const PathCounters = "/counts"

const (
	finishedAttemptRetention = 3 * time.Second
	maxLoadSamples           = 1024
	maxCancelledAttempts     = 100_000
)

// NewEngine returns an idle engine with an empty cache.
func NewEngine(options EngineOptions) *Engine {
	return &Engine{
		options:      options,
		decodeSlots:  newSemaphore(options.Slots),
		prefillSlot:  newSemaphore(1),
		transferSlot: newSemaphore(1),
		results:      make(map[string]prefillResult),
		attempts:     make(map[identifier.AttemptID]*generation),
		cancelled:    make(map[identifier.AttemptID]bool),
		cache:        newPrefixCache(options.PrefixCacheBlocks),
	}
}

// Handler returns the handler of the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+dispatcher.PathPrefill, e.withFaults(e.servePrefill))
	mux.HandleFunc("POST "+dispatcher.PathDecode, e.withFaults(e.serveDecode))
	mux.HandleFunc("GET "+dispatcher.PathAttempts+"{attempt}", e.withFaults(e.serveResume))
	mux.HandleFunc("POST "+dispatcher.PathCancel, e.withFaults(e.serveCancel))
	mux.HandleFunc("GET "+dispatcher.PathLoad, e.withFaults(e.serveLoad))
	mux.HandleFunc("GET "+dispatcher.PathCacheEvents, e.withFaults(e.serveCacheEvents))
	mux.HandleFunc("GET /kv/{handle}", e.withFaults(e.serveKVExport))
	mux.HandleFunc("GET "+PathCounters, e.serveCounters)
	mux.HandleFunc("POST "+PathFaults, e.serveSetFaults)
	return e.countLeakedKeys(mux)
}

// countLeakedKeys wraps a handler and counts the credential headers of the
// requests.
func (e *Engine) countLeakedKeys(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, name := range credentialHeaders {
			if r.Header.Get(name) == "" {
				continue
			}
			e.mu.Lock()
			e.counters.LeakedKeys++
			e.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// HeldCaches returns how many running attempts hold engine memory.
func (e *Engine) HeldCaches() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heldCachesLocked()
}

func (e *Engine) heldCachesLocked() int {
	held := 0
	for _, g := range e.attempts {
		if !g.ended() {
			held++
		}
	}
	return held
}

func (e *Engine) serveCounters(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.counters)
}

// serveLoad responds with the newest load sample that is at least ReportLag old,
// or with the current load if there is none.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	load := dispatcher.LoadReport{
		Upstream:     e.options.Name,
		Running:      e.decodeSlots.inUse(),
		Waiting:      e.waitingDecodes,
		Slots:        e.options.Slots,
		QueuedTokens: e.queuedTokens,
		HeldCaches:   e.heldCachesLocked(),
	}
	e.loadHistory = append(e.loadHistory, loadSample{at: now, load: load})
	if len(e.loadHistory) > maxLoadSamples {
		e.loadHistory = e.loadHistory[1:]
	}
	delayed := load
	for _, sample := range e.loadHistory {
		if now.Sub(sample.at) >= e.options.ReportLag {
			delayed = sample.load
		}
	}
	delayed.Draining = e.currentFaults().Draining
	writeJSON(w, delayed)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.FormValue("from"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.cache.eventsFrom(from, time.Now().Add(-e.options.ReportLag), e.currentFaults().DropEveryNthEvent))
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var req dispatcher.CancelRequest
	err := json.NewDecoder(r.Body).Decode(&req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, attempt := range req.Attempts {
		e.cancelLocked(attempt)
	}
	writeJSON(w, dispatcher.CancelResponse{Cancelled: len(req.Attempts)})
}

// cancelLocked stops an attempt, frees its prefill results and refuses a later
// start. The caller holds the lock.
func (e *Engine) cancelLocked(attempt identifier.AttemptID) {
	if len(e.cancelled) < maxCancelledAttempts {
		e.cancelled[attempt] = true
	}
	g, ok := e.attempts[attempt]
	if ok {
		g.cancel()
		delete(e.attempts, attempt)
	}
	for handle, result := range e.results {
		if result.attempt == attempt {
			delete(e.results, handle)
		}
	}
}
