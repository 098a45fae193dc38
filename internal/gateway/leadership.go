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
	// leaderTTL is the lease time of the leader: short, so that a failed leader is replaced soon.
	leaderTTL = 1500 * time.Millisecond
	// leaseRenewPeriod allows two lost renewals before the lease expires.
	leaseRenewPeriod = 400 * time.Millisecond
	// electionPeriod is the interval at which an instance checks whether there is a leader.
	electionPeriod = 100 * time.Millisecond
	// candidateStep staggers the candidates' attempts by rank.
	candidateStep = 200 * time.Millisecond
	// maxCandidates bounds the stagger.
	maxCandidates = 8
	// electionRetryPause is the pause after a failed attempt to become the leader.
	electionRetryPause = time.Second
)

// leaderRecord is the value of the leader's key.
type leaderRecord struct {
	Name string `msgpack:"name"`
}

// errReplaced is the reason logged when another instance has become the leader.
var errReplaced = errors.New("another instance has become the leader")

// leadership is the task that acquires and holds the lease of the leader: the one instance that places requests, decides what cache
// stores retain and sends weight orders.
type leadership struct {
	node *Node

	vacantSince clock.Instant
	nextAttempt clock.Instant
	// nextRenewal is when the lease is renewed next; uncertain is true if the lease may have expired.
	nextRenewal clock.Instant
	uncertain   bool

	mu        sync.Mutex
	lease     kv.LeaseID
	fence     uint64
	renewedAt clock.Instant
	// uncontested is true if no other instance can have acted as leader directly before this one.
	uncontested bool
}

// holdsLease reports whether this instance holds a valid lease, counted from when its last renewal was sent.
func (t *leadership) holdsLease(now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease != 0 && now.Sub(t.renewedAt) < leaderTTL
}

// mayStillLead reports whether this instance became the leader and is not known to have been replaced, though its lease may have expired.
func (t *leadership) mayStillLead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease != 0
}

// term returns the fencing number, the end of the lease, and whether no other instance can have led directly before.
func (t *leadership) term() (fence uint64, until clock.Instant, uncontested bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fence, t.renewedAt.Add(leaderTTL), t.uncontested
}

func (t *leadership) run(ctx context.Context) {
	duty.Every(ctx, electionPeriod, t.step)
	t.release()
}

func (t *leadership) step(ctx context.Context) {
	now := clock.Now()
	t.mu.Lock()
	lease := t.lease
	t.mu.Unlock()
	if lease != 0 {
		if leader, _ := t.node.members.leader(); t.uncertain && leader != "" && leader != t.node.cfg.Name {
			t.stepDown(errReplaced)
			return
		}
		if !now.Before(t.nextRenewal) {
			t.nextRenewal = now.Add(leaseRenewPeriod)
			t.renew(ctx, lease)
		}
		return
	}
	if leader, known := t.node.members.leader(); leader != "" || !known || t.node.stopping.Load() || !t.node.ready.Load() {
		t.vacantSince = 0
		return
	}
	if t.vacantSince == 0 {
		t.vacantSince = now
		t.nextAttempt = now.Add(time.Duration(t.candidateRank()) * candidateStep)
	}
	if !now.Before(t.nextAttempt) {
		t.nextAttempt = now.Add(electionRetryPause)
		t.campaign(ctx)
	}
}

// candidateRank returns this instance's position among the preferred leaders, or maxCandidates if it isn't one of them.
func (t *leadership) candidateRank() int {
	for i, name := range rank.Top("lead", t.node.members.leaderCandidates(), maxCandidates) {
		if name == t.node.cfg.Name {
			return i
		}
	}
	return maxCandidates
}

// renew renews the lease. While the store is unreachable, this instance does not act as the leader but keeps the lease: the store retains
// leases across its outages, so if the lease is still valid, no other instance has led. A new leader would have to rebuild all that this
// one knows.
func (t *leadership) renew(ctx context.Context, lease kv.LeaseID) {
	ctx, cancel := context.WithTimeout(ctx, leaseRenewPeriod)
	defer cancel()
	sent := clock.Now()
	err := t.node.deps.Store.Renew(ctx, lease)
	t.node.countStoreCall("renew_lead", err)
	switch {
	case err == nil:
		t.mu.Lock()
		t.renewedAt = sent
		t.mu.Unlock()
		t.setUncertain(false, nil)
	case errors.Is(err, kv.ErrLeaseEnded):
		t.stepDown(err)
	case !t.holdsLease(clock.Now()):
		t.setUncertain(true, err)
	}
}

// setUncertain records whether the lease may have expired, and logs a change.
func (t *leadership) setUncertain(uncertain bool, err error) {
	if t.uncertain == uncertain {
		return
	}
	t.uncertain = uncertain
	t.mu.Lock()
	fence := t.fence
	t.mu.Unlock()
	t.node.log.Warn(event.LeaderChanged, "leader lease uncertain", zap.Bool("doubt", uncertain), zap.Uint64("fence", fence), zap.Error(err))
}

func (t *leadership) stepDown(err error) {
	t.mu.Lock()
	fence := t.fence
	t.lease = 0
	t.mu.Unlock()
	t.uncertain = false
	t.node.log.Warn(event.LeaderChanged, "leadership lost", zap.Uint64("fence", fence), zap.Error(err))
}

// release ends the lease so that another instance can take over at once.
func (t *leadership) release() {
	t.mu.Lock()
	lease, fence := t.lease, t.fence
	t.lease = 0
	t.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaseReleaseTimeout)
	defer cancel()
	err := t.node.deps.Store.End(ctx, lease)
	t.node.countStoreCall("end_lead", err)
	t.node.log.Info(event.LeaderChanged, "leadership released", zap.Uint64("fence", fence), zap.Error(err))
}

// campaign tries to become the leader. The revision of the write is the fencing number, so numbers increase from leader to leader.
func (t *leadership) campaign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeReadTimeout)
	defer cancel()
	name, err := msgpack.Marshal(leaderRecord{Name: t.node.cfg.Name})
	if err != nil {
		t.node.log.Warn(event.LeaderChanged, "failed to encode leader record", zap.Error(err))
		return
	}
	store := t.node.deps.Store
	previous, revision := t.node.members.lastLeader()
	sent := clock.Now()
	lease, err := store.Grant(ctx, leaderTTL)
	t.node.countStoreCall("grant_lead", err)
	if err != nil {
		t.node.log.Info(event.LeaderChanged, "leadership not acquired", zap.Error(err))
		return
	}
	fence, err := store.Commit(ctx, kv.Transaction{
		Conditions: []kv.Condition{{Key: leaderKey}, {Key: lastLeaderKey, Revision: revision}},
		Writes:     []kv.Write{{Key: leaderKey, Data: name, Lease: lease}, {Key: lastLeaderKey, Data: name}},
	})
	t.node.countStoreCall("take_lead", err)
	if err != nil {
		// If the write was applied after all, its lease expires without this instance having acted as the leader.
		t.node.log.Info(event.LeaderChanged, "leadership not acquired", zap.Error(err))
		t.node.poller.wake()
		return
	}
	t.mu.Lock()
	t.lease, t.fence, t.renewedAt = lease, uint64(fence), sent
	t.uncontested = revision == 0 || previous == t.node.cfg.Name
	t.mu.Unlock()
	t.node.log.Info(event.LeaderChanged, "leadership acquired", zap.Uint64("fence", uint64(fence)), zap.String("before", previous))
	t.node.poller.wake()
	t.node.rollout.wake()
}
