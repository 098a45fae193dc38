package gateway

import (
	"context"
	"fmt"
	"sort"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/state/clock"
)

const (
	// followPeriod is how often the leader looks which caches are to be followed.
	followPeriod = 200 * time.Millisecond
	// newsWait is how long a call for news waits; shorter ones would be dear.
	newsWait = 900 * time.Millisecond
	// newsPause gathers events, so that busy caches aren't asked for each one.
	newsPause = 250 * time.Millisecond
	// newsSlack is how much later than its wait such a call may answer.
	newsSlack = 400 * time.Millisecond
	// listTimeout bounds reading a store's list.
	listTimeout = time.Second
	// reportEvery is how often the leader logs what the stores keep.
	reportEvery = 5 * time.Second
	// maxFollowed is the most caches of engines that are followed: each takes about 1.5 calls a second, 0.2 ms of processor each, so that
	// all take 5% of a core. What others hold is modelled by what was placed there.
	maxFollowed = 160
	// freePeriod is how often the leader looks what stores can free.
	freePeriod = 500 * time.Millisecond
)

// followed names a cache and how its news are taken.
type followed struct {
	name    string
	address string
	service string
	depot   bool
	born    int64
}

// follower is the leader's duty that follows the caches of engines and stores, and frees what stores need not keep.
type follower struct {
	node    *Node
	running map[followed]context.CancelFunc
}

func (f *follower) run(ctx context.Context) {
	f.running = make(map[followed]context.CancelFunc)
	duty.Every(ctx, followPeriod, f.step)
	for _, cancel := range f.running {
		cancel()
	}
}

// step starts and stops following, as the lead, the endpoints and the configuration say.
func (f *follower) step(ctx context.Context) {
	wanted := make(map[followed]bool)
	if f.node.tenure.leads() {
		for _, t := range mostFollowed(f.node.placer.caches()) {
			wanted[t] = true
		}
	}
	for t, cancel := range f.running {
		if !wanted[t] {
			cancel()
			delete(f.running, t)
		}
	}
	for t := range wanted {
		if f.running[t] != nil {
			continue
		}
		following, cancel := context.WithCancel(ctx)
		f.running[t] = cancel
		f.node.wg.Go(func() { f.follow(following, t) })
	}
}

// mostFollowed leaves out engines beyond what can be followed, always the same ones.
func mostFollowed(caches []followed) []followed {
	if len(caches) <= maxFollowed {
		return caches
	}
	sort.Slice(caches, func(i, j int) bool {
		if caches[i].depot != caches[j].depot {
			return caches[i].depot
		}
		return caches[i].name < caches[j].name
	})
	return caches[:maxFollowed]
}

func (f *follower) follow(ctx context.Context, t followed) {
	var since, epoch int64
	needList := t.depot
	failing := false
	for ctx.Err() == nil {
		var err error
		if needList {
			since, err = f.list(ctx, t)
			needList = err != nil
		} else {
			var news placement.CacheUpdate
			news, err = f.news(ctx, t, since)
			if err == nil {
				restarted := epoch != 0 && epoch != news.Epoch
				epoch = news.Epoch
				since = news.Next
				needList = f.hear(t, &news, restarted)
			}
		}
		if failed := err != nil; failed != failing {
			failing = failed
			f.node.log.Info(event.CacheStreamChanged, "cache followed", zap.String("cache", t.name), zap.Bool("store", t.depot), zap.Bool("failing", failed), zap.Error(err))
		}
		if !duty.Sleep(ctx, newsPause) {
			return
		}
	}
}

func (f *follower) list(ctx context.Context, t followed) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := f.node.outside.Caches.List(ctx, t.address)
	if err != nil {
		return 0, fmt.Errorf("follow %s: %w", t.name, err)
	}
	f.node.placer.listDepot(t, &list)
	f.node.log.Info(event.StoreListed, "store listed", zap.String("store", t.name), zap.Int64("epoch", list.Epoch),
		zap.Int("whole", len(list.Complete)), zap.Int("broken", len(list.Incomplete)))
	return list.Next, nil
}

func (f *follower) news(ctx context.Context, t followed, since int64) (placement.CacheUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, newsWait+newsSlack)
	defer cancel()
	news, err := f.node.outside.Caches.Updates(ctx, t.address, since, newsWait)
	if err != nil {
		return news, fmt.Errorf("follow %s: %w", t.name, err)
	}
	return news, nil
}

// hear reports whether the cache has to be listed.
func (f *follower) hear(t followed, news *placement.CacheUpdate, restarted bool) bool {
	if t.depot {
		return f.node.placer.hearDepot(t, news)
	}
	news.Missed = news.Missed || restarted
	f.node.placer.hearCache(t, news)
	return false
}

// free has stores free what they need not keep.
func (f *follower) free(ctx context.Context) {
	duty.Every(ctx, freePeriod, func(ctx context.Context) {
		for _, order := range f.node.placer.freeings() {
			if !f.node.tenure.held(clock.Now()) {
				return
			}
			f.send(ctx, &order)
		}
	})
}

// report logs what the stores keep, as the leader knows it.
func (f *follower) report(ctx context.Context) {
	duty.Every(ctx, reportEvery, func(context.Context) {
		if !f.node.tenure.held(clock.Now()) {
			return
		}
		for _, k := range f.node.placer.keepings() {
			f.node.log.Info(event.StoreUsageReported, "store keeps", zap.String("store", k.Store), zap.Int("whole", k.Complete), zap.Int("other", k.Incomplete),
				zap.Int("tokens", k.Tokens), zap.Int("capacity", k.Capacity), zap.Bool("usable", k.Usable))
		}
	})
}

func (f *follower) send(ctx context.Context, order *placement.FreeOrder) {
	ctx, cancel := context.WithTimeout(ctx, newsSlack)
	defer cancel()
	err := f.node.outside.Caches.Free(ctx, order)
	f.node.log.Info(event.StorePartsFreed, "parts freed", zap.String("store", order.Store), zap.Int("parts", len(order.Parts)),
		zap.Int64("epoch", order.Epoch), zap.Error(err))
}
