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
	linkPeriod = 150 * time.Millisecond
	// linkIdle is how long the owner of a store goes on after another instance is ranked before it.
	linkIdle    = 10 * time.Second
	linkTimeout = 300 * time.Millisecond
	eventPages  = 20
)

// storeOwner is what this instance knows of one store that it owns.
type storeOwner struct {
	mu     sync.Mutex
	keeper *link.Manager
	life   string
	next   uint64
	read   bool
	used   time.Time
}

// links is the duty that follows the events of owned stores and grants their links.
type links struct {
	node *Node

	mu     sync.Mutex
	stores map[string]*storeOwner
}

func newLinks(n *Node) *links { return &links{node: n, stores: make(map[string]*storeOwner)} }

func (l *links) run(ctx context.Context) {
	duty.Every(ctx, linkPeriod, func(ctx context.Context) {
		snapshot := l.node.follower.Current()
		for _, s := range snapshot.Stores {
			if s.Zone == l.node.cfg.Zone && l.node.first("link/"+s.Name) {
				l.open(s).used = time.Now()
			}
		}
		l.follow(ctx, snapshot)
	})
}

func (l *links) open(s *catalog.Store) *storeOwner {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.stores[s.Name]
	if o == nil {
		o = &storeOwner{keeper: link.NewManager(link.DefaultConfig(s.LinkBytesPerSecond)), used: time.Now()}
		l.stores[s.Name] = o
	}
	return o
}

// follow reads the events of every owned store, side by side, and frees what may be freed.
func (l *links) follow(ctx context.Context, snapshot *catalog.Snapshot) {
	l.mu.Lock()
	var wg sync.WaitGroup
	for name, o := range l.stores {
		s := snapshot.Stores[name]
		if s == nil || time.Since(o.used) > linkIdle {
			delete(l.stores, name)
			continue
		}
		wg.Go(func() { l.update(ctx, s, o) })
	}
	l.mu.Unlock()
	wg.Wait()
}

func (l *links) update(ctx context.Context, s *catalog.Store, o *storeOwner) {
	for range eventPages {
		more, err := l.readEvents(ctx, s, o)
		if err != nil {
			o.mu.Lock()
			o.read = false
			o.mu.Unlock()
			return
		}
		if !more {
			break
		}
	}
	l.evict(ctx, s, o)
}

func (l *links) readEvents(ctx context.Context, s *catalog.Store, o *storeOwner) (more bool, err error) {
	o.mu.Lock()
	life, next := o.life, o.next
	o.mu.Unlock()
	events, err := l.node.stores.Events(ctx, s.Address, life, next)
	if err != nil {
		return false, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if events.Reset {
		l.node.log.Info(event.StoreReset, "store read from the start", zap.String("store", s.Name))
		o.keeper.Reset()
	}
	list := make([]link.Event, len(events.Events))
	for i, e := range events.Events {
		list[i] = link.Event{Name: e.Name, Generation: e.Generation, Digest: e.Digest, Bytes: e.Bytes, Freed: e.Freed}
	}
	o.keeper.Apply(time.Now(), list)
	o.keeper.SetSpace(events.UsedBytes, events.LimitBytes)
	o.life, o.next = events.RunID, events.Next
	o.read = len(list) == 0
	return len(list) > 0, nil
}

func (l *links) evict(ctx context.Context, s *catalog.Store, o *storeOwner) {
	o.mu.Lock()
	free := o.keeper.Evict(time.Now())
	o.mu.Unlock()
	for _, b := range free {
		if err := l.node.stores.Free(ctx, s.Address, b.Name, b.Generation); err != nil {
			return
		}
	}
	if len(free) > 0 {
		l.node.log.Info(event.BlocksFreed, "blocks freed", zap.String("store", s.Name), zap.Int("blocks", len(free)))
	}
}

// reserve grants a fetch from a store that this instance owns.
func (l *links) reserve(store string, pieces []piece.Name, within time.Duration) peer.LinkReply {
	o := l.find(store)
	if o == nil {
		return peer.LinkReply{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.read {
		return peer.LinkReply{}
	}
	blocks, wait := o.keeper.Reserve(time.Now(), pieces, within)
	if len(blocks) == 0 {
		l.node.metrics.LinkRefused.Inc()
		return peer.LinkReply{}
	}
	answer := peer.LinkReply{Wait: wait}
	for _, b := range blocks {
		answer.Blocks = append(answer.Blocks, engine.Block{Name: b.Name, Generation: b.Generation, Digest: b.Digest, Bytes: b.Bytes})
		l.node.metrics.LinkBytes.Add(float64(b.Bytes))
	}
	return answer
}

func (l *links) find(store string) *storeOwner {
	s := l.node.follower.Current().Stores[store]
	if s == nil || s.Zone != l.node.cfg.Zone {
		return nil
	}
	l.mu.Lock()
	o := l.stores[store]
	l.mu.Unlock()
	if o == nil {
		// A peer takes this instance for the owner; its events are read from the next round on.
		l.open(s)
	}
	return o
}

// export has an endpoint write a context to a store that this instance owns, while the link is idle.
func (l *links) export(ctx context.Context, e *peer.ExportRequest) {
	o := l.find(e.Store)
	snapshot := l.node.follower.Current()
	store, source := snapshot.Stores[e.Store], snapshot.Endpoints[e.Endpoint]
	if o == nil || store == nil || source == nil {
		return
	}
	o.mu.Lock()
	var names []piece.Name
	if o.read {
		names = o.keeper.ReserveExport(time.Now(), e.Pieces, int64(l.node.cfg.PieceBytes))
	}
	o.mu.Unlock()
	if len(names) == 0 {
		return
	}
	// A lost export costs a recompute later.
	_ = l.node.endpoints.Export(ctx, source.Address, engine.Export{Store: store.Address, Pieces: names})
}

// storeOf returns the store on which a context is kept; every instance picks the same one.
func (n *Node) storeOf(context piece.Name) *catalog.Store {
	snapshot := n.follower.Current()
	names := make([]string, 0, len(snapshot.Stores))
	for name := range snapshot.Stores {
		names = append(names, name)
	}
	return snapshot.Stores[rank.First(string(context), names)]
}

// fetchPlan asks for the stored prefix of a context; no blocks means recompute.
func (n *Node) fetchPlan(ctx context.Context, names []piece.Name) (*catalog.Store, peer.LinkReply) {
	if len(names) == 0 {
		return nil, peer.LinkReply{}
	}
	store := n.storeOf(names[0])
	if store == nil {
		return nil, peer.LinkReply{}
	}
	msg := peer.LinkRequest{Store: store.Name, Pieces: names, MaxTime: n.rates.RecomputeTime(len(names))}
	owner := rank.First("link/"+store.Name, n.members.current().ByZone[store.Zone])
	if owner == n.cfg.Name {
		return store, n.links.reserve(store.Name, names, msg.MaxTime)
	}
	address, ok := n.members.address(owner)
	if !ok {
		return nil, peer.LinkReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	var answer peer.LinkReply
	if err := n.network.Call(ctx, owner, address, peer.KindLink, msg, &answer); err != nil {
		return nil, peer.LinkReply{}
	}
	return store, answer
}

// exportLater has the context of an ended answer written to its store.
func (n *Node) exportLater(endpoint string, names []piece.Name) {
	if len(names) == 0 {
		return
	}
	store := n.storeOf(names[0])
	if store == nil {
		return
	}
	msg := peer.ExportRequest{Store: store.Name, Endpoint: endpoint, Pieces: names}
	ctx, cancel := context.WithTimeout(context.Background(), linkTimeout)
	defer cancel()
	owner := rank.First("link/"+store.Name, n.members.current().ByZone[store.Zone])
	if owner == n.cfg.Name {
		n.links.export(ctx, &msg)
		return
	}
	if address, ok := n.members.address(owner); ok {
		// A lost export costs a recompute later.
		_ = n.network.Send(ctx, owner, address, peer.KindExport, msg)
	}
}
