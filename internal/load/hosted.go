package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"gypsumvale/internal/standin/hosted"
)

// HostedConfig configures the load on a hosted demonstration site.
type HostedConfig struct {
	// Entries are the entries' addresses for callers, used in turn.
	Entries     []string
	Requests    int
	Concurrency int
}

const (
	// maxHostedAttempts limits the attempts at one request; each attempt goes to the next entry.
	maxHostedAttempts = 3
	// hostedRetryDelay is the pause between two attempts.
	hostedRetryDelay = 100 * time.Millisecond
	// maxHostedMicros is the upper end of the histogram's range.
	maxHostedMicros = int64(time.Minute / time.Microsecond)
)

// ErrFailed is returned when an answer was wrong or a request was never answered.
var ErrFailed = errors.New("load failed")

// RunHosted sends reads, bookings and redrafts, verifies every answer, and writes a summary.
func RunHosted(ctx context.Context, cfg HostedConfig, out io.Writer) error {
	caller := hosted.NewCaller()
	paths := []string{hosted.ReadPath, hosted.BookPath, hosted.RedraftPath, hosted.RedraftPath}
	var mu sync.Mutex
	times := hdrhistogram.New(1, maxHostedMicros, 3)
	counts := map[string]int{}
	var firstErr error
	numbers := make(chan int)
	var wg sync.WaitGroup
	for range cfg.Concurrency {
		wg.Go(func() {
			for n := range numbers {
				started := time.Now()
				result, err := callHosted(ctx, caller, cfg.Entries, n, paths[n%len(paths)])
				mu.Lock()
				counts[result]++
				if err != nil && firstErr == nil {
					firstErr = err
				}
				if err == nil {
					// Longer times are recorded as the end of the histogram's range.
					_ = times.RecordValue(min(time.Since(started).Microseconds(), maxHostedMicros))
				}
				mu.Unlock()
			}
		})
	}
	for n := range cfg.Requests {
		numbers <- n
	}
	close(numbers)
	wg.Wait()
	if _, err := fmt.Fprintf(out, "hosted: %d requests through %d entries: %d answered, %d unknown, %d wrong, %d unanswered; p50 %.1f ms, p99 %.1f ms\n",
		cfg.Requests, len(cfg.Entries), counts["answered"], counts["unknown"], counts["wrong"], counts["unanswered"],
		float64(times.ValueAtQuantile(50))/1000, float64(times.ValueAtQuantile(99))/1000); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	if counts["wrong"] > 0 || counts["unanswered"] > 0 {
		return fmt.Errorf("%w: %w", ErrFailed, firstErr)
	}
	return nil
}

// callHosted retries as callers do: if the response guarantees that the request has not run, or if the request may run twice. A
// booking without a complete answer is not retried, since it may have run; its outcome is unknown.
func callHosted(ctx context.Context, caller *hosted.Caller, entries []string, n int, path string) (string, error) {
	var err error
	for attempt := range maxHostedAttempts {
		err = caller.Call(ctx, entries[(n+attempt)%len(entries)], fmt.Sprintf("n%d-%d", n, attempt), path)
		switch {
		case err == nil:
			return "answered", nil
		case errors.Is(err, hosted.ErrWrongAnswer):
			return "wrong", err
		case errors.Is(err, hosted.ErrIncomplete) && path == hosted.BookPath:
			return "unknown", err
		}
		time.Sleep(hostedRetryDelay)
	}
	return "unanswered", err
}
