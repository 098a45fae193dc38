package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
)

const (
	// leadTTL is the lease of the leader: short, so that a dead one is followed soon.
	leadTTL = 1500 * time.Millisecond
	// renewPeriod leaves time for two lost renewals.
	renewPeriod = 400 * time.Millisecond
	// leadPeriod is how often an instance looks whether there is a leader.
	leadPeriod = 100 * time.Millisecond
	// candidateStep spreads the instances that try to become the leader, by rank.
	candidateStep = 200 * time.Millisecond
	// maxCandidates bounds the spread.
	maxCandidates = 8
	// retakePause is the pause after a try in vain.
	retakePause = time.Second
)

// leaderName is the value of the leader's key.
type leaderName struct {
	Name string `msgpack:"name"`
}

// errOtherLeads says that another instance has become the leader.
var errOtherLeads = errors.New("another instance leads")

// tenure is the duty that holds, or tries to take, the lease of the one instance that places requests, decides what stores keep
// and gives weight orders.
type tenure struct {
	node *Node

	vacant  clock.Instant
	nextTry clock.Instant
	// nextRenewal is when the lease is renewed next, and doubt says that it may have ended.
	nextRenewal clock.Instant
	doubt       bool

	mu      sync.Mutex
	lease   kv.LeaseID
	fence   uint64
	renewed clock.Instant
	// alone says that no other instance can have acted as leader just before.
	alone bool
}

// held reports whether this instance leads; the lease counts from when its last renewal was sent.
func (t *tenure) held(now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease != 0 && now.Sub(t.renewed) < leadTTL
}

// leads reports whether this instance has led and nobody is known to have followed, though its lease may have ended.
func (t *tenure) leads() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease != 0
}

// term returns the fencing number and the lease's end, and whether no other instance led just before.
func (t *tenure) term() (fence uint64, until clock.Instant, alone bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fence, t.renewed.Add(leadTTL), t.alone
}

func (t *tenure) run(ctx context.Context) {
	duty.Every(ctx, leadPeriod, t.step)
	t.release()
}

func (t *tenure) step(ctx context.Context) {
	now := clock.Now()
	t.mu.Lock()
	lease := t.lease
	t.mu.Unlock()
	if lease != 0 {
		if leader, _ := t.node.members.leader(); t.doubt && leader != "" && leader != t.node.cfg.Name {
			t.lose(errOtherLeads)
			return
		}
		if !now.Before(t.nextRenewal) {
			t.nextRenewal = now.Add(renewPeriod)
			t.renew(ctx, lease)
		}
		return
	}
	if leader, known := t.node.members.leader(); leader != "" || !known || t.node.stopping.Load() || !t.node.ready.Load() {
		t.vacant = 0
		return
	}
	if t.vacant == 0 {
		t.vacant = now
		t.nextTry = now.Add(time.Duration(t.place()) * candidateStep)
	}
	if !now.Before(t.nextTry) {
		t.nextTry = now.Add(retakePause)
		t.take(ctx)
	}
}

// place returns this instance's place among those that should lead.
func (t *tenure) place() int {
	for i, name := range rank.Top("lead", t.node.members.candidates(), maxCandidates) {
		if name == t.node.cfg.Name {
			return i
		}
	}
	return maxCandidates
}

// renew renews the lease. While the store is away nothing is done in the lead's name, but the lease isn't given up: the store keeps leases
// over its outages, and if this one still stands nobody else has led, and the new leader would have to learn anew what this one knows.
func (t *tenure) renew(ctx context.Context, lease kv.LeaseID) {
	ctx, cancel := context.WithTimeout(ctx, renewPeriod)
	defer cancel()
	sent := clock.Now()
	err := t.node.outside.Store.Renew(ctx, lease)
	t.node.countCall("renew_lead", err)
	switch {
	case err == nil:
		t.mu.Lock()
		t.renewed = sent
		t.mu.Unlock()
		t.setDoubt(false, nil)
	case errors.Is(err, kv.ErrLeaseEnded):
		t.lose(err)
	case !t.held(clock.Now()):
		t.setDoubt(true, err)
	}
}

// setDoubt notes whether the lease may have ended.
func (t *tenure) setDoubt(doubt bool, err error) {
	if t.doubt == doubt {
		return
	}
	t.doubt = doubt
	t.mu.Lock()
	fence := t.fence
	t.mu.Unlock()
	t.node.log.Warn(event.LeaderChanged, "lead in doubt", zap.Bool("doubt", doubt), zap.Uint64("fence", fence), zap.Error(err))
}

func (t *tenure) lose(err error) {
	t.mu.Lock()
	fence := t.fence
	t.lease = 0
	t.mu.Unlock()
	t.doubt = false
	t.node.log.Warn(event.LeaderChanged, "lead lost", zap.Uint64("fence", fence), zap.Error(err))
}

// release ends the lease so that another instance can follow at once.
func (t *tenure) release() {
	t.mu.Lock()
	lease, fence := t.lease, t.fence
	t.lease = 0
	t.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), goodbyeTimeout)
	defer cancel()
	err := t.node.outside.Store.End(ctx, lease)
	t.node.countCall("end_lead", err)
	t.node.log.Info(event.LeaderChanged, "lead given up", zap.Uint64("fence", fence), zap.Error(err))
}

// take tries to become the leader. The revision of the write is the fencing number, so numbers rise from leader to leader.
func (t *tenure) take(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*readTimeout)
	defer cancel()
	name, err := msgpack.Marshal(leaderName{Name: t.node.cfg.Name})
	if err != nil {
		t.node.log.Warn(event.LeaderChanged, "leader's name can't be encoded", zap.Error(err))
		return
	}
	store := t.node.outside.Store
	last, revision := t.node.members.lastLeader()
	sent := clock.Now()
	lease, err := store.Grant(ctx, leadTTL)
	t.node.countCall("grant_lead", err)
	if err != nil {
		t.node.log.Info(event.LeaderChanged, "lead not taken", zap.Error(err))
		return
	}
	fence, err := store.Commit(ctx, kv.Transaction{
		Conditions: []kv.Condition{{Key: leadKey}, {Key: lastLeadKey, Revision: revision}},
		Writes:     []kv.Write{{Key: leadKey, Data: name, Lease: lease}, {Key: lastLeadKey, Data: name}},
	})
	t.node.countCall("take_lead", err)
	if err != nil {
		// If the write took place after all, its lease lapses without this instance having acted.
		t.node.log.Info(event.LeaderChanged, "lead not taken", zap.Error(err))
		t.node.survey.wake()
		return
	}
	t.mu.Lock()
	t.lease, t.fence, t.renewed = lease, uint64(fence), sent
	t.alone = revision == 0 || last == t.node.cfg.Name
	t.mu.Unlock()
	t.node.log.Info(event.LeaderChanged, "lead taken", zap.Uint64("fence", uint64(fence)), zap.String("before", last))
	t.node.survey.wake()
	t.node.weights.wake()
}
