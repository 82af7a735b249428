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
	"regexp"
	"strconv"
	"syscall"
	"time"
)

// daemon is one process of the system.
type daemon struct {
	name      string
	frontend  string
	directory string
	readiness string
	settings  string
	cmd       *exec.Cmd
	log       *os.File
}

func freePort() int { return freePortOn("127.0.0.1") }

// givenPorts holds the ports that freePortOn has returned.
var givenPorts = map[int]bool{}

// freePortOn returns a free port below those that the kernel gives to outgoing channels, so
// that it stays free until a process listens on it.
func freePortOn(host string) int {
	for range 1000 {
		port := 12000 + rand.IntN(20000)
		if givenPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", host+":"+strconv.Itoa(port))
		if err == nil {
			_ = l.Close()
			givenPorts[port] = true
			return port
		}
	}
	fatal("no free port on %s", host)
	return 0
}

func freeAddress() string { return "127.0.0.1:" + strconv.Itoa(freePort()) }

// engineHost is a loopback address on which no client opens channels, so that the port of
// an engine that is down stays free.
const engineHost = "127.0.0.2"

func freeEngineAddress() string { return engineHost + ":" + strconv.Itoa(freePortOn(engineHost)) }

var (
	section     = regexp.MustCompile(`(?s)\{\{#([A-Za-z.0-9]+)\}\}(.*?)\{\{/[A-Za-z.0-9]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([A-Za-z.0-9]+)(\|json)?\}\}`)
)

// render fills in the project's template of the settings from the fields of DEPLOY.md.
func render(template string, fields map[string]any) string {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		m := section.FindStringSubmatch(text)
		if fields[m[1]] == nil {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		m := placeholder.FindStringSubmatch(text)
		value, ok := fields[m[1]]
		switch {
		case !ok:
			return ""
		case m[2] != "":
			raw, _ := json.Marshal(value)
			return string(raw)
		}
		return fmt.Sprint(value)
	})
}

// newDaemon writes the settings of a daemon. The bounds are those of the site
// fraserwell-cost.
func newDaemon(dir, name, zone, storeAddress string) *daemon {
	d := &daemon{name: name, frontend: freeAddress(), directory: freeAddress(), readiness: freeAddress(), settings: filepath.Join(dir, name+".settings")}
	template, err := os.ReadFile("deploy/settings.jsonc")
	if err != nil {
		fatal("read the template: %v", err)
	}
	text := render(string(template), map[string]any{
		"nodeName": name, "zone": zone, "ip": "127.0.0.1",
		"internalPorts.0": freePort(), "internalPorts.1": freePort(),
		"listen.frontend": d.frontend, "listen.readiness": d.readiness, "listen.directory": d.directory,
		"platform.address": storeAddress, "limits.memoryMb": 134, "limits.cpuShare": 0.4,
		"bounds.graceS": 8, "bounds.retryBudgetRatio": 0.2, "bounds.budgetExtraRetries": 52, "bounds.budgetWindowS": 10,
		"bounds.quotaOvershoot": 0.1, "bounds.quotaSlack": 110000, "bounds.quotaWindowS": 8, "bounds.leaseMs": 3000,
	})
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		fatal("write the settings: %v", err)
	}
	d.log, err = os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		fatal("create the log: %v", err)
	}
	return d
}

// start runs the daemon with the command of deploy/system.toml.
func (d *daemon) start() {
	d.cmd = exec.Command("target/sassafraspass", "serve", "-settings", d.settings)
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SASSAFRASPASS_NODE_FILE=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		fatal("start %s: %v", d.name, err)
	}
}

func (d *daemon) kill() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	_ = d.cmd.Process.Kill()
	_ = d.cmd.Wait()
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

func awaitReady(daemons []*daemon) {
	deadline := time.Now().Add(25 * time.Second)
	for _, d := range daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				fatal("%s is not ready", d.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// resolve asks a daemon's directory for the addresses of the daemons.
func resolve(d *daemon) []string {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.directory + "/resolution?name=costing.example&region=bc-lower&zone=bc-lower-a")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addresses
}
