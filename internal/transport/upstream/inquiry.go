package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// inquiryTimeout is how long the answer to an inquiry may take. A sound endpoint may be silent for a second.
	inquiryTimeout = 1500 * time.Millisecond
	// maxInquiries is how many connections are tried: some endpoints close one after an answer now and then.
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
// it is sent once on each, and the request that follows reaches the same process or none.
type Inquiry struct {
	Target string
	Header http.Header
	// Match tells whether a response is the answer, and Read returns the process that it names.
	Match func(status int, h http.Header) Match
	Read  func(body io.Reader) (int64, error)
	// Process is the one that may get the request. It isn't zero.
	Process int64
}

// identified returns a connection that may carry a request, to the process that the inquiry names unless it is nil.
func (p *Pool) identified(ctx context.Context, address string, id uint64, q *Inquiry) (*conn, error) {
	for try := 1; ; try++ {
		c, err := p.get(ctx, address, id)
		if err != nil || q == nil {
			return c, err
		}
		if c.process == 0 {
			err = c.inquire(ctx, address, q)
		}
		if err == nil && c.process != q.Process {
			err = ErrOtherProcess
		}
		if err == nil {
			return c, nil
		}
		c.close()
		if try == maxInquiries || !errors.Is(err, errConnectionEnds) {
			return nil, fmt.Errorf("%w: %w: %w", ErrNotSent, ErrUnidentified, err)
		}
	}
}

// inquire finds out to which process a connection belongs.
func (c *conn) inquire(ctx context.Context, host string, q *Inquiry) error {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, c.close)
	c.exchanges++
	resp, err := c.roundTrip(&Request{Method: http.MethodGet, Target: q.Target, Host: host, Header: q.Header, Match: q.Match})
	if err != nil {
		stop()
		// What the error says of a request concerns the inquiry.
		return fmt.Errorf("inquire (%v)", err)
	}
	body := io.LimitReader(resp, maxInquiryBytes)
	process, err := q.Read(body)
	_, _ = io.Copy(io.Discard, body)
	switch {
	case !stop():
		return fmt.Errorf("inquire: %w", ctx.Err())
	case err != nil:
		return fmt.Errorf("inquire: %w", err)
	case !resp.complete || !resp.keepAlive || c.r.Buffered() > 0:
		return errConnectionEnds
	}
	c.process = process
	return nil
}
