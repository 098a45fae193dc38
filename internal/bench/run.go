package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumvale/internal/coordination/group"
)

// Policy names a way to choose endpoints.
type Policy string

// Policies, the design first.
const (
	PolicyGroups      Policy = "groups and grants"
	PolicySingleGroup Policy = "one group asked"
	PolicyRoundRobin  Policy = "round robin"
	PolicyLeastLoad   Policy = "least reported load"
	PolicyTwoChoices  Policy = "two choices, local counts"
	PolicyOracle      Policy = "oracle"
)

// Policies lists what every scenario is measured with.
var Policies = []Policy{PolicyGroups, PolicyRoundRobin, PolicyLeastLoad, PolicyTwoChoices, PolicyOracle}

// Baselines lists the policies that the design is held against.
var Baselines = []Policy{PolicyRoundRobin, PolicyLeastLoad, PolicyTwoChoices}

// Result is what a run came to; times are in microseconds.
type Result struct {
	Scenario string
	Policy   Policy
	// ShortWait and LongWait are from arrival to start.
	ShortWait, LongWait *hdrhistogram.Histogram
	// FirstToken is from arrival to the first token of short work.
	FirstToken *hdrhistogram.Histogram
	Offered    int
	Refused    int
	// Late counts short work whose first token came after its deadline, or never.
	Late int
	// InTime is the work served in time over what the endpoints could have done during the crest.
	InTime float64
	// ShortMissed counts short requests that were served late while long work ran.
	ShortMissed int
	// PeakFirstToken is the first token's time of short work that arrived in the crest.
	PeakFirstToken *hdrhistogram.Histogram
}

const (
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestMicros, digits) }

// record notes a time; one above the highest counts as the highest.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highestMicros))
}

// Run measures one policy on one scenario.
func Run(s Scenario, p Policy) *Result {
	f := newFleet(&s)
	jobs := s.jobs()
	chosen := choose(f, &s, p)
	for _, e := range f.endpoints {
		e.done = chosen.ended
	}
	for _, j := range jobs {
		f.clock.after(j.arrived.Sub(begin), func() { chosen.submit(j) })
	}
	const drain = 5 * time.Minute
	f.clock.runUntil(begin.Add(s.Duration + drain))
	return measure(&s, p, jobs)
}

func choose(f *fleet, s *Scenario, p Policy) policy {
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

func measure(s *Scenario, p Policy, jobs []*job) *Result {
	m := &Result{
		Scenario: s.Name, Policy: p, ShortWait: newHistogram(), LongWait: newHistogram(),
		FirstToken: newHistogram(), PeakFirstToken: newHistogram(), Offered: len(jobs),
	}
	var inTime time.Duration
	for _, j := range jobs {
		inCrest := s.PeakFactor > 1 && !j.arrived.Before(begin.Add(s.PeakStart)) && j.arrived.Before(begin.Add(s.PeakEnd))
		if j.refused {
			m.Refused++
			continue
		}
		if j.class == group.ClassLong {
			record(m.LongWait, j.started.Sub(j.arrived))
		} else {
			m.short(j, inCrest)
		}
		if s.PeakFactor > 1 && !j.ended.After(j.deadline) {
			inTime += overlap(j, begin.Add(s.PeakStart), begin.Add(s.PeakEnd))
		}
	}
	if s.PeakFactor > 1 {
		capacity := time.Duration(s.Endpoints*s.Slots) * (s.PeakEnd - s.PeakStart)
		m.InTime = inTime.Seconds() / capacity.Seconds()
	}
	return m
}

func (m *Result) short(j *job, inCrest bool) {
	record(m.ShortWait, j.started.Sub(j.arrived))
	record(m.FirstToken, j.firstToken.Sub(j.arrived))
	if inCrest {
		record(m.PeakFirstToken, j.firstToken.Sub(j.arrived))
	}
	if j.firstToken.IsZero() || j.ended.After(j.deadline) {
		m.Late++
	}
}

// overlap is the part of a job's service within a span.
func overlap(j *job, from, to time.Time) time.Duration {
	start, end := j.started, j.ended
	if start.Before(from) {
		start = from
	}
	if end.After(to) {
		end = to
	}
	return max(end.Sub(start), 0)
}
