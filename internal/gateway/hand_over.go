package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/coordination/succession"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
)

const (
	// handOverPeriod is the interval at which the leader checks whether it should hand over.
	handOverPeriod = 250 * time.Millisecond
	// successorQueryTimeout bounds the queries for a successor: peers answer at once, but the querying leader is behind.
	successorQueryTimeout = time.Second
	// successorQueryPause is the pause after a round of queries, in which peers may catch up.
	successorQueryPause = 2 * time.Second
)

// handOver is the task by which a leader that is behind, or reaches no endpoint, finds a successor.
type handOver struct {
	node *Node

	nextQuery clock.Instant
	// loggedFor is the beginning of the span behind for which a missing successor has been logged.
	loggedFor clock.Instant

	mu     sync.Mutex
	policy succession.Policy
}

func (h *handOver) run(ctx context.Context) { duty.Every(ctx, handOverPeriod, h.step) }

func (h *handOver) step(ctx context.Context) {
	now := clock.Now()
	if !h.node.leadership.holdsLease(now) {
		return
	}
	delay, behindSince := h.node.dispatchDelay.state()
	isolatedSince := h.node.links.isolatedSince()
	h.mu.Lock()
	mayYield := h.policy.MayYield(now, behindSince)
	if h.policy.MayYieldIsolated(now, isolatedSince) {
		mayYield, delay, behindSince = true, succession.UnableToLead, isolatedSince
	}
	h.mu.Unlock()
	if !mayYield || now.Before(h.nextQuery) || h.node.stopping.Load() {
		return
	}
	h.nextQuery = now.Add(successorQueryPause)
	candidates := h.query(ctx)
	if successor, ok := succession.Successor(delay, candidates); ok {
		h.node.leadership.requestHandOver(successor)
		return
	}
	if h.loggedFor != behindSince {
		h.loggedFor = behindSince
		h.node.log.Warn(event.LeaderChanged, "no instance to hand leadership over to", zap.Int64("delay_us", delay.Microseconds()),
			zap.Int("answers", len(candidates)))
	}
}

// query returns the answers of the preferred leaders.
func (h *handOver) query(ctx context.Context) []succession.Candidate {
	ctx, cancel := context.WithTimeout(ctx, successorQueryTimeout)
	defer cancel()
	var mu sync.Mutex
	var candidates []succession.Candidate
	var queries sync.WaitGroup
	for _, name := range rank.Top(leaderSubject, h.node.members.leaderCandidates(), maxCandidates) {
		network, address, ok := h.node.members.peer(name)
		if !ok || name == h.node.cfg.Name {
			continue
		}
		queries.Go(func() {
			var reply peer.SuccessorReply
			if err := network.Call(ctx, name, address, peer.KindSuccessor, peer.SuccessorQuery{}, &reply); err != nil {
				// Peers that don't answer in time, or don't know the message, are no successors.
				return
			}
			mu.Lock()
			defer mu.Unlock()
			candidates = append(candidates, succession.Candidate{Name: name, Willing: reply.Willing, Delay: reply.Delay})
		})
	}
	queries.Wait()
	return candidates
}

// serveQuery answers a leader that looks for a successor.
func (h *handOver) serveQuery(from string) peer.SuccessorReply {
	now := clock.Now()
	leader, known := h.node.members.leader()
	delay, _ := h.node.dispatchDelay.state()
	return peer.SuccessorReply{
		Willing: known && leader == from && h.node.ready.Load() && !h.node.stopping.Load() && !h.standsBack(now), Delay: delay,
	}
}

// standsBack reports whether this instance leaves the lease to others as long as any of them takes it.
func (h *handOver) standsBack(now clock.Instant) bool {
	_, behindSince := h.node.dispatchDelay.state()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.node.links.isolated.Load() || h.policy.StandsBack(now, behindSince)
}

// beginTerm records that this instance leads from now on.
func (h *handOver) beginTerm(now clock.Instant, handOvers int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.policy.BeginTerm(now, handOvers)
}

// yield records that this instance hands over, and returns the number of hand-overs that its successor begins with.
func (h *handOver) yield(now clock.Instant) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.policy.Yield(now)
}
