// Package forwarder sends calls to the servers of plain services. An idempotent
// call is retried on several servers. A non-idempotent call reaches at most one
// server, and its refusal reports "not run" only if no byte of the call can have
// left this daemon. It uses the servers that the configuration lists; package proxier
// sends requests to those that register themselves on a platform.
package forwarder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/asserter"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/deduplicator"
	"sassafraspass.dev/sassafraspass/request/picker"
	"sassafraspass.dev/sassafraspass/request/streamer"
	"sassafraspass.dev/sassafraspass/version/parser"
	"sassafraspass.dev/sassafraspass/version/reducer"
)

const (
	// HeaderIdempotencyKey carries the caller's idempotency key for a
	// non-idempotent call.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderIdempotencyReplayed marks a stored response that is replayed for a
	// repeated call with the same key.
	HeaderIdempotencyReplayed = "Idempotency-Replayed"

	// maxAttempts is the largest number of attempts to send one call.
	maxAttempts = 3
	// maxBufferedBytes is the size up to which a response body is read whole
	// before it is passed on. Longer bodies are streamed.
	maxBufferedBytes = 1 << 20
	retryAfter       = time.Second
)

// Response is a server's response to a call.
type Response struct {
	Status int
	Header http.Header
	// Body holds the whole body, or the first part of one that is longer than
	// 1 MiB.
	Body []byte
	// Remainder streams the bytes that follow Body; nil if Body is the whole
	// body.
	Remainder *http.Response
}

// Forwarder sends calls to the servers of plain services.
type Forwarder struct {
	// SendIdempotent sends an idempotent call, SendNonIdempotent a non-idempotent
	// one. Both return errors of type *dispatcher.SendError.
	SendIdempotent    Sender
	SendNonIdempotent Sender
	Picker            *picker.Picker
	Deduplicator      *deduplicator.Deduplicator
	// RetryBudget limits the retries of idempotent calls.
	RetryBudget *streamer.RetryBudget
	Log         *slog.Logger
	Meter       *meter.Meter
	Assert      *asserter.Asserter
}

// Forward sends a call to a server of its route's service, or replays the stored
// response of an earlier call with the same idempotency key. The context must end
// when the caller disconnects or the call's deadline passes. If refusal is nil, done
// must be called once the response has been consumed.
func (f *Forwarder) Forward(ctx context.Context, route reducer.ServiceWithProfile, call dispatcher.Call) (response Response, done func(), refusal *refuser.Refusal) {
	f.Assert.That(!hasCredentials(dispatcher.UpstreamHeader(call.Header)), asserter.NoKeyUpstream)
	upstreams := f.Picker.Order(route.Service.Upstreams)
	if len(upstreams) == 0 {
		return response, nil, refuser.New(http.StatusServiceUnavailable, refuser.NoUpstream, "service %s has no server now", route.Service.Name).WithRetryAfter(retryAfter)
	}
	key := deduplicator.Key(call.Header.Get(HeaderIdempotencyKey))
	switch {
	case route.Profile.Idempotency == parser.Idempotent:
		return f.forwardIdempotent(ctx, upstreams, call)
	case key != "":
		return f.forwardWithKey(ctx, upstreams, call, key)
	}
	response, done, refusal = f.forwardNonIdempotent(ctx, upstreams, call)
	return response, done, refusal
}

// hasCredentials reports whether a header carries an API key.
func hasCredentials(header http.Header) bool {
	return header.Get("Authorization") != "" || header.Get("X-Api-Key") != ""
}

// forwardIdempotent sends a call to one server after the other until one gives
// a final response, within maxAttempts and the retry budget.
func (f *Forwarder) forwardIdempotent(ctx context.Context, upstreams []parser.Upstream, call dispatcher.Call) (response Response, done func(), refusal *refuser.Refusal) {
	mayHaveRun := false
	for attempt := range maxAttempts {
		upstream := upstreams[attempt%len(upstreams)]
		response, done, err := f.exchange(ctx, upstream, call, f.SendIdempotent)
		isLast := attempt == maxAttempts-1 || ctx.Err() != nil
		if err == nil && (!isRetryable(response.Status) || isLast) {
			f.RetryBudget.Deposit()
			return response, done, nil
		}
		if err == nil {
			done()
		}
		mayHaveRun = mayHaveRun || err == nil || maybeSent(err)
		reason := f.recordFailure(ctx, upstream, err)
		if isLast {
			break
		}
		if !f.RetryBudget.Take() {
			f.Meter.CountRetry(meter.RetryBudgetSpent)
			break
		}
		f.Meter.CountRetry(reason)
	}
	return Response{}, nil, failureRefusal(ctx, mayHaveRun)
}

// isRetryable reports whether a status says that another server may succeed.
func isRetryable(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// recordFailure returns the reason for a retry. If sending failed, it also marks
// the server as failed, unless the context ended: then the server is not known to
// be at fault.
func (f *Forwarder) recordFailure(ctx context.Context, upstream parser.Upstream, err error) meter.RetryReason {
	if err == nil {
		return meter.RetryErrorStatus
	}
	if ctx.Err() == nil {
		f.Picker.MarkFailed(upstream.Name)
		f.Log.Warn("A server failed.", "server", upstream.Name, "err", err)
	}
	return meter.RetryConnect
}

// forwardWithKey sends a non-idempotent call that carries an idempotency key. The
// call is sent only if the log shows that no earlier attempt with the key may have
// been sent. Its outcome is recorded, so that repeats of the call get the same
// response.
func (f *Forwarder) forwardWithKey(ctx context.Context, upstreams []parser.Upstream, call dispatcher.Call, key deduplicator.Key) (response Response, done func(), refusal *refuser.Refusal) {
	decision := f.Deduplicator.Begin(ctx, call.Workspace, key, fingerprint(call))
	switch {
	case decision.Refusal != nil:
		return response, nil, decision.Refusal
	case decision.Response != nil:
		return replay(decision.Response)
	}
	permit := decision.Permit
	response, done, refusal = f.forwardNonIdempotent(ctx, upstreams, call)
	switch {
	case refusal == nil:
		permit.Complete(deduplicator.Response{
			Status:      response.Status,
			ContentType: response.Header.Get("Content-Type"),
			Body:        response.Body,
			BodyStored:  response.Remainder == nil,
		})
	case refusal.NotRun:
		permit.Abandon()
	default:
		permit.MarkUnknown()
	}
	return response, done, refusal
}

// replay returns the stored response of an earlier call with the same key.
func replay(stored *deduplicator.Response) (response Response, done func(), refusal *refuser.Refusal) {
	if !stored.BodyStored {
		return response, nil, refuser.NewIndeterminate(http.StatusConflict, refuser.EarlierResponseNotKept, "an earlier call with this key ended with status %d; its answer is not kept", stored.Status)
	}
	header := http.Header{}
	header.Set("Content-Type", stored.ContentType)
	header.Set(HeaderIdempotencyReplayed, "true")
	return Response{Status: stored.Status, Header: header, Body: stored.Body}, func() {}, nil
}

// forwardNonIdempotent sends a call so that it reaches at most one server. It goes on
// to another server only if no byte of the call can have reached the previous one.
func (f *Forwarder) forwardNonIdempotent(ctx context.Context, upstreams []parser.Upstream, call dispatcher.Call) (response Response, done func(), refusal *refuser.Refusal) {
	possibleSends := 0
	for _, upstream := range upstreams[:min(maxAttempts, len(upstreams))] {
		response, done, err := f.exchange(ctx, upstream, call, f.SendNonIdempotent)
		if err == nil {
			f.RetryBudget.Deposit()
			return response, done, nil
		}
		if maybeSent(err) {
			possibleSends++
		}
		f.Assert.That(possibleSends <= 1, asserter.OneSendPerAttempt, "server", upstream.Name)
		reason := f.recordFailure(ctx, upstream, err)
		if possibleSends > 0 {
			return Response{}, nil, refuser.NewIndeterminate(http.StatusBadGateway, refuser.OutcomeUnknown, "the call was sent, and its outcome is unknown")
		}
		if ctx.Err() != nil {
			break
		}
		f.Meter.CountRetry(reason)
	}
	return Response{}, nil, refuser.New(http.StatusBadGateway, refuser.UpstreamUnreached, "no server could be reached").WithRetryAfter(retryAfter)
}

// maybeSent reports whether a call that failed with err may have reached the
// server. Errors of unknown type count as sent.
func maybeSent(err error) bool {
	var sendErr *dispatcher.SendError
	return !errors.As(err, &sendErr) || sendErr.MaybeSent
}

// Sender sends a call to the server at an address.
type Sender func(ctx context.Context, address identifier.Address, call dispatcher.Call) (*http.Response, error)

// exchange sends a call and reads the response: the whole body, or the first
// part of one that is longer than maxBufferedBytes. If err is nil, the caller
// must call done.
func (f *Forwarder) exchange(ctx context.Context, upstream parser.Upstream, call dispatcher.Call, send Sender) (response Response, done func(), err error) {
	end := f.Picker.Begin(upstream.Name)
	httpResp, err := send(ctx, upstream.Address, call) //nolint:bodyclose // the done function closes it
	if err != nil {
		end()
		return response, nil, err
	}
	body, more, err := dispatcher.ReadLimited(httpResp, maxBufferedBytes)
	if err != nil {
		_ = httpResp.Body.Close()
		end()
		return response, nil, &dispatcher.SendError{MaybeSent: true, Err: err}
	}
	response = Response{Status: httpResp.StatusCode, Header: dispatcher.EndToEndHeader(httpResp.Header), Body: body}
	if more {
		httpResp.Body = &remainder{ReadCloser: httpResp.Body, recordError: func(err error) { f.recordRemainderError(ctx, upstream, err) }}
		response.Remainder = httpResp
	}
	done = func() {
		_ = httpResp.Body.Close()
		end()
	}
	return response, done, nil
}

// recordRemainderError marks a server as failed whose long response could not be read to
// its end, unless the caller disconnected.
func (f *Forwarder) recordRemainderError(ctx context.Context, upstream parser.Upstream, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	f.Picker.MarkFailed(upstream.Name)
	f.Log.Warn("A server's response did not end.", "server", upstream.Name, "err", err)
}

// remainder is the rest of a response body. It passes the error of a read to
// recordError.
type remainder struct {
	io.ReadCloser
	recordError func(err error)
}

// Read reads from the body.
func (r *remainder) Read(p []byte) (n int, err error) {
	n, err = r.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.recordError(err)
	}
	return n, err
}

// failureRefusal returns the refusal of an idempotent call that got no usable
// response. The call may have run if some attempt may have reached a server.
func failureRefusal(ctx context.Context, mayHaveRun bool) *refuser.Refusal {
	refusal := refuser.New(http.StatusBadGateway, refuser.UpstreamUnreached, "no server could be reached").WithRetryAfter(retryAfter)
	var cause *refuser.Refusal
	switch {
	case errors.As(context.Cause(ctx), &cause):
		refusal = cause
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal = refuser.New(http.StatusGatewayTimeout, refuser.DeadlineExceeded, "the service did not answer in time")
	case mayHaveRun:
		refusal = refuser.New(http.StatusBadGateway, refuser.UpstreamFailed, "the service failed").WithRetryAfter(retryAfter)
	}
	if mayHaveRun {
		return refusal.AsIndeterminate()
	}
	return refusal
}

// fingerprint returns the SHA-256, in hex, of a call's method, path, query and
// body. It detects an idempotency key that is reused for another call.
func fingerprint(call dispatcher.Call) string {
	hash := sha256.New()
	for _, part := range []string{call.Method, call.Path, call.Query, string(call.Body)} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return hex.EncodeToString(hash.Sum(nil))
}
