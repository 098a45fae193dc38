package isolation_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/isolation"
	"gypsumvale/internal/state/clock"
)

func TestDetector(t *testing.T) {
	Convey("an instance", t, func() {
		now := clock.Instant(time.Hour)
		d := isolation.NewDetector()
		isolated := func() bool {
			_, is := d.Isolated()
			return is
		}
		Convey("isn't checked for one endpoint that fails, or two that fail long after each other", func() {
			So(d.RecordDial(now, "a", false), ShouldBeFalse)
			So(d.RecordDial(now.Add(100*time.Millisecond), "a", false), ShouldBeFalse)
			So(d.RecordDial(now.Add(2*time.Second), "b", false), ShouldBeFalse)
		})
		Convey("isn't checked for two that fail if one was reached between", func() {
			d.RecordDial(now, "a", false)
			d.RecordDial(now, "c", true)
			So(d.RecordDial(now, "b", false), ShouldBeFalse)
		})
		Convey("is checked once for two endpoints that fail", func() {
			d.RecordDial(now, "a", false)
			So(d.RecordDial(now, "b", false), ShouldBeTrue)
			So(d.RecordDial(now, "c", false), ShouldBeFalse)
			Convey("and isn't isolated if the check reaches an endpoint, as after the crash of a service or a zone", func() {
				d.EndCheck(now, false)
				So(isolated(), ShouldBeFalse)
				d.RecordDial(now, "a", false)
				So(d.RecordDial(now.Add(100*time.Millisecond), "b", false), ShouldBeFalse)
			})
			Convey("and is isolated if it reaches none", func() {
				d.EndCheck(now, true)
				So(isolated(), ShouldBeTrue)
				Convey("until two endpoints are reached within a second, though others are not, as in a zone that is cut off", func() {
					d.RecordDial(now, "a", true)
					d.EndProbe(9)
					So(isolated(), ShouldBeTrue)
					d.RecordDial(now.Add(1100*time.Millisecond), "c", true)
					So(isolated(), ShouldBeTrue)
					d.RecordDial(now.Add(1200*time.Millisecond), "b", false)
					d.RecordDial(now.Add(1300*time.Millisecond), "a", true)
					So(isolated(), ShouldBeFalse)
				})
				Convey("until one is, where there is only one", func() {
					d.RecordDial(now, "a", true)
					d.EndProbe(1)
					So(isolated(), ShouldBeFalse)
				})
			})
		})
	})
}

func TestHelpers(t *testing.T) {
	Convey("an isolated instance with peers in two zones", t, func() {
		now := clock.Instant(time.Hour)
		h := isolation.NewHelpers("near")
		var peers []isolation.Helper
		for i := range 4 {
			peers = append(peers, isolation.Helper{Name: fmt.Sprintf("n%d", i), Zone: "near", Weight: 1})
			peers = append(peers, isolation.Helper{Name: fmt.Sprintf("f%d", i), Zone: "far", Weight: 1})
		}
		shares := func(now clock.Instant) map[string]int {
			count := make(map[string]int)
			for i := range 1000 {
				helper, ok := h.Select(now, peers, float64(i)/1000)
				So(ok, ShouldBeTrue)
				count[helper.Name]++
			}
			return count
		}
		Convey("asks those of its zone by their weights", func() {
			peers[0].Weight = 5
			So(shares(now)["n0"], ShouldBeBetween, 620, 630)
			So(shares(now)["f0"], ShouldEqual, 0)
		})
		Convey("leaves out one that can't help for a second", func() {
			h.Record(now, "n1", isolation.Unable)
			So(shares(now)["n1"], ShouldEqual, 0)
			So(shares(now.Add(time.Second))["n1"], ShouldBeGreaterThan, 0)
		})
		Convey("asks other zones once two of its own can't help", func() {
			h.Record(now, "n1", isolation.Unable)
			h.Record(now, "n2", isolation.Unable)
			So(shares(now)["f0"], ShouldBeGreaterThan, 0)
			Convey("unless another of its own has helped", func() {
				h.Record(now, "n0", isolation.Helped)
				So(shares(now)["f0"], ShouldEqual, 0)
			})
		})
		Convey("asks none for half a second after three that it could not reach", func() {
			for _, name := range []string{"n0", "n1", "n2"} {
				_, ok := h.Select(now, peers, 0.5)
				So(ok, ShouldBeTrue)
				h.Record(now, name, isolation.Unreachable)
			}
			_, ok := h.Select(now, peers, 0.5)
			So(ok, ShouldBeFalse)
			_, ok = h.Select(now.Add(500*time.Millisecond), peers, 0.5)
			So(ok, ShouldBeTrue)
		})
		Convey("has none if no peer can help", func() {
			for _, p := range peers {
				h.Record(now, p.Name, isolation.Unable)
			}
			_, ok := h.Select(now, peers, 0.5)
			So(ok, ShouldBeFalse)
		})
	})
}
