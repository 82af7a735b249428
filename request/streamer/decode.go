package streamer

import (
	"context"
	"errors"
	"sync/atomic"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/connection/messenger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/asserter"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// errCallerDisconnected is returned if the sink reports that the caller disconnected.
var errCallerDisconnected = errors.New("the caller is gone")

// decode transfers the KV cache to the decode engine and passes its tokens to the
// caller. If the transfer fails before the prefill result expires, decode tries it
// once more with another decode engine, unless the first one refused it. If the last
// transfer stalled or was refused, the prefill engine is the likely cause and the
// only engine that the next pair must avoid.
func (r *requestState) decode(ctx context.Context, pair *heldPair, attempt identifier.AttemptID, result prefillResult) *refuser.Refusal {
	prefill := pair.Prefill.Name
	firstDecode := pair.Decode.Name
	err := r.decodeAttempt(ctx, pair, attempt, result)
	var transferErr *transferError
	if errors.As(err, &transferErr) && transferErr.failure != transferRefused {
		r.avoid = append(r.avoid, firstDecode)
		if r.reseat(ctx, pair, result) {
			attempt = identifier.NewAttemptID()
			r.BeginAttempts(ctx, messenger.Attempt{ID: attempt, Upstream: pair.Decode.Name, Address: pair.Decode.Address})
			err = r.decodeAttempt(ctx, pair, attempt, result)
		}
	}
	if err == nil {
		r.EndAttempt(attempt)
		return nil
	}
	if errors.As(err, &transferErr) && transferErr.failure != transferUnreached {
		r.avoid = []identifier.UpstreamName{prefill}
	}
	if len(r.output) == 0 {
		r.Meter.CountEvent(meter.EventWastedPrefill)
	}
	return upstreamRefusal("the decode failed")
}

// transferFailure is the kind of failure of a KV cache transfer.
type transferFailure string

const (
	// transferStalled means that the transfer took longer than its bound.
	transferStalled transferFailure = "stalled"
	// transferRefused means that the decode engine responded with an error status,
	// as it could not fetch the KV cache.
	transferRefused transferFailure = "refused"
	// transferUnreached means that the decode engine did not respond.
	transferUnreached transferFailure = "unreached"
)

// transferError is returned if a decode engine did not start its stream.
type transferError struct {
	failure transferFailure
	err     error
}

// Error returns the kind of failure and its cause.
func (e *transferError) Error() string { return string(e.failure) + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *transferError) Unwrap() error { return e.err }

// reseat replaces the pair by one with another decode engine, if the prefill result
// has not expired. It reports whether the pair was replaced.
func (r *requestState) reseat(ctx context.Context, pair *heldPair, result prefillResult) bool {
	if ctx.Err() != nil || !r.Clock.Now().Before(result.expires) {
		return false
	}
	moved := pair.Reseat(ctx, r.avoid)
	if moved == nil {
		return false
	}
	pair.EnginePair = moved
	return true
}

// decodeAttempt streams the tokens of one attempt. On any failure it cancels the
// attempt at both engines.
func (r *requestState) decodeAttempt(ctx context.Context, pair *heldPair, attempt identifier.AttemptID, result prefillResult) (err error) {
	defer func() {
		if err != nil {
			r.CancelAttempt(pair.Decode.Address, attempt)
			r.CancelAttempt(result.source.Address, attempt)
		}
	}()
	stream, closeStream, err := r.startDecode(ctx, pair, attempt, result)
	if err != nil {
		r.recordTransferFailure(ctx, pair, err)
		return err
	}
	err = r.relay(ctx, stream, pair.Decode.Name, attempt)
	closeStream()
	if !errors.Is(err, dispatcher.ErrStreamTruncated) || ctx.Err() != nil {
		return err
	}
	return r.resumeInterrupted(ctx, pair.Decode, pair.DecodeEngineFailed, attempt, err)
}

// startDecode starts the decode. The engine responds once it has the KV cache, so
// no response within the transfer bound means a stalled transfer.
func (r *requestState) startDecode(ctx context.Context, pair *heldPair, attempt identifier.AttemptID, result prefillResult) (stream *dispatcher.FrameStream, closeStream func(), err error) {
	streamCtx, cancel := context.WithCancel(ctx)
	var stalled atomic.Bool
	timer := r.Clock.AfterFunc(pair.TransferBound, func() {
		stalled.Store(true)
		cancel()
	})
	started := r.Clock.Now()
	stream, err = r.Engines.Decode(streamCtx, pair.Decode.Address, dispatcher.DecodeRequest{
		Attempt:    attempt,
		Workspace:  r.req.Workspace.Name,
		Model:      r.req.Model,
		Prompt:     r.currentPrompt(),
		Source:     result.source,
		FirstIndex: len(r.output),
		MaxTokens:  r.req.MaxOutput - len(r.output),
		Priority:   enginePriority(r.req.Class),
	})
	timer.Stop()
	if err != nil {
		cancel()
		return nil, nil, &transferError{failure: classifyTransferFailure(err, stalled.Load()), err: err}
	}
	pair.TransferDone(r.Clock.Since(started))
	closeStream = func() {
		cancel()
		stream.Close()
	}
	return stream, closeStream, nil
}

// classifyTransferFailure returns the kind of failure of a decode that did not start.
func classifyTransferFailure(err error, stalled bool) transferFailure {
	var status *dispatcher.StatusError
	switch {
	case stalled:
		return transferStalled
	case errors.As(err, &status):
		return transferRefused
	}
	return transferUnreached
}

// recordTransferFailure counts a failed transfer and reports it to the pair's
// coordinator. A decode engine that does not respond is ejected; any other failure
// adds a stall penalty to the cost of the pair.
func (r *requestState) recordTransferFailure(ctx context.Context, pair *heldPair, err error) {
	if ctx.Err() != nil {
		return
	}
	r.Meter.CountRetry(meter.RetryTransfer)
	r.Log.Warn("A transfer failed.", "prefill", pair.Prefill.Name, "decode", pair.Decode.Name, "err", err)
	var transferErr *transferError
	if errors.As(err, &transferErr) && transferErr.failure == transferUnreached {
		pair.DecodeEngineFailed()
		return
	}
	pair.TransferFailed()
}

// resumeInterrupted resumes a stream whose connection broke, at most maxTries times and
// as long as its engine responds and each resumption brings new tokens. It returns
// truncatedErr if the engine failed.
func (r *requestState) resumeInterrupted(ctx context.Context, engine parser.Upstream, reportFailure func(), attempt identifier.AttemptID, truncatedErr error) error {
	for range maxTries {
		r.Meter.CountRetry(meter.RetryDecode)
		received := len(r.output)
		stream, err := r.resume(ctx, engine.Address, attempt)
		if err != nil {
			r.recordEngineFailure(ctx, engine.Name, meter.RetryDecode, errors.Join(truncatedErr, err), reportFailure)
			return truncatedErr
		}
		err = r.relay(ctx, stream, engine.Name, attempt)
		stream.Close()
		if !errors.Is(err, dispatcher.ErrStreamTruncated) || ctx.Err() != nil {
			return err
		}
		if len(r.output) == received {
			break
		}
	}
	r.recordEngineFailure(ctx, engine.Name, meter.RetryDecode, truncatedErr, reportFailure)
	return truncatedErr
}

// resume continues the stream of an attempt after the tokens received so far.
func (r *requestState) resume(ctx context.Context, address identifier.Address, attempt identifier.AttemptID) (*dispatcher.FrameStream, error) {
	streamCtx, cancel := context.WithCancel(ctx)
	timer := r.Clock.AfterFunc(resumeTimeout, cancel)
	defer timer.Stop()
	stream, err := r.Engines.Resume(streamCtx, address, attempt, r.req.Workspace.Name, len(r.output))
	if err != nil {
		cancel()
	}
	return stream, err
}

// relay passes frames to the caller until the final frame. It drops repeated frames
// and treats a missing frame, too many repeated ones in a row, and more tokens than the
// request allows as an interrupted stream.
func (r *requestState) relay(ctx context.Context, stream *dispatcher.FrameStream, engine identifier.UpstreamName, attempt identifier.AttemptID) error {
	watchdog := r.Clock.AfterFunc(tokenTimeout, stream.Close)
	defer watchdog.Stop()
	defer func() { r.Meter.AddEvents(meter.EventMismatchedFrame, int64(stream.MismatchedFrames)) }()
	repeated := 0
	for {
		frame, err := stream.Next()
		if err != nil {
			return err
		}
		if frame.Index < len(r.output) && repeated < maxRepeatedFrames {
			r.Meter.CountEvent(meter.EventMismatchedFrame)
			repeated++
			continue
		}
		isExcess := !frame.Done && r.req.MaxOutput > 0 && len(r.output) >= r.req.MaxOutput
		if frame.Index != len(r.output) || isExcess {
			return dispatcher.ErrStreamTruncated
		}
		watchdog.Reset(tokenTimeout)
		repeated = 0
		if frame.Done {
			r.finishReason = frame.FinishReason
			return nil
		}
		err = r.deliver(ctx, engine, attempt, frame)
		if err != nil {
			return err
		}
	}
}

// deliver passes the token of a frame to the sink.
func (r *requestState) deliver(ctx context.Context, engine identifier.UpstreamName, attempt identifier.AttemptID, frame dispatcher.Frame) error {
	r.Assert.That(frame.Attempt == attempt, asserter.FrameOfOwnAttempt, "attempt", attempt, "frame", frame.Attempt)
	r.Assert.That(frame.Index == len(r.output), asserter.TokensInOrder, "index", frame.Index, "have", len(r.output))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	r.output = append(r.output, frame.Text)
	r.Meter.CountEvent(meter.EventToken)
	err := r.sink(Token{Upstream: engine, Attempt: attempt, Index: frame.Index, Text: frame.Text})
	if err != nil {
		r.callerErr = err
		return errCallerDisconnected
	}
	return nil
}
