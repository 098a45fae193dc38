package upstream

import (
	"bufio"
	"net"
	"sync"
	"syscall"

	"gypsumvale/internal/state/clock"
)

// readBufferBytes is large enough for a response head and a few events.
const readBufferBytes = 4 << 10

// conn is an HTTP/1.1 connection without pipelining: it carries one request at a time.
type conn struct {
	raw     net.Conn
	r       *bufio.Reader
	address string
	// usableUntil is when the idle timeout expires.
	usableUntil clock.Instant
	once        sync.Once
}

func newConn(raw net.Conn, address string) *conn {
	return &conn{raw: raw, r: bufio.NewReaderSize(raw, readBufferBytes), address: address}
}

func (c *conn) close() { c.once.Do(func() { _ = c.raw.Close() }) }

// reusable reports whether an idle connection is still open and has no unread data. Data that follows a complete response belongs to no
// request, so the next response could not be trusted.
func (c *conn) reusable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sysConn, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
