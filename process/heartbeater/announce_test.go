package heartbeater

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/logger"
)

// TestAnnouncementDoesNotWaitForAnExchangeInFlight guards against a daemon that peers
// still list as serving a second after it began to leave: the exchange in flight took
// long, and the heartbeat with the new state waited for its end.
func TestAnnouncementDoesNotWaitForAnExchangeInFlight(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	clock := clockwork.NewFakeClock()
	h := New()
	h.Peers = NewPeers(clock, "self")
	h.Clock = clock
	h.Log = logger.Discard()
	h.Targets = func() ([]identifier.Address, time.Duration) { return []identifier.Address{"a"}, time.Hour }
	state := StateServing
	h.NewHeartbeat = func(identifier.Address) Heartbeat { return Heartbeat{State: state} }
	sent := make(chan State)
	h.Exchange = func(ctx context.Context, _ identifier.Address, heartbeat Heartbeat) (Heartbeat, error) {
		sent <- heartbeat.State
		<-ctx.Done()
		return Heartbeat{}, ctx.Err()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.Run(ctx)
	}()
	is.Equal(<-sent, StateServing) // this exchange gets no response
	state = StateLeaving
	startedAt := time.Now()
	h.AnnounceNow()
	select {
	case got := <-sent:
		is.Equal(got, StateLeaving)
		is.True(time.Since(startedAt) < exchangeTimeout/2)
	case <-ctx.Done():
		t.Fatal("the new state is not sent")
	}
	cancel()
	<-done
}
