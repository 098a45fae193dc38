package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/link"
	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/engine"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/catalog"
	"gypsumvale/internal/state/piece"
)

const (
	storePollPeriod = 150 * time.Millisecond
	// ownershipGracePeriod is how long an instance keeps serving a store after another instance is ranked before it.
	ownershipGracePeriod = 10 * time.Second
	linkTimeout          = 300 * time.Millisecond
	maxEventPages        = 20
)

// ownedStore is the state of one store that this instance owns.
type ownedStore struct {
	mu      sync.Mutex
	manager *link.Manager
	// runID identifies the run of the store's process whose events have been read, and nextEvent is the next event to read.
	runID     string
	nextEvent uint64
	// caughtUp is true if the last poll read the store's events to the end.
	caughtUp bool
	// lastRankedFirst is when this instance was last ranked first for the store, or when a peer first regarded it as the owner.
	lastRankedFirst time.Time
}

// links reads the events of the stores that this instance owns, and schedules the transfers on their links.
type links struct {
	node *Node

	mu     sync.Mutex
	stores map[string]*ownedStore
}

func newLinks(n *Node) *links { return &links{node: n, stores: make(map[string]*ownedStore)} }

func (l *links) run(ctx context.Context) {
	duty.Every(ctx, storePollPeriod, func(ctx context.Context) {
		snapshot := l.node.follower.Current()
		for _, s := range snapshot.Stores {
			if s.Zone == l.node.cfg.Zone && l.node.ranksFirst("link/"+s.Name) {
				l.ensure(s).lastRankedFirst = time.Now()
			}
		}
		l.pollStores(ctx, snapshot)
	})
}

func (l *links) ensure(s *catalog.Store) *ownedStore {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.stores[s.Name]
	if o == nil {
		o = &ownedStore{manager: link.NewManager(link.DefaultConfig(s.LinkBytesPerSecond)), lastRankedFirst: time.Now()}
		l.stores[s.Name] = o
	}
	return o
}

// pollStores reads the events of all owned stores in parallel, and evicts blocks from those that are nearly full. It drops stores that
// are no longer configured or whose ownership has ended.
func (l *links) pollStores(ctx context.Context, snapshot *catalog.Snapshot) {
	l.mu.Lock()
	var wg sync.WaitGroup
	for name, o := range l.stores {
		s := snapshot.Stores[name]
		if s == nil || time.Since(o.lastRankedFirst) > ownershipGracePeriod {
			delete(l.stores, name)
			continue
		}
		wg.Go(func() { l.pollStore(ctx, s, o) })
	}
	l.mu.Unlock()
	wg.Wait()
}

func (l *links) pollStore(ctx context.Context, s *catalog.Store, o *ownedStore) {
	for range maxEventPages {
		more, err := l.readEvents(ctx, s, o)
		if err != nil {
			o.mu.Lock()
			o.caughtUp = false
			o.mu.Unlock()
			return
		}
		if !more {
			break
		}
	}
	l.evict(ctx, s, o)
}

func (l *links) readEvents(ctx context.Context, s *catalog.Store, o *ownedStore) (more bool, err error) {
	o.mu.Lock()
	runID, next := o.runID, o.nextEvent
	o.mu.Unlock()
	events, err := l.node.stores.Events(ctx, s.Address, runID, next)
	if err != nil {
		return false, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if events.Reset {
		l.node.log.Info(event.StoreReset, "store events read from the start", zap.String("store", s.Name))
		o.manager.Reset()
	}
	list := make([]link.Event, len(events.Events))
	for i, e := range events.Events {
		list[i] = link.Event{Name: e.Name, Generation: e.Generation, Digest: e.Digest, Bytes: e.Bytes, Freed: e.Freed}
	}
	o.manager.Apply(time.Now(), list)
	o.manager.SetSpace(events.UsedBytes, events.LimitBytes)
	o.runID, o.nextEvent = events.RunID, events.Next
	o.caughtUp = len(list) == 0
	return len(list) > 0, nil
}

func (l *links) evict(ctx context.Context, s *catalog.Store, o *ownedStore) {
	o.mu.Lock()
	evicted := o.manager.Evict(time.Now())
	o.mu.Unlock()
	for _, b := range evicted {
		if err := l.node.stores.Free(ctx, s.Address, b.Name, b.Generation); err != nil {
			return
		}
	}
	if len(evicted) > 0 {
		l.node.log.Info(event.BlocksFreed, "blocks freed", zap.String("store", s.Name), zap.Int("blocks", len(evicted)))
	}
}

// reserve schedules a fetch of a context's stored prefix from a store that this instance owns. It returns no blocks if recomputing is
// as fast, given the recompute time of the whole context, or if the store's events haven't been read to the end.
func (l *links) reserve(store string, pieces []piece.Name, recomputeTime time.Duration) peer.LinkReply {
	o := l.lookup(store)
	if o == nil {
		return peer.LinkReply{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.caughtUp {
		return peer.LinkReply{}
	}
	blocks, wait := o.manager.Reserve(time.Now(), pieces, recomputeTime)
	if len(blocks) == 0 {
		l.node.metrics.LinkRefused.Inc()
		return peer.LinkReply{}
	}
	reply := peer.LinkReply{Wait: wait}
	for _, b := range blocks {
		reply.Blocks = append(reply.Blocks, engine.Block{Name: b.Name, Generation: b.Generation, Digest: b.Digest, Bytes: b.Bytes})
		l.node.metrics.LinkBytes.Add(float64(b.Bytes))
	}
	return reply
}

func (l *links) lookup(store string) *ownedStore {
	s := l.node.follower.Current().Stores[store]
	if s == nil || s.Zone != l.node.cfg.Zone {
		return nil
	}
	l.mu.Lock()
	o := l.stores[store]
	l.mu.Unlock()
	if o == nil {
		// A peer regards this instance as the owner already. The store's events are read from the next poll on.
		l.ensure(s)
	}
	return o
}

// export orders an endpoint to write a context to a store that this instance owns, if the link is nearly idle and the store has space.
func (l *links) export(ctx context.Context, e *peer.ExportRequest) {
	o := l.lookup(e.Store)
	snapshot := l.node.follower.Current()
	store, source := snapshot.Stores[e.Store], snapshot.Endpoints[e.Endpoint]
	if o == nil || store == nil || source == nil {
		return
	}
	o.mu.Lock()
	var pieces []piece.Name
	if o.caughtUp {
		pieces = o.manager.ReserveExport(time.Now(), e.Pieces, int64(l.node.cfg.PieceBytes))
	}
	o.mu.Unlock()
	if len(pieces) == 0 {
		return
	}
	// If the order is lost, the context is recomputed when it is next needed.
	_ = l.node.endpoints.Export(ctx, source.Address, engine.Export{Store: store.Address, Pieces: pieces})
}

// storeFor returns the store assigned to a context; every instance picks the same one.
func (n *Node) storeFor(context piece.Name) *catalog.Store {
	snapshot := n.follower.Current()
	names := make([]string, 0, len(snapshot.Stores))
	for name := range snapshot.Stores {
		names = append(names, name)
	}
	return snapshot.Stores[rank.First(string(context), names)]
}

// reserveFetch requests a fetch of a context's stored prefix from the store's owner, which schedules it. If it returns no blocks, the
// context is recomputed.
func (n *Node) reserveFetch(ctx context.Context, pieces []piece.Name) (*catalog.Store, peer.LinkReply) {
	if len(pieces) == 0 {
		return nil, peer.LinkReply{}
	}
	store := n.storeFor(pieces[0])
	if store == nil {
		return nil, peer.LinkReply{}
	}
	msg := peer.LinkRequest{Store: store.Name, Pieces: pieces, MaxTime: n.rates.RecomputeTime(len(pieces))}
	owner := rank.First("link/"+store.Name, n.members.current().ByZone[store.Zone])
	if owner == n.cfg.Name {
		return store, n.links.reserve(store.Name, pieces, msg.MaxTime)
	}
	address, ok := n.members.address(owner)
	if !ok {
		return nil, peer.LinkReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	var reply peer.LinkReply
	if err := n.network.Call(ctx, owner, address, peer.KindLink, msg, &reply); err != nil {
		return nil, peer.LinkReply{}
	}
	return store, reply
}

// exportContext requests from the store's owner that the context of a finished answer is written to the store.
func (n *Node) exportContext(endpoint string, pieces []piece.Name) {
	if len(pieces) == 0 {
		return
	}
	store := n.storeFor(pieces[0])
	if store == nil {
		return
	}
	msg := peer.ExportRequest{Store: store.Name, Endpoint: endpoint, Pieces: pieces}
	ctx, cancel := context.WithTimeout(context.Background(), linkTimeout)
	defer cancel()
	owner := rank.First("link/"+store.Name, n.members.current().ByZone[store.Zone])
	if owner == n.cfg.Name {
		n.links.export(ctx, &msg)
		return
	}
	if address, ok := n.members.address(owner); ok {
		// If the message is lost, the context is recomputed when it is next needed.
		_ = n.network.Send(ctx, owner, address, peer.KindExport, msg)
	}
}
