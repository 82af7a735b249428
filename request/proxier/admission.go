package proxier

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/ejector"
	"sassafraspass.dev/sassafraspass/request/requester"
)

// loggedServerWait is the wait for a server from which on it is logged.
const loggedServerWait = 20 * time.Millisecond

// denial is why a request gets no upstream for its next hop. The refusal is nil if there
// is none that may be used or the context has ended.
type denial struct {
	refusal *refuser.Refusal
}

// refusalAfter returns the refusal of a request whose last hop had the given result. It is
// nil if that result is the better response.
func (d *denial) refusalAfter(last hopResult) *refuser.Refusal {
	if !last.notRun {
		return nil
	}
	return d.refusal
}

// chooseUpstream returns the upstream for the next hop of a request that the tried ones
// did not serve, and the admission to send it there.
func (p *Proxier) chooseUpstream(ctx context.Context, rs *requestState, upstreams []registrar.Entry, tried []identifier.UpstreamName) (registrar.Entry, *requester.Admission, *denial) {
	admission, refusal := p.admit(ctx, rs, upstreams, tried)
	if refusal != nil {
		return registrar.Entry{}, nil, &denial{refusal}
	}
	upstream, ok := p.admittedUpstream(admission, upstreams, tried)
	if !ok || ctx.Err() != nil {
		admission.End(ejector.Abandoned)
		return registrar.Entry{}, nil, &denial{}
	}
	return upstream, admission, nil
}

// admit waits for the admission of a request that the tried servers did not serve. The
// admission is nil if this daemon chooses the servers of the service.
func (p *Proxier) admit(ctx context.Context, rs *requestState, upstreams []registrar.Entry, tried []identifier.UpstreamName) (*requester.Admission, *refuser.Refusal) {
	if rs.service.Engine != nil {
		return nil, nil
	}
	request := requester.Request{
		Workspace: rs.workspace.Name,
		Priority:  rs.priority(),
		Deadline:  rs.deadline,
		Avoid:     func() []identifier.UpstreamName { return p.unusableFor(rs, upstreams, tried) },
	}
	if rs.route.LatencyObjective > 0 {
		request.Objective = rs.req.Arrived.Add(rs.route.LatencyObjective)
	}
	startedAt := p.Clock.Now()
	admission, refusal := p.Admissions.Acquire(ctx, rs.service.Name, request)
	if admission != nil {
		waited := p.Clock.Since(startedAt)
		p.Meter.ObserveDuration(meter.TimingServerWait, waited)
		if waited >= loggedServerWait {
			p.Log.Info("A request waited for a server.", "id", rs.req.ID, "upstream", admission.Upstream, "ms", waited.Milliseconds())
		}
	}
	return admission, refusal
}

// unusableFor returns the upstreams that a request must not be sent to now: those that
// this daemon may not use, and the tried ones unless there are no others.
func (p *Proxier) unusableFor(rs *requestState, upstreams []registrar.Entry, tried []identifier.UpstreamName) (unusable []identifier.UpstreamName) {
	isUsable := make(map[identifier.UpstreamName]bool, len(upstreams))
	hasUntried := false
	for _, upstream := range upstreams {
		isUsable[upstream.Name] = p.mayUse(upstream)
		hasUntried = hasUntried || isUsable[upstream.Name] && !slices.Contains(tried, upstream.Name)
	}
	for _, upstream := range p.Registrar.Ready(rs.service.Name) {
		if !isUsable[upstream.Name] || hasUntried && slices.Contains(tried, upstream.Name) {
			unusable = append(unusable, upstream.Name)
		}
	}
	return unusable
}

// mayUse reports whether an upstream may be sent anything now.
func (p *Proxier) mayUse(upstream registrar.Entry) bool {
	return p.Abstainer.MayUse(upstream) && !p.Evacuator.IsEvacuated(upstream.Zone)
}

// UsableServers returns the servers of a service to which some daemons may send requests
// now. It holds cold ones, as each daemon has its own part of their rate.
func (p *Proxier) UsableServers(service identifier.ServiceName) []registrar.Entry {
	usable, _ := p.Abstainer.Usable(p.inRemainingZones(p.Registrar.Ready(service)))
	return usable
}

// admittedUpstream returns the upstream of an admission, or the one that this daemon
// chooses if the admission has none that it may use.
func (p *Proxier) admittedUpstream(admission *requester.Admission, upstreams []registrar.Entry, tried []identifier.UpstreamName) (registrar.Entry, bool) {
	if admission == nil {
		return p.nextUpstream(upstreams, len(tried))
	}
	untried := -1
	for i, upstream := range upstreams {
		if !p.mayUse(upstream) {
			continue
		}
		if upstream.Name == admission.Upstream {
			return upstream, true
		}
		if untried < 0 && !slices.Contains(tried, upstream.Name) {
			untried = i
		}
	}
	return p.nextUpstream(upstreams, max(0, untried))
}

// beginHop counts a request as running at an upstream until the returned function is
// called with the outcome.
func (p *Proxier) beginHop(upstream registrar.Entry, peers []registrar.Entry, admission *requester.Admission) (end func(ejector.Outcome)) {
	endHop := p.Ejector.Begin(upstream.Name, peers)
	admission.Begin(upstream.Name)
	return func(outcome ejector.Outcome) {
		endHop(outcome)
		admission.End(outcome)
	}
}

// unsentOutcome returns the outcome of a request that was not executed, as the admitting
// daemon needs it: only a response of the server says that it is full.
func unsentOutcome(r hopResult) ejector.Outcome {
	var failure *net.OpError
	switch {
	case r.err == nil && !r.misdirected:
		return ejector.Rejected
	case errors.As(r.err, &failure):
		return ejector.Failed
	}
	return ejector.Abandoned
}

// admissionRefusal returns the refusal of a request that was not admitted. It promises
// that the request has not run only if that is certain.
func (p *Proxier) admissionRefusal(ctx context.Context, rs *requestState, refusal *refuser.Refusal) *refuser.Refusal {
	if rs.mayHaveRun {
		return p.noResponseRefusal(ctx, rs, refuser.UpstreamFailed, "the service did not answer, and no other server is free")
	}
	return refusal
}

// priority returns the priority of a request: that of its workspace, or else of its
// route.
func (rs *requestState) priority() int {
	if rs.workspace.Priority != nil {
		return *rs.workspace.Priority
	}
	return rs.route.Priority
}
