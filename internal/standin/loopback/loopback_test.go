package loopback_test

import (
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/standin/loopback"
)

func TestFreeAddress(t *testing.T) {
	Convey("reserved addresses stay free while other listeners take ephemeral ports", t, func() {
		var reserved []string
		for range 300 {
			address, err := loopback.FreeAddress()
			So(err, ShouldBeNil)
			reserved = append(reserved, address)
		}
		var busy []net.Listener
		defer func() {
			for _, l := range busy {
				_ = l.Close()
			}
		}()
		for range 400 {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			busy = append(busy, l)
		}
		for _, address := range reserved {
			l, err := net.Listen("tcp", address)
			So(err, ShouldBeNil)
			busy = append(busy, l)
		}
	})
}
