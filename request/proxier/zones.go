package proxier

import (
	"errors"
	"net/http"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/refuser"
)

// errEvacuated means that nothing was sent, because the upstream's zone is evacuated, or
// because this daemon does not know which zones are.
var errEvacuated = errors.New("the zone of the upstream is evacuated")

// checkEvacuations refuses all requests while this daemon does not know which zones are
// evacuated.
func (p *Proxier) checkEvacuations() *refuser.Refusal {
	switch {
	case p.Evacuator.IsTrusted():
		return nil
	case !p.Evacuator.IsKnown():
		return refuser.New(http.StatusServiceUnavailable, refuser.NotReady, "the evacuated zones are not known yet").WithRetryAfter(shortRetryAfter)
	}
	return refuser.New(http.StatusServiceUnavailable, refuser.NotCurrent, "this VM cannot confirm which zones are evacuated").WithRetryAfter(elsewhereRetryAfter)
}

// inRemainingZones returns the upstreams whose zones are not evacuated.
func (p *Proxier) inRemainingZones(upstreams []registrar.Entry) (remaining []registrar.Entry) {
	if !p.Evacuator.HasEvacuations() {
		return upstreams
	}
	for _, upstream := range upstreams {
		if !p.Evacuator.IsEvacuated(upstream.Zone) {
			remaining = append(remaining, upstream)
		}
	}
	return remaining
}

// evacuated returns the names of the upstreams whose zones are evacuated.
func (p *Proxier) evacuated(upstreams []registrar.Entry) (names []identifier.UpstreamName) {
	for _, upstream := range upstreams {
		if p.Evacuator.IsEvacuated(upstream.Zone) {
			names = append(names, upstream.Name)
		}
	}
	return names
}

// readyAtHome returns the ready upstreams in the home regions of a request. If there are others
// only, it returns the refusal for the request.
func (p *Proxier) readyAtHome(rs *requestState) (atHome []registrar.Entry, refusal *refuser.Refusal) {
	ready := p.Registrar.Ready(rs.service.Name)
	atHome = p.Confiner.AtHome(rs.homes, ready)
	if len(atHome) == 0 && len(ready) > 0 {
		return nil, homeRefusal(rs.service.Name)
	}
	return atHome, nil
}

// isHome reports whether an upstream is in a home region of a request.
func (p *Proxier) isHome(rs *requestState, upstream registrar.Entry) bool {
	return p.Confiner.IsHome(rs.homes, upstream.Zone)
}

// homeRefusal is the refusal if no upstream that could serve a request is in a home region.
func homeRefusal(service identifier.ServiceName) *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, refuser.NoHome, "no server of service %s is in a region in which the request may be served", service).WithRetryAfter(retryAfter)
}

// evacuatedRefusal is the refusal if all upstreams that could serve a request are in
// evacuated zones.
func evacuatedRefusal(service identifier.ServiceName) *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, refuser.ZoneEvacuated, "the zone of every server of service %s is evacuated", service).WithRetryAfter(retryAfter)
}
