package group

import (
	"math"
	"time"
)

// use is one grant that has not ended.
type use struct {
	ask     GrantRequest
	started time.Time
	demoted bool
	// progressed says that the first token has come.
	progressed bool
}

// seat is an owner's view of one endpoint: exactly what it has granted there, and how fast that went.
type seat struct {
	Member
	uses map[GrantID]*use
	// ratio is the smoothed quotient of real and expected service time.
	ratio      float64
	observedAt time.Time
	ejected    bool
	ejectedAt  time.Time
	restoredAt time.Time
	probeAt    time.Time
	// probe is the use that tries an ejected endpoint, or nil.
	probe *use
}

const (
	ratioWeight   = 0.3
	ratioHalfLife = 2 * time.Second
	ejectRatio    = 2.5
	healthyRatio  = 1.2
	restoreRatio  = 1.5
	demoteRatio   = 4.0
	// minProbeWait and maxProbeWait bound the time between probes. Each costs a caller a slow answer; an endpoint that is well again and
	// not yet probed costs all callers its slots.
	minProbeWait = 2 * time.Second
	maxProbeWait = 8 * time.Second
	// probeShare is the share of the time for which an endpoint has been slow that passes before the next probe.
	probeShare = 0.5
	// ejectFloor is the least share of a group's endpoints that stays in use.
	ejectFloor = 0.6
	// minOverrun keeps small absolute delays of tiny requests from counting as slowness.
	minOverrun = 20 * time.Millisecond
)

func newSeat(m Member) *seat {
	return &seat{Member: m, uses: make(map[GrantID]*use), ratio: 1}
}

// observe takes the quotient of real and expected time of one piece of work.
func (s *seat) observe(now time.Time, ratio float64) {
	known := s.aged(now)
	s.ratio = known + ratioWeight*(ratio-known)
	s.observedAt = now
}

// aged moves the ratio back towards one while nothing is observed.
//
// An endpoint that looks a little slow gets no work while others idle, so without this it would look slow for ever.
func (s *seat) aged(now time.Time) float64 {
	if s.ejected || s.observedAt.IsZero() {
		return s.ratio
	}
	halvings := now.Sub(s.observedAt).Seconds() / ratioHalfLife.Seconds()
	return 1 + (s.ratio-1)*math.Exp2(-halvings)
}

// pace is the larger of the smoothed ratio and what the running work shows already.
//
// A stalled endpoint ends nothing and so reports nothing; what it holds longer than expected speaks for it.
func (s *seat) pace(now time.Time) float64 {
	overdue, n := 0.0, 0
	for _, u := range s.uses {
		if late := u.overdue(now); late > 0 && !u.started.Before(s.restoredAt) {
			overdue += late
			n++
		}
	}
	if n == 0 {
		return s.aged(now)
	}
	return max(s.aged(now), overdue/float64(n))
}

// overdue returns how many times longer than expected a use has taken so far, to its first token or to its end; zero is not overdue.
func (u *use) overdue(now time.Time) float64 {
	elapsed := now.Sub(u.started)
	switch {
	case !u.progressed && u.ask.First > 0 && elapsed > u.ask.First+minOverrun:
		return float64(elapsed) / float64(u.ask.First)
	case u.ask.Class == ClassShort && elapsed > u.ask.Cost+minOverrun:
		return float64(elapsed) / float64(u.ask.Cost)
	}
	return 0
}

// probeWait returns the time until the next probe: most endpoints are slow for moments, and one that stays slow is tried less and less.
func (s *seat) probeWait(now time.Time) time.Duration {
	return min(max(minProbeWait, time.Duration(probeShare*float64(now.Sub(s.ejectedAt)))), maxProbeWait)
}

// load is the work on the endpoint for each of its slots, weighted by its pace.
func (s *seat) load(now time.Time) float64 {
	// Small differences of pace are noise; without the floor the fastest endpoint would take all that comes.
	return (float64(len(s.uses)) + 1) / float64(s.Slots) * max(s.pace(now), healthyRatio)
}

// longUses counts long work and short work that has outrun its estimate.
func (s *seat) longUses(now time.Time) int {
	n := 0
	for _, u := range s.uses {
		if u.ask.Class == ClassLong || u.outran(now) {
			n++
		}
	}
	return n
}

func (u *use) outran(now time.Time) bool {
	if u.demoted {
		return true
	}
	limit := time.Duration(demoteRatio * float64(u.ask.Cost))
	u.demoted = now.Sub(u.started) > limit+minOverrun
	return u.demoted
}

// keptSlots is the number of slots that long work never takes.
func (s *seat) keptSlots() int {
	const keptDivisor = 4
	if s.Slots == 1 {
		return 0
	}
	return max(1, s.Slots/keptDivisor)
}

// hasRoom reports whether the endpoint may take an ask now.
func (s *seat) hasRoom(now time.Time, a *GrantRequest) bool {
	if s.Leaving || len(s.uses) >= s.Slots {
		return false
	}
	if a.Suspect && s.holdsSuspect() {
		return false
	}
	if a.Version != "" && s.Version != "" && a.Version != s.Version {
		return false
	}
	if avoids(a, s.Name) {
		return false
	}
	if a.Class == ClassLong && s.longUses(now) >= s.Slots-s.keptSlots() {
		return false
	}
	return !s.ejected || s.mayProbe(now, a)
}

// holdsSuspect keeps suspects apart, so that a second crash has one culprit.
func (s *seat) holdsSuspect() bool {
	for _, u := range s.uses {
		if u.ask.Suspect {
			return true
		}
	}
	return false
}

// mayProbe lets one short ask at a time try an ejected endpoint.
func (s *seat) mayProbe(now time.Time, a *GrantRequest) bool {
	return a.Class == ClassShort && s.probe == nil && !now.Before(s.probeAt)
}
