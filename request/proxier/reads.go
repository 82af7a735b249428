package proxier

import (
	"context"
	"io"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
)

// promptReads is what is known about the prefills of a stream.
type promptReads struct {
	// size is the size of the prompt if it was read.
	size identifier.Tokens
	// cause is why the prompt is read again, empty if it was not read before.
	cause meter.WasteCause
}

// countRead counts the tokens of a prefill if the prompt was read before.
func (p *Proxier) countRead(ss *streamState) {
	tokens := ss.placementRequest.PromptTokens
	ss.reads.size = tokens
	switch {
	case ss.reads.cause != "":
		p.Meter.AddWaste(ss.reads.cause, tokens)
	case ss.req.LastEventID != "":
		p.Meter.AddWaste(meter.WasteResume, tokens)
	}
}

// countUnusedRead counts the tokens of a prefill without any event after it. Those of a
// resumed stream are counted as read again.
func (p *Proxier) countUnusedRead(ctx context.Context, ss *streamState) {
	switch {
	case ss.eventCount > 0 || ss.reads.size == 0 || ss.req.LastEventID != "":
	case ctx.Err() != nil:
		p.Meter.AddWaste(meter.WasteAbandoned, ss.reads.size)
	default:
		p.Meter.AddWaste(meter.WasteRefused, ss.reads.size)
	}
}

// freeKVHandle frees a KV handle that no decode engine will fetch. It does nothing for
// the empty handle of a request without a prefill.
func (p *Proxier) freeKVHandle(handle KVHandle) {
	if handle.ID == "" || !p.takeCold(handle.Engine) {
		return // the engine frees the handle itself after a while
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeKVHandleTimeout)
	defer cancel()
	response, err := p.Send(ctx, handle.Engine, p.Protocol.EncodeFree(handle))
	if err != nil {
		p.Log.Debug("Cannot free a KV handle.", "engine", handle.Engine.Name, "err", err)
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxFreeResponseBytes))
	_ = response.Body.Close()
}
