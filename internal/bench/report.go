package bench

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is every measure of one bench run.
type Report struct {
	Results    []*Result
	Contexts   []*ContextResult
	GroupSizes []*Result
	Checks     []Check
}

// Check holds a figure to its target.
type Check struct {
	Name   string
	Figure float64
	Limit  float64
	// AtLeast says that the figure may not be below the limit, instead of not above it.
	AtLeast bool
	Unit    string
}

// Met reports whether the target is met.
func (c *Check) Met() bool {
	if c.AtLeast {
		return c.Figure >= c.Limit
	}
	return c.Figure <= c.Limit
}

// RunAll measures every policy on every scenario and holds the design to its targets.
func RunAll() *Report {
	r := &Report{}
	for _, s := range []Scenario{OrdinaryLoad(), ShortOnly(), ShortAndLong(), SlowedEndpoints(), PeakLoad()} {
		for _, p := range Policies {
			r.Results = append(r.Results, Run(s, p))
		}
	}
	for _, s := range []ContextScenario{ReturningContexts(), OverloadedLinks()} {
		for _, p := range RestorePolicies {
			r.Contexts = append(r.Contexts, RunContexts(s, p))
		}
	}
	r.check()
	return r
}

// CompareGroupSizes measures group sizes at the size aimed at, one and two groups asked, healthy and slowed.
func CompareGroupSizes() []*Result {
	var list []*Result
	for _, slowed := range []bool{false, true} {
		for _, size := range []int{1, 4, 8, 16} {
			for _, p := range []Policy{PolicySingleGroup, PolicyGroups} {
				list = append(list, Run(LargeZone(size, slowed), p))
			}
		}
	}
	return list
}

func (r *Report) find(s Scenario, p Policy) *Result {
	for _, m := range r.Results {
		if m.Scenario == s.Name && m.Policy == p {
			return m
		}
	}
	return nil
}

func (r *Report) findContexts(s ContextScenario, p RestorePolicy) *ContextResult {
	for _, m := range r.Contexts {
		if m.Scenario == s.Name && m.Policy == p {
			return m
		}
	}
	return nil
}

func ms(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

func (r *Report) add(name string, figure, limit float64, atLeast bool, unit string) {
	r.Checks = append(r.Checks, Check{Name: name, Figure: figure, Limit: limit, AtLeast: atLeast, Unit: unit})
}

// slackMillis is the absolute part of targets given as ratios: below it a difference has no meaning for a caller.
const slackMillis = 10

// check holds the design to the targets of the issue; the limits follow from targets and from other policies' figures.
func (r *Report) check() {
	const (
		headOfLine    = 1.2
		slowed        = 1.5
		inTime        = 0.95
		recomputed    = 1.1
		slowFetches   = 0.05
		oracleFactor  = 1.15
		firstTokenMax = 1600
	)
	design := func(s Scenario) *Result { return r.find(s, PolicyGroups) }
	without, with := design(ShortOnly()), design(ShortAndLong())
	r.add("short work's wait beside long work, p95", ms(with.ShortWait, 95), max(headOfLine*ms(without.ShortWait, 95), slackMillis), false, "ms")
	ordinary := design(OrdinaryLoad())
	r.add("first token at ordinary load, p95", ms(ordinary.FirstToken, 95), firstTokenMax, false, "ms")
	r.add("first token with 2 of 18 slowed, p95", ms(design(SlowedEndpoints()).FirstToken, 95), slowed*ms(ordinary.FirstToken, 99), false, "ms")
	crest := design(PeakLoad())
	r.add("work served in time at the crest", crest.InTime, inTime, true, "of capacity")
	r.add("short work late at the crest", float64(crest.Late), 0, false, "requests")
	for _, s := range []Scenario{OrdinaryLoad(), ShortOnly(), ShortAndLong(), SlowedEndpoints()} {
		r.against(s)
	}
	for _, s := range []ContextScenario{ReturningContexts(), OverloadedLinks()} {
		grants, oracle := r.findContexts(s, RestoreByGrant), r.findContexts(s, RestoreByOracle)
		r.add(s.Name+": share recomputed", grants.Recomputed, recomputed*oracle.Recomputed, false, "")
		r.add(s.Name+": link use", grants.LinkUtilization, 1, false, "")
		r.add(s.Name+": fetches slower than recomputing", grants.SlowFetches, slowFetches, false, "")
		r.add(s.Name+": first token beside oracle, p95", ms(grants.FirstToken, 95), oracleFactor*ms(oracle.FirstToken, 95), false, "ms")
		best := min(ms(r.findContexts(s, RestoreByRecompute).FirstToken, 95), ms(r.findContexts(s, RestoreByFetch).FirstToken, 95), ms(r.findContexts(s, RestoreByReportedBacklog).FirstToken, 95))
		r.add(s.Name+": first token beside best baseline, p95", ms(grants.FirstToken, 95), max(best, best+1), false, "ms")
	}
}

// against compares the design with the best baseline and the oracle.
func (r *Report) against(s Scenario) {
	const oracleFactor = 1.15
	design, oracle := r.find(s, PolicyGroups), r.find(s, PolicyOracle)
	for _, quantile := range []float64{95, 99} {
		best := ms(r.find(s, PolicyRoundRobin).FirstToken, quantile)
		for _, p := range Baselines {
			best = min(best, ms(r.find(s, p).FirstToken, quantile))
		}
		figure := ms(design.FirstToken, quantile)
		r.add(fmt.Sprintf("%s: first token beside best baseline, p%.0f", s.Name, quantile), figure, best, false, "ms")
		r.add(fmt.Sprintf("%s: first token beside oracle, p%.0f", s.Name, quantile), figure, oracleFactor*ms(oracle.FirstToken, quantile), false, "ms")
	}
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	p := printer{w}
	p.line("%-34s %-27s %9s %9s %9s %9s %9s %9s %7s %6s %7s", "scenario", "policy", "wait p50", "wait p95", "wait p99", "first p95", "first p99", "long p95", "refused", "late", "in time")
	for _, m := range r.Results {
		p.line("%-34s %-27s %9.2f %9.2f %9.2f %9.2f %9.2f %9.2f %7d %6d %7.3f", m.Scenario, m.Policy, ms(m.ShortWait, 50), ms(m.ShortWait, 95),
			ms(m.ShortWait, 99), ms(m.FirstToken, 95), ms(m.FirstToken, 99), ms(m.LongWait, 95), m.Refused, m.Late, m.InTime)
	}
	p.line("")
	p.line("%-34s %-27s %9s %9s %10s %9s %12s", "scenario", "policy", "first p50", "first p95", "recomputed", "link use", "slow fetches")
	for _, m := range r.Contexts {
		p.line("%-34s %-27s %9.2f %9.2f %10.3f %9.3f %12.3f", m.Scenario, m.Policy, ms(m.FirstToken, 50), ms(m.FirstToken, 95), m.Recomputed, m.LinkUtilization, m.SlowFetches)
	}
	if len(r.GroupSizes) > 0 {
		p.line("")
		p.line("%-58s %-20s %9s %9s", "scenario", "policy", "wait p95", "wait p99")
	}
	for _, m := range r.GroupSizes {
		p.line("%-58s %-20s %9.2f %9.2f", m.Scenario, m.Policy, ms(m.ShortWait, 95), ms(m.ShortWait, 99))
	}
	p.line("")
	for i := range r.Checks {
		p.check(&r.Checks[i])
	}
}

type printer struct{ w io.Writer }

func (p printer) line(format string, args ...any) {
	// A report that can't be written has no one to tell.
	_, _ = fmt.Fprintf(p.w, format+"\n", args...)
}

func (p printer) check(c *Check) {
	verdict, bound := "met   ", "at most"
	if c.AtLeast {
		bound = "at least"
	}
	if !c.Met() {
		verdict = "MISSED"
	}
	p.line("%s  %-72s %9.3f, target %s %.3f %s", verdict, c.Name, c.Figure, bound, c.Limit, c.Unit)
}
