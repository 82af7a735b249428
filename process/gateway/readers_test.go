package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
)

// TestTwoHubsReadForTheOthers guards against calls to the store that grow with the number
// of hubs, and against none that reads.
func TestTwoHubsReadForTheOthers(t *testing.T) {
	tests := []struct {
		name  string
		hubs  []string
		heard []string
		want  bool
	}{
		{"alone", []string{"a", "b", "self", "x"}, nil, true},
		{"one before it is heard", []string{"a", "b", "self", "x"}, []string{"a", "x"}, true},
		{"two before it are heard", []string{"a", "b", "self", "x"}, []string{"a", "b"}, false},
		{"two before it are heard, but no majority", []string{"a", "b", "self", "x", "y", "z"}, []string{"a", "b"}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			g := newNonHub(clock, test.hubs...)
			g.HearsMajority(majorityWindow) // begins the silence of those that were never heard
			clock.Advance(majorityWindow + time.Millisecond)
			for _, name := range test.heard {
				receiveHeartbeat(g, name, 1)
			}
			is.Equal(g.isReader(), test.want)
			clock.Advance(readerSilenceTimeout)
			is.True(g.isReader()) // the others are silent
		})
	}
}

// rigFault is what may happen to the hubs that read the store.
type rigFault struct {
	name  string
	apply func(rig *fleetRig, readers []*rigDaemon)
}

// TestChangesAreKnownWithinTwoSecondsWithoutAReader guards against an upstream that
// daemons use after it has left, because the hubs on which they rely for the list no
// longer read it.
func TestChangesAreKnownWithinTwoSecondsWithoutAReader(t *testing.T) {
	const bound = 2 * time.Second
	faults := []rigFault{
		{"none", func(*fleetRig, []*rigDaemon) {}},
		{"one killed", func(rig *fleetRig, readers []*rigDaemon) { rig.kill(readers[0]) }},
		{"both killed", func(rig *fleetRig, readers []*rigDaemon) { rig.kill(readers...) }},
		{"one paused", func(rig *fleetRig, readers []*rigDaemon) { rig.pause(readers[0]) }},
		{"both paused", func(rig *fleetRig, readers []*rigDaemon) { rig.pause(readers...) }},
		{"one cut off from the store", func(_ *fleetRig, readers []*rigDaemon) { readers[0].isCutOff.Store(true) }},
		{"both cut off from the store", func(_ *fleetRig, readers []*rigDaemon) {
			readers[0].isCutOff.Store(true)
			readers[1].isCutOff.Store(true)
		}},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rig := newFleetRig(12, 2)
				defer rig.killAll()
				for i := range rig.size {
					rig.start(i)
				}
				_, ok := rig.awaitServing(rigServingLimit)
				is.True(ok)
				time.Sleep(5 * time.Second)
				readers := rig.readers()
				is.Equal(len(readers), readerCount)
				fault.apply(rig, readers)
				for step := range 8 {
					rig.store.mu.Lock()
					added := rigUpstream(step, 1)
					rig.store.put(added)
					rig.store.version++
					version := rig.store.version
					rig.store.mu.Unlock()
					time.Sleep(bound)
					for _, daemon := range rig.reachable() {
						is.True(knows(daemon, added.Name))                                     // a change of the list is known within the bound
						is.Equal(daemon.Follower.Version().Number, identifier.Offset(version)) // and one of the configuration
						is.True(daemon.Confirmer.IsCurrent())
					}
					time.Sleep(130 * time.Millisecond) // so that the changes fall into different phases of the reads
				}
			})
		})
	}
}

func knows(daemon *rigDaemon, name identifier.UpstreamName) bool {
	for _, entry := range daemon.registrar.All() {
		if entry.Name == name {
			return true
		}
	}
	return false
}

// readers returns the daemons that read the store for the others.
func (rig *fleetRig) readers() (readers []*rigDaemon) {
	for _, daemon := range rig.reachable() {
		if daemon.isReader() {
			readers = append(readers, daemon)
		}
	}
	return readers
}

// TestDaemonReadsOnWhereTheRelayedListEnds guards against a daemon that reads the whole
// list, or hours of records, because it has not heard the hubs for a moment.
func TestDaemonReadsOnWhereTheRelayedListEnds(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	clock := clockwork.NewFakeClock()
	g := newListing(clock, 20)
	clock.Advance(maxRelayedUpstreamsAge)
	g.registrar.Apply(registrar.Update{NextPosition: 500, Age: maxRelayedUpstreamsAge})
	read := make(chan identifier.Position)
	g.drivers.ReadUpstreams = func(_ context.Context, from identifier.Position, _ time.Duration) (UpstreamBatch, error) {
		read <- from
		<-ctx.Done()
		return UpstreamBatch{}, ctx.Err()
	}
	go func() { _ = g.followUpstreams(ctx) }()
	is.Equal(<-read, identifier.Position(500))
}
