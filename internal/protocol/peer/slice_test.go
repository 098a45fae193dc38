package peer_test

import (
	"bytes"
	"crypto/rand"
	"errors"
	"testing"

	"github.com/klauspost/compress/zstd"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/protocol/peer"
)

func TestSlices(t *testing.T) {
	encode := func(f *peer.Frame) []byte {
		data, err := msgpack.Marshal(f)
		So(err, ShouldBeNil)
		return data
	}
	Convey("a frame is decoded from the data of its slices, compressed or not", t, func() {
		f := &peer.Frame{Kind: peer.KindSync, Call: 7, Body: encode(&peer.Frame{Err: string(bytes.Repeat([]byte("route "), 10000))})}
		data := encode(f)
		compressed, ok := peer.Compress(data)
		So(ok, ShouldBeTrue)
		So(len(compressed), ShouldBeLessThan, len(data)/10)
		got, err := peer.DecodeSlices(compressed, true)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, f)
		got, err = peer.DecodeSlices(data, false)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, f)
	})
	Convey("what compression doesn't make shorter is sent as it is", t, func() {
		data := make([]byte, 100_000)
		_, _ = rand.Read(data)
		_, ok := peer.Compress(data)
		So(ok, ShouldBeFalse)
	})
	expectMalformed := func(data []byte, compressed bool) {
		_, err := peer.DecodeSlices(data, compressed)
		So(errors.Is(err, peer.ErrFrame), ShouldBeTrue)
	}
	Convey("slices are malformed", t, func() {
		Convey("if they expand beyond the limit on a frame, whether their encoding tells the length or not", func() {
			e, err := zstd.NewWriter(nil)
			So(err, ShouldBeNil)
			expectMalformed(e.EncodeAll(make([]byte, peer.MaxFrameBytes+1), nil), true)
			var stream bytes.Buffer
			e.Reset(&stream)
			for range 100 {
				_, err := e.Write(make([]byte, peer.MaxFrameBytes))
				So(err, ShouldBeNil)
			}
			So(e.Close(), ShouldBeNil)
			So(stream.Len(), ShouldBeLessThan, peer.MaxFrameBytes/10)
			expectMalformed(stream.Bytes(), true)
		})
		Convey("if they aren't compressed though they should be", func() { expectMalformed([]byte("abc"), true) })
		Convey("if they hold no frame", func() { expectMalformed([]byte{0xc1}, false) })
		Convey("if they hold a slice", func() {
			expectMalformed(encode(&peer.Frame{Kind: peer.KindSlice, Body: []byte{0x80}}), false)
		})
	})
	Convey("a hello that reads slices is accepted by a release that doesn't know them", t, func() {
		type earlier struct {
			Version           int
			Name, Incarnation string
			Challenge, Proof  []byte
		}
		data, err := msgpack.Marshal(&peer.Hello{Version: 2, Name: "a", Slices: true})
		So(err, ShouldBeNil)
		var got earlier
		So(msgpack.Unmarshal(data, &got), ShouldBeNil)
		So(got, ShouldResemble, earlier{Version: 2, Name: "a"})
		data, err = msgpack.Marshal(&got)
		So(err, ShouldBeNil)
		var hello peer.Hello
		So(msgpack.Unmarshal(data, &hello), ShouldBeNil)
		So(hello.Slices, ShouldBeFalse)
	})
}
