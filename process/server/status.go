package server

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/confirmer"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/request/limiter"
	"sassafraspass.dev/sassafraspass/request/planner"
)

// PathStatus is the path of the status report on the operators' listener.
const PathStatus = "/v1/status"

// Status is a daemon's state as reported to operators.
type Status struct {
	VM          identifier.VMName      `json:"vm"`
	Zone        identifier.ZoneName    `json:"zone"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	State       heartbeater.State      `json:"state"`
	Ready       bool                   `json:"ready"`
	// Current reports whether the daemon may act on its version and epoch: they
	// are confirmed, or the daemons agree that the log is unavailable.
	Current bool `json:"current"`
	// LogAge is the time since the daemon's state was last confirmed against
	// the log, as a duration string; empty if the log was never read.
	LogAge  string                `json:"log-age,omitempty"`
	Version identifier.Offset     `json:"version"`
	Epoch   identifier.Position   `json:"epoch"`
	Peers   []PeerStatus          `json:"members"`
	Shares  []limiter.BucketState `json:"shares"`
	Engines []planner.Status      `json:"engines"`
	// Running is the number of authenticated requests in progress, and Waiting
	// the number of those queued for engines.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// UnackedCancellations is the number of cancellations that engines have not
	// acknowledged.
	UnackedCancellations int `json:"unacknowledged-cancels"`
	// ReplicatedAttempts is the number of this daemon's attempts at engines that
	// its replicas hold or are to hold.
	ReplicatedAttempts int `json:"journalled-attempts"`
	// IdempotencyKeys is the number of known idempotency keys, and
	// UnwrittenIdempotencyRecords the number of records of them that the log has
	// not acknowledged.
	IdempotencyKeys             int          `json:"once-keys"`
	UnwrittenIdempotencyRecords int          `json:"unwritten-once-records"`
	Counters                    meter.Report `json:"counters"`
	// MalformedRecords is the number of configuration records that could not be
	// parsed.
	MalformedRecords  int64 `json:"broken-records"`
	WorkspaceCount    int   `json:"workspaces"`
	KeyCount          int   `json:"keys"`
	WithdrawnKeyCount int   `json:"withdrawn-keys"`
	// HasBaseShares reports whether the base shares of the current epoch are
	// applied.
	HasBaseShares bool `json:"settled-limits"`
}

// PeerStatus is the state of another live daemon as last reported by it.
type PeerStatus struct {
	VM      identifier.VMName   `json:"vm"`
	Zone    identifier.ZoneName `json:"zone"`
	State   heartbeater.State   `json:"state"`
	Version identifier.Offset   `json:"version"`
	Epoch   identifier.Position `json:"epoch"`
}

// operatorHandler serves the status report and the metrics.
func (s *Server) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, s.serveStatus)
	mux.Handle("GET /metrics", s.metricsHandler)
	return mux
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(s.Status())
}

// Status returns the daemon's current state.
func (s *Server) Status() Status {
	heartbeat := s.OwnHeartbeat()
	version := s.Follower.Version()
	status := Status{
		VM:                          heartbeat.VM,
		Zone:                        heartbeat.Zone,
		Incarnation:                 heartbeat.Incarnation,
		State:                       heartbeat.State,
		Ready:                       s.IsReady(),
		Current:                     s.Confirmer.IsCurrent(),
		Version:                     heartbeat.Version,
		Epoch:                       heartbeat.Epoch,
		Shares:                      s.Limiter.BucketStates(),
		Running:                     s.Authenticator.TrackedCount(),
		Waiting:                     s.engines.scheduler.Waiting(),
		UnackedCancellations:        s.engines.canceller.Pending(),
		ReplicatedAttempts:          s.engines.replicator.RunningCount(),
		IdempotencyKeys:             s.services.index.Len(),
		UnwrittenIdempotencyRecords: s.services.writer.Len(),
		Counters:                    s.Meter.Report(),
		MalformedRecords:            version.MalformedRecords,
		WorkspaceCount:              len(version.Workspaces),
		KeyCount:                    len(version.Keys),
		WithdrawnKeyCount:           len(version.Withdrawn),
		HasBaseShares:               s.Limiter.HasBaseShares(),
	}
	if heartbeat.LogAge != confirmer.Never {
		status.LogAge = heartbeat.LogAge.Round(time.Millisecond).String()
	}
	for _, peer := range s.Peers.Live() {
		status.Peers = append(status.Peers, PeerStatus{
			VM:      peer.VM,
			Zone:    peer.Zone,
			State:   peer.State,
			Version: peer.Version,
			Epoch:   peer.Epoch,
		})
	}
	slices.SortFunc(status.Shares, func(a, b limiter.BucketState) int {
		if a.Workspace < b.Workspace {
			return -1
		}
		return 1
	})
	s.engines.scheduler.View(func(p *planner.Planner, now time.Time) { status.Engines = p.Statuses(now) })
	return status
}
