package kv_test

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/state/kv"
)

// Two releases that compute different digests would send each other all keys with each reply.
func TestDigestOfEarlierReleases(t *testing.T) {
	Convey("a digest is that of the keys and decimal revisions, each with a zero byte after it", t, func() {
		items := []kv.Item{{Key: "gypsum/lead", Revision: 17, Data: []byte("x")}, {Key: "gypsum/last", Revision: 1 << 50}}
		So(kv.Digest(items), ShouldEqual, xxhash.Sum64String("gypsum/lead\x0017\x00gypsum/last\x001125899906842624\x00"))
	})
}
