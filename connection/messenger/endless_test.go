package messenger

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/request/limiter"
)

// Guards against a peer's response without end that is kept, or discarded, until the
// call's deadline.
func TestEndlessResponseOfAPeerEndsTheCall(t *testing.T) {
	const (
		floodBytes = 160 << 20
		blockBytes = 64 << 10
		// budget is what the server may send, which includes the buffers of the kernel.
		budget = 48 << 20
	)
	tests := []struct {
		name   string
		status int
	}{
		{"response", http.StatusOK},
		{"error", http.StatusInternalServerError},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			closed := make(chan struct{})
			block := []byte(strings.Repeat("x", blockBytes))
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "application/proto")
				if test.status != http.StatusOK {
					w.Header().Set("Content-Type", "application/json")
				}
				w.WriteHeader(test.status)
				var err error
				for err == nil && sent.Load() < floodBytes {
					var n int
					n, err = w.Write(block)
					sent.Add(int64(n))
				}
				<-r.Context().Done()
				close(closed)
			}))
			defer server.Close()
			client, cleanup := NewClient()
			defer cleanup()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			_, err := client.Borrow(ctx, identifier.Address(server.Listener.Addr().String()), limiter.BorrowRequest{})
			is.True(err != nil)
			is.NoErr(ctx.Err())
			<-closed
			is.True(sent.Load() <= budget)
		})
	}
}

// Guards against a response head of many megabytes.
func TestLongHeadOfAPeerIsAnError(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("a", 1<<20))
		w.Header().Set("Content-Type", "application/proto")
	}))
	defer server.Close()
	client, cleanup := NewClient()
	defer cleanup()
	_, err := client.Borrow(t.Context(), identifier.Address(server.Listener.Addr().String()), limiter.BorrowRequest{})
	is.True(err != nil)
}
