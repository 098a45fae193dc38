package upstream

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/state/clock"
)

const (
	// inquiryTimeout is how long the answer to an inquiry may take. A sound endpoint may be silent for a second.
	inquiryTimeout = 1500 * time.Millisecond
	// maxInquiries is how many connections are tried: endpoints close one after an answer now and then, and those that were idle for a while.
	maxInquiries = 2
	// maxInquiryBytes limits the body of the answer.
	maxInquiryBytes = 64 << 10
)

// ErrUnidentified is wrapped, beside ErrNotSent, if the inquiry before a request has failed.
var ErrUnidentified = errors.New("endpoint not identified")

var errConnectionEnds = errors.New("connection ends after the answer to the inquiry")

// ErrOtherProcess is wrapped, beside ErrUnidentified, if another process has answered than the request is meant for.
var ErrOtherProcess = errors.New("another process has answered")

// Inquiry is a call that an endpoint answers at once, by which it tells which of its processes it is. A connection belongs to one process, so that
// the request that follows reaches the same process or none. An inquiry is sent only on a connection whose process isn't known.
type Inquiry struct {
	Target string
	Header http.Header
	// Match tells whether a response is the answer, and Read returns the process that it names.
	Match func(status int, h http.Header) Match
	Read  func(body io.Reader) (int64, error)
	// Process is the one that may get the request. It isn't zero.
	Process int64
}

// signOfLifeAge is how old the last bytes on a connection may be for its process to be known to run: one whose host has lost power leaves connections
// open, but isn't back that soon.
const signOfLifeAge = time.Second

// processes holds the open connections whose process is known, by address.
type processes struct {
	mu   sync.Mutex
	open map[string]map[*conn]bool
}

func (p *processes) add(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[c.address] == nil {
		p.open[c.address] = make(map[*conn]bool)
	}
	p.open[c.address][c] = true
}

func (p *processes) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open[c.address], c)
	if len(p.open[c.address]) == 0 {
		delete(p.open, c.address)
	}
}

// beside returns the process of an open connection if another one to its address tells, or zero: both belong to the process that listens there.
func (p *processes) beside(c *conn) int64 {
	p.mu.Lock()
	others := slices.Collect(maps.Keys(p.open[c.address]))
	p.mu.Unlock()
	since := clock.Now().Add(-signOfLifeAge)
	for _, other := range others {
		if !other.limiter.lastRead().Before(since) && other.open() {
			return other.process
		}
	}
	return 0
}

// identified returns a connection that may carry a request, to the process that the inquiry names unless it is nil.
func (p *Pool) identified(ctx context.Context, address string, id uint64, q *Inquiry) (*conn, error) {
	for try := 1; ; try++ {
		c, err := p.get(ctx, address, id)
		if err != nil || q == nil {
			return c, err
		}
		if c.process != 0 && c.process != q.Process {
			// It may belong to a process that is gone.
			c.close()
			try--
			continue
		}
		reused := c.exchanges > 0
		if err = p.identify(ctx, c, q); err == nil {
			return c, nil
		}
		c.close()
		if again := reused || errors.Is(err, errConnectionEnds); !again || try == maxInquiries || errors.Is(err, ErrOtherProcess) {
			return nil, fmt.Errorf("%w: %w: %w", ErrNotSent, ErrUnidentified, err)
		}
	}
}

// identify finds out to which process a connection belongs. The error wraps ErrOtherProcess if it isn't the one that the inquiry names.
func (p *Pool) identify(ctx context.Context, c *conn, q *Inquiry) error {
	if c.process != 0 {
		return nil
	}
	process := p.processes.beside(c)
	if process == 0 {
		var err error
		if process, err = c.inquire(ctx, q); err != nil {
			return err
		}
	}
	if process != q.Process {
		return ErrOtherProcess
	}
	c.process = process
	p.processes.add(c)
	return nil
}

// inquire sends an inquiry and returns the process that has answered.
func (c *conn) inquire(ctx context.Context, q *Inquiry) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, c.close)
	c.exchanges++
	resp, err := c.roundTrip(&Request{Method: http.MethodGet, Target: q.Target, Host: c.address, Header: q.Header, Match: q.Match})
	if err != nil {
		stop()
		// What the error says of a request concerns the inquiry.
		return 0, fmt.Errorf("inquire (%v)", err)
	}
	body := io.LimitReader(resp, maxInquiryBytes)
	process, err := q.Read(body)
	_, _ = io.Copy(io.Discard, body)
	switch {
	case !stop():
		return 0, fmt.Errorf("inquire: %w", ctx.Err())
	case err != nil:
		return 0, fmt.Errorf("inquire: %w", err)
	case !resp.complete || !resp.keepAlive || c.r.Buffered() > 0:
		return 0, errConnectionEnds
	}
	return process, nil
}
