package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/event"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/transport/peers"
)

// Keys that this system writes to the platform's metadata store.
const (
	ownPrefix     = "gypsum/"
	entryPrefix   = "gypsum/entries/"
	leaderKey     = "gypsum/lead"
	lastLeaderKey = "gypsum/last"
	secretKey     = "gypsum/secret"
	blockPrefix   = "gypsum/blocked/"
)

// entryRecord is the registration of an entry instance.
type entryRecord struct {
	Address     string  `msgpack:"addr"`
	Zone        string  `msgpack:"zone"`
	Incarnation string  `msgpack:"run"`
	Processor   float64 `msgpack:"cpu"`
	// Link is the bandwidth of the instance's network link, in Mbit/s.
	Link float64 `msgpack:"link"`
	// Forwards is where the instance takes requests over from isolated ones, or empty.
	Forwards string `msgpack:"fwd,omitempty"`
}

// members holds the known instances of this system, and this one's membership. Its data may be outdated and serves as a hint only.
type members struct {
	node *Node

	mu       sync.Mutex
	lease    kv.Lease
	revision kv.Revision
	// eraReadAt is when the store's era was first read.
	eraReadAt          clock.Instant
	digest             uint64
	items              []kv.Item
	entries            map[string]entryRecord
	currentLeader      string
	leaderRevision     kv.Revision
	lastLeaderRecord   leaderRecord
	lastLeaderRevision kv.Revision
	secret             []byte
	// secretStored is true if the store had the secret at the last read.
	secretStored bool
	network      *peers.Network

	// registering is held while this instance registers, so that its key has only one lease. checkDue triggers a check of the registration.
	registering sync.Mutex
	checkDue    chan struct{}
}

func newMembers(n *Node) *members {
	return &members{node: n, entries: make(map[string]entryRecord), checkDue: make(chan struct{}, 1)}
}

// apply replaces the known state by all of this system's keys as of a revision, and reports whether they changed.
func (m *members) apply(revision kv.Revision, items []kv.Item) bool {
	digest := kv.Digest(items)
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision || digest == m.digest {
		return false
	}
	previous := m.currentLeader
	restored := m.revision != 0 && revision.Era() > m.revision.Era()
	if restored {
		// The restored store may lack this instance's registration.
		m.checkRegistration()
	}
	if m.revision == 0 || restored {
		m.eraReadAt = clock.Now()
	}
	m.revision, m.digest, m.items = revision, digest, items
	m.entries, m.currentLeader, m.lastLeaderRevision, m.secretStored = make(map[string]entryRecord), "", 0, false
	for _, item := range items {
		switch {
		case item.Key == leaderKey:
			m.currentLeader, m.leaderRevision = m.leaderOf(item).Name, item.Revision
		case item.Key == lastLeaderKey:
			m.lastLeaderRecord, m.lastLeaderRevision = m.leaderOf(item), item.Revision
		case item.Key == secretKey:
			m.secretStored = true
			if m.secret == nil {
				m.secret = item.Data
			}
		case strings.HasPrefix(item.Key, entryPrefix):
			m.applyEntry(strings.TrimPrefix(item.Key, entryPrefix), item)
		}
	}
	if m.currentLeader != previous {
		m.node.wg.Go(func() { m.connectLeader(m.node.background) })
		m.node.log.Info(event.PlacementOwnerChanged, "leader changed", zap.String("leader", m.currentLeader), zap.String("before", previous),
			zap.Uint64("revision", revision.Number()))
	}
	m.node.retryBudgets.setInstances(clock.Now(), len(m.entries), restored)
	m.node.blocks.apply(items, restored)
	m.node.origins.apply(revision, items)
	return true
}

// connectLeader opens the connection to a new leader, so that the first requests need not wait for it.
func (m *members) connectLeader(ctx context.Context) {
	name := m.owner()
	network, address, ok := m.peer(name)
	if name == m.node.cfg.Name && name != "" {
		m.node.running.Report(ctx, name, false)
	}
	if !ok || name == m.node.cfg.Name {
		return
	}
	if err := network.Connect(ctx, name, address); err != nil {
		m.node.log.Info(event.PlacementOwnerChanged, "failed to connect to the new leader", zap.String("leader", name), zap.Error(err))
		return
	}
	m.node.running.Report(ctx, name, false)
}

// state returns the revision, the digest and the items of the known state.
func (m *members) state() (kv.Revision, uint64, []kv.Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision, m.digest, m.items
}

func (m *members) applyEntry(name string, item kv.Item) {
	var record entryRecord
	if err := msgpack.Unmarshal(item.Data, &record); err != nil {
		m.node.log.Warn(event.RegistrationInvalid, "invalid entry registration skipped", zap.String("entry", name), zap.Error(err))
		return
	}
	m.entries[name] = record
}

// leaderOf decodes a leader's key; it returns the name "unreadable" if the value can't be decoded.
func (m *members) leaderOf(item kv.Item) leaderRecord {
	var body leaderRecord
	if err := msgpack.Unmarshal(item.Data, &body); err != nil {
		m.node.log.Warn(event.RegistrationInvalid, "failed to decode leader record", zap.Error(err))
		return leaderRecord{Name: "unreadable"}
	}
	return body
}

// leader returns the leader's name, or empty if there is none, and whether the leader is known at all.
func (m *members) leader() (name string, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentLeader, m.revision != 0 && m.network != nil
}

// leaderRecordRevision returns the revision at which the leader's key was written, as last read.
func (m *members) leaderRecordRevision() kv.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaderRevision
}

// lastLeader returns the most recent leader, and the revision at which its record was written.
func (m *members) lastLeader() (leaderRecord, kv.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastLeaderRecord, m.lastLeaderRevision
}

// readEra returns the store's era as of the last read, or zero before the first one.
func (m *members) readEra() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision.Era()
}

// lostLeaseEnd returns by when the lease of a leader has ended whose term the store has lost, or zero if a leader has been elected since then.
// That a restored store names no leader, or none that still leads, doesn't show that the last one's lease has ended.
func (m *members) lostLeaseEnd() clock.Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastLeaderRecord.Era == m.revision.Era() {
		return 0
	}
	return m.eraReadAt.Add(leaderTTL)
}

// leaderCandidates returns the names of the instances with the largest processor share, which are preferred as leaders.
func (m *members) leaderCandidates() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	highest := m.node.cfg.CPUCores
	for _, e := range m.entries {
		highest = max(highest, e.Processor)
	}
	var names []string
	for name, e := range m.entries {
		if e.Processor >= highest {
			names = append(names, name)
		}
	}
	return names
}

// peer returns the peer network and the address of a peer, or false if either is unknown.
func (m *members) peer(name string) (*peers.Network, string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[name]
	return m.network, e.Address, ok && m.network != nil
}

// owner returns the instance that places requests: the leader, or the most recent one while there is none.
func (m *members) owner() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.currentLeader != "" {
		return m.currentLeader
	}
	return m.lastLeaderRecord.Name
}

// bytesSent returns the bytes sent to peers since the start.
func (m *members) bytesSent() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.network == nil {
		return 0
	}
	return m.network.Traffic.BytesOut.Load()
}

// peerConnections returns the number of open connections with peers.
func (m *members) peerConnections() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.network == nil {
		return 0
	}
	return m.network.Connections()
}

// relayCandidates returns the names of the zone's instances with the widest links and, among these, the largest processor share.
func (m *members) relayCandidates(zone string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	var best entryRecord
	for name, e := range m.entries {
		switch {
		case e.Zone != zone, e.Link < best.Link, e.Link == best.Link && e.Processor < best.Processor:
			continue
		case e.Link > best.Link || e.Processor > best.Processor:
			best, names = e, names[:0]
		}
		names = append(names, name)
	}
	return names
}

// otherZones returns the zones of other instances than those in this one's.
func (m *members) otherZones() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	zones := make(map[string]bool)
	for _, e := range m.entries {
		zones[e.Zone] = true
	}
	delete(zones, m.node.cfg.Zone)
	return slices.Collect(maps.Keys(zones))
}

// peerNames returns the names of all other instances.
func (m *members) peerNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.entries))
	for name := range m.entries {
		if name != m.node.cfg.Name {
			names = append(names, name)
		}
	}
	return names
}

// names returns the names of all instances, this one included, and of those in its zone.
func (m *members) names() (all, ownZone []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	all, ownZone = []string{m.node.cfg.Name}, []string{m.node.cfg.Name}
	for name, e := range m.entries {
		if name == m.node.cfg.Name {
			continue
		}
		all = append(all, name)
		if e.Zone == m.node.cfg.Zone {
			ownZone = append(ownZone, name)
		}
	}
	return all, ownZone
}

// samplePeers returns up to limit other instances, chosen at random.
func (m *members) samplePeers(limit int) []string {
	names := m.peerNames()
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), limit)]
}

// placementTimeout bounds a placement call to a peer: several times the round trip between zones.
const placementTimeout = 80 * time.Millisecond

// leaderBackoff guards the backoff from the leader.
type leaderBackoff struct {
	mu      sync.Mutex
	backoff placement.OwnerBackoff
}

func (b *leaderBackoff) active(now clock.Instant, leader string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.backoff.Active(now, leader)
}

// record records whether the leader answered a request that was sent at an instant.
func (b *leaderBackoff) record(leader string, sentAt clock.Instant, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if answered {
		b.backoff.RecordAnswer(leader)
		return
	}
	b.backoff.RecordFailure(clock.Now(), leader, sentAt)
}
