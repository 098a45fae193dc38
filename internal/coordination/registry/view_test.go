package registry_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/registry"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/state/registration"
)

const start = clock.Instant(time.Hour)

func registered(id string, startMilli int64, leaving bool) *registration.Registration {
	return &registration.Registration{ID: id, Service: "llm", Address: "10.0.0.1:80", StartMilli: startMilli, Leaving: leaving}
}

func list(entries ...*registration.Registration) []*registration.Registration { return entries }

func expectUsable(v *registry.View, ids ...string) {
	var usable []string
	for _, r := range v.Snapshot()["llm"] {
		usable = append(usable, r.ID)
	}
	So(usable, ShouldResemble, ids)
}

func TestView(t *testing.T) {
	Convey("a view of registrations", t, func() {
		v := registry.NewView()
		read := func(after time.Duration, revision kv.Revision, entries ...*registration.Registration) []registry.Change {
			return v.Replace(start.Add(after), revision, entries)
		}
		read(0, 1, list(registered("a", 1, false), registered("b", 1, false))...)
		expectUsable(v, "a", "b")
		// restored returns a revision of the store after it was restored from a copy.
		restored := func(number uint64) kv.Revision {
			r, err := kv.NewRevision(1, number)
			So(err, ShouldBeNil)
			return r
		}

		Convey("excludes a leaving endpoint", func() {
			read(time.Second, 2, registered("a", 1, true), registered("b", 1, false))
			expectUsable(v, "b")
		})
		Convey("excludes an endpoint that has gone", func() {
			read(time.Second, 2, registered("a", 1, false))
			expectUsable(v, "a")
		})
		Convey("ignores a list older than the last one", func() {
			read(time.Second, 5, registered("a", 1, true), registered("b", 1, false))
			read(2*time.Second, 4, registered("a", 1, false), registered("b", 1, false))
			expectUsable(v, "b")
		})
		Convey("reports a restart under the same identifier", func() {
			changes := read(time.Second, 2, registered("a", 2, false), registered("b", 1, false))
			So(changes, ShouldHaveLength, 1)
			So(changes[0].Kind, ShouldEqual, registry.Restarted)
		})
		Convey("keeps missing endpoints in use during the grace period after an outage", func() {
			read(10*time.Second, 2, registered("a", 1, false))
			expectUsable(v, "a", "b")
			So(v.HasMissing(), ShouldBeTrue)
			read(11*time.Second, 3, registered("a", 1, false), registered("b", 1, false))
			read(14*time.Second, 4, registered("a", 1, false), registered("b", 1, false))
			expectUsable(v, "a", "b")
		})
		Convey("doesn't mistake a period without changes for an outage", func() {
			v.Confirm(start.Add(9 * time.Second))
			read(10*time.Second, 2, registered("a", 1, false))
			expectUsable(v, "a")
		})
		Convey("drops endpoints that are still missing after the grace period", func() {
			read(10*time.Second, 2, registered("a", 1, false))
			read(12*time.Second, 2, registered("a", 1, false))
			read(13*time.Second, 2, registered("a", 1, false))
			expectUsable(v, "a")
		})
		Convey("drops endpoints during the grace period that were leaving before the outage", func() {
			read(time.Second, 2, registered("a", 1, true), registered("b", 1, false))
			read(10*time.Second, 3, registered("b", 1, false))
			expectUsable(v, "b")
		})
		Convey("keeps endpoints in use that a copy lacks from which the store was restored", func() {
			read(time.Second, restored(1), registered("a", 1, false))
			expectUsable(v, "a", "b")
			So(v.HasMissing(), ShouldBeTrue)
			Convey("until they have had time to be registered again", func() {
				read(4*time.Second, restored(1), registered("a", 1, false))
				expectUsable(v, "a")
			})
		})
		Convey("doesn't use an endpoint again that was leaving, though a restored copy lists it as ready", func() {
			read(time.Second, 2, registered("a", 1, true), registered("b", 1, false))
			read(2*time.Second, restored(1), registered("a", 1, false), registered("b", 1, false))
			expectUsable(v, "b")
			read(20*time.Second, restored(2), registered("a", 1, false), registered("b", 1, false))
			expectUsable(v, "b")
		})
		Convey("doesn't use an endpoint again that had gone, though a restored copy lists it", func() {
			read(time.Second, 2, registered("b", 1, false))
			read(2*time.Second, restored(1), registered("a", 1, false), registered("b", 1, false))
			expectUsable(v, "b")
			So(v.HasMissing(), ShouldBeTrue)
			Convey("until its registration has outlived that of an endpoint that is gone", func() {
				read(5*time.Second, restored(1), registered("a", 1, false), registered("b", 1, false))
				expectUsable(v, "b")
				read(8*time.Second, restored(1), registered("a", 1, false), registered("b", 1, false))
				expectUsable(v, "a", "b")
				So(v.HasMissing(), ShouldBeFalse)
			})
			Convey("unless it is another incarnation", func() {
				read(3*time.Second, restored(2), registered("a", 2, false), registered("b", 1, false))
				expectUsable(v, "a", "b")
			})
		})
		Convey("doesn't take an earlier incarnation in a restored copy for a restart", func() {
			read(time.Second, 2, registered("a", 2, false), registered("b", 1, false))
			changes := read(2*time.Second, restored(1), registered("a", 1, false), registered("b", 1, false))
			So(changes, ShouldBeEmpty)
			expectUsable(v, "a", "b")
			So(v.Snapshot()["llm"][0].StartMilli, ShouldEqual, 2)
			So(read(3*time.Second, restored(2), registered("a", 2, false), registered("b", 1, false)), ShouldBeEmpty)
		})
	})
}
