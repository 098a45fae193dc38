package red_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/red"
)

func TestKnown(t *testing.T) {
	Convey("a list of known faults in a parent of the working directory", t, func() {
		dir := t.TempDir()
		So(os.WriteFile(filepath.Join(dir, "KNOWN-RED.txt"), []byte("# a comment\nTestA: is fast\n  seen: 3\n"), 0o600), ShouldBeNil)
		inner := filepath.Join(dir, "a", "b")
		So(os.MkdirAll(inner, 0o700), ShouldBeNil)
		t.Chdir(inner)
		So(red.Known("TestA", "is fast"), ShouldBeTrue)
		So(red.Known("TestA", "is"), ShouldBeFalse)
		So(red.Known("TestB", "is fast"), ShouldBeFalse)
	})
}
