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

// Node is one entry instance.
type Node struct {
	cfg         *settings.Entry
	log         *event.Log
	metrics     *metric.Set
	incarnation string

	platform  *keyvalue.Client
	list      *roster.Client
	network   *peers.Network
	endpoints *endpoint.Client
	stores    *storage.Client

	follower  *ticket.Follower
	office    *ticket.Committer
	watcher   *watcher
	members   *membership
	instances *instances
	health    *health
	owner     *group.Owner
	seeker    *group.Client
	committer *ledger.Committer
	book      *ledger.AttemptRegistry
	links     *links
	streams   *streams
	suspects  *suspects
	rollout   *weightHolder
	estimates *estimates
	rates     recall.Rates
	retries   *allowance.AttemptBudget
	hedges    *allowance.AttemptBudget

	stopping atomic.Bool
	// closed says that nothing is let in any more.
	closed   atomic.Bool
	inFlight atomic.Int64
	cut      cut
	wg       conc.WaitGroup
}

// New assembles a node that isn't running yet.
func New(cfg *settings.Entry, log *event.Log) *Node {
	n := &Node{
		cfg:         cfg,
		log:         log,
		metrics:     metric.New(),
		incarnation: peers.NewIncarnation(cfg.Name),
		list:        roster.New(cfg.Name, cfg.InstanceList),
		endpoints:   endpoint.New(cfg.Name),
		stores:      storage.New(cfg.Name),
		follower:    ticket.NewFollower(),
		rates:       recall.Rates{PrefillPerSecond: float64(cfg.PrefillPerSecond), TokenTime: cfg.TokenTime},
		retries:     allowance.New(retryShare, retryReserve),
		hedges:      allowance.New(hedgeShare, hedgeReserve),
		estimates:   newEstimates(),
		streams:     newStreams(),
		suspects:    &suspects{table: suspect.NewTable()},
	}
	seed := xxhash.Sum64String(n.incarnation)
	limits := budget.New(budget.Config{WritesPerSecond: float64(cfg.WritesPerSecond), ReadsPerSecond: float64(cfg.ReadsPerSecond), Seed: seed})
	n.platform = keyvalue.New(cfg.Name, cfg.KeyValue, limits)
	n.network = peers.New(peers.Config{
		Name: cfg.Name, Incarnation: n.incarnation, Address: cfg.Peers, Secret: []byte(cfg.Secret), Blocked: n.cut.blocks,
	}, (*handler)(n))
	n.office = &ticket.Committer{Store: n.ranked(budget.PriorityTicket), Now: time.Now}
	n.members = newMembership(n, seed)
	n.watcher = &watcher{node: n}
	n.instances = newInstances(n)
	n.health = newHealth(n)
	n.owner = group.NewOwner(n.health)
	n.seeker = group.NewClient(cfg.Name, n.incarnation, cfg.Zone, (*owners)(n), n.follower, n.health.usable)
	n.committer = ledger.NewCommitter(n.ranked(budget.PriorityClaim))
	n.book = ledger.NewAttemptRegistry(n.incarnation, (*claimWriter)(n), (*holders)(n))
	n.links = newLinks(n)
	n.rollout = newWeightHolder(n)
	return n
}

func (n *Node) ranked(r budget.Priority) keyvalue.PriorityClient {
	return keyvalue.PriorityClient{Client: n.platform, Priority: r}
}

// Run serves until the context ends, then stops gracefully: what runs is finished or handed over, and what comes is refused.
func (n *Node) Run(ctx context.Context) error {
	if _, err := n.network.Listen(); err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	servers, err := n.openListeners()
	if err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	n.log.Info(event.EntryStarted, "entry started", zap.String("incarnation", n.incarnation), zap.String("zone", n.cfg.Zone))
	duties, stopDuties := context.WithCancel(context.Background())
	defer stopDuties()
	ledgerCtx, stopLedger := context.WithCancel(context.Background())
	defer stopLedger()
	n.start(duties)
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

// start runs each duty in a goroutine of its own.
func (n *Node) start(ctx context.Context) {
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

// stop refuses new work, waits for what runs, and leaves.
func (n *Node) stop(servers *listeners.Group) {
	n.log.Info(event.EntryStopping, "entry stopping", zap.Int64("in_flight", n.inFlight.Load()))
	n.stopping.Store(true)
	n.members.leave()
	deadline := time.Now().Add(n.cfg.StopTimeout)
	n.waitIdle(deadline)
	// Claimed calls were let in until now, so that their refusals are true. One let in later could leave a claim behind.
	n.closed.Store(true)
	n.waitIdle(deadline)
	settled := make(chan struct{})
	go func() {
		n.book.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-time.After(time.Until(deadline)):
		n.log.Warn(event.OutcomeUnknown, "stopped with outcomes not on their pages", zap.Int("attempts", n.book.Size()))
	}
	servers.Close(max(time.Until(deadline), leastClose))
}

func (n *Node) waitIdle(deadline time.Time) {
	const poll = 10 * time.Millisecond
	for n.inFlight.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(poll)
	}
}

// Ready reports whether the node may be sent requests.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.watcher.known.Load() && n.members.warm.Load()
}

// cut is the set of peers whose traffic is dropped, for tests of partitions.
type cut struct {
	mu    sync.Mutex
	names map[string]bool
}

func (c *cut) set(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.names = make(map[string]bool, len(names))
	for _, name := range names {
		c.names[name] = true
	}
}

func (c *cut) blocks(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.names[name]
}
