package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/freshness"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/metric"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/state/route"
	"gypsumvale/internal/transport/peers"
	"gypsumvale/internal/transport/upstream"
)

// Node is one entry instance on a hosted platform.
type Node struct {
	cfg         *settings.Hosted
	log         *event.Log
	metrics     *metric.Hosted
	outside     Dependencies
	incarnation string
	// duties is the context of all that runs beside requests.
	duties context.Context

	table     atomic.Pointer[route.Table]
	proof     freshness.Confirmation
	endpoints *upstream.Pool
	placer    *placer
	suspects  *suspects
	retries   *retries

	configuration *configuration
	discovery     *discovery
	members       *members
	tenure        *tenure
	follower      *follower
	weights       *weights
	survey        *survey
	relay         *relay
	suspicion     suspicion

	stopping atomic.Bool
	ready    atomic.Bool
	inFlight atomic.Int64
	wg       conc.WaitGroup
}

// New assembles a node that isn't running yet.
func New(cfg *settings.Hosted, log *event.Log, outside Dependencies) *Node {
	n := &Node{cfg: cfg, log: log, outside: outside, incarnation: peers.NewIncarnation(cfg.Name)}
	n.metrics = metric.NewHosted(func() float64 { return n.proof.Age(clock.Now()).Seconds() })
	n.endpoints = upstream.NewPool(n.metrics.Dials.Inc)
	n.placer = newPlacer(n)
	n.suspects = newSuspects()
	n.retries = newRetries(cfg.RetryShare, cfg.RetryReserve)
	n.configuration = &configuration{node: n, wanted: make(map[string]wantedVersion), items: make(map[string]kv.Item)}
	n.discovery = newDiscovery(n)
	n.members = newMembers(n)
	n.tenure = &tenure{node: n}
	n.follower = &follower{node: n}
	n.relay = newRelay(n)
	n.survey = newSurvey(n)
	n.weights = newWeights(n)
	return n
}

const (
	// readinessPeriod is how often the readiness is worked out; the balancer asks once a second.
	readinessPeriod = 250 * time.Millisecond
	// sweepPeriod is how often idle connections and lost uses are looked through.
	sweepPeriod = time.Second
	// stopMargin is kept from the grace, so that the process ends before it is ended.
	stopMargin = 400 * time.Millisecond
	// goodbyeTimeout bounds the calls that give leases back at the very end: half of stopMargin. The store answers within milliseconds;
	// without it the leases lapse.
	goodbyeTimeout = stopMargin / 2
	// drainTime is how long a stopping instance still takes new connections: until the balancer has missed it twice.
	drainTime = 2500 * time.Millisecond
)

// Run serves until the context ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	servers, err := n.openServers()
	if err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	n.log.Info(event.EntryStarted, "entry started", zap.String("zone", n.cfg.Zone), zap.String("edge", string(settings.EdgeHosted)))
	duties, stopDuties := context.WithCancel(context.Background())
	defer stopDuties()
	n.duties = duties
	for _, duty := range []func(context.Context){
		n.survey.run, n.members.renew, n.relay.run, n.placer.run, n.tenure.run, n.follower.run, n.follower.free, n.follower.report, n.weights.run,
		n.watchReadiness, n.sweep,
	} {
		n.wg.Go(func() { duty(duties) })
	}
	servers.Serve()

	<-ctx.Done()
	stopped := clock.Now()
	n.stopping.Store(true)
	n.updateReadiness()
	n.log.Info(event.EntryStopping, "entry stopping", zap.Int64("in_flight", n.inFlight.Load()))
	n.drain(stopped)
	servers.Close(stopped.Add(n.cfg.StopTimeout - stopMargin).Sub(clock.Now()))
	stopDuties()
	n.wg.Wait()
	n.log.Info(event.EntryStopped, "entry stopped", zap.Int64("cut", n.inFlight.Load()))
	return nil
}

// drain serves on until the balancer sends nothing new.
func (n *Node) drain(stopped clock.Instant) {
	const poll = 50 * time.Millisecond
	deadline := stopped.Add(min(drainTime, n.cfg.StopTimeout/2))
	for clock.Now().Before(deadline) {
		time.Sleep(poll)
	}
}

func (n *Node) watchReadiness(ctx context.Context) {
	duty.Every(ctx, readinessPeriod, func(context.Context) { n.updateReadiness() })
}

// updateReadiness decides whether the balancer may send callers: nothing sound can be served without a confirmed configuration
// and endpoints.
func (n *Node) updateReadiness() {
	now := clock.Now()
	age := n.proof.Age(now)
	ready := !n.stopping.Load() && n.table.Load() != nil && n.fresh(now) && n.discovery.known.Load()
	if n.ready.Swap(ready) == ready {
		return
	}
	if ready {
		n.log.Info(event.InstanceReady, "ready", zap.Uint64("table", n.table.Load().Version), zap.Duration("table_age", age))
		return
	}
	n.log.Warn(event.InstanceNotReady, "not ready", zap.Bool("stopping", n.stopping.Load()), zap.Bool("table", n.table.Load() != nil),
		zap.Duration("table_age", age), zap.Bool("endpoints", n.discovery.known.Load()))
}

// freshMargin is kept from the revocation bound, for the way of a request's last bytes to an endpoint.
const freshMargin = 400 * time.Millisecond

// fresh reports whether keys of the configuration held here may still be used.
func (n *Node) fresh(now clock.Instant) bool {
	return n.proof.Age(now) < n.cfg.MaxRevocationDelay-freshMargin
}

func (n *Node) sweep(ctx context.Context) {
	duty.Every(ctx, sweepPeriod, func(context.Context) {
		now := clock.Now()
		used := n.discovery.addresses()
		n.endpoints.Sweep(now, func(address string) bool { return used[address] })
		n.placer.reclaim(now)
		n.metrics.InFlight.Set(float64(n.inFlight.Load()))
	})
}
