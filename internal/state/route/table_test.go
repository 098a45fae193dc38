package route_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/state/route"
)

func routeTo(prefix string, targets ...route.Target) *route.Route {
	return &route.Route{Name: prefix, Host: "Site.example", Prefix: prefix, Kind: route.Idempotent, Timeout: time.Second, Targets: targets}
}

func expectMatch(t *route.Table, host, path, want string) {
	name := ""
	if r := t.Match(host, path); r != nil {
		name = r.Name
	}
	So(name, ShouldEqual, want)
}

func expectInvalid(r *route.Route) {
	_, err := route.NewTable(&route.TableParts{Routes: []*route.Route{r}})
	So(errors.Is(err, route.ErrInvalid), ShouldBeTrue)
}

func TestTable(t *testing.T) {
	one := route.Target{Service: "s", Weight: 1}
	Convey("a table", t, func() {
		w := &route.Workspace{Name: "w", Keys: []string{"k"}}
		table, err := route.NewTable(&route.TableParts{
			Version: 3, Routes: []*route.Route{routeTo("/a/", one), routeTo("/a/b/", one)}, Workspaces: []*route.Workspace{w},
		})
		So(err, ShouldBeNil)
		Convey("matches the route with the longest prefix", func() { expectMatch(table, "site.example", "/a/b/c", "/a/b/") })
		Convey("matches the raw path without decoding it", func() { expectMatch(table, "site.example", "/a/%62/c", "/a/") })
		Convey("ignores the port and the case of the host", func() { expectMatch(table, "SITE.example:80", "/a/", "/a/") })
		Convey("has no route for an unknown host", func() { expectMatch(table, "other.example", "/a/", "") })
		Convey("has no route for an unknown path", func() { expectMatch(table, "site.example", "/ab/", "") })
		Convey("finds the workspace of a key", func() {
			So(table.Workspace("k"), ShouldEqual, w)
			So(table.Workspace("x"), ShouldBeNil)
			So(table.RequiresKeys(), ShouldBeTrue)
		})
	})
	Convey("requests are split between services by weight", t, func() {
		r := routeTo("/a/", route.Target{Service: "s", Weight: 3}, route.Target{Service: "t", Weight: 1})
		count := map[string]int{}
		for x := range uint64(400) {
			count[r.Pick(x)]++
		}
		So(count, ShouldResemble, map[string]int{"s": 300, "t": 100})
	})
	Convey("a route that breaks a rule is refused", t, func() {
		expectInvalid(routeTo("a/", one))
		expectInvalid(routeTo("/a", one))
		expectInvalid(routeTo("/a/"))
		expectInvalid(routeTo("/a/", route.Target{Service: "s", Weight: -1}))
		withoutTimeout := routeTo("/a/", one)
		withoutTimeout.Timeout = 0
		expectInvalid(withoutTimeout)
		unknownKind := routeTo("/a/", one)
		unknownKind.Kind = 0
		expectInvalid(unknownKind)
	})
	Convey("a stream may run more than once only if it is resumable", t, func() {
		So((&route.Route{Kind: route.Stream}).Repeatable(), ShouldBeFalse)
		So((&route.Route{Kind: route.Stream, Resumable: true}).Repeatable(), ShouldBeTrue)
		So((&route.Route{Kind: route.AtMostOnce, Resumable: true}).Repeatable(), ShouldBeFalse)
	})
}

func TestAllowedRegions(t *testing.T) {
	Convey("a request may use the regions that its route and its workspace both allow", t, func() {
		expect := func(ofRoute, ofWorkspace, want []string, possible bool) {
			regions, ok := route.AllowedRegions(&route.Route{AllowedRegions: ofRoute}, &route.Workspace{AllowedRegions: ofWorkspace})
			So(regions, ShouldResemble, want)
			So(ok, ShouldEqual, possible)
		}
		both := []string{"a", "b"}
		expect(nil, nil, nil, true)
		expect(both, nil, both, true)
		expect(nil, both, both, true)
		expect(both, []string{"c", "b"}, []string{"b"}, true)
		expect(both, []string{"c"}, nil, false)
	})
}
