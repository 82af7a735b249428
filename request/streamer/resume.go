package streamer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/connection/messenger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// EventID identifies a token of a stream, so that a caller whose daemon stopped can
// resume the stream at another daemon.
type EventID struct {
	Upstream identifier.UpstreamName
	Attempt  identifier.AttemptID
	Index    int
}

const (
	eventIDParts = 3
	// maxIndex is above the output of every request. A resumption needs memory for the
	// tokens up to the index.
	maxIndex = 1 << 20
)

// String returns "engine/attempt/index".
func (id EventID) String() string {
	return fmt.Sprintf("%s/%s/%d", id.Upstream, id.Attempt, id.Index)
}

// ParseEventID parses the Last-Event-ID that a caller sends. It returns an error
// if the text does not have the form "engine/attempt/index".
func ParseEventID(text string) (id EventID, err error) {
	defer annotator.Annotate(&err, "parse event id %q", text)
	parts := strings.Split(text, "/")
	if len(parts) != eventIDParts {
		return id, fmt.Errorf("expected %d parts separated by slashes", eventIDParts)
	}
	index, err := strconv.Atoi(parts[2])
	if err != nil || index < 0 || index > maxIndex {
		return id, fmt.Errorf("the index is not an integer from 0 to %d", maxIndex)
	}
	return EventID{
		Upstream: identifier.UpstreamName(parts[0]),
		Attempt:  identifier.AttemptID(parts[1]),
		Index:    index,
	}, nil
}

// Resume continues a stream after the token that id identifies, the last one that
// the caller received. The engine checks that the attempt belongs to the
// workspace.
func (s *Streamer) Resume(ctx context.Context, workspace parser.Workspace, upstream parser.Upstream, id EventID, sink Sink) (Result, *refuser.Refusal) {
	r := &requestState{Streamer: s, req: Request{Workspace: workspace}, sink: sink}
	// The caller has received the tokens up to the index. Only their number is used,
	// so their texts stay empty.
	r.output = make([]string, id.Index+1)
	s.Meter.CountEvent(meter.EventResume)
	s.BeginAttempts(ctx, messenger.Attempt{ID: id.Attempt, Upstream: upstream.Name, Address: upstream.Address})
	stream, err := r.resume(ctx, upstream.Address, id.Attempt)
	if err != nil {
		s.EndAttempt(id.Attempt)
		return Result{}, resumeRefusal(err)
	}
	err = r.relay(ctx, stream, upstream.Name, id.Attempt)
	stream.Close()
	if errors.Is(err, dispatcher.ErrStreamTruncated) && ctx.Err() == nil {
		err = r.resumeInterrupted(ctx, upstream, func() {}, id.Attempt, err)
	}
	result := Result{OutputTokens: len(r.output), FinishReason: r.finishReason}
	switch {
	case err == nil:
		s.EndAttempt(id.Attempt)
		return result, nil
	case ctx.Err() != nil || r.callerErr != nil:
		s.CancelAttempt(upstream.Address, id.Attempt)
		return result, r.contextRefusal(ctx)
	}
	s.CancelAttempt(upstream.Address, id.Attempt)
	return result, upstreamRefusal("the stream was cut and its engine is gone")
}

// resumeRefusal returns the refusal of a resumption that its engine did not accept.
func resumeRefusal(err error) *refuser.Refusal {
	if errors.Is(err, dispatcher.ErrUnknownAttempt) {
		return refuser.NewIndeterminate(http.StatusGone, refuser.ResumeUnknown, "the engine does not know this stream of the workspace")
	}
	return upstreamRefusal("the engine of this stream cannot be reached")
}
