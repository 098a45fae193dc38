package entry

import (
	"context"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/budget"
	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/coordination/rollout"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/engine"
	"gypsumvale/internal/state/catalog"
)

const (
	leaseName        = "weights"
	leaseDuration    = 10 * time.Second
	leaseRenewPeriod = 2 * time.Second
	rolloutPeriod    = 300 * time.Millisecond
	readTimeout      = time.Second
	// settledReadPeriod is the time between two polls of the endpoints once all run their configured version. It is longer than
	// rolloutPeriod, since a poll reads every endpoint and its cost grows with the fleet.
	settledReadPeriod = 5 * time.Second
)

// rolloutController acquires the lease for weight rollouts, and sends load orders to endpoints while it holds the lease.
type rolloutController struct {
	node *Node

	mu         sync.Mutex
	planner    *rollout.Planner
	renewedAt  time.Time
	holdsLease bool
	// settledRevision is the configuration revision for which every endpoint that answered ran its configured version, or 0.
	settledRevision catalog.Revision
	lastReadAt      time.Time
}

func newRolloutController(n *Node) *rolloutController {
	return &rolloutController{node: n, planner: rollout.NewPlanner(rollout.DefaultConfig())}
}

func (c *rolloutController) run(ctx context.Context) {
	duty.Every(ctx, rolloutPeriod, func(ctx context.Context) {
		if !c.isCandidate() {
			return
		}
		c.renewLease(ctx)
		if c.holdsLease {
			c.sendOrders(ctx)
		}
	})
}

// isCandidate reports whether this instance is ready and ranked first of all instances for the lease.
func (c *rolloutController) isCandidate() bool {
	return rank.First("weights", c.node.members.current().All) == c.node.cfg.Name && c.node.Ready()
}

// renewLease acquires or renews the lease. The lease's duration is counted from before the call, so that it ends for this process no
// later than for the platform.
func (c *rolloutController) renewLease(ctx context.Context) {
	if time.Since(c.renewedAt) < leaseRenewPeriod {
		return
	}
	started := time.Now()
	lease, err := c.node.kvClient(budget.PriorityLease).Acquire(ctx, leaseName, c.node.incarnation, leaseDuration)
	if err != nil {
		// The planner plans no orders when too little of the lease remains.
		return
	}
	c.renewedAt = started
	c.mu.Lock()
	defer c.mu.Unlock()
	if lease.Holder != c.node.incarnation {
		c.holdsLease = false
		c.planner.LoseLease()
		return
	}
	if !c.holdsLease {
		c.node.log.Info(event.LeaseTaken, "weight rollout lease acquired", zap.Uint64("fence", lease.Fence))
	}
	c.holdsLease = true
	c.planner.SetLease(lease.Fence, time.Now(), started.Add(leaseDuration))
}

// sendOrders compares the versions that endpoints run with the configuration, and sends orders to load those that differ.
func (c *rolloutController) sendOrders(ctx context.Context) {
	revision := c.node.follower.Current().Revision
	if revision == c.settledRevision && time.Since(c.lastReadAt) < settledReadPeriod {
		return
	}
	c.lastReadAt = time.Now()
	replicas := c.readReplicas(ctx)
	c.settledRevision = 0
	if allSettled(replicas) {
		c.settledRevision = revision
	}
	c.mu.Lock()
	orders := c.planner.Plan(time.Now(), replicas)
	c.mu.Unlock()
	for _, o := range orders {
		go c.sendOrder(o)
	}
}

func allSettled(replicas []rollout.Replica) bool {
	for _, r := range replicas {
		if r.Running != r.Wanted || r.Loading {
			return false
		}
	}
	return true
}

func (c *rolloutController) readReplicas(ctx context.Context) []rollout.Replica {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	snapshot := c.node.follower.Current()
	var mu sync.Mutex
	var replicas []rollout.Replica
	var wg sync.WaitGroup
	for _, e := range snapshot.Endpoints {
		d := snapshot.Deployments[e.Deployment]
		if d == nil || c.node.instances.leaving(e.Name) {
			continue
		}
		wg.Go(func() {
			load, err := c.node.endpoints.Load(ctx, e.Address)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replicas = append(replicas, rollout.Replica{Name: e.Name, Running: load.Version, Wanted: d.Version, Loading: load.Loading})
		})
	}
	wg.Wait()
	sort.Slice(replicas, func(i, j int) bool { return replicas[i].Name < replicas[j].Name })
	return replicas
}

// sendOrder sends one order. The order's deadline is before the end of the lease, by this process's monotonic clock.
func (c *rolloutController) sendOrder(o rollout.Order) {
	e := c.node.follower.Current().Endpoints[o.Endpoint]
	if e == nil || time.Now().After(o.Deadline) {
		c.markEnded(o.Endpoint)
		return
	}
	c.node.log.Info(event.OrderSent, "weight order sent", zap.String("endpoint", o.Endpoint), zap.String("version", o.Version), zap.Uint64("fence", o.Fence))
	ctx, cancel := context.WithDeadline(context.Background(), o.Deadline)
	defer cancel()
	if err := c.node.endpoints.SendOrder(ctx, e.Address, engine.Order{Fence: o.Fence, Version: o.Version}); err != nil {
		c.node.log.Warn(event.OrderFailed, "weight order failed", zap.String("endpoint", o.Endpoint), zap.Error(err))
		// The endpoint may be loading nevertheless, which the next poll shows; until its deadline the order counts as in progress.
		return
	}
	c.markEnded(o.Endpoint)
}

func (c *rolloutController) markEnded(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner.OrderEnded(endpoint)
}
