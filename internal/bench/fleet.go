package bench

import (
	"fmt"
	"time"

	"gypsumvale/internal/coordination/group"
	"gypsumvale/internal/state/catalog"
)

// job is one request of a workload and its outcome.
type job struct {
	id           int
	entry        int
	class        group.Class
	expectedCost time.Duration
	cost         time.Duration
	// firstTokenCost is the part of cost up to the first token.
	firstTokenCost time.Duration
	arrived        time.Time
	deadline       time.Time
	workspace      string

	started    time.Time
	firstToken time.Time
	completed  time.Time
	refused    bool
}

// endpoint serves up to slots jobs at once. Further jobs wait in a queue per class, and short ones are served first.
type endpoint struct {
	name         string
	zone         int
	slots        int
	running      int
	waiting      [2][]*job
	slowdown     func(time.Time) float64
	clock        *clock
	onComplete   func(*endpoint, *job)
	onFirstToken func(*endpoint, *job)
	servedWork   time.Duration
}

func (e *endpoint) submit(j *job) {
	if e.running < e.slots {
		e.start(j)
		return
	}
	e.waiting[j.class] = append(e.waiting[j.class], j)
}

func (e *endpoint) start(j *job) {
	e.running++
	j.started = e.clock.now
	factor := e.slowdown(e.clock.now)
	firstTokenAfter := time.Duration(float64(j.firstTokenCost) * factor)
	j.firstToken = e.clock.now.Add(firstTokenAfter)
	if e.onFirstToken != nil {
		e.clock.after(firstTokenAfter, func() { e.onFirstToken(e, j) })
	}
	e.clock.after(time.Duration(float64(j.cost)*factor), func() { e.complete(j) })
}

func (e *endpoint) complete(j *job) {
	e.running--
	e.servedWork += j.cost
	j.completed = e.clock.now
	for class := range e.waiting {
		if len(e.waiting[class]) > 0 {
			next := e.waiting[class][0]
			e.waiting[class] = e.waiting[class][1:]
			e.start(next)
			break
		}
	}
	e.onComplete(e, j)
}

func (e *endpoint) load() int { return e.running + len(e.waiting[0]) + len(e.waiting[1]) }

type fleet struct {
	clock     *clock
	endpoints []*endpoint
	zones     int
	entries   int
	snapshot  *catalog.Snapshot
}

// poolName is the only pool of the simulated fleet.
const poolName = "deployment/m"

func newFleet(s *Scenario) *fleet {
	f := &fleet{clock: newClock(), zones: s.Zones, entries: s.Entries}
	objects := []*catalog.Object{{ID: catalog.ID{Kind: catalog.KindDeployment, Name: "m"}, State: []byte(`{"model":"m","version":"v"}`)}}
	for i := range s.Endpoints {
		zone := i % s.Zones
		e := &endpoint{name: fmt.Sprintf("e%03d", i), zone: zone, slots: s.Slots, clock: f.clock, slowdown: s.slowdown(i)}
		f.endpoints = append(f.endpoints, e)
		state := fmt.Sprintf(`{"zone":"z%d","address":"127.0.0.1:1","deployment":"m","slots":%d}`, zone, s.Slots)
		objects = append(objects, &catalog.Object{ID: catalog.ID{Kind: catalog.KindEndpoint, Name: e.name}, State: []byte(state)})
	}
	snapshot, err := catalog.NewSnapshot(1, objects)
	if err != nil {
		// Unreachable: the objects created above are valid.
		panic(err)
	}
	f.snapshot = snapshot
	return f
}

func (f *fleet) byName(name string) *endpoint {
	for _, e := range f.endpoints {
		if e.name == name {
			return e
		}
	}
	return nil
}

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone) }
