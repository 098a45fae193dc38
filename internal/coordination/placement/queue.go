package placement

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/state/clock"
)

// ErrQueued is returned when a request was queued. Its grant, or its rejection, follows once there is capacity or the wait becomes too
// long.
var ErrQueued = errors.New("request waits for an endpoint")

// ErrWithdrawn is returned when a request was withdrawn before it arrived.
var ErrWithdrawn = errors.New("request was withdrawn before it arrived")

const (
	// maxPrefillAhead bounds the prefill queued on an engine: enough to keep it busy, but little enough that the next urgent request waits
	// for few others.
	maxPrefillAhead = 600 * time.Millisecond
	// maxMemoryShare is the share of an engine's memory that running requests may reserve; what they don't fill keeps cached contexts.
	// Above it, each request would evict the context that the next ones need, and an overload would feed itself.
	maxMemoryShare = 1.2
	// maxQueued is the most requests that wait in a pool's queue.
	maxQueued = 4096
)

// queuedRequest is a request for which no endpoint had capacity.
type queuedRequest struct {
	req *Request
	// uniqueTokens is the result of the request's method of that name.
	uniqueTokens int
	// late is true from lateAt on, when the first event will probably not come within the request's target any more.
	late   bool
	lateAt clock.Instant
	// scanned is true once all engines have been considered since the request was queued.
	scanned bool
	// knownByVersion caches knownTokens by weight version, as of the last full scan.
	knownByVersion map[int]int
	// spaceOf caches the cache space of spaceVersion.
	spaceOf      string
	spaceVersion int
}

const (
	// fullScanPeriod is how often all engines are considered again for what is queued: links become free and caches fill without a capacity
	// change. Between full scans, only engines that have ended or prefilled a request are considered.
	fullScanPeriod = 40 * time.Millisecond
	// rejectPeriod is how often the queue is searched for requests that can't be placed before their callers give up.
	rejectPeriod = 20 * time.Millisecond
)

// Grant ends a request's wait in the queue, with a choice or an error.
type Grant struct {
	Request *Request
	Choice  Choice
	Err     error
}

// Place places, queues or rejects a request. The error is ErrQueued, ErrWithdrawn, ErrNoEndpoint or *OverloadError.
//
//	load pattern                              response
//	an engine has capacity                    placed at once on the endpoint with the lowest cost
//	peak load, all engines busy               queued here, most urgent first, so that engines keep their contexts
//	peak load, the queue outlasts the target  those that can still meet their targets go before those of their priority that can't
//	backlog longer than callers will wait     rejected at once, with a time to retry when the backlog has shrunk
//	all engines want a pause from the entry   queued if the first pause ends in time, else rejected with its end, spread over half of it
//	callers take up streams that broke off    they go before others of their priority, which lose less if they are rejected
//	some engines name limits                  placed on the others; on these at the rates that they name
//	all engines name limits                   queued if its turn comes in time at these rates, else rejected at once
func (p *Pool) Place(now clock.Instant, req *Request) (Choice, error) {
	if _, withdrawn := p.withdrawn[req.ID]; withdrawn {
		delete(p.withdrawn, req.ID)
		return Choice{}, ErrWithdrawn
	}
	p.forget(now, req.ID)
	defer p.countDeferred()
	if req.Uncoordinated || req.Model == "" || p.engine == nil {
		return p.PlaceNow(now, req)
	}
	p.paced = p.paced || p.gapTarget(req) > 0
	q := &queuedRequest{req: req, uniqueTokens: req.uniqueTokens()}
	if req.TargetDeadline != 0 && !req.TakesUp {
		q.lateAt = now.Add(time.Duration(maxWaitShare * float64(req.TargetDeadline.Sub(now))))
	}
	if !p.queuedAhead(req) {
		c, err := p.choose(now, req, q)
		if !errors.Is(err, errAllBusy) {
			return c, err
		}
		q.scanned = true
	}
	wait := p.expectedWait(now, req)
	if err := p.checkPause(now, req); err != nil {
		return Choice{}, err
	}
	if late := now.Add(wait); req.FirstEventDeadline.Before(late) || len(p.queue) >= maxQueued {
		return Choice{}, &OverloadError{
			RetryAt: now.Add(time.Duration(float64(late.Sub(req.FirstEventDeadline))*retryDelayShare) + minRetryDelay), Expected: wait,
		}
	}
	_, i := p.queuePosition(req)
	p.queue = slices.Insert(p.queue, i, q)
	p.queued[req.ID] = true
	p.queuedTokens[req.Priority] += q.uniqueTokens
	p.newlyQueued = p.newlyQueued || !q.scanned
	return Choice{}, ErrQueued
}

// forget ends the earlier placement of a request that is placed again, since its answer was lost: otherwise the request would occupy two
// endpoints, and be granted twice.
func (p *Pool) forget(now clock.Instant, id AssignmentID) {
	p.Withdraw(id)
	p.endAssignment(now, id, OutcomeWithdrawn)
}

// unqueue accounts for a request that leaves the queue.
func (p *Pool) unqueue(q *queuedRequest) {
	delete(p.queued, q.req.ID)
	p.queuedTokens[q.req.Priority] -= q.uniqueTokens
}

// minRetryDelay keeps rejected callers from retrying into the same load peak.
const minRetryDelay = 300 * time.Millisecond

// queuedAhead reports whether a request that goes before is already queued.
func (p *Pool) queuedAhead(req *Request) bool {
	_, ahead := p.queuePosition(req)
	return ahead > 0
}

// rank orders the requests of a priority: those that take up a stream, whose callers would lose what they have got of it, then those that can
// still meet their targets, then the others.
func (q *queuedRequest) rank() int {
	switch {
	case q.req.TakesUp:
		return 0
	case !q.late:
		return 1
	}
	return 2
}

// queuePosition returns how many queued requests are more urgent than a new one, and how many go before it: those and the ones of its
// priority that aren't behind it by rank.
func (p *Pool) queuePosition(req *Request) (moreUrgent, ahead int) {
	rank := (&queuedRequest{req: req}).rank()
	moreUrgent = sort.Search(len(p.queue), func(i int) bool { return p.queue[i].req.Priority >= req.Priority })
	ahead = sort.Search(len(p.queue), func(i int) bool {
		q := p.queue[i]
		return q.req.Priority > req.Priority || q.req.Priority == req.Priority && q.rank() > rank
	})
	return moreUrgent, ahead
}

// expectedWait returns how long a request would wait behind those that go before it.
func (p *Pool) expectedWait(now clock.Instant, req *Request) time.Duration {
	tokens, rate := p.prefillBacklog(now, req)
	moreUrgent, ahead := p.queuePosition(req)
	for priority, queued := range p.queuedTokens {
		if priority < req.Priority || priority == req.Priority && !req.TakesUp {
			tokens += queued
		}
	}
	if req.TakesUp {
		for _, q := range p.queue[moreUrgent:ahead] {
			tokens += q.uniqueTokens
		}
	}
	return max(prefillTime(tokens, rate), p.slotRates(now, req.Priority).wait(moreUrgent, ahead-moreUrgent))
}

const (
	// longHold is the longest time for which requests typically hold a slot; slots are expected to be released at this rate at least.
	longHold = 4 * time.Second
	// minSlotShare is the share of the released slots that a priority is expected to get at least.
	minSlotShare = 0.05
)

// slotRates are rates at which slots are released, in slots per second: of all, and of those that requests of one priority get.
type slotRates struct{ all, own float64 }

// slotRates returns the rates for a priority: what requests of higher priority didn't take lately is left to it.
func (p *Pool) slotRates(now clock.Instant, priority int) slotRates {
	slots, limited, unlimited := 0.0, 0.0, false
	p.checks += uint64(len(p.endpointList))
	for _, s := range p.endpointList {
		if !s.usable(now) || p.takesNone(now, s) {
			continue
		}
		if e := p.limit(now, s); e != nil {
			limited += e.Rate()
			continue
		}
		slots, unlimited = slots+float64(s.Slots), true
	}
	moreUrgent, own := 0.0, 0.0
	for other, placed := range p.placed {
		switch {
		case other < priority:
			moreUrgent += placed.perSecond(now)
		case other == priority:
			own = placed.perSecond(now)
		}
	}
	all := max(1, p.released.perSecond(now), slots/longHold.Seconds()+limited)
	if !unlimited && limited > 0 {
		all, own = limited, min(own, limited)
	}
	return slotRates{all: all, own: max(all-moreUrgent, own, minSlotShare*all)}
}

// wait returns how long it takes until as many slots have been released as there are requests ahead, by urgency.
func (r slotRates) wait(moreUrgent, samePriority int) time.Duration {
	return time.Duration((float64(moreUrgent)/r.all + float64(samePriority)/r.own) * float64(time.Second))
}

// countPlaced counts a placed request of a priority.
func (p *Pool) countPlaced(now clock.Instant, priority int) {
	if p.placed[priority] == nil {
		p.placed[priority] = &throughput{}
	}
	p.placed[priority].add(now)
}

// prefillBacklog returns the prompt tokens that the endpoints eligible for a request still have to prefill, and their combined rate in
// tokens per second.
func (p *Pool) prefillBacklog(now clock.Instant, req *Request) (tokens int, rate float64) {
	oldest := p.oldestUsableVersion(now, req.Model)
	p.checks += uint64(len(p.endpointList))
	for _, s := range p.endpointList {
		if !s.usable(now) || s.version[req.Model] < oldest || p.takesNone(now, s) {
			continue
		}
		tokens += s.prefillTokens
		own := p.cfg.PrefillRate * prefillRateShare
		if e := p.limit(now, s); e != nil {
			// An endpoint that has named a limit prefills no more than the requests that it takes.
			own = min(own, e.Rate()*float64(max(1, req.uniqueTokens())))
		}
		rate += own
	}
	return tokens, rate
}

// prefillTime returns how long it takes to prefill tokens. It is zero if the rate is zero, because no wait can be estimated while no
// endpoint is usable.
func prefillTime(tokens int, rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// uniqueTokens returns the prompt tokens that must be prefilled even if all shared ones are cached.
func (req *Request) uniqueTokens() int { return req.Prompt - req.SharedTokens() }

// memoryTokens returns the engine memory, in tokens, that a request occupies until it ends.
func (req *Request) memoryTokens() int { return req.Prompt + req.Output }

// prefillRateShare is the share of an engine's prefill rate that remains besides its other work.
const prefillRateShare = 0.6

// ProcessQueue places queued requests for which there is capacity now. It rejects those that can't be placed before their callers give up,
// because the requests ahead of them take too long. A request for which no engine has memory doesn't block smaller ones behind it.
//
// Between full scans a capacity change costs at most one check of each queued request, so that the leader keeps up however much waits.
func (p *Pool) ProcessQueue(now clock.Instant) []Grant {
	if len(p.queue) == 0 {
		return nil
	}
	var grants []Grant
	if now.Sub(p.lastRejection) >= rejectPeriod {
		p.lastRejection = now
		grants = p.rejectLate(now)
	}
	grants = append(grants, p.grantQueued(now)...)
	p.clearChanged()
	return grants
}

// rejectLate rejects the requests whose first event would come too late behind those ahead of them, and moves those that can't meet their
// targets any more behind the others of their priority.
func (p *Pool) rejectLate(now clock.Instant) []Grant {
	p.sortQueue(now)
	var rejected []Grant
	kept := p.queue[:0]
	tokens, rate := p.prefillBacklog(now, p.queue[0].req)
	var slots slotRates
	moreUrgent := 0
	for _, q := range p.queue {
		if err := p.checkPause(now, q.req); err != nil {
			rejected = append(rejected, Grant{Request: q.req, Err: err})
			p.unqueue(q)
			continue
		}
		if len(kept) == 0 || kept[len(kept)-1].req.Priority != q.req.Priority || slots.all == 0 {
			slots, moreUrgent = p.slotRates(now, q.req.Priority), len(kept)
		}
		wait := max(prefillTime(tokens, rate), slots.wait(moreUrgent, len(kept)-moreUrgent))
		if late := now.Add(wait + baseLatency); q.req.FirstEventDeadline.Before(late) {
			retryDelay := time.Duration(float64(late.Sub(q.req.FirstEventDeadline))*retryDelayShare) + minRetryDelay
			rejected = append(rejected, Grant{Request: q.req, Err: &OverloadError{RetryAt: now.Add(retryDelay), Expected: wait}})
			p.unqueue(q)
			continue
		}
		tokens += q.uniqueTokens
		kept = append(kept, q)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	return rejected
}

// maxWaitShare is the share of the time to its target for which a request may wait in the queue; the engine needs the rest.
const maxWaitShare = 0.5

// sortQueue updates which requests are late, and sorts the queue accordingly.
func (p *Pool) sortQueue(now clock.Instant) {
	p.checks += uint64(len(p.queue))
	changed := false
	for _, q := range p.queue {
		if !q.late && q.lateAt != 0 && q.lateAt.Before(now) {
			q.late, changed = true, true
		}
	}
	if !changed {
		return
	}
	slices.SortStableFunc(p.queue, func(a, b *queuedRequest) int {
		switch {
		case a.req.Priority != b.req.Priority:
			return a.req.Priority - b.req.Priority
		}
		return a.rank() - b.rank()
	})
}

// grantQueued places queued requests on the engines whose capacity has changed since the last call. All engines are considered for
// requests that are new in the queue and, once in fullScanPeriod, for all requests.
func (p *Pool) grantQueued(now clock.Instant) []Grant {
	full := now.Sub(p.lastFullScan) >= fullScanPeriod
	if full {
		p.warmups.refused = false
		p.lastFullScan = now
	}
	changed, all := p.enginesWithRoom(now, p.changed), enginesWithRoom{}
	if full || p.newlyQueued {
		all = p.enginesWithRoom(now, p.endpointList)
	}
	var grants []Grant
	kept := p.queue[:0]
	for i, q := range p.queue {
		if !full && !p.newlyQueued && len(changed.engines) == 0 {
			kept = append(kept, p.queue[i:]...)
			break
		}
		p.checks++
		engines := &changed
		if full || !q.scanned {
			engines, q.scanned, q.knownByVersion = &all, true, nil
		}
		c, err := p.placeQueued(now, q, engines)
		if errors.Is(err, errAllBusy) {
			kept = append(kept, q)
			continue
		}
		p.unqueue(q)
		grants = append(grants, Grant{Request: q.req, Choice: c, Err: err})
		p.updateRoom(&changed, c.Endpoint)
		p.updateRoom(&all, c.Endpoint)
	}
	p.newlyQueued = false
	clear(p.queue[len(kept):])
	p.queue = kept
	return grants
}

// placeQueued places a queued request on one of some engines; the error is errAllBusy if it has to wait longer.
func (p *Pool) placeQueued(now clock.Instant, q *queuedRequest, from *enginesWithRoom) (Choice, error) {
	if !from.noneUsable && p.leastMemory(q) > from.memory {
		return Choice{}, errAllBusy
	}
	eligible := p.selectEligible(now, q.req, q, nil, from.engines, p.scanLimit())
	if len(eligible) > 0 || !from.complete {
		return p.chooseFrom(now, q.req, eligible, true, q)
	}
	eligible, busy := p.lastResort(now, q.req, q)
	return p.chooseFrom(now, q.req, eligible, busy, q)
}

// enginesWithRoom are engines that may have capacity for some request.
type enginesWithRoom struct {
	engines []*endpointState
	// memory is the number of tokens of the largest request that one of them may have memory for.
	memory int
	// complete is true if no other engine has capacity, and noneUsable if it is because none is usable.
	complete   bool
	noneUsable bool
}

func (p *Pool) enginesWithRoom(now clock.Instant, engines []*endpointState) enginesWithRoom {
	room := enginesWithRoom{complete: len(engines) == len(p.endpointList), noneUsable: len(engines) == len(p.endpointList)}
	p.checks += uint64(len(engines))
	for _, s := range engines {
		if !s.usable(now) || p.takesNone(now, s) {
			continue
		}
		room.noneUsable = false
		if memory := p.freeMemory(s); memory > 0 {
			room.engines = append(room.engines, s)
			room.memory = max(room.memory, memory)
		}
	}
	return room
}

// updateRoom accounts for a request that was placed on one of the engines.
func (p *Pool) updateRoom(room *enginesWithRoom, endpoint string) {
	room.memory = 0
	p.checks += uint64(len(room.engines))
	kept := room.engines[:0]
	for _, s := range room.engines {
		memory := p.freeMemory(s)
		if s.ID == endpoint && memory <= 0 {
			continue
		}
		kept = append(kept, s)
		room.memory = max(room.memory, memory)
	}
	room.engines = kept
}

// freeMemory returns the tokens of the largest request that an engine may have memory for.
func (p *Pool) freeMemory(s *endpointState) int {
	switch {
	case len(s.assignments) == 0:
		return math.MaxInt
	case len(s.assignments) >= s.Slots || !p.paced && s.prefillTokens > 0 && !p.fitsPrefillLimit(s.prefillTokens):
		return 0
	}
	if p.paced {
		return int(maxSmallOccupancy*float64(p.engine.CacheTokens)) - s.occupancy.tokens
	}
	return int(maxMemoryShare*float64(p.engine.CacheTokens)) - s.memoryTokens
}

// Withdraw removes a queued request.
func (p *Pool) Withdraw(id AssignmentID) {
	if !p.queued[id] {
		return
	}
	for i, q := range p.queue {
		if q.req.ID == id {
			p.unqueue(q)
			p.queue = slices.Delete(p.queue, i, i+1)
			return
		}
	}
}

// Waiting returns the number of queued requests.
func (p *Pool) Waiting() int { return len(p.queue) }

// mayHaveCapacity reports whether an engine may have capacity for a queued request, which needs at least the prefill of the tokens that no
// cache has. It is a cheap check before evaluate: at peak load most engines have no capacity, and evaluating them all for each request
// would saturate the leader's processor.
func (p *Pool) mayHaveCapacity(now clock.Instant, s *endpointState, q *queuedRequest) bool {
	if !p.fitsMemory(s, q) {
		return false
	}
	if s.prefillTokens == 0 {
		return true
	}
	version := s.version[q.req.Model]
	known, ok := q.knownByVersion[version]
	if !ok {
		known = p.knownTokens(q.req, version)
		if q.knownByVersion == nil {
			q.knownByVersion = make(map[int]int, 1)
		}
		q.knownByVersion[version] = known
	}
	return p.fitsPrefill(s, q.req, q.req.Prompt-known)
}

// accepts reports whether an engine that may have capacity takes a request, given the tokens that it would have to prefill.
func (p *Pool) accepts(now clock.Instant, s *endpointState, q *queuedRequest, c *Choice) bool {
	tokens := max(0, q.req.Prompt-c.Cached-c.Fetched)
	return (s.prefillTokens == 0 || p.fitsPrefill(s, q.req, tokens))
}

// fitsPrefillLimit reports whether an engine may have this many tokens of prefill queued.
func (p *Pool) fitsPrefillLimit(tokens int) bool {
	return float64(tokens) <= maxPrefillAhead.Seconds()*p.cfg.PrefillRate
}
