package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumvale/internal/coordination/link"
	"gypsumvale/internal/state/piece"
)

// ContextScenario is a workload of requests whose contexts were evicted from their endpoint and are fetched from a cache store, over
// a link of limited bandwidth, or recomputed.
type ContextScenario struct {
	Name     string
	Contexts int
	Pieces   int
	Stores   int
	// LinkBytes is each store's bandwidth in bytes per second: a piece takes PieceBytes/LinkBytes seconds to fetch and
	// RecomputePiece to recompute.
	PieceBytes, LinkBytes int64
	RecomputePiece        time.Duration
	ReturnsPerSecond      float64
	// EventLag is the delay of the stores' events.
	EventLag time.Duration
	// Slowed divides the links' bandwidth for a tenth of the time, without the owners' knowledge.
	Slowed   float64
	Duration time.Duration
	Seed     uint64
}

// ReturningContexts models the two stores that each customer has, at a rate of returning contexts that their links can carry.
func ReturningContexts() ContextScenario {
	return ContextScenario{
		Name: "returning contexts", Contexts: 120, Pieces: 12, Stores: 2, PieceBytes: 16 << 20, LinkBytes: 1200 << 20,
		RecomputePiece: 60 * time.Millisecond, ReturnsPerSecond: 6, EventLag: 350 * time.Millisecond, Duration: 10 * time.Minute, Seed: 1,
	}
}

// OverloadedLinks models the same stores at a rate of returning contexts that exceeds their links' bandwidth.
func OverloadedLinks() ContextScenario {
	s := ReturningContexts()
	s.Name, s.ReturnsPerSecond = "returning contexts, link overload", 22
	return s
}

// RestorePolicy decides whether a returning context is fetched or recomputed.
type RestorePolicy string

// RestoreByGrant is the production policy: the link's owner grants fetches.
const (
	RestoreByGrant           RestorePolicy = "link grants"
	RestoreByRecompute       RestorePolicy = "always recompute"
	RestoreByFetch           RestorePolicy = "always fetch"
	RestoreByReportedBacklog RestorePolicy = "reported backlog"
	RestoreByOracle          RestorePolicy = "oracle"
)

// RestorePolicies lists the policies that every context scenario is run with.
var RestorePolicies = []RestorePolicy{RestoreByGrant, RestoreByRecompute, RestoreByFetch, RestoreByReportedBacklog, RestoreByOracle}

// ContextResult holds the results of a context run; times are in microseconds.
type ContextResult struct {
	Scenario   string
	Policy     RestorePolicy
	FirstToken *hdrhistogram.Histogram
	// Recomputed is the share of the returning contexts' pieces that were recomputed.
	Recomputed float64
	// LinkUtilization is the duration of all transfers as a share of the run's time, averaged over the links. It exceeds 1 if transfers are
	// still queued at the end of the run.
	LinkUtilization float64
	// SlowFetches is the share of fetches that took longer than recomputing the same pieces.
	SlowFetches float64
	Returns     int
}

// simLink simulates a link that serves transfers first come, first served.
type simLink struct {
	freeAt   time.Time
	busy     time.Duration
	reported time.Duration
}

func (l *simLink) backlog(now time.Time) time.Duration { return max(l.freeAt.Sub(now), 0) }

func (l *simLink) transfer(now time.Time, duration time.Duration) (end time.Time) {
	start := now.Add(l.backlog(now))
	l.freeAt = start.Add(duration)
	l.busy += duration
	return l.freeAt
}

type contextRun struct {
	scenario    *ContextScenario
	policy      RestorePolicy
	clock       *clock
	links       []*simLink
	owners      []*link.Manager
	stored      map[int]time.Time
	result      *ContextResult
	fetches     int
	slowFetches int
	pieces      int
	recomputed  int
}

// RunContexts simulates one scenario under one policy.
func RunContexts(s ContextScenario, p RestorePolicy) *ContextResult {
	r := &contextRun{
		scenario: &s, policy: p, clock: newClock(), stored: make(map[int]time.Time),
		result: &ContextResult{Scenario: s.Name, Policy: p, FirstToken: newHistogram()},
	}
	for range s.Stores {
		r.links = append(r.links, &simLink{})
		r.owners = append(r.owners, link.NewManager(link.DefaultConfig(s.LinkBytes)))
	}
	r.storeInitial()
	random := rand.New(rand.NewPCG(s.Seed, 9))
	for at := time.Duration(0); at < s.Duration; {
		at += exponential(random, time.Duration(float64(time.Second)/s.ReturnsPerSecond))
		context := random.IntN(s.Contexts)
		r.clock.after(at, func() { r.restore(context) })
	}
	const reportPeriod = 500 * time.Millisecond
	for at := time.Duration(0); at < s.Duration; at += reportPeriod {
		r.clock.after(at, r.reportBacklogs)
	}
	r.clock.runUntil(startTime.Add(s.Duration + time.Minute))
	return r.measures()
}

func (r *contextRun) names(context int) []piece.Name {
	names := make([]piece.Name, r.scenario.Pieces)
	for i := range names {
		names[i] = piece.Name(fmt.Sprintf("c%d-%d", context, i))
	}
	return names
}

// storeInitial stores four in five contexts, but of every tenth context only the first half of its pieces. What isn't stored must be
// recomputed once.
func (r *contextRun) storeInitial() {
	for context := range r.scenario.Contexts {
		if context%5 == 4 {
			continue
		}
		n := r.scenario.Pieces
		if context%10 == 0 {
			n /= 2
		}
		r.storeContext(context, n)
	}
}

func (r *contextRun) storeContext(context, n int) {
	var events []link.Event
	for _, name := range r.names(context)[:n] {
		events = append(events, link.Event{Name: name, Generation: 1, Digest: "d", Bytes: r.scenario.PieceBytes})
	}
	r.owners[context%r.scenario.Stores].Apply(r.clock.now, events)
	r.stored[context] = r.clock.now
}

func (r *contextRun) reportBacklogs() {
	for _, l := range r.links {
		backlog := l.backlog(r.clock.now)
		r.clock.after(r.scenario.EventLag, func() { l.reported = backlog })
	}
}

// restore fetches or recomputes one context and records the time to first token.
func (r *contextRun) restore(context int) {
	now := r.clock.now
	storeLink, owner := r.links[context%r.scenario.Stores], r.owners[context%r.scenario.Stores]
	names := r.names(context)
	stored := len(owner.StoredPrefix(names))
	recomputeAll := r.scenario.RecomputePiece * time.Duration(len(names))
	transferTime := time.Duration(float64(r.scenario.PieceBytes) / float64(r.scenario.LinkBytes) * float64(time.Second) * float64(stored))
	recomputeStored := r.scenario.RecomputePiece * time.Duration(stored)
	fetch := stored > 0
	switch r.policy {
	case RestoreByRecompute:
		fetch = false
	case RestoreByReportedBacklog:
		fetch = fetch && storeLink.reported+transferTime < recomputeStored
	case RestoreByOracle:
		fetch = fetch && storeLink.backlog(now)+transferTime < recomputeStored
	case RestoreByGrant:
		blocks, _ := owner.Reserve(now, names, recomputeAll)
		fetch = len(blocks) > 0
	}
	r.pieces += len(names)
	firstToken := recomputeAll
	if fetch {
		end := storeLink.transfer(now, transferTime)
		r.fetches++
		if end.Sub(now) > recomputeStored {
			r.slowFetches++
		}
		firstToken = end.Sub(now) + r.scenario.RecomputePiece*time.Duration(len(names)-stored)
		r.recomputed += len(names) - stored
	} else {
		r.recomputed += len(names)
	}
	if r.policy == RestoreByGrant {
		// A round trip to the link's owner precedes both a fetch and a recomputation.
		firstToken += 2 * hopDelay
	}
	record(r.result.FirstToken, firstToken)
	if stored < len(names) {
		r.clock.after(firstToken+r.scenario.EventLag, func() { r.storeContext(context, len(names)) })
	}
}

func (r *contextRun) measures() *ContextResult {
	r.result.Returns = int(r.result.FirstToken.TotalCount())
	r.result.Recomputed = float64(r.recomputed) / float64(r.pieces)
	for _, l := range r.links {
		r.result.LinkUtilization += l.busy.Seconds() / (r.scenario.Duration + time.Minute).Seconds() / float64(len(r.links))
	}
	if r.fetches > 0 {
		r.result.SlowFetches = float64(r.slowFetches) / float64(r.fetches)
	}
	return r.result
}
