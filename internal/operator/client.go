package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/protocol/api"
)

// Exit codes of gypsumctl.
const (
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitUnavailable = 4
	ExitTimeout     = 5
)

// ExitError carries the exit code of a failed command.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the cause's message.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// ExitStatus returns the exit code for the process.
func (e *ExitError) ExitStatus() int { return e.Code }

// client calls the administration API of one instance.
type client struct {
	base  string
	token string
	http  *http.Client
}

const requestTimeout = 40 * time.Second

func newClient(address, token, caFile string) (*client, error) {
	c := &client{base: "http://" + address, token: token, http: &http.Client{Timeout: requestTimeout}}
	if caFile == "" {
		return c, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("read CA certificates: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s contains no certificate", caFile)
	}
	c.base = "https://" + address
	c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return c, nil
}

func (c *client) get(ctx context.Context, path string, into any) error {
	return c.do(ctx, http.MethodGet, path, nil, into)
}

func (c *client) do(ctx context.Context, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &ExitError{ExitUsage, fmt.Errorf("create request: %w", err)}
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return &ExitError{ExitUnavailable, fmt.Errorf("call instance: %w", err)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return &ExitError{ExitUnavailable, fmt.Errorf("read response: %w", err)}
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &ExitError{ExitFailed, fmt.Errorf("decode response: %w", err)}
	}
	return nil
}

func responseError(status int, data []byte) error {
	var body struct {
		Error *api.Error `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil || body.Error == nil {
		return &ExitError{ExitFailed, errors.Errorf("status %d", status)}
	}
	code := ExitRefused
	if status >= http.StatusInternalServerError {
		code = ExitUnavailable
	}
	return &ExitError{code, body.Error}
}
