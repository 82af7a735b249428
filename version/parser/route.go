package parser

import (
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

// RouteKind tells whether a pass-through request may run more than once, and whether
// the response is a stream.
type RouteKind string

// The kinds of routes.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "repeatable"
	// RouteNonIdempotent requests run at most once.
	RouteNonIdempotent RouteKind = "once"
	// RouteStream requests get an event stream as response. They run at most once,
	// unless the route allows stream failover.
	RouteStream RouteKind = "stream"
)

// Route selects the services of pass-through requests by host and path prefix. The
// requests are forwarded with their body and path unchanged.
type Route struct {
	Name string `json:"name"`
	// Host is a host name without a port. Its case does not matter.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string    `json:"path-prefix"`
	Kind       RouteKind `json:"kind"`
	// Timeout is the maximum time that a caller waits for the response.
	Timeout time.Duration `json:"timeout"`
	// LatencyObjective is the target latency. A response, or the first event of a
	// stream, is on time if it arrives within it.
	LatencyObjective time.Duration `json:"objective"`
	// MaxEventGap is the target for the pause between two events of a stream. The
	// later event is on time if the pause is not longer.
	MaxEventGap time.Duration `json:"max-gap"`
	// Priority is the priority of the route's requests. Zero is the most urgent.
	Priority int `json:"priority"`
	// MaxAttempts is the maximum number of upstreams that one request may run on.
	MaxAttempts int `json:"attempts"`
	// AllowAnonymous lets callers without a key use the route.
	AllowAnonymous bool `json:"open"`
	// AllowStreamFailover lets another engine continue a stream that ended too
	// early.
	AllowStreamFailover bool          `json:"resumable"`
	Targets             []RouteTarget `json:"targets"`
	// AllowedRegions lists the regions to whose upstreams the requests may be sent. If
	// empty, all are allowed.
	AllowedRegions []identifier.RegionName `json:"allowed-regions,omitempty"`
}

// RouteTarget is a service of a route. It gets traffic in proportion to its weight.
type RouteTarget struct {
	Service identifier.ServiceName `json:"service"`
	Weight  int                    `json:"weight"`
}

// CallerBounds limits what the callers of routes may send.
type CallerBounds struct {
	MaxBodyBytes   int64 `json:"max-body-bytes"`
	MaxHeaderBytes int64 `json:"max-header-bytes,omitempty"`
	// HeaderTimeout limits the time in which a head arrives, and IdleTimeout the time
	// that a connection waits for a request. Zero values of all fields set defaults.
	HeaderTimeout time.Duration `json:"header-timeout,omitempty"`
	IdleTimeout   time.Duration `json:"idle-timeout,omitempty"`
}

// EngineProfile describes the engines of a model service.
type EngineProfile struct {
	// Slots is the maximum number of requests that an engine runs at once.
	Slots int `json:"slots"`
	// KVCacheCapacity is the number of tokens whose KV cache fits into an engine's
	// memory.
	KVCacheCapacity identifier.Tokens `json:"memory-tokens"`
	// TokensPerEvent is the number of output tokens in one event of a stream.
	TokensPerEvent identifier.Tokens `json:"event-tokens"`
	// HandleTTL is how long an engine keeps the KV cache of a finished prefill for
	// its handle.
	HandleTTL time.Duration `json:"handle-life"`
	// RoleChangeTime is how long an engine needs to change its role.
	RoleChangeTime time.Duration `json:"switch-time"`
}
