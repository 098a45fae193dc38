package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"gypsumvale/internal/layout"
	"gypsumvale/internal/standin/keyvalue"
)

// ClaimsReport is what a steady rate of bookings costs at the key-value service.
type ClaimsReport struct {
	Entries   int
	Sent      int
	Answered  int
	Elapsed   time.Duration
	Writes    int64
	Reads     int64
	Conflicts int64
	Bytes     int64
	Total     *hdrhistogram.Histogram
}

// MeasureClaims sends bookings at a rate through all entries in turn, each with a key of its own, and counts the service's calls.
func MeasureClaims(ctx context.Context, l *layout.Layout, rate int, span time.Duration) (*ClaimsReport, error) {
	before, err := platformStats(ctx, l)
	if err != nil {
		return nil, fmt.Errorf("measure claims: %w", err)
	}
	c := &ClaimsReport{Entries: len(l.Entries), Total: hdrhistogram.New(lowestMicros, highestMicros, digits)}
	client := NewClient()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var wg sync.WaitGroup
	var mu sync.Mutex
	started := time.Now()
	for time.Since(started) < span && ctx.Err() == nil {
		<-ticker.C
		n := c.Sent
		c.Sent++
		wg.Go(func() {
			o := book(ctx, client, l, n)
			mu.Lock()
			defer mu.Unlock()
			if o.Code == CodeOK {
				c.Answered++
				_ = c.Total.RecordValue(o.Total.Microseconds())
			}
		})
	}
	wg.Wait()
	c.Elapsed = time.Since(started)
	// Outcomes follow within a second.
	time.Sleep(time.Second)
	after, err := platformStats(ctx, l)
	if err != nil {
		return nil, fmt.Errorf("measure claims: %w", err)
	}
	c.Writes, c.Reads = after.Writes-before.Writes, after.Reads-before.Reads
	c.Conflicts, c.Bytes = after.Conflicts-before.Conflicts, after.Bytes-before.Bytes
	return c, nil
}

func book(ctx context.Context, client *Client, l *layout.Layout, n int) Outcome {
	id, err := uuid.NewV7()
	if err != nil {
		return Outcome{Code: CodeWrong, Detail: err.Error()}
	}
	target := Target{Address: l.Entries[n%len(l.Entries)].Callers, APIKey: l.Workspaces[n%len(l.Workspaces)].Key, IdempotencyKey: id.String()}
	return client.Call(ctx, target, http.MethodPost, servicePath("/slots"), []byte("{}"))
}

func platformStats(ctx context.Context, l *layout.Layout) (keyvalue.Stats, error) {
	var s keyvalue.Stats
	err := GetJSON(ctx, "http://"+l.KeyValue+"/stats", &s)
	return s, err
}

// Print writes the figures of a run.
func (c *ClaimsReport) Print(w io.Writer) {
	perClaim := float64(c.Writes) / float64(max(c.Answered, 1))
	printer{w: w}.line("claims, %d entries: %d of %d answered at %.0f a second, %.3f writes a claim (target 0.25), %.0f writes, %.1f reads and %.0f KB a second, %d conflicts; booking p50 %s, p99 %s",
		c.Entries, c.Answered, c.Sent, float64(c.Sent)/c.Elapsed.Seconds(), perClaim, float64(c.Writes)/c.Elapsed.Seconds(),
		float64(c.Reads)/c.Elapsed.Seconds(), float64(c.Bytes)/1024/c.Elapsed.Seconds(), c.Conflicts, at(c.Total, 50), at(c.Total, 99))
}
