package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafraspass.dev/sassafraspass/connection/messenger"
	"sassafraspass.dev/sassafraspass/connection/screener"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/confirmer"
	"sassafraspass.dev/sassafraspass/process/evacuator"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/request/accountant"
	"sassafraspass.dev/sassafraspass/request/admitter"
	"sassafraspass.dev/sassafraspass/request/broker"
	"sassafraspass.dev/sassafraspass/request/coldstarter"
	"sassafraspass.dev/sassafraspass/request/limiter"
	"sassafraspass.dev/sassafraspass/request/placer"
)

const (
	// maxDirectoryAddresses is the maximum number of addresses in one response of
	// the directory.
	maxDirectoryAddresses = 64
	// peerSilenceTimeout is the silence after which this daemon no longer waits for a
	// peer's response.
	peerSilenceTimeout = 1800 * time.Millisecond
	// recentReadAge is the maximum age of the last confirmation by the log at which a
	// daemon that hears no hub concludes that it is cut off and the hubs are not gone.
	recentReadAge = 3 * time.Second
)

// peerHandler builds the handler of the peer protocol.
func (g *Gateway) peerHandler() http.Handler {
	server := &messenger.Server{
		HandleHeartbeat:       g.HandleHeartbeat,
		Lend:                  g.Limiter.Lend,
		HandleJournal:         func(messenger.JournalUpdate) {},
		TakeTokens:            g.reserver.Serve,
		RefundTokens:          g.reserver.AcceptRefunds,
		Place:                 g.placer.Place,
		HandlePlacementReport: g.placer.Report,
		Admit:                 g.admitter.Admit,
		ConfigAfter:           g.Fetcher.ConfigAfter,
		OnMessage:             g.CountMessage,
		ZoneOf:                g.ZoneOf,
	}
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	return mux
}

// extendHeartbeat adds this daemon's load on engines that the coordinator, which is
// the daemon that places a service's requests now, cannot know of, because
// another daemon placed those requests. It also adds the evidence against prompt
// parts that the receiver may lack, and the upstreams that are leaving.
func (g *Gateway) extendHeartbeat(heartbeat *heartbeater.Heartbeat) {
	g.limitEpoch(heartbeat)
	heartbeat.Suspicions = g.sharer.Report()
	heartbeat.Departures = g.abstainer.Departures()
	heartbeat.Contentions = g.reportContentions()
	heartbeat.ZoneLoads = g.zoneLoads()
	for name, load := range g.broker.ExternalLoads() {
		heartbeat.Loads = append(heartbeat.Loads, heartbeater.EngineLoad{Upstream: name, Running: load.Running, Tokens: load.Tokens})
	}
}

// memoryUsages returns the load that extendHeartbeat reports, for this daemon and
// all other live ones, as memory in use on the engines.
func (g *Gateway) memoryUsages() (usages []placer.ExternalLoad) {
	for name, load := range g.broker.ExternalLoads() {
		usages = append(usages, placer.ExternalLoad{Requester: g.Identity.Self.Incarnation, Engine: name, Memory: load.Tokens})
	}
	live := g.Peers.Live()
	for i := range live {
		peer := &live[i]
		for _, load := range peer.Loads {
			usages = append(usages, placer.ExternalLoad{Requester: peer.Incarnation, Engine: load.Upstream, Memory: load.Tokens})
		}
	}
	return usages
}

// rankedCandidate is a daemon that may place requests, with its sort keys.
type rankedCandidate struct {
	broker.Candidate
	cpuCores float64
	hash     uint64
}

// placementCandidates ranks the daemons that may place a service's requests: the
// live hubs that are serving, by descending CPU cores and then by rendezvous hash.
// The first candidate is the service's coordinator. The candidate without an address
// is this daemon. It comes last, as a fallback, if it accepts no requests, and alone
// if no hub qualifies.
func (g *Gateway) placementCandidates(service identifier.ServiceName) []broker.Candidate {
	epoch := g.EpochTracker.Current()
	var all []rankedCandidate
	if g.acceptsRequests() && g.isHub() {
		all = append(all, rankedCandidate{cpuCores: g.Identity.CPUCores, hash: rendezvousHash(service, g.currentSettings().VM)})
	}
	for _, member := range epoch.Members {
		peer, isLive := g.Peers.FindLive(member.Incarnation)
		if !isLive || peer.State != heartbeater.StateServing {
			continue
		}
		incarnation := peer.Incarnation
		all = append(all, rankedCandidate{
			Candidate: broker.Candidate{Address: peer.Peer, IsSilent: func() bool { return g.isSilent(incarnation) }},
			cpuCores:  peer.Weight,
			hash:      rendezvousHash(service, peer.VM),
		})
	}
	slices.SortFunc(all, func(a, b rankedCandidate) int {
		return cmp.Or(cmp.Compare(b.cpuCores, a.cpuCores), cmp.Compare(b.hash, a.hash))
	})
	candidates := make([]broker.Candidate, 0, len(all)+1)
	for _, candidate := range all {
		candidates = append(candidates, candidate.Candidate)
	}
	if !g.acceptsRequests() || len(candidates) == 0 {
		candidates = append(candidates, broker.Candidate{})
	}
	return candidates
}

// modelServices returns the services with engines, sorted by name.
func (g *Gateway) modelServices() (names []identifier.ServiceName) {
	for name, service := range g.Follower.Version().Services {
		if service.Engine != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// isPlacing reports whether this daemon is a service's coordinator, or places its own
// requests because no hub qualifies.
func (g *Gateway) isPlacing(service identifier.ServiceName) bool {
	return g.acceptsRequests() && g.placementCandidates(service)[0].Address == ""
}

// placedServices returns the model services whose coordinator is this daemon, sorted
// by name.
func (g *Gateway) placedServices() (names []identifier.ServiceName) {
	if !g.isHub() || !g.HearsMajority(majorityWindow) {
		return nil
	}
	return slices.DeleteFunc(g.modelServices(), func(name identifier.ServiceName) bool { return !g.isPlacing(name) })
}

func rendezvousHash(service identifier.ServiceName, vm identifier.VMName) uint64 {
	return xxhash.Sum64String(string(service) + "/" + string(vm))
}

// isSilent reports whether a daemon has not been heard for peerSilenceTimeout.
func (g *Gateway) isSilent(incarnation identifier.Incarnation) bool {
	peer, ok := g.Peers.Find(incarnation)
	return !ok || g.Clock.Since(peer.HeardAt) > peerSilenceTimeout
}

// watchPeers keeps the placer up to date: it releases the placements of daemons that
// are no longer live and sets the reported memory usage.
func (g *Gateway) watchPeers(ctx context.Context) error {
	return g.WatchPeers(ctx, func() {
		g.observeFleetSize()
		if g.keepsAccounts() {
			g.accountant.BeginAll()
		}
		g.placer.ReleaseDeadRequesters(func(holder identifier.Incarnation) bool {
			return holder == g.Identity.Self.Incarnation || g.IsLive(holder)
		})
		usages := g.memoryUsages()
		for name, service := range g.Follower.Version().Services {
			if service.Engine != nil {
				g.placer.SetExternalLoads(name, usages)
			}
		}
	})
}

// pruneConnections closes idle connections to upstreams periodically.
func (g *Gateway) pruneConnections(ctx context.Context) error {
	return repeater.Every(ctx, g.Clock, pruneInterval, g.exchanger.PruneIdle)
}

// acceptsRequests reports whether callers and peers may send new requests to this
// daemon: it is serving and not isolated.
func (g *Gateway) acceptsRequests() bool {
	return g.State() == heartbeater.StateServing && !g.isIsolated()
}

// isIsolated reports whether this daemon is probably cut off from the rest of the
// fleet: it can read the log but hears no hub of the current epoch. Callers are
// then better served by other daemons.
func (g *Gateway) isIsolated() bool {
	if g.isHub() || len(g.otherHubs()) == 0 || g.hearsHub() {
		return false
	}
	age := g.Confirmer.ConfirmationAge()
	return age != confirmer.Never && age < recentReadAge
}

// servingAddresses returns the caller addresses of the daemons that are serving, in
// random order and up to maxDirectoryAddresses. For a host all of whose routes have home
// regions, these are the daemons in the home regions and in that of the caller.
func (g *Gateway) servingAddresses(query DirectoryQuery) []identifier.Address {
	homes := g.directoryHomes(query)
	var serving []identifier.Address
	if g.acceptsRequests() && g.confiner.IsHome(homes, g.currentSettings().Zone) {
		serving = append(serving, g.Identity.CallerAddress)
	}
	live := g.Peers.Live()
	for i := range live {
		if live[i].State == heartbeater.StateServing && g.confiner.IsHome(homes, live[i].Zone) {
			serving = append(serving, live[i].Caller)
		}
	}
	rand.Shuffle(len(serving), func(i, j int) { serving[i], serving[j] = serving[j], serving[i] })
	return serving[:min(len(serving), maxDirectoryAddresses)]
}

// nextPlacementKey returns a placement key that is unique in the fleet.
func (g *Gateway) nextPlacementKey() placer.Key {
	return placer.Key{Requester: g.Identity.Self.Incarnation, Number: g.lastPlacementNumber.Add(1)}
}

// Status is a daemon's view of the fleet, as the operators' /v1/status endpoint shows
// it.
type Status struct {
	VM        identifier.VMName                          `json:"vm"`
	State     heartbeater.State                          `json:"state"`
	Current   bool                                       `json:"current"`
	Version   identifier.Offset                          `json:"version"`
	Epoch     identifier.Position                        `json:"epoch"`
	Peers     []heartbeater.Peer                         `json:"members"`
	Shares    []limiter.BucketState                      `json:"shares"`
	Accounts  []accountant.State                         `json:"accounts,omitempty"`
	Upstreams int                                        `json:"upstreams"`
	Engines   map[identifier.ServiceName][]placer.Status `json:"engines"`
	Traffic   []meter.Traffic                            `json:"traffic"`
	// Admission holds the plain services whose requests this daemon admits.
	Admission map[identifier.ServiceName]admitter.Status `json:"admission,omitempty"`
	// Log shows where this daemon stands in the log.
	Log LogStatus `json:"log"`
	// Evacuations shows the evacuated zones, and how old that knowledge is.
	Evacuations evacuator.Status `json:"evacuations"`
	// Cold lists the cold upstreams, and how long they still are.
	Cold []coldstarter.Status `json:"cold"`
	// Zones is nil while constants stand for the cost between zones.
	Zones *ZoneStatus `json:"zones,omitempty"`
	// Connections describes the clients' connections by group of servers.
	Connections map[string]screener.GroupStatus `json:"connections"`
}

// Status returns this daemon's view of the fleet.
func (g *Gateway) Status() Status {
	status := Status{
		VM:        g.currentSettings().VM,
		State:     g.State(),
		Current:   g.Confirmer.IsCurrent(),
		Version:   g.Follower.Version().Number,
		Epoch:     g.Limiter.Epoch(),
		Peers:     g.Peers.Live(),
		Shares:    g.Limiter.BucketStates(),
		Upstreams: len(g.registrar.All()),
		Admission: g.admitter.Statuses(),
		Engines:   make(map[identifier.ServiceName][]placer.Status),
		Traffic:   g.Meter.Traffic(),

		Connections: g.screener.Status(),
		Log:         g.logReads.status(g.Clock.Now()),
		Evacuations: g.evacuator.Status(),
		Cold:        g.coldstarter.Statuses(g.registrar.All()),
		Zones:       g.zoneStatus(),
	}
	if g.keepsAccounts() {
		status.Accounts = g.accountant.States()
	}
	for name, service := range g.Follower.Version().Services {
		if service.Engine != nil {
			status.Engines[name] = g.placer.Statuses(name)
		}
	}
	return status
}

// operatorHandler builds the handler for metrics and the status.
func (g *Gateway) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", g.metricsHandler)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.Status())
	})
	return mux
}
