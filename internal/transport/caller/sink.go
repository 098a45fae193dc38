package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// bufferSink collects the tokens of an answer that is sent only when it is complete.
type bufferSink struct{ text strings.Builder }

// Token appends a token.
func (s *bufferSink) Token(text string) error {
	s.text.WriteString(text)
	return nil
}

// Sent returns zero, since the caller receives nothing before the answer is complete.
func (s *bufferSink) Sent() int { return 0 }

// Reset discards the collected tokens.
func (s *bufferSink) Reset() { s.text.Reset() }

// eventSink sends each token as a server-sent event.
type eventSink struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	sent    int
}

// Token sends a token. An error means that the caller has disconnected.
func (s *eventSink) Token(text string) error {
	if s.sent == 0 {
		h := s.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
	}
	s.sent++
	data, err := json.Marshal(struct {
		Text string `json:"text"`
	}{text})
	if err != nil {
		return fmt.Errorf("encode token: %w", err)
	}
	return s.write("token", data)
}

func (s *eventSink) write(name string, data []byte) error {
	if _, err := fmt.Fprintf(s.w, "event: %s\ndata: %s\n\n", name, data); err != nil {
		return fmt.Errorf("send event: %w", err)
	}
	if err := s.flusher.Flush(); err != nil {
		return fmt.Errorf("send event: %w", err)
	}
	return nil
}

func (s *eventSink) event(name string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	// An error means that the caller has disconnected.
	_ = s.write(name, data)
}

// Sent returns the number of tokens sent.
func (s *eventSink) Sent() int { return s.sent }

// Reset does nothing, since it is called only before the first token is sent.
func (s *eventSink) Reset() {}
