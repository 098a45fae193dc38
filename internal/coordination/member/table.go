package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"gypsumvale/internal/coordination/rank"
)

// Config sets the times and sizes of a table.
type Config struct {
	Period time.Duration
	// LiveTimeout is how long a member of the own zone stays live without a rising count.
	LiveTimeout time.Duration
	// OtherZoneLiveTimeout is the same for members of other zones, whose counts come over relays and so later.
	OtherZoneLiveTimeout time.Duration
	// RelayInterval is the number of heartbeats between those to other zones.
	RelayInterval uint64
	// Fanout is the number of peers in the zone that get each heartbeat.
	Fanout int
	// Relays is the number of instances of each other zone that a zone's relays beat to.
	Relays int
	// MaxInfos and MaxCounts are the most members of which a heartbeat repeats all, and the count.
	MaxInfos, MaxCounts int
	// Seed feeds the choice of peers.
	Seed uint64
}

// DefaultConfig returns the values used in operation.
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

// forgetFactor times Silence is how long a silent member stays a candidate.
const forgetFactor = 30

type entry struct {
	info  Info
	heard time.Time
	// lost says that a connection to this incarnation was refused or closed.
	lost bool
}

// Table is the decision core of membership.
type Table struct {
	cfg     Config
	self    Info
	members map[string]*entry
	random  *rand.Rand
	byID    map[uint32]*entry
	// infoCursor, countCursor and relayCursor are where the next heartbeat goes on.
	infoCursor, countCursor, relayCursor int
}

// NewTable returns a table that knows itself only.
func NewTable(cfg Config, self Info) *Table {
	return &Table{
		cfg:     cfg,
		self:    self,
		members: make(map[string]*entry),
		byID:    make(map[uint32]*entry),
		random:  rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
}

// AddCandidate adds a candidate from the settings or the platform's list; it isn't live until it is heard.
func (t *Table) AddCandidate(c Info) {
	if c.Name == t.self.Name || t.members[c.Name] != nil {
		return
	}
	t.members[c.Name] = &entry{info: c}
}

// MissingInfo is what a heartbeat shows to be missing on either side.
type MissingInfo struct {
	// UnknownIDs names counted members that this table doesn't know, for the sender to tell.
	UnknownIDs []uint32
	// SenderUnknown says that the sender was not known, so that it may not know this instance either.
	SenderUnknown bool
}

// Receive takes a heartbeat.
func (t *Table) Receive(now time.Time, b *Heartbeat) MissingInfo {
	var news MissingInfo
	known := t.members[b.From.Name]
	news.SenderUnknown = known == nil || known.info.Incarnation != b.From.Incarnation
	t.merge(now, &b.From, true)
	for i := range b.Members {
		t.merge(now, &b.Members[i], false)
	}
	for _, c := range b.Counts {
		e := t.byID[c.ID]
		if e == nil && c.ID != t.self.id() {
			news.UnknownIDs = append(news.UnknownIDs, c.ID)
		}
		if e != nil {
			e.raise(now, c.Counter, c.Status)
		}
	}
	return news
}

// Reply tells of this instance, and all that is known of some members, for a peer that knows their counts only.
func (t *Table) Reply(ids []uint32) Heartbeat {
	b := Heartbeat{From: t.self}
	for _, id := range ids[:min(len(ids), t.cfg.MaxCounts)] {
		if e := t.byID[id]; e != nil {
			b.Members = append(b.Members, e.info)
		}
	}
	return b
}

func (t *Table) merge(now time.Time, in *Info, direct bool) {
	if in.Name == t.self.Name || in.Incarnation == "" {
		return
	}
	e := t.members[in.Name]
	if e == nil || e.info.Incarnation != in.Incarnation {
		t.renew(now, e, in)
		return
	}
	// Counts repeated by others may be older than the closing of the connection.
	if direct {
		e.lost = false
	}
	e.raise(now, in.Counter, in.Status)
}

// renew takes a new incarnation, unless the known one is younger.
func (t *Table) renew(now time.Time, e *entry, in *Info) {
	if e != nil && in.StartMilli <= e.info.StartMilli {
		return
	}
	if e != nil {
		delete(t.byID, e.info.id())
	}
	e = &entry{info: *in, heard: now}
	t.members[in.Name] = e
	t.byID[in.id()] = e
}

func (e *entry) raise(now time.Time, count uint64, s Status) {
	if count <= e.info.Counter {
		return
	}
	e.info.Counter, e.info.Status = count, s
	if !e.lost {
		e.heard = now
	}
}

// MarkDisconnected notes that a connection to an incarnation was refused or has closed.
func (t *Table) MarkDisconnected(name, incarnation string) {
	if e := t.members[name]; e != nil && (incarnation == "" || e.info.Incarnation == incarnation) {
		e.lost = true
	}
}

// Round is the heartbeats of one period: one for the own zone, and for a relay one for the others.
type Round struct {
	ZoneHeartbeat  Heartbeat
	ZoneTargets    []Target
	RelayHeartbeat Heartbeat
	RelayTargets   []Target
}

// Tick counts a heartbeat and returns where it goes.
//
// A relay tells other zones the counts of its own zone only, since each zone has relays:
//
//	own zone: 64 counts in turn of all that live;  other zones: the counts of this zone
//
// An instance that has just started tells other zones itself, so that it is known everywhere within a few periods.
func (t *Table) Tick(now time.Time, s Status) Round {
	t.self.Counter++
	t.self.Status = s
	t.forget(now)
	names := t.names(func(e *entry) bool { return t.alive(now, e) })
	r := Round{ZoneHeartbeat: Heartbeat{From: t.self, Counts: t.counts(names, &t.countCursor), Members: t.infos(names)}, ZoneTargets: t.mates()}
	starting := t.self.Counter <= t.cfg.RelayInterval
	if !starting && (t.self.Counter%t.cfg.RelayInterval != 0 || !t.isRelay()) {
		return r
	}
	own := t.names(func(e *entry) bool { return t.alive(now, e) && e.info.Zone == t.self.Zone })
	r.RelayHeartbeat = Heartbeat{From: t.self, Counts: t.counts(own, &t.relayCursor), Members: t.infos(names)}
	r.RelayTargets = t.others()
	return r
}

func (t *Table) forget(now time.Time) {
	for name, e := range t.members {
		if !e.heard.IsZero() && now.Sub(e.heard) > forgetFactor*t.cfg.LiveTimeout {
			delete(t.members, name)
			delete(t.byID, e.info.id())
		}
	}
}

// counts goes round the live members, so that all are repeated in turn however many there are.
func (t *Table) counts(names []string, cursor *int) []Count {
	n := min(len(names), t.cfg.MaxCounts)
	counts := make([]Count, 0, n)
	for i := range n {
		info := &t.members[names[(*cursor+i)%len(names)]].info
		counts = append(counts, Count{ID: info.id(), Counter: info.Counter, Status: info.Status})
	}
	*cursor += n
	return counts
}

// infos goes round the live members, for those whose questions were lost.
func (t *Table) infos(names []string) []Info {
	var infos []Info
	for range min(len(names), t.cfg.MaxInfos) {
		infos = append(infos, t.members[names[t.infoCursor%len(names)]].info)
		t.infoCursor++
	}
	return infos
}

func (t *Table) mates() []Target {
	return t.pick(t.self.Zone, t.cfg.Fanout)
}

func (t *Table) others() []Target {
	var targets []Target
	for _, zone := range t.zones() {
		targets = append(targets, t.pick(zone, t.cfg.Relays)...)
	}
	return targets
}

// pick returns some random members of a zone.
func (t *Table) pick(zone string, n int) []Target {
	names := t.names(func(e *entry) bool { return e.info.Zone == zone })
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

// isRelay picks the instances that beat to other zones among the zone's members that aren't lost.
func (t *Table) isRelay() bool {
	mates := t.names(func(e *entry) bool { return e.info.Zone == t.self.Zone && !e.lost && e.info.Incarnation != "" })
	for _, name := range rank.Top("relay/"+t.self.Zone, append(mates, t.self.Name), t.cfg.Relays) {
		if name == t.self.Name {
			return true
		}
	}
	return false
}

func (t *Table) zones() []string {
	seen := map[string]bool{t.self.Zone: true}
	var zones []string
	for _, e := range t.members {
		if !seen[e.info.Zone] {
			seen[e.info.Zone] = true
			zones = append(zones, e.info.Zone)
		}
	}
	sort.Strings(zones)
	return zones
}

func (t *Table) alive(now time.Time, e *entry) bool {
	silence := t.cfg.LiveTimeout
	if e.info.Zone != t.self.Zone {
		silence = t.cfg.OtherZoneLiveTimeout
	}
	return !e.lost && e.info.Incarnation != "" && now.Sub(e.heard) <= silence
}

func (t *Table) names(keep func(*entry) bool) []string {
	var names []string
	for name, e := range t.members {
		if keep(e) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
