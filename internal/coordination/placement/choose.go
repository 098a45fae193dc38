package placement

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/state/clock"
)

const (
	// baseLatency is the time to the first event for a fully cached prompt on an idle engine.
	baseLatency = 40 * time.Millisecond
	// minFetchTokens is the fewest tokens worth a transfer: fewer are recomputed as fast as they are fetched.
	minFetchTokens = 192
	// fetchPenalty keeps a request on the endpoint that holds its context unless that endpoint is clearly busier.
	fetchPenalty = 8 * time.Millisecond
	// crossZonePenalty prefers the caller's zone among equally fast endpoints.
	crossZonePenalty = 3 * time.Millisecond
	// runningPenalty is the time that each running request adds to all others on an engine.
	runningPenalty = 500 * time.Microsecond
	// oldWeightsPenalty prefers endpoints that already run the target weights, because responses from those are worth more.
	oldWeightsPenalty = 60 * time.Millisecond
	// saturationPenalty is the expected wait on an engine whose memory or slots are taken; it is multiplied by the ratio of load to
	// capacity.
	saturationPenalty = 600 * time.Millisecond
	// recomputeFactor multiplies the cost of prefilling tokens that another endpoint or a store has, or is about to have: recomputing them
	// delays every request queued behind.
	recomputeFactor = 3
	// lessUrgentShare is the share of less urgent prefill that still delays a request: a chunk in progress isn't interrupted.
	lessUrgentShare = 0.3
	// errorPenaltyFactor multiplies the expected time on an endpoint that fails more often than the others.
	errorPenaltyFactor = 8
	// homeCachedShare is the share of the shared tokens assumed to be cached on the home endpoint when nothing else is known.
	homeCachedShare = 0.7
	// plainCallTime is the assumed time of a plain call on a free endpoint; it is used only to compare endpoints.
	plainCallTime = 20 * time.Millisecond
	// retryDelayShare spreads the retries of rejected callers over the time in which the backlog drains.
	retryDelayShare = 0.75
)

// PlaceNow places a request, without queueing it, on the endpoint with the lowest cost, which is mostly the expected time to its first
// event. The error is ErrNoEndpoint or *OverloadError.
func (p *Pool) PlaceNow(now clock.Instant, req *Request) (Choice, error) {
	p.forget(now, req.ID)
	return p.choose(now, req, nil)
}

// errAllBusy is returned when a service has endpoints but none has capacity for a request that may wait.
var errAllBusy = errors.New("all endpoints are busy")

// choose places a request. A request that may wait (q is not nil) goes only to an endpoint that has capacity for it.
func (p *Pool) choose(now clock.Instant, req *Request, q *queuedRequest) (Choice, error) {
	p.warmups.refused = false
	eligible, busy := p.eligibleEndpoints(now, req, q)
	return p.chooseFrom(now, req, eligible, busy, q)
}

// chooseFrom places a request on the endpoint with the lowest cost; busy is true if endpoints were left out because they are busy.
func (p *Pool) chooseFrom(now clock.Instant, req *Request, eligible []*endpointState, busy bool, q *queuedRequest) (Choice, error) {
	mayWait := q != nil
	if err := p.checkParts(now, req, mayWait); err != nil {
		return Choice{}, err
	}
	var best candidate
	if len(eligible) > 0 {
		home, known := p.homeEndpoint(req), p.knownTokens(req, p.newestSeen[req.Model])
		meanErrorRate := p.meanErrorRate()
		for _, s := range eligible {
			c := p.evaluate(now, s, req, home, known, meanErrorRate)
			if mayWait && !p.accepts(now, s, q, &c.choice) {
				busy = true
				continue
			}
			if best.endpoint == nil || c.cost < best.cost {
				best = c
			}
		}
	}
	if best.endpoint == nil && busy {
		return Choice{}, errAllBusy
	}
	if best.endpoint == nil {
		if p.allEvacuated(req) {
			return Choice{}, ErrZonesEvacuated
		}
		if until := p.pausedUntil(now, req); until != 0 {
			return Choice{}, pauseError(now, until, req)
		}
		if at := p.warmAt(now, req); at != 0 {
			return Choice{}, &OverloadError{RetryAt: at, Expected: at.Sub(now)}
		}
		if at := p.underLimitAt(now, req); at != 0 {
			return Choice{}, limitError(now, at, req)
		}
		if at := p.firstRoomAt(now, req); at != 0 {
			return Choice{}, limitError(now, at, req)
		}
		if at := p.settledAt(now, req); at != 0 {
			return Choice{}, &OverloadError{RetryAt: at, Expected: at.Sub(now), Settling: true}
		}
		return Choice{}, ErrNoEndpoint
	}
	if late := now.Add(best.choice.Expected); req.FirstEventDeadline != 0 && req.FirstEventDeadline.Before(late) &&
		!req.Uncoordinated && !mayWait {
		wait := time.Duration(float64(late.Sub(req.FirstEventDeadline)) * retryDelayShare)
		return Choice{}, &OverloadError{RetryAt: now.Add(wait), Expected: best.choice.Expected}
	}
	p.reserveFetch(now, req, &best)
	p.admit(now, req, &best)
	p.admitLimited(now, &best)
	p.observeSize(req)
	best.choice.SaveTo = p.saveTargets(now, best.endpoint, req, &best.choice)
	p.assign(now, req, &best)
	p.cfg.Reachability.recordSend(now, req.Zone, best.endpoint)
	return best.choice, nil
}

// checkParts returns an error if a request must not run, or must not run now, because engines may crash on parts of its prompt. Only one
// request with a suspected part may wait for its first event at a time, so that the part takes down one engine at most until it is cleared
// or blocked. Once that request's hold ends without a first event, the next one goes on and holds the part in turn.
func (p *Pool) checkParts(now clock.Instant, req *Request, mayWait bool) error {
	if p.cfg.Suspicions == nil || len(req.Parts) < 2 {
		return nil
	}
	blocked, suspected := p.cfg.Suspicions.Check(now, req.Service, req.SharedParts())
	switch {
	case blocked:
		return ErrBlocked
	case !p.holds.active(now, suspected):
		return nil
	case mayWait:
		return errAllBusy
	}
	return ErrSuspected
}

const (
	// maxFullScan is the fleet size up to which every endpoint is evaluated for each request.
	maxFullScan = 96
	// sampleSize is how many endpoints of a larger fleet are evaluated, besides the holders of the request's context: the next ones in turn
	// that may have capacity. With 32, the best of them is among the best 5% four times in five, at a cost that doesn't grow with the fleet.
	sampleSize = 32
	// maxHolders is the most holders of a context that are considered.
	maxHolders = 16
)

// scanLimit returns how many endpoints are evaluated for a request besides the holders of its context.
func (p *Pool) scanLimit() int {
	if len(p.endpointList) <= maxFullScan {
		return len(p.endpointList)
	}
	return sampleSize
}

// eligibleEndpoints returns the endpoints to evaluate for a request, and reports whether there are others that are busy. Endpoints where the
// request has failed, that want none, that load weights or whose weights have expired are never returned.
func (p *Pool) eligibleEndpoints(now clock.Instant, req *Request, q *queuedRequest) (eligible []*endpointState, busy bool) {
	if len(p.endpointList) > maxFullScan {
		preferred := p.holders(req)
		if home := p.endpoints[p.homeEndpoint(req)]; home != nil {
			preferred = append(preferred, home)
		}
		eligible = p.selectEligible(now, req, q, nil, preferred, len(preferred))
	}
	if eligible = p.selectEligible(now, req, q, eligible, p.endpointList, p.scanLimit()); len(eligible) > 0 {
		return eligible, true
	}
	return p.lastResort(now, req, q)
}

// holders returns endpoints that are believed to hold the request's whole shared context.
func (p *Pool) holders(req *Request) []*endpointState {
	shared := req.SharedParts()
	if len(shared) == 0 {
		return nil
	}
	list := p.index.holders[cacheKey{cacheSpace(p.newestSeen[req.Model], req.IsolationKey), shared[len(shared)-1].ID}]
	return slices.Clone(list[:min(len(list), maxHolders)])
}

// selectEligible appends up to limit endpoints of a list, the next ones in turn that may run a request now.
func (p *Pool) selectEligible(
	now clock.Instant, req *Request, q *queuedRequest, eligible, list []*endpointState, limit int,
) []*endpointState {
	oldest := p.oldestUsableVersion(now, req.Model)
	first := 0
	if limit < len(list) {
		first = p.sampleNext
	}
	for i := 0; i < len(list) && limit > 0; i++ {
		s := list[(first+i)%len(list)]
		p.checks++
		p.sampleNext++
		if p.available(now, s, req) && s.version[req.Model] >= oldest && !contains(req.Avoid, s.ID) && (q == nil || p.mayHaveCapacity(now, s, q)) {
			eligible = append(eligible, s)
			limit--
		}
	}
	return eligible
}

// lastResort returns the endpoints for a request that finds none with capacity: none if others will have some, or else the unresponsive
// ones, those in backoff and those in a zone that seems unreachable.
func (p *Pool) lastResort(now clock.Instant, req *Request, q *queuedRequest) (eligible []*endpointState, busy bool) {
	oldest := p.oldestUsableVersion(now, req.Model)
	for _, s := range p.endpointList {
		p.checks++
		switch {
		case s.version[req.Model] < oldest || contains(req.Avoid, s.ID) || p.unfit(s, req):
		case p.settles(s, req):
			busy = busy || q != nil && s.usable(now) && p.settling[s.Software].Before(req.FirstEventDeadline)
		case p.barred(now, s, req):
			busy = busy || q != nil && !p.leaves(now, s)
		case p.refusesCold(now, s, req):
			if q != nil && s.usable(now) && !p.cfg.Reachability.unreachable(now, req.Zone, s.Zone) {
				return nil, true
			}
			busy = busy || q != nil
			if q == nil && p.permitsShare(now, s) {
				eligible = append(eligible, s)
			}
		case p.exceedsLimit(now, s, req):
			if q != nil && s.usable(now) && !p.cfg.Reachability.unreachable(now, req.Zone, s.Zone) {
				return nil, true
			}
			busy = busy || q != nil
		case p.lacksRoom(now, s, req):
			busy = busy || q != nil
		case p.available(now, s, req):
			return nil, true
		case now.Before(s.loadingUntil):
		case q != nil && !p.mayHaveCapacity(now, s, q):
			busy = true
		default:
			eligible = append(eligible, s)
		}
	}
	return eligible, busy
}

type candidate struct {
	endpoint *endpointState
	choice   Choice
	cost     time.Duration
	fetch    fetch
	// healthyTime is the time to the first event that would be expected of a healthy engine.
	healthyTime time.Duration
}

// available reports whether an endpoint is usable, takes requests of the entry, is not in a zone that is evacuated, in no allowed region or seems
// unreachable from the caller's, is warm or admits another request, and has not named a limit that the request would exceed.
func (p *Pool) available(now clock.Instant, s *endpointState, req *Request) bool {
	return s.usable(now) && !p.unfit(s, req) && !p.settles(s, req) && !p.barred(now, s, req) && !p.cfg.Reachability.unreachable(now, req.Zone, s.Zone) &&
		!p.refusesCold(now, s, req) && !p.exceedsLimit(now, s, req) && !p.lacksRoom(now, s, req)
}

// evaluate estimates the time to the first event on one endpoint, and the cost by which endpoints are compared.
func (p *Pool) evaluate(now clock.Instant, s *endpointState, req *Request, home string, known int, meanErrorRate float64) candidate {
	p.evaluations++
	c := Choice{Endpoint: s.ID, Address: s.Address, Zone: s.Zone, StartMilli: s.StartMilli, Software: s.Software}
	if p.engine == nil || req.Model == "" {
		return p.evaluatePlain(now, s, req, c, meanErrorRate)
	}
	c.Version = s.version[req.Model]
	c.CacheSpace = cacheSpace(c.Version, req.IsolationKey)
	cachedParts, cached := s.cache.prefix(now, c.CacheSpace, req.Parts)
	c.Cached = cached
	if req.Uncoordinated && s.ID == home && c.Cached == 0 {
		c.Cached = int(homeCachedShare * float64(req.SharedTokens()))
	}
	f := p.planFetch(now, s, req, &c, cachedParts, home)
	fetched, fetchTime := f.tokens, f.total
	c.Fetched = fetched
	prefill := max(0, req.Prompt-c.Cached-c.Fetched)
	prefillSeconds := float64(prefill) / p.cfg.PrefillRate
	queueSeconds := s.prefillBefore(req) / p.cfg.PrefillRate
	c.Expected = baseLatency + time.Duration(s.slowdown.current(now)*(prefillSeconds+queueSeconds)*float64(time.Second)) + fetchTime
	c.Expected += time.Duration(len(s.assignments)) * runningPenalty
	healthy := healthyFirstEvent(prefillSeconds+queueSeconds, fetchTime)
	cost := p.comparisonCost(s, req, c.Expected, meanErrorRate) + p.saturationCost(s, req, c.CacheSpace) + p.pacingCost(now, s, req, prefill) +
		p.coldCost(now, s, prefillSeconds) + p.limitCost(now, s, req)
	if recomputed := known - c.Cached - c.Fetched; recomputed > 0 {
		cost += time.Duration(recomputeFactor * float64(recomputed) / p.cfg.PrefillRate * float64(time.Second))
	}
	if fetched > 0 {
		cost += fetchPenalty
	}
	if target, ok := p.target(req.Model); ok && c.Version < target.Version {
		cost += oldWeightsPenalty
	}
	return candidate{s, c, cost, f, healthy}
}

// saturationCost returns the cost of a request on an engine whose memory or slots are taken: running requests are preempted, or cached
// contexts are evicted.
func (p *Pool) saturationCost(s *endpointState, req *Request, space string) time.Duration {
	cost := time.Duration(0)
	if over := float64(p.memoryAfter(s, req, space))/float64(max(1, p.engine.CacheTokens)) - 1; over > 0 {
		cost += time.Duration((1 + over) * float64(saturationPenalty))
	}
	if over := float64(len(s.assignments)+1)/float64(max(1, s.Slots)) - 1; over > 0 {
		cost += time.Duration((1 + over) * float64(saturationPenalty))
	}
	return cost
}

func (p *Pool) evaluatePlain(now clock.Instant, s *endpointState, req *Request, c Choice, meanErrorRate float64) candidate {
	load := float64(len(s.assignments)+1) / float64(max(1, s.Slots))
	c.Expected = time.Duration(s.slowdown.current(now) * float64(plainCallTime))
	if load > 1 {
		c.Expected = time.Duration(float64(c.Expected) * (1 + load))
	}
	cost := time.Duration(float64(c.Expected) * (1 + load))
	return candidate{endpoint: s, choice: c, cost: p.comparisonCost(s, req, cost, meanErrorRate)}
}

// comparisonCost adds penalties that don't delay the first event but count against an endpoint.
func (p *Pool) comparisonCost(s *endpointState, req *Request, expected time.Duration, meanErrorRate float64) time.Duration {
	cost := expected
	if s.Zone != req.Zone {
		cost += crossZonePenalty
	}
	if excess := s.errorRate - 1.5*meanErrorRate - 0.05; excess > 0 {
		cost += time.Duration(excess * errorPenaltyFactor * float64(expected+plainCallTime))
	}
	return cost
}

// assign records a request as running on the chosen endpoint.
func (p *Pool) assign(now clock.Instant, req *Request, best *candidate) {
	s, c := best.endpoint, &best.choice
	a := &assignment{
		req: req, endpoint: s, space: c.CacheSpace, version: c.Version, software: c.Software, sentAt: now, expected: c.Expected,
		prefillTokens: max(1, req.Prompt-c.Cached-c.Fetched), saves: c.SaveTo != nil,
		gapTarget: p.gapTarget(req), healthyTime: best.healthyTime,
	}
	a.slowestLinks = best.fetch.slowestLinks(s)
	p.assignments[req.ID] = a
	p.countSmall(req, 1)
	p.holds.add(a)
	s.add(a)
	p.countPlaced(now, req.Priority)
	s.pacing.placed(now, a.prefillTokens)
	if p.engine == nil || req.Model == "" {
		return
	}
	capacity := max(0, p.engine.CacheTokens-p.uncachedMemory(s))
	if now.Before(s.cacheFeedUntil) {
		// Evictions are reported by cache events.
		capacity = 1 << 40
	}
	s.cache.assumeCached(now, c.CacheSpace, req.Parts, capacity)
}

// homeEndpoint returns the endpoint to which entries that don't coordinate all send a context.
func (p *Pool) homeEndpoint(req *Request) string {
	if !req.Uncoordinated || req.Model == "" || len(req.Parts) < 2 {
		return ""
	}
	return rank.First(req.Parts[len(req.Parts)-2].ID, p.homeCandidates(req))
}

func (p *Pool) meanErrorRate() float64 {
	if len(p.endpointIDs) == 0 {
		return 0
	}
	sum := 0.0
	for _, s := range p.endpointList {
		sum += s.errorRate
	}
	return sum / float64(len(p.endpointIDs))
}

// knownTokens returns the length in tokens of the longest prefix of shared parts that some endpoint or store has, or is about to have, for
// a weight version.
func (p *Pool) knownTokens(req *Request, version int) int {
	if p.engine == nil || req.Model == "" {
		return 0
	}
	tokens := 0
	space := cacheSpace(version, req.IsolationKey)
	for _, part := range req.SharedParts() {
		key := cacheKey{space, part.ID}
		if len(p.index.holders[key]) == 0 && !p.storedAnywhere(key) {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// spaceVersion returns the weight version of a cache space, or zero if the name isn't one of this system's.
func spaceVersion(space string) int {
	number, _, _ := strings.Cut(strings.TrimPrefix(space, "w"), "/")
	v, err := strconv.Atoi(number)
	if err != nil {
		return 0
	}
	return v
}

// cacheSpace returns the cache space of a weight version and an isolation key. Context computed with other weights or for an isolated
// workspace is never shared.
func cacheSpace(version int, isolationKey string) string {
	if isolationKey == "" {
		return "w" + strconv.Itoa(version)
	}
	return "w" + strconv.Itoa(version) + "/" + isolationKey
}

func contains(list []string, want string) bool {
	for _, item := range list {
		if item == want {
			return true
		}
	}
	return false
}
