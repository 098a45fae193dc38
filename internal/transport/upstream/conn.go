package upstream

import (
	"bufio"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"gypsumvale/internal/state/clock"
)

const (
	// readBufferBytes is large enough for a response head and a few events.
	readBufferBytes = 4 << 10
	// maxHeadBytes limits a response's head, with the informational responses before it: a faulty endpoint may send bytes without end.
	maxHeadBytes = 64 << 10
)

// maxExchanges limits the requests that a connection carries, since it remembers all of them.
const maxExchanges = 128

// ErrHeadTooLong is wrapped by the error for a response whose head exceeds maxHeadBytes.
var ErrHeadTooLong = errors.New("response head too long")

// headLimiter reads from a connection, and fails once a response's head is too long.
type headLimiter struct {
	raw io.Reader
	// inHead is true while a head is being read, and remaining is how many more bytes it may have.
	inHead    bool
	remaining int
	// read is when bytes were last read, as a clock.Instant.
	read atomic.Int64
}

func (l *headLimiter) lastRead() clock.Instant { return clock.Instant(l.read.Load()) }

func (l *headLimiter) start() { l.inHead, l.remaining = true, maxHeadBytes }

func (l *headLimiter) stop() { l.inHead = false }

// Read reads from the connection; bytes of the body that arrive with the head count too, which the limit allows for.
func (l *headLimiter) Read(b []byte) (int, error) {
	if l.inHead {
		if l.remaining <= 0 {
			return 0, ErrHeadTooLong
		}
		b = b[:min(len(b), l.remaining)]
	}
	n, err := l.raw.Read(b)
	l.remaining -= n
	if n > 0 {
		l.read.Store(int64(clock.Now()))
	}
	return n, err //nolint:wrapcheck // The connection's own errors are wrapped where the response is read.
}

// conn is an HTTP/1.1 connection without pipelining: it carries one request at a time.
type conn struct {
	raw     net.Conn
	limiter *headLimiter
	r       *bufio.Reader
	address string
	// number identifies the connection in its process, and exchanges counts the requests that it has carried.
	number    uint64
	exchanges int
	// carried holds the hashes of the identifiers of these requests. The connection must not carry one of them again: a copy of the first
	// response, which may arrive at any time, could not be told from the response to the second attempt.
	carried []uint64
	// carriedHead is true once the connection has carried a HEAD request, the response to which has no body whatever its headers say.
	carriedHead bool
	// process is the process of the endpoint that the connection belongs to, as it has told, or zero.
	process int64
	// usableUntil is when the idle timeout expires.
	usableUntil clock.Instant
	// onClose, unless it is nil, is called once the connection is closed.
	onClose func(*conn)
	once    sync.Once
}

func newConn(raw net.Conn, address string, number uint64) *conn {
	limiter := &headLimiter{raw: raw}
	return &conn{raw: raw, limiter: limiter, r: bufio.NewReaderSize(limiter, readBufferBytes), address: address, number: number}
}

func (c *conn) close() {
	c.once.Do(func() {
		_ = c.raw.Close()
		if c.onClose != nil {
			c.onClose(c)
		}
	})
}

// mayCarry reports whether a request may be sent on the connection.
func (c *conn) mayCarry(id uint64) bool { return !slices.Contains(c.carried, id) }

// reusable reports whether an idle connection is still open and has no unread data. Data that follows a complete response belongs to no
// request, so the next response could not be trusted.
func (c *conn) reusable() bool { return c.r.Buffered() == 0 && c.open() }

// open reports whether a connection is open and its kernel holds no unread data, which the end of the connection might follow. It may be called
// while the connection is being read.
func (c *conn) open() bool {
	sysConn, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rawConn.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
	})
	return err == nil && open
}
