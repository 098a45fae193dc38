package route_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/state/route"
)

func TestRequestPriority(t *testing.T) {
	priority := func(routePriority int, workspacePriority ...int) int {
		w := &route.Workspace{}
		if len(workspacePriority) > 0 {
			w.Priority = &workspacePriority[0]
		}
		return route.RequestPriority(&route.Route{Priority: routePriority}, w)
	}
	Convey("the priority of a request", t, func() {
		Convey("is the workspace's before the route's", func() {
			So(priority(2, 0), ShouldBeLessThan, priority(0, 1))
			So(priority(2, 1), ShouldBeLessThan, priority(0, 2))
		})
		Convey("is the route's among workspaces of one priority", func() {
			So(priority(0, 1), ShouldBeLessThan, priority(1, 1))
			So(priority(1, 1), ShouldBeLessThan, priority(2, 1))
		})
		Convey("is the route's for a workspace without one, and without a workspace", func() {
			So(priority(0), ShouldBeLessThan, priority(1))
			So(priority(1), ShouldBeLessThan, priority(2))
			So(route.RequestPriority(&route.Route{Priority: 1}, nil), ShouldEqual, priority(1))
		})
		Convey("stays within the limits", func() {
			So(priority(-4, -4), ShouldEqual, 0)
			So(priority(100, 100), ShouldEqual, route.MaxPriority)
		})
	})
}
