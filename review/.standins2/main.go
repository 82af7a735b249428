// Stand-ins for the cases 6 to 10 of the review: clients, servers and the platform's store.
// They run the project's daemons as separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// run is one run of a case.
type run struct {
	dir, binary string
	// isTroubled is false if the run must go without the disruption.
	isTroubled bool
	startedAt  time.Time
	daemons    []*daemon

	mu     sync.Mutex
	record *os.File
}

var cases = map[string]func(r *run) (isBroken bool){
	"late-write":     lateWrite,
	"long-read":      longRead,
	"quota":          quota,
	"retry-after":    retryAfter,
	"deadly-part":    deadlyPart,
	"deadly-control": deadlyControl,
	"deadly-later":   deadlyLater,
	"retry-budget":   retryBudget,
}

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// main runs the case that the first argument names. The others are the daemon's program and
// the file for the record.
func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE DAEMON RECORD")
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	binary, _ := filepath.Abs(os.Args[2])
	r := &run{dir: dir, binary: binary, isTroubled: os.Getenv("TROUBLE") != "0", startedAt: time.Now(), record: record}
	go r.guard()
	isBroken := cases[os.Args[1]](r)
	if isBroken {
		r.say("BROKEN")
		r.end(exitBroken)
	}
	r.say("HELD")
	r.end(exitHeld)
}

// maxTime is the longest time that a case may take.
const maxTime = 119 * time.Second

// guard ends the run, with all that it started, on a signal and after maxTime.
func (r *run) guard() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case s := <-signals:
		r.fail("%s", s)
	case <-time.After(maxTime):
		r.fail("it took too long")
	}
}

// note writes a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f s  "+format+"\n", append([]any{time.Since(r.startedAt).Seconds()}, args...)...)
}

// say writes a line to the record and to the standard output.
func (r *run) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// fail ends a run that cannot be carried out.
func (r *run) fail(format string, args ...any) {
	r.say("could not run: "+format, args...)
	r.end(exitNotRun)
}

func (r *run) end(code int) {
	for _, d := range r.daemons {
		d.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println(r.dir)
	}
	os.Exit(code)
}
