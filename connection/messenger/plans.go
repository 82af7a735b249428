package messenger

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/connection/messenger/peerv1"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/coordinator"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// Acquire asks a coordinator for a plan: a pair of engines that it assigns to a
// completion, under the plan id in the request. Exactly one of grant, refusal and
// err is set.
func (c *Client) Acquire(ctx context.Context, address identifier.Address, req coordinator.Request) (grant coordinator.Grant, refusal *refuser.Refusal, err error) {
	defer annotator.Annotate(&err, "acquire engines from %s", address)
	resp, err := c.peerClient(address).Acquire(ctx, connect.NewRequest(encodeAcquire(req)))
	if err != nil {
		return grant, nil, err
	}
	grant, refusal = decodeGrant(resp.Msg)
	return grant, refusal, nil
}

// MovePlan asks a coordinator to move a plan to a decode engine that avoid does
// not list. The moved plan has the id newID. If ok is false, the coordinator
// refused and the plan has not moved.
func (c *Client) MovePlan(ctx context.Context, address identifier.Address, requester identifier.Incarnation, oldID, newID coordinator.PlanID, avoid []identifier.UpstreamName) (grant coordinator.Grant, ok bool, err error) {
	defer annotator.Annotate(&err, "move plan at %s", address)
	resp, err := c.peerClient(address).Reseat(ctx, connect.NewRequest(&peerv1.ReseatRequest{
		Incarnation: string(requester),
		Plan:        string(oldID),
		NewPlan:     string(newID),
		Avoid:       toStrings(avoid),
	}))
	if err != nil {
		return grant, false, err
	}
	grant, refusal := decodeGrant(resp.Msg)
	return grant, refusal == nil, nil
}

// ReportPlanEvents reports events of the requester's plans to the coordinator that
// assigned them.
func (c *Client) ReportPlanEvents(ctx context.Context, address identifier.Address, requester identifier.Incarnation, events []coordinator.Event) (err error) {
	defer annotator.Annotate(&err, "report plan events to %s", address)
	msg := &peerv1.SettleRequest{Incarnation: string(requester)}
	for _, event := range events {
		msg.Events = append(msg.Events, &peerv1.PlanEvent{
			Plan:   string(event.PlanID),
			Kind:   string(event.Kind),
			TookUs: event.Elapsed.Microseconds(),
		})
	}
	_, err = c.peerClient(address).Settle(ctx, connect.NewRequest(msg))
	return err
}

// Acquire implements the RPC peer.v1.Peer.Acquire.
func (h *peerHandler) Acquire(ctx context.Context, req *connect.Request[peerv1.AcquireRequest]) (*connect.Response[peerv1.AcquireResponse], error) {
	grant, refusal := h.server.Coordinator.Acquire(ctx, decodeAcquire(req.Msg))
	return connect.NewResponse(encodeGrant(grant, refusal)), nil
}

// Reseat implements the RPC peer.v1.Peer.Reseat.
func (h *peerHandler) Reseat(_ context.Context, req *connect.Request[peerv1.ReseatRequest]) (*connect.Response[peerv1.AcquireResponse], error) {
	grant, ok := h.server.Coordinator.Reseat(
		identifier.Incarnation(req.Msg.GetIncarnation()),
		coordinator.PlanID(req.Msg.GetPlan()),
		coordinator.PlanID(req.Msg.GetNewPlan()),
		fromStrings[identifier.UpstreamName](req.Msg.GetAvoid()))
	if !ok {
		return connect.NewResponse(&peerv1.AcquireResponse{RefusalCode: string(refuser.NoUpstream)}), nil
	}
	return connect.NewResponse(encodeGrant(grant, nil)), nil
}

// Settle implements the RPC peer.v1.Peer.Settle.
func (h *peerHandler) Settle(_ context.Context, req *connect.Request[peerv1.SettleRequest]) (*connect.Response[peerv1.SettleResponse], error) {
	var events []coordinator.Event
	for _, event := range req.Msg.GetEvents() {
		events = append(events, coordinator.Event{
			PlanID:  coordinator.PlanID(event.GetPlan()),
			Kind:    coordinator.EventKind(event.GetKind()),
			Elapsed: time.Duration(event.GetTookUs()) * time.Microsecond,
		})
	}
	h.server.Coordinator.HandleEvents(identifier.Incarnation(req.Msg.GetIncarnation()), events)
	return connect.NewResponse(&peerv1.SettleResponse{}), nil
}

func encodeAcquire(req coordinator.Request) *peerv1.AcquireRequest {
	msg := &peerv1.AcquireRequest{
		Incarnation:  string(req.Requester),
		Plan:         string(req.PlanID),
		Model:        string(req.Model),
		Workspace:    string(req.Workspace),
		Class:        string(req.Class),
		CostTokens:   int64(req.Cost),
		Weight:       int64(req.Weight),
		WaitedMs:     req.Waited.Milliseconds(),
		PatienceMs:   req.MaxWait.Milliseconds(),
		PromptTokens: int64(req.PromptTokens),
		Avoid:        toStrings(req.Avoid),
	}
	for _, block := range req.Blocks {
		msg.Blocks = append(msg.Blocks, uint64(block))
	}
	return msg
}

func decodeAcquire(msg *peerv1.AcquireRequest) coordinator.Request {
	req := coordinator.Request{
		Requester:    identifier.Incarnation(msg.GetIncarnation()),
		PlanID:       coordinator.PlanID(msg.GetPlan()),
		Model:        identifier.ModelName(msg.GetModel()),
		Workspace:    identifier.WorkspaceName(msg.GetWorkspace()),
		Class:        parser.Class(msg.GetClass()),
		Cost:         identifier.Tokens(msg.GetCostTokens()),
		Weight:       identifier.Tokens(msg.GetWeight()),
		Waited:       time.Duration(msg.GetWaitedMs()) * time.Millisecond,
		MaxWait:      time.Duration(msg.GetPatienceMs()) * time.Millisecond,
		PromptTokens: identifier.Tokens(msg.GetPromptTokens()),
		Avoid:        fromStrings[identifier.UpstreamName](msg.GetAvoid()),
	}
	for _, block := range msg.GetBlocks() {
		req.Blocks = append(req.Blocks, dispatcher.BlockHash(block))
	}
	return req
}

func encodeGrant(grant coordinator.Grant, refusal *refuser.Refusal) *peerv1.AcquireResponse {
	if refusal != nil {
		return &peerv1.AcquireResponse{
			RefusalCode:         string(refusal.Code),
			RefusalStatus:       int32(refusal.Status),
			RefusalMessage:      refusal.Message,
			RefusalRetryAfterMs: refusal.RetryAfter.Milliseconds(),
		}
	}
	return &peerv1.AcquireResponse{
		Prefill:         string(grant.Prefill),
		Decode:          string(grant.Decode),
		WorkTokens:      int64(grant.PrefillWork),
		TransferBoundUs: grant.TransferBound.Microseconds(),
	}
}

func decodeGrant(msg *peerv1.AcquireResponse) (coordinator.Grant, *refuser.Refusal) {
	if msg.GetRefusalCode() != "" {
		refusal := refuser.New(int(msg.GetRefusalStatus()), refuser.Code(msg.GetRefusalCode()), "%s", msg.GetRefusalMessage())
		return coordinator.Grant{}, refusal.WithRetryAfter(time.Duration(msg.GetRefusalRetryAfterMs()) * time.Millisecond)
	}
	return coordinator.Grant{
		Prefill:       identifier.UpstreamName(msg.GetPrefill()),
		Decode:        identifier.UpstreamName(msg.GetDecode()),
		PrefillWork:   identifier.Tokens(msg.GetWorkTokens()),
		TransferBound: time.Duration(msg.GetTransferBoundUs()) * time.Microsecond,
	}, nil
}
