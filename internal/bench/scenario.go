package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gypsumvale/internal/coordination/group"
)

// Scenario is a seeded workload on a fleet.
type Scenario struct {
	Name      string
	Zones     int
	Entries   int
	Endpoints int
	Slots     int
	// GroupSize limits groups; zero is the design's own.
	GroupSize int
	// Load is the offered work over the fleet's capacity.
	Load float64
	// PeakFactor multiplies the load from CrestFrom to CrestTo; it rises and falls within CrestRamp.
	PeakFactor                   float64
	PeakStart, PeakEnd, PeakRamp time.Duration
	// LongShare is the share of requests that take LongFactor times as long.
	LongShare   float64
	LongFactor  float64
	ShortMedian time.Duration
	// FirstTokenShare is the part of a request's time before its first token.
	FirstTokenShare float64
	// SlowedEndpoints endpoints are SlowFactor times slower for SlowFor in every SlowEvery.
	SlowedEndpoints    int
	SlowFactor         float64
	SlowFor, SlowEvery time.Duration
	ReportLag          time.Duration
	Deadline           time.Duration
	LongDeadline       time.Duration
	Duration           time.Duration
	Seed               uint64
	Workspaces         int
}

// CustomerFleet is the fleet of each customer today, at ordinary load.
func CustomerFleet(name string) Scenario {
	return Scenario{
		Name: name, Zones: 3, Entries: 18, Endpoints: 18, Slots: 4, Load: 0.7, LongShare: 0.05, LongFactor: 20,
		ShortMedian: 200 * time.Millisecond, FirstTokenShare: 0.25, ReportLag: 500 * time.Millisecond, Deadline: 10 * time.Second,
		LongDeadline: 120 * time.Second, Duration: 120 * time.Second, Seed: 1, Workspaces: 10,
	}
}

// OrdinaryLoad is today's fleet at ordinary load.
func OrdinaryLoad() Scenario { return CustomerFleet("ordinary load 0.7, 5% long") }

// ShortOnly is the same load of short work only.
func ShortOnly() Scenario {
	s := CustomerFleet("load 0.85, no long work")
	s.Load, s.LongShare = 0.85, 0
	return s
}

// ShortAndLong is short work beside long work.
func ShortAndLong() Scenario {
	s := CustomerFleet("load 0.85, 5% long")
	s.Load = 0.85
	return s
}

// SlowedEndpoints is two of eighteen endpoints five times slower for moments.
func SlowedEndpoints() Scenario {
	s := CustomerFleet("2 of 18 slowed 5 times")
	s.SlowedEndpoints, s.SlowFactor, s.SlowFor, s.SlowEvery = 2, 5, 4*time.Second, 10*time.Second
	return s
}

// PeakLoad is demand times three within two seconds, held for twenty.
func PeakLoad() Scenario {
	s := CustomerFleet("crest: demand times 3 for 20 s")
	s.Load, s.PeakFactor = 0.6, 3
	s.PeakStart, s.PeakEnd, s.PeakRamp = 20*time.Second, 42*time.Second, 2*time.Second
	s.Duration, s.Deadline = 80*time.Second, 1600*time.Millisecond
	return s
}

// LargeZone is one zone of the size aimed at.
func LargeZone(groupSize int, slowed bool) Scenario {
	s := CustomerFleet(fmt.Sprintf("96 endpoints in one zone, groups of %d", groupSize))
	s.Zones, s.Entries, s.Endpoints, s.GroupSize, s.Load, s.Duration = 1, 48, 96, groupSize, 0.85, 60*time.Second
	if slowed {
		s.Name += ", a tenth slowed 5 times"
		s.SlowedEndpoints, s.SlowFactor, s.SlowFor, s.SlowEvery = 10, 5, time.Hour, time.Hour
	}
	return s
}

// slowness returns an endpoint's factor over time; slowed endpoints take turns.
func (s *Scenario) slowness(i int) func(time.Time) float64 {
	if i >= s.SlowedEndpoints {
		return func(time.Time) float64 { return 1 }
	}
	shift := time.Duration(i) * s.SlowFor
	return func(now time.Time) float64 {
		if (now.Sub(begin)+shift)%s.SlowEvery < s.SlowFor {
			return s.SlowFactor
		}
		return 1
	}
}

// meanCost is the mean service time of a request.
func (s *Scenario) meanCost() time.Duration {
	mean := float64(s.ShortMedian) * (1 - s.LongShare + s.LongShare*s.LongFactor)
	return time.Duration(mean * lognormalMean)
}

const (
	// shortSigma spreads service times; lognormalMean is the mean over the median that goes with it.
	shortSigma    = 0.4
	lognormalMean = 1.0833
	// guessSigma spreads what requests are expected to cost around what they do cost.
	guessSigma = 0.2
)

// rate is the arrivals a second at a time.
func (s *Scenario) rate(at time.Duration) float64 {
	base := s.Load * float64(s.Endpoints*s.Slots) / s.meanCost().Seconds()
	if s.PeakFactor <= 1 {
		return base
	}
	rise := float64(at-s.PeakStart) / float64(s.PeakRamp)
	fall := float64(s.PeakEnd-at) / float64(s.PeakRamp)
	height := min(max(min(rise, fall), 0), 1)
	return base * (1 + (s.PeakFactor-1)*height)
}

// jobs draws the workload; every policy gets the same.
func (s *Scenario) jobs() []*job {
	random := rand.New(rand.NewPCG(s.Seed, 77))
	var list []*job
	for at := time.Duration(0); at < s.Duration; {
		at += exponential(random, time.Duration(float64(time.Second)/s.rate(at)))
		j := &job{
			number: len(list) + 1, entry: random.IntN(s.Entries), arrived: begin.Add(at),
			workspace: fmt.Sprintf("w%d", random.IntN(s.Workspaces)), cost: lognormal(random, s.ShortMedian, shortSigma),
		}
		deadline := s.Deadline
		if random.Float64() < s.LongShare {
			j.class = group.ClassLong
			j.cost = time.Duration(float64(j.cost) * s.LongFactor)
			deadline = s.LongDeadline
		}
		j.first = time.Duration(s.FirstTokenShare * float64(min(j.cost, s.ShortMedian)))
		j.expected = lognormal(random, j.cost, guessSigma)
		j.deadline = j.arrived.Add(deadline)
		list = append(list, j)
	}
	return list
}
