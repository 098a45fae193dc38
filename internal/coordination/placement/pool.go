package placement

import (
	"time"

	"gypsumvale/internal/coordination/throttle"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

const (
	// lostEndTimeout is how long after its deadline an assignment still counts if its end was never reported.
	lostEndTimeout = time.Second
	// withdrawalTimeout is how long a withdrawal of a request that has not arrived is remembered. Both messages are sent on one connection but
	// handled concurrently, so that the request follows within the time for which a process may be delayed.
	withdrawalTimeout = 5 * time.Second
)

// Pool decides the placement of one service's requests: it receives requests, their progress and their ends, and returns choices.
//
// The pool counts its own assignments exactly and models each endpoint's cache from them. It sees no other pool's assignments, so load and
// cache contents are estimates.
type Pool struct {
	cfg       Config
	engine    *Engine
	endpoints map[string]*endpointState
	// endpointIDs and endpointList hold the endpoints' identifiers and states, both ordered by identifier.
	endpointIDs  []string
	endpointList []*endpointState
	assignments  map[AssignmentID]*assignment
	holds        holds
	targets      map[string][]TargetVersion
	// newestSeen is the newest weight version of each model that any endpoint has been seen to run.
	newestSeen map[string]int
	index      *index
	// queue is ordered by priority, most urgent first; then come requests that can still meet their targets, then by arrival. queuedTokens
	// holds the sum of its unique tokens by priority.
	queue        []*queuedRequest
	queuedTokens map[int]int
	// queued holds the identifiers of the requests in the queue, each of which is there once.
	queued map[AssignmentID]bool
	// withdrawn holds the requests that were withdrawn before they arrived, and when.
	withdrawn map[AssignmentID]clock.Instant
	// newlyQueued is true if all engines have yet to be considered for some queued request.
	newlyQueued bool
	// released counts ended assignments, and placed counts new ones by priority.
	released      throughput
	placed        map[int]*throughput
	lastFullScan  clock.Instant
	lastRejection clock.Instant
	// changed holds the engines that have ended or prefilled a request, or loaded weights, since the queue was last processed.
	changed []*endpointState

	// isOwner is true while this process alone grants endpoints, and saves and frees parts in the stores.
	isOwner    bool
	stores     map[string]*storeState
	storeOrder []string
	storeIndex storeIndex

	warmups warmups
	// settling holds the software versions at which no streams begin yet that may go on elsewhere, and when that ends.
	settling map[string]clock.Instant
	// limits holds the limits that endpoints have named, and limitListedAt when these were last seen registered.
	limits        map[registration.Incarnation]*throttle.Endpoint
	limitListedAt map[registration.Incarnation]clock.Instant
	// brittle holds the endpoints that say to be brittle.
	brittle map[registration.Incarnation]*throttle.Rejections
	// meanSize is the mean memory of the requests placed lately, in tokens.
	meanSize float64

	// sampleNext is the index into endpointList from which a large fleet is sampled next.
	sampleNext  int
	evaluations uint64
	// paced is true once a request with a gap target was placed on engines of known stride.
	paced bool
	// smallRunning is the number of small requests that run.
	smallRunning int
	checks       uint64
}

// NewPool returns a pool without endpoints.
func NewPool(cfg Config) *Pool {
	if cfg.Reachability == nil {
		cfg.Reachability = NewReachability()
	}
	return &Pool{
		cfg:         cfg,
		endpoints:   make(map[string]*endpointState),
		assignments: make(map[AssignmentID]*assignment),
		holds:       make(holds),
		targets:     make(map[string][]TargetVersion),
		newestSeen:  make(map[string]int),
		index:       newIndex(),
		stores:      make(map[string]*storeState),
		storeIndex:  make(storeIndex),

		queuedTokens: make(map[int]int),
		queued:       make(map[AssignmentID]bool),
		withdrawn:    make(map[AssignmentID]clock.Instant),

		limits:        make(map[registration.Incarnation]*throttle.Endpoint),
		limitListedAt: make(map[registration.Incarnation]clock.Instant),
		brittle:       make(map[registration.Incarnation]*throttle.Rejections),

		placed: make(map[int]*throughput),
	}
}

// SetEngine sets the properties of the service's engines; nil is for plain services. Gap targets count from the next request that has one.
func (p *Pool) SetEngine(e *Engine) { p.engine, p.paced = e, false }

// SetEndpoints replaces the endpoints, which are ordered by identifier. Assignments on removed endpoints continue but no longer count.
func (p *Pool) SetEndpoints(list []*registration.Registration) {
	kept := make(map[string]*endpointState, len(list))
	p.endpointIDs, p.endpointList = p.endpointIDs[:0], p.endpointList[:0]
	for _, r := range list {
		s := p.endpoints[r.ID]
		if s == nil {
			s = newEndpointState(r, p.index)
		}
		s.update(r)
		for model, version := range r.Versions {
			p.newestSeen[model] = max(p.newestSeen[model], version)
		}
		kept[r.ID] = s
		p.endpointIDs = append(p.endpointIDs, r.ID)
		p.endpointList = append(p.endpointList, s)
	}
	for id, s := range p.endpoints {
		if kept[id] == nil {
			s.cache.clear()
		}
	}
	p.endpoints = kept
	// Some of the changed engines may be gone, so all that remain are considered next.
	p.clearChanged()
	p.lastFullScan = 0
}

// CacheEvent reports how many tokens of a part a cache now holds.
type CacheEvent struct {
	Added  bool
	Space  string
	Part   string
	Tokens int
}

// cacheFeedTimeout is how long after an update an endpoint's cache events are assumed to be complete, so that evictions aren't modelled.
const cacheFeedTimeout = 3 * time.Second

// ApplyCacheUpdate applies an update from an endpoint's cache. If events were missed, everything known of the cache is discarded first.
func (p *Pool) ApplyCacheUpdate(now clock.Instant, endpoint string, update *CacheUpdate) {
	s := p.endpoints[endpoint]
	if s == nil {
		return
	}
	if update.Missed {
		s.cache.clear()
	}
	s.recordResponse(now)
	s.cacheFeedUntil = now.Add(cacheFeedTimeout)
	if update.ClockMillis != 0 {
		s.clockOffset = update.ClockMillis - int64(now)/int64(time.Millisecond)
	}
	for _, e := range update.Events {
		if v := spaceVersion(e.Space); v != 0 && !s.runsVersion(v) {
			// Computed with other weights, by a request that was still running when the weights changed.
			continue
		}
		s.cache.applyEvent(now, cacheKey{e.Space, e.Part}, e.Tokens)
	}
}

// recordCapacityChange records that an endpoint may have capacity that it lacked before. Assignments may end on endpoints that were removed.
func (p *Pool) recordCapacityChange(s *endpointState) {
	if len(p.queue) > 0 && !s.changed && p.endpoints[s.ID] == s {
		s.changed = true
		p.changed = append(p.changed, s)
	}
}

// clearChanged forgets the capacity changes recorded so far.
func (p *Pool) clearChanged() {
	for _, s := range p.changed {
		s.changed = false
	}
	clear(p.changed)
	p.changed = p.changed[:0]
}

// FirstEvent records that an assignment has produced its first event, and returns its request; nil if it was known or has ended.
func (p *Pool) FirstEvent(now clock.Instant, id AssignmentID) *Request {
	a := p.assignments[id]
	if a == nil || a.prefillTokens == 0 {
		return nil
	}
	a.endpoint.recordResponse(now)
	p.cfg.Reachability.recordContact(now, a.req.Zone, a.endpoint)
	a.endpoint.prefillDone(a)
	p.holds.remove(a)
	p.recordCapacityChange(a.endpoint)
	a.endpoint.cache.markReady(a.space, a.req.Parts)
	if a.expected > 0 {
		a.observeFirstEvent(now)
	}
	a.endpoint.failures = 0
	return a.req
}

// Assigned returns the request of an assignment and the software version of the endpoint that was chosen, or nil if it is unknown or has ended.
func (p *Pool) Assigned(id AssignmentID) (req *Request, software string) {
	a := p.assignments[id]
	if a == nil {
		return nil, ""
	}
	return a.req, a.software
}

// Outcome is the outcome of an assignment.
type Outcome uint8

// Outcomes of assignments.
const (
	// OutcomeAnswered means that the response was complete.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeFailed means that the response was a failure or was corrupted.
	OutcomeFailed
	// OutcomeUnreachable means that the endpoint could not be reached or the connection was lost.
	OutcomeUnreachable
	// OutcomeRejected means that the endpoint rejected the request without running it.
	OutcomeRejected
	// OutcomeMisdirected means that another endpoint answered at the address.
	OutcomeMisdirected
	// OutcomeStale means that the endpoint ran another weight version.
	OutcomeStale
	// OutcomeWithdrawn means that the caller gave up.
	OutcomeWithdrawn
)

// Done ends an assignment. The withdrawal of an unknown request is remembered, since it may overtake the request.
func (p *Pool) Done(now clock.Instant, id AssignmentID, outcome Outcome) {
	if p.assignments[id] == nil && !p.queued[id] && outcome == OutcomeWithdrawn {
		p.withdrawn[id] = now
	}
	p.endAssignment(now, id, outcome)
}

func (p *Pool) endAssignment(now clock.Instant, id AssignmentID, outcome Outcome) {
	a := p.assignments[id]
	if a == nil {
		return
	}
	p.removeAssignment(a)
	p.released.add(now)
	s := a.endpoint
	switch outcome {
	case OutcomeAnswered:
		s.recordResponse(now)
		p.cfg.Reachability.recordContact(now, a.req.Zone, s)
		s.failures = 0
		s.observeError(false)
	case OutcomeFailed:
		s.observeError(true)
	case OutcomeUnreachable:
		s.backOff(now)
		s.doubt(now, refusedDoubt)
		p.cfg.Reachability.recordFailure(now, a.req.Zone, s, a.sentAt)
	case OutcomeRejected:
		s.recordResponse(now)
		p.cfg.Reachability.recordContact(now, a.req.Zone, s)
		s.backoffUntil = now.Add(rejectedBackoff)
		if r := p.rejections(now, s); r != nil {
			r.Record(now)
		}
	case OutcomeMisdirected:
		s.backoffUntil = now.Add(maxBackoff)
	case OutcomeStale:
		s.recordResponse(now)
		p.cfg.Reachability.recordContact(now, a.req.Zone, s)
		p.assumeNextVersion(now, a)
	case OutcomeWithdrawn:
	}
}

// assumeNextVersion takes an endpoint that has rejected a request for its weights to run the next target version after the one expected. If
// there is none, it gets no new requests for a moment.
func (p *Pool) assumeNextVersion(now clock.Instant, a *assignment) {
	s, model := a.endpoint, a.req.Model
	if s.version[model] != a.version {
		// It has named another one since the request was placed.
		return
	}
	for _, target := range p.targets[model] {
		if target.Version > a.version {
			s.assumeVersion(model, target.Version)
			return
		}
	}
	s.backoffUntil = now.Add(rejectedBackoff)
}

// WeightsObserved records the weight version that the endpoint of an assignment has named in its answer.
func (p *Pool) WeightsObserved(id AssignmentID, version int) {
	if a := p.assignments[id]; a != nil {
		a.endpoint.observeVersion(a.req.Model, version)
		p.recordCapacityChange(a.endpoint)
	}
}

// removeAssignment frees what an assignment occupies.
func (p *Pool) removeAssignment(a *assignment) {
	delete(p.assignments, a.req.ID)
	p.countSmall(a.req, -1)
	p.holds.remove(a)
	a.endpoint.remove(a)
	p.recordCapacityChange(a.endpoint)
}

// WeightsLoading records that an endpoint loads weights until an instant; the zero instant means that it has finished.
func (p *Pool) WeightsLoading(endpoint string, until clock.Instant) {
	if s := p.endpoints[endpoint]; s != nil {
		s.loadingUntil = until
	}
}

// OrderPending records that an endpoint may execute a weight order at any moment until its version changes. Stores save nothing from it: what
// is computed during the change would be stored as computed with the old weights.
func (p *Pool) OrderPending(endpoint string) {
	if s := p.endpoints[endpoint]; s != nil {
		s.orderPending = true
	}
}

// WeightsLoaded records the weight version that an endpoint has finished loading.
func (p *Pool) WeightsLoaded(endpoint, model string, version int) {
	if s := p.endpoints[endpoint]; s != nil {
		s.loadingUntil = 0
		s.setVersion(model, version)
		p.newestSeen[model] = max(p.newestSeen[model], version)
		p.recordCapacityChange(s)
	}
}

// DropEntry removes the assignments and queued requests of an entry that is gone.
func (p *Pool) DropEntry(entry string) {
	for id, a := range p.assignments {
		if id.Entry == entry {
			p.removeAssignment(a)
		}
	}
	kept := p.queue[:0]
	for _, q := range p.queue {
		if q.req.ID.Entry != entry {
			kept = append(kept, q)
			continue
		}
		p.unqueue(q)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
}

// RemoveExpired removes assignments whose ends were never reported, and withdrawals of requests that never arrived.
func (p *Pool) RemoveExpired(now clock.Instant) {
	for id, at := range p.withdrawn {
		if now.Sub(at) > withdrawalTimeout {
			delete(p.withdrawn, id)
		}
	}
	for _, a := range p.assignments {
		if now.Sub(a.req.Deadline) > lostEndTimeout {
			p.removeAssignment(a)
		}
	}
	p.sweepLimits(now)
	p.sweepBrittle(now)
}

// Running returns the number of assignments.
func (p *Pool) Running() int { return len(p.assignments) }

// Evaluations returns how many times an endpoint has been evaluated for a request, which takes most of the pool's processor time.
func (p *Pool) Evaluations() uint64 { return p.evaluations }

// Checks returns how many endpoints, stores and queued requests were examined without an evaluation.
func (p *Pool) Checks() uint64 { return p.checks }

// Endpoints returns the number of endpoints.
func (p *Pool) Endpoints() int { return len(p.endpointIDs) }

// Load is the load of one endpoint.
type Load struct {
	Running int
	// PendingPrefill is the number of prompt tokens still to be prefilled.
	PendingPrefill int
	// PendingSaves is the number of requests that are still in prefill and whose prompts will then be saved to a store.
	PendingSaves int
}

// EndpointLoad returns the load that this pool has placed on an endpoint.
func (p *Pool) EndpointLoad(endpoint string) Load {
	s := p.endpoints[endpoint]
	if s == nil {
		return Load{}
	}
	l := Load{Running: len(s.assignments), PendingPrefill: s.prefillTokens}
	for _, a := range s.assignments {
		if a.saves && a.prefillTokens > 0 {
			l.PendingSaves++
		}
	}
	return l
}
