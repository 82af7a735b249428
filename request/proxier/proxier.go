// Package proxier proxies pass-through requests: it finds the route,
// authenticates the caller, reserves tokens of the workspace's limit, and sends
// the request to upstreams until one responds or no retry is allowed. It serves the
// daemon of package gateway; that of package server uses streamer and forwarder.
//
//	ingress --> proxier --> router (route), authenticator (key), reserver (tokens)
//	               |    `--> budgeter (retries)
//	               |-- plain  --> ejector (order of upstreams) ---------+
//	               `-- stream --> broker --> placer (pair of engines) --+--> exchanger
package proxier

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/connection/drainer"
	"sassafraspass.dev/sassafraspass/connection/exchanger"
	"sassafraspass.dev/sassafraspass/connection/rationer"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/evacuator"
	"sassafraspass.dev/sassafraspass/process/logger"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/abstainer"
	"sassafraspass.dev/sassafraspass/request/authenticator"
	"sassafraspass.dev/sassafraspass/request/budgeter"
	"sassafraspass.dev/sassafraspass/request/coldstarter"
	"sassafraspass.dev/sassafraspass/request/confiner"
	"sassafraspass.dev/sassafraspass/request/ejector"
	"sassafraspass.dev/sassafraspass/request/placer"
	"sassafraspass.dev/sassafraspass/request/requester"
	"sassafraspass.dev/sassafraspass/request/reserver"
	"sassafraspass.dev/sassafraspass/version/parser"
	"sassafraspass.dev/sassafraspass/version/reducer"
	"sassafraspass.dev/sassafraspass/version/router"
)

const (
	// responseMargin is subtracted from the timeout, so that the final response
	// reaches the caller in time.
	responseMargin = 15 * time.Millisecond
	// defaultTimeout bounds the timeout of every request. It also applies if neither
	// the caller nor the route sets one.
	defaultTimeout = 60 * time.Second
	// retryAfter is the Retry-After time of a refusal. shortRetryAfter is used if a
	// quick retry, possibly at another daemon, may succeed.
	retryAfter      = time.Second
	shortRetryAfter = 500 * time.Millisecond
	// outageRetryAfter is used while the store is down. Most callers retry once, and an
	// outage that lasts until a daemon has started usually lasts longer than
	// shortRetryAfter. Callers cut the time to a fraction of what they have left.
	outageRetryAfter = 2 * time.Second
	// elsewhereRetryAfter is used if another daemon may serve the request at once.
	elsewhereRetryAfter = 10 * time.Millisecond
)

// Request is a pass-through request, whose body and target are forwarded unchanged.
type Request struct {
	// ID identifies the caller's attempt.
	ID     string
	Host   string
	Method string
	// Target is the request target as received; Path is its path component.
	Target string
	Path   string
	// Header holds the fields to forward, and Credentials the fields with the
	// caller's key.
	Header      http.Header
	Credentials http.Header
	Body        []byte
	Arrived     time.Time
	// Timeout is how long the caller waits for the response, zero if unknown.
	Timeout time.Duration
	// PromptParts lists the parts of the prompt that other requests may share.
	PromptParts []identifier.PromptPartID
	// OwnPart is the last part of the prompt, empty if unknown.
	OwnPart identifier.PromptPartID
	// Tokens holds the token counts, nil for a request without a prompt.
	Tokens *TokenCounts
	// LastEventID is the id of the last event that the caller received, empty for a
	// new stream.
	LastEventID string
	// OnReusedConnection is set if the connection carried earlier requests.
	OnReusedConnection bool
}

// TokenCounts holds the prompt and output lengths that a request declares.
type TokenCounts struct {
	PromptTokens identifier.Tokens
	MaxOutput    identifier.Tokens
	// OutputHint is the caller's estimate of its output length, zero if unknown.
	OutputHint identifier.Tokens
}

// Stage says what an upstream executes of a request: all of it, its prefill or its
// decode.
type Stage string

// The stages.
const (
	// StagePlain is all of a request to a plain service.
	StagePlain   Stage = "whole"
	StagePrefill Stage = "prefill"
	StageDecode  Stage = "decode"
)

// KVHandle identifies the KV cache that a prefill produced. The prefill engine keeps
// it for a short time.
type KVHandle struct {
	Engine registrar.Entry
	ID     string
}

// Hop is one send of a request to one upstream. A request that is retried, or that
// is split into a prefill and a decode, takes several hops.
type Hop struct {
	Upstream  registrar.Entry
	Stage     Stage
	Workspace identifier.WorkspaceName
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration
	// Handle identifies the KV cache that the decode engine fetches. Without one, the
	// engine reads by itself what it does not have of the prompt.
	Handle KVHandle
	// LastEventID is the id of the last event that the caller received, empty if it
	// received none.
	LastEventID string
}

// Protocol encodes requests to upstreams and interprets their responses.
type Protocol struct {
	// Encode returns the header to send with a hop.
	Encode func(req *Request, hop Hop) http.Header
	// DecodeHandle parses the response body of a prefill and returns the id of
	// its KV handle.
	DecodeHandle func(body []byte) (id string, err error)
	// EncodeFree returns the request that frees a KV handle.
	EncodeFree func(handle KVHandle) exchanger.Request
	// IsNotRun reports whether a response states that the request was not executed
	// and will not be.
	IsNotRun func(status int, header http.Header) bool
	// IsMisdirected reports whether a response comes from a different upstream
	// than the one that was addressed.
	IsMisdirected func(status int, header http.Header) bool
	// DecodeSignal returns what a response says about its upstream.
	DecodeSignal func(status int, header http.Header) abstainer.Signal
}

// Proxier proxies pass-through requests to upstreams.
type Proxier struct {
	Version       func() *reducer.Version
	Router        func() *router.Router
	Registrar     *registrar.Registrar
	Abstainer     *abstainer.Abstainer
	Evacuator     *evacuator.Evacuator
	Coldstarter   *coldstarter.Coldstarter
	Confiner      *confiner.Confiner
	Authenticator *authenticator.Authenticator
	// ReserveTokens reserves tokens of a workspace's limit.
	ReserveTokens func(ctx context.Context, workspace parser.Workspace, tokens identifier.Tokens) (*reserver.Claim, *refuser.Refusal)
	RetryBudget   *budgeter.Budgeter
	Ejector       *ejector.Ejector
	Placements    PlacementClient
	// Admissions acquires servers of plain services. It may be nil.
	Admissions *requester.Requester
	Exchanger  *exchanger.Exchanger
	Drainer    *drainer.Drainer
	Protocol   Protocol
	// Memory bounds the bytes that are buffered for all requests together.
	Memory *rationer.Rationer

	// ConfigAge returns the age of the configuration, negative if unknown.
	ConfigAge func() time.Duration
	// IsStoreDown reports whether the last read of the configuration failed.
	IsStoreDown func() bool

	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter
}

// PlacementClient requests engine pairs from the daemon that places them and reports
// their use. The broker implements it.
type PlacementClient struct {
	Place  func(ctx context.Context, service identifier.ServiceName, req placer.Request) (placer.Grant, *refuser.Refusal)
	Report func(service identifier.ServiceName, report placer.Report)
	// NextKey returns a new key for a placement.
	NextKey func() placer.Key
}

// requestState is the state of a request in progress.
type requestState struct {
	req       *Request
	route     parser.Route
	service   parser.Service
	workspace parser.Workspace
	// homes are the regions in which the request may be served.
	homes    confiner.Homes
	deadline time.Time
	w        *responseWriter
	// mayHaveRun is set once an upstream may have executed the request.
	mayHaveRun bool
	// hops counts the sends to upstreams, and upstream is the upstream of the latest
	// one. Both are logged.
	hops     int
	upstream identifier.UpstreamName
}

// Serve handles one request and writes the response to w. The context must end
// when the caller disconnects. Serve returns a refusal if it wrote nothing, and an
// error that wraps ErrResponseTruncated if it started a response and could not
// finish it.
func (p *Proxier) Serve(ctx context.Context, req *Request, w http.ResponseWriter) (refusal *refuser.Refusal, err error) {
	p.Meter.ObserveDuration(meter.TimingConfigAge, max(0, p.ConfigAge()))
	rs, refusal := p.resolve(ctx, req)
	if refusal != nil {
		p.logRefused(req, nil, refusal)
		return refusal, nil
	}
	refusal = p.checkShutdown(ctx, rs)
	if refusal != nil {
		p.logRefused(req, rs, refusal)
		return refusal, nil
	}
	rs.w = newResponseWriter(w)
	waitStart := p.Clock.Now()
	claim, refusal := p.reserveTokens(ctx, rs)
	p.Meter.ObserveDuration(meter.TimingTokenWait, p.Clock.Since(waitStart))
	if refusal != nil {
		p.logRefused(req, rs, refusal)
		return refusal, nil
	}
	deadlineCtx, cancel := context.WithDeadline(ctx, rs.deadline)
	defer cancel()
	deadlineCtx, stop := p.Drainer.WithEnd(deadlineCtx)
	defer stop()
	p.RetryBudget.CountRequest(rs.service.Name)
	if rs.route.Kind == parser.RouteStream && rs.service.Engine != nil {
		refusal, err = p.serveStream(deadlineCtx, rs)
	} else {
		refusal, err = p.servePlain(deadlineCtx, rs)
	}
	if !rs.mayHaveRun {
		claim.Refund()
	}
	switch {
	case refusal != nil:
		p.logRefused(req, rs, refusal)
	case err != nil:
		p.Meter.CountRefusal(refuser.StreamTruncated)
		p.Log.Info("Cut.", "id", req.ID, "route", rs.route.Name, "upstream", rs.upstream, "hops", rs.hops, "ms", p.millisSince(req.Arrived), "shutting-down", p.isDraining(), "err", err)
	default:
		p.Meter.CountEvent(meter.EventResponse)
		p.Meter.ObserveDuration(meter.TimingResponse, p.Clock.Since(req.Arrived))
		p.Log.Log(ctx, logger.Success, "Answered.", "id", req.ID, "route", rs.route.Name, "workspace", rs.workspace.Name, "tokens", tokenCost(rs.req, rs.workspace), "status", rs.w.status, "upstream", rs.upstream, "hops", rs.hops, "ms", p.millisSince(req.Arrived))
	}
	return refusal, err
}

// ErrResponseTruncated means that a response was started and could not be finished.
var ErrResponseTruncated = errors.New("the response was truncated")

// resolve finds the route, the service and the workspace of a request.
func (p *Proxier) resolve(ctx context.Context, req *Request) (*requestState, *refuser.Refusal) {
	version := p.Version()
	if version.Number == identifier.NoOffset {
		return nil, p.notReadyRefusal()
	}
	refusal := p.checkEvacuations()
	if refusal != nil {
		return nil, refusal
	}
	route, ok := p.Router().Find(req.Host, req.Path)
	if !ok {
		return nil, refuser.New(http.StatusNotFound, refuser.UnknownRoute, "no route has the host %s and the path %s", req.Host, req.Path)
	}
	rs := &requestState{req: req, route: route, deadline: requestDeadline(req, route)}
	rs.service = version.Services[router.PickService(route)]
	if !route.AllowAnonymous && len(version.Workspaces) > 0 {
		caller, refusal := p.Authenticator.Authenticate(ctx, req.Credentials)
		if refusal != nil {
			return nil, refusal
		}
		rs.workspace = caller.Workspace
	}
	rs.homes = confiner.HomesOf(route, rs.workspace)
	return rs, nil
}

// notReadyRefusal is the refusal while no configuration is known. A read takes some
// milliseconds, unless the store is down.
func (p *Proxier) notReadyRefusal() *refuser.Refusal {
	if p.IsStoreDown() {
		return refuser.New(http.StatusServiceUnavailable, refuser.NotReady, "no configuration is known yet, and the store is out of reach").WithRetryAfter(outageRetryAfter)
	}
	return refuser.New(http.StatusServiceUnavailable, refuser.NotReady, "no configuration is known yet").WithRetryAfter(shortRetryAfter)
}

// requestDeadline returns the time by which the final response must be sent.
func requestDeadline(req *Request, route parser.Route) time.Time {
	timeout := defaultTimeout
	if req.Timeout > 0 {
		timeout = min(timeout, req.Timeout)
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return req.Arrived.Add(timeout - responseMargin)
}

// reserveTokens reserves the request's tokens of its workspace's limit. It returns a
// nil claim, which needs no refund, if the workspace has no limit.
func (p *Proxier) reserveTokens(ctx context.Context, rs *requestState) (*reserver.Claim, *refuser.Refusal) {
	if !rs.workspace.IsLimited() {
		return nil, nil
	}
	return p.ReserveTokens(ctx, rs.workspace, tokenCost(rs.req, rs.workspace))
}

// tokenCost returns how many tokens of its workspace's limit a request reserves.
func tokenCost(req *Request, workspace parser.Workspace) identifier.Tokens {
	if req.Tokens == nil {
		return workspace.CallTokens
	}
	return req.Tokens.PromptTokens + req.Tokens.MaxOutput
}

// newUpstreamRequest returns the request to send for a hop. It sets the hop's
// workspace, and its timeout to the time left until the request's deadline.
func (p *Proxier) newUpstreamRequest(rs *requestState, hop Hop) exchanger.Request {
	hop.Workspace = rs.workspace.Name
	hop.Timeout = rs.deadline.Sub(p.Clock.Now())
	return exchanger.Request{
		Method: rs.req.Method,
		Target: rs.req.Target,
		Host:   rs.req.Host,
		Header: p.Protocol.Encode(rs.req, hop),
		Body:   rs.req.Body,
	}
}

// noResponseRefusal returns the refusal for a request without a response to relay.
// The refusal states that the request was not executed only if that is certain. The
// code and the reason are used unless the context has ended.
func (p *Proxier) noResponseRefusal(ctx context.Context, rs *requestState, code refuser.Code, reason string) *refuser.Refusal {
	isEnding := errors.Is(context.Cause(ctx), drainer.ErrEnding)
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded) || isEnding
	switch {
	case isEnding && !rs.mayHaveRun:
		return refuser.New(http.StatusServiceUnavailable, refuser.ShuttingDown, "this VM shuts down").WithRetryAfter(elsewhereRetryAfter)
	case ctx.Err() != nil && !timedOut:
		return refuser.NewIndeterminate(http.StatusBadGateway, refuser.CallerGone, "the caller disconnected")
	case !rs.mayHaveRun && timedOut:
		return refuser.New(http.StatusServiceUnavailable, refuser.DeadlineExceeded, "no upstream was free in time").WithRetryAfter(retryAfter)
	case !rs.mayHaveRun:
		return refuser.New(http.StatusServiceUnavailable, code, "%s", reason).WithRetryAfter(shortRetryAfter)
	case timedOut:
		return refuser.NewIndeterminate(http.StatusGatewayTimeout, refuser.DeadlineExceeded, "the upstream did not answer in time")
	}
	return refuser.NewIndeterminate(http.StatusBadGateway, code, "%s", reason)
}

// RefuseForMemory returns the refusal for a request for whose body no memory is left.
func (p *Proxier) RefuseForMemory(req *Request) *refuser.Refusal {
	refusal := refuser.New(http.StatusServiceUnavailable, refuser.MemoryExhausted, "this VM buffers too many bytes for other requests").WithRetryAfter(shortRetryAfter)
	p.logRefused(req, nil, refusal)
	return refusal
}

func (p *Proxier) logRefused(req *Request, rs *requestState, refusal *refuser.Refusal) {
	p.Meter.CountRefusal(refusal.Code)
	attrs := []any{
		"id", req.ID, "code", refusal.Code, "status", refusal.Status, "not-run", refusal.NotRun,
		"version", p.Version().Number, "ms", p.millisSince(req.Arrived), "reason", refusal.Message,
	}
	if rs != nil {
		attrs = append(attrs, "route", rs.route.Name, "workspace", rs.workspace.Name, "tokens", tokenCost(req, rs.workspace), "upstream", rs.upstream, "hops", rs.hops)
	}
	p.Log.Info("Refused.", attrs...)
}

func (p *Proxier) isDraining() bool {
	_, draining := p.Drainer.Shutdown()
	return draining
}

// checkShutdown refuses a request that may outlast a graceful shutdown of this daemon.
// It logs one that is accepted meanwhile, with the time until requests are cut and the
// time until the request's own deadline.
func (p *Proxier) checkShutdown(ctx context.Context, rs *requestState) *refuser.Refusal {
	shutdown, draining := p.Drainer.Shutdown()
	if !draining {
		return nil
	}
	now := p.Clock.Now()
	if !shutdown.Accepts(now, rs.deadline) {
		return refuser.New(http.StatusServiceUnavailable, refuser.ShuttingDown, "this VM shuts down in %d ms, and the request may take %d ms",
			shutdown.Deadline.Sub(now).Milliseconds(), rs.deadline.Sub(now).Milliseconds()).WithRetryAfter(elsewhereRetryAfter)
	}
	p.Log.Log(ctx, logger.Success, "Accepted during the shutdown.", "id", rs.req.ID, "route", rs.route.Name, "reused-connection", rs.req.OnReusedConnection,
		"since-ms", now.Sub(shutdown.Began).Milliseconds(), "left-ms", shutdown.Deadline.Sub(now).Milliseconds(), "deadline-ms", rs.deadline.Sub(now).Milliseconds())
	return nil
}

func (p *Proxier) millisSince(at time.Time) int64 {
	return p.Clock.Since(at).Milliseconds()
}
