package heartbeater

import (
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/evacuator"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/request/abstainer"
	"sassafraspass.dev/sassafraspass/request/accountant"
	"sassafraspass.dev/sassafraspass/request/spiller"
)

// State is the phase of a daemon's life; only a serving daemon takes new work.
type State string

// The states of a daemon.
const (
	// StateStarting lasts until the daemon has a configuration and its shares.
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateLeaving  State = "leaving"
)

// Heartbeat is the status that a daemon sends to its peers. The gateway's
// /v1/status endpoint encodes it as JSON without tags, as part of Peer, so the
// names of its fields and of those of Suspicion, EngineLoad, Marks and Relay are
// public.
type Heartbeat struct {
	Incarnation identifier.Incarnation
	VM          identifier.VMName
	Zone        identifier.ZoneName
	// Peer, Caller and Operator are the daemon's addresses for other daemons,
	// callers and operators.
	Peer     identifier.Address
	Caller   identifier.Address
	Operator identifier.Address
	State    State
	// Drained is set once the daemon holds no shares any more.
	Drained bool
	// Version and Epoch are the numbers of the daemon's version and epoch.
	Version identifier.Offset
	Epoch   identifier.Position
	// LogAge is the time since version and epoch were last confirmed to be the
	// newest in the log, or confirmer.Never.
	LogAge time.Duration
	Loads  []EngineLoad
	// Heard lists the daemons that the sender hears although their VMs are missing
	// from the platform's list.
	Heard []identifier.Incarnation
	// Resumed lists attempts whose callers recently reconnected to this daemon.
	Resumed []identifier.AttemptID
	// Weight is the number of CPU cores, possibly fractional, that the daemon has.
	Weight float64
	// Marks tells a hub which data the sender already has. Relay is the data that a
	// hub forwards in its response, or nil.
	Marks Marks
	Relay *Relay
	// Suspicions is the evidence against prompt parts of which the sender knows more
	// than the receiver may.
	Suspicions []Suspicion
	// Departures lists the upstreams that said lately that they are leaving.
	Departures []abstainer.Departure
	// ZoneLoads is the load of the sender's own requests on the servers of each zone.
	ZoneLoads []spiller.ZoneLoad
	// LimitAccounts holds the accounts of rate limits that the receiver may lack.
	LimitAccounts []accountant.Account `json:"-"`
	// Contentions lists the plain services whose requests had to wait lately. Only hubs
	// report them.
	Contentions []Contention
}

// Contention says that requests of a plain service had to wait or were rejected.
type Contention struct {
	Service identifier.ServiceName
	Age     time.Duration
}

// Marks are the sender's high-water marks. A hub responds with newer data only.
type Marks struct {
	// RosterOf is the hub that the roster came from, and Roster its revision there.
	RosterOf identifier.Incarnation
	Roster   int64
	// AcceptsRosterChanges is set if the sender can apply the changes of a roster.
	// Daemons of earlier builds need the whole roster.
	AcceptsRosterChanges bool
	// WantsLeavingOnly is set if the sender needs only the daemons of the roster that
	// are leaving, because it gets the others from other hubs.
	WantsLeavingOnly bool
	// Upstreams is the position in the log up to which the list of upstreams is known.
	Upstreams identifier.Position
	// Evacuations is the position in the log up to which the evacuated zones are known.
	Evacuations identifier.Position
}

// Relay is the data that a hub forwards. Only hubs hear all daemons and always read
// the log.
type Relay struct {
	// Roster holds the changes of the list of the daemons that the hub hears, itself
	// included. It is nil if the receiver's copy is current.
	Roster *RosterUpdate
	// Upstreams holds the changes after the receiver's mark. It is nil if the hub's
	// own list is incomplete or older than that, or if it is sending too many lists.
	Upstreams *registrar.Update
	// ZoneLoads holds the sums over the daemons that the hub hears.
	ZoneLoads []spiller.ZoneLoad
	// Evacuations is the set of evacuated zones. It is nil if the hub does not know it.
	Evacuations *evacuator.Relay
	// OnSent is called once the relay was sent or given up, if it is not nil.
	OnSent func() `json:"-"`
}

// Suspicion is the evidence that a part of the prompts of a service's requests
// crashes engines.
type Suspicion struct {
	Service identifier.ServiceName
	Part    identifier.PromptPartID
	// Crashes and Requests count the crashes and the different requests among them.
	// Both are zero for a part that was cleared since the newest crash.
	Crashes  int
	Requests int
	// Age is the time since the newest crash.
	Age         time.Duration
	Quarantined bool
}

// EngineLoad is the load that one daemon puts on one engine.
type EngineLoad struct {
	Upstream identifier.UpstreamName
	// Running is the number of the daemon's requests that run on the engine.
	Running int
	// Tokens depends on the kind of daemon: package server reports the prompt
	// tokens that wait for prefill, and package gateway the memory in use.
	Tokens identifier.Tokens
}
