package transfer

import (
	"slices"

	"github.com/pkg/errors"
)

const (
	// SliceBytes is the largest part of a frame that is sent at once, and the length from which a frame is divided: about 13 ms of a link of
	// 10 Mbit/s, so that a small frame waits no longer than a few of them.
	SliceBytes = 16 << 10
	// MaxTransfers is the number of large frames that are sent in turn. Further ones wait, so that each of them gets a share that ends.
	MaxTransfers = 4
	// maxFrames and maxBytes bound what waits for a connection.
	maxFrames = 4096
	maxBytes  = 16 << 20
)

// ErrFull is returned when too much waits for a connection, because the peer reads too slowly.
var ErrFull = errors.New("queue is full")

// Frame is a frame that waits to be sent.
type Frame struct {
	// Data is the encoding.
	Data []byte
	// Sliced is true if the frame is sent in slices. Otherwise nothing else is sent between its first byte and its last.
	Sliced bool
	// Compressed is true if Data must be decompressed, and Answers is the number of the call that the frame answers, or zero; they are told to
	// the peer with each slice.
	Compressed bool
	Answers    uint64
	// Ended is called after the last byte was written, or with the error for which it won't be. It may be nil.
	Ended func(error)

	number uint64
	sent   int
}

// End tells that the last byte was written, or for which error it won't be.
func (f *Frame) End(err error) {
	if f.Ended != nil {
		f.Ended(err)
	}
}

// Part is what is to be written next.
type Part struct {
	// Data is a slice of Frame or, if that is nil, a number of whole frames.
	Data  []byte
	Frame *Frame
	// Number identifies the frame among those of the connection.
	Number uint64
	// Completes holds the frames whose last byte is in Data.
	Completes []*Frame
}

// Queue holds the frames that wait for a connection. Frames that aren't sliced go first, and after each batch of them a slice of a large one, so that
// neither waits for all of the other. The zero value is empty.
type Queue struct {
	whole []*Frame
	large []*Frame
	bytes int
	// next is the position in large of the frame whose turn it is, and sliceDue is true if a slice goes before further whole frames.
	next     int
	sliceDue bool
	// lastNumber is the number of the last frame that was divided.
	lastNumber uint64
}

// Push adds a frame. The error is ErrFull.
func (q *Queue) Push(f *Frame) error {
	if len(q.whole)+len(q.large) >= maxFrames || q.bytes > 0 && q.bytes+len(f.Data) > maxBytes {
		return ErrFull
	}
	q.bytes += len(f.Data)
	if !f.Sliced {
		q.whole = append(q.whole, f)
		return nil
	}
	q.lastNumber++
	f.number = q.lastNumber
	q.large = append(q.large, f)
	return nil
}

// Next removes what is to be written next, and reports false if nothing waits. Whole frames are combined up to a number of bytes.
func (q *Queue) Next(limit int) (Part, bool) {
	switch {
	case len(q.large) > 0 && (q.sliceDue || len(q.whole) == 0):
		q.sliceDue = false
		return q.nextSlice(), true
	case len(q.whole) > 0:
		q.sliceDue = true
		return q.nextWhole(limit), true
	}
	return Part{}, false
}

// nextWhole removes whole frames, at least one and further ones up to a limit.
func (q *Queue) nextWhole(limit int) Part {
	data, count := q.whole[0].Data, 1
	for count < len(q.whole) && len(data)+len(q.whole[count].Data) <= limit {
		data = append(data, q.whole[count].Data...)
		count++
	}
	sent := slices.Clone(q.whole[:count])
	clear(q.whole[:count])
	if q.whole = q.whole[count:]; len(q.whole) == 0 {
		// The memory of a burst is released.
		q.whole = nil
	}
	q.bytes -= len(data)
	return Part{Data: data, Completes: sent}
}

// nextSlice removes a slice of the large frame whose turn it is.
func (q *Queue) nextSlice() Part {
	if q.next >= min(len(q.large), MaxTransfers) {
		q.next = 0
	}
	f := q.large[q.next]
	data := f.Data[f.sent:min(len(f.Data), f.sent+SliceBytes)]
	f.sent += len(data)
	q.bytes -= len(data)
	part := Part{Data: data, Frame: f, Number: f.number}
	if f.sent < len(f.Data) {
		q.next++
		return part
	}
	// The next frame moves up to this position.
	q.large = slices.Delete(q.large, q.next, q.next+1)
	part.Completes = []*Frame{f}
	return part
}

// Drain removes all frames, and returns them, as they won't be sent as a whole.
func (q *Queue) Drain() []*Frame {
	all := slices.Concat(q.whole, q.large)
	*q = Queue{lastNumber: q.lastNumber}
	return all
}
