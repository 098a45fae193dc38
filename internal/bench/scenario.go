package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gypsumvale/internal/coordination/group"
)

// Scenario describes a fleet and a seeded workload.
type Scenario struct {
	Name      string
	Zones     int
	Entries   int
	Endpoints int
	Slots     int
	// GroupSize is the number of endpoints per group; at zero, groups are formed as in production.
	GroupSize int
	// Load is the offered work as a share of the fleet's capacity.
	Load float64
	// PeakFactor is the factor on the load during the peak, whose start, end and ramp follow. Within the ramp, the load rises and falls
	// linearly.
	PeakFactor                   float64
	PeakStart, PeakEnd, PeakRamp time.Duration
	// LongShare is the share of long requests, which take LongFactor times as long as the short ones.
	LongShare  float64
	LongFactor float64
	// ShortMedian is the median service time of short requests.
	ShortMedian time.Duration
	// FirstTokenShare is the time before the first token as a share of the service time, or of a short request's median if that is less.
	FirstTokenShare float64
	// SlowedEndpoints is the number of endpoints that are SlowFactor times slower for SlowFor in every SlowEvery.
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

// CustomerFleet returns a scenario of the fleet that each customer runs, at ordinary load.
func CustomerFleet(name string) Scenario {
	return Scenario{
		Name: name, Zones: 3, Entries: 18, Endpoints: 18, Slots: 4, Load: 0.7, LongShare: 0.05, LongFactor: 20,
		ShortMedian: 200 * time.Millisecond, FirstTokenShare: 0.25, ReportLag: 500 * time.Millisecond, Deadline: 10 * time.Second,
		LongDeadline: 120 * time.Second, Duration: 120 * time.Second, Seed: 1, Workspaces: 10,
	}
}

// OrdinaryLoad returns the customers' fleet at ordinary load.
func OrdinaryLoad() Scenario { return CustomerFleet("ordinary load 0.7, 5% long") }

// ShortOnly returns a scenario of short requests only, with the same load as the scenario with long ones.
func ShortOnly() Scenario {
	s := CustomerFleet("load 0.85, no long work")
	s.Load, s.LongShare = 0.85, 0
	return s
}

// ShortAndLong returns a scenario of short and long requests.
func ShortAndLong() Scenario {
	s := CustomerFleet("load 0.85, 5% long")
	s.Load = 0.85
	return s
}

// SlowedEndpoints returns a scenario in which two of the eighteen endpoints are five times slower for 4 s in every 10 s.
func SlowedEndpoints() Scenario {
	s := CustomerFleet("2 of 18 slowed 5 times")
	s.SlowedEndpoints, s.SlowFactor, s.SlowFor, s.SlowEvery = 2, 5, 4*time.Second, 10*time.Second
	return s
}

// PeakLoad returns a scenario in which the load triples within two seconds, stays there for eighteen and falls again within two.
func PeakLoad() Scenario {
	s := CustomerFleet("peak load: 3x demand for 20 s")
	s.Load, s.PeakFactor = 0.6, 3
	s.PeakStart, s.PeakEnd, s.PeakRamp = 20*time.Second, 42*time.Second, 2*time.Second
	s.Duration, s.Deadline = 80*time.Second, 1600*time.Millisecond
	return s
}

// LargeZone returns a scenario of a single zone of the target size.
func LargeZone(groupSize int, slowed bool) Scenario {
	s := CustomerFleet(fmt.Sprintf("96 endpoints in one zone, groups of %d", groupSize))
	s.Zones, s.Entries, s.Endpoints, s.GroupSize, s.Load, s.Duration = 1, 48, 96, groupSize, 0.85, 60*time.Second
	if slowed {
		s.Name += ", a tenth slowed 5 times"
		s.SlowedEndpoints, s.SlowFactor, s.SlowFor, s.SlowEvery = 10, 5, time.Hour, time.Hour
	}
	return s
}

// slowdown returns an endpoint's slowdown factor as a function of time. The slow periods of the slowed endpoints are offset by
// SlowFor each, so that they take turns.
func (s *Scenario) slowdown(i int) func(time.Time) float64 {
	if i >= s.SlowedEndpoints {
		return func(time.Time) float64 { return 1 }
	}
	shift := time.Duration(i) * s.SlowFor
	return func(now time.Time) float64 {
		if (now.Sub(startTime)+shift)%s.SlowEvery < s.SlowFor {
			return s.SlowFactor
		}
		return 1
	}
}

// meanCost returns the mean service time of all requests.
func (s *Scenario) meanCost() time.Duration {
	mean := float64(s.ShortMedian) * (1 - s.LongShare + s.LongShare*s.LongFactor)
	return time.Duration(mean * lognormalMean)
}

const (
	// shortSigma is the sigma of the lognormal service times, and lognormalMean the resulting ratio of mean to median.
	shortSigma    = 0.4
	lognormalMean = 1.0833
	// estimateSigma is the sigma of the expected cost around the actual cost.
	estimateSigma = 0.2
)

// arrivalRate returns the arrivals per second at a time.
func (s *Scenario) arrivalRate(at time.Duration) float64 {
	base := s.Load * float64(s.Endpoints*s.Slots) / s.meanCost().Seconds()
	if s.PeakFactor <= 1 {
		return base
	}
	rise := float64(at-s.PeakStart) / float64(s.PeakRamp)
	fall := float64(s.PeakEnd-at) / float64(s.PeakRamp)
	level := min(max(min(rise, fall), 0), 1)
	return base * (1 + (s.PeakFactor-1)*level)
}

// jobs generates the workload, which is the same for every policy.
func (s *Scenario) jobs() []*job {
	random := rand.New(rand.NewPCG(s.Seed, 77))
	var list []*job
	for at := time.Duration(0); at < s.Duration; {
		at += exponential(random, time.Duration(float64(time.Second)/s.arrivalRate(at)))
		j := &job{
			id: len(list) + 1, entry: random.IntN(s.Entries), arrived: startTime.Add(at),
			workspace: fmt.Sprintf("w%d", random.IntN(s.Workspaces)), cost: lognormal(random, s.ShortMedian, shortSigma),
		}
		deadline := s.Deadline
		if random.Float64() < s.LongShare {
			j.class = group.ClassLong
			j.cost = time.Duration(float64(j.cost) * s.LongFactor)
			deadline = s.LongDeadline
		}
		j.firstTokenCost = time.Duration(s.FirstTokenShare * float64(min(j.cost, s.ShortMedian)))
		j.expectedCost = lognormal(random, j.cost, estimateSigma)
		j.deadline = j.arrived.Add(deadline)
		list = append(list, j)
	}
	return list
}
