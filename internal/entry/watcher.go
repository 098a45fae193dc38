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
	watchTime       = 20 * time.Second
	watchPause      = 500 * time.Millisecond
	pullTimeout     = 2 * time.Second
)

// watcher is the duty that keeps the configuration up to date: two instances of a zone watch the platform, the others hear of it.
type watcher struct {
	node *Node
	// known says that a configuration was read from the platform or a peer.
	known atomic.Bool
	// behind says that the platform can't be asked, so that the configuration may be old.
	behind  atomic.Bool
	version atomic.Uint64
	pulling atomic.Bool
}

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.known.Load() && !w.chosen() {
			duty.Sleep(ctx, watchPause)
			continue
		}
		if err := w.watch(ctx); err != nil {
			w.behind.Store(true)
			w.node.log.Debug(event.WatchFailed, "watch failed", zap.Error(err))
			w.pullHighest(ctx)
			duty.Sleep(ctx, watchPause)
			continue
		}
		w.behind.Store(false)
	}
}

func (w *watcher) chosen() bool {
	mates := w.node.members.current().ByZone[w.node.cfg.Zone]
	for _, name := range rank.Top("watch/"+w.node.cfg.Zone, mates, watchersPerZone) {
		if name == w.node.cfg.Name {
			return true
		}
	}
	return false
}

func (w *watcher) watch(ctx context.Context) error {
	values := w.node.ranked(budget.PriorityTicket)
	if !w.known.Load() {
		value, err := values.Get(ctx, ticket.HeadPath)
		if err != nil && !errors.Is(err, kv.ErrNotFound) {
			return fmt.Errorf("read configuration: %w", err)
		}
		return w.take(ctx, value)
	}
	value, changed, err := values.Watch(ctx, ticket.HeadPath, kv.Version(w.version.Load()), time.Now().Add(watchTime))
	if err != nil {
		return fmt.Errorf("watch configuration: %w", err)
	}
	if !changed {
		return nil
	}
	return w.take(ctx, value)
}

// take adopts a value of the head and tells the peers.
func (w *watcher) take(ctx context.Context, value kv.Value) error {
	if err := w.adopt(ctx, value.Data, w.node.ranked(budget.PriorityTicket)); err != nil {
		return err
	}
	w.version.Store(uint64(value.Version))
	w.known.Store(true)
	return nil
}

// refresh reads the head once, after this instance has accepted a ticket.
func (w *watcher) refresh(ctx context.Context) {
	value, err := w.node.ranked(budget.PriorityTicket).Get(ctx, ticket.HeadPath)
	if err != nil {
		return
	}
	// The watch's version stays as it is, so that the watch takes the head again and finds it known.
	_ = w.adopt(ctx, value.Data, w.node.ranked(budget.PriorityTicket))
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
	w.node.log.Info(event.RevisionAdopted, "configuration in force", zap.Uint64("revision", uint64(revision)))
	w.announce(ctx)
	return nil
}

// announce tells the zone's members; other zones have watchers of their own, and heartbeats carry the revision as well.
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
			// Whoever misses this hears the revision with the next heartbeat.
			_ = w.node.network.Send(sendCtx, name, info.Address, peer.KindRevision, msg)
		}()
	}
}

// hear pulls from a peer that has a higher revision.
func (w *watcher) hear(revision uint64, from string) {
	if revision <= uint64(w.node.follower.Current().Revision) && w.known.Load() {
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
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	if err := w.pull(ctx, from); err != nil {
		w.node.log.Debug(event.RevisionFailed, "pull failed", zap.String("from", from), zap.Error(err))
	}
}

// pull reads head and missing pages from a peer; digests in the head guard the pages.
func (w *watcher) pull(ctx context.Context, from string) error {
	address, ok := w.node.members.address(from)
	if !ok {
		return fmt.Errorf("pull from %s: %w", from, errNoMember)
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
	for start := 0; start < len(missing); start += pullPages {
		var pulled peer.ConfigReply
		want := missing[start:min(start+pullPages, len(missing))]
		if err := w.node.network.Call(ctx, from, address, peer.KindConfig, peer.ConfigRequest{Above: above, Pages: want}, &pulled); err != nil {
			return fmt.Errorf("pull pages: %w", err)
		}
		for _, p := range pulled.Pages {
			pages[p.Path] = p.Data
		}
	}
	if err := w.adopt(ctx, head.Head, pages); err != nil {
		return err
	}
	w.known.Store(true)
	return nil
}

// pullPages is the most pages in one answer, so that it fits a frame.
const pullPages = 8

var errNoMember = errors.New("not a live member")

// pageSet serves pages that a peer has sent.
type pageSet map[string][]byte

// Get returns a page, or kv.ErrNotFound.
func (p pageSet) Get(_ context.Context, path string) (kv.Value, error) {
	data, ok := p[path]
	if !ok {
		return kv.Value{}, fmt.Errorf("page %s: %w", path, kv.ErrNotFound)
	}
	return kv.Value{Data: data}, nil
}
