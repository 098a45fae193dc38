package bench

import (
	"math/rand/v2"
	"time"
)

// policy assigns jobs to endpoints.
type policy interface {
	submit(j *job)
	// completed is called for each job that an endpoint has finished.
	completed(e *endpoint, j *job)
}

// hopDelay is the one-way latency of a message between two instances of a zone.
const hopDelay = 200 * time.Microsecond

// roundRobin is a baseline: each entry uses all endpoints in turn.
type roundRobin struct {
	fleet *fleet
	next  []int
}

func newRoundRobin(f *fleet) *roundRobin {
	p := &roundRobin{fleet: f, next: make([]int, f.entries)}
	for i := range p.next {
		p.next[i] = i
	}
	return p
}

func (p *roundRobin) submit(j *job) {
	p.next[j.entry]++
	e := p.fleet.endpoints[p.next[j.entry]%len(p.fleet.endpoints)]
	p.fleet.clock.after(hopDelay, func() { e.submit(j) })
}

func (p *roundRobin) completed(*endpoint, *job) {}

// leastReported is a baseline: each entry picks the endpoint with the lowest load in the latest, delayed reports.
type leastReported struct {
	fleet   *fleet
	reports []int
	random  *rand.Rand
}

func newLeastReported(f *fleet, lag time.Duration, seed uint64) *leastReported {
	p := &leastReported{fleet: f, reports: make([]int, len(f.endpoints)), random: rand.New(rand.NewPCG(seed, 5))}
	p.report(lag)
	return p
}

// report samples the endpoints' loads periodically and publishes each sample after the lag.
func (p *leastReported) report(lag time.Duration) {
	const period = 100 * time.Millisecond
	loads := make([]int, len(p.fleet.endpoints))
	for i, e := range p.fleet.endpoints {
		loads[i] = e.load()
	}
	p.fleet.clock.after(lag, func() { p.reports = loads })
	p.fleet.clock.after(period, func() { p.report(lag) })
}

func (p *leastReported) submit(j *job) {
	best, ties := 0, 0
	for i, load := range p.reports {
		switch {
		case load < p.reports[best]:
			best, ties = i, 1
		case load == p.reports[best]:
			ties++
			if p.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	e := p.fleet.endpoints[best]
	p.fleet.clock.after(hopDelay, func() { e.submit(j) })
}

func (p *leastReported) completed(*endpoint, *job) {}

// twoChoices is a baseline: each entry picks the less loaded of two random endpoints, by its own count of requests in flight.
type twoChoices struct {
	fleet  *fleet
	counts [][]int
	random *rand.Rand
}

func newTwoChoices(f *fleet, seed uint64) *twoChoices {
	p := &twoChoices{fleet: f, counts: make([][]int, f.entries), random: rand.New(rand.NewPCG(seed, 6))}
	for i := range p.counts {
		p.counts[i] = make([]int, len(f.endpoints))
	}
	return p
}

func (p *twoChoices) submit(j *job) {
	counts := p.counts[j.entry]
	a, b := p.random.IntN(len(counts)), p.random.IntN(len(counts))
	if counts[b] < counts[a] {
		a = b
	}
	counts[a]++
	e := p.fleet.endpoints[a]
	p.fleet.clock.after(hopDelay, func() { e.submit(j) })
}

func (p *twoChoices) completed(e *endpoint, j *job) {
	for i, other := range p.fleet.endpoints {
		if other == e {
			p.counts[j.entry][i]--
		}
	}
}

// oracle has perfect information without delay: a single queue, exact loads, the endpoints that are slow at the moment, and each
// job's true cost.
type oracle struct {
	fleet   *fleet
	waiting [2][]*job
}

func (p *oracle) submit(j *job) {
	p.waiting[j.class] = append(p.waiting[j.class], j)
	p.dispatch()
}

func (p *oracle) completed(*endpoint, *job) { p.dispatch() }

func (p *oracle) dispatch() {
	for class := range p.waiting {
		for len(p.waiting[class]) > 0 {
			j := p.waiting[class][0]
			if p.fleet.clock.now.Add(j.cost).After(j.deadline) {
				j.refused = true
				p.waiting[class] = p.waiting[class][1:]
				continue
			}
			e := p.pickEndpoint(class)
			if e == nil {
				break
			}
			p.waiting[class] = p.waiting[class][1:]
			e.submit(j)
		}
	}
}

// pickEndpoint returns the endpoint with the fewest running jobs among those that aren't slowed and have a free slot; a long job
// needs two free slots. It returns nil if there is none.
func (p *oracle) pickEndpoint(class int) *endpoint {
	var best *endpoint
	for _, e := range p.fleet.endpoints {
		room := e.slots - e.running
		if room <= class {
			continue
		}
		if e.slowdown(p.fleet.clock.now) > 1 {
			continue
		}
		if best == nil || e.running < best.running {
			best = e
		}
	}
	return best
}
