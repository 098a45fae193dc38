package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/protocol/api"
	"gypsumvale/internal/standin/model"
)

// Outcome is what one try at a request came to.
type Outcome struct {
	// Code is "ok", a code of the API, "cut" for a connection that ended early, or "wrong" for a false answer.
	Code       string
	Run        api.Run
	RetryAfter time.Time
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
	Usage      api.Usage
	Body       []byte
	Status     int
	Replayed   bool
	Detail     string
}

// Codes of outcomes that are not the API's.
const (
	CodeOK        = "ok"
	CodeTruncated = "cut"
	CodeWrong     = "wrong"
)

// Client sends requests to entries.
type Client struct{ http *http.Client }

// NewClient returns a client with room for many connections.
func NewClient() *Client {
	const idle = 256
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle, MaxIdleConns: 16 * idle}}}
}

// Target is where a request goes and with whose key.
type Target struct {
	Address string
	APIKey  string
	// IdempotencyKey may be empty for prompts and reads.
	IdempotencyKey string
	Timeout        time.Duration
}

func (c *Client) request(ctx context.Context, t Target, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+t.APIKey)
	req.Header.Set("Content-Type", "application/json")
	if t.IdempotencyKey != "" {
		req.Header.Set(api.HeaderKey, t.IdempotencyKey)
	}
	if t.Timeout > 0 {
		req.Header.Set(api.HeaderRequestTimeout, strconv.FormatFloat(t.Timeout.Seconds(), 'f', -1, 64))
	}
	// The client library repeats by itself what carries an idempotency key; tries are counted here instead.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	return resp, nil
}

// Stream sends a prompt and checks the streamed answer token by token.
func (c *Client) Stream(ctx context.Context, t Target, chat *api.ChatRequest) Outcome {
	chat.Stream = true
	body, err := json.Marshal(chat)
	if err != nil {
		return Outcome{Code: CodeWrong, Detail: err.Error()}
	}
	started := time.Now()
	resp, err := c.request(ctx, t, http.MethodPost, "/v1/chat/completions", body)
	if err != nil {
		return Outcome{Code: CodeTruncated, Run: api.RunUnknown, Detail: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return failure(resp)
	}
	o := readEvents(resp.Body, started)
	o.Total = time.Since(started)
	if o.Code == CodeOK {
		check(&o, chat)
	}
	return o
}

type doneEvent struct {
	Version string    `json:"version"`
	Usage   api.Usage `json:"usage"`
}

// readEvents reads until the end event; a stream without one is cut, never an answer.
func readEvents(r io.Reader, started time.Time) Outcome {
	o := Outcome{Code: CodeTruncated, Run: api.RunUnknown}
	var text strings.Builder
	lines := bufio.NewScanner(r)
	event := ""
	for lines.Scan() {
		line := lines.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		switch event {
		case "token":
			var token struct {
				Text string `json:"text"`
			}
			if err := json.Unmarshal([]byte(data), &token); err != nil {
				return Outcome{Code: CodeWrong, Detail: err.Error()}
			}
			if o.Tokens == 0 {
				o.FirstToken = time.Since(started)
			}
			o.Tokens++
			text.WriteString(token.Text)
		case "done":
			var done doneEvent
			if err := json.Unmarshal([]byte(data), &done); err != nil {
				return Outcome{Code: CodeWrong, Detail: err.Error()}
			}
			o.Code, o.Run, o.Usage, o.Detail = CodeOK, api.RunYes, done.Usage, done.Version
			o.Body = []byte(text.String())
			return o
		case "error":
			return errorOutcome([]byte(data), 0)
		}
	}
	return o
}

// check compares an answer with the one right answer to the prompt.
func check(o *Outcome, chat *api.ChatRequest) {
	want := model.Answer(chat.Prompt(), o.Detail, chat.MaxTokens)
	if string(o.Body) != want {
		o.Code = CodeWrong
		o.Detail = fmt.Sprintf("%d bytes of answer differ from the %d expected", len(o.Body), len(want))
	}
}

// Call sends a call to a plain service.
func (c *Client) Call(ctx context.Context, t Target, method, path string, body []byte) Outcome {
	started := time.Now()
	resp, err := c.request(ctx, t, method, path, body)
	if err != nil {
		return Outcome{Code: CodeTruncated, Run: api.RunUnknown, Detail: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(api.HeaderRun) != string(api.RunYes) || resp.StatusCode >= http.StatusBadRequest {
		return failure(resp)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Outcome{Code: CodeTruncated, Run: api.RunUnknown, Detail: err.Error()}
	}
	return Outcome{Code: CodeOK, Run: api.RunYes, Total: time.Since(started), Status: resp.StatusCode, Body: data,
		Replayed: resp.Header.Get(api.HeaderReplayed) != ""}
}

func failure(resp *http.Response) Outcome {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Outcome{Code: CodeTruncated, Run: api.RunUnknown, Detail: err.Error()}
	}
	o := errorOutcome(data, resp.StatusCode)
	if ms, err := strconv.Atoi(resp.Header.Get("Retry-After-Ms")); err == nil {
		o.RetryAfter = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return o
}

var errNoCode = errors.New("error without a code")

func errorOutcome(data []byte, status int) Outcome {
	var body struct {
		Error api.Error `json:"error"`
	}
	err := json.Unmarshal(data, &body)
	if err == nil && body.Error.Code == "" {
		err = errNoCode
	}
	if err != nil {
		return Outcome{Code: CodeTruncated, Run: api.RunUnknown, Status: status, Detail: err.Error()}
	}
	return Outcome{Code: string(body.Error.Code), Run: body.Error.Run, Status: status, Detail: body.Error.Message}
}
