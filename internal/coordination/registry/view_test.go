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

func entry(id string, born int64, leaving bool) *registration.Registration {
	return &registration.Registration{ID: id, Service: "llm", Address: "10.0.0.1:80", StartMilli: born, Leaving: leaving}
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
		read(0, 1, list(entry("a", 1, false), entry("b", 1, false))...)
		expectUsable(v, "a", "b")

		Convey("leaves out a leaving endpoint", func() {
			read(time.Second, 2, entry("a", 1, true), entry("b", 1, false))
			expectUsable(v, "b")
		})
		Convey("leaves out one that is gone", func() {
			read(time.Second, 2, entry("a", 1, false))
			expectUsable(v, "a")
		})
		Convey("takes no list older than the last", func() {
			read(time.Second, 5, entry("a", 1, true), entry("b", 1, false))
			read(2*time.Second, 4, entry("a", 1, false), entry("b", 1, false))
			expectUsable(v, "b")
		})
		Convey("tells of a restart under the same identifier", func() {
			changes := read(time.Second, 2, entry("a", 2, false), entry("b", 1, false))
			So(changes, ShouldHaveLength, 1)
			So(changes[0].Kind, ShouldEqual, registry.Restarted)
		})
		Convey("after an outage keeps what is missing until it has had time to come back", func() {
			read(10*time.Second, 2, entry("a", 1, false))
			expectUsable(v, "a", "b")
			So(v.HasMissing(), ShouldBeTrue)
			read(11*time.Second, 3, entry("a", 1, false), entry("b", 1, false))
			read(14*time.Second, 4, entry("a", 1, false), entry("b", 1, false))
			expectUsable(v, "a", "b")
		})
		Convey("doesn't take a time without changes for an outage", func() {
			v.Confirm(start.Add(9 * time.Second))
			read(10*time.Second, 2, entry("a", 1, false))
			expectUsable(v, "a")
		})
		Convey("after an outage gives up what doesn't come back", func() {
			read(10*time.Second, 2, entry("a", 1, false))
			read(12*time.Second, 2, entry("a", 1, false))
			read(13*time.Second, 2, entry("a", 1, false))
			expectUsable(v, "a")
		})
		Convey("keeps no endpoint in use after an outage that was leaving before", func() {
			read(time.Second, 2, entry("a", 1, true), entry("b", 1, false))
			read(10*time.Second, 3, entry("b", 1, false))
			expectUsable(v, "b")
		})
	})
}
