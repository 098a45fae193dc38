package intake

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/coordination/memory"
	"gypsumvale/internal/state/clock"
)

const (
	// connectionsPerMB leaves 170 KB for each connection: its buffers and goroutine take about 20 KB, and unread bytes up to bufferBytes.
	connectionsPerMB = 6
	// descriptorShare is the part of the process's descriptors that clients may take. Each of their requests takes another one for its
	// endpoint, and peers, the store and the readiness port need the rest.
	descriptorShare = 3
	// bytesShare is the part of the process's memory that clients' data may take. The garbage collector needs about as much again, and the
	// program itself the rest.
	bytesShare = 5
)

// Limits bound what a process holds for its clients.
type Limits struct {
	Connections int
	Bytes       int64
	// Stall is how long a client may take none of the bytes that wait for it. Zero stands for 20 s.
	Stall time.Duration
}

// DefaultLimits derives limits from the process's memory in MB, its limit of descriptors, and the largest body that must be served when there
// is no other: while a body is copied for the last time, it takes one and a half times its length of the share of bodies.
func DefaultLimits(memoryMB float64, descriptors uint64, maxBody int64) Limits {
	return Limits{
		Connections: max(1, min(int(connectionsPerMB*memoryMB), int(min(descriptors, 1<<30)/descriptorShare))),
		Bytes:       max(2*maxBody+1<<20, int64(memoryMB*(1<<20))/bytesShare),
	}
}

// LimitsFor returns the limits that settings name or, where they are zero, the default ones for this process.
func LimitsFor(memoryMB float64, connections int, buffersMB float64, maxBody int64) Limits {
	l := DefaultLimits(memoryMB, maxDescriptors(), maxBody)
	if connections > 0 {
		l.Connections = connections
	}
	if buffersMB > 0 {
		l.Bytes = int64(buffersMB * (1 << 20))
	}
	return l
}

// maxDescriptors returns the process's limit of descriptors.
func maxDescriptors() uint64 {
	const usual = 1024
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return usual
	}
	return limit.Cur
}

// Reasons for which connections are closed or requests refused.
const (
	reasonConnections = "connections"
	reasonNotAccepted = "not_accepted"
	reasonHeaders     = "headers"
	reasonBodies      = "bodies"
)

// Reasons lists the reasons that Count is called with.
func Reasons() []string {
	return []string{reasonConnections, reasonNotAccepted, reasonHeaders, reasonBodies}
}

// Guard keeps the clients of a process within its limits.
type Guard struct {
	// count counts connections that were closed and requests that were refused, by reason.
	count func(reason string)
	stall time.Duration

	mu          sync.Mutex
	account     *memory.Account
	connections *memory.Connections
	// frames is held for frames of peers.
	frames *memory.Charge
}

// New returns a guard. count is called for each connection that is closed and each request that is refused, with one of Reasons.
func New(l Limits, count func(reason string)) *Guard {
	if l.Stall == 0 {
		l.Stall = stallTimeout
	}
	g := &Guard{count: count, stall: l.Stall, account: memory.NewAccount(l.Bytes), connections: memory.NewConnections(l.Connections)}
	g.frames = g.account.Open(memory.Frames, nil)
	return g
}

// CountFrame counts the bytes of a peer's frame or, if n is negative, returns them. Frames aren't refused, but callers give way to them.
func (g *Guard) CountFrame(n int64) {
	g.mu.Lock()
	var evicted []*memory.Charge
	if n < 0 {
		g.account.Shrink(g.frames, -n)
	} else {
		evicted = g.account.Take(g.frames, n)
	}
	g.mu.Unlock()
	g.evict(evicted)
}

// Used returns the bytes held for a use.
func (g *Guard) Used(u memory.Use) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.account.Used(u)
}

// Connections returns the number of open connections.
func (g *Guard) Connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.connections.Count()
}

// Protect returns a listener for a server's clients, and has the server report what its connections do. TLS, if any, goes on top of it.
func (g *Guard) Protect(l net.Listener, server *http.Server) net.Listener {
	server.ConnState = g.recordState
	server.ConnContext = withConn
	return &guardedListener{Listener: l, guard: g}
}

// guardedListener accepts connections within the limit.
type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection. At the limit it closes another one, or else the new one.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		raw, err := Accept(l.Listener, l.guard.closeOne)
		if err != nil {
			return nil, err
		}
		if c := l.guard.add(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// add counts a new connection and returns nil if there is no room for it.
func (g *Guard) add(raw net.Conn) *conn {
	c := &conn{Conn: raw, guard: g}
	c.awaiting.Store(true)
	now := clock.Now()
	g.mu.Lock()
	entry, victim, ok := g.connections.Add(now, c.abort)
	c.entry = entry
	var body *memory.Charge
	if !ok {
		// All connections have requests. The body that makes least progress gives way, and its connection ends once it has its refusal.
		body = g.account.EvictOldest()
	}
	g.mu.Unlock()
	if victim != nil {
		g.count(reasonConnections)
		victim.Close()
	}
	if body != nil {
		g.count(reasonBodies)
		body.Evict()
	}
	if !ok {
		g.count(reasonNotAccepted)
		return nil
	}
	limitBuffers(raw)
	return c
}

// closeOne closes the connection that gives way first, since the process has no descriptor for another one.
func (g *Guard) closeOne(error) {
	g.mu.Lock()
	victim := g.connections.Evict(clock.Now())
	g.mu.Unlock()
	if victim != nil {
		g.count(reasonConnections)
		victim.Close()
	}
}

func (g *Guard) setState(c *conn, s memory.State) {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connections.SetState(c.entry, s, now)
}

// remove forgets a closed connection.
func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.entry != nil {
		g.connections.Remove(c.entry)
	}
	if c.headers != nil {
		g.account.Close(c.headers)
	}
}

// grow adds bytes to a charge and has evicted holders give up theirs.
func (g *Guard) grow(c *memory.Charge, n int64) bool {
	g.mu.Lock()
	evicted, ok := g.account.Grow(c, n)
	g.mu.Unlock()
	g.evict(evicted)
	return ok
}

func (g *Guard) evict(list []*memory.Charge) {
	for _, c := range list {
		g.count(c.Use().String())
		c.Evict()
	}
}

// bufferBytes limits what the kernel holds for a connection in each direction, and is enough for 50 MB/s at a round-trip time of 1 ms.
const bufferBytes = 64 << 10

func limitBuffers(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		// A connection whose buffers can't be limited is still of use.
		_ = tcp.SetReadBuffer(bufferBytes)
		_ = tcp.SetWriteBuffer(bufferBytes)
	}
}

const (
	// A failed accept is repeated after minAcceptDelay, twice as long after each further failure, and at most maxAcceptDelay: long enough not
	// to load a processor that has nothing else to run, short enough for a caller not to notice.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 200 * time.Millisecond
)

// Accept accepts a connection. After a failure, such as a lack of descriptors, it calls failed and tries again; it returns an error only once
// the listener is closed.
func Accept(l net.Listener, failed func(error)) (net.Conn, error) {
	for delay := minAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		raw, err := l.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return raw, err //nolint:wrapcheck // Servers compare the error with net.ErrClosed.
		}
		failed(err)
		time.Sleep(delay)
	}
}

// Resilient returns a listener that survives failed accepts.
func Resilient(l net.Listener) net.Listener { return &resilientListener{l} }

type resilientListener struct{ net.Listener }

// Accept returns the next connection, or an error once the listener is closed.
func (l *resilientListener) Accept() (net.Conn, error) { return Accept(l.Listener, func(error) {}) }
