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
)

// fleet is a model of engines in virtual time: each reads prompts one after another, the most urgent first, and what it has been
// sent takes memory from what it keeps. It is a check of decisions, not of engines.
type fleet struct {
	pool    *placement.Pool
	random  *rand.Rand
	events  eventHeap
	number  uint64
	engines map[string]*engine
	results loadResult
	waiting map[placement.AssignmentID]*arrival
	queued  bool
	// ranked says that some workspaces' reviews are as urgent as questions.
	ranked bool
	// reviewTime is how long an answer to a review takes behind its first event.
	reviewTime time.Duration
}

type loadResult struct {
	asked, served, reviews, reviewsServed int
	// questions are short; those are late whose first event comes after the aim.
	questions, questionsLate int
	// sharedTokens were asked for, and again read though some engine had them within the last 20 s.
	sharedTokens, again int
	lastRead            map[string]clock.Instant
	// rated is the ratings of engines that the pool has made.
	rated uint64
}

// engine is one endpoint of the model.
type engine struct {
	pending []*sentPrompt
	reading bool
	held    int
	// kept holds when each context was used last.
	kept map[string]clock.Instant
}

// sentPrompt is one request that an engine has been sent.
type sentPrompt struct {
	ask    *placement.Request
	choice placement.Choice
}

type arrival struct {
	at     clock.Instant
	ask    *placement.Request
	review bool
}

type simEvent struct {
	at clock.Instant
	do func(now clock.Instant)
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
	engines = 18
	// contexts of 8,600 tokens each are 2.9 M tokens, beside room for 1.8 M.
	contexts     = 340
	contextSize  = 8600
	urgentSize   = 600
	urgentAim    = 400 * time.Millisecond
	againSpan    = 20 * time.Second
	crest        = 25 * time.Second
	darkFrom     = 2 * time.Second
	darkFor      = 8 * time.Second
	darkEngines  = 5
	arriveEach   = 13 * time.Millisecond
	urgentPerOne = 3
	memoryTokens = 100000
	// ratingsEach bounds the ratings of engines for an ask: at 5 us each, 300 asks a second on the smallest leader (0.272 of a core)
	// may take half of it.
	ratingsEach = 90
	// rankedEach is the requests of which one is of a workspace whose reviews are as urgent as questions.
	rankedEach = 3
	// questionTime is how long an answer to a question takes, and longReview to a review while engines read other prompts beside it.
	questionTime = 400 * time.Millisecond
	longReview   = 3 * time.Second
)

// newFleet returns engines under reviews that share long contexts and urgent questions, three for each review; a quarter of the
// engines is out of reach for a while, as on the worst of the users' days.
func newFleet(queued bool) *fleet {
	f := &fleet{
		pool: newPool(engines), random: rand.New(rand.NewPCG(1, 2)), engines: map[string]*engine{},
		waiting: map[placement.AssignmentID]*arrival{}, queued: queued, reviewTime: questionTime, results: loadResult{lastRead: map[string]clock.Instant{}},
	}
	for _, e := range endpoints(engines) {
		f.engines[e.ID] = &engine{kept: map[string]clock.Instant{}}
	}
	for at := start; at < start.Add(crest); at = at.Add(arriveEach) {
		f.at(at, func(now clock.Instant) { f.arrive(now, true) })
		for range urgentPerOne {
			f.at(at.Add(time.Duration(f.random.Int64N(int64(arriveEach)))), func(now clock.Instant) { f.arrive(now, false) })
		}
	}
	f.at(start.Add(darkFrom), func(clock.Instant) { f.pool.SetEndpoints(endpoints(engines)[darkEngines:]) })
	f.at(start.Add(darkFrom+darkFor), func(clock.Instant) { f.pool.SetEndpoints(endpoints(engines)) })
	for at := start; at < start.Add(crest+5*time.Second); at = at.Add(20 * time.Millisecond) {
		f.at(at, f.pump)
	}
	return f
}

func (f *fleet) arrive(now clock.Instant, review bool) {
	f.number++
	shared, own, priority, output := urgentSize, 200, 1, 50
	context := fmt.Sprint("q", f.random.IntN(900))
	if review {
		shared, own, priority = contextSize, 2900, 5
		context = fmt.Sprint("r", f.random.IntN(contexts))
		if f.ranked && f.number%rankedEach == 0 {
			priority = 1
		}
	}
	a := &placement.Request{
		ID: placement.AssignmentID{Entry: "x", Number: f.number}, Service: "llm", Zone: "a", Model: model, Prompt: shared + own, Output: output,
		Parts:    []prompt.Part{{ID: context, Tokens: shared}, {ID: fmt.Sprint("own", f.number), Tokens: own}},
		Priority: priority, FirstEventDeadline: now.Add(3200 * time.Millisecond), Deadline: now.Add(15 * time.Second),
	}
	f.results.asked++
	f.results.sharedTokens += shared
	if review {
		f.results.reviews++
	} else {
		f.results.questions++
	}
	f.waiting[a.ID] = &arrival{now, a, review}
	if !f.queued {
		if c, err := f.pool.PlaceNow(now, a); err == nil {
			f.run(now, a, c)
		}
		return
	}
	if c, err := f.pool.Place(now, a); err == nil {
		f.run(now, a, c)
	} else if !errors.Is(err, placement.ErrQueued) {
		delete(f.waiting, a.ID)
	}
}

func (f *fleet) pump(now clock.Instant) {
	for _, g := range f.pool.ProcessQueue(now) {
		if g.Err == nil {
			f.run(now, g.Request, g.Choice)
			continue
		}
		delete(f.waiting, g.Request.ID)
	}
}

// run sends a request to an engine.
func (f *fleet) run(now clock.Instant, a *placement.Request, c placement.Choice) {
	e := f.engines[c.Endpoint]
	e.held += a.Prompt + a.Output
	e.evict()
	e.pending = append(e.pending, &sentPrompt{a, c})
	if !e.reading {
		f.next(now, e)
	}
}

// next has an engine read its most urgent prompt; what is truly held decides, not what the pool believes.
func (f *fleet) next(now clock.Instant, e *engine) {
	e.reading = len(e.pending) > 0
	if !e.reading {
		return
	}
	first := 0
	for i, p := range e.pending {
		if p.ask.Priority < e.pending[first].ask.Priority {
			first = i
		}
	}
	p := e.pending[first]
	e.pending = append(e.pending[:first], e.pending[first+1:]...)
	context, miss := p.ask.Parts[0].ID, p.ask.Prompt
	_, held := e.kept[context]
	if held || f.heldAtSource(&p.choice, context) {
		miss -= p.ask.SharedTokens()
	} else if last := f.results.lastRead[context]; last != 0 && now.Sub(last) < againSpan {
		f.results.again += p.ask.SharedTokens()
	}
	f.results.lastRead[context] = now
	read := now.Add(time.Duration(float64(miss) / (readRate * 0.7) * float64(time.Second)))
	f.at(read, func(now clock.Instant) {
		e.kept[context] = now
		e.evict()
		f.next(now, e)
	})
	f.at(read.Add(40*time.Millisecond), func(now clock.Instant) { f.firstEvent(now, p) })
	answered := read.Add(questionTime)
	if p.ask.Prompt > contextSize {
		answered = read.Add(f.reviewTime)
	}
	f.at(answered, func(now clock.Instant) {
		e.held -= p.ask.Prompt + p.ask.Output
		f.pool.Done(now, p.ask.ID, placement.OutcomeAnswered)
		f.pump(now)
	})
}

func (f *fleet) firstEvent(now clock.Instant, p *sentPrompt) {
	f.pool.FirstEvent(now, p.ask.ID)
	if f.queued {
		f.pump(now)
	}
	arrival := f.waiting[p.ask.ID]
	delete(f.waiting, p.ask.ID)
	took := now.Sub(arrival.at)
	if took < 3200*time.Millisecond {
		f.results.served++
		if arrival.review {
			f.results.reviewsServed++
		}
	}
	if !arrival.review && took > urgentAim {
		f.results.questionsLate++
	}
}

// evict drops the contexts used longest ago, down to the memory that requests leave.
func (e *engine) evict() {
	room := max(0, (memoryTokens-e.held)/contextSize)
	for len(e.kept) > room {
		oldest := ""
		for name, at := range e.kept {
			if oldest == "" || at < e.kept[oldest] || at == e.kept[oldest] && name < oldest {
				oldest = name
			}
		}
		delete(e.kept, oldest)
	}
}

// heldAtSource reports whether the engine that a choice names as the context's source keeps it.
func (f *fleet) heldAtSource(c *placement.Choice, context string) bool {
	if c.FetchFrom == nil {
		return false
	}
	for _, r := range endpoints(engines) {
		if r.Address == c.FetchFrom[0] {
			_, ok := f.engines[r.ID].kept[context]
			return ok
		}
	}
	return false
}

func (f *fleet) play() loadResult {
	for f.events.Len() > 0 {
		e := heap.Pop(&f.events).(simEvent)
		e.do(e.at)
	}
	f.results.rated = f.pool.Evaluations()
	return f.results
}

func (r *loadResult) String() string {
	return fmt.Sprintf("%d of %d served, %d of %d reviews; %d of %d questions late; %d of %d shared tokens again; %d ratings",
		r.served, r.asked, r.reviewsServed, r.reviews, r.questionsLate, r.questions, r.again, r.sharedTokens, r.rated)
}

func TestWorstLoad(t *testing.T) {
	Convey("at a crest with a quarter of the engines out of reach", t, func() {
		pushed, queued := newFleet(false).play(), newFleet(true).play()
		t.Logf("pushed: %v", &pushed)
		t.Logf("queued: %v", &queued)
		Convey("questions are late no more often when the others wait at the owner", func() {
			So(queued.questionsLate, ShouldBeLessThanOrEqualTo, pushed.questionsLate)
		})
		Convey("an ask costs few ratings of engines, however many wait", func() {
			So(queued.rated, ShouldBeLessThanOrEqualTo, uint64(queued.asked*ratingsEach))
		})
		Convey("99 in 100 questions have their first event within the aim", func() {
			So(queued.questionsLate*100, ShouldBeLessThanOrEqualTo, queued.questions)
		})
	})
	Convey("at the same crest, where some reviews are as urgent as questions", t, func() {
		f := newFleet(true)
		f.ranked, f.reviewTime = true, longReview
		ranked := f.play()
		t.Logf("ranked: %v", &ranked)
		Convey("99 in 100 questions have their first event within the aim, since they pass reviews that no engine has memory for", func() {
			So(ranked.questionsLate*100, ShouldBeLessThanOrEqualTo, ranked.questions)
		})
		Convey("and half of the reviews are served all the same", func() {
			So(ranked.reviewsServed*2, ShouldBeGreaterThanOrEqualTo, ranked.reviews)
		})
	})
}
