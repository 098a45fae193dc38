package intake

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/coordination/memory"
)

const (
	// A header section takes headerFactor times its length, as read and as parsed, and headerLineBytes for each line: the entry of a map and
	// its strings. net/http doesn't limit the number of lines.
	headerFactor    = 2
	headerLineBytes = 200
	// headerStep is charged at once; header sections up to this size aren't charged, since the number of connections bounds them.
	headerStep = 16 << 10
)

// errNoRoom is returned for a header section that finds no room.
var errNoRoom = errors.New("no memory for the header section")

// conn is a client's connection. Its methods for reading are called by one goroutine at a time, as net/http does.
type conn struct {
	net.Conn
	guard *Guard
	entry *memory.Connection
	// awaiting is true until a complete header section has arrived.
	awaiting atomic.Bool
	// headerBytes is the memory that the header section takes, and charged the part of it that has been charged to headers.
	headerBytes, charged int64
	headers              *memory.Charge
	removed              atomic.Bool
	// interrupted is true once a read deadline may have ended a read of the current request, and with it the context of the connection. The
	// goroutine that serves the request uses it.
	interrupted bool
	// readEnd is how reading has ended since the current request's header section was complete.
	readEnd atomic.Value
}

// Read reads from the connection, and charges header sections.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.readEnd.Store(readEndOf(err))
	}
	if n > 0 && c.awaiting.Load() && !c.chargeHeader(b[:n]) {
		c.guard.count(reasonHeaders)
		c.abort()
		return 0, errNoRoom
	}
	return n, err //nolint:wrapcheck // net/http checks the errors of connections.
}

func (c *conn) chargeHeader(data []byte) bool {
	c.headerBytes += headerFactor*int64(len(data)) + headerLineBytes*int64(bytes.Count(data, []byte{'\n'}))
	if c.headerBytes-c.charged <= headerStep {
		return true
	}
	if c.headers == nil {
		c.guard.mu.Lock()
		c.headers = c.guard.account.Open(memory.Headers, c.abort)
		c.guard.mu.Unlock()
	}
	n := c.headerBytes - c.charged
	c.charged = c.headerBytes
	return c.guard.grow(c.headers, n)
}

// stallTimeout is how long a client may take none of the bytes that wait for it, and writeBytes is how many are offered to it at once. The kernel
// shows progress only once a part of its buffer is free again.
const (
	stallTimeout = 20 * time.Second
	writeBytes   = 16 << 10
)

// Write writes to the connection. It fails if the client stops reading.
func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(c.guard.stall)); err != nil {
			return written, err //nolint:wrapcheck // net/http checks the errors of connections.
		}
		n, err := c.Conn.Write(b[written:min(len(b), written+writeBytes)])
		written += n
		if err != nil || written == len(b) {
			return written, err //nolint:wrapcheck // net/http checks the errors of connections.
		}
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	if !c.removed.Swap(true) {
		c.guard.remove(c)
	}
	return c.Conn.Close() //nolint:wrapcheck // net/http checks the errors of connections.
}

// abort closes the connection of a client that gives way.
func (c *conn) abort() { _ = c.Close() }

// recordState follows what net/http does with a connection.
func (g *Guard) recordState(raw net.Conn, s http.ConnState) {
	c := unwrap(raw)
	if c == nil {
		return
	}
	switch s {
	case http.StateActive:
		c.awaiting.Store(false)
		c.readEnd.Store(ReadOpen)
		g.setState(c, memory.StateServed)
		if c.headers != nil {
			g.mu.Lock()
			g.account.Complete(c.headers)
			g.mu.Unlock()
		}
	case http.StateIdle:
		g.setState(c, memory.StateIdle)
		if c.headers != nil {
			g.mu.Lock()
			g.account.Close(c.headers)
			c.headers = nil
			g.mu.Unlock()
		}
		c.headerBytes, c.charged = 0, 0
		c.awaiting.Store(true)
	}
}

// unwrap returns the connection below TLS, if there is TLS, and nil if it is none of a Guard's.
func unwrap(raw net.Conn) *conn {
	if above, ok := raw.(interface{ NetConn() net.Conn }); ok {
		raw = above.NetConn()
	}
	c, _ := raw.(*conn)
	return c
}

type contextKey struct{}

// connOf returns the connection of a request on a guarded listener, given the request's context, and nil for others.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(contextKey{}).(*conn)
	return c
}

func withConn(ctx context.Context, raw net.Conn) context.Context {
	if c := unwrap(raw); c != nil {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// maxDrainBytes bounds how much is read from a connection whose request was refused: twice the largest body of the native edge, and four times
// the operators' usual limit on the hosted one.
const maxDrainBytes = 16 << 20

// drain reads and discards what a client still sends after the refusal of its request, until the client closes the connection or for at most
// the given time: closing a connection with unread bytes resets it, and the client would lose the refusal. The server must close the
// connection afterwards, and nothing else may read from it. It does nothing if the context isn't that of a request on a guarded listener.
func drain(ctx context.Context, timeout time.Duration) {
	c := connOf(ctx)
	if c == nil {
		return
	}
	c.guard.setState(c, memory.StateRefused)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	if c.SetReadDeadline(time.Now().Add(timeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxDrainBytes)
		// net/http closes the request's body afterwards and must not wait for more of it.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}
