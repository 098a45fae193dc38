package keyvalue

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/coordination/budget"
	"gypsumvale/internal/protocol/platform"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/transport/agent"
)

const (
	callTimeout     = time.Second
	maxIdlePerHost  = 16
	idleConnTimeout = 30 * time.Second
)

// Client makes all of a process's calls to the key-value service within one budget.
type Client struct {
	base string
	http *http.Client

	mu     sync.Mutex
	budget *budget.Budget

	// Calls and Failures count calls sent and calls without an answer.
	Calls    atomic.Int64
	Failures atomic.Int64
}

// New returns a client of the service at an address, for the instance with a name.
func New(name, address string, b *budget.Budget) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleConnTimeout}
	return &Client{base: "http://" + address, http: &http.Client{Transport: &agent.Transport{Name: name, Base: transport}}, budget: b}
}

// BreakerOpen reports whether the breaker keeps calls back, so that the service is taken to be out.
func (c *Client) BreakerOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Open(time.Now())
}

// PriorityClient is the client as seen by one user, whose calls have one rank.
type PriorityClient struct {
	Client   *Client
	Priority budget.Priority
}

// call describes one exchange with the service.
type call struct {
	direction budget.Direction
	method    string
	path      string
	version   kv.Version
	body      []byte
	timeout   time.Duration
}

// Get returns a value, kv.ErrNotFound, kv.ErrUnavailable or kv.ErrRefused.
func (r PriorityClient) Get(ctx context.Context, key string) (kv.Value, error) {
	resp, err := r.do(ctx, call{direction: budget.Read, method: http.MethodGet, path: "/kv/" + key, timeout: callTimeout})
	if err != nil {
		return kv.Value{}, fmt.Errorf("get %s: %w", key, err)
	}
	if resp.status == http.StatusNotFound {
		return kv.Value{}, fmt.Errorf("get %s: %w", key, kv.ErrNotFound)
	}
	return kv.Value{Data: resp.body, Version: resp.version}, nil
}

// Put writes if the key is at the version, and returns the new one, kv.ErrConflict, kv.ErrUnavailable or kv.ErrRefused.
func (r PriorityClient) Put(ctx context.Context, key string, data []byte, version kv.Version) (kv.Version, error) {
	if len(data) > kv.MaxValueBytes {
		return 0, fmt.Errorf("put %s of %d bytes: %w", key, len(data), kv.ErrNotSent)
	}
	resp, err := r.do(ctx, call{direction: budget.Write, method: http.MethodPut, path: "/kv/" + key, version: version, body: data, timeout: callTimeout})
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	if resp.status == http.StatusConflict {
		return 0, fmt.Errorf("put %s: %w", key, kv.ErrConflict)
	}
	return resp.version, nil
}

// Delete removes a key at a version, or at any for version zero; the error is kv.ErrConflict, kv.ErrUnavailable or kv.ErrRefused.
func (r PriorityClient) Delete(ctx context.Context, key string, version kv.Version) error {
	resp, err := r.do(ctx, call{direction: budget.Write, method: http.MethodDelete, path: "/kv/" + key, version: version, timeout: callTimeout})
	if err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	if resp.status == http.StatusConflict {
		return fmt.Errorf("delete %s: %w", key, kv.ErrConflict)
	}
	return nil
}

// List returns the keys that begin with a prefix, sorted; the error is kv.ErrUnavailable or kv.ErrRefused.
func (r PriorityClient) List(ctx context.Context, prefix string) ([]kv.Entry, error) {
	resp, err := r.do(ctx, call{direction: budget.Read, method: http.MethodGet, path: "/list/" + prefix, timeout: callTimeout})
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	var infos []platform.KeyInfo
	if err := json.Unmarshal(resp.body, &infos); err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	entries := make([]kv.Entry, len(infos))
	for i, info := range infos {
		entries[i] = kv.Entry{Key: info.Key, Version: kv.Version(info.Version)}
	}
	return entries, nil
}

// Watch returns the value once its version differs from after; changed is false if that didn't happen by the deadline.
func (r PriorityClient) Watch(ctx context.Context, key string, after kv.Version, deadline time.Time) (value kv.Value, changed bool, err error) {
	wait := time.Until(deadline)
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}, "wait": {wait.String()}}
	resp, err := r.do(ctx, call{direction: budget.Read, method: http.MethodGet, path: "/watch/" + key + "?" + query.Encode(), timeout: wait + callTimeout})
	if err != nil {
		return kv.Value{}, false, fmt.Errorf("watch %s: %w", key, err)
	}
	if resp.status == http.StatusNotModified {
		return kv.Value{}, false, nil
	}
	return kv.Value{Data: resp.body, Version: resp.version}, true, nil
}

// Acquire takes or renews a lease and returns its present holder; the error is kv.ErrUnavailable or kv.ErrRefused.
func (r PriorityClient) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error) {
	body, err := json.Marshal(struct {
		Holder   string `json:"holder"`
		TTLMilli int64  `json:"ttl_ms"`
	}{holder, ttl.Milliseconds()})
	if err != nil {
		return platform.Lease{}, fmt.Errorf("acquire lease %s: %w", name, err)
	}
	resp, err := r.do(ctx, call{direction: budget.Write, method: http.MethodPost, path: "/lease/" + name, body: body, timeout: callTimeout})
	if err != nil {
		return platform.Lease{}, fmt.Errorf("acquire lease %s: %w", name, err)
	}
	var lease platform.Lease
	if err := json.Unmarshal(resp.body, &lease); err != nil {
		return platform.Lease{}, fmt.Errorf("acquire lease %s: %w", name, err)
	}
	return lease, nil
}

type response struct {
	status  int
	version kv.Version
	body    []byte
}

// do sends a call within the budget and counts its end for the breaker.
func (r PriorityClient) do(ctx context.Context, c call) (*response, error) {
	if !r.Client.admit(c.direction, r.Priority) {
		return nil, kv.ErrNotSent
	}
	callCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := r.Client.send(callCtx, c)
	// A caller that gives up says nothing about the service.
	r.Client.settle(err == nil || ctx.Err() != nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", kv.ErrUnavailable, err)
	}
	return resp, nil
}

func (c *Client) admit(d budget.Direction, rank budget.Priority) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Admit(time.Now(), d, rank)
}

func (c *Client) settle(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Calls.Add(1)
	if answered {
		c.budget.Succeeded()
		return
	}
	c.Failures.Add(1)
	c.budget.Failed(time.Now())
}

var errStatus = errors.New("unexpected status")

func (c *Client) send(ctx context.Context, cl call) (*response, error) {
	req, err := http.NewRequestWithContext(ctx, cl.method, c.base+cl.path, bytes.NewReader(cl.body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set(platform.HeaderVersion, strconv.FormatUint(uint64(cl.version), 10))
	// The library repeats a call on a stale connection only if it may be repeated; a write must not be.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusNotModified:
	default:
		return nil, fmt.Errorf("status %d: %w", resp.StatusCode, errStatus)
	}
	// A missing version is that of an absent key.
	version, _ := strconv.ParseUint(resp.Header.Get(platform.HeaderVersion), 10, 64)
	return &response{status: resp.StatusCode, version: kv.Version(version), body: body}, nil
}
