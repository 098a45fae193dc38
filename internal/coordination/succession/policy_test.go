package succession_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/succession"
	"gypsumvale/internal/state/clock"
)

const (
	leaseTime = 1500 * time.Millisecond
	// settleTime is the longest time from the end of a lease until all know of it and the last in rank stands.
	settleTime = 500*time.Millisecond + instances*stagger
	stagger    = 200 * time.Millisecond
	instances  = 8
	runTime    = 10 * time.Minute
)

// simInstance is an instance in virtual time.
type simInstance struct {
	name      string
	delays    succession.Delays
	policy    succession.Policy
	downUntil clock.Instant
	standAt   clock.Instant
	// invitedAt is when the invitation of the last leader arrives, or zero.
	invitedAt clock.Instant
	handOvers int
}

// fleet simulates instances that compete for one lease.
type fleet struct {
	now       clock.Instant
	random    *rand.Rand
	instances []*simInstance
	// delay returns the delay of an instance at a time of the run.
	delay func(at time.Duration, i int, leads bool) time.Duration
	// deathRate is the share of successors that die as they are invited.
	deathRate float64

	// holder is the leader, or -1; renewedAt is when it was last alive.
	holder     int
	renewedAt  clock.Instant
	vacantFrom clock.Instant
	// visibleAt is when the others know that there is no leader.
	visibleAt clock.Instant

	termFrom clock.Instant
	// chain is the number of hand-overs with which the last term began, as the store holds it.
	chain     int
	elections int
	handOvers int
	longest   time.Duration
	faults    []string
}

func newFleet(seed uint64, delay func(at time.Duration, i int, leads bool) time.Duration) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, seed)), delay: delay, holder: -1, now: clock.Instant(time.Hour)}
	for i := range instances {
		f.instances = append(f.instances, &simInstance{name: fmt.Sprint(i)})
	}
	f.vacantFrom, f.visibleAt = f.now, f.now
	return f
}

func (f *fleet) run() {
	start := f.now
	for f.now.Sub(start) < runTime {
		f.now = f.now.Add(succession.SamplePeriod)
		for i, e := range f.instances {
			if f.now.Before(e.downUntil) {
				continue
			}
			e.delays.Record(f.now, time.Duration((0.5+f.random.Float64())*float64(f.delay(f.now.Sub(start), i, i == f.holder))))
			if i == f.holder {
				f.lead(e)
			} else {
				f.follow(i, e)
			}
		}
		if f.holder >= 0 && f.now.Sub(f.renewedAt) > leaseTime {
			f.vacate(-1)
		}
		if f.holder < 0 {
			f.longest = max(f.longest, f.now.Sub(f.vacantFrom))
		}
	}
}

// vacate ends the leader's lease in favor of an instance, or by itself.
func (f *fleet) vacate(successor int) {
	f.vacantFrom = f.now
	if successor < 0 {
		// Nobody has led since the leader's last sign of life.
		f.vacantFrom = f.renewedAt
	}
	f.visibleAt = f.now.Add(time.Duration(f.random.Int64N(int64(500 * time.Millisecond))))
	f.holder = -1
	for _, e := range f.instances {
		e.standAt = 0
	}
}

func (f *fleet) lead(e *simInstance) {
	f.renewedAt = f.now
	if !e.policy.MayYield(f.now, e.delays.BehindSince()) {
		return
	}
	var candidates []succession.Candidate
	for i, other := range f.instances {
		if i != f.holder && !f.now.Before(other.downUntil) {
			candidates = append(candidates, succession.Candidate{
				Name: other.name, Willing: !other.policy.StandsBack(f.now, other.delays.BehindSince()), Delay: other.delays.Mean(),
			})
		}
	}
	name, ok := succession.Successor(e.delays.Mean(), candidates)
	if !ok {
		return
	}
	count := e.policy.Yield(f.now)
	f.checkTerm(count)
	f.handOvers++
	for i, other := range f.instances {
		if other.name != name {
			continue
		}
		f.vacate(i)
		if f.random.Float64() < f.deathRate {
			*other = simInstance{name: name, downUntil: f.now.Add(2 * time.Second)}
			return
		}
		other.invitedAt, other.handOvers = f.now.Add(50*time.Millisecond), count
	}
}

// checkTerm checks that the term that ends by a hand-over has had its minimum.
func (f *fleet) checkTerm(count int) {
	shortest := time.Duration(0)
	switch {
	case count == 1 && f.chain > 0:
		shortest = 256 * time.Second
	case count > 1:
		shortest = min(8*time.Second<<(count-2), 256*time.Second)
	}
	if term := f.now.Sub(f.termFrom); term < shortest || count > 1 && count != f.chain+1 {
		f.faults = append(f.faults, fmt.Sprintf("hand-over %d after a term of %v that began with %d", count, term, f.chain))
	}
}

func (f *fleet) follow(i int, e *simInstance) {
	invited := e.invitedAt != 0 && !f.now.Before(e.invitedAt)
	switch {
	case f.holder >= 0:
		e.standAt = 0
		return
	case invited:
		f.acquire(i, e.handOvers)
		return
	case f.now.Before(f.visibleAt):
		return
	case e.standAt == 0:
		e.standAt = f.now.Add(time.Duration(i) * stagger)
		if e.policy.StandsBack(f.now, e.delays.BehindSince()) {
			e.standAt = e.standAt.Add(leaseTime)
		}
	}
	if !f.now.Before(e.standAt) {
		f.elections++
		f.acquire(i, f.chain)
	}
}

func (f *fleet) acquire(i, handOvers int) {
	e := f.instances[i]
	e.invitedAt = 0
	e.policy.BeginTerm(f.now, handOvers)
	f.holder, f.renewedAt, f.termFrom, f.chain = i, f.now, f.now, handOvers
}

func TestPolicy(t *testing.T) {
	const fast, slow = time.Millisecond / 2, 25 * time.Millisecond
	Convey("a leader that is slow, among others that are fast, hands over once", t, func() {
		f := newFleet(1, func(_ time.Duration, i int, _ bool) time.Duration {
			if i == 0 {
				return slow
			}
			return fast
		})
		f.holder, f.renewedAt = 0, f.now
		f.run()
		So(f.handOvers, ShouldEqual, 1)
		So(f.holder, ShouldNotEqual, 0)
	})
	Convey("where several instances are slow as leaders only, a fast one gets the lease at once", t, func() {
		f := newFleet(2, func(_ time.Duration, i int, leads bool) time.Duration {
			switch {
			case i < 3 && leads:
				return slow
			case i < 3:
				return 3 * fast
			}
			return fast
		})
		f.run()
		So(f.elections, ShouldEqual, 1)
		So(f.handOvers, ShouldEqual, 1)
		So(f.holder, ShouldBeGreaterThanOrEqualTo, 3)
	})
	Convey("where all are slow, nothing moves", t, func() {
		f := newFleet(3, func(time.Duration, int, bool) time.Duration { return slow })
		f.run()
		So(f.elections, ShouldEqual, 1)
		So(f.handOvers, ShouldEqual, 0)
	})
	Convey("where whoever leads becomes slow, terms double, except after an election that overtakes an invitation", t, func() {
		f := newFleet(4, func(_ time.Duration, _ int, leads bool) time.Duration {
			if leads {
				return slow
			}
			return fast
		})
		f.run()
		So(f.faults, ShouldBeEmpty)
		So(f.handOvers, ShouldBeBetweenOrEqual, 6, 7+f.elections-1)
		So(f.elections, ShouldBeLessThanOrEqualTo, 4)
	})
	Convey("a burst of two seconds moves nothing", t, func() {
		f := newFleet(5, func(at time.Duration, _ int, leads bool) time.Duration {
			if leads && at%(10*time.Second) > 8*time.Second {
				return 12 * time.Millisecond
			}
			return fast
		})
		f.run()
		So(f.handOvers, ShouldEqual, 0)
	})
	Convey("under random loads and deaths, terms have their minimum and no gap is longer than a lease and the settle time", t, func() {
		handOvers := 0
		for seed := range uint64(100) {
			f := newFleet(seed, randomLoad(seed))
			f.deathRate = 0.2
			f.run()
			So(fmt.Sprint(seed, f.faults), ShouldEqual, fmt.Sprint(seed, []string(nil)))
			So(f.longest, ShouldBeLessThanOrEqualTo, leaseTime+settleTime)
			handOvers += f.handOvers
		}
		So(handOvers, ShouldBeGreaterThan, 100)
	})
}

// randomLoad returns delays that change every 20 s: any instance may be slow in itself, or be slow only while it leads.
func randomLoad(seed uint64) func(time.Duration, int, bool) time.Duration {
	const period = 20 * time.Second
	return func(at time.Duration, i int, leads bool) time.Duration {
		random := rand.New(rand.NewPCG(seed, uint64(at/period)))
		slowShare, leaderShare := random.Float64(), random.Float64()
		kinds := rand.New(rand.NewPCG(seed+1, uint64(at/period)*instances+uint64(i)))
		switch {
		case kinds.Float64() < slowShare*slowShare:
			return 30 * time.Millisecond
		case leads && kinds.Float64() < leaderShare:
			return 30 * time.Millisecond
		}
		return time.Millisecond
	}
}
