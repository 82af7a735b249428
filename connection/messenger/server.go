package messenger

import (
	"context"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"

	"sassafraspass.dev/sassafraspass/connection/messenger/peerv1"
	"sassafraspass.dev/sassafraspass/connection/messenger/peerv1/peerv1connect"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/admitter"
	"sassafraspass.dev/sassafraspass/request/coordinator"
	"sassafraspass.dev/sassafraspass/request/limiter"
	"sassafraspass.dev/sassafraspass/request/placer"
	"sassafraspass.dev/sassafraspass/request/reserver"
	"sassafraspass.dev/sassafraspass/version/reducer"
)

// Server serves the peer protocol. The fields of all RPCs that peers call must be
// set, and must be safe for concurrent use.
type Server struct {
	// HandleHeartbeat processes a peer's heartbeat and returns this daemon's
	// heartbeat.
	HandleHeartbeat func(heartbeat heartbeater.Heartbeat) heartbeater.Heartbeat
	// Lend grants a borrower part of this daemon's share of a workspace's limit.
	Lend func(req limiter.BorrowRequest) limiter.BorrowResponse
	// HandleJournal records a journal update of a peer for which this daemon is a
	// replica.
	HandleJournal func(update JournalUpdate)
	// Coordinator assigns pairs of engines to completions.
	Coordinator *coordinator.Coordinator
	// TakeTokens takes tokens from a workspace's limit, as the home or the deputy of
	// the workspace. RefundTokens returns unused tokens; the numbers identify the
	// requests with which the requester took them.
	TakeTokens   func(ctx context.Context, req reserver.Request) reserver.Response
	RefundTokens func(requester identifier.Incarnation, numbers []int64)
	// Place assigns a pair of engines to a pass-through request.
	// HandlePlacementReport processes a report on the progress of such a request.
	Place                 func(ctx context.Context, service identifier.ServiceName, req placer.Request) (placer.Grant, *refuser.Refusal)
	HandlePlacementReport func(service identifier.ServiceName, report placer.Report)
	// Admit decides about requests to plain services. A daemon without it leaves the
	// field nil.
	Admit func(ctx context.Context, call admitter.Call) []admitter.Decision
	// ConfigAfter returns the changes of the configuration after a version, which
	// is given by its number.
	ConfigAfter func(after identifier.Offset) ConfigUpdate

	// OnMessage is called with the size of each message that is received or sent, and
	// ZoneOf returns the zone of a peer. Both are optional.
	OnMessage OnMessage
	ZoneOf    func(peer identifier.Incarnation) identifier.ZoneName
}

// Handler returns the path prefix and the handler of the peer protocol.
func (s *Server) Handler() (path string, handler http.Handler) {
	path, handler = peerv1connect.NewPeerHandler(&peerHandler{server: s},
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompression(gzipName, newDecompressor, newCompressor),
		connect.WithCompressMinBytes(minCompressedBytes),
		connect.WithInterceptors(recordSender()))
	return path, s.countMessages(handler)
}

// peerHandler implements the generated service interface on top of a Server. It
// converts between protobuf messages and the types of the daemon.
type peerHandler struct {
	peerv1connect.UnimplementedPeerHandler

	server *Server
}

// Heartbeat implements the RPC peer.v1.Peer.Heartbeat.
func (h *peerHandler) Heartbeat(ctx context.Context, req *connect.Request[peerv1.HeartbeatRequest]) (*connect.Response[peerv1.HeartbeatResponse], error) {
	response := h.server.HandleHeartbeat(decodeHeartbeat(req.Msg.GetBeat()))
	if response.Relay != nil {
		onSent(ctx, response.Relay.OnSent)
	}
	return connect.NewResponse(&peerv1.HeartbeatResponse{Beat: encodeHeartbeat(response)}), nil
}

// Borrow implements the RPC peer.v1.Peer.Borrow.
func (h *peerHandler) Borrow(_ context.Context, req *connect.Request[peerv1.BorrowRequest]) (*connect.Response[peerv1.BorrowResponse], error) {
	response := h.server.Lend(decodeBorrow(req.Msg))
	return connect.NewResponse(&peerv1.BorrowResponse{
		Epoch:     int64(response.Epoch),
		Parts:     int64(response.Share),
		Tokens:    response.Tokens,
		LeftParts: int64(response.RemainingShare),
	}), nil
}

// Journal implements the RPC peer.v1.Peer.Journal.
func (h *peerHandler) Journal(_ context.Context, req *connect.Request[peerv1.JournalRequest]) (*connect.Response[peerv1.JournalResponse], error) {
	h.server.HandleJournal(decodeJournal(req.Msg))
	return connect.NewResponse(&peerv1.JournalResponse{}), nil
}

// FetchConfig implements the RPC peer.v1.Peer.FetchConfig.
func (h *peerHandler) FetchConfig(_ context.Context, req *connect.Request[peerv1.FetchConfigRequest]) (*connect.Response[peerv1.FetchConfigResponse], error) {
	update := h.server.ConfigAfter(identifier.Offset(req.Msg.GetAbove()))
	msg := &peerv1.FetchConfigResponse{}
	for _, record := range update.Records {
		msg.Records = append(msg.Records, &peerv1.ConfigRecord{Offset: int64(record.Offset), Data: record.Data})
	}
	if update.Version != nil {
		version, err := reducer.Marshal(update.Version)
		if err != nil {
			return nil, err
		}
		msg.Version = version
	}
	epoch, err := json.Marshal(update.Epoch)
	if err != nil {
		return nil, err
	}
	msg.Epoch = epoch
	return connect.NewResponse(msg), nil
}
