package succession

import (
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// yieldAfter is how long a leader must have been behind before it hands over: two lease times, so that
	// bursts pass first.
	yieldAfter = 3 * time.Second
	// isolatedYieldAfter is how long a leader must have been isolated: longer than a freeze makes it believe so.
	isolatedYieldAfter = 500 * time.Millisecond
	// firstTerm is how long a leader that was handed the lease keeps it at least, the first time: about the time until it knows the caches.
	firstTerm = 8 * time.Second
	// longestTerm bounds the terms, which double.
	longestTerm = 256 * time.Second
	// maxDoublings is the number of hand-overs after which terms are as long as they get.
	maxDoublings = 5
	// minGain is how many times longer the leader's mean delay must be than that of its successor.
	minGain = 4
)

// Policy decides when a leader that is behind hands its lease over, and to whom.
//
// A leader hands over once it has been behind for yieldAfter, if its term has lasted for its minimum and a peer answers that it isn't behind
// and has a mean delay of a quarter at most. Without such a peer, nothing moves. The leader ends its lease before its successor may
// acquire it, so that there is one holder at a time; if the successor doesn't, any other instance does, as after a leader that has
// failed. An instance that is behind, or has handed over within the minimum of the term that followed, stands for election later than all
// others by a whole lease time.
//
// Each hand-over doubles the minimum of the term that follows, from 8 s to 256 s; a term after none has no minimum. The number of
// hand-overs passes to the successor, and to a leader that is elected otherwise. It starts again once a leader hasn't been behind for
// 256 s. So n instances that are all fast until they lead exchange the lease six times in about the first four minutes, then once in
// longestTerm at most.
//
//	load pattern                              decision
//	the leader is slow, others aren't         it hands over after 3 s, once
//	a burst, or a pause                       nothing: both end sooner, or count once
//	all are behind                            nothing: no peer accepts
//	whoever leads becomes slow                hand-overs after terms that double
//	the leader reaches no endpoint            it hands over after half a second to any peer that does
type Policy struct {
	handOvers      int
	mayYieldAt     clock.Instant
	caughtUpSince  clock.Instant
	standBackUntil clock.Instant
}

// BeginTerm records that this instance leads from now on, after a number of hand-overs in a row.
func (p *Policy) BeginTerm(now clock.Instant, handOvers int) {
	p.handOvers, p.mayYieldAt, p.caughtUpSince = handOvers, now.Add(minTerm(handOvers)), now
}

// minTerm returns the shortest term after a number of hand-overs.
func minTerm(handOvers int) time.Duration {
	if handOvers == 0 {
		return 0
	}
	return min(firstTerm<<min(handOvers-1, maxDoublings), longestTerm)
}

// MayYield reports whether a leader should look for a successor. It is called at least once a second while this instance leads.
func (p *Policy) MayYield(now, behindSince clock.Instant) bool {
	if behindSince != 0 {
		p.caughtUpSince = 0
		return !now.Before(behindSince.Add(yieldAfter)) && !now.Before(p.mayYieldAt)
	}
	if p.caughtUpSince == 0 {
		p.caughtUpSince = now
	}
	if !now.Before(p.caughtUpSince.Add(longestTerm)) {
		p.handOvers = 0
	}
	return false
}

// MayYieldIsolated reports whether a leader that has reached no endpoint since an instant should look for a successor.
func (p *Policy) MayYieldIsolated(now, since clock.Instant) bool {
	return since != 0 && !now.Before(since.Add(isolatedYieldAfter)) && !now.Before(p.mayYieldAt)
}

// Yield records that this instance hands over, and returns the number of hand-overs that its successor begins with.
func (p *Policy) Yield(now clock.Instant) int {
	p.handOvers++
	p.standBackUntil = now.Add(minTerm(p.handOvers))
	return p.handOvers
}

// StandsBack reports whether this instance leaves the lease to others as long as any of them takes it.
func (p *Policy) StandsBack(now, behindSince clock.Instant) bool {
	return behindSince != 0 || now.Before(p.standBackUntil)
}

// Candidate is a peer's answer to a leader that looks for a successor.
type Candidate struct {
	Name string
	// Willing is true if the peer can lead and doesn't stand back.
	Willing bool
	// Delay is the peer's mean delay.
	Delay time.Duration
}

// UnableToLead is the mean delay of a leader that should be succeeded by any willing candidate.
const UnableToLead = time.Duration(1<<63 - 1)

// Successor returns the willing candidate with the shortest delay, or false if none improves enough on the leader's mean delay.
func Successor(delay time.Duration, candidates []Candidate) (name string, ok bool) {
	var best Candidate
	for _, c := range candidates {
		if c.Willing && minGain*c.Delay <= delay && (best.Name == "" || c.Delay < best.Delay) {
			best = c
		}
	}
	return best.Name, best.Name != ""
}
