package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumvale/internal/coordination/link"
	"gypsumvale/internal/state/piece"
)

// ContextScenario is contexts that return after their eviction, before stores with limited links.
type ContextScenario struct {
	Name     string
	Contexts int
	Pieces   int
	Stores   int
	// PieceBytes over LinkBytes is a piece's time on the link, and RecomputePiece its time to recompute.
	PieceBytes, LinkBytes int64
	RecomputePiece        time.Duration
	ReturnsPerSecond      float64
	// EventLag is how late the stores' events are.
	EventLag time.Duration
	// Slowed divides the links' speed for a tenth of the time, unknown to their owners.
	Slowed   float64
	Duration time.Duration
	Seed     uint64
}

// ReturningContexts is today's two stores; Busy is the same with returns that the links can't all carry.
func ReturningContexts() ContextScenario {
	return ContextScenario{
		Name: "returning contexts", Contexts: 120, Pieces: 12, Stores: 2, PieceBytes: 16 << 20, LinkBytes: 1200 << 20,
		RecomputePiece: 60 * time.Millisecond, ReturnsPerSecond: 6, EventLag: 350 * time.Millisecond, Duration: 10 * time.Minute, Seed: 1,
	}
}

// OverloadedLinks offers the links more than they can carry.
func OverloadedLinks() ContextScenario {
	s := ReturningContexts()
	s.Name, s.ReturnsPerSecond = "returning contexts, links overrun", 22
	return s
}

// RestorePolicy chooses how a context comes back.
type RestorePolicy string

// Ways to choose.
const (
	RestoreByGrant           RestorePolicy = "link grants"
	RestoreByRecompute       RestorePolicy = "always recompute"
	RestoreByFetch           RestorePolicy = "always fetch"
	RestoreByReportedBacklog RestorePolicy = "reported backlog"
	RestoreByOracle          RestorePolicy = "oracle"
)

// RestorePolicies lists what the context scenarios are measured with.
var RestorePolicies = []RestorePolicy{RestoreByGrant, RestoreByRecompute, RestoreByFetch, RestoreByReportedBacklog, RestoreByOracle}

// ContextResult is what a context run came to; times are in microseconds.
type ContextResult struct {
	Scenario   string
	Policy     RestorePolicy
	FirstToken *hdrhistogram.Histogram
	// Recomputed is the share of returning context that was recomputed.
	Recomputed float64
	// LinkUtilization is the share of time that the links were busy; it can't be above one.
	LinkUtilization float64
	// SlowFetches is the share of fetches that took longer than recomputing would have.
	SlowFetches float64
	Returns     int
}

// simLink is a link that carries one transfer after another.
type simLink struct {
	freeAt   time.Time
	busy     time.Duration
	reported time.Duration
}

func (l *simLink) backlog(now time.Time) time.Duration { return max(l.freeAt.Sub(now), 0) }

func (l *simLink) transfer(now time.Time, took time.Duration) (end time.Time) {
	start := now.Add(l.backlog(now))
	l.freeAt = start.Add(took)
	l.busy += took
	return l.freeAt
}

type contextRun struct {
	s       *ContextScenario
	policy  RestorePolicy
	clock   *clock
	links   []*simLink
	keepers []*link.Manager
	stored  map[int]time.Time
	m       *ContextResult
	fetches int
	slow    int
	pieces  int
	redone  int
}

// RunContexts measures one way to choose on one scenario.
func RunContexts(s ContextScenario, p RestorePolicy) *ContextResult {
	r := &contextRun{
		s: &s, policy: p, clock: newClock(), stored: make(map[int]time.Time),
		m: &ContextResult{Scenario: s.Name, Policy: p, FirstToken: newHistogram()},
	}
	for range s.Stores {
		r.links = append(r.links, &simLink{})
		r.keepers = append(r.keepers, link.NewManager(link.DefaultConfig(s.LinkBytes)))
	}
	r.fill()
	random := rand.New(rand.NewPCG(s.Seed, 9))
	for at := time.Duration(0); at < s.Duration; {
		at += exponential(random, time.Duration(float64(time.Second)/s.ReturnsPerSecond))
		context := random.IntN(s.Contexts)
		r.clock.after(at, func() { r.returns(context) })
	}
	const reportPeriod = 500 * time.Millisecond
	for at := time.Duration(0); at < s.Duration; at += reportPeriod {
		r.clock.after(at, r.report)
	}
	r.clock.runUntil(begin.Add(s.Duration + time.Minute))
	return r.finish()
}

func (r *contextRun) names(context int) []piece.Name {
	names := make([]piece.Name, r.s.Pieces)
	for i := range names {
		names[i] = piece.Name(fmt.Sprintf("c%d-%d", context, i))
	}
	return names
}

// fill stores four in five contexts; the others, and every tenth's second half, must be recomputed once.
func (r *contextRun) fill() {
	for context := range r.s.Contexts {
		if context%5 == 4 {
			continue
		}
		n := r.s.Pieces
		if context%10 == 0 {
			n /= 2
		}
		r.store(context, n)
	}
}

func (r *contextRun) store(context, n int) {
	var events []link.Event
	for _, name := range r.names(context)[:n] {
		events = append(events, link.Event{Name: name, Generation: 1, Digest: "d", Bytes: r.s.PieceBytes})
	}
	r.keepers[context%r.s.Stores].Apply(r.clock.now, events)
	r.stored[context] = r.clock.now
}

func (r *contextRun) report() {
	for _, l := range r.links {
		backlog := l.backlog(r.clock.now)
		r.clock.after(r.s.EventLag, func() { l.reported = backlog })
	}
}

// returns brings one context back and notes the time to first token.
func (r *contextRun) returns(context int) {
	now := r.clock.now
	l, k := r.links[context%r.s.Stores], r.keepers[context%r.s.Stores]
	names := r.names(context)
	stored := len(k.StoredPrefix(names))
	whole := r.s.RecomputePiece * time.Duration(len(names))
	took := time.Duration(float64(r.s.PieceBytes) / float64(r.s.LinkBytes) * float64(time.Second) * float64(stored))
	saved := r.s.RecomputePiece * time.Duration(stored)
	fetch := stored > 0
	switch r.policy {
	case RestoreByRecompute:
		fetch = false
	case RestoreByReportedBacklog:
		fetch = fetch && l.reported+took < saved
	case RestoreByOracle:
		fetch = fetch && l.backlog(now)+took < saved
	case RestoreByGrant:
		blocks, _ := k.Reserve(now, names, whole)
		fetch = len(blocks) > 0
	}
	r.pieces += len(names)
	first := whole
	if fetch {
		end := l.transfer(now, took)
		r.fetches++
		if end.Sub(now) > saved {
			r.slow++
		}
		first = end.Sub(now) + r.s.RecomputePiece*time.Duration(len(names)-stored)
		r.redone += len(names) - stored
	} else {
		r.redone += len(names)
	}
	if r.policy == RestoreByGrant {
		// One call to the link's owner comes before either way.
		first += 2 * hop
	}
	record(r.m.FirstToken, first)
	if stored < len(names) {
		r.clock.after(first+r.s.EventLag, func() { r.store(context, len(names)) })
	}
}

func (r *contextRun) finish() *ContextResult {
	r.m.Returns = int(r.m.FirstToken.TotalCount())
	r.m.Recomputed = float64(r.redone) / float64(r.pieces)
	for _, l := range r.links {
		r.m.LinkUtilization += l.busy.Seconds() / (r.s.Duration + time.Minute).Seconds() / float64(len(r.links))
	}
	if r.fetches > 0 {
		r.m.SlowFetches = float64(r.slow) / float64(r.fetches)
	}
	return r.m
}
