package hosted_test

import (
	"net"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/standin/hosted"
)

// firstEphemeralPort is the lowest port that Linux gives to connections and to listeners at port 0.
const firstEphemeralPort = 32768

// An endpoint that restarts listens at the same address again, so no other listener may be given its port meanwhile.
func TestRestartWithPortTaken(t *testing.T) {
	Convey("an endpoint without a configured address listens below the ephemeral ports", t, func() {
		e, err := hosted.StartEndpoint(hosted.EndpointConfig{ID: "llm-0", Service: "llm", Work: time.Millisecond}, hosted.NewStore())
		So(err, ShouldBeNil)
		Reset(e.Stop)
		_, port, err := net.SplitHostPort(e.Address())
		So(err, ShouldBeNil)
		number, err := strconv.Atoi(port)
		So(err, ShouldBeNil)
		So(number, ShouldBeLessThan, firstEphemeralPort)
	})
}
