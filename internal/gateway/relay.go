package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
)

const (
	// syncPause is the least time between two questions to a relay, so that one that has nothing to tell yet isn't asked without end.
	syncPause = 100 * time.Millisecond
	// holdSlack is how much longer than the time between two reads a relay holds its answer: reads come late by their own time. A relay
	// that is gone is noticed only then.
	holdSlack = 150 * time.Millisecond
	// syncTimeout bounds a question beyond that, and firstSyncTimeout one that is answered with everything.
	syncTimeout      = 300 * time.Millisecond
	firstSyncTimeout = 2 * time.Second
	// relayAge is how old news may be that spare this entry its own calls to the store: the relay's read, and its answer; or relayShare
	// of the bound for leaving endpoints, whichever is longer.
	relayAge   = 1200 * time.Millisecond
	relayShare = 0.65
	// relayPatience is how long an entry of a site whose store fills many pages waits for a relay before it reads them all itself.
	relayPatience = 1500 * time.Millisecond
	// probePause is how often a relay that failed, or had old news, is asked whether it has new ones: about as often as relays read.
	probePause = 750 * time.Millisecond
	// firstReadSpan is how long an entry that has just become the relay may have old news, for its first read of all pages.
	firstReadSpan = 750 * time.Millisecond
)

// relay is the duty by which one entry of a zone follows the store for the others, so that calls grow with zones, not entries.
//
// A relay holds the answer until it has read something newer, so that news comes at once and nobody asks in vain. An entry counts every
// age from when its question was sent, and of the time since only what the relay says it held the answer, so that one that was held up
// on the way confirms nothing. A relay that fails, or has no news itself, costs one question: then the entry makes its own calls.
type relay struct {
	node *Node

	mu sync.Mutex
	// asOf is when all was read that this entry has by its relay, and spared when that last spared it its own calls.
	asOf   clock.Instant
	spared clock.Instant
	// rested holds when relays that failed, or had old news, are probed next; others are followed meanwhile.
	rested map[string]clock.Instant
	// with is the relay that is followed, and since when.
	with  string
	since clock.Instant
	// lastRun and lastSeen are those of the relay's last answer.
	lastRun  string
	lastSeen uint64

	// published numbers what this entry has read itself, and changed is closed at the next.
	published uint64
	changed   chan struct{}
}

func newRelay(n *Node) *relay {
	return &relay{node: n, rested: make(map[string]clock.Instant), spared: clock.Now(), changed: make(chan struct{})}
}

// maxAge is how old news may be that spare this entry its own calls.
func (r *relay) maxAge() time.Duration {
	return max(relayAge, time.Duration(relayShare*float64(r.node.cfg.MaxLeavingDelay)))
}

// maxHold is how long a relay may hold its answer until it has read something.
func (r *relay) maxHold() time.Duration { return readPeriod(r.node.cfg) + holdSlack }

// readsAll reports whether this entry reads all pages of the store: as the relay of its zone, or since none has told it anything for
// long.
func (r *relay) readsAll(now clock.Instant) bool {
	name := r.first()
	r.mu.Lock()
	defer r.mu.Unlock()
	return name == r.node.cfg.Name || now.Sub(r.spared) > relayPatience
}

// spares reports whether a relay's answer spares this entry its own calls now.
func (r *relay) spares(now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	spares := r.asOf != 0 && now.Sub(r.asOf) < r.maxAge()
	if spares {
		r.spared = now
	}
	return spares
}

func (r *relay) run(ctx context.Context) {
	duty.Every(ctx, syncPause, func(ctx context.Context) {
		name := r.choose()
		if name != "" {
			result := r.sync(ctx, name, r.maxHold())
			r.judge(name, result == synced || result == reading && r.isNew(name) || ctx.Err() != nil)
		}
		for _, name := range r.probes(clock.Now()) {
			r.judge(name, r.sync(ctx, name, 0) == synced)
		}
		r.note(name)
	})
}

// isNew reports whether a relay has been followed for so short a time that it may not have read everything yet.
func (r *relay) isNew(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.with != name || clock.Now().Sub(r.since) < firstReadSpan
}

// judge has a relay rest that is not to be followed now.
func (r *relay) judge(name string, follow bool) {
	_, _, known := r.node.members.peer(name)
	r.mu.Lock()
	defer r.mu.Unlock()
	if follow || !known {
		delete(r.rested, name)
		return
	}
	r.rested[name] = clock.Now().Add(probePause)
}

// probes returns the rested relays that are to be asked again.
func (r *relay) probes(now clock.Instant) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name, next := range r.rested {
		if !now.Before(next) {
			names = append(names, name)
		}
	}
	return names
}

// note logs a change of the relay.
func (r *relay) note(name string) {
	r.mu.Lock()
	before := r.with
	if before != name {
		r.with, r.since = name, clock.Now()
	}
	r.mu.Unlock()
	if before != name {
		// This entry may be the relay now.
		r.node.survey.wake()
		r.node.log.Info(event.RelayChanged, "relay changed", zap.String("relay", name), zap.String("before", before))
	}
}

// choose returns the zone's relay, or empty if that is this entry or nobody.
func (r *relay) choose() string {
	if name := r.first(); name != r.node.cfg.Name {
		return name
	}
	return ""
}

// first returns the first by rank of the zone's strongest entries that haven't failed since they last had news; empty is nobody.
func (r *relay) first() string {
	names := r.node.members.strongest(r.node.cfg.Zone)
	r.mu.Lock()
	kept := names[:0]
	for _, name := range names {
		if _, rested := r.rested[name]; !rested {
			kept = append(kept, name)
		}
	}
	r.mu.Unlock()
	return rank.First("relay", kept)
}

// syncResult is what came of a question to a relay.
type syncResult uint8

const (
	// unsynced relays failed, or have old news.
	unsynced syncResult = iota
	// reading relays have old news, and are reading newer ones.
	reading
	// synced relays told all that is new.
	synced
)

// sync asks a relay what is newer than what is held here.
func (r *relay) sync(ctx context.Context, name string, hold time.Duration) syncResult {
	n := r.node
	network, address, ok := n.members.peer(name)
	if !ok {
		return unsynced
	}
	timeout := hold + syncTimeout
	if !n.discovery.known.Load() {
		timeout = firstSyncTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := clock.Now()
	var news peer.SyncReply
	_, digest, _ := n.members.state()
	r.mu.Lock()
	ask := peer.SyncRequest{Run: r.lastRun, Seen: r.lastSeen, MaxDelay: hold, OperatorRevision: uint64(n.configuration.revision()), SystemKeysDigest: digest}
	r.mu.Unlock()
	n.discovery.describe(&ask)
	if err := network.Call(ctx, name, address, peer.KindSync, ask, &news); err != nil {
		return unsynced
	}
	if !news.Ready {
		// It has just started, and is reading the store.
		return synced
	}
	if news.Age > r.maxAge() {
		if news.ReadsStore {
			return reading
		}
		return unsynced
	}
	// The ages are as of now, or earlier if the answer was held up on the way.
	told := sent.Add(news.Delay)
	n.configuration.hear(told, &news)
	n.discovery.hear(told, &news)
	if news.SystemKeys != nil {
		n.members.take(kv.Revision(news.Revision), fromPeer(news.SystemKeys))
	}
	r.mu.Lock()
	r.lastRun, r.lastSeen = news.Run, news.Seen
	r.asOf = told.Add(-news.Age)
	r.mu.Unlock()
	return synced
}

// publish notes that this entry has read something, and has the answers go out that were held for it.
func (r *relay) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.published++
	close(r.changed)
	r.changed = make(chan struct{})
}

// hold waits until this entry has read something that a peer hasn't seen, at most for as long as the peer wants.
func (r *relay) hold(ctx context.Context, ask *peer.SyncRequest) {
	r.mu.Lock()
	changed, seen := r.changed, ask.Run == r.node.incarnation && ask.Seen == r.published
	r.mu.Unlock()
	if !seen {
		return
	}
	timer := time.NewTimer(min(ask.MaxDelay, r.maxHold()))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// answer tells a peer what is newer here than there.
func (r *relay) answer(ctx context.Context, ask *peer.SyncRequest) peer.SyncReply {
	n := r.node
	asked := clock.Now()
	r.hold(ctx, ask)
	r.mu.Lock()
	seen := r.published
	r.mu.Unlock()
	now := clock.Now()
	news := peer.SyncReply{
		Ready: n.table.Load() != nil && n.discovery.known.Load(), Run: n.incarnation, Seen: seen, Delay: now.Sub(asked), ConfirmAge: n.proof.Age(now),
	}
	news.OperatorRevision, news.OperatorItems, news.Uncertain = n.configuration.since(kv.Revision(ask.OperatorRevision))
	var listAge time.Duration
	news.RegistrationsRevision, news.Changes, listAge = n.discovery.since(now, ask, n.incarnation)
	news.Age = max(listAge, news.ConfirmAge)
	news.ReadsStore = r.readsAll(now) && n.survey.answered.Load()
	revision, digest, items := n.members.state()
	if digest != ask.SystemKeysDigest {
		news.Revision, news.SystemKeys = uint64(revision), toPeer(items)
	}
	return news
}

func toPeer(items []kv.Item) []peer.Item {
	list := make([]peer.Item, len(items))
	for i, item := range items {
		list[i] = peer.Item{Key: item.Key, Data: item.Data, Revision: uint64(item.Revision)}
	}
	return list
}

func fromPeer(items []peer.Item) []kv.Item {
	list := make([]kv.Item, len(items))
	for i, item := range items {
		list[i] = kv.Item{Key: item.Key, Data: item.Data, Revision: kv.Revision(item.Revision)}
	}
	return list
}
