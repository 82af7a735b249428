package forwarder

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/request/picker"
	"sassafraspass.dev/sassafraspass/version/parser"
	"sassafraspass.dev/sassafraspass/version/reducer"
)

// unendedBody is a body that sends bytes until its context ends.
type unendedBody struct {
	ctx       context.Context
	readBytes int
	end       func()
}

// Read reads bytes, and calls end once twice the buffered size was read.
func (b *unendedBody) Read(p []byte) (int, error) {
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	b.readBytes += len(p)
	if b.readBytes > 2*maxBufferedBytes {
		b.end()
	}
	return len(p), nil
}

// Close does nothing.
func (b *unendedBody) Close() error { return nil }

// Guards against a long response without end whose server keeps its rank. A caller that
// disconnects is no fault of the server.
func TestServerWhoseLongResponseDoesNotEndIsEjected(t *testing.T) {
	tests := []struct {
		name  string
		cause error
		first identifier.UpstreamName
	}{
		{"the deadline passes", context.DeadlineExceeded, "b"},
		{"the caller disconnects", context.Canceled, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := newEndableContext(t.Context(), test.cause)
			upstreams := []parser.Upstream{{Name: "a", VM: "a"}, {Name: "b", VM: "b"}}
			route := reducer.ServiceWithProfile{Service: parser.Service{Upstreams: upstreams}, Profile: parser.Profile{Idempotency: parser.Idempotent}}
			f := newForwarder()
			f.SendIdempotent = func(context.Context, identifier.Address, dispatcher.Call) (*http.Response, error) {
				return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: &unendedBody{ctx: ctx, end: cancel}}, nil
			}
			response, done, refusal := f.Forward(ctx, route, dispatcher.Call{Header: http.Header{}})
			is.True(refusal == nil)
			_, err := io.Copy(io.Discard, response.Remainder.Body)
			is.True(err != nil)
			done()
			is.Equal(firstInOrder(f.Picker, upstreams), test.first)
		})
	}
}

func firstInOrder(p *picker.Picker, upstreams []parser.Upstream) identifier.UpstreamName {
	return p.Order(upstreams)[0].Name
}

// endableContext is a context that ends with a given error.
type endableContext struct {
	context.Context
	err error
}

// Err returns the given error once the context has ended.
func (c endableContext) Err() error {
	if c.Context.Err() != nil {
		return c.err
	}
	return nil
}

func newEndableContext(parent context.Context, err error) (context.Context, func()) {
	ctx, cancel := context.WithCancel(parent)
	return endableContext{Context: ctx, err: err}, cancel
}
