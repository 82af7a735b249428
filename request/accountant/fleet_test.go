package accountant

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/request/apportioner"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
)

const (
	testWindow = 8 * time.Second
	testLease  = 1200 * time.Millisecond
	// staleAfter is how long a daemon admits without knowledge of a newer epoch.
	staleAfter        = 4 * time.Second
	heartbeatInterval = 400 * time.Millisecond
	testTolerance     = 100_000
	testLimit         = 500_000
)

var testBounds = Bounds{Limit: testLimit, Allowed: testLimit + 0.4*testTolerance, Unconfirmed: 0.3 * testTolerance}

// testNode is one daemon of a fleet without network.
type testNode struct {
	fleet       *testFleet
	member      epochtracker.Member
	accountant  *Accountant
	apportioner *apportioner.Apportioner
	isAlive     bool
	pausedUntil time.Time
	// entered is the number of epochs that the node knows.
	entered  int
	epoch    epochtracker.Epoch
	peers    map[identifier.Incarnation]identifier.Position
	answers  map[identifier.Incarnation]time.Time
	sentAt   time.Time
	mustSend bool
	deputy   testAllowance
	isolated testAllowance
	// isDrained is set once the node admits nothing more as home, before it stops.
	isDrained bool
	pending   []testPending
}

// testPending is a request that waits for a confirmation.
type testPending struct {
	key       Key
	tokens    identifier.Tokens
	position  identifier.Tokens
	expiresAt time.Time
}

// testAllowance holds the admissions within a part of the tolerance.
type testAllowance []testAdmission

// take reports whether tokens fit into an allowance, and adds them.
func (a *testAllowance) take(now time.Time, tokens identifier.Tokens, allowed float64) bool {
	used := tokens
	for _, admission := range *a {
		if now.Sub(admission.at) <= testWindow {
			used += admission.tokens
		}
	}
	if float64(used) > allowed {
		return false
	}
	*a = append(*a, testAdmission{at: now, tokens: tokens})
	return true
}

type testAdmission struct {
	at     time.Time
	tokens identifier.Tokens
	by     identifier.Incarnation
	isHome bool
}

// testMessage runs at a node when it is due and the node is not paused.
type testMessage struct {
	at  time.Time
	to  *testNode
	run func()
}

type testFleet struct {
	clock    *clockwork.FakeClock
	nodes    []*testNode
	epochs   []epochtracker.Epoch
	begunAt  []time.Time
	next     identifier.Position // of the next epoch in the log
	cut      map[[2]int]bool
	messages []testMessage
	admitted []testAdmission
	number   int64
	// delay returns the delay of the next message or of the next record read.
	delay func(limit time.Duration) time.Duration
}

func newTestFleet(size int, delay func(time.Duration) time.Duration) *testFleet {
	f := &testFleet{clock: clockwork.NewFakeClock(), cut: make(map[[2]int]bool), delay: delay}
	for i := range size {
		f.nodes = append(f.nodes, nil)
		f.start(i, size)
	}
	return f
}

// start starts a new process on a VM.
func (f *testFleet) start(vm, size int) {
	f.number++
	member := epochtracker.Member{Incarnation: identifier.Incarnation(fmt.Sprintf("i%d-%d", vm, f.number)), VM: identifier.VMName(fmt.Sprintf("vm%d", vm))}
	n := &testNode{fleet: f, member: member, isAlive: true, peers: make(map[identifier.Incarnation]identifier.Position), answers: make(map[identifier.Incarnation]time.Time), epoch: epochtracker.Epoch{Number: identifier.NoPosition}}
	n.accountant = New(f.clock, member.Incarnation, testWindow, testLease)
	n.accountant.HoldsLimit = func(identifier.WorkspaceName) bool { return n.holdsLimit() }
	n.accountant.Configure(map[identifier.WorkspaceName]Bounds{"w": testBounds})
	n.apportioner = apportioner.New(f.clock, member, testWindow)
	n.apportioner.ObserveFleetSize(size)
	f.nodes[vm] = n
}

// propose begins an epoch with the processes that now run on the given VMs.
func (f *testFleet) propose(vms ...int) {
	epoch := epochtracker.Epoch{Number: f.next, BasedOn: identifier.NoPosition}
	if len(f.epochs) > 0 {
		epoch.BasedOn = f.epochs[len(f.epochs)-1].Number
	}
	f.next++
	for _, vm := range vms {
		epoch.Members = append(epoch.Members, f.nodes[vm].member)
	}
	f.epochs, f.begunAt = append(f.epochs, epoch), append(f.begunAt, f.clock.Now())
}

// loseEpochs lets the log come back from a copy that lacks the newest epochs.
func (f *testFleet) loseEpochs(count int) {
	f.next = identifier.NewPosition(f.next.Era()+1, max(0, f.next.Offset()-identifier.Offset(count)))
}

// isCurrent reports whether a node knows every epoch that is older than staleAfter.
func (n *testNode) isCurrent() bool {
	return n.entered == len(n.fleet.epochs) || n.fleet.clock.Since(n.fleet.begunAt[n.entered]) < staleAfter
}

func (n *testNode) holdsLimit() bool {
	if len(n.epoch.Members) == 0 || n.epoch.RankedMembers("w")[0].Incarnation != n.member.Incarnation || !n.isCurrent() {
		return false
	}
	answered := 0
	for _, m := range n.epoch.Members {
		if m.Incarnation == n.member.Incarnation {
			answered++
			continue
		}
		newest, heard := n.peers[m.Incarnation]
		if !heard || newest < n.epoch.Number {
			return false
		}
		sentAt, ok := n.answers[m.Incarnation]
		if ok && newest <= n.epoch.Number && n.fleet.clock.Since(sentAt) <= testLease {
			answered++
		}
	}
	return answered*2 > len(n.epoch.Members) && !n.isDrained
}

func (n *testNode) isRunning() bool {
	return n.isAlive && !n.fleet.clock.Now().Before(n.pausedUntil)
}

// learn enters the next epoch that the node does not know.
func (n *testNode) learn() {
	n.epoch = n.fleet.epochs[n.entered]
	n.entered++
	n.accountant.EnterEpoch(n.epoch)
	n.apportioner.EnterEpoch(n.epoch)
	n.mustSend = true
}

// send sends a heartbeat to another node, and takes its response.
func (n *testNode) send(i, j int) {
	f := n.fleet
	other := f.nodes[j]
	sentAt := f.clock.Now()
	sentIn := n.accountant.Epoch()
	isDrained := n.isDrained
	accounts := n.accountant.Export(other.member.Incarnation)
	f.post(i, j, other, func() {
		other.peers[n.member.Incarnation] = max(other.peers[n.member.Incarnation], sentIn)
		other.accountant.Adopt(n.member.Incarnation, sentIn, accounts, isDrained)
		epoch := other.accountant.Epoch()
		f.post(j, i, n, func() {
			if f.clock.Since(sentAt) > time.Second {
				return // the exchange has timed out
			}
			n.peers[other.member.Incarnation] = max(n.peers[other.member.Incarnation], epoch)
			n.answers[other.member.Incarnation] = sentAt
			n.accountant.Confirm(other.member.Incarnation, sentIn, epoch, accounts)
		})
	})
}

func (f *testFleet) post(from, to int, node *testNode, run func()) {
	if f.cut[[2]int{from, to}] {
		return
	}
	f.messages = append(f.messages, testMessage{at: f.clock.Now().Add(f.delay(60 * time.Millisecond)), to: node, run: run})
}

// step lets time pass: messages arrive, heartbeats are sent, epochs are learned.
func (f *testFleet) step(d time.Duration) {
	f.clock.Advance(d)
	f.deliver()
	for i, n := range f.nodes {
		if !n.isRunning() {
			continue
		}
		for n.entered < len(f.epochs) && f.clock.Since(f.begunAt[n.entered]) >= f.delay(staleAfter) {
			n.learn()
		}
		if n.mustSend || f.clock.Since(n.sentAt) >= heartbeatInterval {
			n.mustSend, n.sentAt = false, f.clock.Now()
			for j := range f.nodes {
				if j != i {
					n.send(i, j)
				}
			}
		}
		n.accountant.BeginAll()
		n.finishPending()
	}
}

func (f *testFleet) deliver() {
	for again := true; again; {
		again = false
		due := f.messages
		f.messages = nil
		for _, m := range due {
			if !m.to.isAlive {
				continue
			}
			if f.clock.Now().Before(m.at) || !m.to.isRunning() {
				f.messages = append(f.messages, m)
				continue
			}
			m.run()
			again = true
		}
	}
}

// finishPending does what Accountant.awaitConfirmation does, without blocking.
func (n *testNode) finishPending() {
	var waiting []testPending
	for _, p := range n.pending {
		a := n.accountant
		a.mu.Lock()
		b := a.books["w"]
		isDone := b.isHeld && p.position-a.majorityConfirmed(b) <= b.bounds.Unconfirmed
		a.mu.Unlock()
		switch {
		case n.fleet.clock.Now().After(p.expiresAt):
			a.Refund(p.key)
		case isDone && n.holdsLimit():
			n.fleet.record(p.tokens, n.member.Incarnation, true)
		default:
			waiting = append(waiting, p)
		}
	}
	n.pending = waiting
}

// request asks a node for tokens as home, and if it does not hold the limit, as deputy
// and then as a daemon that reaches no other.
func (n *testNode) request(tokens identifier.Tokens) Outcome {
	f := n.fleet
	if !n.isRunning() {
		return NotHolder
	}
	f.number++
	key := Key{Requester: "r", Number: f.number}
	if n.holdsLimit() {
		decision, position, _ := n.accountant.tryAdmit(key, "w", tokens, f.clock.Now())
		switch {
		case position > 0:
			n.pending = append(n.pending, testPending{key: key, tokens: tokens, position: position, expiresAt: f.clock.Now().Add(confirmTimeout)})
			n.mustSend = true
			return ""
		case decision.Outcome == Granted:
			f.record(tokens, n.member.Incarnation, true)
			return Granted
		case decision.Outcome == Refused:
			return Refused
		}
	}
	asDeputy := n.isCurrent() && n.deputy.take(f.clock.Now(), tokens, n.apportioner.DeputyPart("w")*testTolerance)
	if !asDeputy && !n.isolated.take(f.clock.Now(), tokens, n.apportioner.IsolatedPart()*testTolerance) {
		return NotHolder
	}
	f.record(tokens, n.member.Incarnation, false)
	return Granted
}

func (f *testFleet) record(tokens identifier.Tokens, by identifier.Incarnation, isHome bool) {
	f.admitted = append(f.admitted, testAdmission{at: f.clock.Now(), tokens: tokens, by: by, isHome: isHome})
}

// check fails if homes admitted more than their bound in the last window, or all nodes
// more than the parts of the tolerance that homes, deputies and daemons alone have.
func (f *testFleet) check(t *rapid.T) {
	by := make(map[identifier.Incarnation]identifier.Tokens)
	homes, all := identifier.Tokens(0), identifier.Tokens(0)
	for _, admission := range f.admitted {
		if f.clock.Since(admission.at) >= testWindow {
			continue
		}
		by[admission.by] += admission.tokens
		all += admission.tokens
		if admission.isHome {
			homes += admission.tokens
		}
	}
	if homes > testBounds.Allowed || all > testLimit+0.9*testTolerance {
		t.Fatalf("%d tokens in one window, %d of homes, epochs %d: %v", all, homes, len(f.epochs), by)
	}
}
