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

// HostedConfig says how a demonstration site is loaded.
type HostedConfig struct {
	// Entries are the addresses for callers, asked in turn.
	Entries     []string
	Requests    int
	Concurrency int
}

const (
	// hostedTries is how often a caller tries one request, each time at the next entry.
	hostedTries = 3
	// hostedPause is the pause before a caller comes back.
	hostedPause = 100 * time.Millisecond
	// maxMicroseconds is the longest time that the histogram tells apart.
	maxMicroseconds = int64(time.Minute / time.Microsecond)
)

// ErrFailed says that an answer was wrong, or a request was never answered.
var ErrFailed = errors.New("load failed")

// RunHosted sends reads, bookings and redrafts, checks every answer, and writes a summary.
func RunHosted(ctx context.Context, cfg HostedConfig, out io.Writer) error {
	caller := hosted.NewCaller()
	paths := []string{hosted.ReadPath, hosted.BookPath, hosted.RedraftPath, hosted.RedraftPath}
	var mu sync.Mutex
	times := hdrhistogram.New(1, maxMicroseconds, 3)
	counts := map[string]int{}
	var first error
	work := make(chan int)
	var wg sync.WaitGroup
	for range cfg.Concurrency {
		wg.Go(func() {
			for n := range work {
				started := time.Now()
				result, err := callHosted(ctx, caller, cfg.Entries, n, paths[n%len(paths)])
				mu.Lock()
				counts[result]++
				if err != nil && first == nil {
					first = err
				}
				if err == nil {
					// Times beyond the histogram's range count as its end.
					_ = times.RecordValue(min(time.Since(started).Microseconds(), maxMicroseconds))
				}
				mu.Unlock()
			}
		})
	}
	for n := range cfg.Requests {
		work <- n
	}
	close(work)
	wg.Wait()
	if _, err := fmt.Fprintf(out, "hosted: %d requests through %d entries: %d answered, %d unknown, %d wrong, %d unanswered; p50 %.1f ms, p99 %.1f ms\n",
		cfg.Requests, len(cfg.Entries), counts["answered"], counts["unknown"], counts["wrong"], counts["unanswered"],
		float64(times.ValueAtQuantile(50))/1000, float64(times.ValueAtQuantile(99))/1000); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	if counts["wrong"] > 0 || counts["unanswered"] > 0 {
		return fmt.Errorf("%w: %w", ErrFailed, first)
	}
	return nil
}

// callHosted tries as callers do: again after a promise that nothing ran, or whatever may be repeated.
func callHosted(ctx context.Context, caller *hosted.Caller, entries []string, n int, path string) (string, error) {
	var err error
	for try := range hostedTries {
		err = caller.Call(ctx, entries[(n+try)%len(entries)], fmt.Sprintf("n%d-%d", n, try), path)
		switch {
		case err == nil:
			return "answered", nil
		case errors.Is(err, hosted.ErrWrongAnswer):
			return "wrong", err
		case errors.Is(err, hosted.ErrIncomplete) && path == hosted.BookPath:
			return "unknown", err
		}
		time.Sleep(hostedPause)
	}
	return "unanswered", err
}
