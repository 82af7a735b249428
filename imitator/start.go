package imitator

import (
	"net"
	"net/http"
	"time"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/identifier"
)

const headerTimeout = 5 * time.Second

// Serve serves HTTP on an address until the clean-up function is called. It
// returns the address that the listener is bound to, whose port is known even if
// the given one is 0.
func Serve(address identifier.Address, handler http.Handler) (bound identifier.Address, cleanup func(), err error) {
	defer annotator.Annotate(&err, "serve stand-in")
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return identifier.Address(listener.Addr().String()), func() { _ = server.Close() }, nil
}
