package kv_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/state/kv"
)

func TestRevision(t *testing.T) {
	Convey("a revision", t, func() {
		at := func(era, number uint64) kv.Revision {
			r, err := kv.NewRevision(era, number)
			So(err, ShouldBeNil)
			return r
		}
		Convey("holds its era and number", func() {
			So(at(2, 45).Era(), ShouldEqual, 2)
			So(at(2, 45).Number(), ShouldEqual, 45)
		})
		Convey("is higher than all of earlier eras", func() { So(at(2, 1), ShouldBeGreaterThan, at(1, 1<<40-1)) })
		Convey("is zero for an absent key in every era", func() { So(at(3, 0), ShouldEqual, 0) })
		Convey("is an error if the era or the number is out of range", func() {
			_, err := kv.NewRevision(1, 1<<40)
			So(err, ShouldWrap, kv.ErrRevisionRange)
			_, err = kv.NewRevision(1<<13, 1)
			So(err, ShouldWrap, kv.ErrRevisionRange)
			So(uint64(at(1<<13-1, 1<<40-1)), ShouldBeLessThan, 1<<53)
		})
	})
}
