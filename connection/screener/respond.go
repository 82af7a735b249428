package screener

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/refuser"
)

const (
	// respondTimeout limits the time to send a refusal. Then the client has drainTimeout
	// to read it and stop sending: closing a connection with unread bytes resets it, and
	// the refusal may be lost. Up to maxDrainBytes are read meanwhile.
	respondTimeout = 100 * time.Millisecond
	drainTimeout   = 250 * time.Millisecond
	maxDrainBytes  = 256 << 10
	// retryAfter is the Retry-After time of a refusal for lack of room.
	retryAfter = time.Second
)

// refusal returns the response to a head that is refused for a reason.
func refusal(reason meter.ClosureReason) *refuser.Refusal {
	switch reason {
	case meter.ClosureHeadBytes:
		return refuser.New(http.StatusRequestHeaderFieldsTooLarge, refuser.HeadTooLarge, "the head is too large")
	case meter.ClosureHeadLines:
		return refuser.New(http.StatusRequestHeaderFieldsTooLarge, refuser.HeadTooLarge, "the head has too many lines")
	case meter.ClosureEmptyLines:
		return refuser.New(http.StatusBadRequest, refuser.HeadMalformed, "too many empty lines precede the request")
	case meter.ClosureHeadTimeout:
		return refuser.New(http.StatusRequestTimeout, refuser.RequestTimeout, "the head did not arrive in time")
	}
	return refuser.New(http.StatusServiceUnavailable, refuser.MemoryExhausted, "too many unfinished requests").WithRetryAfter(retryAfter)
}

// respond sends a refusal and closes the sending half of the connection.
func (c *conn) respond(reason meter.ClosureReason) {
	r := refusal(reason)
	body := append(r.JSON(), '\n')
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n", r.Status, http.StatusText(r.Status), len(body))
	if r.RetryAfter > 0 {
		head += fmt.Sprintf("Retry-After: %d\r\n", int(r.RetryAfter.Seconds()))
	}
	c.pending, c.scanned = nil, 0
	_ = c.SetWriteDeadline(time.Now().Add(respondTimeout))
	_, err := c.Write(append([]byte(head+"\r\n"), body...))
	if err != nil {
		return
	}
	if reason == meter.ClosureHeadEvicted || reason == meter.ClosureHeadMemory {
		return // the connection has to close at once, and has probably no unread bytes
	}
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxDrainBytes)
}
