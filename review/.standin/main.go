// Standin shows the cases of the review. It starts daemons of the system as processes,
// and plays the clients, the servers and the platform's store on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	return &recorder{file: file, start: time.Now()}
}

// event writes one line with the time in seconds, and names and values.
func (r *recorder) event(what string, pairs ...string) {
	var line strings.Builder
	fmt.Fprintf(&line, "%8.3f  %-10s", time.Since(r.start).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			fmt.Fprintf(&line, " %s=%s", pairs[i], pairs[i+1])
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.file, line.String())
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "# "+format+"\n", args...)
	fmt.Printf(format+"\n", args...)
}

var running []*daemon

func stopAll() {
	for _, d := range running {
		d.kill()
	}
}

// cleanUp ends the daemons and removes the temporary folder, unless KEEP is set.
func cleanUp() {
	stopAll()
	if os.Getenv("KEEP") == "" && tempFolder != "" {
		_ = os.RemoveAll(tempFolder)
	}
}

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	cleanUp()
	os.Exit(exitFailed)
}

// deployment is a small deployment of the system.
type deployment struct {
	dir     string
	rec     *recorder
	store   *store
	daemons []*daemon
	engines []*engine
}

// newDeployment starts the store, the engines and the daemons, and waits until the
// daemons are ready.
func newDeployment(rec *recorder, daemons, prefill, decode int, config map[string]any, faults func(i int, stage string) engineFaults) *deployment {
	p := &deployment{dir: tempDir(), rec: rec, store: newStore()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("%v", err)
	}
	go func() { _ = http.Serve(l, p.store) }()
	p.store.putJSON("keyed.op", "config", config)
	for i := range prefill + decode {
		stage := "prefill"
		if i >= prefill {
			stage = "decode"
		}
		e := &engine{store: p.store, rec: rec, service: "formula-llm", zone: zones[i%len(zones)], address: freeEngineAddress(), stage: stage, faults: faults(i, stage)}
		engines.Store(e.address, e)
		p.engines = append(p.engines, e)
		e.start()
	}
	p.startDaemons(daemons, l.Addr().String())
	rec.event("ready", "daemons", fmt.Sprint(daemons), "prefill", fmt.Sprint(prefill), "decode", fmt.Sprint(decode))
	return p
}

// zones are the availability zones of the deployment.
var zones = []string{"bc-lower-a", "bc-lower-b", "bc-lower-c"}

// tempFolder is the temporary folder of this run, empty until tempDir made it.
var tempFolder string

func tempDir() string {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal("%v", err)
	}
	tempFolder = dir
	return dir
}

// startDaemons starts daemons with a store at an address, and waits until they are ready.
func (p *deployment) startDaemons(count int, storeAddress string) {
	for i := range count {
		d := newDaemon(p.dir, fmt.Sprintf("edge-%d", i+1), zones[i%len(zones)], storeAddress)
		d.start()
		running = append(running, d)
		p.daemons = append(p.daemons, d)
	}
	awaitReady(p.daemons)
}

const key = "3d3zji9n73hh2b9wu3fe"

// configuration is a configuration like the one that `fleetbench wire` prints, with the
// figures of the site fraserwell-cost.
func configuration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "r-summary", "host": "costing.example", "pathPrefix": "/summary/", "kind": "streaming", "timeoutMs": 14000, "targetLatencyMs": 900, "priority": 1, "service": "formula-llm", "attempts": 2, "anonymous": false, "sticky": true, "resumable": true, "targetGapMs": 300},
			map[string]any{"name": "r-compare", "host": "costing.example", "pathPrefix": "/compare/", "kind": "streaming", "timeoutMs": 14000, "targetLatencyMs": 900, "priority": 1, "service": "formula-llm", "attempts": 1, "anonymous": false, "sticky": true, "resumable": false, "targetGapMs": 300},
		},
		"services": []any{
			map[string]any{"name": "formula-llm", "healthPath": "/health", "connectionLimit": 290, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": slots, "kvCapacityTokens": 73378, "kvTokenBytes": 18432, "linkMbps": 1100000.0, "moves": true, "backups": true, "stride": tokensPerEvent, "most": 12, "handleTtlS": handleTTL.Seconds(), "switchS": switchTime.Seconds(), "pinMs": 4000.0, "holdMs": 2000.0, "models": []any{map[string]any{"name": "m"}}}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "keys": []string{key}, "priority": 1, "unit": "token_accounting", "uncachedTokens": 200, "ratePerS": 1000000, "burst": 1000000}},
	}
}

// init keeps the main goroutine on the main thread: a daemon ends with the thread that
// started it.
func init() { runtime.LockOSThread() }

func main() {
	name := flag.String("case", "", "the case")
	record := flag.String("record", "record.txt", "where to write the record")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(rec *recorder, trouble bool) bool{
		"config-skip":    configSkipCase,
		"deadly-control": deadlyControlCase,
		"deadly-part":    deadlyPartCase,
		"long-prefix":    longPrefixCase,
		"same-size":      sameSizeCase,
		"false-refusal":  falseRefusalCase,
		"late-extra":     lateExtraCase,
	}
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(exitFailed)
	}
	rec := newRecorder(*record)
	rec.note("case %s, TROUBLE=%t", *name, trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		fatal("it was stopped")
	}()
	time.AfterFunc(110*time.Second, func() { fatal("it took too long") })
	held := play(rec, trouble)
	cleanUp()
	if held {
		rec.note("the rule held")
		os.Exit(exitHeld)
	}
	rec.note("the rule was broken")
	os.Exit(exitBroken)
}
