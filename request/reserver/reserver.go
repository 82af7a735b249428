// Package reserver reserves tokens of a workspace's rate limit for each request. The
// members of the epoch are ranked for each workspace. The first one, the home, holds
// the workspace's whole limit, because a divided share can be too small for a large
// request. While the home cannot be reached, the next one, its deputy, admits requests
// within the tolerance that the deployment sets for its limits.
package reserver

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/accountant"
	"sassafraspass.dev/sassafraspass/request/limiter"
	"sassafraspass.dev/sassafraspass/version/epochtracker"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	// MaxWait is the longest time that the home lets a request wait for tokens.
	MaxWait = 250 * time.Millisecond
	// callMargin is the time that a call to the home may take in addition to the
	// request's MaxWait.
	callMargin = 100 * time.Millisecond
	// unreachableBackoff is how long no request is sent to a daemon that did not
	// respond.
	unreachableBackoff = 700 * time.Millisecond
	// refundLifetime is how long a daemon accepts a refund of tokens that it granted.
	refundLifetime = 15 * time.Second
	// A request of at most maxPrefetchableTokens is small. One call to the home
	// reserves tokens for prefetchedRequests small requests; the tokens that are left
	// may be used within prefetchLifetime.
	prefetchedRequests    = 5
	maxPrefetchableTokens = 500
	prefetchLifetime      = 5 * time.Second
	// largeRequestFraction is the fraction of a tolerance that large requests may use,
	// so that some is left for many small ones.
	largeRequestFraction = 0.7
	// maxPrefetchWait replaces MaxWait for small requests, whose latency objectives
	// are short.
	maxPrefetchWait = 30 * time.Millisecond
	// refundTimeout bounds a call that refunds tokens.
	refundTimeout = time.Second
)

// Key identifies a request for tokens by the daemon that sent it and a number that
// the requester chose.
type Key struct {
	Requester identifier.Incarnation
	Number    int64
}

// Request asks a daemon for tokens of a workspace's limit.
type Request struct {
	Key       Key
	Workspace identifier.WorkspaceName
	Tokens    identifier.Tokens
	// MaxWait is the longest time that the request may wait for tokens.
	MaxWait time.Duration
	// AsDeputy tells the receiver to act as deputy, because no daemon that ranks
	// before it gave an authoritative response.
	AsDeputy bool
}

// Response is a daemon's response to a Request.
type Response struct {
	Granted bool
	// IsAuthoritative is false if the daemon neither holds the limit nor acts as
	// deputy. The request is then sent to the next daemon in the ranking.
	IsAuthoritative bool
	// Reason and RetryAfter describe the refusal if Granted is false.
	Reason     string
	RetryAfter time.Duration
}

// Reserver reserves tokens for this daemon's requests, and serves the requests for
// tokens of other daemons if this daemon is the home or the deputy of the workspace.
type Reserver struct {
	Self    identifier.Incarnation
	Limiter *limiter.Limiter
	// Accountant, if set, admits the requests of the limits that this daemon holds, in
	// place of Limiter.
	Accountant *accountant.Accountant
	// PrefetchTolerance returns the tokens that may be reserved in advance.
	PrefetchTolerance func(workspace parser.Workspace) identifier.Tokens
	// RankedMembers returns the members of the epoch by their rank for a workspace, its
	// home first.
	RankedMembers func(workspace identifier.WorkspaceName) []epochtracker.Member
	// Send sends a request to a home or a deputy. SendRefunds refunds the tokens of the
	// requester's earlier requests with the given numbers.
	Send        func(ctx context.Context, address identifier.Address, req Request) (Response, error)
	SendRefunds func(ctx context.Context, address identifier.Address, requester identifier.Incarnation, numbers []int64) error
	// Tolerance returns the tokens that a deputy may admit beyond a workspace's
	// limit in each ToleranceWindow.
	Tolerance       func(workspace parser.Workspace) identifier.Tokens
	ToleranceWindow time.Duration
	// IsolatedTolerance returns the tokens that a daemon may admit for small requests
	// in each ToleranceWindow while it reaches neither the home nor a deputy.
	IsolatedTolerance func(workspace parser.Workspace) identifier.Tokens
	// IsSilent reports whether a daemon missed its latest heartbeats. FindWorkspace
	// returns a workspace of the configuration, or false if the name is unknown.
	IsSilent      func(incarnation identifier.Incarnation) bool
	FindWorkspace func(name identifier.WorkspaceName) (parser.Workspace, bool)

	Clock clockwork.Clock
	Log   *slog.Logger

	mu           sync.Mutex
	lastNumber   int64
	backoffUntil map[identifier.Address]time.Time
	prefetched   map[identifier.WorkspaceName]prefetch
	reservations map[Key]heldReservation
	// deputyWindows holds the admissions within Tolerance, and isolatedWindows those
	// within IsolatedTolerance.
	deputyWindows   map[identifier.WorkspaceName]*slidingWindow
	isolatedWindows map[identifier.WorkspaceName]*slidingWindow
}

// prefetch holds tokens that were reserved in advance for small requests.
type prefetch struct {
	tokens    identifier.Tokens
	expiresAt time.Time
}

// heldReservation is a reservation that may still be refunded.
type heldReservation struct {
	reservation *limiter.Reservation
	tokens      identifier.Tokens
	expiresAt   time.Time
}

// slidingWindow holds the recent admissions within a tolerance.
type slidingWindow struct {
	admissions []admission
}

// admission is one admitted request.
type admission struct {
	at     time.Time
	tokens identifier.Tokens
}

// New returns a reserver that holds no tokens. The caller sets its exported fields.
func New() *Reserver {
	return &Reserver{
		backoffUntil:    make(map[identifier.Address]time.Time),
		prefetched:      make(map[identifier.WorkspaceName]prefetch),
		reservations:    make(map[Key]heldReservation),
		deputyWindows:   make(map[identifier.WorkspaceName]*slidingWindow),
		isolatedWindows: make(map[identifier.WorkspaceName]*slidingWindow),
		IsSilent:        func(identifier.Incarnation) bool { return false },

		PrefetchTolerance: func(parser.Workspace) identifier.Tokens { return prefetchedRequests * maxPrefetchableTokens },
	}
}

// Claim holds what is needed to refund the tokens reserved for one request.
type Claim struct {
	reserver *Reserver
	// home is the daemon that granted the tokens, be it the home or a deputy. It is
	// empty for this daemon.
	home identifier.Address
	// number is zero if the tokens cannot be refunded.
	number int64
}

// Refund refunds the tokens of a request that did not run. A nil claim has no tokens.
// The call to the home does not use the request's context, which may have ended.
func (c *Claim) Refund() {
	if c == nil || c.number == 0 {
		return
	}
	if c.home == "" {
		c.reserver.AcceptRefunds(c.reserver.Self, []int64{c.number})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), refundTimeout)
		defer cancel()
		err := c.reserver.SendRefunds(ctx, c.home, c.reserver.Self, []int64{c.number})
		if err != nil {
			c.reserver.Log.Debug("Tokens could not be refunded.", "home", c.home, "err", err)
		}
	}()
}

// Reserve reserves tokens for a request, or refuses it: with OverLimit if the home or
// the deputy refuses, and with NotCurrent if no daemon may admit it.
func (r *Reserver) Reserve(ctx context.Context, workspace parser.Workspace, tokens identifier.Tokens) (*Claim, *refuser.Refusal) {
	isSmall := tokens <= maxPrefetchableTokens
	if isSmall && r.takePrefetched(workspace.Name, tokens) {
		return &Claim{reserver: r}, nil
	}
	requested := tokens
	if isSmall {
		requested = min(prefetchedRequests*tokens, tokens+r.PrefetchTolerance(workspace))
	}
	req := Request{Key: r.nextKey(), Workspace: workspace.Name, Tokens: requested, MaxWait: MaxWait}
	if isSmall {
		req.MaxWait = maxPrefetchWait
	}
	resp, home := r.requestTokens(ctx, req)
	if !resp.Granted && requested > tokens && resp.IsAuthoritative {
		req.Tokens = tokens
		resp, home = r.requestTokens(ctx, req)
	}
	if !resp.IsAuthoritative {
		return nil, refuser.New(http.StatusServiceUnavailable, refuser.NotCurrent, "%s", resp.Reason).WithRetryAfter(resp.RetryAfter)
	}
	if !resp.Granted {
		return nil, refuser.New(http.StatusTooManyRequests, refuser.OverLimit, "%s", resp.Reason).WithRetryAfter(resp.RetryAfter)
	}
	if isSmall {
		r.storePrefetched(workspace.Name, req.Tokens-tokens)
		return &Claim{reserver: r}, nil
	}
	return &Claim{reserver: r, home: home, number: req.Key.Number}, nil
}

// nextKey returns a new key for a request of this daemon.
func (r *Reserver) nextKey() Key {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastNumber++
	return Key{Requester: r.Self, Number: r.lastNumber}
}

// requestTokens requests tokens from the home and, until a daemon gives an
// authoritative response, from the next daemons in the ranking as deputies. If none
// does, this daemon admits a small request within IsolatedTolerance.
func (r *Reserver) requestTokens(ctx context.Context, req Request) (resp Response, home identifier.Address) {
	for i, member := range r.RankedMembers(req.Workspace) {
		req.AsDeputy = i > 0
		if member.Incarnation == r.Self {
			resp = r.Serve(ctx, req)
			home = ""
		} else if !r.IsSilent(member.Incarnation) {
			resp = r.requestFromPeer(ctx, member.PeerAddress, req)
			home = member.PeerAddress
		}
		if resp.IsAuthoritative || ctx.Err() != nil {
			return resp, home
		}
	}
	if req.Tokens <= prefetchedRequests*maxPrefetchableTokens {
		resp = r.admitWithinTolerance(req, r.isolatedWindows, r.IsolatedTolerance)
	}
	if resp.IsAuthoritative {
		return resp, ""
	}
	return Response{Reason: "no daemon holds the limit of workspace " + string(req.Workspace), RetryAfter: time.Second}, ""
}

// requestFromPeer sends a request to another daemon. It returns the zero Response
// during that daemon's backoff, and if the call fails, which starts the backoff.
func (r *Reserver) requestFromPeer(ctx context.Context, address identifier.Address, req Request) Response {
	if r.isBackingOff(address) {
		return Response{}
	}
	callCtx, cancel := context.WithTimeout(ctx, req.MaxWait+callMargin)
	defer cancel()
	resp, err := r.Send(callCtx, address, req)
	if err == nil {
		return resp
	}
	if ctx.Err() == nil {
		r.backOff(address)
		r.Log.Info("The home of a workspace did not respond.", "workspace", req.Workspace, "home", address, "err", err)
	}
	return Response{}
}

func (r *Reserver) isBackingOff(address identifier.Address) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Clock.Now().Before(r.backoffUntil[address])
}

func (r *Reserver) backOff(address identifier.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffUntil[address] = r.Clock.Now().Add(unreachableBackoff)
}

// takePrefetched deducts tokens from those reserved in advance. It reports whether
// enough were left.
func (r *Reserver) takePrefetched(workspace identifier.WorkspaceName, tokens identifier.Tokens) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	prefetched := r.prefetched[workspace]
	if prefetched.tokens < tokens || r.Clock.Now().After(prefetched.expiresAt) {
		return false
	}
	prefetched.tokens -= tokens
	r.prefetched[workspace] = prefetched
	return true
}

// storePrefetched replaces a workspace's tokens reserved in advance.
func (r *Reserver) storePrefetched(workspace identifier.WorkspaceName, tokens identifier.Tokens) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefetched[workspace] = prefetch{tokens: tokens, expiresAt: r.Clock.Now().Add(prefetchLifetime)}
}

// Serve handles a request for tokens at this daemon, as home or as deputy.
func (r *Reserver) Serve(ctx context.Context, req Request) Response {
	if r.Accountant != nil {
		return r.serveFromAccount(ctx, req)
	}
	if !r.Limiter.HoldsWholeLimit(req.Workspace) {
		if req.AsDeputy {
			return r.admitWithinTolerance(req, r.deputyWindows, r.Tolerance)
		}
		return Response{}
	}
	waitCtx, cancel := context.WithTimeout(ctx, min(req.MaxWait, MaxWait))
	defer cancel()
	reservation, refusal := r.Limiter.Reserve(waitCtx, req.Workspace, req.Tokens)
	if refusal != nil {
		return Response{IsAuthoritative: true, Reason: refusal.Message, RetryAfter: refusal.RetryAfter}
	}
	r.keepReservation(req, reservation)
	return Response{Granted: true, IsAuthoritative: true}
}

// serveFromAccount handles a request for tokens at this daemon by the account of the
// workspace. If it does not keep the account, it admits within its tolerance.
func (r *Reserver) serveFromAccount(ctx context.Context, req Request) Response {
	decision := r.Accountant.Admit(ctx, accountant.Key(req.Key), req.Workspace, req.Tokens, min(req.MaxWait, MaxWait))
	switch decision.Outcome {
	case accountant.Granted:
		return Response{Granted: true, IsAuthoritative: true}
	case accountant.Refused:
		return Response{IsAuthoritative: true, Reason: "workspace " + string(req.Workspace) + " is over its limit: the window has no room for " + strconv.FormatInt(int64(req.Tokens), 10) + " tokens", RetryAfter: decision.RetryAfter}
	}
	resp := r.admitWithinTolerance(req, r.deputyWindows, r.Tolerance)
	if req.AsDeputy || resp.Granted {
		return resp
	}
	return Response{}
}

// admitWithinTolerance admits a request within a tolerance, because the home cannot
// be reached. The tolerance bounds the tokens of all requests admitted in this way
// within the last ToleranceWindow.
func (r *Reserver) admitWithinTolerance(req Request, windows map[identifier.WorkspaceName]*slidingWindow, tolerance func(parser.Workspace) identifier.Tokens) Response {
	workspace, ok := r.FindWorkspace(req.Workspace)
	if !ok {
		return Response{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	window, ok := windows[req.Workspace]
	if !ok {
		window = &slidingWindow{}
		windows[req.Workspace] = window
	}
	now := r.Clock.Now()
	allowed := tolerance(workspace)
	if req.Tokens > prefetchedRequests*maxPrefetchableTokens {
		allowed = identifier.Tokens(largeRequestFraction * float64(allowed))
	}
	if window.sumSince(now.Add(-r.ToleranceWindow))+req.Tokens > allowed {
		return Response{IsAuthoritative: true, Reason: "the home of workspace " + string(req.Workspace) + " cannot be reached, and the tolerance is spent", RetryAfter: time.Second}
	}
	window.admissions = append(window.admissions, admission{at: now, tokens: req.Tokens})
	return Response{Granted: true, IsAuthoritative: true}
}

// TakeTolerance takes what is left of this daemon's tolerance as deputy, because it
// becomes the home of a workspace and adds it to the limit.
func (r *Reserver) TakeTolerance(name identifier.WorkspaceName) identifier.Tokens {
	workspace, ok := r.FindWorkspace(name)
	if !ok {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	window, ok := r.deputyWindows[name]
	if !ok {
		window = &slidingWindow{}
		r.deputyWindows[name] = window
	}
	now := r.Clock.Now()
	left := max(0, r.Tolerance(workspace)-window.sumSince(now.Add(-r.ToleranceWindow)))
	window.admissions = append(window.admissions, admission{at: now, tokens: left})
	return left
}

// sumSince drops the admissions before a time and sums the tokens of the others.
func (w *slidingWindow) sumSince(since time.Time) (sum identifier.Tokens) {
	for len(w.admissions) > 0 && w.admissions[0].at.Before(since) {
		w.admissions = w.admissions[1:]
	}
	for _, a := range w.admissions {
		sum += a.tokens
	}
	return sum
}

// keepReservation keeps a reservation for as long as it can be refunded, and releases
// expired ones as fully used.
func (r *Reserver) keepReservation(req Request, reservation *limiter.Reservation) {
	r.mu.Lock()
	now := r.Clock.Now()
	var expired []heldReservation
	for key, held := range r.reservations {
		if now.After(held.expiresAt) {
			expired = append(expired, held)
			delete(r.reservations, key)
		}
	}
	r.reservations[req.Key] = heldReservation{reservation: reservation, tokens: req.Tokens, expiresAt: now.Add(refundLifetime)}
	r.mu.Unlock()
	for _, held := range expired {
		r.Limiter.Release(held.reservation, held.tokens)
	}
}

// AcceptRefunds releases the tokens of a requester's requests that did not run.
// Unknown and expired numbers are ignored.
func (r *Reserver) AcceptRefunds(requester identifier.Incarnation, numbers []int64) {
	for _, number := range numbers {
		key := Key{Requester: requester, Number: number}
		if r.Accountant != nil {
			r.Accountant.Refund(accountant.Key(key))
		}
		r.mu.Lock()
		held, ok := r.reservations[key]
		delete(r.reservations, key)
		r.mu.Unlock()
		if ok {
			r.Limiter.Release(held.reservation, 0)
		}
	}
}
