package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// app is a stand-in for one server of a plain service.
type app struct {
	rec     *recorder
	service string
	id      string
	address string
}

// startApp starts a server of a plain service, which writes its entry to the store.
func startApp(p *deployment, service, zone string) *app {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("a server cannot listen: %v", err)
	}
	a := &app{rec: p.rec, service: service, id: fmt.Sprintf("i-%08x", rand.Uint32()), address: l.Addr().String()}
	go func() { _ = http.Serve(l, a) }()
	born := time.Now().UnixMilli()
	go func() {
		for sequence := 0; ; sequence++ {
			p.store.putJSON("keyed.servers", a.id, map[string]any{
				"service": service, "address": a.address, "zone": zone, "version": "v1", "slots": 6, "state": "ready",
				"coldRemainingMs": 0, "sequence": sequence, "born": born,
			})
			time.Sleep(heartbeat)
		}
	}()
	return a
}

func (a *app) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	switch want := r.Header.Get("Expected-Instance"); {
	case want != "" && want != a.id:
		w.Header().Set("Instance-Id", a.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", a.id)
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.rec.event("run", "server", a.id, "service", a.service, "id", id, "tenant", r.Header.Get("Tenant"))
	time.Sleep(30 * time.Millisecond)
	w.Header().Set("Server-Signature", signature(id, a.id))
	_, _ = fmt.Fprintf(w, "%s %s", a.service, r.RequestURI)
}
