package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumvale/internal/layout"
	"gypsumvale/internal/standin/depot"
)

// Print writes the measures of a run.
func (r *Result) Print(w io.Writer) {
	p := printer{w: w}
	p.line("answered %d, unanswered %d, wrong %d, outcome unknown %d, tries %d, in %.1f s",
		r.Answered, r.Unanswered, r.Wrong, r.Unknown, r.Attempts, r.Elapsed.Seconds())
	p.line("%-18s %6s %10s %10s %10s %10s %10s", "kind", "count", "first p50", "first p95", "first p99", "total p50", "total p99")
	for _, k := range Kinds {
		total := r.Total[k]
		if total.TotalCount() == 0 {
			continue
		}
		p.line("%-18s %6d %10s %10s %10s %10s %10s", k, total.TotalCount(), at(r.FirstToken[k], 50), at(r.FirstToken[k], 95),
			at(r.FirstToken[k], 99), at(total, 50), at(total, 99))
	}
	u := r.Usage
	context := u.ReusedTokens + u.FetchedTokens + u.RecomputedTokens
	if context > 0 {
		p.line("context tokens: %.1f%% reused, %.1f%% fetched, %.1f%% recomputed",
			percent(u.ReusedTokens, context), percent(u.FetchedTokens, context), percent(u.RecomputedTokens, context))
	}
	codes := make([]string, 0, len(r.Refused))
	for code := range r.Refused {
		codes = append(codes, code)
	}
	sort.Strings(codes)
	for _, code := range codes {
		p.line("refused %-26s %d", code, r.Refused[code])
	}
	for _, d := range r.Details {
		p.line("  %s", d)
	}
}

type printer struct{ w io.Writer }

func (p printer) line(format string, args ...any) {
	// A report that can't be written has no one to tell.
	_, _ = fmt.Fprintf(p.w, format+"\n", args...)
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(whole) }

func at(h *hdrhistogram.Histogram, quantile float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f ms", float64(h.ValueAtQuantile(quantile))/1000)
}

// Effects is what the plain services counted.
type Effects struct {
	Keys       int
	Duplicates []string
	ByKey      map[string]int
}

// ReadEffects adds up the effects of all services of a layout.
func ReadEffects(ctx context.Context, l *layout.Layout) (*Effects, error) {
	e := &Effects{ByKey: make(map[string]int)}
	for _, s := range l.Services {
		var answer struct {
			Effects []struct {
				Key   string `json:"key"`
				Count int    `json:"count"`
			} `json:"effects"`
		}
		if err := GetJSON(ctx, "http://"+s.Address+"/effects", &answer); err != nil {
			return nil, fmt.Errorf("read effects: %w", err)
		}
		for _, f := range answer.Effects {
			e.ByKey[f.Key] += f.Count
		}
	}
	for key, n := range e.ByKey {
		e.Keys++
		if n > 1 {
			e.Duplicates = append(e.Duplicates, key)
		}
	}
	return e, nil
}

// LinkSummaries returns the share of time that each store's link was busy during a run, by store.
func LinkSummaries(ctx context.Context, l *layout.Layout, elapsed time.Duration) ([]string, error) {
	var lines []string
	for _, s := range l.Stores {
		var stats depot.Stats
		if err := GetJSON(ctx, "http://"+s.Address+"/stats", &stats); err != nil {
			return nil, fmt.Errorf("read link use: %w", err)
		}
		busy := time.Duration(stats.BusyMilli) * time.Millisecond
		lines = append(lines, fmt.Sprintf("store %s: link %.1f%% busy, %d blocks, %d reads, %d writes, %d reads refused",
			s.Name, 100*busy.Seconds()/elapsed.Seconds(), stats.Blocks, stats.Reads, stats.Writes, stats.Refused))
	}
	return lines, nil
}

// GetJSON reads a JSON answer.
func GetJSON(ctx context.Context, url string, into any) error {
	return getAuthorized(ctx, url, "", into)
}

func getAuthorized(ctx context.Context, url, token string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	return nil
}
