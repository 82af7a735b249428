package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"

	"sassafraspass.dev/sassafraspass/connection/messenger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/limiter"
	"sassafraspass.dev/sassafraspass/request/placer"
)

// maxAddresses bounds the addresses in one answer of the directory.
const maxAddresses = 64

func (g *Gateway) peerHandler() http.Handler {
	server := &messenger.Server{
		Heard:      g.Heard,
		Lend:       g.Limiter.Lend,
		Journalled: func(messenger.Journal) {},
		Config:     g.Fetcher.Config,
	}
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	return mux
}

func (g *Gateway) extendBeat(*heartbeater.Beat) {}

func (g *Gateway) learn(heartbeater.Beat) {}

func (g *Gateway) watchMembers(ctx context.Context) error {
	return g.WatchMembers(ctx, func(live []identifier.Incarnation) {
		g.placer.KeepHolders(func(holder identifier.Incarnation) bool {
			return holder == g.Identity.Self.Incarnation || slices.Contains(live, holder)
		})
	})
}

func (g *Gateway) pruneConnections(ctx context.Context) error {
	return repeater.Every(ctx, g.Clock, pruneInterval, g.exchanger.Prune)
}

// isServing reports whether the daemon takes new work.
func (g *Gateway) isServing() bool {
	return g.State() == heartbeater.StateServing
}

// addresses returns the callers' addresses of the daemons that are ready, in
// random order.
func (g *Gateway) addresses(identifier.ZoneName) []identifier.Address {
	var ready []identifier.Address
	if g.isServing() {
		ready = append(ready, g.Identity.Caller)
	}
	for _, member := range g.Members.Live() {
		if member.State == heartbeater.StateServing {
			ready = append(ready, member.Caller)
		}
	}
	rand.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	return ready[:min(len(ready), maxAddresses)]
}

func (g *Gateway) nextKey() placer.Key {
	return placer.Key{Holder: g.Identity.Self.Incarnation, Number: g.placement.Add(1)}
}

func (g *Gateway) place(ctx context.Context, service identifier.ServiceName, ask placer.Ask) (placer.Grant, *refuser.Refusal) {
	return g.placer.Place(ctx, service, ask)
}

func (g *Gateway) report(service identifier.ServiceName, report placer.Report) {
	g.placer.Report(service, report)
}

// Status is what a daemon knows, for operators.
type Status struct {
	VM        identifier.VMName                          `json:"vm"`
	State     heartbeater.State                          `json:"state"`
	Current   bool                                       `json:"current"`
	Version   identifier.Offset                          `json:"version"`
	Epoch     identifier.Offset                          `json:"epoch"`
	Members   []heartbeater.Member                       `json:"members"`
	Shares    []limiter.Holding                          `json:"shares"`
	Upstreams int                                        `json:"upstreams"`
	Engines   map[identifier.ServiceName][]placer.Status `json:"engines"`
}

// Status returns what this daemon knows.
func (g *Gateway) Status() Status {
	status := Status{
		VM:        g.settings.VM,
		State:     g.State(),
		Current:   g.Confirmer.IsCurrent(),
		Version:   g.Follower.Version().Number,
		Epoch:     g.Limiter.Epoch(),
		Members:   g.Members.Live(),
		Shares:    g.Limiter.Holdings(),
		Upstreams: len(g.registrar.All()),
		Engines:   make(map[identifier.ServiceName][]placer.Status),
	}
	for name, service := range g.Follower.Version().Services {
		if service.Engine != nil {
			status.Engines[name] = g.placer.Statuses(name)
		}
	}
	return status
}

func (g *Gateway) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", g.metrics)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.Status())
	})
	return mux
}
