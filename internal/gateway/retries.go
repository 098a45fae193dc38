package gateway

import (
	"sync"

	"gypsumvale/internal/coordination/allowance"
)

const (
	// retryMargin is the share of the budget that is used: what is counted here and at the endpoints differs a little.
	retryMargin = 0.7
	// leastInstances is taken until the number of entry instances is known.
	leastInstances = 24
)

// retries holds this instance's part of the budget of each service: the share is earned by its own requests, and the slack is
// divided among all instances.
type retries struct {
	share float64
	slack float64

	mu        sync.Mutex
	instances int
	byService map[string]*allowance.AttemptBudget
}

func newRetries(share float64, slack int) *retries {
	return &retries{share: share * retryMargin, slack: float64(slack) * retryMargin, instances: leastInstances, byService: make(map[string]*allowance.AttemptBudget)}
}

// setInstances divides the slack among the instances that are known; fewer than a usual site's may only be known in part.
func (r *retries) setInstances(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n = max(n, leastInstances)
	if n == r.instances {
		return
	}
	r.instances = n
	for _, a := range r.byService {
		a.SetReserve(r.slack / float64(n))
	}
}

func (r *retries) of(service string) *allowance.AttemptBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.byService[service]
	if a == nil {
		a = allowance.New(r.share, r.slack/float64(r.instances))
		r.byService[service] = a
	}
	return a
}
