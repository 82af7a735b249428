package listener

import (
	"context"
	"io"
	"net/http"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/forwarder"
	"sassafraspass.dev/sassafraspass/version/parser"
	"sassafraspass.dev/sassafraspass/version/reducer"
)

// servePlain forwards a call to the plain service that its path belongs to.
func (l *Listener) servePlain(w http.ResponseWriter, r *http.Request) *refuser.Refusal {
	service, ok := l.Version().ServiceForPath(r.URL.Path)
	if !ok {
		return refuser.New(http.StatusNotFound, refuser.UnknownRoute, "no service has the path %s", r.URL.Path)
	}
	if service.Profile.Access == parser.AccessAnonymous {
		return l.serveAnonymous(w, r, service)
	}
	auth, refusal := l.authenticate(r)
	if refusal != nil {
		return refusal
	}
	defer auth.untrack()
	body, refusal := readBody(w, r)
	if refusal != nil {
		return refusal
	}
	return l.forwardWithinLimit(auth, w, r, service, body)
}

// forwardWithinLimit reserves the call's tokens in the limit of its workspace and
// forwards the call. It releases the tokens if the call did not run.
func (l *Listener) forwardWithinLimit(auth authenticatedRequest, w http.ResponseWriter, r *http.Request, service reducer.ServiceWithProfile, body []byte) *refuser.Refusal {
	ctx, cancel := context.WithTimeout(auth.ctx, service.Profile.Timeout)
	defer cancel()
	workspace := auth.caller.Workspace.Name
	tokens := service.Profile.CallTokens
	if tokens == 0 {
		return l.forward(ctx, w, r, service, workspace, body)
	}
	deadline := l.Clock.Now().Add(service.Profile.Timeout)
	reservation, refusal := l.reserve(auth.ctx, workspace, tokens, deadline)
	if refusal != nil {
		return refusal
	}
	refusal = l.forward(ctx, w, r, service, workspace, body)
	used := tokens
	if refusal != nil && refusal.NotRun {
		used = 0
	}
	l.Limiter.Release(reservation, used)
	return refusal
}

// serveAnonymous forwards a call of a service that needs no key, within a limit of
// concurrent calls.
func (l *Listener) serveAnonymous(w http.ResponseWriter, r *http.Request, service reducer.ServiceWithProfile) *refuser.Refusal {
	select {
	case l.anonymousCallSlots <- struct{}{}:
	default:
		return refuser.New(http.StatusServiceUnavailable, refuser.ConcurrencyLimitReached, "too many open calls at once").WithRetryAfter(retryAfter)
	}
	defer func() { <-l.anonymousCallSlots }()
	ctx, cancel := context.WithTimeout(r.Context(), service.Profile.Timeout)
	defer cancel()
	body, refusal := readBody(w, r)
	if refusal != nil {
		return refusal
	}
	return l.forward(ctx, w, r, service, "", body)
}

// forward forwards a call to a service and writes the response.
func (l *Listener) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, service reducer.ServiceWithProfile, workspace identifier.WorkspaceName, body []byte) *refuser.Refusal {
	call := dispatcher.Call{
		Method:    r.Method,
		Path:      r.URL.EscapedPath(),
		Query:     r.URL.RawQuery,
		Header:    r.Header,
		Body:      body,
		Workspace: workspace,
	}
	response, done, refusal := l.Forwarder.Forward(ctx, service, call)
	if refusal != nil {
		return refusal
	}
	defer done()
	l.writeResponse(w, response)
	return nil
}

// writeResponse sends a response to the caller. If the remainder of a long response
// cannot be read, it aborts the caller's connection, so that a truncated response
// does not look complete.
func (l *Listener) writeResponse(w http.ResponseWriter, response forwarder.Response) {
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.Status)
	_, err := w.Write(response.Body)
	if err != nil || response.Remainder == nil {
		return
	}
	_, err = io.Copy(w, response.Remainder.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
