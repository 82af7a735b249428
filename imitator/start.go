package imitator

import (
	"net"
	"net/http"
	"time"

	"sassafraspass.dev/sassafraspass/annotator"
	"sassafraspass.dev/sassafraspass/identifier"
)

const headerTimeout = 5 * time.Second

// Serve answers HTTP at an address until the clean-up function is called.
func Serve(address identifier.Address, handler http.Handler) (bound identifier.Address, cleanup func(), err error) {
	defer annotator.Annotate(&err, "serve stand-in")
	l, err := net.Listen("tcp", string(address))
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(l) }()
	return identifier.Address(l.Addr().String()), func() { _ = server.Close() }, nil
}
