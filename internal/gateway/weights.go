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
	// weightsPeriod is how often the holder looks for what is to be ordered.
	weightsPeriod = 150 * time.Millisecond
	// loadShare is the share of all engines under orders at once: up to a sixth of 18 and a fifth of 60 load without delaying each
	// other, as the users state, and one or two more are being drained.
	loadShare = 0.22
	// orderSendTime bounds sending an order, which engines answer at once.
	orderSendTime = 400 * time.Millisecond
	// orderTime is how long an order that isn't known to have ended counts as under way.
	orderTime = 4 * time.Second
	// reportPeriod is how often an engine under orders is asked for its state.
	reportPeriod = 200 * time.Millisecond
	// drainSpan is how long an engine may read what it has been sent before its order goes out.
	drainSpan = 400 * time.Millisecond
	// drainStep is how often the rest is looked at.
	drainStep = 25 * time.Millisecond
	// reportTime bounds one such question.
	reportTime = 400 * time.Millisecond
)

// weights is the leader's duty that brings engines to the weights that operators name.
type weights struct {
	node  *Node
	woken chan struct{}

	mu      sync.Mutex
	planner *rollout.Planner
	fence   uint64
	// known holds versions read from engines' reports, which registrations lag behind.
	known map[registration.Incarnation]map[string]int
}

func newWeights(n *Node) *weights {
	return &weights{
		node:  n,
		woken: make(chan struct{}, 1),
		planner: rollout.NewPlanner(rollout.Config{
			MaxLoads: n.cfg.MaxLoads, OrderTime: orderTime, SendTime: orderSendTime, SettleTime: n.cfg.Lease,
		}),
		known: make(map[registration.Incarnation]map[string]int),
	}
}

// wake has the duty look at once.
func (w *weights) wake() {
	select {
	case w.woken <- struct{}{}:
	default:
	}
}

func (w *weights) run(ctx context.Context) {
	ticker := time.NewTicker(weightsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-w.woken:
		}
		w.step(ctx)
	}
}

// target is one engine whose weights differ from what is wanted.
type target struct {
	*registration.Registration
	model  string
	wanted int
	runs   int
}

func (w *weights) step(ctx context.Context) {
	now := clock.Now()
	if !w.node.tenure.held(now) {
		w.mu.Lock()
		w.planner.LoseLease()
		w.fence = 0
		w.mu.Unlock()
		return
	}
	// The term begins now, though nothing may be wanted yet, so that what is named later doesn't wait for orders of the leader before.
	w.hold(now)
	replicas, targets, engines := w.survey()
	if len(targets) == 0 {
		return
	}
	w.mu.Lock()
	w.planner.SetMaxLoads(max(w.node.cfg.MaxLoads, int(loadShare*float64(engines))))
	orders := w.planner.Plan(boottime(now), replicas)
	w.mu.Unlock()
	for _, o := range orders {
		t := targets[o.Endpoint]
		w.node.wg.Go(func() { w.order(ctx, t, o.Fence) })
	}
}

// hold tells the planner of the lease.
func (w *weights) hold(now clock.Instant) {
	fence, until, alone := w.node.tenure.term()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.planner.SetLease(boottime(now), fence, boottime(until))
	if alone && w.fence != fence {
		w.planner.MarkSettled(boottime(now))
	}
	w.fence = fence
}

// boottime shows an instant of the boot clock to the planner, which compares times only.
func boottime(i clock.Instant) time.Time { return time.Unix(0, int64(i)) }

// survey compares what engines run with what is wanted.
func (w *weights) survey() (replicas []rollout.Replica, targets map[string]*target, engines int) {
	table := w.node.table.Load()
	if table == nil {
		return nil, nil, 0
	}
	wanted := w.node.configuration.wantedVersions()
	targets = make(map[string]*target)
	loads := make(map[string]placement.Load)
	w.mu.Lock()
	defer w.mu.Unlock()
	for service, list := range w.node.discovery.snapshot() {
		if s := table.Services[service]; s == nil || s.Engine == nil {
			continue
		}
		engines += len(list)
		for _, r := range list {
			loads[r.ID] = w.node.placer.load(service, r.ID)
			for model, runs := range r.Versions {
				runs = max(runs, w.known[r.Incarnation()][model])
				want := wanted[model].version
				if want <= runs {
					continue
				}
				targets[r.ID] = &target{r, model, want, runs}
			}
		}
	}
	for _, t := range targets {
		replicas = append(replicas, rollout.Replica{Name: t.ID, Running: strconv.Itoa(t.runs), Wanted: strconv.Itoa(t.wanted)})
	}
	// The oldest weights first, and among equals the engine that loses least by it.
	sort.Slice(replicas, func(i, j int) bool {
		a, b := targets[replicas[i].Name], targets[replicas[j].Name]
		if a.runs != b.runs {
			return a.runs < b.runs
		}
		return loads[a.ID].PendingPrefill < loads[b.ID].PendingPrefill
	})
	return replicas, targets, engines
}

// order brings one engine to its version; the engine's state is read, not assumed, before and after.
func (w *weights) order(ctx context.Context, t *target, fence uint64) {
	defer func() {
		// An engine that can't take an order yet is left alone for a moment.
		_ = duty.Sleep(ctx, reportPeriod)
		w.mu.Lock()
		w.planner.OrderEnded(t.ID)
		w.mu.Unlock()
		w.wake()
	}()
	w.node.placer.loading(t.Service, t.ID, clock.Now().Add(orderTime))
	mode := w.drain(ctx, t)
	report, err := w.report(ctx, t)
	if err != nil || w.learn(t, &report) || report.Busy {
		w.endOrder(t, "not_needed", err)
		return
	}
	if !w.mayOrder() {
		w.endOrder(t, "lease_lapsing", nil)
		return
	}
	w.node.log.Info(event.OrderSent, "weight order sent", zap.String("endpoint", t.ID), zap.String("model", t.model), zap.Int("version", t.wanted),
		zap.Int("runs", t.runs), zap.Int("orders", report.Orders), zap.Uint64("fence", fence), zap.Uint8("mode", uint8(mode)))
	started := clock.Now()
	sending, cancel := context.WithTimeout(ctx, orderSendTime)
	receipt, err := w.node.outside.Engines.Order(sending, t.Address, &rollout.LoadOrder{
		Endpoint: t.ID, Model: t.model, Version: t.wanted, Mode: mode, Holder: w.node.cfg.Name, Fence: fence, Orders: report.Orders,
	})
	cancel()
	if err == nil && receipt == rollout.Rejected {
		w.endOrder(t, "rejected", nil)
		return
	}
	w.await(ctx, t, started)
}

// drain lets an engine that gets nothing new work off what it runs, and returns how the rest is to be treated.
//
// Runs that go on under new weights are worth less, but waiting for the longest would keep the engine from all others. Only what
// a store is to keep must be read first: it would lie there as read with the old weights.
func (w *weights) drain(ctx context.Context, t *target) rollout.Mode {
	started := clock.Now()
	for {
		load := w.node.placer.load(t.Service, t.ID)
		waited := clock.Now().Sub(started)
		switch {
		case load.PendingPrefill == 0, load.PendingSaves == 0 && waited > drainSpan:
			return rollout.KeepRunning
		case waited > 2*drainSpan || !duty.Sleep(ctx, drainStep):
			return rollout.FinishRunning
		}
	}
}

// mayOrder looks at the lease directly before an order goes out.
func (w *weights) mayOrder() bool {
	now := clock.Now()
	fence, until, _ := w.node.tenure.term()
	return w.node.tenure.held(now) && now.Add(orderSendTime).Before(until) && fence != 0
}

// await waits until an engine runs what was ordered. An order without an answer may still be carried out.
func (w *weights) await(ctx context.Context, t *target, started clock.Instant) {
	for clock.Now().Sub(started) < orderTime && duty.Sleep(ctx, reportPeriod) {
		report, err := w.report(ctx, t)
		if err == nil && w.learn(t, &report) {
			w.endOrder(t, "loaded", nil)
			return
		}
	}
	w.endOrder(t, "unknown", nil)
}

func (w *weights) report(ctx context.Context, t *target) (rollout.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	report, err := w.node.outside.Engines.Report(ctx, t.ID, t.Address)
	if err != nil {
		return report, fmt.Errorf("engine %s: %w", t.ID, err)
	}
	return report, nil
}

// learn notes the version that an engine runs, and reports whether it is the wanted one.
func (w *weights) learn(t *target, report *rollout.Report) bool {
	runs := report.Versions[t.model]
	w.mu.Lock()
	if w.known[t.Incarnation()] == nil {
		w.known[t.Incarnation()] = make(map[string]int)
	}
	w.known[t.Incarnation()][t.model] = runs
	w.mu.Unlock()
	if runs < t.wanted {
		return false
	}
	w.node.placer.loaded(t.Service, t.ID, t.model, runs)
	return true
}

func (w *weights) endOrder(t *target, result string, err error) {
	w.node.placer.loading(t.Service, t.ID, 0)
	w.node.metrics.Orders.WithLabelValues(result).Inc()
	w.node.log.Info(event.OrderEnded, "weight order ended", zap.String("endpoint", t.ID), zap.Int("version", t.wanted),
		zap.String("result", result), zap.Error(err))
}
