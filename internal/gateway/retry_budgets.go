package gateway

import (
	"sync"

	"gypsumvale/internal/coordination/allowance"
	"gypsumvale/internal/state/clock"
)

const (
	// retryMargin is the share of the budget that is used, since the counts here and at the endpoints differ slightly.
	retryMargin = 0.7
	// minInstances is the smallest number of entry instances by which the reserve is divided; fewer may only mean that not all are known
	// yet.
	minInstances = 24
)

// retryBudgets holds this instance's part of each service's retry budget: the share is earned by this instance's own requests, and the
// reserve is divided among all instances.
type retryBudgets struct {
	share   float64
	reserve float64

	mu sync.Mutex
	// instances is the number by which the reserve is divided, and registered the number at the last read. Until reappearBy, instances doesn't
	// fall: registrations that a restored store has lost are still to be made again.
	instances  int
	registered int
	reappearBy clock.Instant
	byService  map[string]*allowance.AttemptBudget
}

func newRetryBudgets(share, reserve float64) *retryBudgets {
	return &retryBudgets{
		share: share * retryMargin, reserve: reserve * retryMargin, instances: minInstances, registered: minInstances,
		byService: make(map[string]*allowance.AttemptBudget),
	}
}

// setInstances divides the reserve among n instances, or minInstances if that is more. If restored is true, n is the first number that was
// read after the store was restored from a copy, which may lack instances.
func (r *retryBudgets) setInstances(now clock.Instant, n int, restored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if restored {
		r.reappearBy = now.Add(rewriteTime)
	}
	r.registered = max(n, minInstances)
	r.divide(now)
}

// divide divides the reserve; the caller holds the lock.
func (r *retryBudgets) divide(now clock.Instant) {
	n := r.registered
	if now.Before(r.reappearBy) {
		n = max(n, r.instances)
	}
	if n == r.instances {
		return
	}
	r.instances = n
	for _, a := range r.byService {
		a.SetReserve(r.reserve / float64(n))
	}
}

// setLimits changes the limits of all services.
func (r *retryBudgets) setLimits(share, reserve float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share, r.reserve = share*retryMargin, reserve*retryMargin
	for _, a := range r.byService {
		a.SetShare(r.share)
		a.SetReserve(r.reserve / float64(r.instances))
	}
}

func (r *retryBudgets) forService(service string) *allowance.AttemptBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.divide(clock.Now())
	a := r.byService[service]
	if a == nil {
		a = allowance.New(r.share, r.reserve/float64(r.instances))
		r.byService[service] = a
	}
	return a
}
