package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat      = 1200 * time.Millisecond
	handleTTL      = 500 * time.Millisecond
	switchTime     = 6 * time.Second
	tokensPerEvent = 63
	eventTime      = 40 * time.Millisecond
	slots          = 48
)

// engine is a stand-in for one model server. Each start is a new boot with a new
// identifier at the same address.
type engine struct {
	store   *store
	rec     *recorder
	service string
	zone    string
	address string
	faults  engineFaults

	mu       sync.Mutex
	id       string
	stage    string
	born     int64
	faulty   window
	answers  int
	extras   int
	beats    int
	sequence int
	busy     bool
	fence    int64
	running  int
	handles  map[string]time.Time
	listener net.Listener
	conns    map[net.Conn]bool
	boot     int
}

// engineFaults are what a test lets an engine do wrong.
type engineFaults struct {
	// deadlyPart crashes the engine as it begins to write an answer on it.
	deadlyPart string
	// crashesAfterHead makes it crash after the head of the answer was sent, and not
	// before.
	crashesAfterHead bool
	downFor          time.Duration
	// repeatsLate makes the engine send some of its answers to orders a second time, when
	// the next request comes on the channel.
	repeatsLate bool
}

func (e *engine) start() {
	l, err := net.Listen("tcp", e.address)
	for tries := 0; err != nil && tries < 30; tries++ {
		time.Sleep(100 * time.Millisecond)
		l, err = net.Listen("tcp", e.address)
	}
	if err != nil {
		fatal("an engine cannot listen: %v", err)
	}
	e.mu.Lock()
	e.boot++
	e.id = fmt.Sprintf("i-%08x", rand.Uint32())
	e.born = time.Now().UnixMilli()
	e.beats, e.sequence, e.fence, e.busy, e.running = 0, 0, 0, false, 0
	e.handles = map[string]time.Time{}
	e.listener = l
	e.conns = map[net.Conn]bool{}
	boot, id := e.boot, e.id
	e.mu.Unlock()
	go e.accept(l, boot)
	go e.beat(boot, id)
}

// beat writes the engine's entry to the store while this boot lives. After that, the
// entry expires.
func (e *engine) beat(boot int, id string) {
	for e.putEntry(boot, id) {
		time.Sleep(heartbeat)
	}
	time.Sleep(3*heartbeat - heartbeat/2)
	e.store.put("keyed.servers", id, nil)
}

// putEntry writes the entry of a boot. It returns false if the boot has ended.
func (e *engine) putEntry(boot int, id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != boot || e.listener == nil {
		return false
	}
	e.beats++
	e.store.putJSON("keyed.servers", id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": slots, "state": "ready",
		"coldRemainingMs": 0, "stage": e.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"sequence": e.beats, "born": e.born,
	})
	return true
}

func (e *engine) accept(l net.Listener, boot int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.boot != boot || e.listener == nil {
			e.mu.Unlock()
			_ = c.Close()
			return
		}
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

// crash ends this boot: the listener and all channels close. The engine starts again
// after downFor.
func (e *engine) crash(why string) {
	e.mu.Lock()
	if e.listener == nil {
		e.mu.Unlock()
		return
	}
	_ = e.listener.Close()
	e.listener = nil
	conns := slices.Collect(maps.Keys(e.conns))
	id := e.id
	e.mu.Unlock()
	for _, c := range conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	e.rec.event("crash", "server", id, "why", why)
	go func() {
		time.Sleep(e.faults.downFor)
		e.start()
	}()
}

func (e *engine) serve(c net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	repeat := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if repeat != "" {
			e.rec.event("extra", "server", e.name(), "before", r.Header.Get("Attempt-Id"), "bytes", firstLine(repeat))
			_, _ = io.WriteString(c, repeat)
			repeat = ""
		}
		answer, keeps := e.answer(c, r, body)
		if answer != "" {
			if _, err := io.WriteString(c, answer); err != nil {
				return
			}
		}
		if !keeps {
			return
		}
		if e.countAnswer(r) {
			repeat = answer
		}
	}
}

// countAnswer counts the answers in the time of the fault. It reports whether this one is
// sent a second time.
func (e *engine) countAnswer(r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.repeatsLate || !e.faulty.contains(time.Now()) {
		return false
	}
	e.answers++
	isRepeated := r.Method == http.MethodPost && r.URL.Path == "/order"
	if isRepeated {
		e.extras++
	}
	return isRepeated
}

func (e *engine) name() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\r\n")
	return line
}

// reply is a complete answer with a length. It echoes Attempt-Id if there is one.
func reply(r *http.Request, status int, header, body string) string {
	echo := ""
	if id := r.Header.Get("Attempt-Id"); id != "" {
		echo = "Attempt-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%sKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), echo, header, len(body), body)
}

// answer handles one request. It returns the whole answer, or "" if it was written
// already, and whether the channel stays open.
func (e *engine) answer(c net.Conn, r *http.Request, body []byte) (string, bool) {
	id := r.Header.Get("Attempt-Id")
	e.mu.Lock()
	name, stage, isBusy := e.id, e.stage, e.busy
	e.mu.Unlock()
	if want := r.Header.Get("Expected-Instance"); want != "" && want != name {
		return reply(r, http.StatusMisdirectedRequest, "Instance-Id: "+name+"\r\n", ""), true
	}
	switch {
	case r.URL.Path == "/report":
		return reply(r, http.StatusOK, "Content-Type: application/json\r\n", e.report()), true
	case r.URL.Path == "/order":
		return reply(r, e.order(body), "", ""), true
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		e.mu.Lock()
		delete(e.handles, strings.TrimPrefix(r.URL.Path, "/kv-handle/"))
		e.mu.Unlock()
		return reply(r, http.StatusOK, "", ""), true
	case r.URL.Path == "/health":
		return reply(r, http.StatusOK, "Instance-Id: "+name+"\r\n", ""), true
	case id == "":
		return reply(r, http.StatusBadRequest, "Not-Executed: 1\r\n", ""), true
	case isBusy:
		return reply(r, http.StatusServiceUnavailable, "Not-Executed: 1\r\n", ""), true
	case r.Header.Get("Serving-Stage") == "prefill":
		if stage != "prefill" {
			return reply(r, http.StatusMisdirectedRequest, "Instance-Id: "+name+"\r\n", ""), true
		}
		return e.prefill(r), true
	case stage != "decode":
		return reply(r, http.StatusMisdirectedRequest, "Instance-Id: "+name+"\r\n", ""), true
	}
	return e.decode(c, r)
}

func (e *engine) report() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	raw, _ := json.Marshal(map[string]any{
		"stage": e.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": e.busy,
		"sequence": e.sequence, "waiting": 0, "running": e.running, "kvUsed": 0, "kvTotal": 73378, "kvHandles": len(e.handles), "born": e.born,
	})
	return string(raw)
}

// order carries out an order to change the stage.
func (e *engine) order(body []byte) int {
	var o struct {
		Operation, Stage, Holder string
		FencingToken             *int64
		Expect                   *int
	}
	if json.Unmarshal(body, &o) != nil || o.Operation != "stage" || o.Holder == "" || o.FencingToken == nil {
		return http.StatusBadRequest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case *o.FencingToken < e.fence:
		status = http.StatusPreconditionFailed
	case e.busy || o.Expect != nil && *o.Expect != e.sequence:
		status = http.StatusConflict
	case o.Stage == e.stage:
		status = http.StatusOK
	}
	e.fence = max(e.fence, *o.FencingToken)
	e.rec.event("order", "server", e.id, "stage", o.Stage, "holder", o.Holder, "status", strconv.Itoa(status))
	if status != http.StatusAccepted {
		return status
	}
	e.sequence++
	e.busy = true
	boot := e.boot
	go func() {
		time.Sleep(switchTime)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.boot == boot {
			e.stage, e.busy = o.Stage, false
			go e.putEntry(boot, e.id)
		}
	}()
	return status
}

func usage(r *http.Request) (prompt, output int) {
	in, out, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	prompt, _ = strconv.Atoi(in)
	output, _ = strconv.Atoi(out)
	return prompt, output
}

func (e *engine) prefill(r *http.Request) string {
	prompt, _ := usage(r)
	time.Sleep(time.Duration(prompt) * time.Millisecond / 55)
	handle := fmt.Sprintf("%012x", rand.Uint64()&0xffffffffffff)
	e.mu.Lock()
	e.handles[handle] = time.Now().Add(handleTTL)
	e.mu.Unlock()
	return reply(r, http.StatusOK, "Content-Type: application/json\r\n", fmt.Sprintf(`{"kvHandle":%q,"tokens":%d,"version":1}`, handle, prompt))
}

// engines finds an engine by its address, so that a decode engine can fetch the memory
// of a prompt.
var engines sync.Map

func takeHandle(source string) bool {
	address, handle, _ := strings.Cut(source, "/")
	found, ok := engines.Load(address)
	if !ok {
		return false
	}
	e := found.(*engine)
	e.mu.Lock()
	defer e.mu.Unlock()
	until, ok := e.handles[handle]
	delete(e.handles, handle)
	return ok && e.listener != nil && time.Now().Before(until)
}

// decode streams the answer of a request whose prompt was read elsewhere.
func (e *engine) decode(c net.Conn, r *http.Request) (string, bool) {
	id := r.Header.Get("Attempt-Id")
	hasPart := e.faults.deadlyPart != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), e.faults.deadlyPart+":")
	if source := r.Header.Get("Kv-Source"); source != "" && !takeHandle(source) {
		e.rec.event("no-memory", "server", e.name(), "id", id)
		return reply(r, http.StatusServiceUnavailable, "Not-Executed: 1\r\n", ""), true
	}
	e.mu.Lock()
	name := e.id
	isFull := e.running >= slots
	if !isFull {
		e.running++
	}
	e.mu.Unlock()
	if isFull {
		return reply(r, http.StatusServiceUnavailable, "Not-Executed: 1\r\n", ""), true
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.rec.event("run", "server", name, "id", id, "resumed-after", r.Header.Get("Last-Event-Id"))
	time.Sleep(eventTime / 2)
	if hasPart && !e.faults.crashesAfterHead {
		e.crash("begins to write an answer to " + id)
		return "", false
	}
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Signature: " + signature(id, name) + "\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nKeep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return "", false
	}
	if hasPart {
		time.Sleep(5 * time.Millisecond)
		e.crash("begins to write an answer to " + id)
		return "", false
	}
	_, output := usage(r)
	last := (output + tokensPerEvent - 1) / tokensPerEvent
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= last; n++ {
		time.Sleep(eventTime)
		event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			e.rec.event("broken-off", "server", name, "id", id)
			return "", false
		}
	}
	e.rec.event("done", "server", name, "id", id)
	return "0\r\n\r\n", true
}

func signature(id, server string) string { return server + "." + id }
