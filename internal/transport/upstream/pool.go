package upstream

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/state/clock"
)

// Errors of exchanges, matched with errors.Is.
var (
	// ErrNotSent says that no byte of a request went out.
	ErrNotSent = errors.New("request was not sent")
	// ErrIncomplete says that a request went out and its answer did not come whole; it may have run.
	ErrIncomplete = errors.New("exchange broke off")
	// ErrStrayResponse says that what came was not the answer to the request.
	ErrStrayResponse = errors.New("answer belongs to another request")
)

const (
	// dialTimeout is many times a round trip between zones; a lost opening packet is repeated after a second, which is better spent
	// at another endpoint.
	dialTimeout = 150 * time.Millisecond
	// idleLimit is how long a connection without a stated limit is kept; endpoints' own limits start at a few seconds.
	idleLimit = 3 * time.Second
	// idleMargin is kept from a stated limit, for the way there and for clocks that run apart.
	idleMargin = 700 * time.Millisecond
	// maxIdle is the most idle connections to one endpoint; more would hold places that other callers need.
	maxIdle = 8
	// keepAlivePeriod finds connections that have gone silent.
	keepAlivePeriod = 2 * time.Second
)

// Pool keeps idle connections by address.
type Pool struct {
	dialled func()

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool; dialled is called for each new connection.
func NewPool(dialled func()) *Pool {
	return &Pool{dialled: dialled, idle: make(map[string][]*conn)}
}

// take returns an idle connection that is still open, or dials.
func (p *Pool) take(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if clock.Now().Before(c.usable) && c.quiet() {
			return c, nil
		}
		c.close()
	}
	return p.dial(ctx, address)
}

// Probe opens a connection to an address and keeps it for the next request; the error is ErrNotSent.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return fmt.Errorf("check %s: %w", address, err)
	}
	p.put(c, clock.Now().Add(idleLimit))
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: 2}}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	p.dialled()
	return newConn(raw, address), nil
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection for the next request until an instant.
func (p *Pool) put(c *conn, usable clock.Instant) {
	c.usable = usable
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdle {
		c.close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes connections that have been idle for too long, and all to addresses that no endpoint has any more.
func (p *Pool) Sweep(now clock.Instant, used func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.usable) && used(address) {
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

// CloseIdle closes the idle connections to an address, as after a reset.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.close()
	}
	delete(p.idle, address)
}
