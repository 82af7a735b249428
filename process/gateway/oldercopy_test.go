package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against daemons that do not know a new server, or all need the whole list at once, after
// the store came back from a copy and gave offsets out again. The rates are those of deployments of
// the sizes.
func TestReturnOfTheStoreIsKnownAndCheapInAnyFleet(t *testing.T) {
	tests := []struct {
		daemons        int
		readsPerSecond int
	}{
		{6, 2000},
		{80, 6000},
		{300, 16_000},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rig := startedRig(t, test.daemons)
				defer rig.killAll()
				const lost = 3
				store := rig.store
				store.mu.Lock()
				for i := range lost {
					store.put(rigUpstream(i, 1))
				}
				store.mu.Unlock()
				time.Sleep(2 * time.Second)
				rig.resetCounts()
				store.mu.Lock()
				store.loseUpstreams(lost)
				for i := range lost {
					store.put(rigUpstream(lost+i, 1))
				}
				store.mu.Unlock()
				time.Sleep(1900 * time.Millisecond)
				t.Log(rig.summary(1900 * time.Millisecond))
				store.mu.Lock()
				is.True(store.calls < test.readsPerSecond)                                  // of two seconds
				is.True(store.records <= maxHubs*(test.daemons*rigUpstreamsPerDaemon+lost)) // the hubs tell the others
				store.mu.Unlock()
				rig.mu.Lock()
				is.Equal(rig.kinds["number of whole lists"], int64(0))
				rig.mu.Unlock()
				for _, daemon := range rig.reachable() {
					is.True(daemon.registrar.IsReady(rigUpstream(lost, 1))) // written at a reused offset
					is.True(daemon.registrar.IsReady(rigUpstream(0, 1)))    // lost, and may be back
				}
				time.Sleep(4 * time.Second)
				for _, daemon := range rig.reachable() {
					daemon.registrar.IsReady(rigUpstream(0, 1)) // as each request asks, which carries out removals that are due
				}
				time.Sleep(time.Second)
				for _, daemon := range rig.reachable() {
					is.True(!daemon.registrar.IsReady(rigUpstream(0, 1)))
				}
			})
		})
	}
}
