package imitator

import (
	"encoding/json"
	"net/http"
	"time"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
)

func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request) {
	var req dispatcher.PrefillRequest
	err := json.NewDecoder(r.Body).Decode(&req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	tokens := dispatcher.CountTokens(req.Prompt)
	cached, ok := e.runPrefill(r, req, tokens)
	if !ok {
		return
	}
	handle := string(identifier.NewAttemptID())
	e.storeResult(handle, req)
	writeJSON(w, dispatcher.PrefillResponse{
		Attempt:         req.Attempt,
		Handle:          handle,
		PromptTokens:    tokens,
		CachedTokens:    cached,
		HandleTTLMillis: e.options.PrefillResultTTL.Milliseconds(),
	})
}

// runPrefill occupies the engine for the time that the uncached tokens take. It
// returns how many tokens were cached, and reports false if the caller
// disconnected or the attempt was cancelled.
func (e *Engine) runPrefill(r *http.Request, req dispatcher.PrefillRequest, tokens identifier.Tokens) (cached identifier.Tokens, ok bool) {
	e.addQueuedTokens(tokens)
	defer e.addQueuedTokens(-tokens)
	if !e.prefillSlot.acquire(r.Context(), req.Priority) {
		return 0, false
	}
	defer e.prefillSlot.release()
	cached = e.lookUpPrefix(req)
	seconds := float64(tokens-cached) / e.options.PrefillRate
	sleep(r, time.Duration(seconds*float64(time.Second)))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Prefills++
	return cached, r.Context().Err() == nil && !e.cancelled[req.Attempt]
}

func (e *Engine) addQueuedTokens(tokens identifier.Tokens) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queuedTokens += tokens
}

// lookUpPrefix caches the blocks of a prompt and returns how many of its leading
// tokens were cached before.
func (e *Engine) lookUpPrefix(req dispatcher.PrefillRequest) identifier.Tokens {
	e.mu.Lock()
	defer e.mu.Unlock()
	blocks := dispatcher.PromptBlockHashes(req.Model, req.Prompt)
	return identifier.Tokens(e.cache.insert(blocks)) * dispatcher.BlockTokens
}

func (e *Engine) storeResult(handle string, req dispatcher.PrefillRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.results[handle] = prefillResult{
		attempt:   req.Attempt,
		prompt:    req.Prompt,
		expiresAt: time.Now().Add(e.options.PrefillResultTTL),
	}
	time.AfterFunc(e.options.PrefillResultTTL, func() { e.expireResult(handle) })
}

// expireResult frees a prefill result and counts it if it was never fetched.
func (e *Engine) expireResult(handle string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, unused := e.results[handle]
	if unused {
		e.counters.ExpiredResults++
	}
	delete(e.results, handle)
}

// serveKVExport transfers a KV cache to a decode engine and frees it here. The
// response has no body: only the duration of the transfer is simulated.
func (e *Engine) serveKVExport(w http.ResponseWriter, r *http.Request) {
	handle := r.PathValue("handle")
	e.mu.Lock()
	result, ok := e.results[handle]
	e.mu.Unlock()
	if !ok || time.Now().After(result.expiresAt) {
		http.Error(w, "no such KV cache", http.StatusNotFound)
		return
	}
	if e.currentFaults().StallTransfers {
		<-r.Context().Done()
		return
	}
	if !e.transferSlot.acquire(r.Context(), 0) {
		return
	}
	defer e.transferSlot.release()
	seconds := float64(dispatcher.CountTokens(result.prompt)) / e.options.TransferRate
	sleep(r, time.Duration(seconds*float64(time.Second)))
	e.mu.Lock()
	delete(e.results, handle)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
