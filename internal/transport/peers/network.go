package peers

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/duty"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/transport/intake"
)

// Handler handles messages from peers and events of connections.
type Handler interface {
	// Serve handles a message and returns the reply. The context ends when the sender's connection closes, after which a process may have
	// another connection open.
	Serve(ctx context.Context, from peer.Hello, kind peer.Kind, body []byte) (any, error)
	// ConnectionClosed is called after a connection with a peer has closed. incoming is true if the peer had dialled it, to send its own
	// messages.
	ConnectionClosed(from peer.Hello, incoming bool)
	// ConnectionRejected is called after an incoming connection was rejected.
	ConnectionRejected(address string, err error)
}

// Config identifies this process and determines which peers it accepts.
type Config struct {
	Name        string
	Incarnation string
	Address     string
	Secret      []byte
	// Blocked reports whether traffic with the named peer is blocked, for partition tests. If nil, no peer is blocked.
	Blocked func(name string) bool
	// CountFrame is called with the length of a large frame before it is handled, and with that of a slice when it has arrived, and with the
	// negative length after. If nil, frames aren't counted.
	CountFrame func(n int64)
	// Observer is told of large frames and of connections that have ended. If nil, nobody is.
	Observer Observer
}

// minCountedFrame is the shortest frame that is counted: those of placements are shorter, and far more frequent.
const minCountedFrame = 4 << 10

const (
	dialTimeout = time.Second
	// redialDelay is the minimum time between a failed attempt to connect to an address and the next one.
	redialDelay        = 300 * time.Millisecond
	maxConcurrentCalls = 8192
)

// NewIncarnation returns a unique name for one run of the named process.
func NewIncarnation(name string) string {
	const randomBytes = 6
	b := make([]byte, randomBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b)
	return name + "#" + hex.EncodeToString(b)
}

// Network sends messages over one outgoing connection for each peer, and serves incoming connections.
type Network struct {
	cfg     Config
	id      identity
	handler Handler
	// Traffic counts the bytes and frames of all connections.
	Traffic Traffic

	mu        sync.Mutex
	clients   map[string]*peerClient
	incoming  map[*conn]bool
	listener  net.Listener
	callSlots chan struct{}
	// accepted is the number of the last incoming connection.
	accepted atomic.Uint64
	// closed is true once all connections have been closed for good.
	closed atomic.Bool
}

// New returns a network. Listen and then Run start it.
func New(cfg Config, h Handler) *Network {
	if cfg.Blocked == nil {
		cfg.Blocked = func(string) bool { return false }
	}
	if cfg.CountFrame == nil {
		cfg.CountFrame = func(int64) {}
	}
	if cfg.Observer == nil {
		cfg.Observer = silent{}
	}
	return &Network{
		cfg:       cfg,
		id:        identity{name: cfg.Name, incarnation: cfg.Incarnation, secret: cfg.Secret},
		handler:   h,
		clients:   make(map[string]*peerClient),
		incoming:  make(map[*conn]bool),
		callSlots: make(chan struct{}, maxConcurrentCalls),
	}
}

// Listen opens the listener and returns its address.
func (n *Network) Listen() (string, error) {
	listener, err := net.Listen("tcp", n.cfg.Address)
	if err != nil {
		return "", fmt.Errorf("listen for peers: %w", err)
	}
	n.listener = listener
	return listener.Addr().String(), nil
}

// Run accepts connections from peers until the context ends. Then it closes the listener and all connections before it returns.
func (n *Network) Run(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.acceptAll(ctx)
	}()
	<-ctx.Done()
	_ = n.listener.Close()
	<-ended
	n.closeAll()
}

func (n *Network) acceptAll(ctx context.Context) {
	for {
		reported := false
		raw, err := intake.Accept(n.listener, func(err error) {
			if !reported {
				reported = true
				n.handler.ConnectionRejected(n.cfg.Address, fmt.Errorf("accept: %w", err))
			}
		})
		if err != nil {
			return
		}
		go n.accept(ctx, raw)
	}
}

func (n *Network) closeAll() {
	n.closed.Store(true)
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.incoming {
		c.close(errStopped)
	}
	for _, p := range n.clients {
		p.disconnect(errStopped)
	}
}

// Causes for which this side closes a connection.
var (
	errStopped    = errors.New("this instance stops")
	errBlocked    = errors.New("traffic with the peer is blocked")
	errSuperseded = errors.New("another connection to the peer was opened")
)

func (n *Network) accept(ctx context.Context, raw net.Conn) {
	r, remote, err := n.id.handshake(ctx, raw)
	if err == nil && n.cfg.Blocked(remote.Name) {
		err = ErrUnreachable
	}
	if err != nil {
		_ = raw.Close()
		n.handler.ConnectionRejected(raw.RemoteAddr().String(), err)
		return
	}
	remote.Connection = n.accepted.Add(1)
	c := newConn(raw, r, remote, n)
	n.mu.Lock()
	n.incoming[c] = true
	n.mu.Unlock()
	n.serve(ctx, c)
	n.mu.Lock()
	delete(n.incoming, c)
	n.mu.Unlock()
	n.cfg.Observer.ConnectionEnded(remote, true, c.cause)
	n.handler.ConnectionClosed(remote, true)
}

func (n *Network) serve(ctx context.Context, c *conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.releaseSlices()
	for {
		a, err := c.read(peer.MaxFrameBytes)
		if err == nil && n.cfg.Blocked(c.remote.Name) {
			err = errBlocked
		}
		if err != nil {
			c.close(err)
			return
		}
		select {
		case n.callSlots <- struct{}{}:
		case <-ctx.Done():
			c.close(errStopped)
			return
		}
		go func() {
			defer func() { <-n.callSlots }()
			f, err := a.decode()
			if err != nil {
				c.close(fmt.Errorf("read from %s: %w", c.remote.Name, err))
				return
			}
			if size := int64(len(f.Body)); size >= minCountedFrame {
				n.cfg.CountFrame(size)
				defer n.cfg.CountFrame(-size)
			}
			n.handleFrame(ctx, c, f)
		}()
	}
}

func (n *Network) handleFrame(ctx context.Context, c *conn, f *peer.Frame) {
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
	err = c.send(reply)
	if err == nil || errors.Is(err, ErrClosed) {
		return
	}
	n.cfg.Observer.FrameSent(FrameReport{Peer: c.remote.Name, Kind: reply.Kind, Bytes: len(reply.Body), Err: err})
	if errors.Is(err, peer.ErrFrame) {
		// The reply is too large. If this one can't be sent either, the caller runs into its own timeout.
		_ = c.send(&peer.Frame{Kind: peer.KindReply, Call: f.Call, Err: err.Error()})
	}
}

// Call sends a message to a peer and waits for the reply, which it decodes into reply. Errors wrap ErrUnreachable, ErrFull, ErrClosed,
// ErrRemote or the context's error.
func (n *Network) Call(ctx context.Context, name, address string, kind peer.Kind, msg, reply any) error {
	p := n.client(name)
	f, err := p.call(ctx, address, kind, msg)
	if err != nil {
		return fmt.Errorf("call %s: %w", name, err)
	}
	if f.Err != "" {
		return fmt.Errorf("call %s: %s: %w", name, f.Err, ErrRemote)
	}
	if err := msgpack.Unmarshal(f.Body, reply); err != nil {
		return fmt.Errorf("decode reply of %s: %w", name, err)
	}
	return nil
}

// Connect opens a connection to a peer, so that a later message need not wait for one. Errors wrap ErrUnreachable.
func (n *Network) Connect(ctx context.Context, name, address string) error {
	if _, err := n.client(name).connect(ctx, address); err != nil {
		return fmt.Errorf("connect to %s: %w", name, err)
	}
	return nil
}

// Send sends a message that has no reply. Errors wrap ErrUnreachable, ErrFull or ErrClosed.
func (n *Network) Send(ctx context.Context, name, address string, kind peer.Kind, msg any) error {
	if err := n.client(name).send(ctx, address, kind, msg); err != nil {
		return fmt.Errorf("send to %s: %w", name, err)
	}
	return nil
}

// SendNow sends a message that has no reply if a connection to the peer is open. Errors wrap ErrUnreachable, ErrFull or ErrClosed.
func (n *Network) SendNow(name, address string, kind peer.Kind, msg any) error {
	if err := n.client(name).sendNow(address, kind, msg); err != nil {
		return fmt.Errorf("send to %s: %w", name, err)
	}
	return nil
}

// Connections returns the number of open connections in both directions.
func (n *Network) Connections() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := len(n.incoming)
	for _, p := range n.clients {
		if p.connected() {
			count++
		}
	}
	return count
}

func (n *Network) client(name string) *peerClient {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.clients[name]
	if p == nil {
		p = &peerClient{network: n, name: name, pending: make(map[uint64]pendingCall)}
		n.clients[name] = p
	}
	return p
}

// peerClient sends messages to one peer. It dials on demand.
type peerClient struct {
	network *Network
	name    string

	mu      sync.Mutex
	conn    *conn
	address string
	// dialing is closed when the dial in progress has ended; nil means that there is none. dialErr is the error of the last dial.
	dialing  chan struct{}
	dialErr  error
	failedAt time.Time
	lastCall uint64
	pending  map[uint64]pendingCall
}

// pendingCall is a call that waits for its reply, with the context that ends it.
type pendingCall struct {
	ctx   context.Context
	reply chan *peer.Frame
}

func (p *peerClient) call(ctx context.Context, address string, kind peer.Kind, msg any) (*peer.Frame, error) {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	c, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	number, reply := p.registerCall(ctx)
	defer p.removeCall(number)
	if err := c.send(&peer.Frame{Kind: kind, Call: number, Body: body}); err != nil {
		return nil, err
	}
	select {
	case f := <-reply:
		return f, nil
	case <-c.closed:
		return nil, ErrClosed
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

func (p *peerClient) send(ctx context.Context, address string, kind peer.Kind, msg any) error {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	c, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	return c.send(&peer.Frame{Kind: kind, Body: body})
}

func (p *peerClient) sendNow(address string, kind peer.Kind, msg any) error {
	c := p.openConn(address)
	if c == nil || p.network.cfg.Blocked(p.name) {
		return ErrUnreachable
	}
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	return c.send(&peer.Frame{Kind: kind, Body: body})
}

func (p *peerClient) registerCall(ctx context.Context) (uint64, chan *peer.Frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastCall++
	reply := make(chan *peer.Frame, 1)
	p.pending[p.lastCall] = pendingCall{ctx, reply}
	return p.lastCall, reply
}

func (p *peerClient) removeCall(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, number)
}

// connect returns the open connection or waits for a new one until the context ends.
//
// A dial goes on after its caller has given up: when all instances connect to a new leader at once, the handshake takes longer than a call
// may, and dials that were given up and repeated would keep the leader from completing any.
func (p *peerClient) connect(ctx context.Context, address string) (*conn, error) {
	if p.network.cfg.Blocked(p.name) {
		p.disconnect(errBlocked)
		return nil, ErrUnreachable
	}
	if c := p.openConn(address); c != nil {
		return c, nil
	}
	done := p.startDial(address)
	if done == nil {
		return nil, ErrUnreachable
	}
	select {
	case <-done:
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, ctx.Err())
	}
	if c := p.openConn(address); c != nil {
		return c, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return nil, fmt.Errorf("%w: %w", ErrUnreachable, p.dialErr)
}

// startDial returns a channel that is closed when the dial in progress has ended, and starts one if there is none. It returns nil during the
// pause after a failure.
func (p *peerClient) startDial(address string) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialing != nil {
		return p.dialing
	}
	if p.address == address && time.Since(p.failedAt) < redialDelay {
		return nil
	}
	done := make(chan struct{})
	p.dialing = done
	go func() {
		defer close(done)
		err := p.dial(address)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dialing, p.dialErr = nil, errDialSuperseded
		if err != nil {
			p.failedAt, p.address, p.dialErr = time.Now(), address, err
		}
	}()
	return done
}

func (p *peerClient) openConn(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != address || !p.connectedLocked() {
		return nil
	}
	return p.conn
}

// connected reports whether a connection to the peer is open.
func (p *peerClient) connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectedLocked()
}

// connectedLocked is connected for a caller that holds the lock.
func (p *peerClient) connectedLocked() bool {
	if p.conn == nil {
		return false
	}
	select {
	case <-p.conn.closed:
		return false
	default:
		return true
	}
}

var errNameMismatch = errors.New("an instance with another name answered at this address")

// errDialSuperseded is returned to a caller whose address is another than that of the dial it waited for.
var errDialSuperseded = errors.New("the instance was dialled at another address")

func (p *peerClient) dial(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	r, remote, err := p.network.id.handshake(ctx, raw)
	if err == nil && remote.Name != p.name {
		err = errNameMismatch
	}
	if err != nil {
		_ = raw.Close()
		return fmt.Errorf("handshake: %w", err)
	}
	c := newConn(raw, r, remote, p.network)
	c.answerProgress = p.recordProgress
	p.mu.Lock()
	if p.conn != nil {
		p.conn.close(errSuperseded)
	}
	p.conn, p.address = c, address
	p.mu.Unlock()
	if p.network.closed.Load() {
		c.close(errStopped)
	}
	go p.readReplies(c)
	return nil
}

func (p *peerClient) readReplies(c *conn) {
	defer func() {
		c.releaseSlices()
		p.network.cfg.Observer.ConnectionEnded(c.remote, false, c.cause)
		p.network.handler.ConnectionClosed(c.remote, false)
	}()
	for {
		a, err := c.read(peer.MaxFrameBytes)
		if err != nil {
			c.close(err)
			return
		}
		switch {
		case a.frame != nil:
			p.deliver(a.frame)
		case p.waits(a.answers):
			go func() {
				f, err := a.decode()
				if err != nil {
					c.close(fmt.Errorf("read from %s: %w", c.remote.Name, err))
					return
				}
				p.deliver(f)
			}()
		}
	}
}

// deliver passes a reply to its call.
func (p *peerClient) deliver(f *peer.Frame) {
	p.mu.Lock()
	call, waits := p.pending[f.Call]
	p.mu.Unlock()
	if !waits {
		return
	}
	select {
	case call.reply <- f:
	default:
		// A second reply to the same call is discarded.
	}
}

// waits reports whether a call waits for its reply.
func (p *peerClient) waits(number uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, waits := p.pending[number]
	return waits
}

// recordProgress records that n bytes of the reply to a call have arrived.
func (p *peerClient) recordProgress(number uint64, n int) {
	p.mu.Lock()
	call, waits := p.pending[number]
	p.mu.Unlock()
	if waits {
		duty.RecordProgress(call.ctx, n)
	}
}

// disconnect closes the connection to the peer, if there is one, for a cause.
func (p *peerClient) disconnect(cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.close(cause)
	}
}
