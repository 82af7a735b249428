package imitator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// PathFaults is the path to which the faults of a stand-in are posted.
const PathFaults = "/faults"

// Faults are the faults that a stand-in injects. The zero value injects none.
type Faults struct {
	// Outage makes every call to the stand-in fail.
	Outage bool `json:"outage,omitempty"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay,omitempty"`
	// LostAppendResponses is how many of the next appends to the log take effect
	// without a response: the connection is closed instead.
	LostAppendResponses int `json:"lost-replies,omitempty"`
	// AppendDelay is the time after which an append whose response is lost takes
	// effect.
	AppendDelay time.Duration `json:"late-effect,omitempty"`
	// StallTransfers makes transfers of KV caches hang until the receiver
	// disconnects.
	StallTransfers bool `json:"stall-transfers,omitempty"`
	// CutAfterTokens is the number of tokens after which each decode stream is
	// cut. 0 cuts none.
	CutAfterTokens int `json:"cut-after-tokens,omitempty"`
	// StrayFrames sends a frame of another attempt before each frame.
	StrayFrames bool `json:"cross-frames,omitempty"`
	// DuplicateFrames sends each frame twice.
	DuplicateFrames bool `json:"duplicate-frames,omitempty"`
	// DropEveryNthEvent leaves out each cache event whose sequence number is a
	// multiple of it. 0 leaves out none.
	DropEveryNthEvent int `json:"event-gaps,omitempty"`
	// AbortBeforeRun is how many of the next service calls are cut off before
	// they run.
	AbortBeforeRun int `json:"die-before-effect,omitempty"`
	// AbortAfterRun is how many of the next service calls are cut off after they
	// ran.
	AbortAfterRun int `json:"die-after-effect,omitempty"`
	// ErrorStatus is the HTTP status with which all service calls fail.
	ErrorStatus int `json:"fail-status,omitempty"`
	// Draining makes an engine report that it accepts no new work.
	Draining bool `json:"leaving,omitempty"`
}

// faultInjector holds the faults that are in force.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// SetFaults replaces the faults in force.
func (f *faultInjector) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

func (f *faultInjector) currentFaults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// consume decrements a fault that is a count. It returns false if the count is 0.
func (f *faultInjector) consume(counter func(*Faults) *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining := counter(&f.faults)
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

func (f *faultInjector) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	err := json.NewDecoder(r.Body).Decode(&faults)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// withFaults wraps a handler and applies the faults Outage and Delay.
func (f *faultInjector) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults := f.currentFaults()
		if faults.Delay > 0 {
			sleep(r, faults.Delay)
		}
		if faults.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// sleep waits for a duration or until the caller disconnects.
func sleep(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// abortConnection makes the server close the connection without a complete
// response.
func abortConnection() {
	panic(http.ErrAbortHandler)
}
