package group

import (
	"sync"

	"gypsumvale/internal/state/catalog"
)

// LocalBalancer is a load balancer that chooses the less loaded of two endpoints by this instance's own count of requests.
type LocalBalancer struct {
	usable func(*catalog.Endpoint) bool

	mu       sync.Mutex
	counts   map[string]int
	rotation int
}

// NewLocalBalancer returns a balancer over the endpoints for which usable returns true.
func NewLocalBalancer(usable func(*catalog.Endpoint) bool) *LocalBalancer {
	return &LocalBalancer{usable: usable, counts: make(map[string]int)}
}

// Increment increments the number of this instance's requests on an endpoint.
func (l *LocalBalancer) Increment(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[endpoint]++
}

// Decrement decrements the number of this instance's requests on an endpoint.
func (l *LocalBalancer) Decrement(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[endpoint]--
	if l.counts[endpoint] <= 0 {
		delete(l.counts, endpoint)
	}
}

// Pick returns the one of two usable endpoints with fewer requests per slot, or nil if none is usable.
func (l *LocalBalancer) Pick(pool []*catalog.Endpoint, req *GrantRequest) *catalog.Endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var candidates []*catalog.Endpoint
	for _, e := range pool {
		if l.usable(e) && !avoids(req, e.Name) {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	// A stride that is coprime to most pool sizes varies the pairs from call to call.
	const stride = 7
	l.rotation++
	first := candidates[l.rotation%len(candidates)]
	second := candidates[(l.rotation*stride+1)%len(candidates)]
	if l.counts[second.Name]*first.Slots < l.counts[first.Name]*second.Slots {
		return second
	}
	return first
}

func avoids(req *GrantRequest, name string) bool {
	for _, avoided := range req.Avoid {
		if avoided == name {
			return true
		}
	}
	return false
}
