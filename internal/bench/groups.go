package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gypsumvale/internal/coordination/group"
)

// groupPolicy is the production policy: group queues and the plan of requests to them are the production code, and each message
// takes hopDelay.
type groupPolicy struct {
	fleet    *fleet
	scenario *Scenario
	queues   map[group.Key]*group.Queue
	members  map[group.Key][]group.Member
	keys     []group.Key
	requests map[uint64]*tiedRequest
	// groupsPerRequest limits the groups that a request is sent to if the scenario sets the groups' size.
	groupsPerRequest int
	random           *rand.Rand
}

// tiedRequest is one request that is queued at several groups at once; the first grant wins and the others are withdrawn.
type tiedRequest struct {
	job     *job
	sent    []group.Key
	steps   []group.Step
	next    int
	granted bool
	key     group.Key
	refused int
}

const tickPeriod = 20 * time.Millisecond

func newGroups(f *fleet, s *Scenario, groupsPerRequest int) *groupPolicy {
	p := &groupPolicy{
		fleet: f, scenario: s, queues: make(map[group.Key]*group.Queue), members: make(map[group.Key][]group.Member),
		requests: make(map[uint64]*tiedRequest), groupsPerRequest: groupsPerRequest, random: rand.New(rand.NewPCG(s.Seed, 8)),
	}
	for zone := range s.Zones {
		for _, key := range p.formGroups(zone) {
			q := group.NewQueue(group.QueueConfig{MaxWaiting: 4096, Seed: s.Seed})
			q.SetMembers(startTime, p.members[key])
			p.queues[key] = q
			p.keys = append(p.keys, key)
		}
	}
	for _, e := range f.endpoints {
		e.onFirstToken = p.firstToken
	}
	f.clock.after(tickPeriod, p.tick)
	return p
}

// formGroups forms a zone's groups as production does, or of the scenario's group size if it sets one.
func (p *groupPolicy) formGroups(zone int) []group.Key {
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

func (p *groupPolicy) tick() {
	for _, key := range p.keys {
		p.apply(key, p.queues[key].Tick(p.fleet.clock.now))
	}
	p.fleet.clock.after(tickPeriod, p.tick)
}

func (p *groupPolicy) submit(j *job) {
	request := &tiedRequest{job: j, steps: p.plan(j)}
	p.requests[uint64(j.id)] = request
	p.sendNext(request)
}

// plan returns the production plan, or one or two random groups if the scenario sets the groups' size.
func (p *groupPolicy) plan(j *job) []group.Step {
	zone := j.entry % p.fleet.zones
	if p.scenario.GroupSize == 0 {
		return group.Plan(p.fleet.snapshot, poolName, zoneName(zone), uint64(p.random.Uint32()))
	}
	first := p.random.IntN(len(p.keys))
	steps := []group.Step{{Key: p.keys[first]}}
	if p.groupsPerRequest > 1 && len(p.keys) > 1 {
		second := (first + 1 + p.random.IntN(len(p.keys)-1)) % len(p.keys)
		steps = append(steps, group.Step{Key: p.keys[second]})
	}
	return steps
}

// sendNext sends the request to the next group of its plan and schedules the step after it.
func (p *groupPolicy) sendNext(t *tiedRequest) {
	if t.granted || t.job.refused || t.next >= len(t.steps) {
		return
	}
	step := t.steps[t.next]
	t.next++
	t.sent = append(t.sent, step.Key)
	p.fleet.clock.after(hopDelay, func() {
		if t.granted || t.job.refused {
			return
		}
		a := group.GrantRequest{
			ID: uint64(t.job.id), Entry: fmt.Sprintf("n%d", t.job.entry), Workspace: t.job.workspace, Share: 1,
			Class: t.job.class, Cost: t.job.expectedCost, First: t.job.firstTokenCost, Deadline: t.job.deadline,
		}
		p.apply(step.Key, p.queues[step.Key].Add(p.fleet.clock.now, a))
	})
	if t.next < len(t.steps) {
		wait := t.job.arrived.Add(t.steps[t.next].Delay).Sub(p.fleet.clock.now)
		p.fleet.clock.after(max(wait, 0), func() { p.sendNext(t) })
	}
}

func (p *groupPolicy) apply(key group.Key, actions []group.Action) {
	for _, a := range actions {
		t := p.requests[a.ID.ID]
		switch {
		case a.Kind == group.ActionGrant && (t.granted || t.job.refused):
			p.apply(key, p.queues[key].Withdraw(p.fleet.clock.now, a.ID))
		case a.Kind == group.ActionGrant:
			p.onGrant(t, key, a)
		default:
			p.onRefusal(t)
		}
	}
}

func (p *groupPolicy) onGrant(t *tiedRequest, key group.Key, a group.Action) {
	t.granted, t.key = true, key
	e := p.fleet.byName(a.Endpoint)
	p.fleet.clock.after(2*hopDelay, func() { e.submit(t.job) })
	for _, other := range t.sent {
		if other != key {
			p.fleet.clock.after(2*hopDelay, func() { p.apply(other, p.queues[other].Withdraw(p.fleet.clock.now, a.ID)) })
		}
	}
}

func (p *groupPolicy) onRefusal(t *tiedRequest) {
	t.refused++
	if t.granted {
		return
	}
	if t.next < len(t.steps) {
		p.sendNext(t)
		return
	}
	if t.refused == len(t.sent) {
		t.job.refused = true
	}
}

func (p *groupPolicy) firstToken(_ *endpoint, j *job) {
	t := p.requests[uint64(j.id)]
	ratio := float64(j.firstToken.Sub(j.started)) / float64(j.firstTokenCost)
	p.fleet.clock.after(hopDelay, func() {
		p.apply(t.key, p.queues[t.key].Progress(p.fleet.clock.now, p.requestID(j), ratio))
	})
}

func (p *groupPolicy) requestID(j *job) group.GrantID {
	return group.GrantID{Entry: fmt.Sprintf("n%d", j.entry), ID: uint64(j.id)}
}

func (p *groupPolicy) completed(_ *endpoint, j *job) {
	t := p.requests[uint64(j.id)]
	ratio := float64(j.completed.Sub(j.started)) / float64(j.expectedCost)
	p.fleet.clock.after(hopDelay, func() {
		p.apply(t.key, p.queues[t.key].Done(p.fleet.clock.now, p.requestID(j), ratio))
	})
}
