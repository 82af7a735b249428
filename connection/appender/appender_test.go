package appender

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
)

// Guards against a response of the log service without end, of which the first part was
// taken as complete, and against a response head of many megabytes.
func TestEndlessResponseIsAnError(t *testing.T) {
	const (
		floodBytes = 128 << 20
		blockBytes = 64 << 10
	)
	tests := []struct {
		name      string
		headBytes int
		bodyBytes int
	}{
		{"body", 0, floodBytes},
		{"head", 1 << 20, 0},
	}
	calls := []struct {
		name string
		call func(ctx context.Context, c *Client) error
	}{
		{"read", func(ctx context.Context, c *Client) error {
			_, err := c.Read(ctx, StreamConfig, 0, 1, 0)
			return err
		}},
		{"append", func(ctx context.Context, c *Client) error {
			_, err := c.Append(ctx, StreamConfig, []byte("x"))
			return err
		}},
		{"list", func(ctx context.Context, c *Client) error {
			_, err := c.ListVMs(ctx)
			return err
		}},
	}
	for _, test := range tests {
		for _, call := range calls {
			t.Run(test.name+" of "+call.name, func(t *testing.T) {
				is := is.New(t)
				block := []byte(strings.Repeat(" ", blockBytes))
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("X-Long", strings.Repeat("a", test.headBytes))
					_, err := w.Write([]byte("{}"))
					for sent := 0; err == nil && sent < test.bodyBytes; sent += len(block) {
						_, err = w.Write(block)
					}
				}))
				defer server.Close()
				client, cleanup := NewClient(identifier.Address(server.Listener.Addr().String()))
				defer cleanup()
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				is.True(call.call(ctx, client) != nil)
				is.NoErr(ctx.Err())
			})
		}
	}
}
