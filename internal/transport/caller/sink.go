package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// wholeSink keeps the answer until it is whole.
type wholeSink struct{ text strings.Builder }

// Token keeps a token.
func (s *wholeSink) Token(text string) error {
	s.text.WriteString(text)
	return nil
}

// Sent returns zero, since the caller sees nothing before the end.
func (s *wholeSink) Sent() int { return 0 }

// Reset drops what was kept.
func (s *wholeSink) Reset() { s.text.Reset() }

// eventSink sends each token as a server-sent event.
type eventSink struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	sent    int
}

// Token sends a token; an error means that the caller has gone.
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
	// A caller that has gone needs no event.
	_ = s.write(name, data)
}

// Sent returns the number of tokens sent.
func (s *eventSink) Sent() int { return s.sent }

// Reset does nothing, since it is called only before the first token.
func (s *eventSink) Reset() {}
