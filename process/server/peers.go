package server

import (
	"context"
	"net/http"
	"time"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/connection/messenger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/selector"
	"sassafraspass.dev/sassafraspass/request/planner"
	"sassafraspass.dev/sassafraspass/request/streamer"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// resumeAnnouncePeriod is how long heartbeats announce that a caller resumed an
// attempt at this daemon.
const resumeAnnouncePeriod = 20 * time.Second

// peerHandler returns the handler of the peer protocol.
func (s *Server) peerHandler() http.Handler {
	server := &messenger.Server{
		HandleHeartbeat: s.HandleHeartbeat,
		Lend:            s.Limiter.Lend,
		HandleJournal:   s.engines.replica.HandleJournal,
		Coordinator:     s.engines.coordinator,
		ConfigAfter:     s.Fetcher.ConfigAfter,
		OnMessage:       s.CountMessage,
		ZoneOf:          s.ZoneOf,
	}
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	return mux
}

// extendHeartbeat adds the load of each engine and the recently resumed
// attempts to a heartbeat of this daemon.
func (s *Server) extendHeartbeat(heartbeat *heartbeater.Heartbeat) {
	heartbeat.Resumed = s.recentlyResumed()
	for name, load := range s.engines.allocator.Loads() {
		heartbeat.Loads = append(heartbeat.Loads, heartbeater.EngineLoad{Upstream: name, Running: load.Running, Tokens: load.PendingPrefill})
	}
}

// applyHeartbeat records the engine load and the resumed attempts that a peer
// reports.
func (s *Server) applyHeartbeat(heartbeat heartbeater.Heartbeat) {
	s.engines.replica.MarkResumed(heartbeat.Resumed)
	loads := make(map[identifier.UpstreamName]planner.Load)
	for _, load := range heartbeat.Loads {
		loads[load.Upstream] = planner.Load{Running: load.Running, PendingPrefill: load.Tokens}
	}
	s.engines.scheduler.Update(func(p *planner.Planner, _ time.Time) { p.SetReportedLoads(heartbeat.Incarnation, loads) })
}

// watchPeers passes changes of the live peers and of the VMs to the components
// that depend on them, until the context ends.
func (s *Server) watchPeers(ctx context.Context) error {
	return s.WatchPeers(ctx, func() {
		live := s.LiveIncarnations()
		draining := drainingVMs(s.Peers.VMs())
		s.services.picker.SetDrainingVMs(draining)
		s.engines.coordinator.ReleaseDeadRequesters(func(requester identifier.Incarnation) bool {
			return requester == s.Identity.Self.Incarnation || s.IsLive(requester)
		})
		s.engines.scheduler.Update(func(p *planner.Planner, _ time.Time) {
			p.DropLoadsOfDeadDaemons(live)
			p.SetDrainingVMs(draining)
		})
	})
}

// drainingVMs returns the names of the VMs that the platform lists as draining.
func drainingVMs(vms []appender.VM) []identifier.VMName {
	var draining []identifier.VMName
	for _, vm := range vms {
		if vm.State == appender.VMDraining {
			draining = append(draining, vm.Name)
		}
	}
	return draining
}

// findMember returns the VM and the peer address of the daemon with the given
// incarnation, if this daemon knows it.
func (s *Server) findMember(incarnation identifier.Incarnation) (epochtracker.Member, bool) {
	peer, ok := s.Peers.Find(incarnation)
	if !ok {
		return epochtracker.Member{}, false
	}
	return epochtracker.Member{Incarnation: peer.Incarnation, VM: peer.VM, PeerAddress: peer.Peer}, true
}

// newEntry returns the caller addresses that a workspace should use. Candidates
// are the daemons in the serving state, including this one.
func (s *Server) newEntry(workspace parser.Workspace) selector.Entry {
	var daemons []selector.Daemon
	if s.State() == heartbeater.StateServing {
		daemons = append(daemons, selector.Daemon{Incarnation: s.Identity.Self.Incarnation, VM: s.Identity.Self.VM, Zone: s.settings.Zone, CallerAddress: s.CallerAddress()})
	}
	for _, peer := range s.Peers.Live() {
		if peer.State == heartbeater.StateServing {
			daemons = append(daemons, selector.Daemon{Incarnation: peer.Incarnation, VM: peer.VM, Zone: peer.Zone, CallerAddress: peer.Caller})
		}
	}
	return selector.Entry{
		Addresses:     selector.SelectAddresses(workspace, daemons),
		MaxAgeSeconds: selector.WholeSeconds(s.settings.EntryMaxAge),
		Current:       s.Confirmer.IsCurrent(),
	}
}

// recordResumed records an attempt whose caller resumed its stream at this
// daemon, so that the replicas of the attempt's former daemon do not cancel it.
func (s *Server) recordResumed(id streamer.EventID) {
	s.resumedMu.Lock()
	defer s.resumedMu.Unlock()
	s.resumedAt[id.Attempt] = s.Clock.Now()
	s.engines.replica.MarkResumed([]identifier.AttemptID{id.Attempt})
}

// recentlyResumed returns the attempts resumed within resumeAnnouncePeriod and
// drops older ones.
func (s *Server) recentlyResumed() []identifier.AttemptID {
	s.resumedMu.Lock()
	defer s.resumedMu.Unlock()
	var recent []identifier.AttemptID
	for attempt, at := range s.resumedAt {
		if s.Clock.Since(at) > resumeAnnouncePeriod {
			delete(s.resumedAt, attempt)
			continue
		}
		recent = append(recent, attempt)
	}
	return recent
}
