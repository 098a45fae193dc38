package warmup

import (
	"math"
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// Window is the sliding window in which a cold endpoint's admissions are counted: one second, in which the endpoint counts arrivals, and
	// 250 ms by which the delays of two requests on their way differ at most.
	Window = 1250 * time.Millisecond
	// GrantTimeout is how long an admission may be used. The rest of the difference between Window and one second is left to the network.
	GrantTimeout = 200 * time.Millisecond
)

// Limits limits the requests that cold endpoints of a service get. The zero value sets no limit.
type Limits struct {
	// PerSecond is the number of requests per second that a cold endpoint bears; zero is for services without a limit.
	PerSecond float64
	// Time is how long an endpoint is cold that doesn't announce it.
	Time time.Duration
	// Excess and Tolerance set the bound on arrivals in any second, which is PerSecond times Excess plus Tolerance.
	Excess, Tolerance float64
}

// Enabled reports whether there is a limit.
func (l *Limits) Enabled() bool { return l.PerSecond > 0 }

// Admissions returns how many requests a cold endpoint may be sent in each Window: PerSecond, or the bound where that is lower.
func (l *Limits) Admissions() int {
	bound := l.PerSecond*l.Excess + l.Tolerance
	return int(math.Floor(min(max(1, l.PerSecond), bound)))
}

// Authority is what a process may admit to cold endpoints.
type Authority struct {
	// SoleSince is since when no other process admits requests to the service's cold endpoints, or zero if others may.
	SoleSince clock.Instant
	// Share is the number of requests per Window that the process may admit to an endpoint although others admit some too.
	Share int
}

// Permits reports whether an endpoint may get a request now. A warm one always may. What earlier processes admitted to a cold one isn't known,
// so that a process that has become the only one admits nothing for one Window.
//
// A process that may admit nothing takes an endpoint in doubt for warm after the time that was set for the doubt. Without that, an outage of
// the store, in which no registration can refute the doubt, would take the endpoint out of use for as long as it lasts.
func (l *Limits) Permits(now clock.Instant, e *Endpoint, a Authority) bool {
	status := e.Status(now)
	if status == Warm || !l.Enabled() {
		return true
	}
	limit := a.Share
	if a.SoleSince != 0 {
		if now.Before(a.SoleSince.Add(Window)) {
			return false
		}
		limit = l.Admissions()
	}
	if limit == 0 {
		return status == InDoubt && !now.Before(e.doubtUntil)
	}
	return e.admits(now, limit)
}
