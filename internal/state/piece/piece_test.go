package piece_test

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/state/piece"
)

func TestNames(t *testing.T) {
	size := piece.Tokens * piece.BytesPerToken
	text := strings.Repeat("a", size) + strings.Repeat("b", size) + "rest"
	scope := piece.Scope{Workspace: "w", Model: "m", Version: "v1"}
	names := piece.Names(scope, text)
	expectOther := func(change func(*piece.Scope)) {
		other := scope
		change(&other)
		for i, name := range piece.Names(other, text) {
			So(name, ShouldNotEqual, names[i])
		}
	}
	Convey("piece names", t, func() {
		Convey("are only returned for complete pieces", func() { So(len(names), ShouldEqual, 2) })
		Convey("are equal for contexts with the same prefix", func() {
			So(piece.Names(scope, text+strings.Repeat("c", size))[:2], ShouldResemble, names)
		})
		Convey("differ after another prefix", func() {
			So(piece.Names(scope, "x"+text[1:])[1], ShouldNotEqual, names[1])
		})
		Convey("differ by workspace", func() { expectOther(func(s *piece.Scope) { s.Workspace = "x" }) })
		Convey("differ by model", func() { expectOther(func(s *piece.Scope) { s.Model = "x" }) })
		Convey("differ by weight version", func() { expectOther(func(s *piece.Scope) { s.Version = "v2" }) })
		Convey("differ by adapter", func() { expectOther(func(s *piece.Scope) { s.Adapter = "x" }) })
		Convey("differ when text moves between two fields", func() { expectOther(func(s *piece.Scope) { s.Workspace, s.Model = "wm", "" }) })
	})
}
