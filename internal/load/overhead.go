package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"gypsumvale/internal/layout"
	"gypsumvale/internal/protocol/api"
	"gypsumvale/internal/protocol/engine"
)

// Overhead is the time to first token through an entry and straight from an engine, in the same run.
type Overhead struct {
	Direct, Through *hdrhistogram.Histogram
}

// MeasureOverhead sends prompts in turn straight to an engine and through one of the first entries.
func MeasureOverhead(ctx context.Context, l *layout.Layout, rounds, entries int) (*Overhead, error) {
	o := &Overhead{
		Direct:  hdrhistogram.New(lowestMicros, highestMicros, digits),
		Through: hdrhistogram.New(lowestMicros, highestMicros, digits),
	}
	client := NewClient()
	for i := range rounds {
		text := filler(fmt.Sprintf("overhead %d ", i), quickPromptSize)
		e := l.Entries[i%min(entries, len(l.Entries))]
		took, err := direct(ctx, client.http, l, l.Engines[i%len(l.Engines)].Address, text)
		if err != nil {
			return nil, fmt.Errorf("measure overhead: %w", err)
		}
		_ = o.Direct.RecordValue(took.Microseconds())
		chat := &api.ChatRequest{Model: layout.Deployment, MaxTokens: 4, Messages: []api.Message{{Role: "user", Content: text}}}
		out := client.Stream(ctx, Target{Address: e.Callers, APIKey: l.Workspaces[0].Key}, chat)
		if out.Code != CodeOK {
			return nil, fmt.Errorf("measure overhead: %s: %w", out.Detail, errNoCode)
		}
		_ = o.Through.RecordValue(out.FirstToken.Microseconds())
	}
	return o, nil
}

// direct returns the time to an engine's first chunk.
func direct(ctx context.Context, c *http.Client, l *layout.Layout, address, text string) (time.Duration, error) {
	prompt := (&api.ChatRequest{Messages: []api.Message{{Role: "user", Content: text}}}).Prompt()
	body, err := json.Marshal(engine.Request{Attempt: uuid.NewString(), Version: l.Version, Prompt: prompt, MaxTokens: 4})
	if err != nil {
		return 0, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/generate", bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("make request: %w", err)
	}
	started := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		return 0, fmt.Errorf("call engine: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	r := bufio.NewReader(resp.Body)
	if _, err := r.ReadBytes('\n'); err != nil {
		return 0, fmt.Errorf("read chunk: %w", err)
	}
	took := time.Since(started)
	_, err = io.Copy(io.Discard, r)
	if err != nil {
		return 0, fmt.Errorf("read answer: %w", err)
	}
	return took, nil
}

// Print writes the difference at the median and the 99th percentile.
func (o *Overhead) Print(w io.Writer) {
	p := printer{w: w}
	p.line("%-12s %10s %10s", "first token", "p50", "p99")
	p.line("%-12s %10s %10s", "direct", at(o.Direct, 50), at(o.Direct, 99))
	p.line("%-12s %10s %10s", "through", at(o.Through, 50), at(o.Through, 99))
	p.line("%-12s %8.2fms %8.2fms  targets 1 ms and 5 ms", "entry's", o.difference(50), o.difference(99))
}

func (o *Overhead) difference(quantile float64) float64 {
	return float64(o.Through.ValueAtQuantile(quantile)-o.Direct.ValueAtQuantile(quantile)) / 1000
}
