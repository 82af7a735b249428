package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/repeater"
)

const (
	registerTimeout = 2 * time.Second
	// A daemon reads the list every second until it hears a hub. After that hubs
	// read it every hubListInterval, to deregister silent daemons, and the other
	// daemons every nonHubListInterval, to check that they are still on it.
	hubListInterval    = 8 * time.Second
	nonHubListInterval = 30 * time.Second
	// deregisterAfter is how long a listed daemon must be silent before it is
	// deregistered. A daemon that is still alive registers again.
	deregisterAfter = 10 * time.Second
)

// errNotDue is returned instead of the list if no read of it is due.
var errNotDue = errors.New("the list of VMs is not due")

// vmListTracker records when the list of VMs was last read, and since when listed
// VMs have been silent.
type vmListTracker struct {
	mu          sync.Mutex
	lastRead    time.Time
	silentSince map[identifier.VMName]time.Time
}

func newVMListTracker() *vmListTracker {
	return &vmListTracker{silentSince: make(map[identifier.VMName]time.Time)}
}

// tryStartRead reports whether the interval has passed since the last read. If so,
// it records now as the time of a new read.
func (t *vmListTracker) tryStartRead(now time.Time, interval time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastRead) < interval {
		return false
	}
	t.lastRead = now
	return true
}

// advanceRead makes a read due within a random time up to the given one, so that not all
// daemons read at once.
func (t *vmListTracker) advanceRead(now time.Time, within, interval time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := now.Add(rand.N(within) - interval)
	if latest.Before(t.lastRead) {
		t.lastRead = latest
	}
}

// silentVMs returns the listed VMs without a live daemon for longer than
// deregisterAfter.
func (t *vmListTracker) silentVMs(listed []appender.VM, live []heartbeater.Peer, now time.Time) (names []identifier.VMName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, vm := range listed {
		isLive := slices.ContainsFunc(live, func(peer heartbeater.Peer) bool { return peer.VM == vm.Name })
		since, known := t.silentSince[vm.Name]
		switch {
		case isLive:
			delete(t.silentSince, vm.Name)
		case !known:
			t.silentSince[vm.Name] = now
		case now.Sub(since) > deregisterAfter:
			names = append(names, vm.Name)
		}
	}
	return names
}

// ownVM returns this daemon's entry for the list of VMs.
func (g *Gateway) ownVM() appender.VM {
	return appender.VM{
		Name:            g.currentSettings().VM,
		Zone:            g.currentSettings().Zone,
		State:           appender.VMServing,
		PeerAddress:     g.Identity.Self.PeerAddress,
		OperatorAddress: g.Identity.OperatorAddress,
	}
}

// registerWithRetry tries to register this daemon until that succeeds, and returns
// when the context ends.
func (g *Gateway) registerWithRetry(ctx context.Context) error {
	for ctx.Err() == nil && g.register(ctx) != nil {
		repeater.Sleep(ctx, g.Clock, retryDelay)
	}
	<-ctx.Done()
	return ctx.Err()
}

// register puts this daemon on the list of VMs or updates its entry.
func (g *Gateway) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return g.drivers.RegisterVM(ctx, g.ownVM())
}

// listInterval returns the minimum time between two reads of the list; zero allows
// every read.
func (g *Gateway) listInterval() time.Duration {
	switch {
	case !g.hearsHub():
		return 0
	case g.isHub():
		return hubListInterval
	}
	return nonHubListInterval
}

// readVMs reads the list of VMs, or returns errNotDue if no read is due. It
// registers this daemon again if its entry is missing or outdated. The live daemon
// with the lowest incarnation also deregisters the silent ones.
func (g *Gateway) readVMs(ctx context.Context) ([]appender.VM, error) {
	now := g.Clock.Now()
	if !g.vmList.tryStartRead(now, g.listInterval()) {
		return nil, errNotDue
	}
	vms, err := g.drivers.ReadVMs(ctx)
	if err != nil {
		return nil, err
	}
	others := slices.DeleteFunc(slices.Clone(vms), func(vm appender.VM) bool { return vm.Name == g.currentSettings().VM })
	log := logger.For(g.Log, logger.Members)
	if !slices.Contains(vms, g.ownVM()) && !g.Leaving.Load() {
		err := g.register(ctx)
		log.Info("This VM's entry in the list of VMs was missing or outdated; registering again.", "listed", len(vms), "err", err)
	}
	if !g.HasLowestIncarnation() {
		return vms, nil
	}
	for _, name := range g.vmList.silentVMs(others, g.Peers.Live(), now) {
		err := g.drivers.DeregisterVM(ctx, name)
		log.Info("Removing a silent daemon from the list of VMs.", "vm", name, "err", err)
	}
	return vms, nil
}
