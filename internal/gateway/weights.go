package gateway

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/coordination/rollout"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

const (
	// rolloutPeriod is the interval at which the leader compares the versions that engines run with the target versions.
	rolloutPeriod = 150 * time.Millisecond
	// maxLoadShare is the largest share of all engines that may be under orders at once. Up to a sixth of 18 engines and a fifth of 60
	// load without delaying each other, as the users state, and one or two more are being drained.
	maxLoadShare = 0.22
	// orderSendTimeout bounds the sending of an order, which engines acknowledge at once.
	orderSendTimeout = 400 * time.Millisecond
	// orderTimeout is how long an order without a known end counts as in progress.
	orderTimeout = 4 * time.Second
	// reportPeriod is the interval at which an engine under orders is queried for its state.
	reportPeriod = 200 * time.Millisecond
	// drainTimeout is how long an engine may prefill the prompts that it has received before its order is sent.
	drainTimeout = 400 * time.Millisecond
	// drainPollPeriod is the interval at which the remaining work of a draining engine is checked.
	drainPollPeriod = 25 * time.Millisecond
	// reportTimeout bounds one query for an engine's state.
	reportTimeout = 400 * time.Millisecond
)

// weightRollout is the leader's task that brings engines to the target weight versions.
type weightRollout struct {
	node   *Node
	wakeup chan struct{}

	mu      sync.Mutex
	planner *rollout.Planner
	fence   uint64
	// reported holds versions from engines' own reports, which are newer than their registrations.
	reported map[registration.Incarnation]map[string]int
}

func newWeightRollout(n *Node) *weightRollout {
	return &weightRollout{
		node:   n,
		wakeup: make(chan struct{}, 1),
		planner: rollout.NewPlanner(rollout.Config{
			MaxLoads: n.cfg.MaxLoads, OrderTime: orderTimeout, SendTime: orderSendTimeout, SettleTime: n.cfg.Lease,
		}),
		reported: make(map[registration.Incarnation]map[string]int),
	}
}

// setSettleTime sets how long a new leader waits before its first order.
func (w *weightRollout) setSettleTime(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.planner.SetSettleTime(d)
}

// wake triggers the next comparison at once.
func (w *weightRollout) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

func (w *weightRollout) run(ctx context.Context) {
	ticker := time.NewTicker(rolloutPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-w.wakeup:
		}
		w.step(ctx)
	}
}

// outdatedEngine is an engine that runs an older weight version than its target version.
type outdatedEngine struct {
	*registration.Registration
	model          string
	targetVersion  int
	runningVersion int
}

func (w *weightRollout) step(ctx context.Context) {
	now := clock.Now()
	if !w.node.leadership.holdsLease(now) {
		w.mu.Lock()
		w.planner.LoseLease()
		w.fence = 0
		w.mu.Unlock()
		return
	}
	// The term begins now, even if no engine is outdated yet, so that a target version set later need not wait for the previous leader's
	// orders to end.
	w.updateTerm(now)
	replicas, outdated, engines := w.compareVersions()
	if len(outdated) == 0 {
		return
	}
	w.mu.Lock()
	w.planner.SetMaxLoads(max(w.node.bounds.Load().MaxLoads, int(maxLoadShare*float64(engines))))
	orders := w.planner.Plan(toTime(now), replicas)
	w.mu.Unlock()
	for _, o := range orders {
		e := outdated[o.Endpoint]
		w.node.wg.Go(func() { w.runOrder(ctx, e, o.Fence) })
	}
}

// updateTerm passes the leader lease to the planner.
func (w *weightRollout) updateTerm(now clock.Instant) {
	fence, until, uncontested := w.node.leadership.term()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.planner.SetLease(toTime(now), fence, toTime(until))
	if uncontested && w.fence != fence {
		w.planner.MarkSettled(toTime(now))
	}
	w.fence = fence
}

// toTime converts an instant of the boot clock for the planner, which only compares times.
func toTime(i clock.Instant) time.Time { return time.Unix(0, int64(i)) }

// compareVersions compares the versions that engines run with their target versions, and returns the outdated engines and the number of
// all engines.
func (w *weightRollout) compareVersions() (replicas []rollout.Replica, outdated map[string]*outdatedEngine, engines int) {
	table := w.node.table.Load()
	if table == nil {
		return nil, nil, 0
	}
	targetVersions := w.node.configuration.targetVersions()
	outdated = make(map[string]*outdatedEngine)
	loads := make(map[string]placement.Load)
	w.mu.Lock()
	defer w.mu.Unlock()
	for service, list := range w.node.discovery.snapshot() {
		if s := table.Services[service]; s == nil || s.Engine == nil {
			continue
		}
		engines += len(list)
		for _, r := range list {
			loads[r.ID] = w.node.placer.endpointLoad(service, r.ID)
			for model, running := range r.Versions {
				running = max(running, w.reported[r.Incarnation()][model])
				target := targetVersions[model].version
				if target <= running {
					continue
				}
				outdated[r.ID] = &outdatedEngine{r, model, target, running}
			}
		}
	}
	for _, e := range outdated {
		replicas = append(replicas, rollout.Replica{Name: e.ID, Running: strconv.Itoa(e.runningVersion), Wanted: strconv.Itoa(e.targetVersion)})
	}
	// The oldest weights come first and, among equals, the engine with the fewest prompt tokens left to prefill.
	sort.Slice(replicas, func(i, j int) bool {
		a, b := outdated[replicas[i].Name], outdated[replicas[j].Name]
		if a.runningVersion != b.runningVersion {
			return a.runningVersion < b.runningVersion
		}
		return loads[a.ID].PendingPrefill < loads[b.ID].PendingPrefill
	})
	return replicas, outdated, engines
}

// runOrder brings one engine to its target version. It reads the engine's state before and after the order instead of assuming it.
func (w *weightRollout) runOrder(ctx context.Context, e *outdatedEngine, fence uint64) {
	defer func() {
		// An engine that can't take an order yet gets a short pause before the next one.
		_ = duty.Sleep(ctx, reportPeriod)
		w.mu.Lock()
		w.planner.OrderEnded(e.ID)
		w.mu.Unlock()
		w.wake()
	}()
	w.node.placer.setLoadingUntil(e.Service, e.ID, clock.Now().Add(orderTimeout))
	mode := w.drain(ctx, e)
	report, err := w.report(ctx, e)
	if err != nil || w.recordReport(e, &report) || report.Busy {
		w.finishOrder(e, "not_needed", err)
		return
	}
	if !w.canSendOrder() {
		w.finishOrder(e, "lease_lapsing", nil)
		return
	}
	w.node.log.Info(event.OrderSent, "weight order sent", zap.String("endpoint", e.ID), zap.String("model", e.model),
		zap.Int("version", e.targetVersion), zap.Int("runs", e.runningVersion), zap.Int("orders", report.Orders),
		zap.Uint64("fence", fence), zap.Uint8("mode", uint8(mode)))
	started := clock.Now()
	sendCtx, cancel := context.WithTimeout(ctx, orderSendTimeout)
	result, err := w.node.deps.Engines.Order(sendCtx, e.Address, &rollout.LoadOrder{
		Endpoint: e.ID, Model: e.model, Version: e.targetVersion, Mode: mode, Holder: w.node.cfg.Name, Fence: fence, Orders: report.Orders,
	})
	cancel()
	if err == nil && result == rollout.Rejected {
		w.finishOrder(e, "rejected", nil)
		return
	}
	w.awaitLoaded(ctx, e, started)
}

// drain waits while an engine that gets no new requests finishes its prefills, and returns how its remaining requests are to be treated.
//
// Requests that continue under new weights are worth less, but waiting for the longest would make the engine unavailable to all others.
// Only prompts whose cache entries go to a store must be prefilled first: otherwise the entries would be stored as computed with the old
// weights.
func (w *weightRollout) drain(ctx context.Context, e *outdatedEngine) rollout.Mode {
	started := clock.Now()
	for {
		load := w.node.placer.endpointLoad(e.Service, e.ID)
		waited := clock.Now().Sub(started)
		switch {
		case load.PendingPrefill == 0, load.PendingSaves == 0 && waited > drainTimeout:
			return rollout.KeepRunning
		case waited > 2*drainTimeout || !duty.Sleep(ctx, drainPollPeriod):
			return rollout.FinishRunning
		}
	}
}

// canSendOrder checks immediately before sending that the lease outlasts the sending.
func (w *weightRollout) canSendOrder() bool {
	now := clock.Now()
	fence, until, _ := w.node.leadership.term()
	return w.node.leadership.holdsLease(now) && now.Add(orderSendTimeout).Before(until) && fence != 0
}

// awaitLoaded waits until an engine runs the ordered version. An order without an answer may still be carried out.
func (w *weightRollout) awaitLoaded(ctx context.Context, e *outdatedEngine, started clock.Instant) {
	for clock.Now().Sub(started) < orderTimeout && duty.Sleep(ctx, reportPeriod) {
		report, err := w.report(ctx, e)
		if err == nil && w.recordReport(e, &report) {
			w.finishOrder(e, "loaded", nil)
			return
		}
	}
	w.finishOrder(e, "unknown", nil)
}

func (w *weightRollout) report(ctx context.Context, e *outdatedEngine) (rollout.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := w.node.deps.Engines.Report(ctx, e.ID, e.Address)
	if err != nil {
		return report, fmt.Errorf("engine %s: %w", e.ID, err)
	}
	return report, nil
}

// recordReport records the version that an engine runs, and reports whether it is the target version or a newer one.
func (w *weightRollout) recordReport(e *outdatedEngine, report *rollout.Report) bool {
	running := report.Versions[e.model]
	w.mu.Lock()
	if w.reported[e.Incarnation()] == nil {
		w.reported[e.Incarnation()] = make(map[string]int)
	}
	w.reported[e.Incarnation()][e.model] = running
	w.mu.Unlock()
	if running < e.targetVersion {
		return false
	}
	w.node.placer.setLoaded(e.Service, e.ID, e.model, running)
	return true
}

func (w *weightRollout) finishOrder(e *outdatedEngine, result string, err error) {
	w.node.placer.setLoadingUntil(e.Service, e.ID, 0)
	w.node.metrics.Orders.WithLabelValues(result).Inc()
	w.node.log.Info(event.OrderEnded, "weight order ended", zap.String("endpoint", e.ID), zap.Int("version", e.targetVersion),
		zap.String("result", result), zap.Error(err))
}
