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
	leaseName    = "weights"
	leaseTime    = 10 * time.Second
	leasePeriod  = 2 * time.Second
	weightPeriod = 300 * time.Millisecond
	readTimeout  = time.Second
	// settledPeriod is the time between looks while nothing is to be done, so that the looks don't grow with the fleet.
	settledPeriod = 5 * time.Second
)

// weightHolder is the duty that takes the lease of weight roll-outs and sends orders while it holds it.
type weightHolder struct {
	node *Node

	mu      sync.Mutex
	planner *rollout.Planner
	renewed time.Time
	holds   bool
	// settled is the revision at which every endpoint was seen to run what it should.
	settled  catalog.Revision
	lastRead time.Time
}

func newWeightHolder(n *Node) *weightHolder {
	return &weightHolder{node: n, planner: rollout.NewPlanner(rollout.DefaultConfig())}
}

func (w *weightHolder) run(ctx context.Context) {
	duty.Every(ctx, weightPeriod, func(ctx context.Context) {
		if !w.wanted() {
			return
		}
		w.renew(ctx)
		if w.holds {
			w.send(ctx)
		}
	})
}

// wanted reports whether this instance is the one of all, by rank, that should hold the lease.
func (w *weightHolder) wanted() bool {
	return rank.First("weights", w.node.members.current().All) == w.node.cfg.Name && w.node.Ready()
}

// renew counts the lease from before the call, so that this process's view of it ends first.
func (w *weightHolder) renew(ctx context.Context) {
	if time.Since(w.renewed) < leasePeriod {
		return
	}
	started := time.Now()
	lease, err := w.node.ranked(budget.PriorityLease).Acquire(ctx, leaseName, w.node.incarnation, leaseTime)
	if err != nil {
		// The planner stops by itself when the lease is too near its end.
		return
	}
	w.renewed = started
	w.mu.Lock()
	defer w.mu.Unlock()
	if lease.Holder != w.node.incarnation {
		w.holds = false
		w.planner.LoseLease()
		return
	}
	if !w.holds {
		w.node.log.Info(event.LeaseTaken, "lease of weight orders taken", zap.Uint64("fence", lease.Fence))
	}
	w.holds = true
	w.planner.SetLease(time.Now(), lease.Fence, started.Add(leaseTime))
}

// send compares what endpoints run with the configuration and orders what differs.
func (w *weightHolder) send(ctx context.Context) {
	revision := w.node.follower.Current().Revision
	if revision == w.settled && time.Since(w.lastRead) < settledPeriod {
		return
	}
	w.lastRead = time.Now()
	replicas := w.read(ctx)
	w.settled = 0
	if allSettled(replicas) {
		w.settled = revision
	}
	w.mu.Lock()
	orders := w.planner.Plan(time.Now(), replicas)
	w.mu.Unlock()
	for _, o := range orders {
		go w.order(o)
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

func (w *weightHolder) read(ctx context.Context) []rollout.Replica {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	snapshot := w.node.follower.Current()
	var mu sync.Mutex
	var replicas []rollout.Replica
	var wg sync.WaitGroup
	for _, e := range snapshot.Endpoints {
		d := snapshot.Deployments[e.Deployment]
		if d == nil || w.node.instances.leaving(e.Name) {
			continue
		}
		wg.Go(func() {
			load, err := w.node.endpoints.Load(ctx, e.Address)
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

// order sends one order; its deadline passes before the lease does, by this process's monotonic clock.
func (w *weightHolder) order(o rollout.Order) {
	e := w.node.follower.Current().Endpoints[o.Endpoint]
	if e == nil || time.Now().After(o.Deadline) {
		w.ended(o.Endpoint)
		return
	}
	w.node.log.Info(event.OrderSent, "weight order sent", zap.String("endpoint", o.Endpoint), zap.String("version", o.Version), zap.Uint64("fence", o.Fence))
	ctx, cancel := context.WithDeadline(context.Background(), o.Deadline)
	defer cancel()
	if err := w.node.endpoints.SendOrder(ctx, e.Address, engine.Order{Fence: o.Fence, Version: o.Version}); err != nil {
		w.node.log.Warn(event.OrderFailed, "weight order failed", zap.String("endpoint", o.Endpoint), zap.Error(err))
		// Whether the load goes on is read from the endpoint; until the deadline it counts as running.
		return
	}
	w.ended(o.Endpoint)
}

func (w *weightHolder) ended(endpoint string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.planner.OrderEnded(endpoint)
}
