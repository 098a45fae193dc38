package endpoint

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// conn is a connection whose end isn't taken for that of an answer if the upload was broken off.
//
// The system reports the reset of a connection once. If the upload gets the report, the next read returns io.EOF, as after an answer that is
// complete.
type conn struct {
	net.Conn
	// writing is held during each write, and writeErr is the error of the last one.
	writing  sync.Mutex
	writeErr error
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeErr = err
	}
	return n, err //nolint:wrapcheck // net/http expects the connection's own errors.
}

// Read reads from the connection. It returns io.ErrUnexpectedEOF at the end if a write has failed or is in progress.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err //nolint:wrapcheck // net/http expects the connection's own errors.
	}
	if !c.writing.TryLock() {
		return n, io.ErrUnexpectedEOF
	}
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return n, io.ErrUnexpectedEOF
	}
	return n, io.EOF
}

// dial opens a connection for requests that run.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http expects the dialer's own errors.
	}
	return &conn{Conn: raw}, nil
}
