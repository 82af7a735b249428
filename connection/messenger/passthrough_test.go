package messenger

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/placer"
)

// TestPlacementRequestArrivesWhole guards against a field that the daemon that places
// a request does not get.
func TestPlacementRequestArrivesWhole(t *testing.T) {
	is := is.New(t)
	var got placer.Request
	mux := http.NewServeMux()
	mux.Handle((&Server{
		Place: func(_ context.Context, service identifier.ServiceName, req placer.Request) (placer.Grant, *refuser.Refusal) {
			is.Equal(service, identifier.ServiceName("llm"))
			got = req
			return placer.Grant{Prefill: "pre-1", Decode: "dec-1"}, nil
		},
	}).Handler())
	server := httptest.NewServer(mux)
	defer server.Close()
	client, cleanup := NewClient()
	defer cleanup()
	want := placer.Request{
		Key:            placer.Key{Requester: "incarnation-1", Number: 7},
		PromptTokens:   1460,
		MaxOutput:      80,
		OutputHint:     70,
		PromptParts:    []identifier.PromptPartID{"5c1e07a2", "91bd3f06"},
		OwnPart:        "e4402b7d",
		Priority:       2,
		TimeToDeadline: -300 * time.Millisecond,
		MaxWait:        14 * time.Second,
		Avoid:          []identifier.UpstreamName{"dec-2"},
		HeldBack:       []identifier.UpstreamName{"dec-3"},
	}
	grant, refusal, err := client.Place(t.Context(), identifier.Address(server.Listener.Addr().String()), "llm", want)
	is.NoErr(err)
	is.True(refusal == nil)
	is.Equal(grant.Decode, identifier.UpstreamName("dec-1"))
	is.Equal(got, want)
}
