package budget

import (
	"math/rand/v2"
	"time"
)

// Priority is the priority of a call. A lower value may use more of the budget.
type Priority uint8

// Priorities of calls, highest first.
const (
	PriorityClaim Priority = iota
	PriorityTicket
	PriorityLease
	PriorityAudit
	PriorityOther
	priorityCount
)

// Direction is whether a call writes or reads. Each direction has its own rate.
type Direction uint8

// Directions of calls.
const (
	Write Direction = iota
	Read
	directionCount
)

// reserve is the share of a full bucket that must remain after a call, by priority.
var reserve = [priorityCount]float64{0, 0.1, 0.2, 0.4, 0.5}

// Config sets the rates of a process, in calls per second.
type Config struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	Seed            uint64
}

const (
	failureLimit = 3
	minOpenTime  = 200 * time.Millisecond
	maxOpenTime  = 3 * time.Second
)

// Budget admits calls with a token bucket per direction, which holds at most the calls of one second, and a circuit breaker.
type Budget struct {
	rates      [directionCount]float64
	tokens     [directionCount]float64
	refilledAt time.Time

	failures int
	openTime time.Duration
	probeAt  time.Time
	probing  bool
	random   *rand.Rand
}

// New returns a budget with full buckets.
func New(cfg Config) *Budget {
	b := &Budget{rates: [directionCount]float64{cfg.WritesPerSecond, cfg.ReadsPerSecond}, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
	b.tokens = b.rates
	return b
}

// Admit reports whether a call may be sent now. Succeeded or Failed must be called at the end of each admitted call.
func (b *Budget) Admit(now time.Time, d Direction, p Priority) bool {
	b.refill(now)
	if !b.passBreaker(now) {
		return false
	}
	if b.tokens[d]-1 < reserve[p]*b.rates[d] {
		b.probing = false
		return false
	}
	b.tokens[d]--
	return true
}

// passBreaker reports whether the circuit breaker lets a call pass. After failureLimit consecutive failures it opens for some time, and
// then lets one probe at a time pass.
func (b *Budget) passBreaker(now time.Time) bool {
	if b.failures < failureLimit {
		return true
	}
	if b.probing || now.Before(b.probeAt) {
		return false
	}
	b.probing = true
	return true
}

func (b *Budget) refill(now time.Time) {
	passed := now.Sub(b.refilledAt).Seconds()
	if b.refilledAt.IsZero() {
		passed = 0
	}
	b.refilledAt = now
	for d := range b.tokens {
		b.tokens[d] = min(b.rates[d], b.tokens[d]+b.rates[d]*passed)
	}
}

// Succeeded ends a call that the service responded to, and closes the breaker.
func (b *Budget) Succeeded() {
	b.failures, b.openTime, b.probing = 0, 0, false
}

// Failed ends a call without a response. After failureLimit consecutive failures it opens the breaker, and after each further one for
// twice as long, up to maxOpenTime. Jitter keeps processes from resuming their calls at the same time.
func (b *Budget) Failed(now time.Time) {
	b.failures++
	b.probing = false
	if b.failures < failureLimit {
		return
	}
	b.openTime = min(max(2*b.openTime, minOpenTime), maxOpenTime)
	b.probeAt = now.Add(b.openTime/2 + time.Duration(b.random.Int64N(int64(b.openTime))))
}

// Open reports whether the circuit breaker rejects calls.
func (b *Budget) Open(now time.Time) bool {
	return b.failures >= failureLimit && (b.probing || now.Before(b.probeAt))
}
