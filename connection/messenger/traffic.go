package messenger

import (
	"context"
	"io"
	"net/http"
	"path"
	"strconv"
	"sync/atomic"

	"connectrpc.com/connect"

	"sassafraspass.dev/sassafraspass/connection/messenger/peerv1"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
)

// OnMessage is called with the size in bytes of a message as it is transmitted, with its
// HTTP head. The size of the head is an estimate, as net/http adds some fields later.
type OnMessage func(rpc meter.RPC, direction meter.Direction, peerZone identifier.ZoneName, bytes int64)

func ignoreMessage(meter.RPC, meter.Direction, identifier.ZoneName, int64) {}

// exchangeSize holds the sizes of the two messages of one call. It is in the context of
// the call.
type exchangeSize struct {
	request  atomic.Int64
	response atomic.Int64
	// rpc and sender are the called RPC and the daemon that called. Only the server
	// sets them, and only for RPCs that exist.
	rpc    meter.RPC
	sender identifier.Incarnation
	// senderZone is set if the request names the zone.
	senderZone identifier.ZoneName
	// onSent is called once the response was written, if it is not nil.
	onSent func()
}

// onSent makes the server call f once the response to the call with the context was
// written, or was given up.
func onSent(ctx context.Context, f func()) {
	size, ok := ctx.Value(exchangeSizeKey{}).(*exchangeSize)
	if ok {
		size.onSent = f
	}
}

// unknownRPC stands for requests that name no RPC of the peer protocol.
const unknownRPC meter.RPC = "unknown"

type exchangeSizeKey struct{}

func withExchangeSize(ctx context.Context) (context.Context, *exchangeSize) {
	size := &exchangeSize{}
	return context.WithValue(ctx, exchangeSizeKey{}, size), size
}

// countingTransport records the sizes of the messages of calls.
type countingTransport struct {
	underlying http.RoundTripper
}

// RoundTrip sends a request.
func (t *countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	size, isCounted := req.Context().Value(exchangeSizeKey{}).(*exchangeSize)
	if isCounted {
		size.request.Add(requestHeadBytes(req) + max(0, req.ContentLength))
	}
	resp, err := t.underlying.RoundTrip(req)
	if err == nil && isCounted {
		size.response.Add(responseHeadBytes(resp.Header))
		resp.Body = &countingBody{ReadCloser: resp.Body, count: &size.response}
	}
	return resp, err
}

// countingBody adds the bytes that are read to a counter.
type countingBody struct {
	io.ReadCloser
	count *atomic.Int64
}

// Read reads from the body.
func (b *countingBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	b.count.Add(int64(n))
	return n, err
}

// The parts of a head that are the same for each message.
const (
	requestLineBytes  = int64(len("POST  HTTP/1.1\r\nHost: \r\n\r\n"))
	statusLineBytes   = int64(len("HTTP/1.1 200 OK\r\n\r\n"))
	headerFieldBytes  = int64(len(": \r\n"))
	dateFieldBytes    = int64(len("Date: Mon, 02 Jan 2006 15:04:05 GMT\r\n"))
	contentLengthName = "Content-Length"
)

func requestHeadBytes(req *http.Request) int64 {
	size := requestLineBytes + int64(len(req.URL.Path)+len(req.Host)) + headerBytes(req.Header)
	if req.Header.Get(contentLengthName) == "" {
		size += contentLengthBytes(req.ContentLength)
	}
	return size
}

func responseHeadBytes(header http.Header) int64 {
	size := statusLineBytes + headerBytes(header)
	if header.Get("Date") == "" {
		size += dateFieldBytes
	}
	return size
}

func contentLengthBytes(length int64) int64 {
	return int64(len(contentLengthName)) + headerFieldBytes + int64(len(strconv.FormatInt(length, 10)))
}

func headerBytes(header http.Header) (size int64) {
	for name, values := range header {
		for _, value := range values {
			size += int64(len(name)+len(value)) + headerFieldBytes
		}
	}
	return size
}

// rpcOf returns the RPC of a procedure such as "/peer.v1.Peer/Heartbeat".
func rpcOf(procedure string) meter.RPC { return meter.RPC(path.Base(procedure)) }

// countingInterceptor calls OnMessage for both messages of each call to an address.
func (c *Client) countingInterceptor(address identifier.Address) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			ctx, size := withExchangeSize(ctx)
			resp, err := next(ctx, req)
			if err == nil {
				c.learnZone(address, resp.Any())
			}
			rpc := rpcOf(req.Spec().Procedure)
			zone := c.zoneOf(address)
			c.OnMessage(rpc, meter.DirectionRequestSent, zone, size.request.Load())
			received := size.response.Load()
			if received > 0 {
				c.OnMessage(rpc, meter.DirectionResponseReceived, zone, received)
			}
			return resp, err
		}
	}
}

// learnZone remembers the zone of the peer at an address if the message is its
// heartbeat.
func (c *Client) learnZone(address identifier.Address, message any) {
	response, ok := message.(*peerv1.HeartbeatResponse)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones[address] = identifier.ZoneName(response.GetBeat().GetZone())
}

func (c *Client) zoneOf(address identifier.Address) identifier.ZoneName {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.zones[address]
}

// recordSender records which daemon sent a request, and for which RPC.
func recordSender() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			size, isCounted := ctx.Value(exchangeSizeKey{}).(*exchangeSize)
			if isCounted {
				size.rpc = rpcOf(req.Spec().Procedure)
				size.sender, size.senderZone = senderOf(req.Any())
			}
			return next(ctx, req)
		}
	}
}

// senderOf returns which daemon sent a request, as far as the request says so.
func senderOf(message any) (incarnation identifier.Incarnation, zone identifier.ZoneName) {
	switch request := message.(type) {
	case *peerv1.HeartbeatRequest:
		return identifier.Incarnation(request.GetBeat().GetIncarnation()), identifier.ZoneName(request.GetBeat().GetZone())
	case interface{ GetIncarnation() string }:
		return identifier.Incarnation(request.GetIncarnation()), ""
	}
	return "", ""
}

// countMessages calls OnMessage for both messages of each call that next serves. Requests
// for unknown paths count as unknownRPC, so that clients cannot add counters.
func (s *Server) countMessages(next http.Handler) http.Handler {
	if s.OnMessage == nil {
		s.OnMessage = ignoreMessage
	}
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		ctx, size := withExchangeSize(req.Context())
		req = req.WithContext(ctx)
		req.Body = &countingBody{ReadCloser: req.Body, count: &size.request}
		defer func() {
			if size.onSent != nil {
				size.onSent()
			}
		}()
		next.ServeHTTP(&countingWriter{ResponseWriter: w, count: &size.response}, req)
		zone := size.senderZone
		if zone == "" && s.ZoneOf != nil {
			zone = s.ZoneOf(size.sender)
		}
		if size.rpc == "" {
			size.rpc = unknownRPC
		}
		s.OnMessage(size.rpc, meter.DirectionRequestReceived, zone, requestHeadBytes(req)+size.request.Load())
		head := responseHeadBytes(w.Header()) + contentLengthBytes(size.response.Load())
		s.OnMessage(size.rpc, meter.DirectionResponseSent, zone, head+size.response.Load())
	})
}

// countingWriter adds the bytes that are written to a counter.
type countingWriter struct {
	http.ResponseWriter
	count *atomic.Int64
}

// Write writes to the response.
func (w *countingWriter) Write(p []byte) (n int, err error) {
	n, err = w.ResponseWriter.Write(p)
	w.count.Add(int64(n))
	return n, err
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
