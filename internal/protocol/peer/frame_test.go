package peer_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/coordination/member"
	"gypsumvale/internal/protocol/peer"
)

func expectRead(data []byte, want error) {
	_, err := peer.Read(bytes.NewReader(data), peer.MaxFrameBytes)
	So(errors.Is(err, want), ShouldBeTrue)
}

func TestFrames(t *testing.T) {
	whole, err := peer.Append(nil, &peer.Frame{Kind: peer.KindGrantRequest, Call: 7, Body: []byte{0x80}})
	if err != nil {
		t.Fatal(err)
	}
	Convey("a frame", t, func() {
		Convey("survives its encoding", func() {
			f, err := peer.Read(bytes.NewReader(whole), peer.MaxFrameBytes)
			So(err, ShouldBeNil)
			So(f.Call, ShouldEqual, 7)
		})
		Convey("that ends early is an error", func() { expectRead(whole[:len(whole)-1], io.ErrUnexpectedEOF) })
		Convey("without a length ends cleanly", func() { expectRead(nil, io.EOF) })
		Convey("of no bytes is malformed", func() { expectRead([]byte{0, 0, 0, 0}, peer.ErrFrame) })
		Convey("above the limit is malformed before it is read", func() { expectRead([]byte{0xff, 0xff, 0xff, 0xff}, peer.ErrFrame) })
		Convey("of other bytes is malformed", func() { expectRead([]byte{0, 0, 0, 2, 0xc1, 0xc1}, peer.ErrFrame) })
	})
	Convey("a heartbeat keeps what its counts say", t, func() {
		beat := peer.Heartbeat{Heartbeat: member.Heartbeat{
			From:   member.Info{Name: "a", Counter: 3, Status: member.Status{Revision: 9}},
			Counts: []member.Count{{ID: 5, Counter: 6, Status: member.Status{Revision: 7, Leaving: true}}},
		}}
		data, err := msgpack.Marshal(beat)
		So(err, ShouldBeNil)
		var got peer.Heartbeat
		So(msgpack.Unmarshal(data, &got), ShouldBeNil)
		So(got, ShouldResemble, beat)
	})
	Convey("a proof", t, func() {
		secret, challenge := []byte("a secret of the peers"), []byte("0123456789abcdef")
		hello := peer.Hello{Version: peer.Version, Name: "a", Incarnation: "a#1"}
		hello.Proof = peer.Prove(secret, challenge, hello.Name, hello.Incarnation)
		Convey("is taken", func() { So(peer.CheckProof(secret, challenge, &hello), ShouldBeNil) })
		Convey("under another secret is not", func() {
			So(errors.Is(peer.CheckProof([]byte("another"), challenge, &hello), peer.ErrHello), ShouldBeTrue)
		})
		Convey("for another name is not", func() {
			hello.Name = "b"
			So(errors.Is(peer.CheckProof(secret, challenge, &hello), peer.ErrHello), ShouldBeTrue)
		})
		Convey("of another version of the protocol is not", func() {
			hello.Version++
			So(errors.Is(peer.CheckProof(secret, challenge, &hello), peer.ErrHello), ShouldBeTrue)
		})
	})
}

func FuzzRead(f *testing.F) {
	whole, err := peer.Append(nil, &peer.Frame{Kind: peer.KindHeartbeat, Body: []byte{0x80}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Fuzz(func(_ *testing.T, data []byte) {
		frame, err := peer.Read(bytes.NewReader(data), peer.MaxFrameBytes)
		if err != nil {
			return
		}
		// What a peer sends as a body must not bring the reader down either.
		_ = msgpack.Unmarshal(frame.Body, &peer.Heartbeat{})
		_ = msgpack.Unmarshal(frame.Body, &peer.GrantRequest{})
		_ = msgpack.Unmarshal(frame.Body, &peer.Claim{})
	})
}
