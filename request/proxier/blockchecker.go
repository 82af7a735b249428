package proxier

import (
	"bytes"
	"fmt"
	"mime"
	"net/http"
	"strconv"
	"strings"
)

const (
	eventStreamType = "text/event-stream"
	// byteOrderMark may begin a stream.
	byteOrderMark = "\ufeff"
)

// blockChecker checks the blocks of one engine's response before they reach the caller. A
// faulty server may send bytes of something else, such as the text of an error, and one that
// resumes a stream must continue it where it broke off.
type blockChecker struct {
	// isResumed is set if the caller has received a header, or events, of another engine.
	isResumed   bool
	contentType string
	// lastEventID is the id of the last event that the caller has received.
	lastEventID string
	// hasFollowed is set once an event has followed that one. A further one may lack an
	// id, as the end of a stream does in some formats.
	hasFollowed bool
}

func newBlockChecker(ss *streamState) *blockChecker {
	return &blockChecker{isResumed: ss.decodeExecutions > 1 && ss.w.headerSent, contentType: ss.contentType, lastEventID: ss.lastEventID}
}

// checkHeader returns an error if a response has neither the type of a stream nor that of
// the one that it continues.
func (c *blockChecker) checkHeader(header http.Header) error {
	if !c.isResumed {
		return nil
	}
	got, _, _ := mime.ParseMediaType(header.Get("Content-Type"))
	want, _, _ := mime.ParseMediaType(c.contentType)
	if got != want && got != eventStreamType {
		return fmt.Errorf("%w: the content type is %q, not %q", errCannotResume, got, want)
	}
	return nil
}

// sound returns the first blocks that may reach the caller, and an error if another one
// follows.
func (c *blockChecker) sound(blocks []byte) ([]byte, error) {
	length := 0
	for block := range bytes.SplitAfterSeq(blocks, eventEnd) {
		err := c.checkBlock(block)
		if err != nil {
			return blocks[:length], err
		}
		length += len(block)
	}
	return blocks, nil
}

func (c *blockChecker) checkBlock(block []byte) error {
	id, hasID, isComment := "", false, true
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		name, value, _ := strings.Cut(strings.TrimPrefix(strings.TrimSuffix(string(line), "\r"), byteOrderMark), ":")
		if !isFieldName(name) {
			return fmt.Errorf("%w: the line %.40q", errNoEvent, line)
		}
		if name == "id" {
			id, hasID = strings.TrimSpace(value), true
		}
		isComment = isComment && name == ""
	}
	switch {
	case isComment:
		return nil
	case c.isResumed && !hasID && c.lastEventID != "" && !c.hasFollowed:
		return fmt.Errorf("%w: an event has no id", errCannotResume)
	case c.isResumed && hasID && !follows(id, c.lastEventID):
		return fmt.Errorf("%w: the event %.20q follows %.20q", errCannotResume, id, c.lastEventID)
	}
	if hasID {
		c.lastEventID = id
		c.hasFollowed = true
	}
	return nil
}

// isFieldName reports whether a name may be that of a field. A comment has an empty one.
func isFieldName(name string) bool {
	return !strings.ContainsFunc(name, func(r rune) bool {
		isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		return !isLetter && (r < '0' || r > '9') && !strings.ContainsRune("-_.", r)
	})
}

// follows reports whether an event with an id may follow another one. Ids that are no
// numbers have no order.
func follows(id, last string) bool {
	number, err := strconv.ParseInt(id, 10, 64)
	lastNumber, lastErr := strconv.ParseInt(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return number > lastNumber
}
