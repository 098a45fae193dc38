package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gypsumvale/internal/coordination/group"
)

// groups is the design: real queues, asked over hops by the real plan.
type groups struct {
	fleet    *fleet
	scenario *Scenario
	queues   map[group.Key]*group.Queue
	members  map[group.Key][]group.Member
	keys     []group.Key
	asks     map[uint64]*tied
	// askedAtOnce is the most groups of one zone that a request asks.
	askedAtOnce int
	random      *rand.Rand
}

// tied is one request at several groups.
type tied struct {
	job     *job
	open    []group.Key
	steps   []group.Step
	next    int
	granted bool
	key     group.Key
	refused int
}

const tick = 20 * time.Millisecond

func newGroups(f *fleet, s *Scenario, askedAtOnce int) *groups {
	p := &groups{
		fleet: f, scenario: s, queues: make(map[group.Key]*group.Queue), members: make(map[group.Key][]group.Member),
		asks: make(map[uint64]*tied), askedAtOnce: askedAtOnce, random: rand.New(rand.NewPCG(s.Seed, 8)),
	}
	for zone := range s.Zones {
		for _, key := range p.layout(zone) {
			q := group.NewQueue(group.QueueConfig{MaxWaiting: 4096, Seed: s.Seed})
			q.SetMembers(begin, p.members[key])
			p.queues[key] = q
			p.keys = append(p.keys, key)
		}
	}
	for _, e := range f.endpoints {
		e.first = p.firstToken
	}
	f.clock.after(tick, p.tick)
	return p
}

// layout forms a zone's groups: the design's own, or of the scenario's size.
func (p *groups) layout(zone int) []group.Key {
	if p.scenario.GroupSize == 0 {
		keys := group.Keys(p.fleet.snapshot, poolName, zoneName(zone))
		for _, key := range keys {
			for _, e := range group.Endpoints(p.fleet.snapshot, key) {
				p.members[key] = append(p.members[key], group.Member{Name: e.Name, Slots: e.Slots})
			}
		}
		return keys
	}
	var keys []group.Key
	n := 0
	for _, e := range p.fleet.endpoints {
		if e.zone != zone {
			continue
		}
		key := group.Key{Pool: poolName, Zone: zoneName(zone), Index: n / p.scenario.GroupSize}
		if n%p.scenario.GroupSize == 0 {
			keys = append(keys, key)
		}
		p.members[key] = append(p.members[key], group.Member{Name: e.name, Slots: e.slots})
		n++
	}
	return keys
}

func (p *groups) tick() {
	for _, key := range p.keys {
		p.act(key, p.queues[key].Tick(p.fleet.clock.now))
	}
	p.fleet.clock.after(tick, p.tick)
}

func (p *groups) submit(j *job) {
	t := &tied{job: j, steps: p.plan(j)}
	p.asks[uint64(j.number)] = t
	p.ask(t)
}

// plan is the design's own, or two random groups of the scenario's size.
func (p *groups) plan(j *job) []group.Step {
	zone := j.entry % p.fleet.zones
	if p.scenario.GroupSize == 0 {
		return group.Plan(p.fleet.snapshot, poolName, zoneName(zone), uint64(p.random.Uint32()))
	}
	first := p.random.IntN(len(p.keys))
	steps := []group.Step{{Key: p.keys[first]}}
	if p.askedAtOnce > 1 && len(p.keys) > 1 {
		second := (first + 1 + p.random.IntN(len(p.keys)-1)) % len(p.keys)
		steps = append(steps, group.Step{Key: p.keys[second]})
	}
	return steps
}

// ask sends the next step's ask, and sets the time for the one after it.
func (p *groups) ask(t *tied) {
	if t.granted || t.job.refused || t.next >= len(t.steps) {
		return
	}
	step := t.steps[t.next]
	t.next++
	t.open = append(t.open, step.Key)
	p.fleet.clock.after(hop, func() {
		if t.granted || t.job.refused {
			return
		}
		a := group.GrantRequest{
			ID: uint64(t.job.number), Entry: fmt.Sprintf("n%d", t.job.entry), Workspace: t.job.workspace, Share: 1,
			Class: t.job.class, Cost: t.job.expected, First: t.job.first, Deadline: t.job.deadline,
		}
		p.act(step.Key, p.queues[step.Key].Add(p.fleet.clock.now, a))
	})
	if t.next < len(t.steps) {
		wait := t.job.arrived.Add(t.steps[t.next].Delay).Sub(p.fleet.clock.now)
		p.fleet.clock.after(max(wait, 0), func() { p.ask(t) })
	}
}

func (p *groups) act(key group.Key, actions []group.Action) {
	for _, a := range actions {
		t := p.asks[a.ID.ID]
		switch {
		case a.Kind == group.ActionGrant && (t.granted || t.job.refused):
			p.act(key, p.queues[key].Withdraw(p.fleet.clock.now, a.ID))
		case a.Kind == group.ActionGrant:
			p.granted(t, key, a)
		default:
			p.refused(t)
		}
	}
}

func (p *groups) granted(t *tied, key group.Key, a group.Action) {
	t.granted, t.key = true, key
	e := p.fleet.byName(a.Endpoint)
	p.fleet.clock.after(2*hop, func() { e.offer(t.job) })
	for _, other := range t.open {
		if other != key {
			p.fleet.clock.after(2*hop, func() { p.act(other, p.queues[other].Withdraw(p.fleet.clock.now, a.ID)) })
		}
	}
}

func (p *groups) refused(t *tied) {
	t.refused++
	if t.granted {
		return
	}
	if t.next < len(t.steps) {
		p.ask(t)
		return
	}
	if t.refused == len(t.open) {
		t.job.refused = true
	}
}

func (p *groups) firstToken(_ *endpoint, j *job) {
	t := p.asks[uint64(j.number)]
	ratio := float64(j.firstToken.Sub(j.started)) / float64(j.first)
	p.fleet.clock.after(hop, func() {
		p.act(t.key, p.queues[t.key].Progress(p.fleet.clock.now, p.id(j), ratio))
	})
}

func (p *groups) id(j *job) group.GrantID {
	return group.GrantID{Entry: fmt.Sprintf("n%d", j.entry), ID: uint64(j.number)}
}

func (p *groups) ended(_ *endpoint, j *job) {
	t := p.asks[uint64(j.number)]
	ratio := float64(j.ended.Sub(j.started)) / float64(j.expected)
	p.fleet.clock.after(hop, func() {
		p.act(t.key, p.queues[t.key].Done(p.fleet.clock.now, p.id(j), ratio))
	})
}
