package settings_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/settings"
)

// expectHostedFault replaces text in the example and checks that the given key is the only fault.
func expectHostedFault(from, to, section, key string) {
	data, err := os.ReadFile("../../examples/hosted.ini")
	So(err, ShouldBeNil)
	So(string(data), ShouldContainSubstring, from)
	_, err = settings.ParseHosted("f", []byte(strings.Replace(string(data), from, to, 1)))
	So(err, ShouldNotBeNil)
	faults := err.(*settings.FaultsError).Faults
	So(faults, ShouldHaveLength, 1)
	So(faults[0].Section, ShouldEqual, section)
	So(faults[0].Key, ShouldEqual, key)
}

func TestHosted(t *testing.T) {
	Convey("settings of a hosted entry", t, func() {
		Convey("are read from the example file", func() {
			cfg, err := settings.ReadHosted("../../examples/hosted.ini")
			So(err, ShouldBeNil)
			So(cfg.RetryReserve, ShouldEqual, 126)
			edge, err := settings.ReadEdge("../../examples/hosted.ini")
			So(err, ShouldBeNil)
			So(edge, ShouldEqual, settings.EdgeHosted)
		})
		Convey("advertise the peers address by default", func() {
			cfg, err := settings.ReadHosted("../../examples/hosted.ini")
			So(err, ShouldBeNil)
			So(cfg.Advertise, ShouldEqual, cfg.Peers)
			expectHostedFault("peers = 127.0.0.1:7260", "peers = 127.0.0.1:7260\nadvertise = gate:7260", "instance", "advertise")
		})
		Convey("name the regions of zones, which need a restart to change", func() {
			data, err := os.ReadFile("../../examples/hosted.ini")
			So(err, ShouldBeNil)
			cfg, err := settings.ParseHosted("f", append(data, []byte("\n[zones]\nrennes = west\nbrest = west\n")...))
			So(err, ShouldBeNil)
			So(cfg.Regions, ShouldResemble, map[string]string{"rennes": "west", "brest": "west"})
			without, err := settings.ParseHosted("f", data)
			So(err, ShouldBeNil)
			So(without.CheckReload(cfg), ShouldWrap, settings.ErrNeedsRestart)
			So(cfg.CheckReload(cfg), ShouldBeNil)
			expectHostedFault("[log]", "[zones]\nrennes = West Coast\n[log]", "zones", "rennes")
		})
		Convey("default to the native edge", func() {
			edge, err := settings.ReadEdge("../../examples/le-goff.ini")
			So(err, ShouldBeNil)
			So(edge, ShouldEqual, settings.EdgeNative)
		})
		Convey("can be adopted by a running process if only bounds differ", func() {
			data, err := os.ReadFile("../../examples/hosted.ini")
			So(err, ShouldBeNil)
			read := func(from, to string) *settings.Hosted {
				cfg, err := settings.ParseHosted("f", []byte(strings.Replace(string(data), from, to, 1)))
				So(err, ShouldBeNil)
				return cfg
			}
			old, bounds := read("", ""), read("leaving = 2s", "leaving = 3s")
			So(old.CheckReload(bounds), ShouldBeNil)
			So(bounds.Bounds.Digest(), ShouldNotEqual, old.Bounds.Digest())
			renamed := read("name = rennes-e00", "name = rennes-e01")
			So(errors.Is(old.CheckReload(renamed), settings.ErrNeedsRestart), ShouldBeTrue)
			So(renamed.Digest, ShouldNotEqual, old.Digest)
			So(renamed.Bounds.Digest(), ShouldEqual, old.Bounds.Digest())
		})
		Convey("require IP addresses rather than host names", func() {
			expectHostedFault("callers = 127.0.0.1:8580", "callers = localhost:8580", "instance", "callers")
			expectHostedFault("metrics = 127.0.0.1:9464", "metrics = 9464", "instance", "metrics")
		})
		Convey("require the store's address", func() { expectHostedFault("store = 127.0.0.1:8587", "", "platform", "store") })
		Convey("reject malformed durations", func() { expectHostedFault("revocation = 5s", "revocation = 5000", "bounds", "revocation") })
		Convey("reject shares out of range", func() { expectHostedFault("retry_share = 0.2", "retry_share = 2", "bounds", "retry_share") })
		Convey("reject limits of connections and buffers out of range", func() {
			expectHostedFault("threads = 1", "threads = 1\nconnections = 0", "process", "connections")
			expectHostedFault("threads = 1", "threads = 1\nbuffers = 1", "process", "buffers")
		})
		Convey("reject unknown keys", func() { expectHostedFault("[log]", "[log]\nshape = x", "log", "shape") })
	})
}
