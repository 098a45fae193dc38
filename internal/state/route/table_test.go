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
		table, err := route.NewTable(&route.TableParts{Version: 3, Routes: []*route.Route{routeTo("/a/", one), routeTo("/a/b/", one)}, Workspaces: []*route.Workspace{w}})
		So(err, ShouldBeNil)
		Convey("picks the longest prefix", func() { expectMatch(table, "site.example", "/a/b/c", "/a/b/") })
		Convey("picks by raw path", func() { expectMatch(table, "site.example", "/a/%62/c", "/a/") })
		Convey("ignores port and case of the host", func() { expectMatch(table, "SITE.example:80", "/a/", "/a/") })
		Convey("has no route for other hosts", func() { expectMatch(table, "other.example", "/a/", "") })
		Convey("has no route for other paths", func() { expectMatch(table, "site.example", "/ab/", "") })
		Convey("knows its keys", func() {
			So(table.Workspace("k"), ShouldEqual, w)
			So(table.Workspace("x"), ShouldBeNil)
			So(table.RequiresKeys(), ShouldBeTrue)
		})
	})
	Convey("a split sends each service its share", t, func() {
		r := routeTo("/a/", route.Target{Service: "s", Weight: 3}, route.Target{Service: "t", Weight: 1})
		count := map[string]int{}
		for x := range uint64(400) {
			count[r.Pick(x)]++
		}
		So(count, ShouldResemble, map[string]int{"s": 300, "t": 100})
	})
	Convey("what breaks a rule is refused", t, func() {
		expectInvalid(routeTo("a/", one))
		expectInvalid(routeTo("/a", one))
		expectInvalid(routeTo("/a/"))
		expectInvalid(routeTo("/a/", route.Target{Service: "s", Weight: -1}))
		untimed := routeTo("/a/", one)
		untimed.Timeout = 0
		expectInvalid(untimed)
		unknown := routeTo("/a/", one)
		unknown.Kind = 0
		expectInvalid(unknown)
	})
	Convey("streams are repeatable only if they are resumable", t, func() {
		So((&route.Route{Kind: route.Stream}).Repeatable(), ShouldBeFalse)
		So((&route.Route{Kind: route.Stream, Resumable: true}).Repeatable(), ShouldBeTrue)
		So((&route.Route{Kind: route.AtMostOnce, Resumable: true}).Repeatable(), ShouldBeFalse)
	})
}
