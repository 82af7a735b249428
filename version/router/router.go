// Package router finds the routes of pass-through requests, by host and longest
// path prefix.
package router

import (
	"math/rand/v2"
	"slices"
	"strings"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// Router finds the routes of requests among the routes of one version. It is
// immutable.
type Router struct {
	// byHost holds the routes of each host, longest prefix first. The hosts are in
	// lower case.
	byHost map[string][]parser.Route
}

// New returns a Router for routes. The first of the routes with the same host and
// the same prefix takes precedence.
func New(routes []parser.Route) *Router {
	r := &Router{byHost: make(map[string][]parser.Route)}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		r.byHost[host] = append(r.byHost[host], route)
	}
	for _, hostRoutes := range r.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b parser.Route) int {
			return len(b.PathPrefix) - len(a.PathPrefix)
		})
	}
	return r
}

// Find returns the route of the host with the longest prefix of the path. The host
// may have a port; its case does not matter.
func (r *Router) Find(host, path string) (route parser.Route, ok bool) {
	for _, candidate := range r.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, candidate.PathPrefix) {
			return candidate, true
		}
	}
	return parser.Route{}, false
}

// HostRoutes returns the routes of a host.
func (r *Router) HostRoutes(host string) []parser.Route {
	return r.byHost[normalizeHost(host)]
}

// normalizeHost strips the port and a trailing dot, and converts to lower case.
func normalizeHost(host string) string {
	name, _, found := strings.Cut(host, ":")
	if !found {
		name = host
	}
	return strings.ToLower(strings.TrimSuffix(name, "."))
}

// PickService returns a random service among the targets of a route, with
// probabilities in proportion to their weights. It returns "" if no target has a
// weight above 0.
func PickService(route parser.Route) identifier.ServiceName {
	totalWeight := 0
	for _, target := range route.Targets {
		totalWeight += max(0, target.Weight)
	}
	if totalWeight == 0 {
		return ""
	}
	remaining := rand.IntN(totalWeight)
	for _, target := range route.Targets {
		remaining -= max(0, target.Weight)
		if remaining < 0 {
			return target.Service
		}
	}
	return ""
}
