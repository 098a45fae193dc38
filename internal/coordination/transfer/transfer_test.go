package transfer_test

import (
	"bytes"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/transfer"
)

// order returns what a queue writes, by the first byte of each whole frame or slice.
func order(q *transfer.Queue) string {
	var s []byte
	for {
		part, ok := q.Next(1)
		if !ok {
			return string(s)
		}
		s = append(s, part.Data[0])
	}
}

func frame(name byte, slices int) *transfer.Frame {
	return &transfer.Frame{Data: bytes.Repeat([]byte{name}, slices*transfer.SliceBytes), Sliced: true}
}

func TestQueue(t *testing.T) {
	Convey("a queue", t, func() {
		var q transfer.Queue
		push := func(f *transfer.Frame) { So(q.Push(f), ShouldBeNil) }
		small := func(name byte) { push(&transfer.Frame{Data: []byte{name}}) }
		Convey("sends a small frame before the next slice of a large one that was there before", func() {
			push(frame('L', 3))
			part, _ := q.Next(1)
			So(part.Data[0], ShouldEqual, 'L')
			small('a')
			small('b')
			So(order(&q), ShouldEqual, "aLbL")
		})
		Convey("sends a slice after each batch of small frames, so that these don't stop a large one", func() {
			small('a')
			push(frame('L', 2))
			small('b')
			small('c')
			So(order(&q), ShouldEqual, "aLbLc")
		})
		Convey("combines small frames", func() {
			small('a')
			small('b')
			part, ok := q.Next(100)
			So(ok, ShouldBeTrue)
			So(string(part.Data), ShouldEqual, "ab")
		})
		Convey("sends a few large frames in turn, and further ones after them", func() {
			for i := range transfer.MaxTransfers + 1 {
				push(frame(byte('A'+i), 2))
			}
			So(order(&q), ShouldEqual, "ABCDABCDEE")
		})
		Convey("sends a frame that isn't sliced without a break", func() {
			push(&transfer.Frame{Data: bytes.Repeat([]byte("W"), 3*transfer.SliceBytes)})
			small('a')
			part, _ := q.Next(100)
			So(len(part.Data), ShouldEqual, 3*transfer.SliceBytes)
		})
		Convey("is full before it takes much memory, and takes frames again once something was sent", func() {
			pushed := 0
			for q.Push(frame('L', 64)) == nil {
				pushed++
			}
			So(pushed, ShouldEqual, 16)
			So(errors.Is(q.Push(frame('L', 1)), transfer.ErrFull), ShouldBeTrue)
			for range 64 {
				q.Next(1)
			}
			So(q.Push(frame('L', 1)), ShouldBeNil)
		})
		Convey("tells which frames a part completes", func() {
			push(frame('L', 2))
			small('a')
			small('b')
			var completed []byte
			for range 3 {
				part, _ := q.Next(100)
				for _, f := range part.Completes {
					completed = append(completed, f.Data[0])
				}
			}
			So(string(completed), ShouldEqual, "abL")
		})
		Convey("returns the frames that won't be sent", func() {
			push(frame('L', 2))
			q.Next(1)
			small('a')
			So(len(q.Drain()), ShouldEqual, 2)
			So(order(&q), ShouldEqual, "")
		})
	})
}

func TestAssembly(t *testing.T) {
	const limit = 100
	Convey("slices of two frames that arrive in turn", t, func() {
		var a transfer.Assembly
		add := func(number uint64, data string) []byte {
			whole, err := a.Add(number, 6, limit, []byte(data))
			So(err, ShouldBeNil)
			return whole
		}
		So(add(1, "abc"), ShouldBeNil)
		So(add(2, "uvw"), ShouldBeNil)
		So(a.Held(), ShouldEqual, 6)
		So(string(add(1, "def")), ShouldEqual, "abcdef")
		So(string(add(2, "xyz")), ShouldEqual, "uvwxyz")
		So(a.Held(), ShouldEqual, 0)
	})
	Convey("a slice is malformed", t, func() {
		var a transfer.Assembly
		expectMalformed := func(number uint64, length int, data string) {
			_, err := a.Add(number, length, limit, []byte(data))
			So(errors.Is(err, transfer.ErrSlice), ShouldBeTrue)
		}
		Convey("without a length, or above the limit", func() {
			expectMalformed(1, 0, "a")
			expectMalformed(1, -1, "a")
			expectMalformed(1, limit+1, "a")
		})
		Convey("without data, or with more than its frame has", func() {
			expectMalformed(1, 3, "")
			expectMalformed(1, 3, "abcd")
		})
		Convey("of one frame more than may arrive at once", func() {
			for i := range transfer.MaxTransfers {
				_, err := a.Add(uint64(i), 3, limit, []byte("a"))
				So(err, ShouldBeNil)
			}
			expectMalformed(99, 3, "a")
		})
	})
}

// FuzzAssembly checks that what a queue sends arrives as it was, whatever the lengths of the frames.
func FuzzAssembly(f *testing.F) {
	f.Add(uint16(1), uint16(40000), uint16(16384))
	f.Fuzz(func(t *testing.T, x, y, z uint16) {
		var q transfer.Queue
		want := make(map[uint64][]byte)
		for i, n := range []uint16{x, y, z} {
			data := bytes.Repeat([]byte{byte(i + 1)}, int(n)+1)
			if err := q.Push(&transfer.Frame{Data: data, Sliced: true}); err != nil {
				t.Fatal(err)
			}
			want[uint64(i+1)] = data
		}
		var a transfer.Assembly
		for {
			part, ok := q.Next(1)
			if !ok {
				break
			}
			got, err := a.Add(part.Number, len(part.Frame.Data), 1<<20, part.Data)
			if err != nil {
				t.Fatal(err)
			}
			if (got != nil) != (len(part.Completes) == 1) || got != nil && !bytes.Equal(got, want[part.Number]) {
				t.Fatalf("frame %d: got %d bytes", part.Number, len(got))
			}
			if got != nil {
				delete(want, part.Number)
			}
		}
		if len(want) > 0 || a.Held() != 0 {
			t.Fatalf("%d frames are missing, %d bytes held", len(want), a.Held())
		}
	})
}
