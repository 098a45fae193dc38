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

// Errors that calls wrap; match them with errors.Is.
var (
	// ErrNotStarted is returned when the request can't have reached the endpoint, so that it did not start the work.
	ErrNotStarted = errors.New("endpoint did not start the work")
	// ErrBusy is returned when the endpoint rejected the work because it is full. It did not start the work.
	ErrBusy = errors.New("endpoint is full")
	// ErrVersionMismatch is returned when the endpoint runs another weight version. It did not start the work.
	ErrVersionMismatch = errors.New("endpoint runs another weight version")
	// ErrIncomplete is returned when no complete response arrived. The endpoint may have done the work.
	ErrIncomplete = errors.New("no complete response")
	// ErrFenced is returned when the endpoint rejected an order because its fencing token is out of date.
	ErrFenced = errors.New("order has an outdated fencing token")
)

// errNoLoad is returned for an answer that holds no load report.
var errNoLoad = errors.New("answer holds no load report")

const (
	dialTimeout     = 500 * time.Millisecond
	statusTimeout   = 400 * time.Millisecond
	maxIdlePerHost  = 64
	maxAnswerBytes  = 16 << 20
	lineBufferBytes = 64 << 10
	// maxStatus is the highest status of an answer.
	maxStatus = 599
)

// Client sends requests to endpoints.
type Client struct {
	// reads reuses connections. It carries what neither runs nor changes anything.
	reads *http.Client
	// work and workOnce use a new connection for each request: an endpoint may send a response again where the next one on the connection is
	// due, and nothing in it tells which request it belongs to. workOnce returns redirects instead of sending a request again for them.
	work, workOnce *http.Client
}

// New returns a client. The name of the calling instance is sent as the user agent.
func New(name string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	pooled := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerHost, DisableCompression: true}
	// When a reused connection turns out to be closed, net/http retries the request by itself if it considers it idempotent, which includes
	// any request with an Idempotency-Key header. It never retries on a new connection.
	single := &agent.Transport{Name: name, Base: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}}
	return &Client{
		reads:    &http.Client{Transport: &agent.Transport{Name: name, Base: pooled}},
		work:     &http.Client{Transport: single},
		workOnce: &http.Client{Transport: single, CheckRedirect: noRedirect},
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Generate sends a generation request to an engine and calls onChunk for each chunk of the answer. It never returns nil: onChunk ends the
// request by returning an error, which Generate returns unchanged. A stream that ends before that is incomplete (ErrIncomplete).
func (c *Client) Generate(ctx context.Context, address string, r *engine.Request, onChunk func(*engine.Chunk) error) error {
	resp, err := c.post(ctx, address, "/generate", r)
	if err != nil {
		return fmt.Errorf("generate at %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := statusError(resp.StatusCode); err != nil {
		return fmt.Errorf("generate at %s: %w", address, err)
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, lineBufferBytes), maxAnswerBytes)
	for scanner.Scan() {
		var chunk engine.Chunk
		if err := json.Unmarshal(scanner.Bytes(), &chunk); err != nil {
			return fmt.Errorf("decode chunk from %s (%v): %w", address, err, ErrIncomplete)
		}
		if err := onChunk(&chunk); err != nil {
			return err
		}
	}
	return fmt.Errorf("stream from %s ended (%v): %w", address, scanner.Err(), ErrIncomplete)
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
		return nil, fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.workOnce.Do(req)
	if err != nil {
		return nil, classifyError(err)
	}
	return resp, nil
}

// classifyError distinguishes requests that were never sent, because dialling failed, from those that may have been executed.
func classifyError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotStarted, err)
	}
	return fmt.Errorf("%w: %w", ErrIncomplete, err)
}

// Call is a call to a plain service.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// AtMostOnce is true if the call must not be sent more than once.
	AtMostOnce bool
}

// Result is the complete response of a plain service.
type Result struct {
	Status int
	Type   string
	Body   []byte
}

// Do sends a call to a plain service. Errors wrap ErrNotStarted if the call had no effect, and ErrIncomplete if it may have had one.
func (c *Client) Do(ctx context.Context, address string, call *Call) (*Result, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fmt.Errorf("create request (%v): %w", err, ErrNotStarted)
	}
	req.Header = call.Header
	client := c.work
	if call.AtMostOnce {
		client = c.workOnce
		req.GetBody = nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", address, classifyError(err))
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return nil, fmt.Errorf("call %s: status %03d: %w", address, resp.StatusCode, ErrIncomplete)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		return nil, fmt.Errorf("read response of %s (%v): %w", address, err, ErrIncomplete)
	}
	if framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody; !framed {
		if err := confirmRunning(ctx, address); err != nil {
			return nil, fmt.Errorf("response of %s ends with its connection (%v): %w", address, err, ErrIncomplete)
		}
	}
	return &Result{Status: resp.StatusCode, Type: resp.Header.Get("Content-Type"), Body: body}, nil
}

// confirmRunning returns an error unless an endpoint accepts connections. A process that is killed closes those that it has as one does that has
// sent all.
func confirmRunning(ctx context.Context, address string) error {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	_ = c.Close()
	return nil
}

// Load fetches an engine's load report.
func (c *Client) Load(ctx context.Context, address string) (engine.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var load engine.Load
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return load, fmt.Errorf("read load: %w", err)
	}
	resp, err := c.reads.Do(req)
	if err != nil {
		return load, fmt.Errorf("read load: %w", classifyError(err))
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return load, fmt.Errorf("read load of %s: status %d: %w", address, resp.StatusCode, errNoLoad)
	}
	if err := json.NewDecoder(resp.Body).Decode(&load); err != nil {
		// The cause isn't wrapped: the end of the body says nothing of the connection.
		return load, fmt.Errorf("decode load of %s (%v): %w", address, err, errNoLoad)
	}
	return load, nil
}

// Events fetches an engine's cache events with sequence numbers above after.
func (c *Client) Events(ctx context.Context, address string, after uint64) ([]engine.CacheEvent, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/events?after="+strconv.FormatUint(after, 10), nil)
	if err != nil {
		return nil, fmt.Errorf("read cache events: %w", err)
	}
	resp, err := c.reads.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read cache events: %w", classifyError(err))
	}
	defer func() { _ = resp.Body.Close() }()
	var events []engine.CacheEvent
	if err := json.NewDecoder(resp.Body).Decode(&events); err != nil {
		return nil, fmt.Errorf("read cache events of %s: %w", address, err)
	}
	return events, nil
}

// Crashed reports whether the run of an engine's process that had the identifier runID is known to have ended.
//
// That is the case if the host refuses or resets the connection, or if the engine reports another runID. A timeout proves nothing, since
// a network partition looks the same. Nor does an answer without a report, or a report if either runID is empty, that is, unknown.
func (c *Client) Crashed(ctx context.Context, address, runID string) bool {
	load, err := c.Load(ctx, address)
	if err == nil {
		return runID != "" && load.RunID != "" && load.RunID != runID
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
}

// SendOrder orders an engine to load a weight version. Errors wrap ErrFenced, ErrNotStarted or ErrIncomplete, or ErrBusy or
// ErrVersionMismatch if the engine answers with their status.
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

// Export orders an engine to write cache pieces to a store in the background.
func (c *Client) Export(ctx context.Context, address string, e engine.Export) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	resp, err := c.post(ctx, address, "/export", e)
	if err != nil {
		return fmt.Errorf("export from %s: %w", address, err)
	}
	return resp.Body.Close()
}
