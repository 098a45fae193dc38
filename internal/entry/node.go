package entry

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/allowance"
	"gypsumvale/internal/coordination/budget"
	"gypsumvale/internal/coordination/group"
	"gypsumvale/internal/coordination/ledger"
	"gypsumvale/internal/coordination/recall"
	"gypsumvale/internal/coordination/suspect"
	"gypsumvale/internal/coordination/ticket"
	"gypsumvale/internal/event"
	"gypsumvale/internal/metric"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/transport/endpoint"
	"gypsumvale/internal/transport/intake"
	"gypsumvale/internal/transport/keyvalue"
	"gypsumvale/internal/transport/listeners"
	"gypsumvale/internal/transport/peers"
	"gypsumvale/internal/transport/roster"
	"gypsumvale/internal/transport/storage"
)

const (
	retryShare   = 0.1
	retryReserve = 50
	hedgeShare   = 0.05
	hedgeReserve = 5
)

// Node is an entry instance.
type Node struct {
	cfg         *settings.Entry
	log         *event.Log
	metrics     *metric.Set
	incarnation string

	platform  *keyvalue.Client
	roster    *roster.Client
	network   *peers.Network
	endpoints *endpoint.Client
	stores    *storage.Client
	guard     *intake.Guard

	follower    *ticket.Follower
	tickets     *ticket.Committer
	watcher     *watcher
	members     *membership
	instances   *instances
	health      *health
	owner       *group.Owner
	grants      *group.Client
	committer   *ledger.Committer
	attempts    *ledger.AttemptRegistry
	links       *links
	streams     *streams
	suspects    *suspects
	rollout     *rolloutController
	estimates   *estimates
	rates       recall.Rates
	retryBudget *allowance.AttemptBudget
	hedgeBudget *allowance.AttemptBudget

	stopping atomic.Bool
	// closed is true once no request is admitted any more, not even a claimed call.
	closed       atomic.Bool
	inFlight     atomic.Int64
	blockedPeers blockedPeers
	wg           conc.WaitGroup
}

// New assembles a node that isn't running yet.
func New(cfg *settings.Entry, log *event.Log) *Node {
	n := &Node{
		cfg:         cfg,
		log:         log,
		metrics:     metric.New(),
		incarnation: peers.NewIncarnation(cfg.Name),
		roster:      roster.New(cfg.Name, cfg.InstanceList),
		endpoints:   endpoint.New(cfg.Name),
		stores:      storage.New(cfg.Name),
		follower:    ticket.NewFollower(),
		rates:       recall.Rates{PrefillPerSecond: float64(cfg.PrefillPerSecond), TokenTime: cfg.TokenTime},
		retryBudget: allowance.New(retryShare, retryReserve),
		hedgeBudget: allowance.New(hedgeShare, hedgeReserve),
		estimates:   newEstimates(),
		streams:     newStreams(),
		suspects:    &suspects{table: suspect.NewTable(), pieces: suspect.NewPartTable()},
	}
	n.guard = newGuard(cfg, n.metrics)
	seed := xxhash.Sum64String(n.incarnation)
	limits := budget.New(budget.Config{WritesPerSecond: float64(cfg.WritesPerSecond), ReadsPerSecond: float64(cfg.ReadsPerSecond), Seed: seed})
	n.platform = keyvalue.New(cfg.Name, cfg.KeyValue, limits)
	n.network = peers.New(peers.Config{
		Name: cfg.Name, Incarnation: n.incarnation, Address: cfg.Peers, Secret: []byte(cfg.Secret), Blocked: n.blockedPeers.blocks,
		CountFrame: n.guard.CountFrame, Observer: peers.NewLogObserver(log),
	}, (*handler)(n))
	n.tickets = &ticket.Committer{Store: n.kvClient(budget.PriorityTicket), Now: time.Now}
	n.members = newMembership(n, seed)
	n.watcher = &watcher{node: n}
	n.instances = newInstances(n)
	n.health = newHealth(n)
	n.owner = group.NewOwner(n.health)
	n.grants = group.NewClient(cfg.Name, n.incarnation, cfg.Zone, (*ownerClient)(n), n.follower, n.health.usable)
	n.committer = ledger.NewCommitter(n.kvClient(budget.PriorityClaim))
	n.attempts = ledger.NewAttemptRegistry(n.incarnation, (*claimWriter)(n), (*holderClient)(n))
	n.links = newLinks(n)
	n.rollout = newRolloutController(n)
	return n
}

func (n *Node) kvClient(priority budget.Priority) keyvalue.PriorityClient {
	return keyvalue.PriorityClient{Client: n.platform, Priority: priority}
}

// Run serves until the context ends, then stops gracefully: it refuses new requests, hands its duties over to its peers, and completes
// the requests in progress within the stop timeout.
func (n *Node) Run(ctx context.Context) error {
	if _, err := n.network.Listen(); err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	servers, err := n.openListeners()
	if err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	n.log.Info(event.EntryStarted, "entry started", zap.String("incarnation", n.incarnation), zap.String("zone", n.cfg.Zone))
	dutyCtx, stopDuties := context.WithCancel(context.Background())
	defer stopDuties()
	ledgerCtx, stopLedger := context.WithCancel(context.Background())
	defer stopLedger()
	n.startDuties(dutyCtx)
	var ledgerDone conc.WaitGroup
	ledgerDone.Go(func() { n.committer.Run(ledgerCtx) })
	servers.Serve()

	<-ctx.Done()
	n.stop(servers)
	stopLedger()
	ledgerDone.Wait()
	stopDuties()
	n.wg.Wait()
	n.log.Info(event.EntryStopped, "entry stopped")
	return nil
}

// startDuties starts each background task in a goroutine of its own.
func (n *Node) startDuties(ctx context.Context) {
	for _, duty := range []func(context.Context){
		n.network.Run,
		n.members.run,
		n.watcher.run,
		n.instances.run,
		n.health.run,
		n.owner.Run,
		n.links.run,
		n.rollout.run,
		n.sweep,
	} {
		n.wg.Go(func() { duty(ctx) })
	}
}

// stop refuses new requests, announces to the peers that this instance is leaving, and waits for the requests in progress and their
// ledger writes, until the stop timeout has passed.
func (n *Node) stop(servers *listeners.Group) {
	n.log.Info(event.EntryStopping, "entry stopping", zap.Int64("in_flight", n.inFlight.Load()))
	n.stopping.Store(true)
	n.members.leave()
	deadline := time.Now().Add(n.cfg.StopTimeout)
	n.waitIdle(deadline)
	// Claimed calls were admitted until now, since only the ledger can tell whether a key has run before, and a refusal has to report
	// that correctly. A call admitted later could leave its claim unfinished.
	n.closed.Store(true)
	n.waitIdle(deadline)
	recorded := make(chan struct{})
	go func() {
		n.attempts.Wait()
		close(recorded)
	}()
	select {
	case <-recorded:
	case <-time.After(time.Until(deadline)):
		n.log.Warn(event.OutcomeUnknown, "stopped before all outcomes were written to the ledger", zap.Int("attempts", n.attempts.Size()))
	}
	servers.Close(max(time.Until(deadline), minCloseTimeout))
}

func (n *Node) waitIdle(deadline time.Time) {
	const poll = 10 * time.Millisecond
	for n.inFlight.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(poll)
	}
}

// Ready reports whether the node accepts requests: it has a configuration, knows its peers, and isn't stopping.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.watcher.hasConfig.Load() && n.members.warmedUp.Load()
}

// blockedPeers is the set of peers whose traffic is dropped, for tests of partitions.
type blockedPeers struct {
	mu    sync.Mutex
	names map[string]bool
}

func (b *blockedPeers) set(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.names = make(map[string]bool, len(names))
	for _, name := range names {
		b.names[name] = true
	}
}

func (b *blockedPeers) blocks(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.names[name]
}
