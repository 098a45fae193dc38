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

// warmupHeartbeats is the number of own heartbeats after which the member table is considered complete.
const warmupHeartbeats = 2

// membership sends and receives heartbeats and maintains the table of live entry instances.
type membership struct {
	node     *Node
	cfg      member.Config
	warmedUp atomic.Bool

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
	m.sendHeartbeats(ctx)
	sent := 0
	duty.Every(ctx, m.cfg.Period, func(ctx context.Context) {
		m.sendHeartbeats(ctx)
		sent++
		if sent >= warmupHeartbeats && !m.warmedUp.Swap(true) {
			m.node.log.Info(event.EntryReady, "membership table complete", zap.Int("members", len(m.current().All)))
		}
	})
}

// sendHeartbeats sends one period's heartbeats. An instance that can't be reached is marked as disconnected at once.
func (m *membership) sendHeartbeats(ctx context.Context) {
	status := member.Status{Revision: uint64(m.node.follower.Current().Revision), PlatformDown: m.node.platform.BreakerOpen()}
	m.mu.Lock()
	status.Leaving = m.leaving
	heartbeats := m.table.Tick(time.Now(), status)
	m.mu.Unlock()
	m.refreshView()
	sendCtx, cancel := context.WithTimeout(ctx, m.cfg.Period)
	defer cancel()
	var wg sync.WaitGroup
	m.send(sendCtx, &wg, &heartbeats.ZoneHeartbeat, heartbeats.ZoneTargets)
	m.send(sendCtx, &wg, &heartbeats.RelayHeartbeat, heartbeats.RelayTargets)
	wg.Wait()
}

func (m *membership) send(ctx context.Context, wg *sync.WaitGroup, heartbeat *member.Heartbeat, targets []member.Target) {
	for _, t := range targets {
		wg.Go(func() {
			if err := m.node.network.Send(ctx, t.Name, t.Address, peer.KindHeartbeat, peer.Heartbeat{Heartbeat: *heartbeat}); err != nil {
				m.markDisconnected(t.Name, "")
			}
		})
	}
}

func (m *membership) receive(h *member.Heartbeat) {
	m.mu.Lock()
	updates := m.table.Receive(time.Now(), h)
	m.mu.Unlock()
	if len(updates.UnknownIDs) > 0 {
		go m.want(h.From, updates.UnknownIDs)
	}
	if updates.SenderUnknown {
		m.refreshView()
		go m.sendInfo(h.From.Name, nil)
	}
	m.node.watcher.onRevision(h.From.Revision, h.From.Name)
}

// want requests from a peer the Infos of members of which it has sent only Counts.
func (m *membership) want(from member.Info, ids []uint32) {
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.Period)
	defer cancel()
	// A lost request is repeated after the peer's next heartbeat.
	_ = m.node.network.Send(ctx, from.Name, from.Address, peer.KindMemberRequest, peer.MemberRequest{IDs: ids})
}

// sendInfo sends a peer the information on this instance and on the members that it has requested.
func (m *membership) sendInfo(to string, ids []uint32) {
	address, ok := m.address(to)
	if !ok {
		return
	}
	m.mu.Lock()
	heartbeat := m.table.Reply(ids)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.Period)
	defer cancel()
	_ = m.node.network.Send(ctx, to, address, peer.KindHeartbeat, peer.Heartbeat{Heartbeat: heartbeat})
}

func (m *membership) markDisconnected(name, incarnation string) {
	m.mu.Lock()
	m.table.MarkDisconnected(name, incarnation)
	m.mu.Unlock()
	m.refreshView()
}

func (m *membership) addCandidate(info member.Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.AddCandidate(info)
}

// leave notifies the peers at once that this instance no longer takes duties, such as owning groups.
func (m *membership) leave() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.sendHeartbeats(context.Background())
}

// refreshView publishes a new view of the table. If members have joined or been lost, it reports held grants to their groups' new
// owners.
func (m *membership) refreshView() {
	m.mu.Lock()
	next := m.table.View(time.Now())
	m.mu.Unlock()
	old := m.view.Swap(next)
	if !m.logChanges(old, next) {
		return
	}
	m.node.metrics.Members.Set(float64(len(next.All)))
	m.node.grants.ReassignGrants()
}

// logChanges logs the members that have joined or been lost, and reports whether the membership has changed.
func (m *membership) logChanges(old, next *member.View) bool {
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

// address returns the peer address of a live member.
func (m *membership) address(name string) (string, bool) {
	info, ok := m.current().Members[name]
	return info.Address, ok
}
