package budget

import (
	"math/rand/v2"
	"time"
)

// Priority orders calls; a lower one may use more of the budget.
type Priority uint8

// Ranks of calls.
const (
	PriorityClaim Priority = iota
	PriorityTicket
	PriorityLease
	PriorityAudit
	PriorityOther
	rankCount
)

// Direction separates the two rates of the service.
type Direction uint8

// Directions of calls.
const (
	Write Direction = iota
	Read
	directionCount
)

// reserve is the share of a full bucket that must remain after a call of each rank.
var reserve = [rankCount]float64{0, 0.1, 0.2, 0.4, 0.5}

// Config sets a process's rates, in calls a second.
type Config struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	Seed            uint64
}

const (
	failureLimit = 3
	minRest      = 200 * time.Millisecond
	maxRest      = 3 * time.Second
)

// Budget is the decision core that admits calls; it holds one second's calls at most.
type Budget struct {
	rates  [directionCount]float64
	tokens [directionCount]float64
	filled time.Time

	failures int
	rest     time.Duration
	openAt   time.Time
	probing  bool
	random   *rand.Rand
}

// New returns a full budget.
func New(cfg Config) *Budget {
	b := &Budget{rates: [directionCount]float64{cfg.WritesPerSecond, cfg.ReadsPerSecond}, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
	b.tokens = b.rates
	return b
}

// Admit reports whether a call may be sent now; each admitted call ends with Succeeded or Failed.
func (b *Budget) Admit(now time.Time, d Direction, r Priority) bool {
	b.fill(now)
	if !b.closed(now) {
		return false
	}
	if b.tokens[d]-1 < reserve[r]*b.rates[d] {
		b.probing = false
		return false
	}
	b.tokens[d]--
	return true
}

// closed is the breaker: after failureLimit failures in a row one call at a time probes, after a rest.
func (b *Budget) closed(now time.Time) bool {
	if b.failures < failureLimit {
		return true
	}
	if b.probing || now.Before(b.openAt) {
		return false
	}
	b.probing = true
	return true
}

func (b *Budget) fill(now time.Time) {
	passed := now.Sub(b.filled).Seconds()
	if b.filled.IsZero() {
		passed = 0
	}
	b.filled = now
	for d := range b.tokens {
		b.tokens[d] = min(b.rates[d], b.tokens[d]+b.rates[d]*passed)
	}
}

// Succeeded ends a call that the service answered.
func (b *Budget) Succeeded() {
	b.failures, b.rest, b.probing = 0, 0, false
}

// Failed ends a call without an answer; the rest doubles, with jitter so that processes don't return together.
func (b *Budget) Failed(now time.Time) {
	b.failures++
	b.probing = false
	if b.failures < failureLimit {
		return
	}
	b.rest = min(max(2*b.rest, minRest), maxRest)
	b.openAt = now.Add(b.rest/2 + time.Duration(b.random.Int64N(int64(b.rest))))
}

// Open reports whether the breaker keeps calls back.
func (b *Budget) Open(now time.Time) bool {
	return b.failures >= failureLimit && (b.probing || now.Before(b.openAt))
}
