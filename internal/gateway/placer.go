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
	"gypsumvale/internal/state/prompt"
	"gypsumvale/internal/state/registration"
	"gypsumvale/internal/state/route"
)

// placer guards the placement pools of all services.
type placer struct {
	node       *Node
	lastNumber atomic.Uint64
	// confirmedAt is when the registrations in use were last read without a change, until that is applied.
	confirmedAt atomic.Int64
	// limited is false if no endpoint has named a limit that is in force.
	limited atomic.Bool
	// brittle is false if no endpoint has said to be brittle.
	brittle atomic.Bool
	// lastRun is when the queue was last processed; stalled is true while that is longer ago than stallTimeout.
	lastRun atomic.Int64
	stalled bool

	mu           sync.Mutex
	reachability *placement.Reachability
	pools        map[string]*placement.Pool
	targets      map[string][]placement.TargetVersion
	// waiters holds, by queued request, the channel that receives its grant.
	waiters map[placement.AssignmentID]chan placement.Grant
	// reported holds the leader's term, by the fencing number, in which each entry has reported its running requests.
	reported map[string]uint64
	// limitsSentAt holds when each entry was last sent the limits that endpoints have named.
	limitsSentAt map[string]clock.Instant
	// storeService is the service whose pool manages the cache stores.
	storeService string
}

func newPlacer(n *Node) *placer {
	return &placer{
		node: n, reachability: placement.NewReachability(), pools: make(map[string]*placement.Pool),
		targets: make(map[string][]placement.TargetVersion), waiters: make(map[placement.AssignmentID]chan placement.Grant), reported: make(map[string]uint64),
		limitsSentAt: make(map[string]clock.Instant),
	}
}

const (
	// oldWeightsMargin is subtracted from the bound on the use of old weights, for requests that wait at an engine before they start.
	oldWeightsMargin = 1500 * time.Millisecond
	// withdrawalMargin is how long before that bound a request that still waits at an engine is withdrawn: until the engine has noticed that
	// the connection is closed.
	withdrawalMargin = 300 * time.Millisecond
)

// pool returns a service's pool, creating it if necessary; the caller holds the lock.
func (p *placer) pool(service string) *placement.Pool {
	pool := p.pools[service]
	if pool == nil {
		pool = placement.NewPool(placement.Config{
			PrefillRate: float64(p.node.cfg.PrefillRate), OldWeightsGrace: p.node.bounds.Load().OldWeightsGrace - oldWeightsMargin,
			Reachability: p.reachability, Suspicions: p.node.suspects, Notices: p.node.notices, Evacuations: p.node.evacuations,
			Regions:   p.node.cfg.Regions,
			Admission: admission{p.node},
		})
		for model, list := range p.targets {
			for _, target := range list {
				pool.SetTargetVersion(model, target)
			}
		}
		p.pools[service] = pool
	}
	return pool
}

// setOldWeightsGrace sets the bound on the use of old weights.
func (p *placer) setOldWeightsGrace(bound time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		pool.SetOldWeightsGrace(bound - oldWeightsMargin)
	}
}

// nextNumber returns an assignment number that this process has not used before.
func (p *placer) nextNumber() uint64 { return p.lastNumber.Add(1) }

const bitsPerByte = 8

func (p *placer) setServices(t *route.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, s := range t.Services {
		if s.Engine == nil {
			continue
		}
		e := &placement.Engine{Slots: s.Engine.Slots, CacheTokens: s.Engine.CacheTokens, Stride: s.Engine.Stride}
		if s.Engine.LinkBitsPerSecond > 0 {
			e.TokenSeconds = float64(s.Engine.TokenBytes) * bitsPerByte / s.Engine.LinkBitsPerSecond
		}
		p.pool(name).SetEngine(e)
	}
	p.setStores(t)
	p.setWarmupLimits(t)
}

// setStores assigns all cache stores to the service with engines whose name sorts first: a store managed by two pools would be
// overbooked.
func (p *placer) setStores(t *route.Table) {
	service := ""
	for name, s := range t.Services {
		if s.Engine != nil && (service == "" || name < service) {
			service = name
		}
	}
	p.storeService = service
	if service == "" {
		return
	}
	tokenBytes := float64(t.Services[service].Engine.TokenBytes)
	var stores []placement.CacheStore
	for _, s := range t.Stores {
		if !s.Managed || s.LinkBitsPerSecond <= 0 {
			continue
		}
		stores = append(stores, placement.CacheStore{
			Name: s.Name, Address: s.Address, Zone: s.Zone, Capacity: s.CacheTokens,
			TokenSeconds: tokenBytes * bitsPerByte / s.LinkBitsPerSecond, FirstByte: s.FirstByteDelay,
		})
	}
	p.pool(service).SetStores(clock.Now(), stores)
}

// caches returns all engine caches and cache stores that the leader follows.
func (p *placer) caches() []followedCache {
	table := p.node.table.Load()
	if table == nil {
		return nil
	}
	var list []followedCache
	follow := func(r *registration.Registration) {
		if s := table.Services[r.Service]; s != nil && s.Engine != nil {
			list = append(list, followedCache{name: r.ID, address: r.Address, service: r.Service, startMilli: r.StartMilli})
		}
	}
	for _, endpoints := range p.node.discovery.snapshot() {
		for _, r := range endpoints {
			follow(r)
		}
	}
	for _, r := range p.node.discovery.leaving() {
		// Their caches tell at which version streams began.
		if p.node.origins.hasSeveral(r.Service) {
			follow(r)
		}
	}
	p.mu.Lock()
	storeService := p.storeService
	p.mu.Unlock()
	for _, s := range table.Stores {
		if s.Managed && storeService != "" {
			list = append(list, followedCache{name: s.Name, address: s.Address, service: storeService, isStore: true})
		}
	}
	return list
}

func (p *placer) applyStoreListing(c followedCache, list *placement.StoreListing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(c.service).ApplyStoreListing(clock.Now(), c.name, list)
}

func (p *placer) applyStoreUpdates(c followedCache, updates *placement.CacheUpdate) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool(c.service).ApplyStoreUpdate(clock.Now(), c.name, updates)
}

func (p *placer) applyEngineUpdates(c followedCache, updates *placement.CacheUpdate) {
	p.node.origins.recordReads(c, updates.Events)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(c.service).ApplyCacheUpdate(clock.Now(), c.name, updates)
}

// storeUsage summarizes the contents of the cache stores as known to the leader.
func (p *placer) storeUsage() []placement.StoreUsage {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.storeService == "" {
		return nil
	}
	return p.pool(p.storeService).StoreUsages(clock.Now())
}

// freeOrders returns the orders to cache stores to free parts now; none unless this instance leads.
func (p *placer) freeOrders() []placement.FreeOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	_, _, leaseEnd := p.node.leadership.term()
	var orders []placement.FreeOrder
	for _, pool := range p.pools {
		pool.SetOwner(now, p.node.leadership.holdsLease(now))
		orders = append(orders, pool.Free(now, leaseEnd)...)
	}
	return orders
}

// withdrawAt returns when a request that has not started on the chosen weights must be withdrawn, or zero if no newer ones are known.
func (p *placer) withdrawAt(req *placement.Request, choice *placement.Choice) clock.Instant {
	if choice.Version == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	usableUntil := p.pool(req.Service).UsableUntil(req.Model, choice.Version)
	if usableUntil == 0 {
		return 0
	}
	return usableUntil.Add(oldWeightsMargin - withdrawalMargin)
}

// replaced reports whether a weight version may certainly not be used any more, whatever the instance knows that chose it.
func (p *placer) replaced(req *placement.Request, choice *placement.Choice) bool {
	if choice.Version == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool(req.Service).Replaced(clock.Now(), req.Model, choice.Version)
}

// setEndpoints sets the endpoints as registered at the instant readAt.
func (p *placer) setEndpoints(readAt clock.Instant, byService map[string][]*registration.Registration) {
	p.node.origins.observe(byService)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.confirmedAt.Store(0)
	settling := p.node.origins.settling(readAt)
	for service := range byService {
		p.pool(service)
	}
	for service, pool := range p.pools {
		pool.SetSettling(settling[service])
		pool.SetEndpoints(byService[service])
		pool.ObserveRegistrations(clock.Now(), readAt)
		p.node.metrics.Endpoints.WithLabelValues(service).Set(float64(pool.Endpoints()))
	}
}

// setSettling updates at which versions no streams may begin yet.
func (p *placer) setSettling() {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Determined under the lock, so that it doesn't replace what a newer list has brought.
	settling := p.node.origins.settling(p.node.discovery.listedAt())
	for service, pool := range p.pools {
		pool.SetSettling(settling[service])
	}
}

// place selects an endpoint for a request: at the leader, which knows the load of all instances, or else from this instance's own counts.
// It returns the name of the instance that decided, empty for this one. If alone is true, the leader isn't asked unless it is this instance.
func (p *placer) place(ctx context.Context, req *placement.Request, alone bool) (placement.Choice, string, error) {
	n := p.node
	now := clock.Now()
	req.Uncoordinated = false
	// What follows from this instance's list of endpoints alone is left to the leader, which may know more.
	if err := n.origins.resolveRecorded(req); isFinal(err) {
		return placement.Choice{}, "", err
	}
	// With its own number, a placement that was withdrawn and another one of the same request can't be taken for each other.
	req.ID.Number = p.nextNumber()
	leader := ""
	if req.Model != "" || p.needsLeader(req.Service) || req.TakesUp {
		// Only the leader knows what all instances send to an endpoint that has named a limit, and where streams of other instances began.
		leader = n.members.owner()
	}
	var unplaced error
	switch {
	case leader == "" || alone && leader != n.cfg.Name || n.leaderBackoff.active(now, leader):
	case leader == n.cfg.Name:
		n.metrics.Placements.WithLabelValues("owner").Inc()
		choice, err := p.placeLocally(req)
		for errors.Is(err, placement.ErrQueued) && ctx.Err() == nil {
			var g placement.Grant
			g, err = p.awaitGrant(ctx, req.ID, awaitTimeout)
			choice = g.Choice
		}
		if errors.Is(err, placement.ErrQueued) {
			p.recordEnd(req, assignmentEnd{outcome: placement.OutcomeWithdrawn})
			return choice, "", errQueueAborted
		}
		return choice, "", err
	default:
		choice, err := n.placeAt(ctx, leader, req)
		if isOutdated(err) {
			// The leader is cut off from the store. This instance may not be.
			break
		}
		if !errors.Is(err, errNoOwner) {
			n.leaderBackoff.record(leader, now, true)
			n.metrics.Placements.WithLabelValues("peer").Inc()
			reason := "leader chose weights that have been replaced"
			if err == nil && !goesOn(req, &choice) {
				// A leader of an earlier release knows no software versions.
				reason = "leader chose an endpoint that may not go on with the stream"
			} else if err != nil || !p.replaced(req, &choice) {
				return choice, leader, err
			}
			p.reportEnd(req, leader, assignmentEnd{outcome: placement.OutcomeWithdrawn})
			n.log.Info(event.PlacementOwnerChanged, reason, zap.String("leader", leader), zap.String("endpoint", choice.Endpoint),
				zap.Int("weights", choice.Version), zap.String("software", choice.Software))
		} else if ctx.Err() == nil {
			n.leaderBackoff.record(leader, now, false)
			unplaced = err
		}
	}
	// The leader may have placed the request at another endpoint, and would take the first event for one from there.
	req.ID.Number = p.nextNumber()
	if unplaced != nil {
		n.log.Info(event.PlacementOwnerChanged, "leader did not place the request", zap.String("leader", leader),
			zap.Uint64("placement", req.ID.Number), zap.Error(unplaced))
	}
	n.metrics.Placements.WithLabelValues("alone").Inc()
	req.Uncoordinated = true
	choice, err := p.placeLocally(req)
	return choice, "", err
}

// isFinal reports whether an error says that it won't be known where a stream began, whomever is asked.
func isFinal(err error) bool {
	var unknown *placement.OriginError
	return errors.As(err, &unknown) && !unknown.Learning
}

// isOutdated reports whether an error says that an instance doesn't know where a stream began since its list of endpoints is old.
func isOutdated(err error) bool {
	var unknown *placement.OriginError
	return errors.As(err, &unknown) && unknown.Outdated
}

// goesOn reports whether the endpoint of a leader's choice may go on with the request's stream.
func goesOn(req *placement.Request, choice *placement.Choice) bool {
	if req.Software == "" {
		return !req.TakesUp || choice.Software != ""
	}
	return choice.Software == req.Software
}

// placeLocally selects an endpoint from the state known here.
func (p *placer) placeLocally(req *placement.Request) (placement.Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	if err := p.node.origins.resolve(req); err != nil {
		return placement.Choice{}, fmt.Errorf("place on %s: %w", req.Service, err)
	}
	pool := p.pool(req.Service)
	if !req.Uncoordinated {
		pool.SetOwner(now, p.node.leadership.holdsLease(now))
	}
	choice, err := pool.Place(now, req)
	if errors.Is(err, placement.ErrQueued) {
		p.waiters[req.ID] = make(chan placement.Grant, 1)
		return choice, err
	}
	if err != nil {
		return choice, fmt.Errorf("place on %s: %w", req.Service, err)
	}
	p.node.origins.recordPlaced(req, choice.Software)
	nameOrigin(&choice, req)
	return choice, nil
}

// nameOrigin has a choice tell how the version was known that began the request's stream.
func nameOrigin(choice *placement.Choice, req *placement.Request) {
	if req.Origin.Source != "" {
		choice.Origin = &req.Origin
	}
}

// reportFirstEvent reports a request's first event to the instance that placed it, where an empty owner is this instance, and to leaders that
// have been told of the request since.
func (p *placer) reportFirstEvent(req *placement.Request, owner string) {
	for _, name := range append(p.node.running.FirstEvent(req.ID.Number, owner), owner) {
		if name == "" {
			p.recordFirstEvent(req)
			continue
		}
		p.node.notify(name, peer.KindAssignmentUpdate, peer.AssignmentUpdate{Service: req.Service, Number: req.ID.Number})
	}
}

// assignmentEnd is how an assignment ended.
type assignmentEnd struct {
	outcome placement.Outcome
	// version is the weight version that the endpoint named when it rejected the request for its weights, or zero if unknown.
	version int
	// crash is the crash of the endpoint that ended the assignment, or nil.
	crash *peer.CrashReport
}

// reportEnd reports the end of an assignment to the instance that placed it, where an empty owner is this instance, and to leaders that have
// been told of the request since.
func (p *placer) reportEnd(req *placement.Request, owner string, end assignmentEnd) {
	for _, name := range append(p.node.running.End(req.ID.Number, owner), owner) {
		if name == "" {
			p.recordEnd(req, end)
			continue
		}
		p.node.notify(name, peer.KindAssignmentUpdate, peer.AssignmentUpdate{
			Service: req.Service, Number: req.ID.Number, Outcome: end.outcome, Version: end.version, Crash: end.crash,
		})
	}
}

const (
	// awaitTimeout is how long one call for the grant of a queued request is held open.
	awaitTimeout = 400 * time.Millisecond
	// grantPeriod is the interval at which queued requests are reconsidered even if no assignment ends.
	grantPeriod = 20 * time.Millisecond
)

// errQueueAborted is returned when the caller disconnects, or its deadline passes, while the request is queued.
var errQueueAborted = errors.New("caller left or deadline passed while the request was queued")

// awaitGrant waits until a queued request is granted or rejected; it returns placement.ErrQueued if the request is still queued at the
// timeout.
func (p *placer) awaitGrant(ctx context.Context, id placement.AssignmentID, timeout time.Duration) (placement.Grant, error) {
	p.mu.Lock()
	waiter := p.waiters[id]
	p.mu.Unlock()
	if waiter == nil {
		return placement.Grant{}, errNoOwner
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case g := <-waiter:
		p.mu.Lock()
		delete(p.waiters, id)
		p.mu.Unlock()
		return g, g.Err
	case <-timer.C:
	case <-ctx.Done():
	}
	return placement.Grant{}, placement.ErrQueued
}

// grantWaiting grants queued requests as far as there is capacity; the caller holds the lock.
func (p *placer) grantWaiting(pool *placement.Pool, now clock.Instant) {
	if pool.Waiting() == 0 {
		return
	}
	pool.SetOwner(now, p.node.leadership.holdsLease(now))
	for _, g := range pool.ProcessQueue(now) {
		p.node.origins.recordPlaced(g.Request, g.Choice.Software)
		nameOrigin(&g.Choice, g.Request)
		// The pool grants each queued request once, so there is room. A send that waits would stop placement for good.
		select {
		case p.waiters[g.Request.ID] <- g:
		default:
		}
	}
}

// run periodically grants queued requests, and logs changes in the liveness of endpoints and in the reachability of zones.
func (p *placer) run(ctx context.Context) {
	duty.Every(ctx, grantPeriod, func(context.Context) {
		p.mu.Lock()
		defer p.mu.Unlock()
		now := clock.Now()
		p.lastRun.Store(int64(now))
		p.applyConfirmation(now)
		for service, pool := range p.pools {
			for _, change := range pool.CheckLiveness(now) {
				p.node.log.Info(event.EndpointUnresponsive, "endpoint liveness changed", zap.String("service", service),
					zap.String("endpoint", change.Endpoint), zap.Bool("silent", change.Unresponsive), zap.Int64("span_ms", change.Inactive.Milliseconds()),
					zap.Int("pending", change.Pending))
			}
			p.logWarmups(service, pool, now)
			p.grantWaiting(pool, now)
		}
		for _, c := range p.reachability.TakeChanges() {
			p.node.log.Info(event.ZoneReachabilityChanged, "zone reachability changed", zap.String("from", c.From), zap.String("zone", c.To),
				zap.Bool("cut", c.Unreachable), zap.Int64("rest_ms", max(0, c.Until.Sub(now)).Milliseconds()), zap.String("endpoint", c.Endpoint))
		}
	})
}

// zoneUnreachable reports whether requests from this instance's zone avoid another zone.
func (p *placer) zoneUnreachable(zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reachability.Unreachable(clock.Now(), p.node.cfg.Zone, zone)
}

// stallTimeout is how long the queue may go without being processed before placement counts as stopped: many grant periods.
const stallTimeout = time.Second

// age returns how long ago the queue was last processed, or zero before the first time. It takes no lock, since whoever holds the placer's may
// be the reason why that is long.
func (p *placer) age(now clock.Instant) time.Duration {
	lastRun := clock.Instant(p.lastRun.Load())
	if lastRun == 0 {
		return 0
	}
	return now.Sub(lastRun)
}

// stall returns how long placement on this instance has been stopped, or zero if it runs.
func (p *placer) stall(now clock.Instant) time.Duration {
	if age := p.age(now); age > stallTimeout {
		return age
	}
	return 0
}

// logStall logs when placement on this instance has stopped, and when it runs again.
func (p *placer) logStall(now clock.Instant) {
	span := p.stall(now)
	stalled := span != 0
	p.node.metrics.PlacementAge.Set(p.age(now).Seconds())
	if stalled == p.stalled {
		return
	}
	p.stalled = stalled
	leads := p.node.leadership.holdsLease(now)
	if stalled {
		p.node.log.Warn(event.PlacementStalled, "placement has stopped", zap.Bool("stalled", true), zap.Bool("leader", leads),
			zap.Int64("span_ms", span.Milliseconds()))
		return
	}
	p.node.log.Info(event.PlacementStalled, "placement runs again", zap.Bool("stalled", false), zap.Bool("leader", leads))
}

func (p *placer) dropEntry(incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.reported, incarnation)
	delete(p.limitsSentAt, incarnation)
	for _, pool := range p.pools {
		pool.DropEntry(incarnation)
	}
	for id := range p.waiters {
		if id.Entry == incarnation {
			delete(p.waiters, id)
		}
	}
}

// recordFirstEvent records a request's first event. The instance that reported it may not know of a crash with which parts of the prompt are
// charged here, so the parts that it clears are reported to all peers.
func (p *placer) recordFirstEvent(req *placement.Request) {
	if cleared := p.clearParts(req); len(cleared) > 0 {
		p.node.reportCleared(req.Service, cleared, 0)
	}
}

// clearParts records a request's first event, and returns the parts of its prompt that this clears.
func (p *placer) clearParts(req *placement.Request) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	pool := p.pool(req.Service)
	var cleared []string
	if placed, software := pool.Assigned(req.ID); placed != nil {
		p.node.origins.record(placed, software, false, true)
	}
	if placed := pool.FirstEvent(now, req.ID); placed != nil {
		cleared = p.node.suspects.recordAnswer(placed.Service, prompt.IDs(placed.SharedParts()), now)
	}
	p.grantWaiting(pool, now)
	return cleared
}

// recordEnd records the end of an assignment. A crash that ended it is recorded first: otherwise the next request with the same parts could be
// placed before they are charged with the crash.
func (p *placer) recordEnd(req *placement.Request, end assignmentEnd) {
	if end.crash != nil {
		p.node.recordReportedCrash(req.ID.Entry, end.crash)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	pool := p.pool(req.Service)
	if end.version > 0 {
		pool.WeightsObserved(req.ID, end.version)
	}
	pool.Done(now, req.ID, end.outcome)
	if p.waiters[req.ID] != nil {
		pool.Withdraw(req.ID)
		delete(p.waiters, req.ID)
	}
	p.grantWaiting(pool, now)
}

func (p *placer) setLoadingUntil(service, endpoint string, until clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(service).WeightsLoading(endpoint, until)
}

func (p *placer) setOrderPending(service, endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(service).OrderPending(endpoint)
}

func (p *placer) endpointLoad(service, endpoint string) placement.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool(service).EndpointLoad(endpoint)
}

func (p *placer) setLoaded(service, endpoint, model string, version int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(service).WeightsLoaded(endpoint, model, version)
}

// removeExpired removes assignments whose ends were never reported, and updates what is measured each second.
func (p *placer) removeExpired(now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, pool := range p.pools {
		pool.RemoveExpired(now)
		p.node.metrics.PredictedGap.WithLabelValues(service).Set(pool.PredictedGap(now).Seconds())
	}
	p.countLimits(now)
}
