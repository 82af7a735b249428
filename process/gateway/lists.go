package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/process/repeater"
)

// The list of 3,000 upstreams has 400 KB, and the roster of 300 daemons 40 KB. A daemon that
// starts therefore requests the list from one peer at a time, and each daemon sends few
// whole lists and rosters at a time: a peer that gets none asks again. Otherwise so many
// wait for a slow link after a restart of all daemons that each is given up before it has
// arrived, and is requested again.
const (
	// maxListsInSending is how many responses with whole lists, whole rosters or large
	// updates a daemon sends at a time. One with 3,000 upstreams takes about 1.5 MB while
	// it is encoded.
	maxListsInSending = 3
	// largeUpdate and largeRoster are the numbers of entries from which on an update of
	// the list or of a roster counts among them. A smaller update takes up to 0.25 MB
	// while it is encoded, and a hub of 300 daemons may encode 60 at a time.
	largeUpdate = 500
	largeRoster = 50
	// maxListBytesPerSecond bounds the estimated bytes of such responses. Most of one fits
	// into the buffers of its connection, so their number does not bound what waits for
	// the link. 300 daemons that start together otherwise delay all messages of a VM with
	// 10 Mbit/s by more than the second after which they are given up; the bound is about
	// half of such a link. maxListBurst is what may be sent at once.
	maxListBytesPerSecond = 768 << 10
	maxListBurst          = 256 << 10
	// minBytesForRoster is what must be left for a response without a list. A daemon
	// cannot serve without the list, and does without a roster for a while.
	minBytesForRoster = maxListBurst / 2
	// listEntryBytes and rosterEntryBytes are about the sizes of entries of the list and of
	// a roster after compression: 3,000 upstreams have 44 KB, and 300 daemons 6 KB.
	listEntryBytes   = 15
	rosterEntryBytes = 20
	// listSendTimeout exceeds the time after which the receiver gives up.
	listSendTimeout = 2 * time.Second
	// A daemon that starts asks peers for the list for a random time from
	// minListWait to twice as long, and then reads it from the store. At half of
	// that, 270 of 300 daemons that start together give up before enough of them have
	// the list.
	minListWait = time.Second
	// listRetryDelay is the pause before the next peer is asked.
	listRetryDelay = 50 * time.Millisecond
	// noListWanted is the mark of a daemon that wants no update of the list. It is higher
	// than any position, so that no daemon has anything to send.
	noListWanted = identifier.Position(math.MaxInt64)
)

// listExchange tracks the whole lists of upstreams that this daemon sends and requests.
type listExchange struct {
	clock clockwork.Clock

	mu sync.Mutex
	// sending holds when the lists began to be sent that are not known to have ended.
	sending map[int64]time.Time
	// lastNumber is the newest key in sending.
	lastNumber int64
	// bytesLeft may be sent as of refilledAt.
	bytesLeft  float64
	refilledAt time.Time
	// provider is the address of the peer that is asked for the list.
	provider identifier.Address
}

func newListExchange(clock clockwork.Clock) *listExchange {
	return &listExchange{clock: clock, sending: make(map[int64]time.Time), bytesLeft: maxListBurst, refilledAt: clock.Now()}
}

// tryBeginSending reports whether another response with so many entries of the list and of
// a roster may be sent now. If so, the caller must call end after it.
func (l *listExchange) tryBeginSending(listEntries, rosterEntries int) (end func(), ok bool) {
	minBytes := 0.0
	if listEntries == 0 {
		minBytes = minBytesForRoster
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for number, since := range l.sending {
		if now.Sub(since) > listSendTimeout {
			delete(l.sending, number)
		}
	}
	l.bytesLeft = min(maxListBurst, l.bytesLeft+maxListBytesPerSecond*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	if len(l.sending) >= maxListsInSending || l.bytesLeft < minBytes {
		return nil, false
	}
	l.bytesLeft -= float64(listEntries*listEntryBytes + rosterEntries*rosterEntryBytes)
	l.lastNumber++
	number := l.lastNumber
	l.sending[number] = now
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.sending, number)
	}, true
}

func (l *listExchange) setProvider(address identifier.Address) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.provider = address
}

func (l *listExchange) isProvider(address identifier.Address) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.provider == address
}

// upstreamsMark returns the position up to which this daemon knows the upstreams, for a
// heartbeat to a peer. As long as it knows none, it requests the list from one peer only.
func (g *Gateway) upstreamsMark(to identifier.Address) identifier.Position {
	known := g.registrar.NextPosition()
	if known == identifier.NoPosition && !g.lists.isProvider(to) {
		return noListWanted
	}
	return known
}

// relayWithinBudget returns a relay of the given roster update and of the changes of the
// list of upstreams from a position on. It leaves out what is large while too much of that
// is being sent.
func (g *Gateway) relayWithinBudget(roster *heartbeater.RosterUpdate, upstreams identifier.Position) *heartbeater.Relay {
	relay := &heartbeater.Relay{Roster: roster}
	listEntries, rosterEntries := 0, 0
	if g.registrar.NeedsSnapshot(upstreams) {
		listEntries = max(1, g.registrar.Count())
	} else {
		relay.Upstreams = g.registrar.UpdateSince(upstreams)
		listEntries = largeCount(relay.Upstreams)
	}
	if roster != nil && len(roster.Members) >= largeRoster {
		rosterEntries = len(roster.Members)
	}
	if listEntries == 0 && rosterEntries == 0 {
		return relay
	}
	end, ok := g.lists.tryBeginSending(listEntries, rosterEntries)
	if ok {
		relay.OnSent = end
		if relay.Upstreams == nil {
			relay.Upstreams = g.registrar.UpdateSince(upstreams)
		}
		return relay
	}
	g.Meter.CountEvent(meter.EventRelayWithheld)
	logger.For(g.Log, logger.Members).Debug("A list was not relayed, as too many are being sent.", "upstreams", listEntries, "daemons", rosterEntries)
	if rosterEntries > 0 {
		// A relay without a roster would confirm the receiver's copy.
		relay.Roster = heartbeater.WithheldRoster()
	}
	if listEntries > 0 {
		relay.Upstreams = nil
	}
	return relay
}

// largeCount returns the number of entries of an update that counts as a list, and
// otherwise zero.
func largeCount(update *registrar.Update) int {
	if update == nil || len(update.Entries) < largeUpdate {
		return 0
	}
	return len(update.Entries)
}

// requestList asks peers for the list of upstreams, one after the other, until this daemon
// knows it. It gives up after a while, after which the caller reads it from the store. The
// first listed VMs and the hubs do so at once, so that others can ask them.
func (g *Gateway) requestList(ctx context.Context) {
	longestWait := minListWait + rand.N(minListWait)
	startedAt := g.Clock.Now()
	defer g.lists.setProvider("")
	for ctx.Err() == nil && g.Clock.Since(startedAt) < longestWait && !g.registrar.IsComplete() && !g.isHub() {
		providers, isFirst := g.listProviders()
		if isFirst {
			return
		}
		if len(providers) > 0 {
			provider := providers[rand.IntN(len(providers))]
			g.lists.setProvider(provider)
			g.Meter.CountEvent(meter.EventListRequested)
			g.Heartbeater.ExchangeNow(ctx, provider)
		}
		if g.registrar.IsComplete() {
			logger.For(g.Log, logger.Upstream).Info("A peer sent the list of upstreams.", "ms", g.Clock.Since(startedAt).Milliseconds())
		} else {
			repeater.Sleep(ctx, g.Clock, listRetryDelay)
		}
	}
}

// listProviders returns the peers that have the list, because they are serving or said so,
// in this daemon's zone if there are any, and otherwise the first listed VMs. It reports whether
// this daemon is one of these.
func (g *Gateway) listProviders() (addresses []identifier.Address, isFirst bool) {
	var inZone []identifier.Address
	live := g.Peers.Live()
	for i := range live {
		mark := live[i].Marks.Upstreams
		hasList := live[i].State == heartbeater.StateServing || mark > 0 && mark < noListWanted
		if !hasList {
			continue
		}
		addresses = append(addresses, live[i].Peer)
		if live[i].Zone == g.Identity.Zone {
			inZone = append(inZone, live[i].Peer)
		}
	}
	if len(inZone) > 0 {
		return inZone, false
	}
	if len(addresses) > 0 {
		return addresses, false
	}
	first := g.firstVMs()
	self := g.Identity.Self.PeerAddress
	return first, slices.Contains(first, self)
}
