package gateway

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

const (
	// followPeriod is the interval at which the leader updates the set of caches that it follows.
	followPeriod = 200 * time.Millisecond
	// updatesWait is how long a call for cache updates waits for an event; shorter waits would cost too many calls.
	updatesWait = 900 * time.Millisecond
	// updatesPause is the pause between two calls, in which events accumulate, so that busy caches aren't queried for each single event.
	updatesPause = 250 * time.Millisecond
	// callMargin is allowed for a call for updates in addition to its wait; it also bounds the sending of a free order.
	callMargin = 400 * time.Millisecond
	// listTimeout bounds reading the list of a cache store's contents until the answer begins, and without progress from then on.
	listTimeout = time.Second
	// usageLogPeriod is the interval at which the leader logs the usage of the cache stores.
	usageLogPeriod = 5 * time.Second
	// maxFollowed bounds the number of caches that are followed. Each takes about 1.5 calls a second at 0.2 ms of processor time, so that
	// all take 5% of a core. The contents of other engines' caches are estimated from the requests placed there.
	maxFollowed = 160
	// freePeriod is the interval at which the leader checks which parts cache stores can free.
	freePeriod = 500 * time.Millisecond
)

// errRepeatedUpdates is returned for the copy of the answer to an earlier poll.
var errRepeatedUpdates = errors.New("updates were read before")

// followedCache identifies an engine's cache or a cache store that is followed.
type followedCache struct {
	name       string
	address    string
	service    string
	isStore    bool
	startMilli int64
}

// follower is the leader's task that follows the caches of engines and stores, and orders stores to free parts that need not be retained.
type follower struct {
	node    *Node
	running map[followedCache]context.CancelFunc
}

func (f *follower) run(ctx context.Context) {
	f.running = make(map[followedCache]context.CancelFunc)
	duty.Every(ctx, followPeriod, f.step)
	for _, cancel := range f.running {
		cancel()
	}
}

// step starts and stops following caches according to the leadership, the endpoints and the configuration.
func (f *follower) step(ctx context.Context) {
	wanted := make(map[followedCache]bool)
	if f.node.leadership.mayStillLead() {
		for _, c := range limitFollowed(f.node.placer.caches()) {
			wanted[c] = true
		}
	}
	for c, cancel := range f.running {
		if !wanted[c] {
			cancel()
			delete(f.running, c)
		}
	}
	for c := range wanted {
		if f.running[c] != nil {
			continue
		}
		followCtx, cancel := context.WithCancel(ctx)
		f.running[c] = cancel
		f.node.wg.Go(func() { f.follow(followCtx, c) })
	}
}

// limitFollowed drops the caches beyond maxFollowed, always the same ones; cache stores are kept before engines.
func limitFollowed(caches []followedCache) []followedCache {
	if len(caches) <= maxFollowed {
		return caches
	}
	sort.Slice(caches, func(i, j int) bool {
		if caches[i].isStore != caches[j].isStore {
			return caches[i].isStore
		}
		return caches[i].name < caches[j].name
	})
	return caches[:maxFollowed]
}

func (f *follower) follow(ctx context.Context, c followedCache) {
	var next, epoch int64
	needList := c.isStore
	failing := false
	for ctx.Err() == nil {
		if pause := f.node.notices.pause(registration.Incarnation{ID: c.name, StartMilli: c.startMilli}); pause > 0 && !duty.Sleep(ctx, pause) {
			return
		}
		var err error
		if needList {
			next, err = f.listStore(ctx, c)
			needList = err != nil
		} else {
			var updates placement.CacheUpdate
			updates, err = f.fetchUpdates(ctx, c, next)
			if err == nil && updates.Epoch == epoch && updates.Next < next {
				err = errRepeatedUpdates
			}
			if err == nil {
				restarted := epoch != 0 && epoch != updates.Epoch
				epoch = updates.Epoch
				next = updates.Next
				needList = f.applyUpdates(c, &updates, restarted)
			}
		}
		if failed := err != nil; failed != failing {
			failing = failed
			f.node.log.Info(event.CacheStreamChanged, "cache follower state changed", zap.String("cache", c.name),
				zap.Bool("store", c.isStore), zap.Bool("failing", failed), zap.Error(err))
		}
		if !duty.Sleep(ctx, updatesPause) {
			return
		}
	}
}

func (f *follower) listStore(ctx context.Context, c followedCache) (int64, error) {
	ctx, cancel := duty.WithProgress(ctx, listTimeout, listTimeout)
	defer cancel()
	list, err := f.node.deps.Caches.List(ctx, c.address)
	if err != nil {
		return 0, fmt.Errorf("follow %s: %w", c.name, err)
	}
	f.node.placer.applyStoreListing(c, &list)
	f.node.log.Info(event.StoreListed, "cache store listed", zap.String("store", c.name), zap.Int64("epoch", list.Epoch),
		zap.Int("whole", len(list.Complete)), zap.Int("broken", len(list.Incomplete)))
	return list.Next, nil
}

func (f *follower) fetchUpdates(ctx context.Context, c followedCache, since int64) (placement.CacheUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, updatesWait+callMargin)
	defer cancel()
	requestedAt := clock.Now()
	updates, err := f.node.deps.Caches.Updates(ctx, c.address, since, updatesWait)
	if err != nil {
		return updates, fmt.Errorf("follow %s: %w", c.name, err)
	}
	if updates.StartMilli != 0 {
		reported := registration.Incarnation{ID: c.name, StartMilli: updates.StartMilli}
		f.node.recordReport(reported, requestedAt)
		if !c.isStore {
			f.node.placer.confirmIncarnation(reported, requestedAt)
		}
	}
	return updates, nil
}

// applyUpdates applies a cache's updates, and reports whether the cache has to be listed again.
func (f *follower) applyUpdates(c followedCache, updates *placement.CacheUpdate, restarted bool) bool {
	if c.isStore {
		return f.node.placer.applyStoreUpdates(c, updates)
	}
	updates.Missed = updates.Missed || restarted
	f.node.placer.applyEngineUpdates(c, updates)
	return false
}

// freeStores sends stores the orders to free parts that need not be retained.
func (f *follower) freeStores(ctx context.Context) {
	duty.Every(ctx, freePeriod, func(ctx context.Context) {
		for _, order := range f.node.placer.freeOrders() {
			if !f.node.leadership.holdsLease(clock.Now()) {
				return
			}
			f.sendFreeOrder(ctx, &order)
		}
	})
}

// logUsage logs the usage of the cache stores as known to the leader.
func (f *follower) logUsage(ctx context.Context) {
	duty.Every(ctx, usageLogPeriod, func(context.Context) {
		if !f.node.leadership.holdsLease(clock.Now()) {
			return
		}
		for _, usage := range f.node.placer.storeUsage() {
			f.node.log.Info(event.StoreUsageReported, "cache store usage", zap.String("store", usage.Store),
				zap.Int("whole", usage.Complete), zap.Int("other", usage.Incomplete),
				zap.Int("tokens", usage.Tokens), zap.Int("capacity", usage.Capacity), zap.Bool("usable", usage.Usable))
		}
	})
}

func (f *follower) sendFreeOrder(ctx context.Context, order *placement.FreeOrder) {
	ctx, cancel := context.WithTimeout(ctx, callMargin)
	defer cancel()
	err := f.node.deps.Caches.Free(ctx, order)
	f.node.log.Info(event.StorePartsFreed, "free order sent", zap.String("store", order.Store), zap.Int("parts", len(order.Parts)),
		zap.Int64("epoch", order.Epoch), zap.Error(err))
}
