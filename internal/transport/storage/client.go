package storage

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/protocol/storage"
	"gypsumvale/internal/state/piece"
	"gypsumvale/internal/transport/agent"
)

const callTimeout = 500 * time.Millisecond

var errStatus = errors.New("unexpected status")

// Client reads the events of cache stores and frees blocks in them.
type Client struct{ http http.Client }

// New returns a client. The name of the calling instance is sent as the user agent.
func New(name string) *Client {
	return &Client{http: http.Client{Transport: &agent.Transport{Name: name, Base: http.DefaultTransport}}}
}

// Events returns a store's events with sequence numbers above after. runID identifies the run of the store to which the numbers belong.
func (c *Client) Events(ctx context.Context, address, runID string, after uint64) (*storage.Events, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "life": {runID}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/events?"+query.Encode(), nil)
	if err != nil {
		return nil, fmt.Errorf("read store events: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read store events: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read store events, status %d: %w", resp.StatusCode, errStatus)
	}
	events := &storage.Events{}
	if err := json.NewDecoder(resp.Body).Decode(events); err != nil {
		return nil, fmt.Errorf("read store events: %w", err)
	}
	return events, nil
}

// Free frees a block if it still has the given generation.
func (c *Client) Free(ctx context.Context, address string, name piece.Name, generation uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/blocks/"+string(name), nil)
	if err != nil {
		return fmt.Errorf("free block: %w", err)
	}
	req.Header.Set(storage.HeaderGeneration, strconv.FormatUint(generation, 10))
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("free block: %w", err)
	}
	return resp.Body.Close()
}
