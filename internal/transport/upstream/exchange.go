package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/state/clock"
)

// Request is one request as it goes to an endpoint; target is the raw path and query.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody says that the caller sent a body, if only an empty one.
	HasBody bool
	// Accepts reports whether an answer with this head belongs to the request; others are passed over.
	Accepts func(status int, h http.Header) bool
}

const (
	// maxForeign is the most answers passed over before the request's own: an extra one may arrive late.
	maxForeign = 2
	// maxForeignBytes is the most bytes read of an answer that is passed over.
	maxForeignBytes = 1 << 20
	// maxInterim is the most informational answers before the final one.
	maxInterim = 8
)

// Response is an answer whose head has come; its body is read from it, and Close ends the exchange.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 if it isn't known before its end.
	Length int64

	body    io.ReadCloser
	conn    *conn
	pool    *Pool
	stop    func() bool
	whole   bool
	reusing bool
}

// Send sends a request once and returns the head of its answer. The error is ErrNotSent or ErrBroken; when the context ends,
// the connection is closed, which stops the endpoint's work.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.take(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("send to %s: %w", address, err)
	}
	stop := context.AfterFunc(ctx, c.close)
	resp, err := c.exchange(r)
	if err != nil {
		stop()
		c.close()
		return nil, fmt.Errorf("send to %s: %w", address, err)
	}
	resp.pool, resp.stop = p, stop
	return resp, nil
}

func (c *conn) exchange(r *Request) (*Response, error) {
	if n, err := c.raw.Write(encode(r)); err != nil {
		if n == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	for foreign := 0; foreign <= maxForeign; foreign++ {
		resp, err := c.readFinal(r.Method) //nolint:bodyclose // Response.Close ends the exchange, body included.
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		if r.Accepts(resp.StatusCode, resp.Header) {
			return &Response{
				Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, body: resp.Body, conn: c,
				reusing: !resp.Close,
			}, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes))
		if err != nil || n == maxForeignBytes || resp.Close {
			break
		}
	}
	return nil, fmt.Errorf("%w: %w", ErrIncomplete, ErrStrayResponse)
}

func (c *conn) readFinal(method string) (*http.Response, error) {
	for range maxInterim {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		_ = resp.Body.Close()
	}
	return nil, errors.New("too many informational answers")
}

func encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + len(r.Target) + readBufferBytes/4)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	// A buffer takes every write.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Read reads the body; io.EOF says that it has come whole, and ErrBroken that it broke off.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		r.whole = true
		return n, io.EOF
	}
	return n, fmt.Errorf("%w: read body: %w", ErrIncomplete, err)
}

// Close ends the exchange: the connection is kept if the answer came whole and nothing came behind it.
func (r *Response) Close() {
	alive := r.stop()
	if !alive || !r.whole || !r.reusing || r.conn.r.Buffered() > 0 {
		r.conn.close()
		return
	}
	if limit := idleSpan(r.Header); limit > 0 {
		r.pool.put(r.conn, clock.Now().Add(limit))
		return
	}
	r.conn.close()
}

// idleSpan returns how long an endpoint lets a connection rest.
func idleSpan(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(time.Duration(seconds)*time.Second-idleMargin, 4*idleLimit)
		}
	}
	return idleLimit
}
