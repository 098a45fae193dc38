package upstream

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/state/clock"
)

// Errors that Pool and Response wrap; match them with errors.Is.
var (
	// ErrNotSent is returned when no byte of the request was sent.
	ErrNotSent = errors.New("request not sent")
	// ErrIncomplete is returned when the request was at least partly sent and no complete response arrived. The endpoint may have executed
	// it.
	ErrIncomplete = errors.New("no complete response")
	// ErrStrayResponse is returned when only responses to other requests arrived.
	ErrStrayResponse = errors.New("response belongs to another request")
)

const (
	// dialTimeout is many times the round trip between zones. TCP retransmits a lost SYN only after a second; trying another endpoint is
	// faster than waiting for that.
	dialTimeout = 150 * time.Millisecond
	// defaultIdleTimeout applies if the endpoint states no timeout. Endpoints' own idle timeouts start at a few seconds.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutMargin is subtracted from the endpoint's timeout to allow for network latency and clock drift.
	idleTimeoutMargin = 700 * time.Millisecond
	// maxIdlePerAddress limits the idle connections to one endpoint. More would use up connections that its other clients need.
	maxIdlePerAddress = 8
	// keepAlivePeriod is the TCP keep-alive interval, which detects dead connections.
	keepAlivePeriod = 2 * time.Second
)

// Pool holds idle connections by address.
type Pool struct {
	// Dial opens a connection; NewPool selects TCP with keep-alive probes.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	onDial func(address string, err error)
	// dialed numbers the connections.
	dialed    atomic.Uint64
	processes processes

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool that calls onDial after each dial with its error, except for those that their callers ended.
func NewPool(onDial func(address string, err error)) *Pool {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: 2}}
	return &Pool{Dial: dialer.DialContext, onDial: onDial, idle: make(map[string][]*conn), processes: processes{open: make(map[string]map[*conn]bool)}}
}

// get returns an idle connection that is still reusable and may carry a request, or dials a new one.
func (p *Pool) get(ctx context.Context, address string, id uint64) (*conn, error) {
	for {
		c := p.popIdle(address, id)
		if c == nil {
			break
		}
		if clock.Now().Before(c.usableUntil) && c.reusable() {
			return c, nil
		}
		c.close()
	}
	return p.dial(ctx, address)
}

// Probe dials an address and adds the connection to the pool. It always dials, so that success shows that the endpoint accepts connections
// now. Errors wrap ErrNotSent.
func (p *Pool) Probe(ctx context.Context, address string) error {
	return p.ProbeWithin(ctx, address, dialTimeout)
}

// ProbeWithin is Probe with another limit on the time that the dial takes.
func (p *Pool) ProbeWithin(ctx context.Context, address string, timeout time.Duration) error {
	c, err := p.dialWithin(ctx, address, timeout)
	if err != nil {
		return fmt.Errorf("probe %s: %w", address, err)
	}
	p.putIdle(c, clock.Now().Add(defaultIdleTimeout))
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	return p.dialWithin(ctx, address, dialTimeout)
}

func (p *Pool) dialWithin(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	raw, err := p.Dial(dialCtx, "tcp", address)
	if err == nil || ctx.Err() == nil {
		p.onDial(address, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c := newConn(raw, address, p.dialed.Add(1))
	c.onClose = p.processes.remove
	return c, nil
}

// popIdle removes and returns the connection used last of those that may carry a request, or nil if there is none.
func (p *Pool) popIdle(address string, id uint64) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if c.mayCarry(id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// putIdle adds a connection to the pool, or closes it if the pool already holds maxIdlePerAddress for its address.
func (p *Pool) putIdle(c *conn, until clock.Instant) {
	c.usableUntil = until
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerAddress {
		c.close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes connections whose idle timeout has expired or whose address no endpoint uses any more.
func (p *Pool) Sweep(now clock.Instant, inUse func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.usableUntil) && inUse(address) {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// CloseIdle closes the idle connections to an address, for example after a connection reset.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.close()
	}
	delete(p.idle, address)
}
