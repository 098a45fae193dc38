package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/freshness"
	"gypsumvale/internal/distribution"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/loadsync"
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
	deps        Dependencies
	incarnation string
	// bounds are those in force; the ones in cfg are those at the start.
	bounds atomic.Pointer[settings.Bounds]
	// background is the context of all tasks that run independently of requests.
	background context.Context

	table        atomic.Pointer[route.Table]
	confirmation freshness.Confirmation
	upstreams    *upstream.Pool
	links        *linkMonitor
	forwarder    *forwarder
	guard        callerGuard
	placer       *placer
	running      *loadsync.Reporter
	origins      *origins
	suspects     *suspects
	notices      *notices
	evacuations  *evacuations
	blocks       *blocks
	retryBudgets *retryBudgets

	configuration *configuration
	discovery     *discovery
	members       *members
	leadership    *leadership
	follower      *follower
	rollout       *weightRollout
	poller        *storePoller
	confirmer     *confirmer
	relay         *relay
	catchUp       *catchUp
	distribution  *distribution.Report
	leaderBackoff leaderBackoff
	dispatchDelay *dispatchDelay
	handOver      *handOver
	intake        intakeReport
	memoryUse     memoryUse

	stopping atomic.Bool
	ready    atomic.Bool
	inFlight atomic.Int64
	// lastReport is the number of the last report or retraction of a crash that was sent to peers.
	lastReport atomic.Uint64
	wg         conc.WaitGroup
}

// New assembles a node without starting it.
func New(cfg *settings.Hosted, log *event.Log, deps Dependencies) *Node {
	n := &Node{cfg: cfg, log: log, deps: deps, incarnation: peers.NewIncarnation(cfg.Name)}
	bounds := cfg.Bounds
	n.bounds.Store(&bounds)
	n.metrics = metric.NewHosted(func() float64 { return n.confirmation.Age(clock.Now()).Seconds() })
	n.metrics.SetSettings(cfg.Name, cfg.Digest, bounds.Digest())
	n.links = newLinkMonitor(n)
	n.upstreams = upstream.NewPool(func(address string, err error) {
		if err == nil {
			n.metrics.Dials.Inc()
		}
		n.links.recordDial(address, err)
	})
	if deps.DialEndpoint != nil {
		n.upstreams.Dial = deps.DialEndpoint
	}
	n.forwarder = newForwarder(n)
	n.guard = newGuard(cfg, n.countIntake)
	n.placer = newPlacer(n)
	n.origins = newOrigins(n)
	n.running = loadsync.New(cfg.Name, n.incarnation, log, n, n.placer, n.origins)
	n.suspects = newSuspects(cfg.Zone)
	n.notices = newNotices(n)
	n.evacuations = newEvacuations(n)
	deps.Engines.Observe(n.notices.recordCall)
	deps.Caches.Observe(n.notices.recordCall)
	n.blocks = newBlocks(n)
	n.retryBudgets = newRetryBudgets(cfg.RetryShare, cfg.RetryReserve)
	n.configuration = &configuration{
		node: n, targets: make(map[string]int), items: make(map[string]kv.Item), texts: distribution.NewConfigurations(deps.Schema),
	}
	n.discovery = newDiscovery(n)
	n.members = newMembers(n)
	n.leadership = &leadership{node: n}
	n.follower = &follower{node: n}
	n.relay = newRelay(n)
	n.catchUp = newCatchUp(n)
	n.distribution = distribution.NewReport(log, n.members.bytesSent)
	n.poller = newStorePoller(n)
	n.confirmer = &confirmer{node: n}
	n.rollout = newWeightRollout(n)
	n.dispatchDelay = newDispatchDelay(n)
	n.handOver = &handOver{node: n}
	return n
}

const (
	// readinessPeriod is the interval between readiness updates; the balancer probes once a second.
	readinessPeriod = 250 * time.Millisecond
	// sweepPeriod is the interval between sweeps for idle connections and lost assignments.
	sweepPeriod = time.Second
	// stopMargin is reserved from the grace period so that the process exits before the platform kills it.
	stopMargin = 400 * time.Millisecond
	// leaseReleaseTimeout bounds the calls that release leases at exit: half of stopMargin. The store answers within milliseconds; if it
	// doesn't, the leases expire on their own.
	leaseReleaseTimeout = stopMargin / 2
	// drainTime is how long a stopping instance still accepts new connections: until the balancer has seen two failed readiness probes.
	drainTime = 2500 * time.Millisecond
)

// Run serves until the context ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	servers, err := n.openServers()
	if err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	n.log.Info(event.EntryStarted, "entry started", zap.String("zone", n.cfg.Zone), zap.String("edge", string(settings.EdgeHosted)),
		zap.String("settings", n.cfg.Digest), zap.String("bounds", n.cfg.Bounds.Digest()))
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	n.background = background
	for _, task := range []func(context.Context){
		n.poller.run, n.confirmer.run, n.members.renew, n.relay.run, n.catchUp.run, n.placer.run, n.leadership.run, n.follower.run, n.follower.freeStores,
		n.follower.logUsage, n.rollout.run, n.blocks.run, n.watchReadiness, n.sweep, n.links.run,
		n.dispatchDelay.run, n.handOver.run, n.distribution.Run, n.origins.run, n.origins.register, n.origins.writeJournal,
	} {
		n.wg.Go(func() { task(background) })
	}
	servers.Serve()

	<-ctx.Done()
	stopRequested := clock.Now()
	n.stopping.Store(true)
	n.updateReadiness()
	n.log.Info(event.EntryStopping, "entry stopping", zap.Int64("in_flight", n.inFlight.Load()))
	n.drain(stopRequested)
	servers.Close(stopRequested.Add(n.bounds.Load().StopTimeout - stopMargin).Sub(clock.Now()))
	stopBackground()
	n.wg.Wait()
	n.log.Info(event.EntryStopped, "entry stopped", zap.Int64("cut", n.inFlight.Load()))
	return nil
}

// drain keeps serving until the balancer no longer sends new requests.
func (n *Node) drain(stopRequested clock.Instant) {
	const pollInterval = 50 * time.Millisecond
	deadline := stopRequested.Add(min(drainTime, n.bounds.Load().StopTimeout/2))
	for clock.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
}

func (n *Node) watchReadiness(ctx context.Context) {
	duty.Every(ctx, readinessPeriod, func(context.Context) {
		n.updateReadiness()
		n.placer.logStall(clock.Now())
	})
}

// updateReadiness decides whether the balancer may send requests here: none can be served correctly without a confirmed configuration and
// the list of endpoints.
func (n *Node) updateReadiness() {
	now := clock.Now()
	age := n.confirmation.Age(now)
	ready := !n.stopping.Load() && n.table.Load() != nil && n.configurationFresh(now) && n.discovery.loaded.Load()
	if n.ready.Swap(ready) == ready {
		return
	}
	if ready {
		n.log.Info(event.InstanceReady, "ready", zap.Uint64("table", n.table.Load().Version), zap.Duration("table_age", age))
		return
	}
	n.log.Warn(event.InstanceNotReady, "not ready", zap.Bool("stopping", n.stopping.Load()), zap.Bool("table", n.table.Load() != nil),
		zap.Duration("table_age", age), zap.Bool("endpoints", n.discovery.loaded.Load()))
}

// revocationMargin is subtracted from the revocation bound to cover the time until a request's last bytes reach an endpoint.
const revocationMargin = 400 * time.Millisecond

// configurationFresh reports whether the configuration held here was confirmed recently enough to accept its keys.
func (n *Node) configurationFresh(now clock.Instant) bool {
	return n.confirmation.Age(now) < n.bounds.Load().MaxRevocationDelay-revocationMargin
}

// configurationComplete reports whether the configuration held here has everything that must be in force by now. If it hasn't, a newer one may
// have the route or the key that it lacks.
func (n *Node) configurationComplete(now clock.Instant) bool {
	return n.confirmation.Age(now) < n.bounds.Load().MaxApplyDelay && n.configurationFresh(now)
}

// configurationBehind reports whether this entry is adopting a newer configuration, later than that had to be in force.
func (n *Node) configurationBehind(now clock.Instant) bool {
	return freshness.NewBudget(n.bounds.Load().MaxApplyDelay).Behind(now, n.confirmation.SentAt(), n.relay.following(now))
}

func (n *Node) sweep(ctx context.Context) {
	duty.Every(ctx, sweepPeriod, func(context.Context) {
		now := clock.Now()
		inUse := n.discovery.addresses()
		n.upstreams.Sweep(now, func(address string) bool { return inUse[address] })
		n.forwarder.sweep(now)
		n.placer.removeExpired(now)
		n.notices.sweep(now)
		n.evacuations.sweep(now)
		n.metrics.InFlight.Set(float64(n.inFlight.Load()))
		n.reportIntake(now)
		n.memoryUse.report(n, now)
	})
}
