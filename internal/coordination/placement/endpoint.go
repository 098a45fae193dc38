package placement

import (
	"time"

	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

const (
	// firstBackoff and maxBackoff bound the delay before an unreachable endpoint is tried again.
	firstBackoff = 150 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// rejectedBackoff is how long an endpoint gets no new requests after it rejected one because it is full or loads weights.
	rejectedBackoff = 150 * time.Millisecond
	// errorWeight is the weight of a new observation in the error rate.
	errorWeight = 0.1
)

// assignment is one request placed on an endpoint.
type assignment struct {
	req      *Request
	endpoint *endpointState
	space    string
	// version is the weight version that the endpoint must run, or zero if any will do.
	version int
	// software is the software version that the endpoint had when it was chosen. It may start again with another one under its identifier.
	software string
	sentAt   clock.Instant
	expected time.Duration
	// prefillTokens is the number of prompt tokens still to be prefilled; it is zero after the first event.
	prefillTokens int
	// gapTarget is the target for the gaps between events of a stream, or zero, and healthyTime the time to the first event that was expected
	// of a healthy engine.
	gapTarget, healthyTime time.Duration
	// ownTokens is the memory that is counted for the request alone, and sharing the number of its leading parts that others may share.
	ownTokens, sharing int
	// saves is true if a store saves parts of the prompt.
	saves bool
	// slowestLinks are the links that carry the longest of the transfers before the first event.
	slowestLinks []*link
}

// endpointState is a pool's view of one endpoint.
type endpointState struct {
	*registration.Registration
	assignments map[AssignmentID]*assignment
	// prefillTokens and memoryTokens are sums over the assignments; prefillByPriority splits the former by priority.
	prefillTokens     int
	prefillByPriority [priorityLevels]int
	memoryTokens      int
	occupancy         occupancy
	cache             *cache
	// cacheFeedUntil is until when the endpoint's cache events are assumed to be complete.
	cacheFeedUntil clock.Instant
	link           link
	// clockOffset is the endpoint's clock minus the local boot clock, in milliseconds; zero means unknown.
	clockOffset int64
	// version holds the best known weight version of each model, and confirmedVersion the newest that the endpoint has named; registrations
	// lag behind.
	version, confirmedVersion map[string]int

	// lastResponse is when the endpoint last showed any activity. unresponsiveSince is when the endpoint was found to have shown none for
	// longer than its assignments explain; zero means responsive.
	lastResponse      clock.Instant
	unresponsiveSince clock.Instant

	// changed is true if the pool has recorded a capacity change of this endpoint since its queue was last processed.
	changed bool

	failures     int
	backoffUntil clock.Instant
	loadingUntil clock.Instant
	// orderPending is true while the endpoint may execute a weight order at any moment.
	orderPending bool

	slowdown  slowdown
	pacing    pacing
	errorRate float64
	// warmup is nil until the registration was observed.
	warmup *endpointWarmup
}

func newEndpointState(r *registration.Registration, x *index) *endpointState {
	s := &endpointState{
		Registration: r, assignments: make(map[AssignmentID]*assignment), version: make(map[string]int), confirmedVersion: make(map[string]int),
	}
	s.cache = newCache(s, x)
	return s
}

// update applies a newer registration; after a restart or a change of address the state starts afresh.
func (s *endpointState) update(r *registration.Registration) {
	if s.StartMilli != r.StartMilli || s.Address != r.Address {
		s.cache.clear()
		s.version, s.confirmedVersion = make(map[string]int), make(map[string]int)
		s.orderPending = false
		s.failures, s.backoffUntil, s.loadingUntil, s.errorRate, s.slowdown, s.link, s.unresponsiveSince = 0, 0, 0, 0, slowdown{}, link{}, 0
		s.pacing.slowdown, s.pacing.recent = slowdown{}, 0
	}
	s.Registration = r
	for model, v := range r.Versions {
		s.setVersion(model, v)
	}
}

// setVersion applies a weight version that an endpoint has named; versions only rise while it runs.
func (s *endpointState) setVersion(model string, version int) {
	if version > s.confirmedVersion[model] {
		s.confirmedVersion[model] = version
		s.assumeVersion(model, version)
	}
}

// observeVersion applies a weight version that an endpoint has named in an answer, which doesn't lag behind.
func (s *endpointState) observeVersion(model string, version int) {
	if version >= s.confirmedVersion[model] {
		s.confirmedVersion[model] = version
		s.assumeVersion(model, version)
	}
}

// assumeVersion applies a weight version that an endpoint may run, until it names one that is newer than the last it named.
func (s *endpointState) assumeVersion(model string, version int) {
	if version == s.version[model] {
		return
	}
	if s.version[model] != 0 {
		s.cache.clear()
	}
	s.version[model] = version
	s.orderPending = false
}

// runsVersion reports whether the endpoint runs a weight version of any model.
func (s *endpointState) runsVersion(version int) bool {
	for _, v := range s.version {
		if v == version {
			return true
		}
	}
	return false
}

func (s *endpointState) usable(now clock.Instant) bool {
	return !now.Before(s.backoffUntil) && !now.Before(s.loadingUntil) && s.unresponsiveSince == 0
}

// backOff records that the endpoint could not be reached; each consecutive failure doubles the delay.
func (s *endpointState) backOff(now clock.Instant) {
	backoff := min(firstBackoff<<min(s.failures, 5), maxBackoff)
	s.failures++
	s.backoffUntil = now.Add(backoff)
}

// observeFirstEvent applies the time to the assignment's first event. Since the expectation already includes the engine's own slowdown, a
// delay after a transfer is attributed to the links.
func (a *assignment) observeFirstEvent(now clock.Instant) {
	ratio := float64(now.Sub(a.sentAt)) / float64(a.expected)
	if a.healthyTime > 0 {
		a.endpoint.pacing.observe(now, float64(now.Sub(a.sentAt))/float64(a.healthyTime))
	}
	if len(a.slowestLinks) == 0 {
		a.endpoint.slowdown.observe(now, ratio)
		return
	}
	for _, l := range a.slowestLinks {
		l.slowdown.observe(now, ratio)
	}
}

func (s *endpointState) observeError(failed bool) {
	s.errorRate *= 1 - errorWeight
	if failed {
		s.errorRate += errorWeight
	}
}

// priorityLevels is the number of priorities that are counted separately.
const priorityLevels = 10

// priorityLevel clamps a request's priority to the levels that are counted separately.
func priorityLevel(req *Request) int { return min(max(0, req.Priority), priorityLevels-1) }

// prefillBefore returns the prompt tokens that the endpoint prefills before a request, including a share of the less urgent ones.
func (s *endpointState) prefillBefore(req *Request) float64 {
	before := 0
	for _, tokens := range s.prefillByPriority[:priorityLevel(req)+1] {
		before += tokens
	}
	return float64(before) + lessUrgentShare*float64(s.prefillTokens-before)
}

func (s *endpointState) add(a *assignment) {
	s.assignments[a.req.ID] = a
	s.prefillTokens += a.prefillTokens
	s.prefillByPriority[priorityLevel(a.req)] += a.prefillTokens
	s.memoryTokens += a.req.memoryTokens()
	s.occupy(a)
	s.pacing.count(a.gapTarget, 1)
}

// prefillDone records that an assignment's prompt has been prefilled.
func (s *endpointState) prefillDone(a *assignment) {
	s.prefillTokens -= a.prefillTokens
	s.prefillByPriority[priorityLevel(a.req)] -= a.prefillTokens
	a.prefillTokens = 0
}

func (s *endpointState) remove(a *assignment) {
	s.prefillDone(a)
	s.memoryTokens -= a.req.memoryTokens()
	s.vacate(a)
	s.pacing.count(a.gapTarget, -1)
	delete(s.assignments, a.req.ID)
}
