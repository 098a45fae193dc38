package bench

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// startTime is the virtual start time of every run.
var startTime = time.Unix(1_800_000_000, 0)

type timer struct {
	at       time.Time
	sequence int
	run      func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

// clock is a virtual clock that runs timers in the order of their times; timers of the same time run in the order of their creation.
type clock struct {
	now      time.Time
	timers   timerHeap
	sequence int
}

func newClock() *clock { return &clock{now: startTime} }

func (c *clock) after(d time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.timers, timer{at: c.now.Add(d), sequence: c.sequence, run: run})
}

func (c *clock) runUntil(end time.Time) {
	for len(c.timers) > 0 && !c.timers[0].at.After(end) {
		t := heap.Pop(&c.timers).(timer)
		c.now = t.at
		t.run()
	}
	c.now = end
}

// exponential draws an exponentially distributed duration.
func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// lognormal draws a lognormally distributed duration.
func lognormal(r *rand.Rand, median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*r.NormFloat64()))
}
