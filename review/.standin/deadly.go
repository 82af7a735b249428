package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// deadlyCount counts the sound streams: all, those served whole, those cut after their
// head, and the others by their status.
type deadlyCount struct {
	mu     sync.Mutex
	sound  int
	served int
	cut    int
	failed map[string]int
}

const stabilityWindow = 3 * time.Second

// playDeadly sends sound streams and streams with a part that crashes servers, and checks
// the rule BUDGET of the letter on such parts.
func playDeadly(rec *recorder, trouble bool, sharedParts int, crashesAfterHead, sameSize bool) bool {
	deadlyPart := fmt.Sprintf("%08x", 0xdeadbe00+time.Now().UnixNano()%200)
	part := ""
	if trouble {
		part = deadlyPart
	}
	p := newDeployment(rec, 3, 3, 8, configuration(), func(int, string) engineFaults {
		return engineFaults{deadlyPart: part, crashesAfterHead: crashesAfterHead, downFor: 3 * time.Second}
	})
	c := newClient(p)
	var shared []string
	for i := range sharedParts {
		shared = append(shared, fmt.Sprintf("5c1e%04x:120", i))
	}
	count := &deadlyCount{failed: map[string]int{}}
	newStream := func(isDeadly bool) stream {
		parts := append([]string{}, shared...)
		if isDeadly {
			parts = append(parts, deadlyPart+":200")
		}
		parts = append(parts, newID()[:8]+":900")
		path := "/summary/1"
		if !isDeadly && rand.IntN(3) == 0 {
			path = "/compare/1" // may not be resumed
		}
		s := stream{path: path, prefix: strings.Join(parts, ","), prompt: 120*sharedParts + 900, output: 2 * tokensPerEvent, hint: 70, label: "sound"}
		if isDeadly {
			s.label = "deadly"
			s.prompt += 200
		}
		// No two requests are alike: each has a last part of its own. The sizes of these
		// parts differ too, unless they are from one template.
		if !sameSize {
			s.prompt += int(time.Now().UnixNano() % 97)
		}
		return s
	}
	time.Sleep(4 * time.Second)
	const length = 45 * time.Second
	c.every(400*time.Millisecond, length, func() {
		s := newStream(false)
		r := c.send(s)
		count.mu.Lock()
		defer count.mu.Unlock()
		count.sound++
		switch {
		case r.isServed(s):
			count.served++
		case r.status == http.StatusOK:
			count.cut++
		default:
			count.failed[strconv.Itoa(r.status)]++
		}
	})
	c.every(2*time.Second, length, func() { _ = c.send(newStream(true)) })
	c.wait.Wait()
	return checkDeadly(rec, count)
}

// checkDeadly counts the requests with the part that reached a server later than the
// stability window after the fifth crash.
func checkDeadly(rec *recorder, count *deadlyCount) bool {
	rec.mu.Lock()
	raw := readFile(rec.file.Name())
	rec.mu.Unlock()
	deadly := map[string]bool{}
	reached := map[string]bool{}
	crashes := 0
	runs := 0
	fifth := -1.0
	for line := range strings.SplitSeq(raw, "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		at := 0.0
		_, _ = fmt.Sscan(fields[0], &at)
		values := map[string]string{}
		for _, f := range fields[2:] {
			name, value, _ := strings.Cut(f, "=")
			values[name] = value
		}
		switch {
		case fields[1] == "sent" && values["kind"] == "deadly":
			deadly[values["id"]] = true
		case fields[1] == "crash":
			crashes++
			if crashes == 5 {
				fifth = at
			}
		case fields[1] == "run" && deadly[values["id"]]:
			runs++
			if fifth >= 0 && at > fifth+stabilityWindow.Seconds() {
				reached[values["id"]] = true
			}
		}
	}
	rec.note("crashes of servers: %d; requests with the part: %d, of which %d reached decode servers later than 3 s after the fifth crash (3 are allowed)", crashes, len(deadly), len(reached))
	rec.note("sound streams: %d, served whole %d, cut after their head %d, others by status %v", count.sound, count.served, count.cut, count.failed)
	return len(reached) <= 3
}

// deadlyPartCase has servers that crash before the head of their answer is sent.
func deadlyPartCase(rec *recorder, trouble bool) bool {
	return playDeadly(rec, trouble, 1, false, false)
}

// deadlyControlCase is the same with servers that crash after the head. It is no case: it
// shows that the rule is kept there.
func deadlyControlCase(rec *recorder, trouble bool) bool {
	return playDeadly(rec, trouble, 1, true, false)
}

// longPrefixCase has prompts of 34 parts, the deadly one after 32 shared ones.
func longPrefixCase(rec *recorder, trouble bool) bool {
	return playDeadly(rec, trouble, 32, true, false)
}

// sameSizeCase has requests whose last parts have the same size.
func sameSizeCase(rec *recorder, trouble bool) bool { return playDeadly(rec, trouble, 1, true, true) }
