package gateway

import (
	"sync"

	"gypsumvale/internal/coordination/allowance"
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

	mu        sync.Mutex
	instances int
	byService map[string]*allowance.AttemptBudget
}

func newRetryBudgets(share, reserve float64) *retryBudgets {
	return &retryBudgets{
		share: share * retryMargin, reserve: reserve * retryMargin, instances: minInstances,
		byService: make(map[string]*allowance.AttemptBudget),
	}
}

// setInstances divides the reserve among n instances, or minInstances if that is more.
func (r *retryBudgets) setInstances(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n = max(n, minInstances)
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
	a := r.byService[service]
	if a == nil {
		a = allowance.New(r.share, r.reserve/float64(r.instances))
		r.byService[service] = a
	}
	return a
}
