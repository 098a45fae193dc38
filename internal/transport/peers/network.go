package peers

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/protocol/peer"
)

// Handler serves what peers send.
type Handler interface {
	// Serve answers a call; the context ends when the caller's connection closes.
	Serve(ctx context.Context, from peer.Hello, kind peer.Kind, body []byte) (any, error)
	// ConnectionClosed says that a connection with a peer has closed; incoming ones carried the peer's calls.
	ConnectionClosed(from peer.Hello, incoming bool)
	// ConnectionRejected says that a peer was turned away.
	ConnectionRejected(address string, err error)
}

// Config says who this process is and whom it accepts.
type Config struct {
	Name        string
	Incarnation string
	Address     string
	Secret      []byte
	// Blocked reports whether traffic with a peer's name is cut, for tests of partitions.
	Blocked func(name string) bool
}

const (
	dialTimeout = time.Second
	// redialPause keeps callers from dialling a dead peer again and again.
	redialPause = 300 * time.Millisecond
	maxParallel = 8192
)

// NewIncarnation returns a name for one run of a process.
func NewIncarnation(name string) string {
	const randomBytes = 6
	b := make([]byte, randomBytes)
	// Read never returns an error.
	_, _ = rand.Read(b)
	return name + "#" + hex.EncodeToString(b)
}

// Network holds one outgoing connection for each peer, and serves incoming ones.
type Network struct {
	cfg     Config
	id      identity
	handler Handler
	// Traffic counts all that the network carries.
	Traffic Traffic

	mu       sync.Mutex
	links    map[string]*link
	incoming map[*conn]bool
	listener net.Listener
	slots    chan struct{}
}

// New returns a network; Listen starts it.
func New(cfg Config, h Handler) *Network {
	if cfg.Blocked == nil {
		cfg.Blocked = func(string) bool { return false }
	}
	return &Network{
		cfg:      cfg,
		id:       identity{name: cfg.Name, incarnation: cfg.Incarnation, secret: cfg.Secret},
		handler:  h,
		links:    make(map[string]*link),
		incoming: make(map[*conn]bool),
		slots:    make(chan struct{}, maxParallel),
	}
}

// Listen opens the port and returns its address.
func (n *Network) Listen() (string, error) {
	listener, err := net.Listen("tcp", n.cfg.Address)
	if err != nil {
		return "", fmt.Errorf("listen for peers: %w", err)
	}
	n.listener = listener
	return listener.Addr().String(), nil
}

// Run accepts peers until the context ends.
func (n *Network) Run(ctx context.Context) {
	go func() {
		<-ctx.Done()
		_ = n.listener.Close()
		n.closeAll()
	}()
	for {
		raw, err := n.listener.Accept()
		if err != nil {
			return
		}
		go n.accept(ctx, raw)
	}
}

func (n *Network) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.incoming {
		c.close()
	}
	for _, l := range n.links {
		l.drop()
	}
}

func (n *Network) accept(ctx context.Context, raw net.Conn) {
	r, hello, err := n.id.shake(ctx, raw)
	if err == nil && n.cfg.Blocked(hello.Name) {
		err = ErrUnreachable
	}
	if err != nil {
		_ = raw.Close()
		n.handler.ConnectionRejected(raw.RemoteAddr().String(), err)
		return
	}
	c := newConn(raw, r, hello, &n.Traffic)
	n.mu.Lock()
	n.incoming[c] = true
	n.mu.Unlock()
	n.serve(ctx, c)
	n.mu.Lock()
	delete(n.incoming, c)
	n.mu.Unlock()
	n.handler.ConnectionClosed(hello, true)
}

func (n *Network) serve(ctx context.Context, c *conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.close()
	for {
		f, err := c.read(peer.MaxFrameBytes)
		if err != nil || n.cfg.Blocked(c.remote.Name) {
			return
		}
		select {
		case n.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-n.slots }()
			n.answer(ctx, c, f)
		}()
	}
}

func (n *Network) answer(ctx context.Context, c *conn, f *peer.Frame) {
	result, err := n.handler.Serve(ctx, c.remote, f.Kind, f.Body)
	if f.Call == 0 {
		return
	}
	reply := &peer.Frame{Kind: peer.KindReply, Call: f.Call}
	if err == nil {
		reply.Body, err = msgpack.Marshal(result)
	}
	if err != nil {
		reply.Err = err.Error()
	}
	// A closed connection tells the caller as much as an answer would.
	_ = c.send(reply)
}

// Call sends a message to a peer and waits for its answer; the error is ErrUnreachable, ErrFull, ErrClosed, ErrRemote or the context's.
func (n *Network) Call(ctx context.Context, name, address string, kind peer.Kind, msg, answer any) error {
	l := n.link(name)
	f, err := l.call(ctx, address, kind, msg)
	if err != nil {
		return fmt.Errorf("call %s: %w", name, err)
	}
	if f.Err != "" {
		return fmt.Errorf("call %s: %s: %w", name, f.Err, ErrRemote)
	}
	if err := msgpack.Unmarshal(f.Body, answer); err != nil {
		return fmt.Errorf("decode answer of %s: %w", name, err)
	}
	return nil
}

// Send sends a message that has no answer; the error is ErrUnreachable, ErrFull or ErrClosed.
func (n *Network) Send(ctx context.Context, name, address string, kind peer.Kind, msg any) error {
	if err := n.link(name).post(ctx, address, kind, msg); err != nil {
		return fmt.Errorf("send to %s: %w", name, err)
	}
	return nil
}

func (n *Network) link(name string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[name]
	if l == nil {
		l = &link{network: n, name: name, calls: make(map[uint64]chan *peer.Frame)}
		n.links[name] = l
	}
	return l
}

// link is the outgoing side towards one peer; it dials when needed.
type link struct {
	network *Network
	name    string

	dialing sync.Mutex
	mu      sync.Mutex
	conn    *conn
	address string
	failed  time.Time
	next    uint64
	calls   map[uint64]chan *peer.Frame
}

func (l *link) call(ctx context.Context, address string, kind peer.Kind, msg any) (*peer.Frame, error) {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	c, err := l.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	number, reply := l.open()
	defer l.forget(number)
	if err := c.send(&peer.Frame{Kind: kind, Call: number, Body: body}); err != nil {
		return nil, err
	}
	select {
	case f := <-reply:
		return f, nil
	case <-c.closed:
		return nil, ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *link) post(ctx context.Context, address string, kind peer.Kind, msg any) error {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	c, err := l.connect(ctx, address)
	if err != nil {
		return err
	}
	return c.send(&peer.Frame{Kind: kind, Body: body})
}

func (l *link) open() (uint64, chan *peer.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	reply := make(chan *peer.Frame, 1)
	l.calls[l.next] = reply
	return l.next, reply
}

func (l *link) forget(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, number)
}

// connect returns the open connection or dials; one caller dials while the others wait.
func (l *link) connect(ctx context.Context, address string) (*conn, error) {
	if l.network.cfg.Blocked(l.name) {
		l.drop()
		return nil, ErrUnreachable
	}
	if c := l.current(address); c != nil {
		return c, nil
	}
	l.dialing.Lock()
	defer l.dialing.Unlock()
	if c := l.current(address); c != nil {
		return c, nil
	}
	l.mu.Lock()
	resting := l.address == address && time.Since(l.failed) < redialPause
	l.mu.Unlock()
	if resting {
		return nil, ErrUnreachable
	}
	c, err := l.dial(ctx, address)
	if err != nil {
		l.mu.Lock()
		l.failed, l.address = time.Now(), address
		l.mu.Unlock()
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return c, nil
}

func (l *link) current(address string) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.address != address {
		return nil
	}
	select {
	case <-l.conn.closed:
		return nil
	default:
		return l.conn
	}
}

var errOtherName = errors.New("another instance answers at this address")

func (l *link) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	r, hello, err := l.network.id.shake(ctx, raw)
	if err == nil && hello.Name != l.name {
		err = errOtherName
	}
	if err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("handshake: %w", err)
	}
	c := newConn(raw, r, hello, &l.network.Traffic)
	l.mu.Lock()
	if l.conn != nil {
		l.conn.close()
	}
	l.conn, l.address = c, address
	l.mu.Unlock()
	go l.receive(c)
	return c, nil
}

func (l *link) receive(c *conn) {
	defer l.network.handler.ConnectionClosed(c.remote, false)
	defer c.close()
	for {
		f, err := c.read(peer.MaxFrameBytes)
		if err != nil {
			return
		}
		l.mu.Lock()
		reply := l.calls[f.Call]
		l.mu.Unlock()
		if reply == nil {
			continue
		}
		select {
		case reply <- f:
		default:
			// A second reply to one call is dropped.
		}
	}
}

func (l *link) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.close()
	}
}
