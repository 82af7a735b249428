package proxier

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"sassafraspass.dev/sassafraspass/connection/exchanger"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/request/placer"
)

// eventEnd ends each block of a stream. A block is an event if it has one of the
// fields id and data.
var (
	eventEnd  = []byte("\n\n")
	idField   = []byte("id:")
	dataField = []byte("data")
)

// relayEvents relays only complete events to the caller, as they arrive, so that a
// stream that is cut inside an event can be resumed after the last complete one.
func (p *Proxier) relayEvents(ctx context.Context, ss *streamState, response *exchanger.Response, report *placer.Report) error {
	check, err := ss.beginRelay(response)
	if err != nil {
		return err
	}
	var firstEventAt time.Time
	engineEvents := 0
	// eventlessBytes counts the bytes that were relayed after the last event.
	eventlessBytes := 0
	var splitter blockSplitter
	ration := p.Memory.Begin()
	defer ration.Release()
	buf := make([]byte, readBufferBytes)
	for {
		n, readErr := response.Body.Read(buf)
		blocks, blockErr := check.sound(splitter.add(buf[:n]))
		count, trailingBytes := countEvents(blocks)
		if count > 0 && engineEvents == 0 {
			firstEventAt = p.recordStreamStart(ss)
		}
		if count > 0 {
			eventlessBytes = 0
			ss.waitingSince = p.Clock.Now()
		}
		engineEvents += count
		eventlessBytes += trailingBytes
		err = ss.relayBlocks(blocks, count)
		if err != nil {
			return fmt.Errorf("%w: %w", errCallerWrite, err)
		}
		switch {
		case blockErr != nil:
			return blockErr
		case eventlessBytes+splitter.pendingBytes() > maxEventBytes, !ration.Resize(splitter.bufferBytes()):
			return errEventTooLarge
		case errors.Is(readErr, io.EOF) && splitter.pendingBytes() == 0 && engineEvents > 0:
			report.Output = identifier.Tokens(engineEvents) * ss.service.Engine.TokensPerEvent
			report.Elapsed = p.Clock.Since(firstEventAt)
			return nil
		case errors.Is(readErr, io.EOF):
			return errIncompleteStream
		case readErr != nil:
			return readErr
		case ctx.Err() != nil:
			return ctx.Err()
		}
	}
}

// beginRelay sends the header of a response, unless the caller has that of an earlier one,
// and returns the checker of its blocks.
func (ss *streamState) beginRelay(response *exchanger.Response) (*blockChecker, error) {
	if ss.w.headerSent {
		check := newBlockChecker(ss)
		return check, check.checkHeader(response.Header)
	}
	ss.w.writeHeader(response.StatusCode, response.Header, -1)
	ss.contentType = response.Header.Get("Content-Type")
	err := ss.w.flush()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return newBlockChecker(ss), nil
}

// blockSplitter splits the bytes of a stream after each eventEnd.
type blockSplitter struct {
	buf []byte
	// complete is the length of the complete blocks at the start of buf.
	complete int
}

// add returns the blocks that the received bytes complete. They are valid until the
// next call.
func (s *blockSplitter) add(received []byte) (blocks []byte) {
	s.buf = append(s.buf[:0], s.buf[s.complete:]...)
	searchFrom := max(0, len(s.buf)-len(eventEnd)+1)
	s.buf = append(s.buf, received...)
	s.complete = 0
	boundary := bytes.LastIndex(s.buf[searchFrom:], eventEnd)
	if boundary >= 0 {
		s.complete = searchFrom + boundary + len(eventEnd)
	}
	return s.buf[:s.complete]
}

// bufferBytes returns the size of the buffer beyond that of one read.
func (s *blockSplitter) bufferBytes() int64 { return int64(max(0, cap(s.buf)-readBufferBytes)) }

// pendingBytes returns the size of the last, incomplete block.
func (s *blockSplitter) pendingBytes() int { return len(s.buf) - s.complete }

// countEvents returns the number of events among complete blocks, and the size of the
// blocks after the last event.
func countEvents(blocks []byte) (count, trailingBytes int) {
	for block := range bytes.SplitAfterSeq(blocks, eventEnd) {
		trailingBytes += len(block)
		if isEvent(block) {
			count++
			trailingBytes = 0
		}
	}
	return count, trailingBytes
}

// isEvent reports whether a block has an id or data. Others are comments.
func isEvent(block []byte) bool {
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		if bytes.HasPrefix(line, idField) || bytes.HasPrefix(line, dataField) {
			return true
		}
	}
	return false
}

// recordStreamStart records the first event of a decode engine and returns its
// time.
func (p *Proxier) recordStreamStart(ss *streamState) time.Time {
	now := p.Clock.Now()
	ss.hasEngineOutput = true
	if ss.eventCount == 0 {
		p.Meter.ObserveDuration(meter.TimingFirstEvent, now.Sub(ss.req.Arrived))
	}
	p.Placements.Report(ss.service.Name, placer.Report{Key: ss.placementRequest.Key, Step: placer.StepStarted})
	return now
}

// relayBlocks sends complete blocks to the caller. It counts their events and stores
// the id of the last one.
func (ss *streamState) relayBlocks(blocks []byte, events int) error {
	if len(blocks) == 0 {
		return nil
	}
	ss.eventCount += events
	for line := range bytes.SplitSeq(blocks, []byte("\n")) {
		id, ok := bytes.CutPrefix(line, idField)
		if ok {
			ss.lastEventID = string(bytes.TrimSpace(id))
		}
	}
	err := ss.w.write(blocks)
	if err != nil {
		return err
	}
	return ss.w.flush()
}
