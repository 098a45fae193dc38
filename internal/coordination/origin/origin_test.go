package origin_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/origin"
	"gypsumvale/internal/state/clock"
)

const (
	now    = clock.Instant(time.Hour)
	within = 20 * time.Second
)

var wall = time.UnixMilli(1_700_000_000_000)

func serving(versions ...string) map[string]map[string]bool {
	present := make(map[string]bool)
	for _, v := range versions {
		present[v] = true
	}
	return map[string]map[string]bool{"llm": present}
}

func TestTable(t *testing.T) {
	Convey("a stream's origin stays what it was first, for as long as the stream may be taken up", t, func() {
		table := origin.NewTable()
		table.Record(1, origin.Origin{Service: "llm", Software: "v1", Until: now, Own: true})
		table.Record(1, origin.Origin{Service: "llm", Software: "v2", Until: now.Add(time.Second)})
		held, ok := table.Lookup(1)
		So(ok, ShouldBeTrue)
		So(held.Software, ShouldEqual, "v1")
		So(table.Own(), ShouldContainKey, uint64(1))
		table.Sweep(now.Add(time.Second))
		_, ok = table.Lookup(1)
		So(ok, ShouldBeTrue)
		table.Sweep(now.Add(time.Second + 1))
		_, ok = table.Lookup(1)
		So(ok, ShouldBeFalse)
	})
}

func TestPlacedStream(t *testing.T) {
	Convey("where a stream was only placed", t, func() {
		table := origin.NewTable()
		record := func(software string, placed bool) origin.Origin {
			table.Record(1, origin.Origin{Service: "llm", Software: software, Until: now, Placed: placed})
			held, ok := table.Lookup(1)
			So(ok, ShouldBeTrue)
			return held
		}
		So(record("v1", true).Software, ShouldEqual, "v1")
		Convey("gives way to where it began", func() {
			held := record("v2", false)
			So(held.Software, ShouldEqual, "v2")
			So(held.Placed, ShouldBeFalse)
			So(record("v1", true).Software, ShouldEqual, "v2")
		})
		Convey("isn't known once it was placed at two versions", func() {
			So(record("v2", true).Known(), ShouldBeFalse)
			So(record("v1", true).Known(), ShouldBeFalse)
			So(record("v1", false).Known(), ShouldBeTrue)
		})
	})
}

func TestReaders(t *testing.T) {
	Convey("the version that has read the last part of a prompt", t, func() {
		readers := origin.NewReaders()
		Convey("isn't known before any has", func() {
			_, ok := readers.Lookup(1)
			So(ok, ShouldBeFalse)
		})
		Convey("is known while only one has, for half a minute", func() {
			readers.Record(now, 1, "v1")
			readers.Record(now.Add(time.Second), 1, "v1")
			version, ok := readers.Lookup(1)
			So(ok, ShouldBeTrue)
			So(version, ShouldEqual, "v1")
			readers.Record(now.Add(30*time.Second), 2, "v1")
			_, ok = readers.Lookup(1)
			So(ok, ShouldBeTrue)
		})
		Convey("isn't once several have, whichever reads it again", func() {
			readers.Record(now, 1, "v1")
			readers.Record(now.Add(30*time.Second), 1, "v2")
			readers.Record(now.Add(31*time.Second), 1, "v2")
			_, ok := readers.Lookup(1)
			So(ok, ShouldBeFalse)
		})
	})
}

func TestHistory(t *testing.T) {
	Convey("the only version of a service", t, func() {
		h := origin.NewHistory()
		sole := func(at clock.Instant) string {
			version, ok := h.Sole(at, wall.Add(at.Sub(now)), "llm", within)
			if !ok {
				return ""
			}
			return version
		}
		Convey("isn't known to an instance that has just started, without a record", func() {
			h.Observe(now, serving("v1"))
			So(sole(now.Add(within-1)), ShouldBeEmpty)
			So(sole(now.Add(within)), ShouldEqual, "v1")
		})
		Convey("is known at once by the record", func() {
			h.SetRecorded(origin.Record{Versions: map[string]origin.Versions{"llm": {"v1": 0}}})
			h.Observe(now, serving("v1"))
			So(sole(now), ShouldEqual, "v1")
		})
		Convey("is none while the one before may have begun streams that go on", func() {
			h.SetRecorded(origin.Record{Versions: map[string]origin.Versions{"llm": {"v1": wall.Add(-within / 2).UnixMilli(), "v2": 0}}})
			h.Observe(now, serving("v2"))
			So(sole(now), ShouldBeEmpty)
			So(sole(now.Add(within/2)), ShouldEqual, "v2")
		})
		Convey("is none if the record has one in service that isn't seen", func() {
			h.SetRecorded(origin.Record{Versions: map[string]origin.Versions{"llm": {"v1": 0, "v2": 0}}})
			h.Observe(now, serving("v2"))
			So(sole(now.Add(time.Hour)), ShouldBeEmpty)
		})
		Convey("is none for a while after another was seen here, whatever the record says", func() {
			h.SetRecorded(origin.Record{Versions: map[string]origin.Versions{"llm": {"v2": 0}}})
			h.Observe(now, serving("v1", "v2"))
			h.Observe(now.Add(time.Second), serving("v2"))
			So(sole(now.Add(time.Second+within-1)), ShouldBeEmpty)
			So(sole(now.Add(time.Second+within)), ShouldEqual, "v2")
		})
	})
	Convey("the record is due", t, func() {
		h := origin.NewHistory()
		h.Observe(now, serving("v1"))
		due, changed := h.Due(now, wall)
		So(changed, ShouldBeTrue)
		So(due, ShouldResemble, map[string]origin.Versions{"llm": {"v1": 0}})
		h.SetRecorded(origin.Record{Versions: due})
		Convey("not while nothing changes", func() {
			_, changed := h.Due(now.Add(time.Hour), wall.Add(time.Hour))
			So(changed, ShouldBeFalse)
		})
		Convey("when a version comes and when one leaves", func() {
			h.Observe(now, serving("v1", "v2"))
			due, changed = h.Due(now, wall)
			So(changed, ShouldBeTrue)
			h.SetRecorded(origin.Record{Versions: due})
			h.Observe(now, serving("v2"))
			due, changed = h.Due(now, wall)
			So(changed, ShouldBeTrue)
			So(due, ShouldResemble, map[string]origin.Versions{"llm": {"v1": wall.UnixMilli(), "v2": 0}})
		})
		Convey("also for one that came and left before the first record", func() {
			h.SetRecorded(origin.Record{})
			h.Observe(now, serving("v2"))
			due, changed = h.Due(now.Add(time.Second), wall)
			So(changed, ShouldBeTrue)
			So(due["llm"], ShouldResemble, origin.Versions{"v1": wall.Add(-time.Second).UnixMilli(), "v2": 0})
		})
	})
}

func TestJournal(t *testing.T) {
	Convey("a journal of streams", t, func() {
		const slot = 2 * time.Second
		var j origin.Journal
		j.Restart(wall)
		stored := make(map[string][]byte)
		write := func() {
			for {
				name, data, due, err := j.Due()
				So(err, ShouldBeNil)
				if !due {
					return
				}
				stored[name] = data
			}
		}
		read := func(at time.Time) map[uint64]origin.Origin {
			all := make(map[uint64]origin.Origin)
			for _, data := range stored {
				streams, err := origin.ReadPage(data, at, within)
				So(err, ShouldBeNil)
				for stream, o := range streams {
					all[stream] = o
				}
			}
			return all
		}
		v1, v2 := origin.Origin{Service: "llm", Software: "v1"}, origin.Origin{Service: "llm", Software: "v2"}
		j.Add(wall, 1, v1)
		j.Add(wall.Add(slot), 2, v2)
		Convey("is read by the next leader, with what was added in a slot that ended before it was written", func() {
			j.Add(wall.Add(3*slot), 3, v1)
			write()
			So(read(wall.Add(3*slot)), ShouldResemble, map[uint64]origin.Origin{1: v1, 2: v2, 3: v1})
		})
		Convey("says where a stream was placed until it is known where it began, also within one page", func() {
			placed := origin.Origin{Service: "llm", Software: "v1", Placed: true}
			j.Add(wall.Add(slot), 5, placed)
			j.Add(wall.Add(slot), 6, placed)
			j.Add(wall.Add(slot), 6, v2)
			j.Add(wall.Add(slot), 7, placed)
			j.Add(wall.Add(slot), 7, origin.Origin{Service: "llm", Software: "v2", Placed: true})
			write()
			streams := read(wall.Add(slot))
			So(streams[5], ShouldResemble, placed)
			So(streams[6], ShouldResemble, v2)
			So(streams[7].Known(), ShouldBeFalse)
		})
		Convey("isn't written while nothing is added", func() {
			write()
			So(stored, ShouldHaveLength, 1)
			_, _, due, _ := j.Due()
			So(due, ShouldBeFalse)
		})
		Convey("doesn't replace what the leader before has written in this slot", func() {
			write()
			j.Restart(wall.Add(slot))
			j.Add(wall.Add(slot), 4, v1)
			write()
			So(read(wall.Add(2*slot)), ShouldHaveLength, 3)
		})
		Convey("is forgotten once its streams can't be taken up", func() {
			write()
			So(read(wall.Add(within+3*slot)), ShouldBeEmpty)
		})
		Convey("takes a bounded number of keys", func() {
			for i := range 200 {
				j.Add(wall.Add(time.Duration(i)*slot), uint64(i), v1)
				write()
			}
			So(len(stored), ShouldEqual, 32)
		})
		Convey("isn't read from bytes that are no page", func() {
			_, err := origin.ReadPage([]byte{1, 2, 3}, wall, within)
			So(err, ShouldWrap, origin.ErrPage)
		})
	})
}

// Guards against streams that begin at a version of which an instance that still goes by an older list of endpoints hasn't heard.
func TestSettlingVersion(t *testing.T) {
	Convey("streams begin at a version once no list without it is current any more", t, func() {
		begins := func(h *origin.History, at clock.Instant, version string) bool {
			_, settling := h.Settling(at, wall.Add(at.Sub(now)), "llm", within, at)[version]
			return !settling
		}
		recorded := map[string]origin.Versions{"llm": {"v1": 0}}
		Convey("whenever the lists of two instances were read", func() {
			const step = 50 * time.Millisecond
			// v2 registers at now. One instance has read the list just before, the other one sees v2 at once.
			cutOff, connected := origin.NewHistory(), origin.NewHistory()
			for _, h := range []*origin.History{cutOff, connected} {
				h.SetRecorded(origin.Record{Versions: recorded, Settled: map[string][]string{"llm": {"v1"}}})
				h.Observe(now.Add(-time.Minute), serving("v1"))
			}
			listedAt := now.Add(-1)
			connected.Observe(now, serving("v1", "v2"))
			begun := false
			for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(step) {
				So(begins(connected, at, "v1"), ShouldBeTrue)
				begun = begun || begins(connected, at, "v2")
				_, sole := cutOff.Sole(at, wall.Add(at.Sub(now)), "llm", within)
				So(begun && sole && origin.Current(at, listedAt), ShouldBeFalse)
			}
			So(begun, ShouldBeTrue)
		})
		h := origin.NewHistory()
		Convey("at once if no other version of the service is known", func() {
			So(begins(h, now, "v1"), ShouldBeTrue)
			h.SetRecorded(origin.Record{})
			h.Observe(now, serving("v1"))
			So(begins(h, now, "v1"), ShouldBeTrue)
		})
		Convey("not before the record has been read", func() {
			h.Observe(now, serving("v1"))
			So(begins(h, now, "v1"), ShouldBeFalse)
		})
		Convey("at once if it is on record as settled, for an instance that has just started", func() {
			h.SetRecorded(origin.Record{Versions: map[string]origin.Versions{"llm": {"v1": 0, "v2": 0}}, Settled: map[string][]string{"llm": {"v1"}}})
			h.Observe(now, serving("v1", "v2"))
			So(begins(h, now, "v1"), ShouldBeTrue)
			So(begins(h, now, "v2"), ShouldBeFalse)
			_, changed := h.DueSettled(now, wall, within, now)
			So(changed, ShouldBeFalse)
			settled, changed := h.DueSettled(now.Add(3*time.Second), wall.Add(3*time.Second), within, now.Add(3*time.Second))
			So(changed, ShouldBeTrue)
			So(settled, ShouldResemble, map[string][]string{"llm": {"v1", "v2"}})
		})
		Convey("at once if it was away for a moment only, but not after a longer time", func() {
			h.SetRecorded(origin.Record{Versions: recorded, Settled: map[string][]string{"llm": {"v1"}}})
			h.Observe(now, serving("v1", "v2"))
			h.Observe(now.Add(5*time.Second), serving("v1"))
			h.Observe(now.Add(8*time.Second), serving("v1", "v2"))
			So(begins(h, now.Add(8*time.Second), "v2"), ShouldBeTrue)
			h.Observe(now.Add(10*time.Second), serving("v1"))
			h.Observe(now.Add(21*time.Second), serving("v1", "v2"))
			So(begins(h, now.Add(21*time.Second), "v2"), ShouldBeFalse)
			So(begins(h, now.Add(24*time.Second), "v2"), ShouldBeTrue)
		})
	})
}

// Guards against streams that begin by an old list at a version that has left, after others have stopped to reckon with it.
func TestVersionThatLeftForOthers(t *testing.T) {
	Convey("streams begin at a version only as long as others take it for one at which they may have begun", t, func() {
		const longestStream, lateTakeUp = 15 * time.Second, time.Second
		versions := origin.Record{
			Versions: map[string]origin.Versions{"llm": {"v1": 0, "v2": 0}}, Settled: map[string][]string{"llm": {"v1", "v2"}},
		}
		cutOff, connected := origin.NewHistory(), origin.NewHistory()
		for _, h := range []*origin.History{cutOff, connected} {
			h.SetRecorded(versions)
			h.Observe(now.Add(-time.Minute), serving("v1", "v2"))
		}
		// v1 leaves at now. One instance sees that at once, the other one has read the list just before.
		connected.Observe(now, serving("v2"))
		connected.SetRecorded(origin.Record{Versions: map[string]origin.Versions{"llm": {"v1": wall.UnixMilli(), "v2": 0}}, Settled: map[string][]string{"llm": {"v2"}}})
		listedAt, lastBegun := now.Add(-1), clock.Instant(0)
		for at := now; at.Before(now.Add(2 * time.Minute)); at = at.Add(100 * time.Millisecond) {
			clockTime := wall.Add(at.Sub(now))
			if _, settling := cutOff.Settling(at, clockTime, "llm", longestStream+origin.LateNotice, listedAt)["v1"]; !settling {
				lastBegun = at
			}
			if _, sole := connected.Sole(at, clockTime, "llm", longestStream+origin.LateNotice); sole {
				So(at.Sub(lastBegun), ShouldBeGreaterThan, longestStream+lateTakeUp)
			}
		}
		So(lastBegun.Sub(now), ShouldBeGreaterThan, 20*time.Second)
	})
}

// Guards against streams that begin at once at a version that has been away while this instance read no list.
func TestVersionAwayDuringGap(t *testing.T) {
	Convey("a version that has left and returned while no list was read", t, func() {
		h := origin.NewHistory()
		h.SetRecorded(origin.Record{Versions: map[string]origin.Versions{"llm": {"v1": 0, "v2": 0}}})
		h.Observe(now, serving("v1", "v2"))
		begins := func(at clock.Instant) bool {
			_, settling := h.Settling(at, wall.Add(at.Sub(now)), "llm", within, at)["v2"]
			return !settling
		}
		Convey("settles again", func() {
			at := now.Add(41 * time.Second)
			h.RecordGap(now.Add(time.Second), at)
			h.Observe(at, serving("v1", "v2"))
			So(begins(at), ShouldBeFalse)
			So(begins(at.Add(3*time.Second)), ShouldBeTrue)
		})
		Convey("settles no longer if it is on record as settled", func() {
			at := now.Add(41 * time.Second)
			h.SetRecorded(origin.Record{Versions: map[string]origin.Versions{"llm": {"v1": 0, "v2": 0}}, Settled: map[string][]string{"llm": {"v1", "v2"}}})
			h.RecordGap(now.Add(time.Second), at)
			So(begins(at), ShouldBeTrue)
		})
		Convey("doesn't after a short gap", func() {
			at := now.Add(8 * time.Second)
			h.RecordGap(now.Add(time.Second), at)
			So(begins(at), ShouldBeTrue)
		})
	})
	Convey("a version that was seen to leave and returns settles again, whatever an older record says", t, func() {
		h := origin.NewHistory()
		h.SetRecorded(origin.Record{
			Versions: map[string]origin.Versions{"llm": {"v1": 0, "v2": 0}}, Settled: map[string][]string{"llm": {"v1", "v2"}}, Restored: true,
		})
		h.Observe(now, serving("v1", "v2"))
		h.Observe(now.Add(time.Second), serving("v1"))
		at := now.Add(41 * time.Second)
		h.Observe(at, serving("v1", "v2"))
		So(h.Settling(at, wall.Add(41*time.Second), "llm", within, at), ShouldContainKey, "v2")
	})
}

// Guards against a record of versions that a restored store has taken back, and which an instance that has just started takes for complete.
func TestRecordOfRestoredStore(t *testing.T) {
	Convey("a record from before a restoration tells no only version to an instance that has just started", t, func() {
		h := origin.NewHistory()
		h.SetRecorded(origin.Record{Versions: map[string]origin.Versions{"llm": {"v1": 0}}, Restored: true})
		h.Observe(now, serving("v1"))
		_, sole := h.Sole(now.Add(within-1), wall, "llm", within)
		So(sole, ShouldBeFalse)
		Convey("which writes a new one only once endpoints have had the time to register again", func() {
			So(h.MayRecord(now.Add(time.Second)), ShouldBeFalse)
			So(h.MayRecord(now.Add(3*time.Second)), ShouldBeTrue)
			due, changed := h.Due(now.Add(3*time.Second), wall)
			So(changed, ShouldBeTrue)
			So(due, ShouldResemble, map[string]origin.Versions{"llm": {"v1": 0}})
		})
	})
}
