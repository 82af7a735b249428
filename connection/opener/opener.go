// Package opener opens a daemon's network listeners and serves HTTP on them.
package opener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/oklog/run"

	"sassafraspass.dev/sassafraspass/identifier"
)

// Binding is an address to listen on and the variable that receives the listener.
type Binding struct {
	Address identifier.Address
	// Listener is set by Open.
	Listener *net.Listener
}

// Open listens on the addresses of all bindings. The clean-up function closes the
// opened listeners. It must be called after an error, too, as some may be open.
func Open(config net.ListenConfig, bindings []Binding) (cleanup func(), err error) {
	var listeners []net.Listener
	cleanup = func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}
	for _, binding := range bindings {
		l, err := config.Listen(context.Background(), "tcp", string(binding.Address))
		if err != nil {
			return cleanup, err
		}
		listeners = append(listeners, l)
		*binding.Listener = l
	}
	return cleanup, nil
}

// Serve adds an actor that serves HTTP on a listener to a run group. If other code
// closes the server, the actor keeps running until the group ends: a planned
// shutdown closes the server for callers first, and that must not end the other
// actors.
func Serve(group *run.Group, server *http.Server, l net.Listener) {
	stopped := make(chan struct{})
	serve := func() error {
		err := server.Serve(l)
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-stopped
		return nil
	}
	var once sync.Once
	group.Add(serve, func(error) {
		_ = server.Close()
		once.Do(func() { close(stopped) })
	})
}
