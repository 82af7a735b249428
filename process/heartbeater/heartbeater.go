// Package heartbeater exchanges heartbeats with the other daemons, polls the
// platform's list of VMs, and detects which daemons are live or gone.
//
// On the platform, the members of the epoch are called hubs. A hub hears all
// daemons and relays what it hears, so that the other daemons need to exchange
// heartbeats with the hubs only.
package heartbeater

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
)

const (
	exchangeTimeout = time.Second
	// checkInterval is the time between two checks for due heartbeats. A heartbeat
	// that was refused is sent again at the next check.
	checkInterval  = 200 * time.Millisecond
	vmListInterval = time.Second
	vmListTimeout  = 2 * time.Second
)

// Heartbeater sends heartbeats to other daemons, periodically and on demand. Set
// the exported fields before Run and PollVMs; Seeds and Targets are optional.
type Heartbeater struct {
	Peers *Peers
	// SelfAddress is the address at which other daemons reach this one.
	SelfAddress identifier.Address
	// Seeds are peer addresses from the settings, in addition to the listed VMs.
	Seeds []identifier.Address
	// Targets returns the addresses to send heartbeats to, and the interval for
	// each address. If it is nil, all known daemons get one per Interval.
	Targets func() (addresses []identifier.Address, interval time.Duration)
	// NewHeartbeat builds this daemon's heartbeat for the peer at an address.
	NewHeartbeat func(to identifier.Address) Heartbeat
	// Exchange sends a heartbeat and returns the peer's heartbeat.
	Exchange func(ctx context.Context, address identifier.Address, heartbeat Heartbeat) (Heartbeat, error)
	// OnResponse is called with each response and the time at which the heartbeat that
	// it responds to was sent.
	OnResponse func(response Heartbeat, sentAt time.Time)
	// OnExchange, if set, is called with each exchange that got a response, or none within
	// exchangeTimeout, and the time that it took.
	OnExchange func(address identifier.Address, took time.Duration, isLost bool)
	// OnExchanged is called with each heartbeat that was sent and the response to it. It
	// may be nil.
	OnExchanged func(sent, response Heartbeat)
	// ReadVMs reads the platform's list of VMs.
	ReadVMs func(ctx context.Context) ([]appender.VM, error)
	// Monitored returns the daemons whose liveness matters: the members of the epoch
	// and any others that this daemon depends on.
	Monitored func() []epochtracker.Member

	Clock clockwork.Clock
	Log   *slog.Logger

	mu sync.Mutex
	// inFlight maps an address to the cancel function of its current exchange.
	inFlight map[identifier.Address]context.CancelFunc
	// resend holds addresses whose exchange was cancelled in favour of a new one.
	resend map[identifier.Address]bool
	// lastSent maps an address to the time of the newest heartbeat sent to it.
	lastSent map[identifier.Address]time.Time
	// wakeups makes Run check for due heartbeats immediately.
	wakeups chan struct{}
}

// New returns a heartbeater. Its exported fields must be set before use.
func New() *Heartbeater {
	return &Heartbeater{
		inFlight: make(map[identifier.Address]context.CancelFunc),
		lastSent: make(map[identifier.Address]time.Time),
		resend:   make(map[identifier.Address]bool),
		wakeups:  make(chan struct{}, 1),
	}
}

// SendAllNow makes a heartbeat due to every target immediately, for example after
// a change of state that peers should learn without delay.
func (h *Heartbeater) SendAllNow() {
	h.mu.Lock()
	clear(h.lastSent)
	h.mu.Unlock()
	h.wake()
}

// FlushNow makes a heartbeat due to every target like SendAllNow, for targets with an
// exchange in flight as soon as that has ended.
func (h *Heartbeater) FlushNow() {
	h.mu.Lock()
	clear(h.lastSent)
	for address := range h.inFlight {
		h.resend[address] = true
	}
	h.mu.Unlock()
	h.wake()
}

// AnnounceNow sends a heartbeat to every target immediately. Unlike SendAllNow it does not
// wait for the exchanges in flight, which carry the state from before and may take
// until exchangeTimeout: it cancels them.
func (h *Heartbeater) AnnounceNow() {
	h.mu.Lock()
	clear(h.lastSent)
	var cancels []context.CancelFunc
	for address, cancel := range h.inFlight {
		h.resend[address] = true
		cancels = append(cancels, cancel)
	}
	h.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
	h.wake()
}

// wake makes Run check for due heartbeats immediately.
func (h *Heartbeater) wake() {
	select {
	case h.wakeups <- struct{}{}:
	default:
	}
}

// Run sends heartbeats until the context ends, and then returns its error after
// all exchanges have finished.
func (h *Heartbeater) Run(ctx context.Context) error {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	ticker := h.Clock.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		addresses, interval := h.targets()
		for _, address := range addresses {
			exchangeCtx, isDue := h.beginExchange(ctx, address, interval)
			if isDue {
				exchanges.Go(func() { h.exchange(exchangeCtx, address) })
			}
		}
		select {
		case <-ticker.Chan():
		case <-h.wakeups:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// PollVMs reads the platform's list of VMs periodically until the context ends.
// A failed read is ignored.
func (h *Heartbeater) PollVMs(ctx context.Context) error {
	for {
		readCtx, cancel := context.WithTimeout(ctx, vmListTimeout)
		vms, err := h.ReadVMs(readCtx)
		cancel()
		if err == nil {
			h.Peers.RecordVMs(vms, h.Monitored())
		}
		select {
		case <-h.Clock.After(vmListInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (h *Heartbeater) targets() (addresses []identifier.Address, interval time.Duration) {
	if h.Targets != nil {
		return h.Targets()
	}
	return h.addresses(), Interval
}

// addresses returns the distinct peer addresses from the platform's list, the
// settings, the monitored daemons and the live peers.
func (h *Heartbeater) addresses() []identifier.Address {
	seen := map[identifier.Address]bool{h.SelfAddress: true, "": true}
	var addresses []identifier.Address
	add := func(address identifier.Address) {
		if seen[address] {
			return
		}
		seen[address] = true
		addresses = append(addresses, address)
	}
	for _, vm := range h.Peers.VMs() {
		add(vm.PeerAddress)
	}
	for _, seed := range h.Seeds {
		add(seed)
	}
	for _, member := range h.Monitored() {
		add(member.PeerAddress)
	}
	for _, peer := range h.Peers.Live() {
		add(peer.Peer)
	}
	return addresses
}

// ExchangeNow sends a heartbeat to an address and handles the response before it returns.
func (h *Heartbeater) ExchangeNow(ctx context.Context, address identifier.Address) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	h.send(ctx, address)
}

func (h *Heartbeater) exchange(ctx context.Context, address identifier.Address) {
	defer h.endExchange(address)
	h.send(ctx, address)
}

// send sends a heartbeat and handles the response.
func (h *Heartbeater) send(ctx context.Context, address identifier.Address) {
	sentAt := h.Clock.Now()
	sent := h.NewHeartbeat(address)
	response, err := h.Exchange(ctx, address, sent)
	h.reportExchange(ctx, address, h.Clock.Since(sentAt), err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		h.Peers.RecordRefusal(address, sentAt)
		h.makeDue(address)
	}
	if err != nil {
		return
	}
	h.Peers.RecordResponse(address, response.Incarnation, sentAt)
	h.Peers.RecordHeartbeat(response)
	h.OnResponse(response, sentAt)
	if h.OnExchanged != nil {
		h.OnExchanged(sent, response)
	}
}

// reportExchange passes an exchange to OnExchange, unless it was cancelled or refused.
func (h *Heartbeater) reportExchange(ctx context.Context, address identifier.Address, took time.Duration, err error) {
	isLost := err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded)
	if h.OnExchange != nil && (err == nil || isLost) {
		h.OnExchange(address, took, isLost)
	}
}

// beginExchange reports whether a heartbeat to the address is due and none is in
// flight. If so, it marks one as in flight and returns the context for it.
func (h *Heartbeater) beginExchange(ctx context.Context, address identifier.Address, interval time.Duration) (exchangeCtx context.Context, isDue bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	_, isInFlight := h.inFlight[address]
	if isInFlight || now.Sub(h.lastSent[address]) < interval {
		return nil, false
	}
	exchangeCtx, h.inFlight[address] = context.WithTimeout(ctx, exchangeTimeout)
	h.lastSent[address] = now
	return exchangeCtx, true
}

// SendNow sends a heartbeat immediately to the address of a process that was just
// heard for the first time. An exchange in flight with that address is cancelled,
// because it may still wait for an earlier process there.
func (h *Heartbeater) SendNow(address identifier.Address) {
	h.mu.Lock()
	cancel, isInFlight := h.inFlight[address]
	if isInFlight {
		h.resend[address] = true
	}
	delete(h.lastSent, address)
	h.mu.Unlock()
	if isInFlight {
		cancel()
		return
	}
	h.wake()
}

// makeDue makes a heartbeat to the address due at the next check.
func (h *Heartbeater) makeDue(address identifier.Address) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.lastSent, address)
}

func (h *Heartbeater) endExchange(address identifier.Address) {
	h.mu.Lock()
	cancel := h.inFlight[address]
	needsResend := h.resend[address]
	delete(h.inFlight, address)
	delete(h.resend, address)
	h.mu.Unlock()
	cancel()
	if needsResend {
		h.wake()
	}
}
