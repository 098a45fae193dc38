package throttle_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/throttle"
)

func TestRejections(t *testing.T) {
	Convey("an endpoint that survives six rejections in a second", t, func() {
		r := &throttle.Rejections{}
		So(r.InForce(at(0)), ShouldBeFalse)
		So(r.Name(at(0), 6), ShouldBeFalse)
		So(r.Name(at(1), 6), ShouldBeTrue)

		Convey("gets no request of the only process that places any for the rest of the second once it has rejected half of them", func() {
			for ms := range 3 {
				So(r.PermittedAt(at(ms), sole(start)), ShouldEqual, at(ms))
				r.Record(at(ms))
			}
			So(r.PermittedAt(at(3), sole(start)), ShouldEqual, at(1000))
			So(r.PermittedAt(at(1000), sole(start)), ShouldEqual, at(1000))
			r.Record(at(1000))
			So(r.PermittedAt(at(1000), sole(start)), ShouldEqual, at(1001))
		})
		Convey("gets no request of a process among others once it has rejected its share", func() {
			r.Record(at(5))
			So(r.PermittedAt(at(5), throttle.Authority{Share: 2}), ShouldEqual, at(5))
			r.Record(at(6))
			So(r.PermittedAt(at(6), throttle.Authority{Share: 2}), ShouldEqual, at(1005))
			So(r.PermittedAt(at(6), throttle.Authority{}), ShouldEqual, at(20006))
		})
		Convey("gets no more requests at a time than it may still reject for two seconds after a rejection", func() {
			_, _, limited := r.Unproven(at(0), sole(start))
			So(limited, ShouldBeFalse)
			r.Record(at(10))
			limit, since, limited := r.Unproven(at(20), sole(start))
			So(limited, ShouldBeTrue)
			So(limit, ShouldEqual, 2)
			So(since, ShouldEqual, at(10))
			limit, _, _ = r.Unproven(at(1010), sole(start))
			So(limit, ShouldEqual, 3)
			_, _, limited = r.Unproven(at(2010), sole(start))
			So(limited, ShouldBeFalse)
		})
		Convey("is brittle until a later request is answered without the number, or for as long as that is named", func() {
			So(r.End(at(100), at(0)), ShouldBeFalse)
			So(r.InForce(at(100)), ShouldBeTrue)
			So(r.InForce(at(15001)), ShouldBeFalse)
			So(r.End(at(200), at(100)), ShouldBeTrue)
			So(r.InForce(at(200)), ShouldBeFalse)
		})
	})
}
