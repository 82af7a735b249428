package messenger

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/connection/messenger/peerv1"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/placer"
	"sassafraspass.dev/sassafraspass/request/reserver"
)

// TakeTokens asks a workspace's home for tokens. The home is the member that holds
// the workspace's whole limit, the first of epochtracker.Epoch.RankedMembers. While
// it is unreachable, the request goes to the next member, the workspace's deputy.
func (c *Client) TakeTokens(ctx context.Context, home identifier.Address, req reserver.Request) (response reserver.Response, err error) {
	defer annotator.Annotate(&err, "take tokens from %s", home)
	resp, err := c.peerClient(home).Take(ctx, connect.NewRequest(&peerv1.TakeRequest{
		Incarnation: string(req.Key.Requester),
		Number:      req.Key.Number,
		Workspace:   string(req.Workspace),
		Tokens:      int64(req.Tokens),
		WaitMs:      req.MaxWait.Milliseconds(),
		Deputy:      req.AsDeputy,
	}))
	if err != nil {
		return response, err
	}
	return reserver.Response{
		Granted:         resp.Msg.GetGranted(),
		IsAuthoritative: resp.Msg.GetHome(),
		Reason:          resp.Msg.GetRefusalMessage(),
		RetryAfter:      time.Duration(resp.Msg.GetRetryAfterMs()) * time.Millisecond,
	}, nil
}

// RefundTokens returns unused tokens to a home. The numbers identify the requests
// with which the requester took them.
func (c *Client) RefundTokens(ctx context.Context, home identifier.Address, requester identifier.Incarnation, numbers []int64) (err error) {
	defer annotator.Annotate(&err, "refund tokens to %s", home)
	_, err = c.peerClient(home).GiveBack(ctx, connect.NewRequest(&peerv1.GiveBackRequest{Incarnation: string(requester), Numbers: numbers}))
	return err
}

// Place asks for a pair of engines for one pass-through request. The address is that
// of the daemon that places the service's requests. Exactly one of grant, refusal and
// err is set.
func (c *Client) Place(ctx context.Context, address identifier.Address, service identifier.ServiceName, req placer.Request) (grant placer.Grant, refusal *refuser.Refusal, err error) {
	defer annotator.Annotate(&err, "place a request at %s", address)
	resp, err := c.peerClient(address).Place(ctx, connect.NewRequest(&peerv1.PlaceRequest{
		Incarnation:     string(req.Key.Requester),
		Number:          req.Key.Number,
		Service:         string(service),
		PromptTokens:    int64(req.PromptTokens),
		MaxOutputTokens: int64(req.MaxOutput),
		HintTokens:      int64(req.OutputHint),
		Priority:        int32(req.Priority),
		OnTimeMs:        req.TimeToDeadline.Milliseconds(),
		PatienceMs:      req.MaxWait.Milliseconds(),
		Avoid:           toStrings(req.Avoid),
		HeldBack:        toStrings(req.HeldBack),
		PromptParts:     toStrings(req.PromptParts),
		OwnPart:         string(req.OwnPart),
		Workspace:       string(req.Workspace),
		Zone:            string(req.Zone),
		Resumed:         req.Resumed,
	}))
	if err != nil {
		return grant, nil, err
	}
	msg := resp.Msg
	if msg.GetRefusalCode() != "" {
		refusal = refuser.New(int(msg.GetRefusalStatus()), refuser.Code(msg.GetRefusalCode()), "%s", msg.GetRefusalMessage()).
			WithRetryAfter(time.Duration(msg.GetRefusalRetryAfterMs()) * time.Millisecond)
		return grant, refusal, nil
	}
	return placer.Grant{
		Prefill:         identifier.UpstreamName(msg.GetPrefill()),
		Decode:          identifier.UpstreamName(msg.GetDecode()),
		Waited:          time.Duration(msg.GetWaitedMs()) * time.Millisecond,
		PeakUtilization: msg.GetFill(),
	}, nil, nil
}

// ReportPlacements reports the progress of the requester's requests to the daemon
// that placed them.
func (c *Client) ReportPlacements(ctx context.Context, address identifier.Address, requester identifier.Incarnation, reports []PlacementReport) (err error) {
	defer annotator.Annotate(&err, "report placements to %s", address)
	msg := &peerv1.ReportPlacementsRequest{Incarnation: string(requester)}
	for _, r := range reports {
		msg.Reports = append(msg.Reports, &peerv1.PlacementReport{
			Service:    string(r.Service),
			Number:     r.Report.Key.Number,
			Step:       string(r.Report.Step),
			TookUs:     r.Report.Elapsed.Microseconds(),
			MadeTokens: int64(r.Report.Output),
			AgeUs:      r.Age.Microseconds(),
		})
	}
	_, err = c.peerClient(address).ReportPlacements(ctx, connect.NewRequest(msg))
	return err
}

// PlacementReport is the report that a placed request of a service has reached a
// step.
type PlacementReport struct {
	Service identifier.ServiceName
	Report  placer.Report
	// Age is the time since the request reached the step.
	Age time.Duration
}

// Take implements the RPC peer.v1.Peer.Take.
func (h *peerHandler) Take(ctx context.Context, req *connect.Request[peerv1.TakeRequest]) (*connect.Response[peerv1.TakeResponse], error) {
	msg := req.Msg
	response := h.server.TakeTokens(ctx, reserver.Request{
		Key:       reserver.Key{Requester: identifier.Incarnation(msg.GetIncarnation()), Number: msg.GetNumber()},
		Workspace: identifier.WorkspaceName(msg.GetWorkspace()),
		Tokens:    identifier.Tokens(msg.GetTokens()),
		MaxWait:   time.Duration(msg.GetWaitMs()) * time.Millisecond,
		AsDeputy:  msg.GetDeputy(),
	})
	return connect.NewResponse(&peerv1.TakeResponse{
		Granted:        response.Granted,
		Home:           response.IsAuthoritative,
		RefusalMessage: response.Reason,
		RetryAfterMs:   response.RetryAfter.Milliseconds(),
	}), nil
}

// GiveBack implements the RPC peer.v1.Peer.GiveBack.
func (h *peerHandler) GiveBack(_ context.Context, req *connect.Request[peerv1.GiveBackRequest]) (*connect.Response[peerv1.GiveBackResponse], error) {
	h.server.RefundTokens(identifier.Incarnation(req.Msg.GetIncarnation()), req.Msg.GetNumbers())
	return connect.NewResponse(&peerv1.GiveBackResponse{}), nil
}

// Place implements the RPC peer.v1.Peer.Place.
func (h *peerHandler) Place(ctx context.Context, req *connect.Request[peerv1.PlaceRequest]) (*connect.Response[peerv1.PlaceResponse], error) {
	msg := req.Msg
	grant, refusal := h.server.Place(ctx, identifier.ServiceName(msg.GetService()), placer.Request{
		Key:            placer.Key{Requester: identifier.Incarnation(msg.GetIncarnation()), Number: msg.GetNumber()},
		PromptTokens:   identifier.Tokens(msg.GetPromptTokens()),
		MaxOutput:      identifier.Tokens(msg.GetMaxOutputTokens()),
		OutputHint:     identifier.Tokens(msg.GetHintTokens()),
		Priority:       int(msg.GetPriority()),
		TimeToDeadline: time.Duration(msg.GetOnTimeMs()) * time.Millisecond,
		MaxWait:        time.Duration(msg.GetPatienceMs()) * time.Millisecond,
		Avoid:          fromStrings[identifier.UpstreamName](msg.GetAvoid()),
		HeldBack:       fromStrings[identifier.UpstreamName](msg.GetHeldBack()),
		PromptParts:    fromStrings[identifier.PromptPartID](msg.GetPromptParts()),
		OwnPart:        identifier.PromptPartID(msg.GetOwnPart()),
		Workspace:      identifier.WorkspaceName(msg.GetWorkspace()),
		Zone:           identifier.ZoneName(msg.GetZone()),
		Resumed:        msg.GetResumed(),
	})
	return connect.NewResponse(encodePlacement(grant, refusal)), nil
}

func encodePlacement(grant placer.Grant, refusal *refuser.Refusal) *peerv1.PlaceResponse {
	if refusal != nil {
		return &peerv1.PlaceResponse{
			RefusalCode:         string(refusal.Code),
			RefusalStatus:       int32(refusal.Status),
			RefusalMessage:      refusal.Message,
			RefusalRetryAfterMs: refusal.RetryAfter.Milliseconds(),
		}
	}
	return &peerv1.PlaceResponse{
		Prefill:  string(grant.Prefill),
		Decode:   string(grant.Decode),
		WaitedMs: grant.Waited.Milliseconds(),
		Fill:     grant.PeakUtilization,
	}
}

// ReportPlacements implements the RPC peer.v1.Peer.ReportPlacements.
func (h *peerHandler) ReportPlacements(_ context.Context, req *connect.Request[peerv1.ReportPlacementsRequest]) (*connect.Response[peerv1.ReportPlacementsResponse], error) {
	requester := identifier.Incarnation(req.Msg.GetIncarnation())
	for _, msg := range req.Msg.GetReports() {
		h.server.HandlePlacementReport(identifier.ServiceName(msg.GetService()), placer.Report{
			Key:     placer.Key{Requester: requester, Number: msg.GetNumber()},
			Step:    placer.Step(msg.GetStep()),
			Elapsed: time.Duration(msg.GetTookUs()) * time.Microsecond,
			Output:  identifier.Tokens(msg.GetMadeTokens()),
		})
	}
	return connect.NewResponse(&peerv1.ReportPlacementsResponse{}), nil
}
