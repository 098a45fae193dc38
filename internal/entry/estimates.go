package entry

import (
	"sync"
	"time"
)

const (
	initialEstimate = 20 * time.Millisecond
	meanWeight      = 0.05
	// p95Step is the step, as a share of the estimate, by which the estimate of the 95th percentile moves: up by p95UpSteps steps
	// after a slower call, and down by one step after a faster one. It settles where 19 in 20 calls are faster.
	p95Step    = 0.005
	p95UpSteps = 19
	minP95     = 5 * time.Millisecond
)

type estimate struct {
	mean, p95 time.Duration
}

// estimates keeps running estimates of each plain service's service time: the mean and the 95th percentile.
type estimates struct {
	mu        sync.Mutex
	byService map[string]*estimate
}

func newEstimates() *estimates { return &estimates{byService: make(map[string]*estimate)} }

func (e *estimates) get(service string) *estimate {
	s := e.byService[service]
	if s == nil {
		s = &estimate{mean: initialEstimate, p95: 4 * initialEstimate}
		e.byService[service] = s
	}
	return s
}

func (e *estimates) cost(service string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.get(service).mean
}

func (e *estimates) p95(service string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.get(service).p95, minP95)
}

func (e *estimates) observe(service string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.get(service)
	s.mean += time.Duration(meanWeight * float64(took-s.mean))
	s.mean = max(s.mean, time.Millisecond)
	step := time.Duration(p95Step * float64(s.p95))
	if took > s.p95 {
		s.p95 += p95UpSteps * step
		return
	}
	s.p95 = max(s.p95-step, minP95)
}
