package meter

import (
	"cmp"
	"slices"
	"sync"

	"github.com/uber-go/tally/v4"

	"sassafraspass.dev/sassafraspass/identifier"
)

// RPC is the name of an RPC between daemons.
type RPC string

// Direction tells whether this daemon sent or received a message, and whether the
// message is a request or a response.
type Direction string

// The directions of messages.
const (
	DirectionRequestSent      Direction = "request-sent"
	DirectionRequestReceived  Direction = "request-received"
	DirectionResponseSent     Direction = "response-sent"
	DirectionResponseReceived Direction = "response-received"
)

// otherZone stands for all zones beyond the first maxPeerZones ones.
const otherZone identifier.ZoneName = "other"

const maxPeerZones = 32

// TrafficKey says to which counters a message between this daemon and a peer belongs.
type TrafficKey struct {
	RPC       RPC                 `json:"rpc"`
	Direction Direction           `json:"direction"`
	Zone      identifier.ZoneName `json:"zone"`
	// PeerZone is "" if the peer's zone is not known.
	PeerZone identifier.ZoneName `json:"peerZone"`
}

// Traffic counts the messages of one key and their bytes.
type Traffic struct {
	TrafficKey
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
}

// trafficCounters holds the counters of each key. The keys are not known in advance, as
// they contain zones.
type trafficCounters struct {
	scope tally.Scope

	mu       sync.Mutex
	counters map[TrafficKey]trafficCounter
	zones    map[identifier.ZoneName]bool
}

type trafficCounter struct {
	messages *counter
	bytes    *counter
}

func newTrafficCounters(scope tally.Scope) *trafficCounters {
	return &trafficCounters{
		scope:    scope,
		counters: make(map[TrafficKey]trafficCounter),
		zones:    make(map[identifier.ZoneName]bool),
	}
}

// find returns the counters of a key.
func (t *trafficCounters) find(key TrafficKey) trafficCounter {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.zones[key.PeerZone] {
		if len(t.zones) < maxPeerZones {
			t.zones[key.PeerZone] = true
		} else {
			key.PeerZone = otherZone
		}
	}
	found, ok := t.counters[key]
	if ok {
		return found
	}
	tagged := t.scope.Tagged(map[string]string{
		"rpc":       string(key.RPC),
		"direction": string(key.Direction),
		"zone":      string(key.Zone),
		"peer-zone": string(key.PeerZone),
	})
	created := trafficCounter{
		messages: &counter{tally: tagged.Counter("peer-messages")},
		bytes:    &counter{tally: tagged.Counter("peer-bytes")},
	}
	t.counters[key] = created
	return created
}

// CountMessage counts one message between this daemon and a peer, and its bytes.
func (m *Meter) CountMessage(key TrafficKey, bytes int64) {
	found := m.traffic.find(key)
	found.messages.add(1)
	found.bytes.add(bytes)
}

// Traffic returns the counts of the messages between this daemon and its peers, those
// with the most bytes first.
func (m *Meter) Traffic() (counts []Traffic) {
	m.traffic.mu.Lock()
	defer m.traffic.mu.Unlock()
	for key, c := range m.traffic.counters {
		counts = append(counts, Traffic{TrafficKey: key, Messages: c.messages.sum.Load(), Bytes: c.bytes.sum.Load()})
	}
	slices.SortFunc(counts, func(a, b Traffic) int {
		return cmp.Or(
			cmp.Compare(b.Bytes, a.Bytes),
			cmp.Compare(a.RPC, b.RPC),
			cmp.Compare(a.Direction, b.Direction),
			cmp.Compare(a.PeerZone, b.PeerZone),
		)
	})
	return counts
}
