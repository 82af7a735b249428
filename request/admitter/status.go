package admitter

import (
	"slices"
	"strings"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

// Status is the state of a service as the admitting daemon knows it.
type Status struct {
	Waiting int            `json:"waiting"`
	Callers int            `json:"callers"`
	Servers []ServerStatus `json:"servers"`
}

// ServerStatus is the state of a server.
type ServerStatus struct {
	Name identifier.UpstreamName `json:"name"`
	// Running is the expected number of running requests, and Limit the number that the
	// server is assumed to take.
	Running float64 `json:"running"`
	Limit   float64 `json:"limit"`
	Slots   int     `json:"slots"`
	// ServiceMs is the learned service time, and Samples its weight in requests.
	ServiceMs float64 `json:"service-ms"`
	Samples   float64 `json:"samples"`
	Ejected   bool    `json:"ejected,omitempty"`
}

// Status returns the state of the pool.
func (p *Pool) Status(now time.Time) Status {
	p.updateServers(now)
	status := Status{Waiting: len(p.waiting), Callers: len(p.callers), Servers: []ServerStatus{}}
	for name, s := range p.servers {
		if !s.isListed {
			continue
		}
		status.Servers = append(status.Servers, ServerStatus{
			Name: name, Running: s.occupancy, Limit: s.limit(), Slots: s.entry.Slots,
			ServiceMs: p.timeOf(s, now) * 1000, Samples: s.took.weight, Ejected: p.ejector.IsEjected(name),
		})
	}
	slices.SortFunc(status.Servers, func(a, b ServerStatus) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return status
}
