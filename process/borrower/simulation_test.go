package borrower

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/asserter"
	"sassafraspass.dev/sassafraspass/process/confirmer"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/proposer"
	"sassafraspass.dev/sassafraspass/request/limiter"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// node simulates the part of a daemon that decides on limits.
type node struct {
	index        int
	limiter      *limiter.Limiter
	borrower     *Borrower
	epochTracker *epochtracker.Tracker
	peers        *heartbeater.Peers
	proposer     *proposer.Proposer
	self         epochtracker.Member
	killed       bool
	paused       bool
	// logReadAt is the start of the newest completed read of the log.
	logReadAt time.Time
}

func (n *node) isRunning() bool { return !n.killed && !n.paused }

// simulation runs nodes on one fake clock. Their messages can be delayed, lost and
// sent again. The log is a slice that can be unavailable.
type simulation struct {
	clock     *clockwork.FakeClock
	rng       *rand.Rand
	nodes     []*node
	log       [][]byte
	isLogDown bool
	isLossy   bool
	// hasStaticShares disables borrowing: each node keeps its base share.
	hasStaticShares bool
	borrowRequests  int
	// unlisted is missing from the platform's list of VMs.
	unlisted *node
	// isolated is partitioned from the other nodes, but not from the log.
	isolated *node
	pending  eventHeap
}

// event is a callback scheduled for a time.
type event struct {
	at  time.Time
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

const (
	tick             = 10 * time.Millisecond
	proposerInterval = 100 * time.Millisecond
	// readInterval is the interval of log reads and of heartbeats to addresses that
	// refuse them.
	readInterval = 250 * time.Millisecond
	// isolatedReadDelay is how long a log read takes for the isolated node.
	isolatedReadDelay = confirmer.StaleAfter - time.Second
)

func newSimulation(seed uint64, size int, workspaces map[identifier.WorkspaceName]parser.Workspace) *simulation {
	s := &simulation{
		clock: clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0)),
		rng:   rand.New(rand.NewPCG(seed, seed)),
	}
	for i := range size {
		s.nodes = append(s.nodes, s.newNode(i, workspaces))
	}
	return s
}

func (s *simulation) newNode(i int, workspaces map[identifier.WorkspaceName]parser.Workspace) *node {
	name := fmt.Sprintf("node-%02d", i)
	m := meter.NewNoop()
	n := &node{
		index:        i,
		limiter:      limiter.New(s.clock, asserter.New(logger.Discard(), m, true)),
		epochTracker: epochtracker.New(),
		self: epochtracker.Member{
			Incarnation: identifier.Incarnation(name),
			VM:          identifier.VMName(name),
			PeerAddress: identifier.Address(name),
		},
	}
	n.peers = heartbeater.NewPeers(s.clock, n.self.Incarnation)
	n.limiter.Configure(workspaces)
	// While the log is unavailable, all nodes agree on that and stay current.
	n.limiter.IsCurrent = func() bool { return s.isLogDown || s.clock.Since(n.logReadAt) <= confirmer.StaleAfter }
	n.epochTracker.OnChange = func(epoch epochtracker.Epoch) {
		base := identifier.PartsPerMillion(0)
		if epoch.HasMember(n.self.Incarnation) {
			base = epoch.BaseShare()
		}
		n.limiter.EnterEpoch(epoch.Number, base)
	}
	n.borrower = New()
	n.borrower.Incarnation = n.self.Incarnation
	n.borrower.Limiter = n.limiter
	n.borrower.Clock = s.clock
	n.borrower.Log = logger.Discard()
	n.borrower.Meter = m
	n.borrower.Lenders = n.peers.Live
	n.proposer = &proposer.Proposer{
		Self:         n.self,
		EpochTracker: n.epochTracker,
		Limiter:      n.limiter,
		Peers:        n.peers,
		WantsShares:  func() bool { return true },
		IsCurrent:    n.limiter.IsCurrent,
		Append: func(_ context.Context, _ identifier.StreamName, data []byte) (identifier.Offset, error) {
			if s.isLogDown {
				return 0, fmt.Errorf("the log is out")
			}
			s.log = append(s.log, data)
			return identifier.Offset(len(s.log) - 1), nil
		},
		OnRemoved: func() { n.killed = true },
		Clock:     s.clock,
		Log:       logger.Discard(),
	}
	return n
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.pending, event{at: s.clock.Now().Add(d), run: run})
}

// latency returns 1 to 3 ms, and for one message in 50 up to 300 ms.
func (s *simulation) latency() time.Duration {
	if s.rng.IntN(50) == 0 {
		return time.Duration(s.rng.IntN(300)) * time.Millisecond
	}
	return time.Millisecond + time.Duration(s.rng.IntN(3))*time.Millisecond
}

// send delivers a message to a node after a delay. A killed node never receives it,
// and a paused node receives it after it continues. A lossy network drops one
// message in 20.
func (s *simulation) send(to *node, deliver func()) {
	if s.isLossy && s.rng.IntN(20) == 0 {
		return
	}
	var arrive func()
	arrive = func() {
		switch {
		case to.killed:
		case to.paused:
			s.after(50*time.Millisecond, arrive)
		default:
			deliver()
		}
	}
	s.after(s.latency(), arrive)
}

// step advances the clock by a tick and runs everything that is due.
func (s *simulation) step() {
	s.clock.Advance(tick)
	now := s.clock.Now()
	for len(s.pending) > 0 && !s.pending[0].at.After(now) {
		heap.Pop(&s.pending).(event).run()
	}
	isProposerTime := now.UnixNano()%int64(proposerInterval) == 0
	isHeartbeatTime := now.UnixNano()%int64(heartbeater.Interval) < int64(tick)
	isReadTime := now.UnixNano()%int64(readInterval) < int64(tick)
	for _, n := range s.nodes {
		if !n.isRunning() {
			continue
		}
		if isReadTime {
			s.heartbeat(n, isHeartbeatTime)
			s.readLog(n)
			n.peers.RecordVMs(s.listVMs(), n.epochTracker.Current().Members)
		}
		if isProposerTime {
			n.proposer.Step(context.Background())
		}
		n.limiter.GrantAll()
		s.borrow(n)
	}
}

func (s *simulation) arePartitioned(a, b *node) bool {
	return s.isolated != nil && (a == s.isolated || b == s.isolated)
}

// readLog reads the epochs that are in the log now. The result reaches the node
// after a delay.
func (s *simulation) readLog(n *node) {
	if s.isLogDown {
		return
	}
	sentAt := s.clock.Now()
	records := s.log
	respond := func(deliver func()) { s.send(n, deliver) }
	if n == s.isolated {
		respond = func(deliver func()) { s.after(isolatedReadDelay, deliver) }
	}
	respond(func() {
		for offset := n.epochTracker.NextPosition(); int(offset) < len(records); offset++ {
			_ = n.epochTracker.Handle(epochtracker.Record{Position: offset, Data: records[offset]})
		}
		if sentAt.After(n.logReadAt) {
			n.logReadAt = sentAt
		}
	})
}

func (s *simulation) listVMs() []appender.VM {
	var vms []appender.VM
	for _, n := range s.nodes {
		if n != s.unlisted {
			vms = append(vms, appender.VM{Name: n.self.VM})
		}
	}
	return vms
}

// heartbeat sends the heartbeats that are due: to all nodes, or only to killed
// nodes, which refuse them.
func (s *simulation) heartbeat(n *node, toAll bool) {
	for _, peer := range s.nodes {
		isDue := toAll || peer.killed
		if peer == n || s.arePartitioned(n, peer) || !isDue {
			continue
		}
		sentAt := s.clock.Now()
		if peer.killed {
			s.after(time.Millisecond, func() { n.peers.RecordRefusal(peer.self.PeerAddress, sentAt) })
			continue
		}
		s.send(peer, func() {
			heartbeat := heartbeater.Heartbeat{
				Incarnation: peer.self.Incarnation,
				VM:          peer.self.VM,
				Peer:        peer.self.PeerAddress,
				State:       heartbeater.StateServing,
				Epoch:       peer.limiter.Epoch(),
			}
			s.send(n, func() {
				n.peers.RecordResponse(peer.self.PeerAddress, heartbeat.Incarnation, sentAt)
				n.peers.RecordHeartbeat(heartbeat)
			})
		})
	}
}

// borrow does the work of Borrower.Run. A request or its response can be lost, or
// arrive after the borrower's timeout.
func (s *simulation) borrow(n *node) {
	for len(n.limiter.Shortages()) > 0 {
		workspace := <-n.limiter.Shortages()
		if s.hasStaticShares {
			continue
		}
		for _, lender := range n.borrower.selectLenders(workspace) {
			s.requestShare(n, lender, workspace)
		}
	}
}

func (s *simulation) requestShare(n *node, lender heartbeater.Peer, workspace identifier.WorkspaceName) {
	key := requestKey{lender: lender.Incarnation, workspace: workspace}
	req, ok := n.borrower.beginRequest(key)
	if !ok {
		return
	}
	finished := false
	finish := func(response limiter.BorrowResponse, err error) {
		if !finished {
			finished = true
			n.borrower.finishRequest(key, req, response, err)
		}
	}
	var peer *node
	for _, other := range s.nodes {
		if other.self.Incarnation == lender.Incarnation {
			peer = other
		}
	}
	if s.arePartitioned(n, peer) {
		return
	}
	s.borrowRequests++
	s.send(peer, func() {
		response := peer.limiter.Lend(req)
		s.send(n, func() { finish(response, nil) })
	})
	s.after(borrowTimeout, func() { finish(limiter.BorrowResponse{}, context.DeadlineExceeded) })
}

// excessShare adds up the spendable shares of each workspace and returns by how much
// the largest sum exceeds the whole share, or 0. A paused node counts, because it can
// spend when it continues, unless its state is stale by then.
func (s *simulation) excessShare() identifier.PartsPerMillion {
	sums := make(map[identifier.WorkspaceName]identifier.PartsPerMillion)
	worst := identifier.PartsPerMillion(0)
	for _, n := range s.nodes {
		if n.killed || !n.limiter.IsCurrent() {
			continue
		}
		for _, bucket := range n.limiter.BucketStates() {
			sums[bucket.Workspace] += bucket.Share
			worst = max(worst, sums[bucket.Workspace]-identifier.WholeShare)
		}
	}
	return worst
}

// isReplaced reports whether the share of a node has passed to other nodes: it is
// not a member of a newer epoch, and another node already uses that epoch's shares.
func (s *simulation) isReplaced(n *node) bool {
	for _, other := range s.nodes {
		epoch := other.epochTracker.Current()
		isNewer := epoch.Number > n.limiter.Epoch()
		if isNewer && !epoch.HasMember(n.self.Incarnation) && other.limiter.HasBaseShares() && !other.killed {
			return true
		}
	}
	return false
}
