package imitator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
)

// generation is the text that a decode attempt generates. It continues after the
// caller disconnects, until it finishes or is cancelled, so that the caller can
// resume the stream.
type generation struct {
	req    dispatcher.DecodeRequest
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	tokens  []string
	done    bool
	changed chan struct{}
}

func newGeneration(req dispatcher.DecodeRequest) *generation {
	ctx, cancel := context.WithCancel(context.Background())
	return &generation{req: req, ctx: ctx, cancel: cancel, changed: make(chan struct{})}
}

// ended reports whether the generation finished or was cancelled.
func (g *generation) ended() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.done || g.ctx.Err() != nil
}

// appendToken adds a token and wakes the readers. If done is true, it adds no
// token but marks the end.
func (g *generation) appendToken(text string, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !done {
		g.tokens = append(g.tokens, text)
	}
	g.done = done
	close(g.changed)
	g.changed = make(chan struct{})
}

// frameAt returns the frame at an index, which may be the end mark. If there is
// none yet, it returns a channel that is closed on the next change.
func (g *generation) frameAt(index int) (frame dispatcher.Frame, ok bool, changed chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	frame = dispatcher.Frame{Attempt: g.req.Attempt, Index: index}
	position := index - g.req.FirstIndex
	if position >= 0 && position < len(g.tokens) {
		frame.Text = g.tokens[position]
		return frame, true, nil
	}
	if g.done {
		frame.Done = true
		frame.FinishReason = "length"
		return frame, true, nil
	}
	return frame, false, g.changed
}

func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request) {
	var req dispatcher.DecodeRequest
	err := json.NewDecoder(r.Body).Decode(&req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g, err := e.startAttempt(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	err = e.importKVCache(r.Context(), req.Source)
	if err != nil {
		e.dropAttempt(g)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	go e.generate(g)
	e.streamFrames(w, r, g, req.FirstIndex)
}

// startAttempt registers a decode attempt. It fails if the attempt was cancelled
// or started before.
func (e *Engine) startAttempt(req dispatcher.DecodeRequest) (g *generation, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelled[req.Attempt] {
		return nil, fmt.Errorf("the attempt is cancelled")
	}
	_, known := e.attempts[req.Attempt]
	if known {
		return nil, fmt.Errorf("the attempt is known already")
	}
	g = newGeneration(req)
	e.attempts[req.Attempt] = g
	return g, nil
}

// dropAttempt cancels an attempt and forgets it.
func (e *Engine) dropAttempt(g *generation) {
	g.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.attempts, g.req.Attempt)
}

// importKVCache fetches the KV cache from the prefill engine that computed it.
func (e *Engine) importKVCache(ctx context.Context, source dispatcher.KVSource) (err error) {
	defer annotator.Annotate(&err, "import KV cache")
	url := fmt.Sprintf("http://%s/kv/%s", source.Address, source.Handle)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// generate waits for a decode slot and then adds one token per TokenInterval. It
// retains a finished attempt for finishedAttemptRetention, so that its stream can
// be resumed.
func (e *Engine) generate(g *generation) {
	e.addWaitingDecodes(1)
	acquired := e.decodeSlots.acquire(g.ctx, g.req.Priority)
	e.addWaitingDecodes(-1)
	if !acquired {
		return
	}
	defer e.decodeSlots.release()
	ticker := time.NewTicker(e.options.TokenInterval)
	defer ticker.Stop()
	hash := xxhash.New()
	_, _ = hash.WriteString(g.req.Prompt)
	for range g.req.MaxTokens {
		select {
		case <-ticker.C:
		case <-g.ctx.Done():
			return
		}
		token := nextToken(hash)
		g.appendToken(token, false)
		e.countGeneratedToken()
	}
	g.appendToken("", true)
	time.AfterFunc(finishedAttemptRetention, func() { e.dropAttempt(g) })
}

func (e *Engine) addWaitingDecodes(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waitingDecodes += n
}

func (e *Engine) countGeneratedToken() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.GeneratedTokens++
}

// nextToken returns the next token and adds it to the hash of the text so far.
// The token depends on that text only, so that another engine can continue with
// the same tokens.
func nextToken(hash *xxhash.Digest) string {
	token := " w" + strconv.FormatUint(hash.Sum64()%1000, 10)
	_, _ = hash.WriteString(token)
	return token
}

// ExpectedOutput returns the text that every engine generates for a prompt and a
// number of tokens.
func ExpectedOutput(prompt string, tokens int) string {
	hash := xxhash.New()
	_, _ = hash.WriteString(prompt)
	output := ""
	for range tokens {
		output += nextToken(hash)
	}
	return output
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.FormValue("from"))
	e.mu.Lock()
	g, ok := e.attempts[identifier.AttemptID(r.PathValue("attempt"))]
	e.mu.Unlock()
	if !ok || string(g.req.Workspace) != r.FormValue("workspace") {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	e.streamFrames(w, r, g, from)
}

// streamFrames sends the frames from an index up to the end mark, each as soon
// as it is generated.
func (e *Engine) streamFrames(w http.ResponseWriter, r *http.Request, g *generation, index int) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for sent := 0; ; sent++ {
		frame, ok := awaitFrame(r.Context(), g, index)
		if !ok {
			return
		}
		faults := e.currentFaults()
		if faults.CutAfterTokens > 0 && sent >= faults.CutAfterTokens {
			abortConnection()
		}
		e.sendFrame(w, frame, faults)
		_ = controller.Flush()
		if frame.Done {
			return
		}
		index++
	}
}

// sendFrame writes a frame, with the stray and duplicate frames that the faults
// ask for.
func (e *Engine) sendFrame(w http.ResponseWriter, frame dispatcher.Frame, faults Faults) {
	if faults.StrayFrames {
		stray := frame
		stray.Attempt = identifier.NewAttemptID()
		stray.Text = " stray"
		writeFrame(w, stray)
	}
	writeFrame(w, frame)
	if faults.DuplicateFrames {
		writeFrame(w, frame)
	}
}

// awaitFrame waits for the frame at an index. It returns false if the caller
// disconnects or the attempt is cancelled first.
func awaitFrame(ctx context.Context, g *generation, index int) (frame dispatcher.Frame, ok bool) {
	for {
		frame, ok, changed := g.frameAt(index)
		if ok {
			return frame, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return frame, false
		case <-g.ctx.Done():
			return frame, false
		}
	}
}

func writeFrame(w http.ResponseWriter, frame dispatcher.Frame) {
	raw, _ := json.Marshal(frame)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", raw)
}
