package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/process/sharer"
	"sassafraspass.dev/sassafraspass/request/abstainer"
)

// newListing returns a daemon outside the epoch of the given hubs that knows a list of
// upstreams, or none if count is zero.
func newListing(clock *clockwork.FakeClock, count int, hubs ...string) *Gateway {
	g := newNonHub(clock, hubs...)
	g.registrar = registrar.New(clock)
	g.lists = newListExchange(clock)
	if count > 0 {
		update := registrar.Update{NextPosition: 10, IsSnapshot: true}
		for i := range count {
			update.Entries = append(update.Entries, registrar.Entry{Name: identifier.UpstreamName(fmt.Sprint("u-", i)), Address: identifier.Address(fmt.Sprint(i)), Service: "s", State: registrar.StateReady})
		}
		g.registrar.Apply(update)
	}
	return g
}

// TestWholeListsAreSentAFewAtATime guards against a restart of all daemons that lets one
// daemon buffer a whole list for each of them, which ends it at 112 MB.
func TestWholeListsAreSentAFewAtATime(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newListing(clock, 3000)
	var sending []*heartbeater.Relay
	for range 300 {
		relay := g.relayWithinBudget(nil, identifier.NoPosition)
		if relay.Upstreams != nil {
			sending = append(sending, relay)
		}
	}
	is.Equal(len(sending), maxListsInSending)
	sending[0].OnSent()
	is.True(g.relayWithinBudget(nil, identifier.NoPosition).Upstreams != nil)   // one was sent
	is.True(g.relayWithinBudget(nil, identifier.NoPosition).Upstreams == nil)   // but only one
	is.True(g.relayWithinBudget(nil, g.registrar.NextPosition()).OnSent == nil) // changes are not limited
	clock.Advance(listSendTimeout + time.Millisecond)
	is.True(g.relayWithinBudget(nil, identifier.NoPosition).Upstreams != nil) // the receivers have given up
}

// TestListsTakeABoundedPartOfTheLink guards against a link of 10 Mbit/s on which so many
// lists wait that each is given up before it has arrived. What has been handed to the
// connections no longer counts as being sent.
func TestListsTakeABoundedPartOfTheLink(t *testing.T) {
	is := is.New(t)
	const seconds = 10
	clock := clockwork.NewFakeClock()
	g := newListing(clock, 3000)
	sentBytes, sentRosters := 0, 0
	for range seconds * 100 {
		clock.Advance(10 * time.Millisecond)
		relay := g.relayWithinBudget(nil, identifier.NoPosition)
		if relay.OnSent != nil {
			sentBytes += 3000 * listEntryBytes
			relay.OnSent()
		}
		end, ok := g.lists.tryBeginSending(0, 300)
		if ok {
			sentRosters++
			end()
		}
	}
	const list = 3000 * listEntryBytes
	is.True(sentBytes <= maxListBurst+list+seconds*maxListBytesPerSecond)
	is.True(sentBytes >= seconds*maxListBytesPerSecond*9/10)
	is.True(sentRosters*300*rosterEntryBytes <= maxListBurst) // lists come first
}

// TestLargeRosterThatIsHeldBackDoesNotConfirmTheOldOne guards against a daemon that takes
// its copy of a roster for current because the hub sends too many others.
func TestLargeRosterThatIsHeldBackDoesNotConfirmTheOldOne(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newListing(clock, 1)
	large := &heartbeater.RosterUpdate{Revision: 1, Members: make([]heartbeater.Heartbeat, largeRoster)}
	for range maxListsInSending {
		is.True(!g.relayWithinBudget(large, 10).Roster.IsWithheld())
	}
	relay := g.relayWithinBudget(large, 10)
	is.True(relay.Roster.IsWithheld())
	is.True(relay.Upstreams != nil) // changes are relayed all the same
	is.True(!g.relayWithinBudget(nil, 10).Roster.IsWithheld())

	receiver := newListing(clock, 1)
	receiver.sharer, receiver.abstainer = sharer.New(), abstainer.New(clock)
	far := heartbeater.Heartbeat{Incarnation: "far", State: heartbeater.StateServing}
	receiver.applyRelay(heartbeater.Heartbeat{Incarnation: "h", Relay: &heartbeater.Relay{Roster: &heartbeater.RosterUpdate{Revision: 1 << 40, Members: []heartbeater.Heartbeat{far}}}})
	is.Equal(len(receiver.Peers.Live()), 1)
	clock.Advance(heartbeater.LivenessTimeout + time.Millisecond)
	receiver.applyRelay(heartbeater.Heartbeat{Incarnation: "h", Relay: relay})
	is.Equal(len(receiver.Peers.Live()), 0) // not confirmed
	receiver.applyRelay(heartbeater.Heartbeat{Incarnation: "h", Relay: &heartbeater.Relay{}})
	is.Equal(len(receiver.Peers.Live()), 1) // confirmed
}

// TestStartingDaemonRequestsTheListFromOnePeer guards against a start at which each of the
// contacted peers sends the whole list.
func TestStartingDaemonRequestsTheListFromOnePeer(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	clock := clockwork.NewFakeClock()
	peer := newListing(clock, 20)
	g := newListing(clock, 0)
	g.Peers.RecordVMs([]appender.VM{{Name: "h1", PeerAddress: "h1"}, {Name: "h2", PeerAddress: "h2"}}, nil)
	asked := 0
	g.Heartbeater.Exchange = func(_ context.Context, address identifier.Address, heartbeat heartbeater.Heartbeat) (heartbeater.Heartbeat, error) {
		asked++
		for _, other := range []identifier.Address{"h1", "h2"} {
			isAsked := other == address
			relay := peer.relayWithinBudget(nil, g.upstreamsMark(other))
			is.Equal(relay.Upstreams != nil, isAsked)
		}
		g.registrar.Apply(*peer.registrar.UpdateSince(heartbeat.Marks.Upstreams))
		return heartbeater.Heartbeat{Incarnation: "h", State: heartbeater.StateServing}, nil
	}
	g.Heartbeater.NewHeartbeat = func(to identifier.Address) heartbeater.Heartbeat {
		return heartbeater.Heartbeat{Marks: heartbeater.Marks{Upstreams: g.upstreamsMark(to)}}
	}
	g.requestList(ctx)
	is.Equal(asked, 1)
	is.Equal(len(g.registrar.Ready("s")), 20)
	is.Equal(g.upstreamsMark("h2"), identifier.Position(10)) // from now on all peers send changes
}

// TestStartingDaemonReadsTheStoreIfNoPeerHasTheList guards against a start that waits for
// peers for ever.
func TestStartingDaemonReadsTheStoreIfNoPeerHasTheList(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	clock := clockwork.NewFakeClock()
	g := newListing(clock, 0)
	g.Heartbeater.NewHeartbeat = func(identifier.Address) heartbeater.Heartbeat { return heartbeater.Heartbeat{} }
	g.Heartbeater.Exchange = func(context.Context, identifier.Address, heartbeater.Heartbeat) (heartbeater.Heartbeat, error) {
		return heartbeater.Heartbeat{}, context.DeadlineExceeded
	}
	receiveHeartbeat(g, "h1", 1)
	startedAt := clock.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.requestList(ctx)
	}()
	for {
		select {
		case <-done:
			is.NoErr(ctx.Err())
			is.True(clock.Since(startedAt) >= minListWait)
			is.True(clock.Since(startedAt) <= 2*minListWait+listRetryDelay)
			return
		case <-time.After(time.Millisecond):
			clock.Advance(listRetryDelay)
		}
	}
}
