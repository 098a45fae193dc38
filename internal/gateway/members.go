package gateway

import (
	"context"
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/transport/peers"
)

// Keys that this system writes to the platform's store.
const (
	ownPrefix   = "gypsum/"
	entryPrefix = "gypsum/entries/"
	leadKey     = "gypsum/lead"
	lastLeadKey = "gypsum/last"
	secretKey   = "gypsum/secret"
)

const (
	// entryTTL is the lease of an entry's registration; a dead one is found by its connections, so this may be slow.
	entryTTL = 10 * time.Second
	// entryRenewPeriod leaves time for two lost renewals.
	entryRenewPeriod = 3 * time.Second
	// secretBytes is the length of the secret that peers prove to have.
	secretBytes = 32
)

// entryRecord is what an entry instance says of itself.
type entryRecord struct {
	Address     string  `msgpack:"addr"`
	Zone        string  `msgpack:"zone"`
	Incarnation string  `msgpack:"run"`
	Processor   float64 `msgpack:"cpu"`
	// Link is the rate of the instance's link, in Mbit/s.
	Link float64 `msgpack:"link"`
}

// members holds what is known of this system's instances, and registers this one; what it knows is a hint.
type members struct {
	node *Node

	mu       sync.Mutex
	lease    kv.LeaseID
	revision kv.Revision
	digest   uint64
	items    []kv.Item
	entries  map[string]entryRecord
	lead     string
	last     string
	lastRev  kv.Revision
	secret   []byte
	network  *peers.Network
}

func newMembers(n *Node) *members {
	return &members{node: n, entries: make(map[string]entryRecord)}
}

// join does what this instance still has to do to be a member: the secret of all, its port, its registration.
func (m *members) join(ctx context.Context) error {
	m.mu.Lock()
	secret, network, lease := m.secret, m.network, m.lease
	m.mu.Unlock()
	if secret == nil {
		return m.makeSecret(ctx)
	}
	if network == nil {
		m.listen(secret)
	}
	if lease == 0 {
		return m.register(ctx)
	}
	return nil
}

// renew keeps this instance's registration; it runs beside the watch.
func (m *members) renew(ctx context.Context) {
	duty.Every(ctx, entryRenewPeriod, func(ctx context.Context) {
		m.mu.Lock()
		lease := m.lease
		m.mu.Unlock()
		if lease == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		err := m.node.outside.Store.Renew(ctx, lease)
		m.node.countCall("renew_entry", err)
		if errors.Is(err, kv.ErrLeaseEnded) {
			m.node.log.Warn(event.StoreUnreachable, "registration of this instance has lapsed", zap.Error(err))
			m.setLease(0)
			if err := m.register(ctx); err != nil {
				m.node.log.Warn(event.StoreUnreachable, "this instance can't register", zap.Error(err))
			}
		}
	})
}

func (m *members) setLease(id kv.LeaseID) {
	m.mu.Lock()
	m.lease = id
	m.mu.Unlock()
}

// makeSecret writes the secret of this system's instances unless another instance has; all then read the one that stands.
func (m *members) makeSecret(ctx context.Context) error {
	secret := make([]byte, secretBytes)
	// Read never returns an error.
	_, _ = rand.Read(secret)
	_, err := m.node.outside.Store.Commit(ctx, kv.Transaction{
		Conditions: []kv.Condition{{Key: secretKey}}, Writes: []kv.Write{{Key: secretKey, Data: secret}},
	})
	m.node.countCall("secret", err)
	m.node.survey.wake()
	if err != nil && !errors.Is(err, kv.ErrConflict) {
		return fmt.Errorf("write secret: %w", err)
	}
	return nil
}

// register writes this instance's record under a lease.
func (m *members) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*readTimeout)
	defer cancel()
	cfg := m.node.cfg
	record, err := msgpack.Marshal(entryRecord{Address: cfg.Advertise, Zone: cfg.Zone, Incarnation: m.node.incarnation, Processor: cfg.CPUCores, Link: cfg.LinkMbps})
	if err != nil {
		return fmt.Errorf("encode entry: %w", err)
	}
	lease, err := m.node.outside.Store.Grant(ctx, entryTTL)
	m.node.countCall("grant_entry", err)
	if err != nil {
		return fmt.Errorf("register entry: %w", err)
	}
	_, err = m.node.outside.Store.Commit(ctx, kv.Transaction{Writes: []kv.Write{{Key: entryPrefix + cfg.Name, Data: record, Lease: lease}}})
	m.node.countCall("register_entry", err)
	if err != nil {
		return fmt.Errorf("register entry: %w", err)
	}
	m.setLease(lease)
	return nil
}

func (m *members) leave() {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), goodbyeTimeout)
	defer cancel()
	m.node.countCall("end_entry", m.node.outside.Store.End(ctx, lease))
}

// take replaces what is known by all of this system's keys as of a revision, and reports whether that is news.
func (m *members) take(revision kv.Revision, items []kv.Item) bool {
	digest := digestItems(items)
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision || digest == m.digest {
		return false
	}
	before := m.lead
	m.revision, m.digest, m.items = revision, digest, items
	m.entries, m.lead = make(map[string]entryRecord), ""
	for _, item := range items {
		switch {
		case item.Key == leadKey:
			m.lead = m.leaderOf(item)
		case item.Key == lastLeadKey:
			m.last, m.lastRev = m.leaderOf(item), item.Revision
		case item.Key == secretKey && m.secret == nil:
			m.secret = item.Data
		case strings.HasPrefix(item.Key, entryPrefix):
			m.takeEntry(strings.TrimPrefix(item.Key, entryPrefix), item)
		}
	}
	if m.lead != before {
		m.node.log.Info(event.PlacementOwnerChanged, "leader changed", zap.String("leader", m.lead), zap.String("before", before),
			zap.Uint64("revision", uint64(revision)))
	}
	m.node.retries.setInstances(len(m.entries))
	return true
}

// digestItems names a set of items by their keys and revisions.
func digestItems(items []kv.Item) uint64 {
	h := xxhash.New()
	for _, item := range items {
		writeString(h, item.Key)
		writeString(h, strconv.FormatUint(uint64(item.Revision), 10))
	}
	return h.Sum64()
}

// state returns the revision and the digest of what is known, and all of it.
func (m *members) state() (kv.Revision, uint64, []kv.Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision, m.digest, m.items
}

func (m *members) takeEntry(name string, item kv.Item) {
	var record entryRecord
	if err := msgpack.Unmarshal(item.Data, &record); err != nil {
		m.node.log.Warn(event.RegistrationInvalid, "entry passed over", zap.String("entry", name), zap.Error(err))
		return
	}
	m.entries[name] = record
}

// leaderOf returns the name in a leader's key, or empty if there is none.
func (m *members) leaderOf(item kv.Item) string {
	var body leaderName
	if err := msgpack.Unmarshal(item.Data, &body); err != nil {
		m.node.log.Warn(event.RegistrationInvalid, "leader's name can't be read", zap.Error(err))
		return "unreadable"
	}
	return body.Name
}

// listen opens the port for peers.
func (m *members) listen(secret []byte) {
	n := m.node
	network := peers.New(peers.Config{Name: n.cfg.Name, Incarnation: n.incarnation, Address: n.cfg.Peers, Secret: secret}, (*handler)(n))
	if _, err := network.Listen(); err != nil {
		// Without peers every request is placed by this instance's own counts.
		n.log.Warn(event.ListenerFailed, "peers are not served", zap.Error(err))
		return
	}
	m.mu.Lock()
	m.network = network
	m.mu.Unlock()
	n.wg.Go(func() { network.Run(n.duties) })
}

// leader returns the leader's name, or empty if there is none, and whether that is known at all.
func (m *members) leader() (name string, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lead, m.revision != 0 && m.network != nil
}

// lastLeader returns who led last, and the revision at which that was written.
func (m *members) lastLeader() (string, kv.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last, m.lastRev
}

// candidates returns the names of the instances with the most processor, which should lead.
func (m *members) candidates() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	most := m.node.cfg.CPUCores
	for _, e := range m.entries {
		most = max(most, e.Processor)
	}
	var names []string
	for name, e := range m.entries {
		if e.Processor >= most {
			names = append(names, name)
		}
	}
	return names
}

// peer returns the network and a peer's address, or false if it isn't known.
func (m *members) peer(name string) (*peers.Network, string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[name]
	return m.network, e.Address, ok && m.network != nil
}

// owner returns who places requests: the leader, or the last one while there is none.
func (m *members) owner() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lead != "" {
		return m.lead
	}
	return m.last
}

// strongest returns the names of a zone's instances that have the widest links, and of these the most processor.
func (m *members) strongest(zone string) []string {
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

// others returns the names of all other instances.
func (m *members) others() []string {
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

// suspicion remembers leaders that did not answer.
type suspicion struct {
	mu    sync.Mutex
	until map[string]clock.Instant
}

const (
	// placeTimeout is the longest wait for a placement by a peer: several times a round trip between zones.
	placeTimeout = 80 * time.Millisecond
	// suspectTime is how long a leader that did not answer is left alone.
	suspectTime = time.Second
)

func (s *suspicion) suspected(name string, now clock.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[name])
}

func (s *suspicion) note(name string, now clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[string]clock.Instant)
	}
	s.until[name] = now.Add(suspectTime)
}
