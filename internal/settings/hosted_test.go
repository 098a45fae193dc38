package settings_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/settings"
)

// expectHostedFault changes one line of the example and checks that just its key is at fault.
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
		Convey("are read from the example", func() {
			cfg, err := settings.ReadHosted("../../examples/hosted.ini")
			So(err, ShouldBeNil)
			So(cfg.RetryReserve, ShouldEqual, 126)
			edge, err := settings.ReadEdge("../../examples/hosted.ini")
			So(err, ShouldBeNil)
			So(edge, ShouldEqual, settings.EdgeHosted)
		})
		Convey("advertise the address of peers, unless another is named", func() {
			cfg, err := settings.ReadHosted("../../examples/hosted.ini")
			So(err, ShouldBeNil)
			So(cfg.Advertise, ShouldEqual, cfg.Peers)
			expectHostedFault("peers = 127.0.0.1:7260", "peers = 127.0.0.1:7260\nadvertise = gate:7260", "instance", "advertise")
		})
		Convey("are native if no edge is named", func() {
			edge, err := settings.ReadEdge("../../examples/le-goff.ini")
			So(err, ShouldBeNil)
			So(edge, ShouldEqual, settings.EdgeNative)
		})
		Convey("need IP numbers", func() {
			expectHostedFault("callers = 127.0.0.1:8580", "callers = localhost:8580", "instance", "callers")
			expectHostedFault("metrics = 127.0.0.1:9464", "metrics = 9464", "instance", "metrics")
		})
		Convey("need a store", func() { expectHostedFault("store = 127.0.0.1:8587", "", "platform", "store") })
		Convey("bound times", func() { expectHostedFault("revocation = 5s", "revocation = 5000", "bounds", "revocation") })
		Convey("bound shares", func() { expectHostedFault("retry_share = 0.2", "retry_share = 2", "bounds", "retry_share") })
		Convey("know their keys", func() { expectHostedFault("[log]", "[log]\nshape = x", "log", "shape") })
	})
}
