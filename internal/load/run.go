package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"gypsumvale/internal/layout"
	"gypsumvale/internal/protocol/api"
)

// Config says how a run goes.
type Config struct {
	Layout      *layout.Layout
	Requests    int
	Concurrency int
	Seed        uint64
	Mix         []KindShare
	GiveUpAfter time.Duration
	// Progress, if set, is told of each answered task.
	Progress func(done int)
}

// Result is what a run came to.
type Result struct {
	Answered   int `json:"answered"`
	Unanswered int `json:"unanswered"`
	Wrong      int `json:"wrong"`
	Unknown    int `json:"unknown"`
	Attempts   int `json:"tries"`
	// Truncated counts answers that ended early after their first token.
	Truncated int            `json:"cut_short"`
	Refused   map[string]int `json:"refused"`
	Details   []string       `json:"details"`
	Usage     api.Usage      `json:"usage"`
	Elapsed   time.Duration  `json:"elapsed"`

	FirstToken map[Kind]*hdrhistogram.Histogram `json:"-"`
	Total      map[Kind]*hdrhistogram.Histogram `json:"-"`
	// BookingKeys holds each booking's key and whether its answer was whole.
	BookingKeys map[string]bool `json:"-"`
}

const (
	lowestMicros   = 1
	highestMicros  = int64(10 * time.Minute / time.Microsecond)
	digits         = 3
	retryPause     = 30 * time.Millisecond
	tryTimeout     = 60 * time.Second
	detailsKept    = 10
	longestBackoff = 500 * time.Millisecond
)

func newResult() *Result {
	r := &Result{
		Refused: make(map[string]int), FirstToken: make(map[Kind]*hdrhistogram.Histogram),
		Total: make(map[Kind]*hdrhistogram.Histogram), BookingKeys: make(map[string]bool),
	}
	for _, k := range Kinds {
		r.FirstToken[k] = hdrhistogram.New(lowestMicros, highestMicros, digits)
		r.Total[k] = hdrhistogram.New(lowestMicros, highestMicros, digits)
	}
	return r
}

// Run makes every task until it is answered or given up.
func Run(ctx context.Context, cfg Config) *Result {
	r := newResult()
	client := NewClient()
	var next atomic.Int64
	var mu sync.Mutex
	var wg conc.WaitGroup
	started := time.Now()
	for i := range cfg.Concurrency {
		random := rand.New(rand.NewPCG(cfg.Seed, uint64(i)))
		wg.Go(func() {
			for {
				n := int(next.Add(1)) - 1
				if n >= cfg.Requests || ctx.Err() != nil {
					return
				}
				t := NewTask(cfg.Mix, n, len(cfg.Layout.Workspaces), cfg.Seed)
				w := worker{cfg: &cfg, client: client, random: random, mu: &mu, result: r}
				w.complete(ctx, &t)
			}
		})
	}
	wg.Wait()
	r.Elapsed = time.Since(started)
	return r
}

type worker struct {
	cfg    *Config
	client *Client
	random *rand.Rand
	mu     *sync.Mutex
	result *Result
}

// complete retries at random entries, as the callers do.
func (w *worker) complete(ctx context.Context, t *Task) {
	key := ""
	if t.Kind == KindBooking || t.Kind == KindLong {
		id, err := uuid.NewV7()
		if err != nil {
			return
		}
		key = id.String()
	}
	deadline := time.Now().Add(w.cfg.GiveUpAfter)
	started := time.Now()
	for time.Now().Before(deadline) && ctx.Err() == nil {
		o := w.try(ctx, t, key)
		if ctx.Err() != nil {
			return
		}
		if w.note(t, key, &o, time.Since(started)) {
			return
		}
		w.backOff(ctx, &o)
	}
	w.mu.Lock()
	w.result.Unanswered++
	w.mu.Unlock()
}

func (w *worker) try(ctx context.Context, t *Task, key string) Outcome {
	l := w.cfg.Layout
	ws := l.Workspaces[t.Workspace]
	target := Target{Address: l.Entries[w.random.IntN(len(l.Entries))].Callers, APIKey: ws.Key, IdempotencyKey: key}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	switch t.Kind {
	case KindBooking:
		body, err := json.Marshal(struct {
			Slot int `json:"slot"`
		}{t.Number})
		if err != nil {
			return Outcome{Code: CodeWrong, Detail: err.Error()}
		}
		return w.client.Call(ctx, target, http.MethodPost, servicePath("/slots"), body)
	case KindCalendar:
		return w.client.Call(ctx, target, http.MethodGet, servicePath(fmt.Sprintf("/calendar/%d", t.Conversation)), nil)
	}
	chat := *t.Chat
	chat.Model = layout.Deployment
	return w.client.Stream(ctx, target, &chat)
}

func servicePath(path string) string { return "/v1/services/" + layout.Service + path }

// note counts a try and reports whether the task has ended.
func (w *worker) note(t *Task, key string, o *Outcome, sinceStart time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.result
	r.Attempts++
	switch o.Code {
	case CodeOK:
		r.Answered++
		if t.Kind == KindBooking {
			r.BookingKeys[key] = true
		}
		if o.FirstToken > 0 {
			_ = r.FirstToken[t.Kind].RecordValue(o.FirstToken.Microseconds())
		}
		_ = r.Total[t.Kind].RecordValue(sinceStart.Microseconds())
		r.Usage.PromptTokens += o.Usage.PromptTokens
		r.Usage.CompletionTokens += o.Usage.CompletionTokens
		r.Usage.ReusedTokens += o.Usage.ReusedTokens
		r.Usage.FetchedTokens += o.Usage.FetchedTokens
		r.Usage.RecomputedTokens += o.Usage.RecomputedTokens
		if w.cfg.Progress != nil {
			w.cfg.Progress(r.Answered)
		}
		return true
	case CodeWrong:
		r.Wrong++
		w.detail(t, o)
		return true
	case string(api.CodeOutcomeUnknown):
		r.Unknown++
		w.detail(t, o)
		return true
	}
	r.Refused[o.Code]++
	if o.Code == CodeTruncated && o.Tokens > 0 {
		r.Truncated++
	}
	if o.Code != string(api.CodeOverloaded) {
		w.detail(t, o)
	}
	return false
}

func (w *worker) detail(t *Task, o *Outcome) {
	if len(w.result.Details) < detailsKept {
		w.result.Details = append(w.result.Details, fmt.Sprintf("%s %d: %s: %s", t.Kind, t.Number, o.Code, o.Detail))
	}
}

func (w *worker) backOff(ctx context.Context, o *Outcome) {
	wait := retryPause
	if !o.RetryAfter.IsZero() {
		wait = min(max(time.Until(o.RetryAfter), retryPause), longestBackoff)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
