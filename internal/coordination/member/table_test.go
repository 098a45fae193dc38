package member_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/member"
)

var start = time.Unix(1_800_000_000, 0)

// mesh is tables that exchange heartbeats in virtual time.
type mesh struct {
	tables map[string]*member.Table
	down   map[string]bool
	list   []member.Info
	now    time.Time
	// revision is what z2-e5 has.
	revision uint64
	beats    int
	sent     int
}

func newMesh(zones, each int) *mesh {
	m := &mesh{tables: make(map[string]*member.Table), down: make(map[string]bool), now: start}
	for z := range zones {
		for i := range each {
			m.join(fmt.Sprintf("z%d-e%d", z, i), fmt.Sprintf("z%d", z), "1", 1)
		}
	}
	return m
}

// join starts an instance that has the platform's list, as it was before.
func (m *mesh) join(name, zone, incarnation string, born int64) {
	t := member.NewTable(member.DefaultConfig(uint64(len(m.tables)+1)), member.Info{Name: name, Zone: zone, Address: name, Incarnation: name + "#" + incarnation, StartMilli: born})
	m.tables[name] = t
	m.list = append(m.list, member.Info{Name: name, Zone: zone, Address: name})
	for _, table := range m.tables {
		for _, info := range m.list {
			table.AddCandidate(info)
		}
	}
}

func (m *mesh) run(d time.Duration) {
	var names []string
	for name := range m.tables {
		names = append(names, name)
	}
	// The order of a map would make each run another one.
	sort.Strings(names)
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(member.DefaultConfig(0).Period) {
		for _, name := range names {
			if !m.down[name] {
				m.tick(name)
			}
		}
	}
}

func (m *mesh) tick(name string) {
	t := m.tables[name]
	status := member.Status{}
	if name == "z2-e5" {
		status.Revision = m.revision
	}
	r := t.Tick(m.now, status)
	m.beats++
	m.send(t, &r.ZoneHeartbeat, r.ZoneTargets)
	m.send(t, &r.RelayHeartbeat, r.RelayTargets)
}

func (m *mesh) send(t *member.Table, beat *member.Heartbeat, targets []member.Target) {
	for _, target := range targets {
		m.sent++
		other := m.tables[target.Name]
		if other == nil || m.down[target.Name] {
			t.MarkDisconnected(target.Name, "")
			continue
		}
		news := other.Receive(m.now, beat)
		if len(news.UnknownIDs) > 0 {
			answer := t.Reply(news.UnknownIDs)
			other.Receive(m.now, &answer)
		}
		if news.SenderUnknown {
			greeting := other.Reply(nil)
			t.Receive(m.now, &greeting)
		}
	}
}

func (m *mesh) expectLive(viewer string, want int) {
	So(len(m.tables[viewer].View(m.now).All), ShouldEqual, want)
}

func TestTable(t *testing.T) {
	Convey("eighteen instances in three zones know each other after three periods", t, func() {
		m := newMesh(3, 6)
		m.run(3 * member.DefaultConfig(0).Period)
		for name := range m.tables {
			m.expectLive(name, 18)
		}
	})
	Convey("eighteen instances in three zones", t, func() {
		m := newMesh(3, 6)
		m.run(12 * time.Second)
		Convey("know each other", func() {
			for name := range m.tables {
				m.expectLive(name, 18)
			}
		})
		Convey("hear of a change of one of them", func() {
			m.revision = 7
			m.run(20 * time.Second)
			for name, table := range m.tables {
				if name != "z2-e5" {
					So(table.View(m.now).Members["z2-e5"].Revision, ShouldEqual, 7)
				}
			}
		})
		Convey("drop one that is silent", func() {
			m.down["z1-e3"] = true
			m.run(34 * time.Second)
			m.expectLive("z0-e2", 17)
			m.expectLive("z1-e1", 17)
		})
		Convey("take a new incarnation for the old one, and never the old for the new", func() {
			m.join("z1-e3", "z1", "2", 2)
			m.run(6 * time.Second)
			So(m.tables["z0-e1"].View(m.now).Members["z1-e3"].Incarnation, ShouldEqual, "z1-e3#2")
			m.tables["z0-e1"].Receive(m.now, &member.Heartbeat{From: member.Info{Name: "z1-e3", Zone: "z1", Incarnation: "z1-e3#1", StartMilli: 1, Counter: 1 << 40}})
			So(m.tables["z0-e1"].View(m.now).Members["z1-e3"].Incarnation, ShouldEqual, "z1-e3#2")
		})
		Convey("keep a lost one lost until it speaks itself", func() {
			m.tables["z0-e1"].MarkDisconnected("z0-e2", "")
			m.expectLive("z0-e1", 17)
			m.run(4 * time.Second)
			m.expectLive("z0-e1", 18)
		})
		Convey("send a bounded number of heartbeats", func() {
			So(float64(m.sent)/float64(m.beats), ShouldBeLessThan, 8)
		})
	})
	Convey("360 instances in seven zones know nearly all of each other", t, func() {
		m := newMesh(7, 51)
		m.run(25 * time.Second)
		known := 0
		for name := range m.tables {
			known += len(m.tables[name].View(m.now).All)
		}
		share := float64(known) / float64(357*357)
		t.Logf("mean share known: %.4f", share)
		So(share, ShouldBeGreaterThan, 0.95)
		m.revision = 9
		m.run(30 * time.Second)
		heard := 0
		for _, table := range m.tables {
			if table.View(m.now).Members["z2-e5"].Revision == 9 {
				heard++
			}
		}
		t.Logf("a change was heard of by %d of 357", heard)
		So(heard, ShouldBeGreaterThan, 340)
	})
}
