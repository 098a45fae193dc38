package settings_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/settings"
)

// example returns the example file with the first occurrence of old replaced.
func example(t *testing.T, old, replacement string) []byte {
	t.Helper()
	data, err := os.ReadFile("../../examples/le-goff.ini")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(data), old) {
		t.Fatalf("the example has no %q", old)
	}
	return []byte(strings.Replace(string(data), old, replacement, 1))
}

func TestParseEntry(t *testing.T) {
	expectFault := func(old, replacement, section, key string) {
		_, err := settings.ParseEntry("f", example(t, old, replacement))
		var faults *settings.FaultsError
		So(errors.As(err, &faults), ShouldBeTrue)
		So(len(faults.Faults), ShouldEqual, 1)
		So(faults.Faults[0].Section, ShouldEqual, section)
		So(faults.Faults[0].Key, ShouldEqual, key)
	}
	Convey("settings", t, func() {
		Convey("of both example customers are valid", func() {
			for _, name := range []string{"le-goff", "teranga"} {
				_, err := settings.ReadEntry("../../examples/" + name + ".ini")
				So(err, ShouldBeNil)
			}
		})
		Convey("require a name", func() { expectFault("name = rennes-e00", "", "instance", "name") })
		Convey("require IP addresses rather than host names", func() {
			expectFault("callers = 127.0.0.1", "callers = localhost", "instance", "callers")
		})
		Convey("reject numbers out of range", func() {
			expectFault("writes_per_second = 200", "writes_per_second = 0", "platform", "writes_per_second")
		})
		Convey("reject durations out of range", func() {
			expectFault("request_timeout = 60s", "request_timeout = 5ms", "limits", "request_timeout")
		})
		Convey("reject a short secret", func() { expectFault("secret = peer-secret-of-the-demo", "secret = short", "peers", "secret") })
		Convey("reject unknown keys", func() { expectFault("[log]", "[log]\nshape = info", "log", "shape") })
		Convey("reject unknown log levels", func() { expectFault("level = info", "level = loud", "log", "level") })
		Convey("reject malformed seeds", func() { expectFault("seeds = brest-e01", "seeds = Brest!, brest-e01", "peers", "seeds") })
		Convey("report all faults together with their lines, and mask secrets", func() {
			data := strings.Replace(string(example(t, "secret = peer-secret-of-the-demo", "secret = tiny")), "zone = rennes", "zone = R!", 1)
			_, err := settings.ParseEntry("f", []byte(data))
			So(err.Error(), ShouldContainSubstring, "2 faults")
			So(err.Error(), ShouldContainSubstring, "line 4: [instance] zone")
			So(err.Error(), ShouldNotContainSubstring, "tiny")
		})
	})
}
