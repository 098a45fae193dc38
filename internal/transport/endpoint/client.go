package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/protocol/engine"
	"gypsumvale/internal/transport/agent"
)

// Errors of calls, matched with errors.Is.
var (
	// ErrNotStarted says that the endpoint can't have begun the work.
	ErrNotStarted = errors.New("endpoint did not start the work")
	// ErrBusy says that the endpoint refused the work since it is full; it did not start.
	ErrBusy = errors.New("endpoint is full")
	// ErrVersionMismatch says that the endpoint runs another weight version; it did not start.
	ErrVersionMismatch = errors.New("endpoint runs another weight version")
	// ErrIncomplete says that the answer ended early; the work may have run.
	ErrIncomplete = errors.New("answer broke off")
	// ErrFenced says that the endpoint refused an order with an old number.
	ErrFenced = errors.New("order has an old fencing number")
)

const (
	dialTimeout    = 500 * time.Millisecond
	statusTimeout  = 400 * time.Millisecond
	maxIdlePerHost = 64
	maxAnswerBytes = 16 << 20
	lineBytes      = 64 << 10
)

// Client calls endpoints.
type Client struct {
	pooled *http.Client
	single *http.Client
}

// New returns a client for the instance with a name.
func New(name string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	pooled := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerHost, DisableCompression: true}
	// The library repeats a request by itself when a kept connection turns out to be closed, and takes an
	// Idempotency-Key for leave to do so. It never does on a fresh connection, so work that may run only once gets one.
	single := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &Client{
		pooled: &http.Client{Transport: &agent.Transport{Name: name, Base: pooled}},
		single: &http.Client{Transport: &agent.Transport{Name: name, Base: single}, CheckRedirect: noRedirect},
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Generate runs one attempt at an engine and passes each chunk on; an error of take ends it.
func (c *Client) Generate(ctx context.Context, address string, r *engine.Request, take func(*engine.Chunk) error) error {
	resp, err := c.post(ctx, address, "/generate", r)
	if err != nil {
		return fmt.Errorf("generate at %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := statusError(resp.StatusCode); err != nil {
		return fmt.Errorf("generate at %s: %w", address, err)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, lineBytes), maxAnswerBytes)
	for lines.Scan() {
		var chunk engine.Chunk
		if err := json.Unmarshal(lines.Bytes(), &chunk); err != nil {
			return fmt.Errorf("read chunk from %s (%v): %w", address, err, ErrIncomplete)
		}
		if err := take(&chunk); err != nil {
			return err
		}
	}
	return fmt.Errorf("answer of %s ended (%v): %w", address, lines.Err(), ErrIncomplete)
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		return ErrBusy
	case http.StatusConflict:
		return ErrVersionMismatch
	}
	return fmt.Errorf("status %d: %w", status, ErrIncomplete)
}

func (c *Client) post(ctx context.Context, address, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.pooled.Do(req)
	if err != nil {
		return nil, classify(err)
	}
	return resp, nil
}

// classify tells a call that never left from one that may have run.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotStarted, err)
	}
	return fmt.Errorf("%w: %w", ErrIncomplete, err)
}

// Call is one call to a plain service.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// AtMostOnce says that the call may not be repeated.
	AtMostOnce bool
}

// Result is a plain service's whole answer.
type Result struct {
	Status int
	Type   string
	Body   []byte
}

// Do makes a call; ErrNotStarted means that it had no effect, and ErrBroken that it may have had one.
func (c *Client) Do(ctx context.Context, address string, call *Call) (*Result, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fmt.Errorf("make request (%v): %w", err, ErrNotStarted)
	}
	req.Header = call.Header
	client := c.pooled
	if call.AtMostOnce {
		client = c.single
		req.GetBody = nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", address, classify(err))
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		return nil, fmt.Errorf("read answer of %s (%v): %w", address, err, ErrIncomplete)
	}
	return &Result{Status: resp.StatusCode, Type: resp.Header.Get("Content-Type"), Body: body}, nil
}

// Load reads an engine's load report.
func (c *Client) Load(ctx context.Context, address string) (engine.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var load engine.Load
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return load, fmt.Errorf("read load: %w", err)
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		return load, fmt.Errorf("read load: %w", classify(err))
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&load); err != nil {
		return load, fmt.Errorf("read load of %s: %w", address, err)
	}
	return load, nil
}

// Events reads an engine's cache events after a number.
func (c *Client) Events(ctx context.Context, address string, after uint64) ([]engine.CacheEvent, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/events?after="+strconv.FormatUint(after, 10), nil)
	if err != nil {
		return nil, fmt.Errorf("read cache events: %w", err)
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read cache events: %w", classify(err))
	}
	defer func() { _ = resp.Body.Close() }()
	var events []engine.CacheEvent
	if err := json.NewDecoder(resp.Body).Decode(&events); err != nil {
		return nil, fmt.Errorf("read cache events of %s: %w", address, err)
	}
	return events, nil
}

// Crashed reports whether an engine's process is known to have ended since it had a life.
//
// Either nothing listens on an instance that answers, or the engine has another life. A time-out says nothing, since a
// cut network looks the same; nor does an unknown life.
func (c *Client) Crashed(ctx context.Context, address, life string) bool {
	load, err := c.Load(ctx, address)
	if err == nil {
		return life != "" && load.RunID != life
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
}

// SendOrder tells an engine to load a weight version; the error is ErrFenced, ErrNotStarted or ErrBroken.
func (c *Client) SendOrder(ctx context.Context, address string, o engine.Order) error {
	resp, err := c.post(ctx, address, "/order", o)
	if err != nil {
		return fmt.Errorf("order %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusPreconditionFailed {
		return fmt.Errorf("order %s: %w", address, ErrFenced)
	}
	return statusError(resp.StatusCode)
}

// Export tells an engine to write pieces to a store in the background.
func (c *Client) Export(ctx context.Context, address string, e engine.Export) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	resp, err := c.post(ctx, address, "/export", e)
	if err != nil {
		return fmt.Errorf("export from %s: %w", address, err)
	}
	return resp.Body.Close()
}
