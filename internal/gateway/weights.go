package gateway

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/notice"
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
	// orderAnswerTimeout is how long an order without an answer counts as a load, so that engines that don't answer don't keep others from
	// loading.
	orderAnswerTimeout = 100 * time.Millisecond
	// orderResendDelay is the pause from the end of an unanswered order to the next one. An engine that did accept the order shows so in
	// its report by then.
	orderResendDelay = 400 * time.Millisecond
	// loadTimeout is how long an engine may take to execute an order that it has accepted.
	loadTimeout = 4 * time.Second
	// maxOrderTime bounds the time from planning an order until its engine has executed it: draining, reading the engine's state, sending
	// the order, loading.
	maxOrderTime = 2*drainTimeout + drainPollPeriod + reportTimeout + orderSendTimeout + loadTimeout + reportPeriod + reportTimeout
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
	// reported holds versions from engines' own reports, which are newer than their registrations.
	reported map[registration.Incarnation]map[string]int
}

func newWeightRollout(n *Node) *weightRollout {
	return &weightRollout{
		node:   n,
		wakeup: make(chan struct{}, 1),
		planner: rollout.NewPlanner(rollout.Config{
			MaxLoads: n.cfg.MaxLoads, OrderTime: maxOrderTime, SendTime: orderSendTimeout, SettleTime: n.cfg.Lease,
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
		w.mu.Unlock()
		return
	}
	w.updateTerm()
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
		w.node.wg.Go(func() { w.runOrder(ctx, e, &o) })
	}
}

// updateTerm passes the leader lease to the planner.
func (w *weightRollout) updateTerm() {
	fence, since, until := w.node.leadership.term()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.planner.SetLease(fence, toTime(since), toTime(until))
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
			if w.node.notices.permit(r.Incarnation()) != nil {
				continue
			}
			loads[r.ID] = w.node.placer.endpointLoad(service, r.ID)
			for model, running := range r.Versions {
				running = max(running, w.reported[r.Incarnation()][model])
				target := targetVersions[model]
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
func (w *weightRollout) runOrder(ctx context.Context, e *outdatedEngine, o *rollout.Order) {
	mode := rollout.FinishRunning
	if !o.Resend {
		w.node.placer.setLoadingUntil(e.Service, e.ID, clock.Now().Add(maxOrderTime))
		mode = w.drain(ctx, e)
	}
	report, err := w.report(ctx, e)
	switch {
	case err != nil:
		w.failOrder(e, "unreachable", err)
		return
	case w.recordReport(e, &report):
		w.finishOrder(ctx, e, "not_needed")
		return
	case report.Busy:
		// An earlier order, possibly one without an answer, is being executed.
		w.awaitLoaded(ctx, e)
		return
	case w.node.notices.permit(e.Incarnation()) != nil:
		w.failOrder(e, "barred", nil)
		return
	case !w.canSendOrder(o):
		w.finishOrder(ctx, e, "lease_lapsing")
		return
	}
	w.node.log.Info(event.OrderSent, "weight order sent", zap.String("endpoint", e.ID), zap.String("model", e.model),
		zap.Int("version", e.targetVersion), zap.Int("runs", e.runningVersion), zap.Int("orders", report.Orders),
		zap.Uint64("fence", o.Fence), zap.Uint8("mode", uint8(mode)), zap.Bool("resend", o.Resend))
	result, err := w.sendOrder(ctx, e, &rollout.LoadOrder{
		Endpoint: e.ID, Model: e.model, Version: e.targetVersion, Mode: mode, Holder: w.node.cfg.Name, Fence: o.Fence, Orders: report.Orders,
	})
	switch {
	case err != nil:
		w.recordUnanswered(e, err)
	case result == rollout.Rejected:
		w.failOrder(e, "rejected", nil)
	default:
		w.awaitLoaded(ctx, e)
	}
}

// sendOrder sends an order. While the answer is outstanding, the order soon no longer counts as a load, so that other engines can load.
func (w *weightRollout) sendOrder(ctx context.Context, e *outdatedEngine, o *rollout.LoadOrder) (rollout.OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, orderSendTimeout)
	defer cancel()
	ended := false
	overdue := time.AfterFunc(orderAnswerTimeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !ended {
			w.planner.OrderUnanswered(e.ID, toTime(clock.Now().Add(orderSendTimeout+orderResendDelay)))
			w.wake()
		}
	})
	defer overdue.Stop()
	result, err := w.node.deps.Engines.Order(ctx, e.Address, o)
	w.mu.Lock()
	ended = true
	w.mu.Unlock()
	if err != nil {
		return 0, fmt.Errorf("order engine %s: %w", e.ID, err)
	}
	return result, nil
}

// recordUnanswered returns an engine that left an order without an answer to service until the order is sent again. The engine accepts only
// one of the orders, since each names the number of orders accepted before.
func (w *weightRollout) recordUnanswered(e *outdatedEngine, err error) {
	w.mu.Lock()
	w.planner.OrderUnanswered(e.ID, toTime(clock.Now().Add(orderResendDelay)))
	w.mu.Unlock()
	w.node.placer.setOrderPending(e.Service, e.ID)
	w.returnToService(e, "unanswered", err)
	w.wake()
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

// canSendOrder checks immediately before sending that the term in which an order was planned goes on, and that its lease outlasts the sending.
func (w *weightRollout) canSendOrder(o *rollout.Order) bool {
	now := clock.Now()
	fence, _, until := w.node.leadership.term()
	return w.node.leadership.holdsLease(now) && now.Add(orderSendTimeout).Before(until) && fence == o.Fence
}

// awaitLoaded waits until an engine that executes an order runs the target version. The engine gets no new requests meanwhile.
func (w *weightRollout) awaitLoaded(ctx context.Context, e *outdatedEngine) {
	deadline := clock.Now().Add(loadTimeout)
	w.mu.Lock()
	w.planner.LoadStarted(e.ID, toTime(deadline.Add(reportPeriod+reportTimeout)))
	w.mu.Unlock()
	w.node.placer.setLoadingUntil(e.Service, e.ID, deadline)
	for clock.Now().Before(deadline) && !w.node.notices.leaves(e.Incarnation()) && duty.Sleep(ctx, reportPeriod) {
		report, err := w.report(ctx, e)
		if err == nil && w.recordReport(e, &report) {
			w.finishOrder(ctx, e, "loaded")
			return
		}
	}
	w.finishOrder(ctx, e, "unknown")
}

func (w *weightRollout) report(ctx context.Context, e *outdatedEngine) (rollout.Report, error) {
	if w.node.notices.pause(e.Incarnation()) > 0 {
		return rollout.Report{}, fmt.Errorf("engine %s: %w", e.ID, &barredError{notice.Paused})
	}
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

// failOrder ends an order that has had no effect. Other engines are asked before this one.
func (w *weightRollout) failOrder(e *outdatedEngine, result string, err error) {
	w.mu.Lock()
	w.planner.OrderFailed(e.ID, toTime(clock.Now().Add(reportPeriod)))
	w.mu.Unlock()
	w.returnToService(e, result, err)
	w.wake()
}

// finishOrder ends an order, after a short pause in which an engine that can't take an order yet gets no other one.
func (w *weightRollout) finishOrder(ctx context.Context, e *outdatedEngine, result string) {
	w.returnToService(e, result, nil)
	_ = duty.Sleep(ctx, reportPeriod)
	w.mu.Lock()
	w.planner.OrderEnded(e.ID)
	w.mu.Unlock()
	w.wake()
}

// returnToService lets an engine get requests again and records the result of its order.
func (w *weightRollout) returnToService(e *outdatedEngine, result string, err error) {
	w.node.placer.setLoadingUntil(e.Service, e.ID, 0)
	w.node.metrics.Orders.WithLabelValues(result).Inc()
	w.node.log.Info(event.OrderEnded, "weight order ended", zap.String("endpoint", e.ID), zap.Int("version", e.targetVersion),
		zap.String("result", result), zap.Error(err))
}
