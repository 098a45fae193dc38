package placement

import (
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// throughputWindow is the time over which events are counted; it spans several ends of requests on each engine.
	throughputWindow  = time.Second
	throughputBuckets = 10
)

// throughput counts events of the last throughputWindow.
type throughput struct {
	counts [throughputBuckets]int
	total  int
	// last is the number of the newest bucket since the clock's origin.
	last int64
}

func bucketOf(now clock.Instant) int64 { return int64(now) / int64(throughputWindow/throughputBuckets) }

// advance empties the buckets that have left the window.
func (t *throughput) advance(now clock.Instant) {
	current := bucketOf(now)
	for n := max(t.last+1, current-throughputBuckets+1); n <= current; n++ {
		t.total -= t.counts[n%throughputBuckets]
		t.counts[n%throughputBuckets] = 0
	}
	t.last = max(t.last, current)
}

func (t *throughput) add(now clock.Instant) {
	t.advance(now)
	t.counts[t.last%throughputBuckets]++
	t.total++
}

// perSecond returns the rate of events.
func (t *throughput) perSecond(now clock.Instant) float64 {
	t.advance(now)
	return float64(t.total) / throughputWindow.Seconds()
}
