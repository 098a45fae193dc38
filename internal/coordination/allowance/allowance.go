package allowance

import "sync"

// AttemptBudget is a token bucket that admits extra attempts up to a share of all requests. A small reserve of tokens allows some at low
// load.
type AttemptBudget struct {
	share   float64
	reserve float64

	mu     sync.Mutex
	tokens float64
}

// New returns a budget that starts with reserve tokens. Each request adds share tokens, up to a maximum of reserve or 1, whichever is
// higher.
func New(share, reserve float64) *AttemptBudget {
	return &AttemptBudget{share: share, reserve: reserve, tokens: reserve}
}

// SetShare changes how many tokens each request adds.
func (a *AttemptBudget) SetShare(share float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.share = share
}

// SetReserve changes the maximum number of tokens.
func (a *AttemptBudget) SetReserve(reserve float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserve = reserve
	a.tokens = min(a.tokens, max(reserve, 1))
}

// CountRequest counts a request, which adds share tokens.
func (a *AttemptBudget) CountRequest() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = min(a.tokens+a.share, max(a.reserve, 1))
}

// Take takes a token if there is one, and reports whether an extra attempt may be made.
func (a *AttemptBudget) Take() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
