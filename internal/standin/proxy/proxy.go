package proxy

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Fault is what a proxy does to all its connections until the next fault is set; the zero value is none.
type Fault struct {
	// Delay is added to each block of bytes, each way.
	Delay time.Duration
	// HoldUp and HoldDown keep back bytes to and from the target, as a cut link does that heals later.
	HoldUp, HoldDown bool
	// Refuse resets new connections.
	Refuse bool
}

// Proxy relays connections from an address to a target.
type Proxy struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu     sync.Mutex
	fault  Fault
	closed bool
	conns  map[*net.TCPConn]bool
	// changed is closed when the fault changes or the proxy ends.
	changed chan struct{}
}

// Start relays from an address to a target until Close.
func Start(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("start proxy: %w", err)
	}
	p := &Proxy{listener: l, target: target, conns: make(map[*net.TCPConn]bool), changed: make(chan struct{})}
	p.wg.Go(p.accept)
	return p, nil
}

// SetFault replaces the fault.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.wake()
}

func (p *Proxy) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// StopListening refuses all new connections from now on, as an address without an endpoint does; open ones stay.
func (p *Proxy) StopListening() { _ = p.listener.Close() }

// Reset ends all open connections with a reset, each way.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.wake()
	p.mu.Unlock()
	p.Reset()
	p.wg.Wait()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		from, ok := c.(*net.TCPConn)
		if !ok || p.state().Refuse {
			abort(from)
			continue
		}
		p.wg.Go(func() { p.relay(from) })
	}
}

func (p *Proxy) state() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) relay(from *net.TCPConn) {
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(from)
		return
	}
	to, ok := c.(*net.TCPConn)
	if !ok || !p.track(from, to) {
		abort(from)
		abort(to)
		return
	}
	defer p.forget(from, to)
	var wg sync.WaitGroup
	wg.Go(func() { p.pump(to, from, func(f Fault) bool { return f.HoldUp }) })
	wg.Go(func() { p.pump(from, to, func(f Fault) bool { return f.HoldDown }) })
	wg.Wait()
}

func (p *Proxy) track(list ...*net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range list {
		p.conns[c] = true
	}
	return !p.closed
}

func (p *Proxy) forget(list ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range list {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// blockBytes is the most that is passed on at once.
const blockBytes = 16 << 10

// pump passes bytes and the end of the stream on; a connection that breaks ends the other way as well.
func (p *Proxy) pump(to, from *net.TCPConn, held func(Fault) bool) {
	buf := make([]byte, blockBytes)
	for {
		n, err := from.Read(buf)
		if !p.pass(held) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				abort(from)
				return
			}
		}
		if err != nil {
			// The end is passed on as an end, and a break as a break.
			if errors.Is(err, io.EOF) {
				_ = to.CloseWrite()
			} else {
				abort(to)
			}
			return
		}
	}
}

// pass waits until bytes may go on; false says that the proxy has ended.
func (p *Proxy) pass(held func(Fault) bool) bool {
	for {
		p.mu.Lock()
		f, changed, closed := p.fault, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case held(f):
			<-changed
		case f.Delay > 0:
			time.Sleep(f.Delay)
			return true
		default:
			return true
		}
	}
}

// abort closes a connection with a reset.
func abort(c *net.TCPConn) {
	if c == nil {
		return
	}
	_ = c.SetLinger(0)
	_ = c.Close()
}
