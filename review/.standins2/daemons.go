package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// daemon is a process of the project that serves clients.
type daemon struct {
	name, callers, peers, readiness, settings string

	run *run
	mu  sync.Mutex
	cmd *exec.Cmd
}

// loopback is a loopback host that no other run uses, so that runs at the same time don't take
// each other's ports.
var loopback = fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250), 1+rand.IntN(250))

var (
	drawnMu sync.Mutex
	drawn   = make(map[int]bool)
)

// freeAddress returns a loopback address that nobody listens on. It draws no port twice, and
// none from the kernel's range for outgoing channels.
func freeAddress() string {
	drawnMu.Lock()
	defer drawnMu.Unlock()
	for {
		port := 11_000 + rand.IntN(20_000)
		address := fmt.Sprintf("%s:%d", loopback, port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		if drawn[port] {
			continue
		}
		drawn[port] = true
		return address
	}
}

// startDaemon writes the settings of a daemon, as deploy/settings.jsonc renders them with
// the bounds of the site fraserwell-cost, and starts it.
func (r *run) startDaemon(i int, storeAddress string) *daemon {
	d := &daemon{run: r, name: fmt.Sprintf("edge-%d", i), callers: freeAddress(), peers: freeAddress(), readiness: freeAddress()}
	zone := []string{"bc-lower-a", "bc-lower-b", "bc-lower-c"}[i%3]
	text, _ := json.MarshalIndent(map[string]any{
		"vm": d.name, "zone": zone, "callers": d.callers, "peers": d.peers, "operators": freeAddress(), "log": storeAddress,
		"entry-max-age": "2s",
		"gateway": map[string]any{
			"readiness": d.readiness, "directory": freeAddress(), "memory-mib": 134, "file-descriptors": 4100, "cpu-share": 0.4,
			"grace": "8s", "retry-ratio": 0.2, "retry-extra": 52, "retry-window": "10s", "limit-overshoot": 0.1,
			"limit-slack-tokens": 110000, "limit-window": "8s", "limit-account": "bucket", "order-lease": "3000ms",
			"zones":         map[string]string{"bc-lower-a": "bc-lower", "bc-lower-b": "bc-lower", "bc-lower-c": "bc-lower"},
			"engine-choice": "auto", "zone-spill": "off", "log-lines": 200,
		},
	}, "", "  ")
	d.settings = filepath.Join(r.dir, d.name+".jsonc")
	err := os.WriteFile(d.settings, text, 0o600)
	if err != nil {
		panic(err)
	}
	r.daemons = append(r.daemons, d)
	d.start()
	return d
}

func (d *daemon) start() {
	log, err := os.OpenFile(filepath.Join(d.run.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(d.run.binary, "serve", "-settings", d.settings)
	cmd.Stdout, cmd.Stderr = log, log
	err = cmd.Start()
	if err != nil {
		d.run.fail("cannot start a daemon: %v", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd = cmd
}

// kill ends the process at once and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	cmd := d.cmd
	d.cmd = nil
	d.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready and have been so for a while.
func (r *run) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, d := range r.daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				r.fail("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
