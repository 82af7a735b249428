package server

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/connection/messenger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/confirmer"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/repeater"
	"sassafraspass.dev/sassafraspass/process/steerer"
	"sassafraspass.dev/sassafraspass/request/planner"
	"sassafraspass.dev/sassafraspass/request/streamer"
	"sassafraspass.dev/sassafraspass/version/epocher"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	watchInterval = 250 * time.Millisecond
	// resumedMemory is how long a resumed attempt stands in the beats.
	resumedMemory = 20 * time.Second
)

func (s *Server) peerHandler() http.Handler {
	server := &messenger.Server{
		Heard: func(beat heartbeater.Beat) heartbeater.Beat {
			s.members.Heard(beat)
			s.learn(beat)
			return s.beat()
		},
		Lend:        s.limiter.Lend,
		Journalled:  s.guardian.Journalled,
		Coordinator: s.coordinator,
		Config:      s.fetcher.Config,
	}
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	return mux
}

// beat returns what this daemon says about itself.
func (s *Server) beat() heartbeater.Beat {
	b := heartbeater.Beat{
		Incarnation: s.self.Incarnation,
		VM:          s.self.VM,
		Zone:        s.settings.Zone,
		Peer:        s.self.Peer,
		Caller:      s.CallerAddress(),
		Operator:    s.OperatorAddress(),
		State:       s.state(),
		Drained:     s.limiter.IsDrained(),
		Version:     s.follower.Version().Number,
		Epoch:       s.limiter.Epoch(),
		LogAge:      s.confirmer.LogAge(),
		Heard:       s.members.Unlisted(),
		Resumed:     s.recentlyResumed(),
	}
	for name, load := range s.seater.Loads() {
		b.Loads = append(b.Loads, heartbeater.EngineLoad{Upstream: name, Running: load.Running, Tokens: load.Tokens})
	}
	return b
}

func (s *Server) state() heartbeater.State {
	switch {
	case s.leaving.Load():
		return heartbeater.StateLeaving
	case !s.isReady():
		return heartbeater.StateStarting
	}
	return heartbeater.StateServing
}

// received takes a peer's answer to a beat that was sent at a time.
func (s *Server) received(beat heartbeater.Beat, asked time.Time) {
	s.learn(beat)
	s.confirmer.PeerHeard(confirmer.Report{
		Incarnation: beat.Incarnation,
		AskedAt:     asked,
		LogAge:      beat.LogAge,
		Version:     beat.Version,
		Epoch:       beat.Epoch,
	})
}

// learn takes from a beat what does not depend on its age.
func (s *Server) learn(beat heartbeater.Beat) {
	s.fetcher.Heard(beat)
	s.guardian.Resumed(beat.Resumed)
	loads := make(map[identifier.UpstreamName]planner.Load)
	for _, load := range beat.Loads {
		loads[load.Upstream] = planner.Load{Running: load.Running, Tokens: load.Tokens}
	}
	s.scheduler.Update(func(p *planner.Planner, _ time.Time) { p.Claimed(beat.Incarnation, loads) })
}

// watchMembers passes changes of the members on, until the context ends.
func (s *Server) watchMembers(ctx context.Context) error {
	return repeater.Every(ctx, s.clock, watchInterval, func() {
		live := s.liveIncarnations()
		leaving := leavingVMs(s.members.VMs())
		s.picker.Listed(leaving)
		s.coordinator.KeepHolders(func(holder identifier.Incarnation) bool {
			return holder == s.self.Incarnation || slices.Contains(live, holder)
		})
		s.scheduler.Update(func(p *planner.Planner, _ time.Time) {
			p.KeepClaims(live)
			p.Listed(leaving)
		})
		for _, gone := range s.members.Expire(s.watched()) {
			s.confirmer.Forget(gone)
			s.borrower.Forget(gone)
		}
	})
}

func leavingVMs(vms []appender.VM) []identifier.VMName {
	var leaving []identifier.VMName
	for _, vm := range vms {
		if vm.State == appender.VMLeaving {
			leaving = append(leaving, vm.Name)
		}
	}
	return leaving
}

func (s *Server) liveIncarnations() []identifier.Incarnation {
	var live []identifier.Incarnation
	for _, member := range s.members.Live() {
		live = append(live, member.Incarnation)
	}
	return live
}

func (s *Server) isLive(incarnation identifier.Incarnation) bool {
	return slices.Contains(s.liveIncarnations(), incarnation)
}

// isFirst reports whether this daemon is the first of the live ones.
func (s *Server) isFirst() bool {
	live := s.members.Live()
	return len(live) == 0 || s.self.Incarnation < live[0].Incarnation
}

func (s *Server) epochIncarnations() []identifier.Incarnation {
	var members []identifier.Incarnation
	for _, member := range s.epocher.Current().Members {
		members = append(members, member.Incarnation)
	}
	return members
}

// watched lists the daemons whose VMs matter: the epoch's members and those
// that journalled here.
func (s *Server) watched() []epocher.Member {
	return append(s.epocher.Current().Members, s.guardian.Owners()...)
}

func (s *Server) owner(incarnation identifier.Incarnation) (epocher.Member, bool) {
	member, ok := s.members.Find(incarnation)
	if !ok {
		return epocher.Member{}, false
	}
	return epocher.Member{Incarnation: member.Incarnation, VM: member.VM, Peer: member.Peer}, true
}

// coordinatorOf returns the address of the daemon that coordinates a model,
// empty for this one: the first by hash of the live ones that serve.
func (s *Server) coordinatorOf(model identifier.ModelName) identifier.Address {
	best, address := uint64(0), identifier.Address("")
	if s.state() == heartbeater.StateServing {
		best = coordinatorWeight(model, s.self.Incarnation)
	}
	for _, member := range s.members.Live() {
		weight := coordinatorWeight(model, member.Incarnation)
		if member.State == heartbeater.StateServing && weight > best {
			best, address = weight, member.Peer
		}
	}
	return address
}

func coordinatorWeight(model identifier.ModelName, incarnation identifier.Incarnation) uint64 {
	return xxhash.Sum64String(string(model) + "/" + string(incarnation))
}

// lenders returns the live members of the epoch but this daemon.
func (s *Server) lenders() []heartbeater.Member {
	epoch := s.epocher.Current()
	var lenders []heartbeater.Member
	for _, member := range s.members.Live() {
		if epoch.Has(member.Incarnation) {
			lenders = append(lenders, member)
		}
	}
	return lenders
}

// entry names the VMs that a workspace should use: live daemons that are not
// leaving, this one included.
func (s *Server) entry(workspace parser.Workspace) steerer.Entry {
	var daemons []steerer.Daemon
	if s.state() == heartbeater.StateServing {
		daemons = append(daemons, steerer.Daemon{Incarnation: s.self.Incarnation, VM: s.self.VM, Zone: s.settings.Zone, Caller: s.CallerAddress()})
	}
	for _, member := range s.members.Live() {
		if member.State == heartbeater.StateServing {
			daemons = append(daemons, steerer.Daemon{Incarnation: member.Incarnation, VM: member.VM, Zone: member.Zone, Caller: member.Caller})
		}
	}
	return steerer.Entry{
		Addresses: steerer.Steer(workspace, daemons),
		MaxAge:    steerer.MaxAgeSeconds(s.settings.EntryMaxAge),
		Current:   s.confirmer.IsCurrent(),
	}
}

// noteResumed remembers an attempt whose caller came here, so that the buddy
// of its former daemon does not cancel it.
func (s *Server) noteResumed(id streamer.EventID) {
	s.resumedMu.Lock()
	defer s.resumedMu.Unlock()
	s.resumed[id.Attempt] = s.clock.Now()
	s.guardian.Resumed([]identifier.AttemptID{id.Attempt})
}

func (s *Server) recentlyResumed() []identifier.AttemptID {
	s.resumedMu.Lock()
	defer s.resumedMu.Unlock()
	var recent []identifier.AttemptID
	for attempt, at := range s.resumed {
		if s.clock.Since(at) > resumedMemory {
			delete(s.resumed, attempt)
			continue
		}
		recent = append(recent, attempt)
	}
	return recent
}

// isReady reports whether this daemon has known its configuration and held
// shares. A later change of epoch does not make it unready.
func (s *Server) isReady() bool {
	if s.ready.Load() {
		return true
	}
	ready := s.versionRead.Load() && s.limiter.IsSettled()
	if ready && s.ready.CompareAndSwap(false, true) {
		s.heartbeat.Kick()
	}
	return ready
}
