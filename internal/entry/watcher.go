package entry

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/budget"
	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/coordination/ticket"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/kv"
)

const (
	watchersPerZone = 2
	watchTimeout    = 20 * time.Second
	watchPause      = 500 * time.Millisecond
	pullTimeout     = 2 * time.Second
)

// watcher keeps the configuration up to date: two instances of a zone watch the platform's key-value service, and notify the others.
type watcher struct {
	node *Node
	// hasConfig is true once a configuration has been read from the platform or a peer.
	hasConfig atomic.Bool
	// possiblyBehind is true while the platform can't be reached, so that the configuration may be out of date.
	possiblyBehind atomic.Bool
	headVersion    atomic.Uint64
	pulling        atomic.Bool
}

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.hasConfig.Load() && !w.isDesignated() {
			duty.Sleep(ctx, watchPause)
			continue
		}
		if err := w.watch(ctx); err != nil {
			w.possiblyBehind.Store(true)
			w.node.log.Debug(event.WatchFailed, "watch failed", zap.Error(err))
			w.pullHighest(ctx)
			duty.Sleep(ctx, watchPause)
			continue
		}
		w.possiblyBehind.Store(false)
	}
}

// isDesignated reports whether this instance is one of those that read from the platform for their zone.
func (w *watcher) isDesignated() bool {
	zoneMembers := w.node.members.current().ByZone[w.node.cfg.Zone]
	for _, name := range rank.Top("watch/"+w.node.cfg.Zone, zoneMembers, watchersPerZone) {
		if name == w.node.cfg.Name {
			return true
		}
	}
	return false
}

func (w *watcher) watch(ctx context.Context) error {
	values := w.node.kvClient(budget.PriorityTicket)
	if !w.hasConfig.Load() {
		value, err := values.Get(ctx, ticket.HeadPath)
		if err != nil && !errors.Is(err, kv.ErrNotFound) {
			return fmt.Errorf("read configuration: %w", err)
		}
		return w.adoptValue(ctx, value)
	}
	value, changed, err := values.Watch(ctx, ticket.HeadPath, kv.Version(w.headVersion.Load()), time.Now().Add(watchTimeout))
	if err != nil {
		return fmt.Errorf("watch configuration: %w", err)
	}
	if !changed {
		return nil
	}
	return w.adoptValue(ctx, value)
}

// adoptValue adopts a head read from the platform and stores its version for the next watch.
func (w *watcher) adoptValue(ctx context.Context, value kv.Value) error {
	if err := w.adopt(ctx, value.Data, w.node.kvClient(budget.PriorityTicket)); err != nil {
		return err
	}
	w.headVersion.Store(uint64(value.Version))
	w.hasConfig.Store(true)
	return nil
}

// refresh reads the head once, after this instance has accepted a ticket.
func (w *watcher) refresh(ctx context.Context) {
	value, err := w.node.kvClient(budget.PriorityTicket).Get(ctx, ticket.HeadPath)
	if err != nil {
		return
	}
	// The watch's version is left alone: the watch reads this head once more and finds that it is in force already.
	_ = w.adopt(ctx, value.Data, w.node.kvClient(budget.PriorityTicket))
}

func (w *watcher) adopt(ctx context.Context, head []byte, source ticket.PageSource) error {
	adopted, err := w.node.follower.Adopt(ctx, head, source)
	if err != nil {
		w.node.log.Warn(event.RevisionFailed, "configuration not adopted", zap.Error(err))
		return fmt.Errorf("adopt: %w", err)
	}
	if !adopted {
		return nil
	}
	revision := w.node.follower.Current().Revision
	w.node.metrics.ConfigRevision.Set(float64(revision))
	w.node.log.Info(event.RevisionAdopted, "configuration adopted", zap.Uint64("revision", uint64(revision)))
	w.announce(ctx)
	return nil
}

// announce notifies the zone's members of the new revision. Other zones have watchers of their own, and heartbeats carry the revision
// too.
func (w *watcher) announce(ctx context.Context) {
	view := w.node.members.current()
	msg := peer.RevisionNotice{Revision: uint64(w.node.follower.Current().Revision)}
	for _, name := range view.ByZone[w.node.cfg.Zone] {
		info := view.Members[name]
		if name == w.node.cfg.Name || info.Revision >= msg.Revision {
			continue
		}
		go func() {
			sendCtx, cancel := context.WithTimeout(ctx, pullTimeout)
			defer cancel()
			// A member that misses this message learns the revision from the next heartbeat.
			_ = w.node.network.Send(sendCtx, name, info.Address, peer.KindRevision, msg)
		}()
	}
}

// onRevision pulls the configuration from a peer if its revision is higher, unless another pull is running.
func (w *watcher) onRevision(revision uint64, from string) {
	if revision <= uint64(w.node.follower.Current().Revision) && w.hasConfig.Load() {
		return
	}
	if w.pulling.Swap(true) {
		return
	}
	go func() {
		defer w.pulling.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		if err := w.pull(ctx, from); err != nil {
			w.node.log.Debug(event.RevisionFailed, "pull failed", zap.String("from", from), zap.Error(err))
		}
	}()
}

func (w *watcher) pullHighest(ctx context.Context) {
	_, from := w.node.members.current().HighestRevision()
	if from == w.node.cfg.Name || from == "" {
		return
	}
	ctx, cancel := duty.WithProgress(ctx, pullTimeout, pullTimeout)
	defer cancel()
	if err := w.pull(ctx, from); err != nil {
		w.node.log.Debug(event.RevisionFailed, "pull failed", zap.String("from", from), zap.Error(err))
	}
}

// pull reads the head and the missing pages from a peer. The head holds the digests that the pages are checked against.
func (w *watcher) pull(ctx context.Context, from string) error {
	address, ok := w.node.members.address(from)
	if !ok {
		return fmt.Errorf("pull from %s: %w", from, errNotLiveMember)
	}
	var head peer.ConfigReply
	above := uint64(w.node.follower.Current().Revision)
	if err := w.node.network.Call(ctx, from, address, peer.KindConfig, peer.ConfigRequest{Above: above}, &head); err != nil {
		return fmt.Errorf("pull head: %w", err)
	}
	if len(head.Head) == 0 {
		return nil
	}
	missing, err := w.node.follower.Missing(head.Head)
	if err != nil {
		return fmt.Errorf("pull: %w", err)
	}
	pages := make(pageSet, len(missing))
	for start := 0; start < len(missing); start += maxPullPages {
		var reply peer.ConfigReply
		batch := missing[start:min(start+maxPullPages, len(missing))]
		if err := w.node.network.Call(ctx, from, address, peer.KindConfig, peer.ConfigRequest{Above: above, Pages: batch}, &reply); err != nil {
			return fmt.Errorf("pull pages: %w", err)
		}
		for _, p := range reply.Pages {
			pages[p.Path] = p.Data
		}
	}
	if err := w.adopt(ctx, head.Head, pages); err != nil {
		return err
	}
	w.hasConfig.Store(true)
	return nil
}

// maxPullPages bounds the pages in one reply, so that the reply fits into one frame.
const maxPullPages = 8

var errNotLiveMember = errors.New("not a live member")

// pageSet is a ticket.PageSource of the pages that a peer has sent, by path.
type pageSet map[string][]byte

// Get returns a page, or kv.ErrNotFound.
func (p pageSet) Get(_ context.Context, path string) (kv.Value, error) {
	data, ok := p[path]
	if !ok {
		return kv.Value{}, fmt.Errorf("page %s: %w", path, kv.ErrNotFound)
	}
	return kv.Value{Data: data}, nil
}
