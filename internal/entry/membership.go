package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/member"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
)

// warmBeats is the number of own heartbeats after which the table is taken to be filled.
const warmBeats = 2

// membership is the duty that sends and takes heartbeats.
type membership struct {
	node *Node
	cfg  member.Config
	warm atomic.Bool

	mu      sync.Mutex
	table   *member.Table
	leaving bool
	view    atomic.Pointer[member.View]
}

func newMembership(n *Node, seed uint64) *membership {
	m := &membership{node: n, cfg: member.DefaultConfig(seed)}
	m.table = member.NewTable(m.cfg, member.Info{
		Name: n.cfg.Name, Zone: n.cfg.Zone, Address: n.cfg.Peers, Incarnation: n.incarnation, StartMilli: time.Now().UnixMilli(),
	})
	for _, s := range n.cfg.Seeds {
		m.table.AddCandidate(member.Info{Name: s.Name, Zone: s.Zone, Address: s.Address})
	}
	m.view.Store(m.table.View(time.Now()))
	return m
}

func (m *membership) run(ctx context.Context) {
	m.beat(ctx)
	beats := 0
	duty.Every(ctx, m.cfg.Period, func(ctx context.Context) {
		m.beat(ctx)
		beats++
		if beats >= warmBeats && !m.warm.Swap(true) {
			m.node.log.Info(event.EntryReady, "membership known", zap.Int("members", len(m.current().All)))
		}
	})
}

// beat sends a heartbeat; an instance that can't be reached is noted at once.
func (m *membership) beat(ctx context.Context) {
	status := member.Status{Revision: uint64(m.node.follower.Current().Revision), PlatformDown: m.node.platform.BreakerOpen()}
	m.mu.Lock()
	status.Leaving = m.leaving
	round := m.table.Tick(time.Now(), status)
	m.mu.Unlock()
	m.refresh()
	sendCtx, cancel := context.WithTimeout(ctx, m.cfg.Period)
	defer cancel()
	var wg sync.WaitGroup
	m.send(sendCtx, &wg, &round.ZoneHeartbeat, round.ZoneTargets)
	m.send(sendCtx, &wg, &round.RelayHeartbeat, round.RelayTargets)
	wg.Wait()
}

func (m *membership) send(ctx context.Context, wg *sync.WaitGroup, beat *member.Heartbeat, targets []member.Target) {
	for _, t := range targets {
		wg.Go(func() {
			if err := m.node.network.Send(ctx, t.Name, t.Address, peer.KindHeartbeat, peer.Heartbeat{Heartbeat: *beat}); err != nil {
				m.lost(t.Name, "")
			}
		})
	}
}

func (m *membership) heard(b *member.Heartbeat) {
	m.mu.Lock()
	news := m.table.Receive(time.Now(), b)
	m.mu.Unlock()
	if len(news.UnknownIDs) > 0 {
		go m.want(b.From, news.UnknownIDs)
	}
	if news.SenderUnknown {
		m.refresh()
		go m.tell(b.From.Name, nil)
	}
	m.node.watcher.hear(b.From.Revision, b.From.Name)
}

// want asks a peer about members of which it has sent counts only.
func (m *membership) want(from member.Info, ids []uint32) {
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.Period)
	defer cancel()
	// The peer's next heartbeat gives another chance.
	_ = m.node.network.Send(ctx, from.Name, from.Address, peer.KindMemberRequest, peer.MemberRequest{IDs: ids})
}

// tell answers a peer that wants to know members.
func (m *membership) tell(to string, ids []uint32) {
	address, ok := m.address(to)
	if !ok {
		return
	}
	m.mu.Lock()
	beat := m.table.Reply(ids)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.Period)
	defer cancel()
	_ = m.node.network.Send(ctx, to, address, peer.KindHeartbeat, peer.Heartbeat{Heartbeat: beat})
}

func (m *membership) lost(name, incarnation string) {
	m.mu.Lock()
	m.table.MarkDisconnected(name, incarnation)
	m.mu.Unlock()
	m.refresh()
}

func (m *membership) propose(info member.Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.AddCandidate(info)
}

// leave tells the peers at once that this instance takes no duties any more.
func (m *membership) leave() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.beat(context.Background())
}

// refresh freezes a new view, and moves grants and logs when members came or went.
func (m *membership) refresh() {
	m.mu.Lock()
	next := m.table.View(time.Now())
	m.mu.Unlock()
	old := m.view.Swap(next)
	if !m.changed(old, next) {
		return
	}
	m.node.metrics.Members.Set(float64(len(next.All)))
	m.node.seeker.ReassignGrants()
}

func (m *membership) changed(old, next *member.View) bool {
	changed := len(old.All) != len(next.All)
	for name, info := range next.Members {
		if old.Members[name].Incarnation != info.Incarnation {
			changed = true
			m.node.log.Info(event.MemberJoined, "member joined", zap.String("member", name), zap.String("incarnation", info.Incarnation))
		}
	}
	for name := range old.Members {
		if _, ok := next.Members[name]; !ok {
			changed = true
			m.node.log.Info(event.MemberLost, "member lost", zap.String("member", name))
		}
	}
	return changed
}

func (m *membership) current() *member.View { return m.view.Load() }

// address returns where a live member is reached.
func (m *membership) address(name string) (string, bool) {
	info, ok := m.current().Members[name]
	return info.Address, ok
}
