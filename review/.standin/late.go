package main

import (
	"sync"
	"time"
)

// lateExtraCase sends streams with short prompts and long answers, so that the system
// gives orders to engines that read prompts. Two of the four engines send their answer to
// an order a second time, when the next request comes on the channel.
func lateExtraCase(rec *recorder, trouble bool) bool {
	p := newDeployment(rec, 3, 2, 2, configuration(), func(_ int, stage string) engineFaults {
		return engineFaults{repeatsLate: trouble && stage == "prefill"}
	})
	c := newClient(p)
	time.Sleep(4 * time.Second)
	for _, e := range p.engines {
		e.mu.Lock()
		e.faulty = garbleFrom(time.Now())
		e.mu.Unlock()
	}
	var mu sync.Mutex
	sent, wrong := 0, 0
	c.every(60*time.Millisecond, 40*time.Second, func() {
		s := stream{path: "/summary/1", prefix: "5c1e07a2:40," + newID()[:8] + ":60", prompt: 100, output: 16 * tokensPerEvent, hint: 900, label: "sound"}
		r := c.send(s)
		mu.Lock()
		defer mu.Unlock()
		sent++
		if r.status/100 == 2 && r.signature == "" {
			wrong++
			rec.event("WRONG", "id", r.id, "why", "a-success-without-Server-Signature")
		}
	})
	c.wait.Wait()
	answers, extras := 0, 0
	for _, e := range p.engines {
		e.mu.Lock()
		answers, extras = answers+e.answers, extras+e.extras
		e.mu.Unlock()
	}
	rec.note("answers of the two faulty engines in the 5 s of the fault: %d, sent a second time: %d", answers, extras)
	rec.note("streams: %d, answered with a success that no server gave: %d", sent, wrong)
	return wrong == 0
}
