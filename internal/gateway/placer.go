package gateway

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
	"gypsumvale/internal/state/route"
)

// placer guards the pools of all services.
type placer struct {
	node *Node
	last atomic.Uint64

	mu     sync.Mutex
	reach  *placement.Reachability
	pools  map[string]*placement.Pool
	wanted map[string][]placement.TargetVersion
	// waits holds where the grants of waiting asks go.
	waits map[placement.AssignmentID]chan placement.Grant
	// keeper is the service whose pool decides what the stores keep.
	keeper string
}

func newPlacer(n *Node) *placer {
	return &placer{node: n, reach: placement.NewReachability(), pools: make(map[string]*placement.Pool), wanted: make(map[string][]placement.TargetVersion), waits: make(map[placement.AssignmentID]chan placement.Grant)}
}

// oldWeightsMargin is kept from the bound, for requests that wait at an engine before they begin.
const oldWeightsMargin = 1500 * time.Millisecond

// pool returns a service's pool; the caller holds the lock.
func (p *placer) pool(service string) *placement.Pool {
	pool := p.pools[service]
	if pool == nil {
		pool = placement.NewPool(placement.Config{PrefillRate: float64(p.node.cfg.PrefillRate), OldWeightsGrace: p.node.cfg.OldWeightsGrace - oldWeightsMargin, Reachability: p.reach})
		for model, list := range p.wanted {
			for _, w := range list {
				pool.SetTargetVersion(model, w)
			}
		}
		p.pools[service] = pool
	}
	return pool
}

// number returns a number for a use that this process has not used before.
func (p *placer) number() uint64 { return p.last.Add(1) }

// bitsPerByte converts link rates.
const bitsPerByte = 8

func (p *placer) setServices(t *route.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, s := range t.Services {
		if s.Engine == nil {
			continue
		}
		e := &placement.Engine{Slots: s.Engine.Slots, CacheTokens: s.Engine.CacheTokens}
		if s.Engine.LinkBitsPerSecond > 0 {
			e.TokenSeconds = float64(s.Engine.TokenBytes) * bitsPerByte / s.Engine.LinkBitsPerSecond
		}
		p.pool(name).SetEngine(e)
	}
	p.setDepots(t)
}

// setDepots gives the stores to the engines' first service by name; a store kept by two would be overbooked.
func (p *placer) setDepots(t *route.Table) {
	first := ""
	for name, s := range t.Services {
		if s.Engine != nil && (first == "" || name < first) {
			first = name
		}
	}
	p.keeper = first
	if first == "" {
		return
	}
	tokenBytes := float64(t.Services[first].Engine.TokenBytes)
	var depots []placement.CacheStore
	for _, s := range t.Stores {
		if !s.Managed || s.LinkBitsPerSecond <= 0 {
			continue
		}
		depots = append(depots, placement.CacheStore{
			Name: s.Name, Address: s.Address, Zone: s.Zone, Capacity: s.CacheTokens,
			TokenSeconds: tokenBytes * bitsPerByte / s.LinkBitsPerSecond, FirstByte: s.FirstByteDelay,
		})
	}
	p.pool(first).SetStores(clock.Now(), depots)
}

// caches returns all caches that the leader follows.
func (p *placer) caches() []followed {
	table := p.node.table.Load()
	if table == nil {
		return nil
	}
	var list []followed
	for service, endpoints := range p.node.discovery.snapshot() {
		if s := table.Services[service]; s == nil || s.Engine == nil {
			continue
		}
		for _, r := range endpoints {
			list = append(list, followed{name: r.ID, address: r.Address, service: service, born: r.StartMilli})
		}
	}
	p.mu.Lock()
	keeper := p.keeper
	p.mu.Unlock()
	for _, s := range table.Stores {
		if s.Managed && keeper != "" {
			list = append(list, followed{name: s.Name, address: s.Address, service: keeper, depot: true})
		}
	}
	return list
}

func (p *placer) listDepot(t followed, list *placement.StoreListing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(t.service).ApplyStoreListing(clock.Now(), t.name, list)
}

func (p *placer) hearDepot(t followed, news *placement.CacheUpdate) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool(t.service).ApplyStoreUpdate(clock.Now(), t.name, news)
}

func (p *placer) hearCache(t followed, news *placement.CacheUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(t.service).ApplyCacheUpdate(clock.Now(), t.name, news)
}

// keepings sums up what the stores keep, as far as the leader knows.
func (p *placer) keepings() []placement.StoreUsage {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.keeper == "" {
		return nil
	}
	return p.pool(p.keeper).StoreUsages(clock.Now())
}

// freeings returns what stores are to free now; nothing unless this instance leads.
func (p *placer) freeings() []placement.FreeOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	var orders []placement.FreeOrder
	for _, pool := range p.pools {
		pool.SetOwner(now, p.node.tenure.held(now))
		orders = append(orders, pool.Free(now)...)
	}
	return orders
}

// startedAgo is how long ago a weight version is taken to have been named that was there when this process started.
const startedAgo = 3 * time.Second

// setWanted names the weight version of a model.
func (p *placer) setWanted(model string, version int, justNamed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := placement.TargetVersion{Version: version, AnnouncedAt: clock.Now()}
	if !justNamed {
		w.AnnouncedAt = w.AnnouncedAt.Add(-startedAgo)
	}
	p.wanted[model] = append(p.wanted[model], w)
	for _, pool := range p.pools {
		pool.SetTargetVersion(model, w)
	}
}

func (p *placer) setEndpoints(byService map[string][]*registration.Registration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service := range byService {
		p.pool(service)
	}
	for service, pool := range p.pools {
		pool.SetEndpoints(byService[service])
		p.node.metrics.Endpoints.WithLabelValues(service).Set(float64(pool.Endpoints()))
	}
}

// choose places a request: by the leader, who knows all load, or by this instance's own counts. It returns who did.
func (p *placer) choose(ctx context.Context, a *placement.Request) (placement.Choice, string, error) {
	n := p.node
	now := clock.Now()
	a.Uncoordinated = false
	leader := ""
	if a.Model != "" {
		leader = n.members.owner()
	}
	switch {
	case leader == "" || n.suspicion.suspected(leader, now):
	case leader == n.cfg.Name:
		n.metrics.Placements.WithLabelValues("owner").Inc()
		choice, err := p.chooseHere(a)
		for errors.Is(err, placement.ErrQueued) && ctx.Err() == nil {
			choice, err = p.await(ctx, a.ID, awaitSpan)
		}
		if errors.Is(err, placement.ErrQueued) {
			p.doneHere(a, placement.OutcomeWithdrawn)
			return choice, "", errWaited
		}
		return choice, "", err
	default:
		choice, err := n.placeAt(ctx, leader, a)
		if !errors.Is(err, errNoOwner) {
			n.metrics.Placements.WithLabelValues("peer").Inc()
			return choice, leader, err
		}
		if ctx.Err() == nil {
			n.suspicion.note(leader, clock.Now())
			n.log.Info(event.PlacementOwnerChanged, "leader does not place", zap.String("leader", leader), zap.Error(err))
		}
	}
	n.metrics.Placements.WithLabelValues("alone").Inc()
	a.Uncoordinated = true
	choice, err := p.chooseHere(a)
	return choice, "", err
}

// chooseHere places a request by what is known here.
func (p *placer) chooseHere(a *placement.Request) (placement.Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	pool := p.pool(a.Service)
	if !a.Uncoordinated {
		pool.SetOwner(now, p.node.tenure.held(now))
	}
	choice, err := pool.Place(now, a)
	if errors.Is(err, placement.ErrQueued) {
		p.waits[a.ID] = make(chan placement.Grant, 1)
		return choice, err
	}
	if err != nil {
		return choice, fmt.Errorf("place on %s: %w", a.Service, err)
	}
	return choice, nil
}

// firstEvent reports a use's first event to who placed it; empty is this instance.
func (p *placer) firstEvent(a *placement.Request, owner string) {
	if owner != "" {
		p.node.tell(owner, peer.KindAssignmentUpdate, peer.AssignmentUpdate{Service: a.Service, Number: a.ID.Number})
		return
	}
	p.firstEventHere(a)
}

// done reports a use's end to who placed it; empty is this instance.
func (p *placer) done(a *placement.Request, owner string, end placement.Outcome) {
	if owner != "" {
		p.node.tell(owner, peer.KindAssignmentUpdate, peer.AssignmentUpdate{Service: a.Service, Number: a.ID.Number, Outcome: end})
		return
	}
	p.doneHere(a, end)
}

const (
	// awaitSpan is how long one question about a waiting ask is held.
	awaitSpan = 400 * time.Millisecond
	// pumpPeriod is how often waiting asks are looked at without other cause.
	pumpPeriod = 20 * time.Millisecond
)

// errWaited says that a caller left, or its time ended, while its request waited.
var errWaited = errors.New("time ended while the request waited")

// await waits for what becomes of an ask; the error is placement.ErrQueued if it waits on.
func (p *placer) await(ctx context.Context, id placement.AssignmentID, span time.Duration) (placement.Choice, error) {
	p.mu.Lock()
	granted := p.waits[id]
	p.mu.Unlock()
	if granted == nil {
		return placement.Choice{}, errNoOwner
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case g := <-granted:
		p.mu.Lock()
		delete(p.waits, id)
		p.mu.Unlock()
		return g.Choice, g.Err
	case <-timer.C:
	case <-ctx.Done():
	}
	return placement.Choice{}, placement.ErrQueued
}

// pump grants what there is room for now; the caller holds the lock.
func (p *placer) pump(pool *placement.Pool, now clock.Instant) {
	if pool.Waiting() == 0 {
		return
	}
	pool.SetOwner(now, p.node.tenure.held(now))
	for _, g := range pool.ProcessQueue(now) {
		if granted := p.waits[g.Request.ID]; granted != nil {
			granted <- g
		}
	}
}

// run grants waiting asks as time passes.
func (p *placer) run(ctx context.Context) {
	duty.Every(ctx, pumpPeriod, func(context.Context) {
		p.mu.Lock()
		defer p.mu.Unlock()
		now := clock.Now()
		for service, pool := range p.pools {
			for _, change := range pool.CheckLiveness(now) {
				p.node.log.Info(event.EndpointUnresponsive, "endpoint silent", zap.String("service", service), zap.String("endpoint", change.Endpoint),
					zap.Bool("silent", change.Unresponsive), zap.Int64("span_ms", change.Inactive.Milliseconds()), zap.Int("pending", change.Pending))
			}
			p.pump(pool, now)
		}
		for _, c := range p.reach.TakeChanges() {
			p.node.log.Info(event.ZoneReachabilityChanged, "zone reached or not", zap.String("from", c.From), zap.String("zone", c.To), zap.Bool("cut", c.Unreachable),
				zap.Int64("rest_ms", max(0, c.Until.Sub(now)).Milliseconds()), zap.String("endpoint", c.Endpoint))
		}
	})
}

func (p *placer) dropEntry(incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		pool.DropEntry(incarnation)
	}
	for id := range p.waits {
		if id.Entry == incarnation {
			delete(p.waits, id)
		}
	}
}

func (p *placer) firstEventHere(a *placement.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	pool := p.pool(a.Service)
	pool.FirstEvent(now, a.ID)
	p.pump(pool, now)
}

func (p *placer) doneHere(a *placement.Request, end placement.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	pool := p.pool(a.Service)
	pool.Done(now, a.ID, end)
	if p.waits[a.ID] != nil {
		pool.Withdraw(a.ID)
		delete(p.waits, a.ID)
	}
	p.pump(pool, now)
}

func (p *placer) loading(service, endpoint string, until clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(service).WeightsLoading(endpoint, until)
}

func (p *placer) load(service, endpoint string) placement.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool(service).EndpointLoad(endpoint)
}

func (p *placer) loaded(service, endpoint, model string, version int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(service).WeightsLoaded(endpoint, model, version)
}

func (p *placer) reclaim(now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		pool.RemoveExpired(now)
	}
}
