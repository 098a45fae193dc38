package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gypsumvale/internal/duty"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
)

const (
	// catchUpStart is the interval at which a started entry checks whether it knows peers.
	catchUpStart = 20 * time.Millisecond
	// catchUpPeriod is the interval between two rounds of queries.
	catchUpPeriod = 250 * time.Millisecond
	// catchUpPeers is how many peers are queried at once: enough that one of them has run for long while others are restarted too.
	catchUpPeers = 4
	// catchUpTimeout bounds one query until its answer begins, and without progress from then on; peers answer at once.
	catchUpTimeout = 400 * time.Millisecond
	// maxCatchUpRounds bounds the queries of a process whose peers don't know either.
	maxCatchUpRounds = 20
)

// catchUp is the task by which an entry learns from its peers what the metadata store doesn't hold, once it has started and whenever the
// store was restored from a copy. What stays unknown is taken to be as unfavorable as it can be.
type catchUp struct {
	node   *Node
	wakeup chan struct{}
}

func newCatchUp(n *Node) *catchUp { return &catchUp{node: n, wakeup: make(chan struct{}, 1)} }

// wake makes the entry query its peers again.
func (c *catchUp) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

func (c *catchUp) run(ctx context.Context) {
	for !c.canQuery() {
		if !duty.Sleep(ctx, catchUpStart) {
			return
		}
	}
	// At the start there may be no peers, or none that answers.
	for required := false; c.learn(ctx, required); required = true {
		select {
		case <-ctx.Done():
			return
		case <-c.wakeup:
		}
	}
}

// learn queries peers until one has answered and the announcements of target versions are known, and reports false if the context has
// ended. If an answer is required, a round of queries without one doesn't count as having asked.
func (c *catchUp) learn(ctx context.Context, required bool) bool {
	answered := false
	for range maxCatchUpRounds {
		era := c.node.configuration.knownEra()
		answered = c.query(ctx) || answered
		if (answered || !required) && c.node.configuration.recordPeersAsked(era) && !required {
			// The next read confirms the configuration, for which callers wait at the start.
			c.node.poller.wake()
		}
		if answered && !c.node.placer.hasUnknownAge(clock.Now()) {
			break
		}
		if !duty.Sleep(ctx, catchUpPeriod) {
			return false
		}
	}
	return true
}

// canQuery reports whether this entry has read the store, so that its peers are known.
func (c *catchUp) canQuery() bool {
	_, known := c.node.members.leader()
	return known
}

// query queries some peers, and reports whether any has answered.
func (c *catchUp) query(ctx context.Context) bool {
	var answered atomic.Bool
	var queries sync.WaitGroup
	for _, name := range c.node.members.samplePeers(catchUpPeers) {
		queries.Go(func() {
			if c.queryPeer(ctx, name) {
				answered.Store(true)
			}
		})
	}
	queries.Wait()
	return answered.Load()
}

// queryPeer queries one peer, and reports whether it has answered. A peer of an earlier release doesn't know the message, and one that was
// killed doesn't answer.
func (c *catchUp) queryPeer(ctx context.Context, name string) bool {
	network, address, ok := c.node.members.peer(name)
	if !ok {
		return false
	}
	sent := clock.Now()
	var request peer.CatchUpRequest
	if table := c.node.table.Load(); table != nil {
		request.TableVersion = table.Version
	}
	ctx, cancel := duty.WithProgress(ctx, catchUpTimeout, catchUpTimeout)
	defer cancel()
	var reply peer.CatchUpReply
	if err := network.Call(ctx, name, address, peer.KindCatchUp, request, &reply); err != nil {
		return false
	}
	c.node.evacuations.applyPeer(sent, reply.Evacuated)
	if reply.Configuration != nil {
		c.node.configuration.apply(provenance{source: name, readAt: sent}, peer.StoreItems([]peer.Item{*reply.Configuration}))
	}
	c.node.learnTargetVersions(sent, name, reply.TargetVersions)
	return true
}

// serveCatchUp answers a peer that has started.
func (n *Node) serveCatchUp(request *peer.CatchUpRequest) peer.CatchUpReply {
	now := clock.Now()
	return peer.CatchUpReply{
		TargetVersions: n.placer.sharedTargets(now, false), Configuration: n.configuration.newerThan(request.TableVersion),
		Evacuated: n.evacuations.forPeer(now),
	}
}
