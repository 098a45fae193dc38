package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Fault selects the faults that a proxy applies to all its connections until the next one is set. The zero value disables all faults.
type Fault struct {
	// Delay is added to each block of up to maxBlockBytes, in both directions.
	Delay time.Duration
	// HoldUp and HoldDown stall the bytes to and from the target. Once cleared, the bytes are delivered, as after a link that was
	// interrupted recovers.
	HoldUp, HoldDown bool
	// Refuse accepts new connections and resets them at once.
	Refuse bool
	// HoldFrom stalls, in both directions, the connections of clients whose first bytes contain one of these names, so that a target can be
	// unreachable for some of its clients.
	HoldFrom []string
	// BytesPerSecond makes all connections share a link of that bandwidth, for both directions together; zero doesn't limit it. Connections that
	// are opened meanwhile buffer no more than a few blocks.
	BytesPerSecond int
}

// holds reports whether a client's connections are stalled, given the first bytes that it sent.
func (f Fault) holds(hello []byte) bool {
	for _, name := range f.HoldFrom {
		if bytes.Contains(hello, []byte(name)) {
			return true
		}
	}
	return false
}

// Proxy forwards TCP connections to a target.
type Proxy struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu     sync.Mutex
	fault  Fault
	closed bool
	conns  map[*net.TCPConn]bool
	// changed is closed when the fault changes or the proxy is closed.
	changed chan struct{}
	// linkFreeAt is when the link with limited bandwidth has sent what was forwarded.
	linkFreeAt time.Time
}

// Start listens on an address and forwards connections to a target until Close.
func Start(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("start proxy: %w", err)
	}
	p := &Proxy{listener: l, target: target, conns: make(map[*net.TCPConn]bool), changed: make(chan struct{})}
	p.wg.Go(p.accept)
	return p, nil
}

// SetFault replaces the simulated faults.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.notifyPumps()
}

func (p *Proxy) notifyPumps() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// StopListening stops listening, so that new connections are refused as if no endpoint had the address. Open connections stay.
func (p *Proxy) StopListening() { _ = p.listener.Close() }

// Reset aborts all open connections with a TCP reset to both sides.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.notifyPumps()
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
		client, ok := c.(*net.TCPConn)
		if !ok || p.currentFault().Refuse {
			resetConn(client)
			continue
		}
		p.wg.Go(func() { p.relay(client) })
	}
}

func (p *Proxy) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) relay(client *net.TCPConn) {
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(client)
		return
	}
	target, ok := c.(*net.TCPConn)
	if ok && p.currentFault().BytesPerSecond > 0 {
		_ = client.SetReadBuffer(maxBlockBytes)
		_ = target.SetReadBuffer(maxBlockBytes)
	}
	if !ok || !p.track(client, target) {
		resetConn(client)
		resetConn(target)
		return
	}
	defer p.closeConns(client, target)
	var wg sync.WaitGroup
	var hello atomic.Pointer[[]byte]
	holds := func(f Fault) bool {
		first := hello.Load()
		return first != nil && f.holds(*first)
	}
	wg.Go(func() {
		p.copyOneWay(target, client, func(block []byte, f Fault) bool {
			if hello.Load() == nil {
				first := bytes.Clone(block)
				hello.Store(&first)
			}
			return f.HoldUp || holds(f)
		})
	})
	wg.Go(func() { p.copyOneWay(client, target, func(_ []byte, f Fault) bool { return f.HoldDown || holds(f) }) })
	wg.Wait()
}

func (p *Proxy) track(conns ...*net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
	return !p.closed
}

func (p *Proxy) closeConns(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// maxBlockBytes is the maximum number of bytes that are forwarded at once.
const maxBlockBytes = 16 << 10

// copyOneWay forwards bytes in one direction until the stream ends, each block once held is false for it. An error on either connection resets
// the other one.
func (p *Proxy) copyOneWay(to, from *net.TCPConn, held func(block []byte, f Fault) bool) {
	buf := make([]byte, maxBlockBytes)
	for {
		n, err := from.Read(buf)
		if !p.waitToForward(func(f Fault) bool { return held(buf[:n], f) }) {
			return
		}
		if n > 0 {
			time.Sleep(p.linkDelay(n))
			if _, err := to.Write(buf[:n]); err != nil {
				resetConn(from)
				return
			}
		}
		if err != nil {
			// Forwards an orderly end as such, and an error as a reset.
			if errors.Is(err, io.EOF) {
				_ = to.CloseWrite()
			} else {
				resetConn(to)
			}
			return
		}
	}
}

// linkDelay returns the time until a link with limited bandwidth has sent n bytes after those before them.
func (p *Proxy) linkDelay(n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.BytesPerSecond == 0 {
		return 0
	}
	now := time.Now()
	if p.linkFreeAt.Before(now) {
		p.linkFreeAt = now
	}
	p.linkFreeAt = p.linkFreeAt.Add(time.Duration(n) * time.Second / time.Duration(p.fault.BytesPerSecond))
	return p.linkFreeAt.Sub(now)
}

// waitToForward waits until bytes may be forwarded. It returns false if the proxy has been closed.
func (p *Proxy) waitToForward(held func(Fault) bool) bool {
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

// resetConn closes a connection with a TCP reset.
func resetConn(c *net.TCPConn) {
	if c == nil {
		return
	}
	_ = c.SetLinger(0)
	_ = c.Close()
}
