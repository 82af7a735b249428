package replicator

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
)

// Guards against a data race: all components share the list of live peers, and sorting
// it in place changes it while others read it.
func TestChoosingReplicasLeavesTheListOfLivePeersUnchanged(t *testing.T) {
	is := is.New(t)
	var live []heartbeater.Peer
	for i := range 20 {
		live = append(live, heartbeater.Peer{Heartbeat: heartbeater.Heartbeat{Incarnation: identifier.Incarnation(fmt.Sprint(i)), Zone: "z"}})
	}
	before := slices.Clone(live)
	r := &Replicator{Self: "self", Live: func() []heartbeater.Peer { return live }}
	is.Equal(len(r.chooseReplicas()), replicaCount)
	for i := range live {
		is.Equal(live[i].Incarnation, before[i].Incarnation)
	}
}
