package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"gypsumvale/internal/state/clock"
)

// Request is a request to an endpoint. Target is the raw path and query.
type Request struct {
	// ID identifies the request in the responses to it.
	ID     string
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is true if the caller sent a body, even an empty one.
	HasBody bool
	// Inquiry, unless it is nil, finds out before the request which process of the endpoint its connection belongs to.
	Inquiry *Inquiry
	// Permit, unless it is nil, is called once a connection is open, directly before the request is written, whose header it may
	// set. After an error the request is not sent.
	Permit func() error
	// Match tells whether a response with this status and header belongs to the request.
	Match func(status int, h http.Header) Match
	// ConfirmEnd, unless it is nil, is called at the end of a body that has neither a length nor chunks: a process that is killed closes its
	// connections in the same way. After an error the body counts as cut short.
	ConfirmEnd func() error
	// Trace is set by Send, also if it returns an error.
	Trace Trace
}

// Match is whether a response belongs to a request.
type Match uint8

// Values of Match.
const (
	// MatchOther means that the response belongs to another request. It is skipped.
	MatchOther Match = iota
	// MatchUnknown means that the response doesn't tell. It is accepted only on a connection that has carried no other request, and if no
	// response to another one has arrived there.
	MatchUnknown
	// MatchOwn means that the response belongs to the request.
	MatchOwn
)

// Trace describes the connection that a request was sent on.
type Trace struct {
	// Connection numbers the process's connections to endpoints from one, and is zero if none was open.
	Connection uint64
	// Exchange is the number of requests that the connection has carried, this one included.
	Exchange int
	// Skipped is the number of responses to other requests that arrived before the request's own.
	Skipped int
}

const (
	// maxStrayResponses limits the responses skipped before the request's own. A late response to an earlier request may arrive first.
	maxStrayResponses = 2
	// maxStrayBytes limits the bytes read from a skipped response.
	maxStrayBytes = 1 << 20
	// maxInformational limits the informational (1xx) responses before the final one.
	maxInformational = 8
	// maxStatus is the highest status of a response.
	maxStatus = 599
)

var errInvalidStatus = errors.New("no status of a response")

// Response is a response whose head has been received. Read returns its body, and Close ends the exchange.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 if the head doesn't state it.
	Length int64
	// Framed is false if the body has neither a length nor chunks and ends with its connection.
	Framed bool

	body      io.ReadCloser
	conn      *conn
	pool      *Pool
	stopWatch func() bool
	// confirmEnd is nil if the body's end needs no confirmation, or has it.
	confirmEnd func() error
	complete   bool
	keepAlive  bool
}

// Send sends a request once and returns the head of its response. Errors wrap ErrNotSent or ErrIncomplete. When the context ends, the
// connection is closed, so that the endpoint stops working on the request.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	id := xxhash.Sum64String(r.ID)
	c, err := p.identified(ctx, address, id, r.Inquiry)
	if err != nil {
		return nil, fmt.Errorf("send to %s: %w", address, err)
	}
	if r.Permit != nil {
		if err := r.Permit(); err != nil {
			c.close()
			return nil, fmt.Errorf("send to %s: %w: %w", address, ErrNotSent, err)
		}
	}
	stop := context.AfterFunc(ctx, c.close)
	c.exchanges++
	c.carriedHead = c.carriedHead || r.Method == http.MethodHead
	c.carried = append(c.carried, id)
	r.Trace = Trace{Connection: c.number, Exchange: c.exchanges}
	resp, err := c.roundTrip(r)
	if err != nil {
		stop()
		c.close()
		return nil, fmt.Errorf("send to %s: %w", address, err)
	}
	resp.pool, resp.stopWatch = p, stop
	return resp, nil
}

func (c *conn) roundTrip(r *Request) (*Response, error) {
	if n, err := c.writeRequest(r); err != nil {
		if n == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	for stray := 0; stray <= maxStrayResponses; stray++ {
		resp, err := c.readFinalResponse(r.Method) //nolint:bodyclose // Response.Close ends the exchange, body included.
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		match := r.Match(resp.StatusCode, resp.Header)
		if match == MatchUnknown && (c.exchanges > 1 || stray > 0) {
			break
		}
		if match != MatchOther {
			return c.newResponse(r, resp), nil
		}
		if c.carriedHead {
			// Whether the skipped response has a body depends on the method of a request that isn't known.
			break
		}
		r.Trace.Skipped++
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
		if err != nil || n == maxStrayBytes || resp.Close {
			break
		}
	}
	return nil, fmt.Errorf("%w: %w", ErrIncomplete, ErrStrayResponse)
}

func (c *conn) newResponse(r *Request, resp *http.Response) *Response {
	out := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, body: resp.Body, conn: c, keepAlive: !resp.Close,
		Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody,
	}
	if !out.Framed {
		out.confirmEnd = r.ConfirmEnd
	}
	return out
}

func (c *conn) readFinalResponse(method string) (*http.Response, error) {
	c.limiter.start()
	defer c.limiter.stop()
	for range maxInformational {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
			return nil, fmt.Errorf("status %03d: %w", resp.StatusCode, errInvalidStatus)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		_ = resp.Body.Close()
	}
	return nil, errors.New("too many informational responses")
}

// maxCopiedBody is the longest body that is copied behind the head for one write. Longer ones are written from where they are, since copies of
// many large bodies would take as much memory again.
const maxCopiedBody = 16 << 10

func (c *conn) writeRequest(r *Request) (int64, error) {
	if len(r.Body) > maxCopiedBody {
		parts := net.Buffers{encodeHead(r, 0), r.Body}
		return parts.WriteTo(c.raw) //nolint:wrapcheck // The caller wraps it.
	}
	n, err := c.raw.Write(append(encodeHead(r, len(r.Body)), r.Body...))
	return int64(n), err //nolint:wrapcheck // The caller wraps it.
}

// encodeHead encodes the head of a request, with room behind it.
func encodeHead(r *Request, room int) []byte {
	var b bytes.Buffer
	b.Grow(room + len(r.Target) + readBufferBytes/4)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	// Writes to a bytes.Buffer never fail.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// Read reads the body. It returns io.EOF at the end of a complete body, and an error that wraps ErrIncomplete if the body is cut short.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && n > 0 && r.confirmEnd != nil:
		// These bytes needn't wait for the confirmation.
		return n, nil
	case errors.Is(err, io.EOF):
		if err := r.confirm(); err != nil {
			return n, err
		}
		r.complete = true
		return n, io.EOF
	}
	return n, fmt.Errorf("%w: read body: %w", ErrIncomplete, err)
}

func (r *Response) confirm() error {
	if r.confirmEnd == nil {
		return nil
	}
	if err := r.confirmEnd(); err != nil {
		// The cause isn't wrapped: it may be that another request wasn't sent.
		return fmt.Errorf("%w: body ends with its connection (%v)", ErrIncomplete, err)
	}
	r.confirmEnd = nil
	return nil
}

// Close ends the exchange. The connection is returned to the pool only if the response is complete, no data follows it, and it may carry further
// requests.
func (r *Response) Close() {
	active := r.stopWatch()
	if !active || !r.complete || !r.keepAlive || r.conn.r.Buffered() > 0 || r.conn.exchanges >= maxExchanges {
		r.conn.close()
		return
	}
	if timeout := idleTimeout(r.Header); timeout > 0 {
		r.pool.putIdle(r.conn, clock.Now().Add(timeout))
		return
	}
	r.conn.close()
}

// idleTimeout returns how long a connection may stay idle, from the endpoint's Keep-Alive header if there is one.
func idleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(time.Duration(seconds)*time.Second-idleTimeoutMargin, 4*defaultIdleTimeout)
		}
	}
	return defaultIdleTimeout
}
