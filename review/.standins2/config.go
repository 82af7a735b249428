package main

// route returns a route of the configuration.
func route(prefix, kind, service string, attempts int) map[string]any {
	r := map[string]any{
		"name": "r" + prefix, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 3000, "targetLatencyMs": 150,
		"priority": 2, "service": service, "attempts": attempts, "anonymous": false, "sticky": false, "resumable": false,
	}
	if kind == "streaming" {
		r["timeoutMs"], r["targetLatencyMs"], r["targetGapMs"], r["sticky"], r["resumable"] = 14000, 900, 300, true, attempts > 1
	}
	return r
}

var plainService = map[string]any{"name": "app", "healthPath": "/health", "connectionLimit": 96, "protocol": "h1", "tls": false}

var modelService = map[string]any{
	"name": "llm", "healthPath": "/health", "connectionLimit": 290, "protocol": "h1", "tls": false,
	"engine": map[string]any{
		"slots": 48, "kvCapacityTokens": 73378, "kvTokenBytes": 18432, "linkMbps": 1100000.0, "stride": 63, "most": 12,
		"handleTtlS": 0.5, "switchS": 6.0, "pinMs": 4000.0, "holdMs": 2000.0, "models": []any{map[string]any{"name": "m"}},
	},
}

// publish writes a configuration as the operator does. The store has acknowledged it when
// publish returns.
func (s *store) publish(version int, routes []any, keys ...string) {
	s.publishLimited(version, routes, 0, 0, keys...)
}

// publishLimited is like publish, with a limit of the tenant in tokens.
func (s *store) publishLimited(version int, routes []any, rate, burst int, keys ...string) {
	s.put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes, "services": []any{plainService, modelService},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "keys": keys, "priority": 1, "unit": "token_accounting", "uncachedTokens": 200, "ratePerS": rate, "burst": burst}},
	})
}
