package exchanger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// responseBody is a response body that puts its connection into the pool when it is
// closed, if it was read to the end.
type responseBody struct {
	io.ReadCloser
	exchanger   *Exchanger
	conn        *conn
	stop        func() bool
	ctx         context.Context
	idleTimeout time.Duration
	// isUnframed is set if the body ends with its connection.
	isUnframed bool
	reachedEOF bool
	once       sync.Once
}

// Read reads from the body and records whether the end was reached. Errors after the
// end of the context are the cause of that end.
func (b *responseBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.isUnframed {
		err = b.checkEnd()
	}
	if errors.Is(err, io.EOF) {
		b.reachedEOF = true
	}
	if err != nil && b.ctx.Err() != nil {
		return n, context.Cause(b.ctx)
	}
	return n, err
}

// checkEnd returns io.EOF if the request was sent whole, and so the end of the connection
// ends the body. An upstream may respond before it has read a long request, and read on.
func (b *responseBody) checkEnd() error {
	select {
	case <-b.conn.sendDone:
	case <-b.ctx.Done():
		return ErrUnsentRequest
	}
	if b.conn.sendErr != nil {
		return fmt.Errorf("%w: %w", ErrUnsentRequest, b.conn.sendErr)
	}
	return io.EOF
}

// Close puts the connection into the pool if the body was read to the end.
// Otherwise it closes the connection, so that the upstream cancels the request.
func (b *responseBody) Close() error {
	b.once.Do(func() {
		stopped := b.stop()
		if b.reachedEOF && stopped {
			b.exchanger.awaitSendDone(b.conn)
			b.exchanger.putIdle(b.conn, b.idleTimeout)
			return
		}
		_ = b.conn.Close()
	})
	return nil
}
