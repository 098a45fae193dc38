package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"gypsumvale/internal/coordination/rank"
)

// Config holds the times and sizes for a table.
type Config struct {
	// Period is the time between heartbeats.
	Period time.Duration
	// LiveTimeout is how long a member of the own zone stays live after its heartbeat counter last increased.
	LiveTimeout time.Duration
	// OtherZoneLiveTimeout is the same for members of other zones. It is longer since their counters arrive through relays and so later.
	OtherZoneLiveTimeout time.Duration
	// RelayInterval is the period of a relay's heartbeats to other zones, in heartbeats.
	RelayInterval uint64
	// Fanout is the number of peers in the own zone to which each heartbeat is sent.
	Fanout int
	// Relays is the number of relays in each zone, and of instances in each other zone to which a relay sends heartbeats.
	Relays int
	// MaxInfos and MaxCounts are the maximum numbers of Infos and Counts in a heartbeat.
	MaxInfos, MaxCounts int
	// Seed seeds the random choice of peers.
	Seed uint64
}

// DefaultConfig returns the configuration for production.
func DefaultConfig(seed uint64) Config {
	return Config{
		Period:               time.Second,
		LiveTimeout:          6 * time.Second,
		OtherZoneLiveTimeout: 30 * time.Second,
		RelayInterval:        5,
		Fanout:               3,
		Relays:               2,
		MaxInfos:             2,
		MaxCounts:            64,
		Seed:                 seed,
	}
}

// removeAfterFactor is how long a silent member stays in the table, as a multiple of the own zone's timeout.
const removeAfterFactor = 30

type memberState struct {
	info Info
	// lastHeartbeat is when the heartbeat counter last increased, or zero for a candidate from which no heartbeat has arrived.
	lastHeartbeat time.Time
	// disconnected is true if a connection to this incarnation was refused or has closed.
	disconnected bool
}

// Table is the membership table. It does no I/O; its callers pass in the time and the received heartbeats, and send the returned ones.
type Table struct {
	cfg     Config
	self    Info
	members map[string]*memberState
	random  *rand.Rand
	byID    map[uint32]*memberState
	// infoCursor, countCursor and relayCursor are the positions of the round-robin over the live members.
	infoCursor, countCursor, relayCursor int
}

// NewTable returns a table that contains only this instance.
func NewTable(cfg Config, self Info) *Table {
	return &Table{
		cfg:     cfg,
		self:    self,
		members: make(map[string]*memberState),
		byID:    make(map[uint32]*memberState),
		random:  rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
}

// AddCandidate adds a candidate from the settings or the platform's instance list. It isn't live until a heartbeat reports it.
func (t *Table) AddCandidate(candidate Info) {
	if candidate.Name == t.self.Name || t.members[candidate.Name] != nil {
		return
	}
	t.members[candidate.Name] = &memberState{info: candidate}
}

// MissingInfo reports the information that a heartbeat showed to be missing on either side.
type MissingInfo struct {
	// UnknownIDs holds the IDs of counted members that this table doesn't know. Their Infos should be requested from the sender.
	UnknownIDs []uint32
	// SenderUnknown is true if the sender was unknown, and so may not know this instance either.
	SenderUnknown bool
}

// Receive processes a received heartbeat.
func (t *Table) Receive(now time.Time, heartbeat *Heartbeat) MissingInfo {
	var missing MissingInfo
	known := t.members[heartbeat.From.Name]
	missing.SenderUnknown = known == nil || known.info.Incarnation != heartbeat.From.Incarnation
	t.merge(now, &heartbeat.From, true)
	for i := range heartbeat.Members {
		t.merge(now, &heartbeat.Members[i], false)
	}
	for _, count := range heartbeat.Counts {
		m := t.byID[count.ID]
		if m == nil && count.ID != t.self.shortID() {
			missing.UnknownIDs = append(missing.UnknownIDs, count.ID)
		}
		if m != nil {
			m.update(now, count.Counter, count.Status)
		}
	}
	return missing
}

// Reply returns a heartbeat with the Infos of this instance and of the given members, for a peer that has only their Counts.
func (t *Table) Reply(ids []uint32) Heartbeat {
	heartbeat := Heartbeat{From: t.self}
	for _, id := range ids[:min(len(ids), t.cfg.MaxCounts)] {
		if m := t.byID[id]; m != nil {
			heartbeat.Members = append(heartbeat.Members, m.info)
		}
	}
	return heartbeat
}

// merge applies an Info to the table. direct is true if the described instance sent it itself.
func (t *Table) merge(now time.Time, in *Info, direct bool) {
	if in.Name == t.self.Name || in.Incarnation == "" {
		return
	}
	m := t.members[in.Name]
	if m == nil || m.info.Incarnation != in.Incarnation {
		t.replaceIncarnation(now, m, in)
		return
	}
	// A counter relayed by others may be older than the closing of the connection.
	if direct {
		m.disconnected = false
	}
	m.update(now, in.Counter, in.Status)
}

// replaceIncarnation adds an incarnation in place of the known one, unless that started at the same time or later.
func (t *Table) replaceIncarnation(now time.Time, m *memberState, in *Info) {
	if m != nil && in.StartMilli <= m.info.StartMilli {
		return
	}
	if m != nil {
		delete(t.byID, m.info.shortID())
	}
	m = &memberState{info: *in, lastHeartbeat: now}
	t.members[in.Name] = m
	t.byID[in.shortID()] = m
}

func (m *memberState) update(now time.Time, counter uint64, status Status) {
	if counter <= m.info.Counter {
		return
	}
	m.info.Counter, m.info.Status = counter, status
	if !m.disconnected {
		m.lastHeartbeat = now
	}
}

// MarkDisconnected records that a connection to an incarnation was refused or has closed. An empty incarnation matches any.
func (t *Table) MarkDisconnected(name, incarnation string) {
	if m := t.members[name]; m != nil && (incarnation == "" || m.info.Incarnation == incarnation) {
		m.disconnected = true
	}
}

// Round holds the heartbeats to send in one period: one for the own zone and, if this instance is a relay or has just started, one for the
// other zones.
type Round struct {
	// ZoneHeartbeat is the heartbeat for the own zone.
	ZoneHeartbeat Heartbeat
	// ZoneTargets are the targets in the own zone.
	ZoneTargets []Target
	// RelayHeartbeat is the heartbeat for other zones.
	RelayHeartbeat Heartbeat
	// RelayTargets are the targets in other zones. There are none if this instance doesn't relay in this period.
	RelayTargets []Target
}

// Tick increments the heartbeat counter and returns the heartbeats to send.
//
// Every zone has relays of its own, so a relay sends to other zones only the counters of its own zone:
//
//	to the own zone    64 counters, round-robin over all live members
//	to other zones     the same, over the live members of the own zone
//
// An instance that has just started sends heartbeats to other zones itself, so that all zones know it within a few periods.
func (t *Table) Tick(now time.Time, status Status) Round {
	t.self.Counter++
	t.self.Status = status
	t.removeSilent(now)
	names := t.names(func(m *memberState) bool { return t.alive(now, m) })
	round := Round{
		ZoneHeartbeat: Heartbeat{From: t.self, Counts: t.counts(names, &t.countCursor), Members: t.infos(names)},
		ZoneTargets:   t.zoneTargets(),
	}
	justStarted := t.self.Counter <= t.cfg.RelayInterval
	if !justStarted && (t.self.Counter%t.cfg.RelayInterval != 0 || !t.isRelay()) {
		return round
	}
	ownZone := t.names(func(m *memberState) bool { return t.alive(now, m) && m.info.Zone == t.self.Zone })
	round.RelayHeartbeat = Heartbeat{From: t.self, Counts: t.counts(ownZone, &t.relayCursor), Members: t.infos(names)}
	round.RelayTargets = t.relayTargets()
	return round
}

func (t *Table) removeSilent(now time.Time) {
	for name, m := range t.members {
		if !m.lastHeartbeat.IsZero() && now.Sub(m.lastHeartbeat) > removeAfterFactor*t.cfg.LiveTimeout {
			delete(t.members, name)
			delete(t.byID, m.info.shortID())
		}
	}
}

// counts returns the next Counts in a round-robin over the named members, so that all of them are sent in turn however many there are.
func (t *Table) counts(names []string, cursor *int) []Count {
	size := min(len(names), t.cfg.MaxCounts)
	counts := make([]Count, 0, size)
	for i := range size {
		info := &t.members[names[(*cursor+i)%len(names)]].info
		counts = append(counts, Count{ID: info.shortID(), Counter: info.Counter, Status: info.Status})
	}
	*cursor += size
	return counts
}

// infos returns the next Infos in a round-robin over the named members. They reach peers whose requests for Infos were lost.
func (t *Table) infos(names []string) []Info {
	var infos []Info
	for range min(len(names), t.cfg.MaxInfos) {
		infos = append(infos, t.members[names[t.infoCursor%len(names)]].info)
		t.infoCursor++
	}
	return infos
}

func (t *Table) zoneTargets() []Target {
	return t.randomMembers(t.self.Zone, t.cfg.Fanout)
}

func (t *Table) relayTargets() []Target {
	var targets []Target
	for _, zone := range t.otherZones() {
		targets = append(targets, t.randomMembers(zone, t.cfg.Relays)...)
	}
	return targets
}

// randomMembers returns up to n random members of a zone, whether or not they are live.
func (t *Table) randomMembers(zone string, n int) []Target {
	names := t.names(func(m *memberState) bool { return m.info.Zone == zone })
	t.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var targets []Target
	for _, name := range names[:min(len(names), n)] {
		targets = append(targets, t.target(name))
	}
	return targets
}

func (t *Table) target(name string) Target {
	return Target{Name: name, Address: t.members[name].info.Address}
}

// isRelay reports whether this instance is one of its zone's relays, which are chosen by rendezvous hashing among the members that aren't
// disconnected.
func (t *Table) isRelay() bool {
	candidates := t.names(func(m *memberState) bool {
		return m.info.Zone == t.self.Zone && !m.disconnected && m.info.Incarnation != ""
	})
	for _, name := range rank.Top("relay/"+t.self.Zone, append(candidates, t.self.Name), t.cfg.Relays) {
		if name == t.self.Name {
			return true
		}
	}
	return false
}

func (t *Table) otherZones() []string {
	seen := map[string]bool{t.self.Zone: true}
	var zones []string
	for _, m := range t.members {
		if !seen[m.info.Zone] {
			seen[m.info.Zone] = true
			zones = append(zones, m.info.Zone)
		}
	}
	sort.Strings(zones)
	return zones
}

func (t *Table) alive(now time.Time, m *memberState) bool {
	timeout := t.cfg.LiveTimeout
	if m.info.Zone != t.self.Zone {
		timeout = t.cfg.OtherZoneLiveTimeout
	}
	return !m.disconnected && m.info.Incarnation != "" && now.Sub(m.lastHeartbeat) <= timeout
}

func (t *Table) names(keep func(*memberState) bool) []string {
	var names []string
	for name, m := range t.members {
		if keep(m) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
