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
	"gypsumvale/internal/protocol/peer"
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
	// leaderSubject is the subject for which leaders are ranked.
	leaderSubject = "lead"
	// electionRetryPause is the pause after a failed attempt to become the leader.
	electionRetryPause = time.Second
)

// leaderRecord is the value of the leader's key.
type leaderRecord struct {
	Name string `msgpack:"name"`
	// HandOvers is the number of hand-overs in a row with which the leader's term began.
	HandOvers int `msgpack:"hand_overs,omitempty"`
	// Era is the store's era in which the term began.
	Era uint64 `msgpack:"era,omitempty"`
}

// errReplaced is the reason logged when another instance has become the leader.
var errReplaced = errors.New("another instance has become the leader")

// leadership is the task that acquires and holds the lease of the leader: the one instance that places requests, decides what cache
// stores retain and sends weight orders.
type leadership struct {
	node *Node

	// vacantSince is since when no leader's lease can be valid, as far as known here, or zero. It may be in the future.
	vacantSince clock.Instant
	nextAttempt clock.Instant
	// misnamedSince is since when the store names this instance as the leader though it doesn't lead.
	misnamedSince clock.Instant
	// nextRenewal is when the lease is renewed next; uncertain is true if the lease may have expired.
	nextRenewal clock.Instant
	uncertain   bool

	mu        sync.Mutex
	lease     kv.Lease
	fence     uint64
	renewedAt clock.Instant
	// soleFrom is from when on no leader of an earlier term can act.
	soleFrom clock.Instant
	// successor is the instance to which the lease is to be handed over, or empty.
	successor string
	// invitedUntil is when the invitation of a leader that has handed over lapses, and handOvers the number of hand-overs that it named.
	invitedUntil clock.Instant
	handOvers    int
}

// holdsLease reports whether this instance is the only leader: it holds a valid lease, counted from when its last renewal was sent, and no
// earlier lease can be valid.
func (l *leadership) holdsLease(now clock.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.lease.IsZero() && now.Sub(l.renewedAt) < leaderTTL && !now.Before(l.soleFrom)
}

// mayStillLead reports whether this instance became the leader and is not known to have been replaced, though its lease may have expired.
func (l *leadership) mayStillLead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.lease.IsZero()
}

// term returns the fencing number, from when on this instance is the only leader, and the end of the lease.
func (l *leadership) term() (fence uint64, since, until clock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.soleFrom, l.renewedAt.Add(leaderTTL)
}

// hasLedFor reports whether this instance has been the only leader for some time.
func (l *leadership) hasLedFor(now clock.Instant, d time.Duration) bool {
	_, since, _ := l.term()
	return l.holdsLease(now) && now.Sub(since) >= d
}

func (l *leadership) run(ctx context.Context) {
	duty.Every(ctx, electionPeriod, l.step)
	l.release()
}

func (l *leadership) step(ctx context.Context) {
	now := clock.Now()
	l.mu.Lock()
	lease := l.lease
	l.mu.Unlock()
	if !lease.IsZero() {
		if successor := l.takeSuccessor(); successor != "" && l.holdsLease(now) {
			l.handOver(ctx, lease, successor)
			return
		}
		if leader, _ := l.node.members.leader(); l.uncertain && leader != "" && leader != l.node.cfg.Name {
			l.stepDown(errReplaced)
			return
		}
		if !now.Before(l.nextRenewal) {
			l.nextRenewal = now.Add(leaseRenewPeriod)
			l.renew(ctx, lease)
		}
		return
	}
	leader, known := l.node.members.leader()
	if !known || l.node.stopping.Load() || !l.node.ready.Load() {
		l.vacantSince = 0
		return
	}
	if handOvers, invited := l.takeInvitation(now); invited {
		// The last leader has ended its lease, though the read of the store that shows so is still to come.
		l.nextAttempt = now.Add(electionRetryPause)
		l.campaign(ctx, handOvers)
		return
	}
	if leader != l.node.cfg.Name {
		l.misnamedSince = 0
	}
	if leader != "" {
		l.vacantSince = 0
		if leader == l.node.cfg.Name {
			l.removeMisnamed(ctx, now)
		}
		return
	}
	if lostUntil := l.node.members.lostLeaseEnd(); l.vacantSince == 0 || l.vacantSince < lostUntil {
		l.vacantSince = max(now, lostUntil)
		l.nextAttempt = l.vacantSince.Add(time.Duration(l.candidateRank()) * candidateStep)
		if l.node.handOver.standsBack(now) {
			l.nextAttempt = l.nextAttempt.Add(leaderTTL)
		}
	}
	if !now.Before(l.nextAttempt) {
		l.nextAttempt = now.Add(electionRetryPause)
		previous, _ := l.node.members.lastLeader()
		l.campaign(ctx, previous.HandOvers)
	}
}

// removeMisnamed removes the leader's key if it names this instance, which doesn't lead, for longer than the leader's lease lasts. A write that
// crosses a restoration of the store may get another instance's lease, which has the same number and doesn't end.
func (l *leadership) removeMisnamed(ctx context.Context, now clock.Instant) {
	if l.misnamedSince == 0 {
		l.misnamedSince = now
	}
	if now.Sub(l.misnamedSince) < leaderTTL+leaseRenewPeriod {
		return
	}
	l.misnamedSince = now
	ctx, cancel := context.WithTimeout(ctx, leaseRenewPeriod)
	defer cancel()
	_, err := l.node.deps.Store.Commit(ctx, kv.Transaction{
		Conditions: []kv.Condition{{Key: leaderKey, Revision: l.node.members.leaderRecordRevision()}}, Removals: []string{leaderKey},
	})
	l.node.countStoreCall("remove_lead", err)
	l.node.log.Warn(event.LeaderChanged, "removed the leader key, which named this instance though it does not lead", zap.Error(err))
	l.node.poller.wake()
}

// requestHandOver makes the next step hand the lease over.
func (l *leadership) requestHandOver(successor string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.successor = successor
}

func (l *leadership) takeSuccessor() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	successor := l.successor
	l.successor = ""
	return successor
}

// invite makes the next step try to become the leader, since the last one has ended its lease in favor of this instance.
func (l *leadership) invite(from string, handOvers int) {
	l.node.log.Info(event.LeaderChanged, "leadership offered", zap.String("from", from), zap.Int("hand_overs", handOvers))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.invitedUntil, l.handOvers = clock.Now().Add(leaderTTL), handOvers
}

func (l *leadership) takeInvitation(now clock.Instant) (handOvers int, invited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	invited = now.Before(l.invitedUntil)
	l.invitedUntil = 0
	return l.handOvers, invited
}

// handOver ends the lease in favor of a successor. Nothing is done in the lease's name from before its end on. If the store rejects that, the
// lease may still be valid, and the next renewal decides whether this instance goes on leading. If the store doesn't answer, it may end the
// lease at any later time, whatever is renewed until then, so that this instance doesn't lead under it any more.
func (l *leadership) handOver(ctx context.Context, lease kv.Lease, successor string) {
	l.mu.Lock()
	l.renewedAt = clock.Now().Add(-leaderTTL)
	fence := l.fence
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, leaseRenewPeriod)
	defer cancel()
	err := l.node.deps.Store.End(ctx, lease)
	l.node.countStoreCall("end_lead", err)
	if errors.Is(err, kv.ErrUnavailable) {
		l.stepDown(err)
		return
	}
	if err != nil {
		l.setUncertain(true, err)
		l.nextRenewal = 0
		return
	}
	l.mu.Lock()
	l.lease = kv.Lease{}
	l.mu.Unlock()
	l.uncertain = false
	l.vacantSince = 0
	handOvers := l.node.handOver.yield(clock.Now())
	l.node.log.Warn(event.LeaderChanged, "leadership handed over", zap.Uint64("fence", fence), zap.String("successor", successor),
		zap.Int("hand_overs", handOvers))
	l.node.wg.Go(func() { l.node.notify(successor, peer.KindHandOver, peer.HandOver{Count: handOvers}) })
	l.node.poller.wake()
}

// candidateRank returns this instance's position among the preferred leaders, or maxCandidates if it isn't one of them.
func (l *leadership) candidateRank() int {
	for i, name := range rank.Top(leaderSubject, l.node.members.leaderCandidates(), maxCandidates) {
		if name == l.node.cfg.Name {
			return i
		}
	}
	return maxCandidates
}

// renew renews the lease. While the store is unreachable, this instance does not act as the leader but keeps the lease: the store retains
// leases across its outages, so if the lease is still valid, no other instance has led. A new leader would have to rebuild all that this
// one knows.
func (l *leadership) renew(ctx context.Context, lease kv.Lease) {
	ctx, cancel := context.WithTimeout(ctx, leaseRenewPeriod)
	defer cancel()
	sent := clock.Now()
	err := l.node.deps.Store.Renew(ctx, lease)
	l.node.countStoreCall("renew_lead", err)
	switch {
	case err == nil:
		l.mu.Lock()
		l.renewedAt = sent
		l.mu.Unlock()
		l.setUncertain(false, nil)
	case errors.Is(err, kv.ErrLeaseEnded):
		if !l.keepAfterRestoration(ctx, lease) {
			l.stepDown(err)
		}
	case !l.holdsLease(clock.Now()):
		l.setUncertain(true, err)
	}
}

// keepAfterRestoration keeps leading if the store was restored from a copy that has this instance as the leader, under the same lease. The
// next step renews the lease.
//
// If the lease had not ended before, no other instance has led since the copy was made, and the term goes on. The copy alone is no proof of
// that: once the lease has ended, another instance may have led, and the store has lost its term. Then a new term begins.
func (l *leadership) keepAfterRestoration(ctx context.Context, lease kv.Lease) bool {
	item, err := l.node.deps.Store.Get(ctx, leaderKey)
	l.node.countStoreCall("read_lead", err)
	if err != nil || item.Lease.Number != lease.Number || item.Lease.Era <= lease.Era ||
		l.node.members.leaderOf(item).Name != l.node.cfg.Name {
		return false
	}
	if item.Lease.Era != lease.Era+1 || !l.holdsLease(clock.Now()) {
		return l.renewTerm(ctx, item)
	}
	l.mu.Lock()
	l.lease = item.Lease
	fence := l.fence
	l.mu.Unlock()
	l.nextRenewal = 0
	l.node.log.Info(event.LeaderChanged, "leadership kept in the restored store", zap.Uint64("fence", fence), zap.Uint64("era", item.Lease.Era),
		l.renewedField())
	return true
}

// renewTerm begins a new term in a restored store whose copy has this instance as the leader, instead of an election, after which another
// instance would have to rebuild what this one knows. Leases that the store has lost end first. The record of the last leader stays that of
// an earlier era, so that candidates outwait these leases as well.
func (l *leadership) renewTerm(ctx context.Context, item kv.Item) bool {
	sent := clock.Now()
	lease, err := l.node.deps.Store.Grant(ctx, leaderTTL)
	l.node.countStoreCall("grant_lead", err)
	if err != nil || lease.Era != item.Lease.Era {
		return false
	}
	fence, err := l.node.deps.Store.Commit(ctx, kv.Transaction{
		Conditions: []kv.Condition{{Key: leaderKey, Revision: item.Revision}},
		Writes:     []kv.Write{{Key: leaderKey, Data: item.Data, Lease: lease}},
	})
	l.node.countStoreCall("take_lead", err)
	if err != nil {
		return false
	}
	renewed := l.renewedField()
	l.mu.Lock()
	l.lease, l.fence, l.renewedAt, l.soleFrom = lease, uint64(fence), sent, clock.Now().Add(leaderTTL)
	l.successor = ""
	l.mu.Unlock()
	l.uncertain = false
	l.node.log.Warn(event.LeaderChanged, "leadership renewed in the restored store", zap.Uint64("fence", uint64(fence)),
		zap.Uint64("era", lease.Era), renewed)
	l.node.poller.wake()
	return true
}

// setUncertain records whether the lease may have expired, and logs a change.
func (l *leadership) setUncertain(uncertain bool, err error) {
	if l.uncertain == uncertain {
		return
	}
	l.uncertain = uncertain
	l.mu.Lock()
	fence := l.fence
	l.mu.Unlock()
	l.node.log.Warn(event.LeaderChanged, "leader lease uncertain", zap.Bool("doubt", uncertain), zap.Uint64("fence", fence), l.renewedField(),
		zap.Error(err))
}

// renewedField is the log field that tells how long ago the last successful renewal was sent.
func (l *leadership) renewedField() zap.Field {
	l.mu.Lock()
	defer l.mu.Unlock()
	return zap.Int64("renewed_ms", clock.Now().Sub(l.renewedAt).Milliseconds())
}

func (l *leadership) stepDown(err error) {
	l.mu.Lock()
	fence := l.fence
	l.lease = kv.Lease{}
	l.mu.Unlock()
	l.uncertain = false
	l.node.log.Warn(event.LeaderChanged, "leadership lost", zap.Uint64("fence", fence), l.renewedField(), zap.Error(err))
}

// release ends the lease so that another instance can take over at once.
func (l *leadership) release() {
	l.mu.Lock()
	lease, fence := l.lease, l.fence
	l.lease = kv.Lease{}
	l.mu.Unlock()
	if lease.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaseReleaseTimeout)
	defer cancel()
	err := l.node.deps.Store.End(ctx, lease)
	l.node.countStoreCall("end_lead", err)
	l.node.log.Info(event.LeaderChanged, "leadership released", zap.Uint64("fence", fence), zap.Error(err))
}

// campaign tries to become the leader, after a number of hand-overs in a row. The revision of the write is the fencing number, so numbers
// increase from leader to leader.
func (l *leadership) campaign(ctx context.Context, handOvers int) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeReadTimeout)
	defer cancel()
	store := l.node.deps.Store
	previous, revision := l.node.members.lastLeader()
	sent := clock.Now()
	lease, err := store.Grant(ctx, leaderTTL)
	l.node.countStoreCall("grant_lead", err)
	if err != nil {
		l.node.log.Info(event.LeaderChanged, "leadership not acquired", zap.Error(err))
		return
	}
	if lease.Era != l.node.members.readEra() {
		l.node.log.Info(event.LeaderChanged, "leadership not acquired", zap.Error(errRestored))
		l.node.poller.wake()
		return
	}
	name, err := msgpack.Marshal(leaderRecord{Name: l.node.cfg.Name, HandOvers: handOvers, Era: lease.Era})
	if err != nil {
		l.node.log.Warn(event.LeaderChanged, "failed to encode leader record", zap.Error(err))
		return
	}
	fence, err := store.Commit(ctx, kv.Transaction{
		Conditions: []kv.Condition{{Key: leaderKey}, {Key: lastLeaderKey, Revision: revision}},
		Writes:     []kv.Write{{Key: leaderKey, Data: name, Lease: lease}, {Key: lastLeaderKey, Data: name}},
	})
	l.node.countStoreCall("take_lead", err)
	if err != nil {
		// If the write was applied after all, its lease expires without this instance having acted as the leader.
		l.node.log.Info(event.LeaderChanged, "leadership not acquired", zap.Error(err))
		l.node.poller.wake()
		return
	}
	l.mu.Lock()
	l.lease, l.fence, l.renewedAt, l.soleFrom = lease, uint64(fence), sent, clock.Now()
	l.successor = ""
	l.mu.Unlock()
	l.node.handOver.beginTerm(sent, handOvers)
	l.node.log.Info(event.LeaderChanged, "leadership acquired", zap.Uint64("fence", uint64(fence)), zap.String("before", previous.Name),
		zap.Int("hand_overs", handOvers))
	l.node.poller.wake()
	l.node.rollout.wake()
}
