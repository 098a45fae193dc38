package group

import (
	"sync"

	"gypsumvale/internal/state/catalog"
)

// LocalBalancer chooses endpoints by this instance's own counts, by power of two choices.
type LocalBalancer struct {
	usable func(*catalog.Endpoint) bool

	mu     sync.Mutex
	counts map[string]int
	turn   int
}

// NewLocalBalancer returns a chooser among the endpoints for which usable is true.
func NewLocalBalancer(usable func(*catalog.Endpoint) bool) *LocalBalancer {
	return &LocalBalancer{usable: usable, counts: make(map[string]int)}
}

// Increment counts a use of an endpoint.
func (l *LocalBalancer) Increment(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[endpoint]++
}

// Decrement ends a use.
func (l *LocalBalancer) Decrement(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[endpoint]--
	if l.counts[endpoint] <= 0 {
		delete(l.counts, endpoint)
	}
}

// Pick returns the less used of two endpoints, or nil if none may be used.
func (l *LocalBalancer) Pick(pool []*catalog.Endpoint, a *GrantRequest) *catalog.Endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var fit []*catalog.Endpoint
	for _, e := range pool {
		if l.usable(e) && !avoids(a, e.Name) {
			fit = append(fit, e)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	// A stride that shares no factor with most pool sizes walks through different pairs.
	const stride = 7
	l.turn++
	first := fit[l.turn%len(fit)]
	second := fit[(l.turn*stride+1)%len(fit)]
	if l.counts[second.Name]*first.Slots < l.counts[first.Name]*second.Slots {
		return second
	}
	return first
}

func avoids(a *GrantRequest, name string) bool {
	for _, avoided := range a.Avoid {
		if avoided == name {
			return true
		}
	}
	return false
}
