package messenger

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// connectTimeout is the time for one attempt to connect to a peer, which takes some
	// milliseconds in a region. The kernel repeats a lost packet that opens a connection
	// only after a second, by which a peer whose VM has just started is heard too late:
	// after a restart of all daemons, the limits had a holder 0.95 s later.
	connectTimeout = 250 * time.Millisecond
	// maxConnectAttempts bounds the attempts, together to longer than any call waits.
	maxConnectAttempts = 8
)

// peerDialer connects to peers.
type peerDialer struct {
	// attempt makes one attempt to connect, within connectTimeout.
	attempt func(ctx context.Context, network, address string) (net.Conn, error)
}

func newPeerDialer() *peerDialer {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &peerDialer{attempt: dialer.DialContext}
}

// dial connects to an address. It makes another attempt if one got no answer.
func (d *peerDialer) dial(ctx context.Context, network, address string) (conn net.Conn, err error) {
	for range maxConnectAttempts {
		conn, err = d.attempt(ctx, network, address)
		var netErr net.Error
		isTimeout := errors.As(err, &netErr) && netErr.Timeout()
		if !isTimeout || ctx.Err() != nil {
			break
		}
	}
	return conn, err
}
