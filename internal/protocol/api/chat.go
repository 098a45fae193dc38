package api

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is a request to continue a conversation with the model of a deployment.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Usage holds the token counts of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	ReusedTokens     int `json:"reused_tokens"`
	FetchedTokens    int `json:"fetched_tokens"`
	RecomputedTokens int `json:"recomputed_tokens"`
}

// ChatAnswer is the complete answer to a chat request that is not streamed.
type ChatAnswer struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Version string   `json:"version"`
	Content string   `json:"content"`
	Usage   Usage    `json:"usage"`
	Choices []Choice `json:"choices"`
}

// Choice repeats the answer in the field in which clients of common chat interfaces expect it.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

const (
	// MaxBodyBytes is the largest request body, in bytes.
	MaxBodyBytes = 8 << 20
	// MaxAnswerTokens is the largest number of tokens that a caller may request.
	MaxAnswerTokens  = 32768
	defaultMaxTokens = 128
)

// Errors of requests, matched with errors.Is.
var (
	// ErrMalformed is returned for a body that can't be read or decoded, or that has an invalid field.
	ErrMalformed = errors.New("malformed body")
	// ErrTooLarge is returned for a body that is larger than MaxBodyBytes.
	ErrTooLarge = errors.New("body too large")
)

// ReadBody reads a body. It returns ErrTooLarge if the body exceeds MaxBodyBytes, and ErrMalformed if its length differs from the declared
// one. A negative declared length means unknown.
func ReadBody(r io.Reader, declared int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxBodyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read body (%v): %w", err, ErrMalformed)
	}
	if len(body) > MaxBodyBytes {
		return nil, fmt.Errorf("read body: %w", ErrTooLarge)
	}
	if declared >= 0 && int64(len(body)) != declared {
		return nil, fmt.Errorf("read body, %d of %d bytes: %w", len(body), declared, ErrMalformed)
	}
	return body, nil
}

// DecodeChat decodes and validates a chat request. The error is ErrMalformed.
func DecodeChat(body []byte) (*ChatRequest, error) {
	req := &ChatRequest{}
	if err := json.Unmarshal(body, req); err != nil {
		return nil, fmt.Errorf("decode chat request (%v): %w", err, ErrMalformed)
	}
	if req.Model == "" {
		return nil, fmt.Errorf("model is empty: %w", ErrMalformed)
	}
	if len(req.Messages) == 0 {
		return nil, fmt.Errorf("messages are empty: %w", ErrMalformed)
	}
	if req.MaxTokens < 0 || req.MaxTokens > MaxAnswerTokens {
		return nil, fmt.Errorf("max_tokens must be 0 to %d: %w", MaxAnswerTokens, ErrMalformed)
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	return req, nil
}

// Prompt returns the conversation as a single text, which is what engines accept.
func (r *ChatRequest) Prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}
