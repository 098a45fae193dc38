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

// cluster simulates instances that exchange heartbeats in virtual time.
type cluster struct {
	tables     map[string]*member.Table
	down       map[string]bool
	candidates []member.Info
	now        time.Time
	// revision is the configuration revision that z2-e5 reports.
	revision uint64
	ticks    int
	sent     int
}

func newCluster(zones, each int) *cluster {
	c := &cluster{tables: make(map[string]*member.Table), down: make(map[string]bool), now: start}
	for z := range zones {
		for i := range each {
			c.join(fmt.Sprintf("z%d-e%d", z, i), fmt.Sprintf("z%d", z), "1", 1)
		}
	}
	return c
}

// join starts an instance and adds every instance as a candidate to every table, as the platform's list does.
func (c *cluster) join(name, zone, incarnation string, startMilli int64) {
	joined := member.NewTable(member.DefaultConfig(uint64(len(c.tables)+1)), member.Info{
		Name: name, Zone: zone, Address: name, Incarnation: name + "#" + incarnation, StartMilli: startMilli,
	})
	c.tables[name] = joined
	c.candidates = append(c.candidates, member.Info{Name: name, Zone: zone, Address: name})
	for _, table := range c.tables {
		for _, info := range c.candidates {
			table.AddCandidate(info)
		}
	}
}

func (c *cluster) run(d time.Duration) {
	var names []string
	for name := range c.tables {
		names = append(names, name)
	}
	// Sorted, since the iteration order of the map would make runs differ.
	sort.Strings(names)
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(member.DefaultConfig(0).Period) {
		for _, name := range names {
			if !c.down[name] {
				c.tick(name)
			}
		}
	}
}

func (c *cluster) tick(name string) {
	table := c.tables[name]
	status := member.Status{}
	if name == "z2-e5" {
		status.Revision = c.revision
	}
	round := table.Tick(c.now, status)
	c.ticks++
	c.send(table, &round.ZoneHeartbeat, round.ZoneTargets)
	c.send(table, &round.RelayHeartbeat, round.RelayTargets)
}

func (c *cluster) send(table *member.Table, heartbeat *member.Heartbeat, targets []member.Target) {
	for _, target := range targets {
		c.sent++
		receiver := c.tables[target.Name]
		if receiver == nil || c.down[target.Name] {
			table.MarkDisconnected(target.Name, "")
			continue
		}
		missing := receiver.Receive(c.now, heartbeat)
		if len(missing.UnknownIDs) > 0 {
			reply := table.Reply(missing.UnknownIDs)
			receiver.Receive(c.now, &reply)
		}
		if missing.SenderUnknown {
			introduction := receiver.Reply(nil)
			table.Receive(c.now, &introduction)
		}
	}
}

func (c *cluster) expectLive(viewer string, want int) {
	So(len(c.tables[viewer].View(c.now).All), ShouldEqual, want)
}

func TestTable(t *testing.T) {
	Convey("eighteen instances in three zones know each other after three periods", t, func() {
		c := newCluster(3, 6)
		c.run(3 * member.DefaultConfig(0).Period)
		for name := range c.tables {
			c.expectLive(name, 18)
		}
	})
	Convey("eighteen instances in three zones", t, func() {
		c := newCluster(3, 6)
		c.run(12 * time.Second)
		Convey("know each other", func() {
			for name := range c.tables {
				c.expectLive(name, 18)
			}
		})
		Convey("receive the changed status of one of them", func() {
			c.revision = 7
			c.run(20 * time.Second)
			for name, table := range c.tables {
				if name != "z2-e5" {
					So(table.View(c.now).Members["z2-e5"].Revision, ShouldEqual, 7)
				}
			}
		})
		Convey("drop one that sends no heartbeats", func() {
			c.down["z1-e3"] = true
			c.run(34 * time.Second)
			c.expectLive("z0-e2", 17)
			c.expectLive("z1-e1", 17)
		})
		Convey("replace an old incarnation by a new one, and never a new one by an old one", func() {
			c.join("z1-e3", "z1", "2", 2)
			c.run(6 * time.Second)
			So(c.tables["z0-e1"].View(c.now).Members["z1-e3"].Incarnation, ShouldEqual, "z1-e3#2")
			c.tables["z0-e1"].Receive(c.now, &member.Heartbeat{From: member.Info{Name: "z1-e3", Zone: "z1", Incarnation: "z1-e3#1", StartMilli: 1, Counter: 1 << 40}})
			So(c.tables["z0-e1"].View(c.now).Members["z1-e3"].Incarnation, ShouldEqual, "z1-e3#2")
		})
		Convey("don't count a disconnected one as live until it sends a heartbeat itself", func() {
			c.tables["z0-e1"].MarkDisconnected("z0-e2", "")
			c.expectLive("z0-e1", 17)
			c.run(4 * time.Second)
			c.expectLive("z0-e1", 18)
		})
		Convey("send a bounded number of heartbeats", func() {
			So(float64(c.sent)/float64(c.ticks), ShouldBeLessThan, 8)
		})
	})
	Convey("357 instances in seven zones know nearly all of each other", t, func() {
		c := newCluster(7, 51)
		c.run(25 * time.Second)
		known := 0
		for name := range c.tables {
			known += len(c.tables[name].View(c.now).All)
		}
		share := float64(known) / float64(357*357)
		t.Logf("mean share of members known: %.4f", share)
		So(share, ShouldBeGreaterThan, 0.95)
		c.revision = 9
		c.run(30 * time.Second)
		updated := 0
		for _, table := range c.tables {
			if table.View(c.now).Members["z2-e5"].Revision == 9 {
				updated++
			}
		}
		t.Logf("a status change reached %d of 357 instances", updated)
		So(updated, ShouldBeGreaterThan, 340)
	})
}
