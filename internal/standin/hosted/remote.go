package hosted

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// registrationTTL is how long a registration outlives the last renewal of its lease.
	registrationTTL = 3 * time.Second
	// renewInterval leaves several attempts to renew the lease within its TTL.
	renewInterval = 500 * time.Millisecond
	// callTimeout bounds each call to the store.
	callTimeout = 2 * time.Second
)

// errLeaseExpired is returned when the store no longer knows the lease.
var errLeaseExpired = errors.New("lease has expired")

// StoreClient registers endpoints with a Store in another process, under a lease.
type StoreClient struct {
	address string
	http    *http.Client

	mu sync.Mutex
	// era is the store's era in its last response, leaseEra the one in which it granted the lease.
	era, leaseEra string
	lease         uint64
	// registrations holds the values to register by key, and acknowledged the keys that the store has confirmed under the
	// current lease.
	registrations map[string][]byte
	acknowledged  map[string]bool
}

// NewStoreClient returns a registrar for the store at an address. Run keeps its lease alive.
func NewStoreClient(address string) *StoreClient {
	return &StoreClient{
		address: address, http: &http.Client{Timeout: callTimeout},
		registrations: make(map[string][]byte), acknowledged: make(map[string]bool),
	}
}

// Run renews the lease and restores lost registrations until the context ends.
func (s *StoreClient) Run(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		// An error is ignored, as the next tick tries again.
		_ = s.renew()
		s.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// renew renews the lease, or obtains a new one, and writes the registrations that are not yet acknowledged. The caller holds the lock.
func (s *StoreClient) renew() error {
	if s.lease != 0 {
		err := s.call(http.MethodPost, fmt.Sprintf("/-/kv-keep/%d", s.lease), nil, nil)
		switch {
		case errors.Is(err, errLeaseExpired), err == nil && s.era != s.leaseEra:
			// A store that was restored from a copy may have granted the lease again to another caller.
			s.lease = 0
			clear(s.acknowledged)
		case err != nil:
			return err
		}
	}
	if s.lease == 0 {
		var granted struct{ Lease uint64 }
		if err := s.call(http.MethodPost, "/-/kv-lease", map[string]int64{"TtlMs": registrationTTL.Milliseconds()}, &granted); err != nil {
			return err
		}
		s.lease, s.leaseEra = granted.Lease, s.era
	}
	for key, value := range s.registrations {
		if s.acknowledged[key] {
			continue
		}
		write := map[string]any{"Key": key, "Value": value, "Lease": s.lease}
		if err := s.call(http.MethodPost, "/-/kv-txn", map[string]any{"SetKeys": []any{write}}, nil); err != nil {
			return err
		}
		s.acknowledged[key] = true
	}
	return nil
}

// Put registers a value and retries until the store has acknowledged it.
func (s *StoreClient) Put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	for {
		s.mu.Lock()
		s.registrations[key] = data
		delete(s.acknowledged, key)
		err := s.renew()
		s.mu.Unlock()
		if err == nil {
			return nil
		}
		time.Sleep(renewInterval)
	}
}

// Delete removes a registration. If the store cannot be reached, the registration ends with its lease.
func (s *StoreClient) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.registrations, key)
	_ = s.call(http.MethodPost, "/-/kv-txn", map[string]any{"Remove": []string{key}}, nil)
}

func (s *StoreClient) call(method, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode call: %w", err)
	}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+s.address+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("build call: %w", err)
	}
	resp, err := s.http.Do(r)
	if err != nil {
		return fmt.Errorf("call store: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	s.era = resp.Header.Get("Store-Era")
	reply, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return fmt.Errorf("read store response: %w", err)
	case resp.StatusCode == http.StatusNotFound:
		return fmt.Errorf("%s: %w", path, errLeaseExpired)
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("store answered %s with status %d", path, resp.StatusCode)
	case result == nil:
		return nil
	}
	if err := json.Unmarshal(reply, result); err != nil {
		return fmt.Errorf("decode store response: %w", err)
	}
	return nil
}
