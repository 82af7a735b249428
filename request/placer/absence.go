package placer

import (
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/refuser"
)

// formerEngine returns the engine with the given entry, which was removed from the pool, if
// placements on it are still running. Its zone may have been evacuated for a moment only,
// and its memory is still in use.
func (p *Pool) formerEngine(entry registrar.Entry) *engine {
	for _, pl := range p.placements {
		for _, e := range []*engine{pl.decode, pl.prefill} {
			if e != nil && e.entry.Name == entry.Name && e.entry.StartedAt.Equal(entry.StartedAt) {
				return e
			}
		}
	}
	return &engine{nameHash: xxhash.Sum64String(string(entry.Name))}
}

// known returns the names of the engines that are in the pool. A request that only holds
// back engines that the pool does not use anyway is queued like any other.
func (p *Pool) known(names []identifier.UpstreamName) []identifier.UpstreamName {
	return slices.DeleteFunc(slices.Clone(names), func(name identifier.UpstreamName) bool { return p.engines[name] == nil })
}

// RefuseQueued refuses all queued requests of a service, for which no engine can come back
// soon.
func (p *Placer) RefuseQueued(service identifier.ServiceName, code refuser.Code, reason string, retryAfter time.Duration) {
	p.withPool(service, func(pool *Pool, _ time.Time) {
		for _, pending := range pool.queue {
			pending.Outcome <- Outcome{Refusal: refuser.New(http.StatusServiceUnavailable, code, "%s", reason).WithRetryAfter(retryAfter)}
		}
		pool.queue = nil
	})
}
