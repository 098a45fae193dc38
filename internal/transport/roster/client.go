package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/protocol/platform"
	"gypsumvale/internal/transport/agent"
)

const callTimeout = time.Second

var errStatus = errors.New("unexpected status")

// Client reads the platform's instance list.
type Client struct {
	address string
	http    http.Client
}

// New returns a client of the list at an address. The name of the calling instance is sent as the user agent.
func New(name, address string) *Client {
	return &Client{address: address, http: http.Client{Transport: &agent.Transport{Name: name, Base: http.DefaultTransport}}}
}

// List returns the instances as listed by the platform. The list may be out of date.
func (c *Client) List(ctx context.Context) ([]platform.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/instances", nil)
	if err != nil {
		return nil, fmt.Errorf("list instances: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("list instances: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("list instances, status %d: %w", resp.StatusCode, errStatus)
	}
	var list []platform.Instance
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, fmt.Errorf("list instances: %w", err)
	}
	return list, nil
}
