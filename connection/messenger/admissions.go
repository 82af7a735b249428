package messenger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/connection/messenger/peerv1"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/admitter"
	"sassafraspass.dev/sassafraspass/request/ejector"
)

// ErrNotOffered means that a daemon does not offer an RPC, because it is of an earlier
// build or of another kind.
var ErrNotOffered = errors.New("the daemon does not offer this")

// Admit asks the daemon that admits the requests of a service for servers.
func (c *Client) Admit(ctx context.Context, address identifier.Address, call admitter.Call) (decisions []admitter.Decision, err error) {
	defer annotator.Annotate(&err, "ask %s to admit requests", address)
	resp, err := c.peerClient(address).Admit(ctx, connect.NewRequest(encodeAdmitCall(call)))
	if err != nil && connect.CodeOf(err) == connect.CodeUnimplemented {
		return nil, fmt.Errorf("%w: %w", ErrNotOffered, err)
	}
	if err != nil {
		return nil, err
	}
	for _, msg := range resp.Msg.GetDecisions() {
		decisions = append(decisions, decodeDecision(msg))
	}
	return decisions, nil
}

// Admit implements the RPC peer.v1.Peer.Admit.
func (h *peerHandler) Admit(ctx context.Context, req *connect.Request[peerv1.AdmitRequest]) (*connect.Response[peerv1.AdmitResponse], error) {
	if h.server.Admit == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, ErrNotOffered)
	}
	msg := &peerv1.AdmitResponse{}
	for _, decision := range h.server.Admit(ctx, decodeAdmitCall(req.Msg)) {
		msg.Decisions = append(msg.Decisions, encodeDecision(decision))
	}
	return connect.NewResponse(msg), nil
}

func encodeAdmitCall(call admitter.Call) *peerv1.AdmitRequest {
	msg := &peerv1.AdmitRequest{
		Incarnation: string(call.Caller),
		Service:     string(call.Service),
		Zone:        string(call.Zone),
		Cancelled:   call.Cancelled,
	}
	for _, item := range call.Items {
		msg.Items = append(msg.Items, &peerv1.AdmitItem{
			Number:      item.Number,
			Workspace:   string(item.Workspace),
			Priority:    int32(item.Priority),
			ObjectiveMs: item.ToObjective.Milliseconds(),
			DeadlineMs:  item.ToDeadline.Milliseconds(),
			Avoid:       toStrings(item.Avoid),
		})
	}
	for _, report := range call.Reports {
		msg.Reports = append(msg.Reports, &peerv1.AdmitReport{
			Number:   report.Number,
			Upstream: string(report.Upstream),
			Outcome:  string(report.Outcome),
			TookUs:   report.Took.Microseconds(),
			AgeUs:    report.Age.Microseconds(),
		})
	}
	return msg
}

func decodeAdmitCall(msg *peerv1.AdmitRequest) admitter.Call {
	call := admitter.Call{
		Caller:    identifier.Incarnation(msg.GetIncarnation()),
		Zone:      identifier.ZoneName(msg.GetZone()),
		Service:   identifier.ServiceName(msg.GetService()),
		Cancelled: msg.GetCancelled(),
	}
	for _, item := range msg.GetItems() {
		call.Items = append(call.Items, admitter.Item{
			Number:      item.GetNumber(),
			Workspace:   identifier.WorkspaceName(item.GetWorkspace()),
			Priority:    int(item.GetPriority()),
			ToObjective: time.Duration(item.GetObjectiveMs()) * time.Millisecond,
			ToDeadline:  time.Duration(item.GetDeadlineMs()) * time.Millisecond,
			Avoid:       fromStrings[identifier.UpstreamName](item.GetAvoid()),
		})
	}
	for _, report := range msg.GetReports() {
		call.Reports = append(call.Reports, admitter.Report{
			Number:   report.GetNumber(),
			Upstream: identifier.UpstreamName(report.GetUpstream()),
			Outcome:  ejector.Outcome(report.GetOutcome()),
			Took:     time.Duration(report.GetTookUs()) * time.Microsecond,
			Age:      time.Duration(report.GetAgeUs()) * time.Microsecond,
		})
	}
	return call
}

func encodeDecision(decision admitter.Decision) *peerv1.AdmitDecision {
	msg := &peerv1.AdmitDecision{
		Number:   decision.Number,
		Upstream: string(decision.Upstream),
		WaitedUs: decision.Waited.Microseconds(),
	}
	if decision.Refusal != nil {
		msg.RefusalCode = string(decision.Refusal.Code)
		msg.RefusalStatus = int32(decision.Refusal.Status)
		msg.RefusalMessage = decision.Refusal.Message
		msg.RefusalRetryAfterMs = decision.Refusal.RetryAfter.Milliseconds()
	}
	return msg
}

func decodeDecision(msg *peerv1.AdmitDecision) admitter.Decision {
	decision := admitter.Decision{
		Number:   msg.GetNumber(),
		Upstream: identifier.UpstreamName(msg.GetUpstream()),
		Waited:   time.Duration(msg.GetWaitedUs()) * time.Microsecond,
	}
	if msg.GetRefusalCode() != "" {
		decision.Refusal = refuser.New(int(msg.GetRefusalStatus()), refuser.Code(msg.GetRefusalCode()), "%s", msg.GetRefusalMessage()).
			WithRetryAfter(time.Duration(msg.GetRefusalRetryAfterMs()) * time.Millisecond)
	}
	return decision
}

// encodeContentions returns loads without a zone, which stand for all zones.
func encodeContentions(contentions []heartbeater.Contention) (msgs []*peerv1.ZoneLoad) {
	for _, contention := range contentions {
		msgs = append(msgs, &peerv1.ZoneLoad{Service: string(contention.Service), AgeMs: encodeAge(contention.Age)})
	}
	return msgs
}

func decodeContentions(msgs []*peerv1.ZoneLoad) (contentions []heartbeater.Contention) {
	for _, msg := range msgs {
		if msg.GetZone() == "" {
			contentions = append(contentions, heartbeater.Contention{Service: identifier.ServiceName(msg.GetService()), Age: decodeAge(msg.GetAgeMs())})
		}
	}
	return contentions
}
