package hosted

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Errors of callers, matched with errors.Is.
var (
	// ErrRefused says that the request did not run, and may be sent again.
	ErrRefused = errors.New("refused")
	// ErrIncomplete says that no answer came whole; the request may have run.
	ErrIncomplete = errors.New("no whole answer")
	// ErrWrongAnswer says that what came was not the answer to the request.
	ErrWrongAnswer = errors.New("wrong answer")
)

// Caller sends requests of a demonstration site and checks every answer.
type Caller struct{ http *http.Client }

// NewCaller returns a caller that opens a connection for each request.
func NewCaller() *Caller {
	return &Caller{http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// Call sends one request to an entry and checks its answer; the error is ErrRefused, ErrUnanswered or ErrWrong.
func (c *Caller) Call(ctx context.Context, entry, id, path string) error {
	method := http.MethodPost
	if path == ReadPath {
		method = http.MethodGet
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, strings.NewReader(""))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	r.Host = SiteHostname
	r.Header.Set("Request-Id", id)
	r.Header.Set("Credential", SiteAPIKey)
	r.Header.Set("Deadline-Ms", fmt.Sprint((5 * time.Second).Milliseconds()))
	if path == RedraftPath {
		r.Header.Set("Model", SiteModel)
		r.Header.Set("Token-Usage", "1500,12")
		r.Header.Set("Prompt-Prefix", "a0:1000,b0:400,"+id+":100")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrIncomplete, err)
	case resp.StatusCode == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %s", ErrRefused, body)
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("%w: status %d: %s", ErrIncomplete, resp.StatusCode, body)
	case !strings.HasSuffix(resp.Header.Get("Response-Seal"), "."+id) || string(body) != expected(id, path):
		return fmt.Errorf("%w: request %s", ErrWrongAnswer, id)
	}
	return nil
}

func expected(id, path string) string {
	if path != RedraftPath {
		return Body(id)
	}
	return Stream(siteEvents)
}
