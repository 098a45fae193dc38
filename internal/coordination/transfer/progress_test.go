package transfer_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/transfer"
)

func TestProgress(t *testing.T) {
	Convey("a transfer that has to begin within 2 s and may stall for 300 ms", t, func() {
		const begin, stall = 2 * time.Second, 300 * time.Millisecond
		start := time.Now()
		at := func(d time.Duration) time.Time { return start.Add(d) }
		p := transfer.NewProgress(at(begin), stall)
		Convey("keeps its first deadline if it begins early", func() {
			So(p.Record(at(time.Second), 100), ShouldBeFalse)
			So(p.Deadline, ShouldEqual, at(begin))
		})
		Convey("goes on for as long as slices arrive, however large it is", func() {
			now := begin - 100*time.Millisecond
			for range 1000 {
				So(p.Record(at(now), transfer.SliceBytes), ShouldBeTrue)
				So(p.Deadline, ShouldEqual, at(now+stall))
				now += stall - time.Millisecond
			}
		})
		Convey("has stalled after bytes that come now and then", func() {
			p.Record(at(begin-time.Millisecond), 1)
			end := begin - time.Millisecond + stall
			for now := begin; now < end; now += 10 * time.Millisecond {
				So(p.Record(at(now), 100), ShouldBeFalse)
			}
			So(p.Deadline, ShouldEqual, at(end))
		})
		Convey("goes on with small pieces that make up a slice in time", func() {
			p.Record(at(begin-time.Millisecond), 1)
			So(p.Record(at(begin), transfer.SliceBytes/2), ShouldBeFalse)
			So(p.Record(at(begin+100*time.Millisecond), transfer.SliceBytes/2), ShouldBeTrue)
		})
	})
}
