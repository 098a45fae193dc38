package allowance

import "sync"

// AttemptBudget admits extra attempts up to a share of all requests, with a small reserve for quiet times.
type AttemptBudget struct {
	share   float64
	reserve float64

	mu    sync.Mutex
	saved float64
}

// New returns an allowance of a share of requests, and of a number of attempts at the start.
func New(share, reserve float64) *AttemptBudget {
	return &AttemptBudget{share: share, reserve: reserve, saved: reserve}
}

// SetReserve changes the number of attempts that are kept for quiet times.
func (a *AttemptBudget) SetReserve(reserve float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserve = reserve
	a.saved = min(a.saved, max(reserve, 1))
}

// CountRequest counts a request.
func (a *AttemptBudget) CountRequest() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.saved = min(a.saved+a.share, max(a.reserve, 1))
}

// Take reports whether one extra attempt may be made.
func (a *AttemptBudget) Take() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.saved < 1 {
		return false
	}
	a.saved--
	return true
}
