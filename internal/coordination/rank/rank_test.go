package rank_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/rank"
)

func TestRank(t *testing.T) {
	var members []string
	for i := range 18 {
		members = append(members, fmt.Sprintf("e%02d", i))
	}
	Convey("the ranking", t, func() {
		Convey("of no members is empty", func() { So(rank.First("x", nil), ShouldEqual, "") })
		Convey("doesn't depend on the order of the members", func() {
			reversed := make([]string, len(members))
			for i, m := range members {
				reversed[len(members)-1-i] = m
			}
			So(rank.First("x", reversed), ShouldEqual, rank.First("x", members))
		})
		Convey("reassigns only the subjects of a removed member", func() {
			for i := range 200 {
				subject := fmt.Sprintf("s%d", i)
				before := rank.First(subject, members)
				after := rank.First(subject, members[1:])
				So(before == members[0] || before == after, ShouldBeTrue)
			}
		})
		Convey("distributes subjects evenly", func() {
			counts := map[string]int{}
			for i := range 1800 {
				counts[rank.First(fmt.Sprintf("s%d", i), members)]++
			}
			for _, m := range members {
				So(counts[m], ShouldBeBetween, 50, 170)
			}
		})
		Convey("starts with First and lists no member twice", func() {
			top := rank.Top("x", members, 3)
			So(top[0], ShouldEqual, rank.First("x", members))
			So(top[0] != top[1] && top[1] != top[2] && top[0] != top[2], ShouldBeTrue)
		})
	})
}
