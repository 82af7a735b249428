package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// The figures of the site: configApplyMs and recordBytes.
	configApply = 2 * time.Second
	recordBytes = 262144
	// stormGap and stormCount are config_storm's, at most a change each 0.33 s for 4 s.
	stormGap    = 330 * time.Millisecond
	stormCount  = 6
	droppedKey  = "xd9dnn2ctnfzs989anu6"
	lookupRoute = "r-lookup"
)

// bigConfiguration has as many routes as fit into 250,000 bytes, below recordBytes. It
// holds droppedKey, and routes look-ups to a service, as its arguments say.
func bigConfiguration(version int, lookupService string, hasDroppedKey bool) (raw []byte, routes int) {
	c := configuration()
	c["version"] = version
	list := []any{map[string]any{"name": lookupRoute, "host": "costing.example", "pathPrefix": "/lookup/", "kind": "safe", "timeoutMs": 800, "targetLatencyMs": 150, "priority": 2, "service": lookupService, "attempts": 2, "anonymous": false, "sticky": false, "resumable": false}}
	services := []any{}
	for _, name := range []string{"costing-app", "costing-new"} {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "connectionLimit": 96, "protocol": "h1", "tls": false})
	}
	c["services"] = services
	keys := []string{key}
	if hasDroppedKey {
		keys = append(keys, droppedKey)
	}
	c["tenants"].([]any)[0].(map[string]any)["keys"] = keys
	for size := 0; size < 248_000; {
		route := map[string]any{"name": fmt.Sprintf("r-%d", len(list)), "host": "costing.example", "pathPrefix": fmt.Sprintf("/more%d/", len(list)), "kind": "safe", "timeoutMs": 800, "targetLatencyMs": 150, "priority": 2, "service": "costing-app", "attempts": 2, "anonymous": false, "sticky": false, "resumable": false}
		text, _ := json.Marshal(route)
		size += len(text) + 1
		list = append(list, route)
	}
	c["routes"] = list
	raw, _ = json.Marshal(c)
	if len(raw) > recordBytes {
		fatal("the configuration has %d bytes", len(raw))
	}
	return raw, len(list)
}

// configSkipCase lets the operator change a large configuration six times. With trouble,
// the open channels to the store go silent just before. The last change takes a key away
// and moves a route to another service.
func configSkipCase(rec *recorder, trouble bool) bool {
	p := &deployment{dir: tempDir(), rec: rec, store: newStore()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("%v", err)
	}
	go func() { _ = http.Serve(l, p.store) }()
	gate := newProxy(l.Addr().String())
	raw, routes := bigConfiguration(7, "costing-app", true)
	p.store.put("keyed.op", "config", raw)
	rec.event("config", "version", "7", "routes", strconv.Itoa(routes), "bytes", strconv.Itoa(len(raw)))
	for _, zone := range zones {
		startApp(p, "costing-app", zone)
		startApp(p, "costing-new", zone)
	}
	p.startDaemons(3, gate.address)
	time.Sleep(4 * time.Second)
	c := newClient(p)
	before := c.lookUps(rec, droppedKey, 6)
	rec.note("before the changes: %d of 6 look-ups with the key served by costing-app", before["costing-app"])
	if before["costing-app"] < 5 {
		fatal("the deployment does not serve")
	}
	if trouble {
		rec.event("silent", "channels", strconv.Itoa(gate.silence()))
	}
	version := 7
	for n := 1; n <= stormCount; n++ {
		version += n
		isLast := n == stormCount
		service := "costing-app"
		if isLast {
			service = "costing-new"
		}
		raw, _ := bigConfiguration(version, service, !isLast)
		p.store.put("keyed.op", "config", raw)
		rec.event("config", "version", strconv.Itoa(version), "bytes", strconv.Itoa(len(raw)), "key-dropped", strconv.FormatBool(isLast), "look-ups-go-to", service)
		if !isLast {
			time.Sleep(stormGap)
		}
	}
	acked := time.Now()
	// Machines are in touch again 3 s after the channels went silent.
	time.Sleep(configApply + stabilityWindow + 5*time.Second)
	dropped, moved := map[string]int{}, map[string]int{}
	for range 8 {
		add(dropped, c.lookUps(rec, droppedKey, 5))
		add(moved, c.lookUps(rec, key, 5))
		time.Sleep(2 * time.Second)
	}
	rec.note("sent 10 to 27 s after the ack of version %d, 40 with the key that it took away: %v", version, dropped)
	rec.note("sent 10 to 27 s after the ack, 40 on the route that it moved to costing-new: %v", moved)
	for _, d := range p.daemons {
		rec.note("%s: %s", d.name, lastVersion(d))
	}
	rec.event("checked", "seconds-after-the-ack", fmt.Sprintf("%.1f", time.Since(acked).Seconds()))
	return dropped["costing-app"]+dropped["costing-new"]+moved["costing-app"] == 0
}

func add(to, from map[string]int) {
	for name, n := range from {
		to[name] += n
	}
}

// lastVersion is the newest version that a daemon's log says is in force.
func lastVersion(d *daemon) string {
	last := "no version in its log"
	for line := range strings.SplitSeq(readFile(d.log.Name()), "\n") {
		if _, text, ok := strings.Cut(line, "A version is in force.\" "); ok {
			last = text
		}
	}
	return last
}

// lookUps sends look-ups at the same time to all daemons in turn, and counts how they
// were answered: by which service, or with which status.
func (c *client) lookUps(rec *recorder, with string, count int) map[string]int {
	c.mu.Lock()
	addresses := c.addresses
	c.mu.Unlock()
	var mu sync.Mutex
	var all sync.WaitGroup
	answers := map[string]int{}
	for n := range count {
		all.Go(func() {
			id := newID()
			req, err := http.NewRequest(http.MethodGet, "http://"+addresses[n%len(addresses)]+"/lookup/1", nil)
			if err != nil {
				fatal("%v", err)
			}
			req.Host = "costing.example"
			req.Header.Set("Attempt-Id", id)
			req.Header.Set("Deadline-Ms", "1500")
			req.Header.Set("Authorization", "Bearer "+with)
			rec.event("sent", "id", id, "daemon", addresses[n%len(addresses)], "key", with[:4])
			answer := "no answer"
			resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
			if err == nil {
				body, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				answer = strconv.Itoa(resp.StatusCode)
				if resp.StatusCode == http.StatusOK {
					answer, _, _ = strings.Cut(string(body), " ")
				}
			}
			rec.event("answer", "id", id, "key", with[:4], "by", answer)
			mu.Lock()
			defer mu.Unlock()
			answers[answer]++
		})
	}
	all.Wait()
	return answers
}
