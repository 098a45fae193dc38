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
	// registrationSpan is how long a silent endpoint's registration stays.
	registrationSpan = 3 * time.Second
	// keepPeriod is how often a registration is confirmed: several times in its span.
	keepPeriod = 500 * time.Millisecond
	// callTimeout is the longest time of one call.
	callTimeout = 2 * time.Second
)

// errLapsed says that the store knows nothing of a lease any more.
var errLapsed = errors.New("lease has lapsed")

// StoreClient registers endpoints with a Store of another process, under a lease.
type StoreClient struct {
	address string
	http    *http.Client

	mu    sync.Mutex
	lease uint64
	// entries holds what is to be registered, written those that the store has acknowledged under the present lease.
	entries map[string][]byte
	written map[string]bool
}

// NewStoreClient returns a registrar that writes once Run is running.
func NewStoreClient(address string) *StoreClient {
	return &StoreClient{address: address, http: &http.Client{Timeout: callTimeout}, entries: make(map[string][]byte), written: make(map[string]bool)}
}

// Run confirms registrations, and writes those that were lost, until the context ends.
func (s *StoreClient) Run(ctx context.Context) {
	ticker := time.NewTicker(keepPeriod)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		// What fails now is tried again a period later.
		_ = s.confirm()
		s.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// confirm keeps the lease and writes what is missing; the caller holds the lock.
func (s *StoreClient) confirm() error {
	if s.lease != 0 {
		err := s.call(http.MethodPost, fmt.Sprintf("/-/kv-keep/%d", s.lease), nil, nil)
		if errors.Is(err, errLapsed) {
			s.lease = 0
			clear(s.written)
		} else if err != nil {
			return err
		}
	}
	if s.lease == 0 {
		var granted struct{ Lease uint64 }
		if err := s.call(http.MethodPost, "/-/kv-lease", map[string]int64{"TtlMs": registrationSpan.Milliseconds()}, &granted); err != nil {
			return err
		}
		s.lease = granted.Lease
	}
	for key, value := range s.entries {
		if s.written[key] {
			continue
		}
		set := map[string]any{"Key": key, "Value": value, "Lease": s.lease}
		if err := s.call(http.MethodPost, "/-/kv-txn", map[string]any{"SetKeys": []any{set}}, nil); err != nil {
			return err
		}
		s.written[key] = true
	}
	return nil
}

// Put registers a value and returns once the store has acknowledged it.
func (s *StoreClient) Put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	for {
		s.mu.Lock()
		s.entries[key] = data
		delete(s.written, key)
		err := s.confirm()
		s.mu.Unlock()
		if err == nil {
			return nil
		}
		time.Sleep(keepPeriod)
	}
}

// Delete removes a registration, by the end of its lease if the store can't be reached.
func (s *StoreClient) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, key)
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
	answer, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return fmt.Errorf("read store's answer: %w", err)
	case resp.StatusCode == http.StatusNotFound:
		return fmt.Errorf("%s: %w", path, errLapsed)
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("store answers %s with %d", path, resp.StatusCode)
	case result == nil:
		return nil
	}
	if err := json.Unmarshal(answer, result); err != nil {
		return fmt.Errorf("decode store's answer: %w", err)
	}
	return nil
}
