package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumvale/internal/coordination/group"
)

// Policy names a way to assign requests to endpoints.
type Policy string

// PolicyGroups is the production policy. The single-group policy is the same but sends each request to one group only. The others are
// baselines and the oracle.
const (
	PolicyGroups      Policy = "groups and grants"
	PolicySingleGroup Policy = "single group"
	PolicyRoundRobin  Policy = "round robin"
	PolicyLeastLoad   Policy = "least reported load"
	PolicyTwoChoices  Policy = "two choices, local counts"
	PolicyOracle      Policy = "oracle"
)

// Policies lists the policies that every scenario is run with.
var Policies = []Policy{PolicyGroups, PolicyRoundRobin, PolicyLeastLoad, PolicyTwoChoices, PolicyOracle}

// Baselines lists the policies that the production policy must not be worse than.
var Baselines = []Policy{PolicyRoundRobin, PolicyLeastLoad, PolicyTwoChoices}

// Result holds the results of a run; times are in microseconds.
type Result struct {
	Scenario string
	Policy   Policy
	// ShortWait and LongWait are the times from arrival to start of service.
	ShortWait, LongWait *hdrhistogram.Histogram
	// FirstToken is the time from arrival to the first token of short requests.
	FirstToken *hdrhistogram.Histogram
	Offered    int
	Refused    int
	// Late counts short requests that got no first token or completed after their deadline.
	Late int
	// InTime is the work completed within its deadline during the load peak, as a share of the endpoints' capacity in that time.
	InTime float64
	// ShortMissed counts short requests that were served late while long work ran.
	ShortMissed int
	// PeakFirstToken is the time to first token of short requests that arrived during the load peak.
	PeakFirstToken *hdrhistogram.Histogram
}

const (
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestMicros, significantDigits)
}

// record adds a duration to a histogram, clamped to its range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highestMicros))
}

// Run simulates one scenario under one policy.
func Run(s Scenario, p Policy) *Result {
	f := newFleet(&s)
	jobs := s.jobs()
	assigner := newPolicy(f, &s, p)
	for _, e := range f.endpoints {
		e.onComplete = assigner.completed
	}
	for _, j := range jobs {
		f.clock.after(j.arrived.Sub(startTime), func() { assigner.submit(j) })
	}
	const drain = 5 * time.Minute
	f.clock.runUntil(startTime.Add(s.Duration + drain))
	return measureJobs(&s, p, jobs)
}

func newPolicy(f *fleet, s *Scenario, p Policy) policy {
	switch p {
	case PolicyRoundRobin:
		return newRoundRobin(f)
	case PolicyLeastLoad:
		return newLeastReported(f, s.ReportLag, s.Seed)
	case PolicyTwoChoices:
		return newTwoChoices(f, s.Seed)
	case PolicyOracle:
		return &oracle{fleet: f}
	case PolicySingleGroup:
		return newGroups(f, s, 1)
	}
	return newGroups(f, s, 2)
}

func measureJobs(s *Scenario, p Policy, jobs []*job) *Result {
	m := &Result{
		Scenario: s.Name, Policy: p, ShortWait: newHistogram(), LongWait: newHistogram(),
		FirstToken: newHistogram(), PeakFirstToken: newHistogram(), Offered: len(jobs),
	}
	var inTime time.Duration
	for _, j := range jobs {
		inPeak := s.PeakFactor > 1 && !j.arrived.Before(startTime.Add(s.PeakStart)) && j.arrived.Before(startTime.Add(s.PeakEnd))
		if j.refused {
			m.Refused++
			continue
		}
		if j.class == group.ClassLong {
			record(m.LongWait, j.started.Sub(j.arrived))
		} else {
			m.recordShort(j, inPeak)
		}
		if s.PeakFactor > 1 && !j.completed.After(j.deadline) {
			inTime += overlap(j, startTime.Add(s.PeakStart), startTime.Add(s.PeakEnd))
		}
	}
	if s.PeakFactor > 1 {
		capacity := time.Duration(s.Endpoints*s.Slots) * (s.PeakEnd - s.PeakStart)
		m.InTime = inTime.Seconds() / capacity.Seconds()
	}
	return m
}

func (m *Result) recordShort(j *job, inPeak bool) {
	record(m.ShortWait, j.started.Sub(j.arrived))
	record(m.FirstToken, j.firstToken.Sub(j.arrived))
	if inPeak {
		record(m.PeakFirstToken, j.firstToken.Sub(j.arrived))
	}
	if j.firstToken.IsZero() || j.completed.After(j.deadline) {
		m.Late++
	}
}

// overlap returns the part of a job's service time that lies within an interval.
func overlap(j *job, from, to time.Time) time.Duration {
	start, end := j.started, j.completed
	if start.Before(from) {
		start = from
	}
	if end.After(to) {
		end = to
	}
	return max(end.Sub(start), 0)
}
