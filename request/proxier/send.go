package proxier

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"sassafraspass.dev/sassafraspass/connection/exchanger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// errHeldBack means that nothing was sent, because the upstream is leaving or asked to
// be left alone for a while.
var errHeldBack = errors.New("the upstream asked to be left alone")

// errNotListed means that nothing was sent, because the upstream drains or has left since
// it was chosen.
var errNotListed = errors.New("the upstream takes no new work")

// sendHopRequest sends a caller's request to an upstream that still takes new work. The
// list may have changed since the upstream was chosen, as a prompt is read meanwhile.
func (p *Proxier) sendHopRequest(ctx context.Context, rs *requestState, hop Hop) (*exchanger.Response, error) {
	if !p.Registrar.IsReady(hop.Upstream) {
		return nil, &exchanger.SendError{Err: errNotListed}
	}
	return p.Send(ctx, hop.Upstream, p.newUpstreamRequest(rs, hop))
}

// Send sends a request to an upstream, unless its zone is evacuated or it asked to be left
// alone, and records what the response says about it. Everything that this daemon sends to
// upstreams goes through it. Errors are of type *exchanger.SendError.
func (p *Proxier) Send(ctx context.Context, upstream registrar.Entry, request exchanger.Request) (*exchanger.Response, error) {
	if !p.Evacuator.IsTrusted() || p.Evacuator.IsEvacuated(upstream.Zone) {
		p.Meter.CountEvent(meter.EventEvacuatedSend)
		return nil, &exchanger.SendError{Err: errEvacuated}
	}
	if !p.Abstainer.MayUse(upstream) {
		return nil, &exchanger.SendError{Err: errHeldBack}
	}
	response, err := p.Exchanger.Exchange(ctx, upstream.Address, request)
	if err != nil {
		return nil, err
	}
	p.observe(ctx, upstream, response)
	return response, nil
}

// isNotRun reports whether a response states that the request was not executed.
func (p *Proxier) isNotRun(response *exchanger.Response) bool {
	return p.Protocol.IsNotRun(response.StatusCode, response.Header)
}

func (p *Proxier) isMisdirected(response *exchanger.Response) bool {
	return p.Protocol.IsMisdirected(response.StatusCode, response.Header)
}

// observe records what a response says about its upstream, unless another upstream sent
// it.
func (p *Proxier) observe(ctx context.Context, upstream registrar.Entry, response *exchanger.Response) {
	if p.Protocol.IsMisdirected(response.StatusCode, response.Header) {
		return
	}
	signal := p.Protocol.DecodeSignal(response.StatusCode, response.Header)
	if signal.RetryAfter > 0 {
		p.Meter.CountEvent(meter.EventHold)
		p.Log.Log(ctx, slog.LevelInfo, "An upstream wants no requests for a while.", "upstream", upstream.Name, "status", response.StatusCode, "ms", signal.RetryAfter.Milliseconds())
	}
	p.Abstainer.Observe(upstream, signal)
	if signal.HasColdLeft {
		p.Coldstarter.Observe(upstream, signal.ColdLeft)
	}
}

// usableUpstreams returns the upstreams to which a request may be sent now. If there are
// none, it returns the refusal for the request.
func (p *Proxier) usableUpstreams(rs *requestState) (usable []registrar.Entry, refusal *refuser.Refusal) {
	service := rs.service.Name
	ready, refusal := p.readyAtHome(rs)
	if refusal != nil {
		return nil, refusal
	}
	remaining := p.inRemainingZones(ready)
	if len(remaining) == 0 && len(ready) > 0 {
		return nil, evacuatedRefusal(service)
	}
	usable, nextReturn := p.Abstainer.Usable(remaining)
	usable, coldWait := p.Coldstarter.Usable(service, usable)
	switch {
	case len(usable) > 0:
		return usable, nil
	case coldWait > 0:
		return nil, coldRefusal(service, coldWait)
	case nextReturn > 0:
		return nil, heldBackRefusal(service, nextReturn)
	}
	return nil, refuser.New(http.StatusServiceUnavailable, refuser.NoUpstream, "service %s has no server now", service).WithRetryAfter(shortRetryAfter)
}

// heldBackRefusal is the refusal if all upstreams that could serve a request asked to be
// left alone. Another daemon may still use them, but all are turned away alike in an
// overload.
func heldBackRefusal(service identifier.ServiceName, nextReturn time.Duration) *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, refuser.HeldBack, "the servers of service %s want no requests for %d ms", service, nextReturn.Milliseconds()).WithRetryAfter(nextReturn)
}

// checkEngines refuses a stream for which the engines of one role are all held back. It
// returns the engines that the placement must leave out.
func (p *Proxier) checkEngines(rs *requestState) (heldBack []identifier.UpstreamName, refusal *refuser.Refusal) {
	service := rs.service.Name
	all := p.Registrar.Ready(service)
	ready := p.Confiner.AtHome(rs.homes, all)
	remaining := p.inRemainingZones(ready)
	heldBack = p.Abstainer.HeldBack(remaining)
	if len(heldBack) == 0 && len(remaining) == len(all) {
		return nil, nil
	}
	heldBack = append(heldBack, p.evacuated(ready)...)
	heldBack = append(heldBack, p.Confiner.Away(rs.homes, all)...)
	for _, role := range []parser.Role{parser.RolePrefill, parser.RoleDecode} {
		var engines []registrar.Entry
		for _, entry := range ready {
			if entry.Role == role {
				engines = append(engines, entry)
			}
		}
		if len(engines) == 0 && len(ready) < len(all) {
			return nil, homeRefusal(service)
		}
		remaining := p.inRemainingZones(engines)
		if len(remaining) == 0 && len(engines) > 0 {
			return nil, evacuatedRefusal(service)
		}
		usable, nextReturn := p.Abstainer.Usable(remaining)
		if len(usable) == 0 && nextReturn > 0 {
			return nil, heldBackRefusal(service, nextReturn)
		}
	}
	return heldBack, nil
}

// nextUpstream returns the upstream for a hop: the first one from the hop's place in the
// order on that may be used now.
func (p *Proxier) nextUpstream(upstreams []registrar.Entry, hop int) (registrar.Entry, bool) {
	for i := range upstreams {
		upstream := upstreams[(hop+i)%len(upstreams)]
		if p.Registrar.IsReady(upstream) && p.Abstainer.MayUse(upstream) && !p.Evacuator.IsEvacuated(upstream.Zone) && p.Coldstarter.HasRoom(upstream) {
			return upstream, true
		}
	}
	return registrar.Entry{}, false
}
