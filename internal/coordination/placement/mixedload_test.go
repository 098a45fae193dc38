package placement_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/prompt"
)

// mixedClass is a class of requests, with its rate per engine and its targets.
type mixedClass struct {
	name                            string
	rate                            float64
	shared, unique, output          int
	contexts                        int
	priority                        int
	firstTarget, gapTarget, timeout time.Duration
}

// The classes of the page docs/design/load-and-evacuation.md, part E. The contexts of each engine's share fill its memory.
var mixedClasses = []*mixedClass{
	{"short", 2.4, 650, 177, 36, 40, 0, 400 * time.Millisecond, 400 * time.Millisecond, 10 * time.Second},
	{"tagging", 3.9, 1861, 507, 3, 20, 1, 400 * time.Millisecond, 0, 3 * time.Second},
	{"long", 2.2, 9122, 2870, 48, 8, 2, 800 * time.Millisecond, 400 * time.Millisecond, 10 * time.Second},
}

// mixedCall is one request with its progress.
type mixedCall struct {
	load             *mixedLoad
	class            *mixedClass
	req              *placement.Request
	context          string
	arrived          clock.Instant
	output, produced int
	lastEvent        clock.Instant
	first, gap       time.Duration
}

// produce adds a token, and reports whether it is the last. Besides the first event, each carries mixedStride tokens.
func (c *mixedCall) produce(now clock.Instant) bool {
	c.produced++
	last := c.produced >= c.output
	switch {
	case c.lastEvent == 0:
		c.first, c.lastEvent = now.Sub(c.arrived), now
		c.load.pool.FirstEvent(now, c.req.ID)
		c.load.grant(now)
	case last || (c.produced-1)%mixedStride == 0:
		c.gap, c.lastEvent = max(c.gap, now.Sub(c.lastEvent)), now
	}
	return last
}

// mixedResult counts the requests of a class: those served by their deadlines, those with the first event and all gaps within the targets,
// and those within both.
type mixedResult struct{ requests, served, firstInTime, gapsInTime, inTime, preempted int }

// mixedLoad simulates the load of mixedClasses in virtual time.
type mixedLoad struct {
	fleet
	list          []*steppingEngine
	engines       map[string]*steppingEngine
	byAddress     map[string]*steppingEngine
	results       map[string]*mixedResult
	contextTokens map[string]int
	calls         map[placement.AssignmentID]*mixedCall
	// targets is true if the routes have gap targets.
	targets    bool
	recomputed int
}

const (
	mixedEngines  = 30
	mixedDuration = 20 * time.Second
	// Between mixedBurstStart and mixedBurstEnd, mixedBurst times as many requests arrive.
	mixedBurst      = 1.5
	mixedBurstStart = 5 * time.Second
	mixedBurstEnd   = 15 * time.Second
	mixedTransfer   = 1e-6
)

// newMixedLoad returns a load of a multiple of the classes' rates; a third of the engines are 1.5 to 2.5 times slower than the others.
func newMixedLoad(seed uint64, multiple float64, targets bool) *mixedLoad {
	f := &mixedLoad{
		fleet:   fleet{random: rand.New(rand.NewPCG(seed, 2))},
		engines: map[string]*steppingEngine{}, byAddress: map[string]*steppingEngine{}, results: map[string]*mixedResult{},
		contextTokens: map[string]int{}, calls: map[placement.AssignmentID]*mixedCall{}, targets: targets,
	}
	f.pool = placement.NewPool(placement.Config{PrefillRate: prefillRate})
	f.pool.SetEngine(&placement.Engine{Slots: mixedSlots, CacheTokens: mixedMemory, TokenSeconds: mixedTransfer, Stride: mixedStride})
	list := endpoints(mixedEngines)
	for i, r := range list {
		r.Slots = mixedSlots
		e := &steppingEngine{load: f, id: r.ID, slowdown: 1, idleSince: map[string]clock.Instant{}, users: map[string]int{}}
		if i%3 == 0 {
			e.slowdown = 1.5 + f.random.Float64()
		}
		f.list, f.engines[r.ID], f.byAddress[r.Address] = append(f.list, e), e, e
	}
	f.pool.SetEndpoints(list)
	for _, class := range mixedClasses {
		f.results[class.name] = &mixedResult{}
		for at := time.Duration(0); at < mixedDuration; {
			rate := multiple * class.rate * mixedEngines
			if at >= mixedBurstStart && at < mixedBurstEnd {
				rate *= mixedBurst
			}
			at += time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
			f.at(start.Add(at), func(now clock.Instant) { f.arrive(now, class) })
		}
	}
	for at := time.Duration(0); at < mixedDuration+10*time.Second; at += 20 * time.Millisecond {
		f.at(start.Add(at), f.tick)
	}
	return f
}

// tick passes on cache events, and processes the queue as the leader does periodically.
func (f *mixedLoad) tick(now clock.Instant) {
	for _, e := range f.list {
		f.pool.ApplyCacheUpdate(now, e.id, &placement.CacheUpdate{Epoch: 1, Events: e.changes})
		e.changes = nil
	}
	f.grant(now)
}

func (f *mixedLoad) arrive(now clock.Instant, class *mixedClass) {
	f.requestCount++
	contexts := class.contexts * mixedEngines
	c := &mixedCall{
		load: f, class: class, arrived: now,
		context: fmt.Sprint(class.name, int(float64(contexts)*math.Pow(f.random.Float64(), 2))),
		output:  max(1, int(math.Round(float64(class.output)*math.Exp(0.3*f.random.NormFloat64())))),
	}
	f.contextTokens[c.context] = class.shared
	unique := max(1, int(float64(class.unique)*math.Exp(0.4*f.random.NormFloat64())))
	c.req = &placement.Request{
		ID: placement.AssignmentID{Entry: "x", Number: f.requestCount}, Service: "llm", Zone: "a", Model: model,
		Prompt: class.shared + unique, Output: 2 * class.output, Priority: class.priority,
		Parts:              []prompt.Part{{ID: c.context, Tokens: class.shared}, {ID: fmt.Sprint("own", f.requestCount), Tokens: unique}},
		FirstEventDeadline: now.Add(min(class.timeout, 3200*time.Millisecond)), Deadline: now.Add(class.timeout),
		TargetDeadline: now.Add(class.firstTarget),
	}
	if f.targets {
		c.req.TargetEventGap = class.gapTarget
	}
	f.results[class.name].requests++
	f.calls[c.req.ID] = c
	if choice, err := f.pool.Place(now, c.req); err == nil {
		f.send(now, c, &choice)
	} else if !errors.Is(err, placement.ErrQueued) {
		delete(f.calls, c.req.ID)
	}
}

func (f *mixedLoad) grant(now clock.Instant) {
	for _, g := range f.pool.ProcessQueue(now) {
		c := f.calls[g.Request.ID]
		if g.Err != nil {
			delete(f.calls, g.Request.ID)
			continue
		}
		f.send(now, c, &g.Choice)
	}
}

// send sends a request to an engine after the transfer of its context, if there is one.
func (f *mixedLoad) send(now clock.Instant, c *mixedCall, choice *placement.Choice) {
	e := f.engines[choice.Endpoint]
	if choice.FetchFrom != nil && choice.FetchFrom[0] != "" {
		_, cached := e.idleSince[c.context]
		if _, found := f.byAddress[choice.FetchFrom[0]].idleSince[c.context]; found && !cached {
			f.at(now.Add(time.Duration(mixedTransfer*float64(c.class.shared)*float64(time.Second))), func(now clock.Instant) {
				e.fetch(now, c.context, c.class.shared)
				e.enqueue(now, c)
			})
			return
		}
	}
	e.enqueue(now, c)
}

func (f *mixedLoad) answered(now clock.Instant, c *mixedCall) {
	f.pool.Done(now, c.req.ID, placement.OutcomeAnswered)
	f.grant(now)
	r := f.results[c.class.name]
	if now.Sub(c.arrived) > c.class.timeout {
		return
	}
	first, gaps := c.first <= c.class.firstTarget, c.class.gapTarget == 0 || c.gap <= c.class.gapTarget
	r.served++
	for count, met := range map[*int]bool{&r.firstInTime: first, &r.gapsInTime: gaps, &r.inTime: first && gaps} {
		if met {
			*count++
		}
	}
}

func (f *mixedLoad) simulate() map[string]*mixedResult {
	f.fleet.simulate()
	return f.results
}

// share returns a share in percent.
func share(count, of int) float64 { return 100 * float64(count) / float64(max(1, of)) }

// runMixedLoad returns the results of the classes for some seeds, added up.
func runMixedLoad(t *testing.T, multiple float64, targets bool) map[string]*mixedResult {
	sums := map[string]*mixedResult{}
	var requests, evaluations, checks uint64
	for _, class := range mixedClasses {
		sums[class.name] = &mixedResult{}
	}
	for seed := range uint64(2) {
		f := newMixedLoad(seed, multiple, targets)
		results := f.simulate()
		requests, evaluations, checks = requests+f.requestCount, evaluations+f.pool.Evaluations(), checks+f.pool.Checks()
		for name, r := range results {
			sum := sums[name]
			sum.requests += r.requests
			sum.served += r.served
			sum.firstInTime += r.firstInTime
			sum.gapsInTime += r.gapsInTime
			sum.inTime += r.inTime
			sum.preempted += r.preempted
		}
	}
	for _, class := range mixedClasses {
		r := sums[class.name]
		t.Logf("x%g, targets %v, %-8s %5d requests, served %.1f%%, first event in time %.1f%%, gaps %.1f%%, both %.1f%%, %d preempted", multiple, targets,
			class.name, r.requests, share(r.served, r.requests), share(r.firstInTime, r.requests), share(r.gapsInTime, r.requests),
			share(r.inTime, r.requests), r.preempted)
	}
	t.Logf("%d evaluations and %d checks per request", evaluations/requests, checks/requests)
	So(evaluations, ShouldBeLessThanOrEqualTo, requests*maxEvaluationsPerRequest)
	So(checks, ShouldBeLessThanOrEqualTo, requests*maxChecksPerRequest)
	return sums
}

// Long prompts delayed the events of all that ran on their engines: 15 in 100 short requests missed their targets for the gap between events.
func TestMixedLoad(t *testing.T) {
	Convey("under long and short prompts on the same engines, in comparison with routes without gap targets", t, func() {
		Convey("more of both are within their targets, and no fewer are served, while engines have capacity", func() {
			before, now := runMixedLoad(t, 1.7, false), runMixedLoad(t, 1.7, true)
			for _, name := range []string{"short", "long"} {
				So(now[name].inTime, ShouldBeGreaterThan, before[name].inTime)
			}
			for _, class := range mixedClasses {
				So(now[class.name].served, ShouldBeGreaterThanOrEqualTo, before[class.name].served)
			}
		})
		Convey("under overload no fewer are served or within their targets, and no more are preempted", func() {
			before, now := runMixedLoad(t, 3, false), runMixedLoad(t, 3, true)
			for _, class := range mixedClasses {
				So(now[class.name].served, ShouldBeGreaterThanOrEqualTo, before[class.name].served)
				So(now[class.name].inTime, ShouldBeGreaterThanOrEqualTo, before[class.name].inTime)
				So(now[class.name].preempted, ShouldBeLessThanOrEqualTo, before[class.name].preempted)
			}
		})
	})
}
