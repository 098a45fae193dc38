package peer_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/coordination/member"
	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/protocol/peer"
)

func expectRead(data []byte, want error) {
	_, err := peer.Read(bytes.NewReader(data), peer.MaxFrameBytes)
	So(errors.Is(err, want), ShouldBeTrue)
}

func TestFrames(t *testing.T) {
	encoded, err := peer.Append(nil, &peer.Frame{Kind: peer.KindGrantRequest, Call: 7, Body: []byte{0x80}})
	if err != nil {
		t.Fatal(err)
	}
	Convey("a frame", t, func() {
		Convey("is decoded as it was encoded", func() {
			f, err := peer.Read(bytes.NewReader(encoded), peer.MaxFrameBytes)
			So(err, ShouldBeNil)
			So(f.Call, ShouldEqual, 7)
		})
		Convey("that is truncated returns io.ErrUnexpectedEOF", func() { expectRead(encoded[:len(encoded)-1], io.ErrUnexpectedEOF) })
		Convey("that is missing at the end of the stream returns io.EOF", func() { expectRead(nil, io.EOF) })
		Convey("with a length of zero is malformed", func() { expectRead([]byte{0, 0, 0, 0}, peer.ErrFrame) })
		Convey("with a length above the limit is refused before its body is read", func() {
			expectRead([]byte{0xff, 0xff, 0xff, 0xff}, peer.ErrFrame)
		})
		Convey("with a body that is not msgpack is malformed", func() { expectRead([]byte{0, 0, 0, 2, 0xc1, 0xc1}, peer.ErrFrame) })
	})
	Convey("a heartbeat is decoded with the Counts that were encoded", t, func() {
		heartbeat := peer.Heartbeat{Heartbeat: member.Heartbeat{
			From:   member.Info{Name: "a", Counter: 3, Status: member.Status{Revision: 9}},
			Counts: []member.Count{{ID: 5, Counter: 6, Status: member.Status{Revision: 7, Leaving: true}}},
		}}
		data, err := msgpack.Marshal(heartbeat)
		So(err, ShouldBeNil)
		var got peer.Heartbeat
		So(msgpack.Unmarshal(data, &got), ShouldBeNil)
		So(got, ShouldResemble, heartbeat)
	})
	Convey("the run of an endpoint's process", t, func() {
		// earlierReply and earlierReport have the fields of the release before.
		type earlierReply struct {
			Granted           bool
			Endpoint, Version string
		}
		type earlierReport struct{ Digest, Endpoint string }
		transcode := func(from, to any) {
			data, err := msgpack.Marshal(from)
			So(err, ShouldBeNil)
			So(msgpack.Unmarshal(data, to), ShouldBeNil)
		}
		Convey("is empty in messages of the release before", func() {
			var reply peer.GrantReply
			transcode(earlierReply{true, "e", "v"}, &reply)
			So(reply, ShouldResemble, peer.GrantReply{Granted: true, Endpoint: "e", Version: "v"})
			var report peer.CrashReport
			transcode(earlierReport{"d", "e"}, &report)
			So(report, ShouldResemble, peer.CrashReport{Digest: "d", Endpoint: "e"})
		})
		Convey("is ignored by the release before", func() {
			var reply earlierReply
			transcode(peer.GrantReply{Granted: true, Endpoint: "e", Version: "v", RunID: "r"}, &reply)
			So(reply, ShouldResemble, earlierReply{true, "e", "v"})
			var report earlierReport
			transcode(peer.CrashReport{Digest: "d", Endpoint: "e", RunID: "r"}, &report)
			So(report, ShouldResemble, earlierReport{"d", "e"})
		})
	})
	Convey("an assignment's end with a crash is read by a release that knows no crashes there, and one without a crash is sent as before", t, func() {
		type earlier struct {
			Service string
			Number  uint64
			Outcome placement.Outcome `msgpack:"End"`
		}
		update := peer.AssignmentUpdate{Service: "llm", Number: 7, Outcome: placement.OutcomeUnreachable}
		without, err := msgpack.Marshal(update)
		So(err, ShouldBeNil)
		update.Crash = &peer.CrashReport{Digest: "d", Endpoint: "e1", Parts: []string{"x"}}
		with, err := msgpack.Marshal(update)
		So(err, ShouldBeNil)
		var got earlier
		So(msgpack.Unmarshal(with, &got), ShouldBeNil)
		So(got, ShouldResemble, earlier{"llm", 7, placement.OutcomeUnreachable})
		expected, err := msgpack.Marshal(got)
		So(err, ShouldBeNil)
		So(without, ShouldResemble, expected)
	})
	Convey("a report of a crash with a number and an incarnation is read by a release that knows neither, and one of that release is read here", t, func() {
		type earlier struct {
			Digest, Endpoint, Service string
			Parts                     []string
			Answering                 bool
			SentAge, BrokenAge        time.Duration
		}
		old := earlier{"d", "e1", "llm", []string{"x"}, true, 2 * time.Second, time.Second}
		report := peer.CrashReport{
			Digest: "d", Endpoint: "e1", Service: "llm", Parts: []string{"x"}, Answering: true, SentAge: 2 * time.Second, BrokenAge: time.Second,
		}
		data, err := msgpack.Marshal(old)
		So(err, ShouldBeNil)
		var read peer.CrashReport
		So(msgpack.Unmarshal(data, &read), ShouldBeNil)
		So(read, ShouldResemble, report)
		report.Number, report.StartMilli = 7, 1
		data, err = msgpack.Marshal(report)
		So(err, ShouldBeNil)
		var got earlier
		So(msgpack.Unmarshal(data, &got), ShouldBeNil)
		So(got, ShouldResemble, old)
	})
	Convey("a choice with target versions is read by a release that knows none there, and one without is sent as before", t, func() {
		type earlier struct {
			Verdict    peer.PlaceVerdict
			Choice     placement.Choice
			RetryAfter time.Duration `msgpack:"Return"`
			Expected   time.Duration
		}
		reply := peer.PlaceReply{Verdict: peer.VerdictPlaced, Choice: placement.Choice{Endpoint: "e1", Version: 1}}
		without, err := msgpack.Marshal(reply)
		So(err, ShouldBeNil)
		reply.TargetVersions = []peer.TargetVersion{{Model: "m", Version: 2, MaxAge: time.Second}}
		with, err := msgpack.Marshal(reply)
		So(err, ShouldBeNil)
		var got earlier
		So(msgpack.Unmarshal(with, &got), ShouldBeNil)
		So(got, ShouldResemble, earlier{Verdict: reply.Verdict, Choice: reply.Choice})
		expected, err := msgpack.Marshal(got)
		So(err, ShouldBeNil)
		So(without, ShouldResemble, expected)
		var again peer.PlaceReply
		So(msgpack.Unmarshal(with, &again), ShouldBeNil)
		So(again, ShouldResemble, reply)
	})
	Convey("a handshake proof", t, func() {
		secret, challenge := []byte("a secret of the peers"), []byte("0123456789abcdef")
		hello := peer.Hello{Version: peer.Version, Name: "a", Incarnation: "a#1"}
		hello.Proof = peer.Prove(secret, challenge, hello.Name, hello.Incarnation)
		Convey("with the shared secret is accepted", func() { So(peer.CheckProof(secret, challenge, &hello), ShouldBeNil) })
		Convey("with another secret is refused", func() {
			So(errors.Is(peer.CheckProof([]byte("another"), challenge, &hello), peer.ErrHello), ShouldBeTrue)
		})
		Convey("for another name is refused", func() {
			hello.Name = "b"
			So(errors.Is(peer.CheckProof(secret, challenge, &hello), peer.ErrHello), ShouldBeTrue)
		})
		Convey("with another protocol version is refused", func() {
			hello.Version++
			So(errors.Is(peer.CheckProof(secret, challenge, &hello), peer.ErrHello), ShouldBeTrue)
		})
	})
}

func FuzzRead(f *testing.F) {
	encoded, err := peer.Append(nil, &peer.Frame{Kind: peer.KindHeartbeat, Body: []byte{0x80}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Fuzz(func(_ *testing.T, data []byte) {
		frame, err := peer.Read(bytes.NewReader(data), peer.MaxFrameBytes)
		if err != nil {
			return
		}
		// Decoding an arbitrary body must not panic either.
		_ = msgpack.Unmarshal(frame.Body, &peer.Heartbeat{})
		_ = msgpack.Unmarshal(frame.Body, &peer.GrantRequest{})
		_ = msgpack.Unmarshal(frame.Body, &peer.Claim{})
	})
}
