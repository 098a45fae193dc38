package placement_test

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/prompt"
	"gypsumvale/internal/state/registration"
)

// fleet simulates engines in virtual time. Each prefills one prompt at a time, the most urgent first, and requests sent to it take memory
// from its cache. The simulation tests placement decisions, not engines.
type fleet struct {
	pool         *placement.Pool
	random       *rand.Rand
	events       eventHeap
	requestCount uint64
	engines      map[string]*engine
	// byAddress holds the engines by their addresses, from which contexts are fetched.
	byAddress map[string]*engine
	load      peakLoad
	results   loadResult
	waiting   map[placement.AssignmentID]*arrival
	queued    bool
	// urgentReviews gives the reviews of some workspaces the same priority as questions.
	urgentReviews bool
	// untargeted leaves out the requests' targets, so that those of one priority wait in the order of their arrival.
	untargeted bool
	// questionTime and reviewTime are the times between the end of a prefill and the last event.
	questionTime, reviewTime time.Duration
}

// peakLoad is a load of reviews that share long contexts, and three questions per review, of which some engines become unreachable.
type peakLoad struct {
	engines, slots, outageEngines    int
	reviewContexts, questionContexts int
	// interval is the time between two reviews.
	interval, duration time.Duration
}

// smallSite is the load of a site with 18 engines, and largeSite the crest of a site with 256 engines and 2,500 requests a second.
var (
	smallSite = peakLoad{
		engines: engineCount, slots: 32, outageEngines: outageEngines, reviewContexts: contextCount, questionContexts: 900,
		interval: arrivalInterval, duration: peakDuration,
	}
	largeSite = peakLoad{
		engines: 256, slots: 12, outageEngines: 64, reviewContexts: 4561, questionContexts: 14000,
		interval: 1600 * time.Microsecond, duration: 8 * time.Second,
	}
)

type loadResult struct {
	requests, served, reviews, reviewsServed int
	// questions are short; questionsLate counts those whose first event came later than firstEventTarget, and reviewsOnTime the reviews
	// that arrived during the outage and whose first event came within reviewTarget.
	questions, questionsLate, reviewsOnTime int
	// rejectedAtOnce counts requests that were rejected on arrival, and rejectedLater those rejected after they had waited.
	rejectedAtOnce, rejectedLater int
	// sharedTokens counts the shared tokens of all prompts, and recomputedTokens those prefilled again although an engine had prefilled
	// them within recomputeWindow.
	sharedTokens, recomputedTokens int
	lastPrefilled                  map[string]clock.Instant
	// evaluations is the number of evaluations of endpoints by the pool, and checks that of cheaper checks.
	evaluations, checks uint64
}

// engine is one simulated endpoint.
type engine struct {
	pending        []*sentPrompt
	prefilling     bool
	reservedTokens int
	// cached holds when each context was last used.
	cached map[string]clock.Instant
}

// sentPrompt is one request that was sent to an engine.
type sentPrompt struct {
	req    *placement.Request
	choice placement.Choice
}

type arrival struct {
	at     clock.Instant
	req    *placement.Request
	review bool
}

type simEvent struct {
	at  clock.Instant
	run func(now clock.Instant)
}

type eventHeap []simEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (f *fleet) at(when clock.Instant, do func(clock.Instant)) {
	heap.Push(&f.events, simEvent{when, do})
}

const (
	engineCount = 18
	// 340 contexts of 8,600 tokens are 2.9 M tokens, and the memory of all engines holds 1.8 M.
	contextCount       = 340
	contextTokens      = 8600
	questionTokens     = 600
	firstEventTarget   = 400 * time.Millisecond
	reviewTarget       = 800 * time.Millisecond
	recomputeWindow    = 20 * time.Second
	peakDuration       = 25 * time.Second
	outageStart        = 2 * time.Second
	outageDuration     = 8 * time.Second
	outageEngines      = 5
	arrivalInterval    = 13 * time.Millisecond
	questionsPerReview = 3
	memoryTokens       = 100000
	// maxEvaluationsPerRequest bounds the evaluations of endpoints per request: at 5 us each, 300 requests a second may take half of the
	// smallest leader (0.272 of a core).
	maxEvaluationsPerRequest = 90
	// maxChecksPerRequest bounds the cheaper checks: at 10 ns each, 2,500 requests a second may take a tenth of the largest leader (0.8 of a
	// core).
	maxChecksPerRequest = 3200
	// One in urgentReviewPeriod requests comes from a workspace whose reviews have the priority of questions.
	urgentReviewPeriod = 3
	// questionTime is the time between the end of a question's prefill and its last event, and longReviewTime that for a review while the
	// engine also prefills other prompts.
	questionTime   = 400 * time.Millisecond
	longReviewTime = 3 * time.Second
)

// newFleet returns engines under reviews that share long contexts, and three urgent questions per review. About a quarter of the
// engines (outageEngines) is unreachable for a while, as on the users' worst day.
func newFleet(queued bool) *fleet { return newFleetUnder(smallSite, queued) }

func newFleetUnder(load peakLoad, queued bool) *fleet {
	f := &fleet{
		pool: newPool(load.engines), random: rand.New(rand.NewPCG(1, 2)), engines: map[string]*engine{}, byAddress: map[string]*engine{},
		waiting: map[placement.AssignmentID]*arrival{}, queued: queued, load: load,
		questionTime: questionTime, reviewTime: questionTime,
		results: loadResult{lastPrefilled: map[string]clock.Instant{}},
	}
	list := f.endpoints()
	f.pool.SetEndpoints(list)
	for _, e := range list {
		f.engines[e.ID] = &engine{cached: map[string]clock.Instant{}}
		f.byAddress[e.Address] = f.engines[e.ID]
	}
	end := start.Add(load.duration)
	for at := start; at < end; at = at.Add(load.interval) {
		f.at(at, func(now clock.Instant) { f.arrive(now, true) })
		for range questionsPerReview {
			f.at(at.Add(time.Duration(f.random.Int64N(int64(load.interval)))), func(now clock.Instant) { f.arrive(now, false) })
		}
	}
	f.at(start.Add(outageStart), func(clock.Instant) { f.pool.SetEndpoints(f.endpoints()[load.outageEngines:]) })
	f.at(start.Add(outageStart+outageDuration), func(clock.Instant) { f.pool.SetEndpoints(f.endpoints()) })
	for at := start; at < end.Add(5*time.Second); at = at.Add(20 * time.Millisecond) {
		f.at(at, f.processQueue)
	}
	return f
}

// endpoints returns the registrations of the fleet's engines.
func (f *fleet) endpoints() []*registration.Registration {
	list := endpoints(f.load.engines)
	for _, e := range list {
		e.Slots = f.load.slots
	}
	return list
}

func (f *fleet) arrive(now clock.Instant, review bool) {
	f.requestCount++
	shared, unique, priority, output := questionTokens, 200, 1, 50
	context := fmt.Sprint("q", f.random.IntN(f.load.questionContexts))
	if review {
		shared, unique, priority = contextTokens, 2900, 5
		context = fmt.Sprint("r", f.random.IntN(f.load.reviewContexts))
		if f.urgentReviews && f.requestCount%urgentReviewPeriod == 0 {
			priority = 1
		}
	}
	req := &placement.Request{
		ID: placement.AssignmentID{Entry: "x", Number: f.requestCount}, Service: "llm", Zone: "a", Model: model,
		Prompt: shared + unique, Output: output,
		Parts:    []prompt.Part{{ID: context, Tokens: shared}, {ID: fmt.Sprint("own", f.requestCount), Tokens: unique}},
		Priority: priority, FirstEventDeadline: now.Add(3200 * time.Millisecond), Deadline: now.Add(15 * time.Second),
	}
	if !f.untargeted {
		req.TargetDeadline = now.Add(firstEventTarget)
	}
	f.results.requests++
	f.results.sharedTokens += shared
	if review {
		if !f.untargeted {
			req.TargetDeadline = now.Add(reviewTarget)
		}
		f.results.reviews++
	} else {
		f.results.questions++
	}
	f.waiting[req.ID] = &arrival{now, req, review}
	if !f.queued {
		if c, err := f.pool.PlaceNow(now, req); err == nil {
			f.run(now, req, c)
		}
		return
	}
	if c, err := f.pool.Place(now, req); err == nil {
		f.run(now, req, c)
	} else if !errors.Is(err, placement.ErrQueued) {
		f.results.rejectedAtOnce++
		delete(f.waiting, req.ID)
	}
}

func (f *fleet) processQueue(now clock.Instant) {
	for _, g := range f.pool.ProcessQueue(now) {
		if g.Err == nil {
			f.run(now, g.Request, g.Choice)
			continue
		}
		f.results.rejectedLater++
		delete(f.waiting, g.Request.ID)
	}
}

// run sends a request to an engine.
func (f *fleet) run(now clock.Instant, req *placement.Request, c placement.Choice) {
	e := f.engines[c.Endpoint]
	e.reservedTokens += req.Prompt + req.Output
	e.evict()
	e.pending = append(e.pending, &sentPrompt{req, c})
	if !e.prefilling {
		f.prefillNext(now, e)
	}
}

// prefillNext has an engine prefill its most urgent prompt, based on its real cache rather than the pool's estimate.
func (f *fleet) prefillNext(now clock.Instant, e *engine) {
	e.prefilling = len(e.pending) > 0
	if !e.prefilling {
		return
	}
	first := 0
	for i, p := range e.pending {
		if p.req.Priority < e.pending[first].req.Priority {
			first = i
		}
	}
	p := e.pending[first]
	e.pending = append(e.pending[:first], e.pending[first+1:]...)
	context, uncached := p.req.Parts[0].ID, p.req.Prompt
	_, cached := e.cached[context]
	if cached || f.cachedAtSource(&p.choice, context) {
		uncached -= p.req.SharedTokens()
	} else if lastPrefilled := f.results.lastPrefilled[context]; lastPrefilled != 0 && now.Sub(lastPrefilled) < recomputeWindow {
		f.results.recomputedTokens += p.req.SharedTokens()
	}
	f.results.lastPrefilled[context] = now
	prefilled := now.Add(time.Duration(float64(uncached) / (prefillRate * 0.7) * float64(time.Second)))
	f.at(prefilled, func(now clock.Instant) {
		e.cached[context] = now
		e.evict()
		f.prefillNext(now, e)
	})
	f.at(prefilled.Add(40*time.Millisecond), func(now clock.Instant) { f.firstEvent(now, p) })
	answered := prefilled.Add(f.questionTime)
	if p.req.Prompt > contextTokens {
		answered = prefilled.Add(f.reviewTime)
	}
	f.at(answered, func(now clock.Instant) {
		e.reservedTokens -= p.req.Prompt + p.req.Output
		f.pool.Done(now, p.req.ID, placement.OutcomeAnswered)
		f.processQueue(now)
	})
}

func (f *fleet) firstEvent(now clock.Instant, p *sentPrompt) {
	f.pool.FirstEvent(now, p.req.ID)
	if f.queued {
		f.processQueue(now)
	}
	arrival := f.waiting[p.req.ID]
	delete(f.waiting, p.req.ID)
	took := now.Sub(arrival.at)
	if took < 3200*time.Millisecond {
		f.results.served++
		if arrival.review {
			f.results.reviewsServed++
		}
	}
	switch {
	case arrival.review && took <= reviewTarget && arrival.at > start.Add(outageStart):
		f.results.reviewsOnTime++
	case !arrival.review && took > firstEventTarget:
		f.results.questionsLate++
	}
}

// evict drops the least recently used contexts, down to the memory that requests leave.
func (e *engine) evict() {
	room := max(0, (memoryTokens-e.reservedTokens)/contextTokens)
	for len(e.cached) > room {
		oldest := ""
		for name, at := range e.cached {
			if oldest == "" || at < e.cached[oldest] || at == e.cached[oldest] && name < oldest {
				oldest = name
			}
		}
		delete(e.cached, oldest)
	}
}

// cachedAtSource reports whether the engine from which a choice fetches the context has it cached.
func (f *fleet) cachedAtSource(c *placement.Choice, context string) bool {
	if c.FetchFrom == nil {
		return false
	}
	source := f.byAddress[c.FetchFrom[0]]
	if source == nil {
		return false
	}
	_, ok := source.cached[context]
	return ok
}

func (f *fleet) simulate() loadResult {
	for f.events.Len() > 0 {
		e := heap.Pop(&f.events).(simEvent)
		e.run(e.at)
	}
	f.results.evaluations, f.results.checks = f.pool.Evaluations(), f.pool.Checks()
	return f.results
}

func (r *loadResult) String() string {
	return fmt.Sprintf("%d of %d served, %d of %d reviews, %d on time; %d and %d rejected at once and later; %d of %d questions late; %d of %d shared tokens recomputed; %d evaluations, %d checks",
		r.served, r.requests, r.reviewsServed, r.reviews, r.reviewsOnTime, r.rejectedAtOnce, r.rejectedLater, r.questionsLate, r.questions, r.recomputedTokens, r.sharedTokens, r.evaluations, r.checks)
}

func TestPeakLoadDuringOutage(t *testing.T) {
	Convey("at peak load with a quarter of the engines unreachable", t, func() {
		unqueued, queued := newFleet(false).simulate(), newFleet(true).simulate()
		t.Logf("unqueued: %v", &unqueued)
		t.Logf("queued: %v", &queued)
		Convey("queueing at the owner makes no more questions late", func() {
			So(queued.questionsLate, ShouldBeLessThanOrEqualTo, unqueued.questionsLate)
		})
		Convey("the evaluations per request stay bounded, however many requests wait", func() {
			So(queued.evaluations, ShouldBeLessThanOrEqualTo, uint64(queued.requests*maxEvaluationsPerRequest))
		})
		Convey("99 of 100 questions have their first event within the target", func() {
			So(queued.questionsLate*100, ShouldBeLessThanOrEqualTo, queued.questions)
		})
	})
	Convey("at the same load, with some reviews as urgent as questions", t, func() {
		f := newFleet(true)
		f.urgentReviews, f.reviewTime = true, longReviewTime
		urgent := f.simulate()
		t.Logf("urgent reviews: %v", &urgent)
		Convey("99 of 100 questions have their first event within the target, overtaking reviews that no engine has memory for", func() {
			So(urgent.questionsLate*100, ShouldBeLessThanOrEqualTo, urgent.questions)
		})
		Convey("at least half of the reviews are still served", func() {
			So(urgent.reviewsServed*2, ShouldBeGreaterThanOrEqualTo, urgent.reviews)
		})
	})
}

// At the crest of the large site's worst day requests are queued faster than slots become free. A leader that searched the whole queue and
// a sample of all engines after each capacity change had no processor time left: all requests waited for 1.7 s, the urgent as long as the
// others.
func TestPeakLoadOnLargeFleet(t *testing.T) {
	Convey("on 256 engines, a quarter of them unreachable, with more requests than slots", t, func() {
		f := newFleetUnder(largeSite, true)
		f.questionTime, f.reviewTime = 900*time.Millisecond, longReviewTime
		r := f.simulate()
		t.Logf("large site: %v", &r)
		inOrder := newFleetUnder(largeSite, true)
		inOrder.questionTime, inOrder.reviewTime, inOrder.untargeted = f.questionTime, f.reviewTime, true
		first := inOrder.simulate()
		t.Logf("large site, in the order of arrival: %v", &first)
		Convey("during the outage, twice as many reviews have their first event within the target as if they waited in the order of arrival", func() {
			So(r.reviewsOnTime, ShouldBeGreaterThanOrEqualTo, 2*first.reviewsOnTime)
		})
		Convey("a request's evaluations and checks stay bounded, however many wait", func() {
			So(r.evaluations, ShouldBeLessThanOrEqualTo, uint64(r.requests*maxEvaluationsPerRequest))
			So(r.checks, ShouldBeLessThanOrEqualTo, uint64(r.requests*maxChecksPerRequest))
		})
		Convey("95 of 100 questions have their first event within the target", func() {
			So(r.questionsLate*20, ShouldBeLessThanOrEqualTo, r.questions)
		})
	})
}
