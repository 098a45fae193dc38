package peer

import (
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/coordination/document"
)

// Slice is the body of a KindSlice frame: the next part of a frame that is too large to be sent in one piece. The slices of a frame have the same
// number in Frame.Call, and go only to peers whose Hello says that they read them.
type Slice struct {
	_msgpack struct{} `msgpack:",as_array"`
	// Length is that of the whole encoding.
	Length int
	// Compressed is true if the encoding must be decompressed.
	Compressed bool
	// Answers is the number of the call that the frame answers, or zero.
	Answers uint64
	Data    []byte
}

// minSaving is the share of a frame's length, as a divisor, that compression must save to be used: bodies of callers are often compressed already.
const minSaving = 8

// windowBytes is how far back compression looks for repetitions.
const windowBytes = 256 << 10

// encoder and decoder keep their buffers between frames, about 1 MB for both.
var (
	encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
			zstd.WithWindowSize(windowBytes), zstd.WithEncoderCRC(true))
	})
	decoder      = sync.OnceValues(func() (*zstd.Decoder, error) { return newDecoder(MaxFrameBytes) })
	deltaDecoder = sync.OnceValues(func() (*zstd.Decoder, error) { return newDecoder(document.MaxBytes) })
)

// newDecoder returns a decoder whose results may have up to limit bytes.
func newDecoder(limit uint64) (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(limit))
}

// Compress returns a shorter encoding of a frame for a Slice, or false if compression doesn't make it much shorter.
func Compress(frame []byte) ([]byte, bool) {
	e, err := encoder()
	if err != nil {
		return nil, false
	}
	compressed := e.EncodeAll(frame, nil)
	return compressed, len(compressed) <= len(frame)-len(frame)/minSaving
}

// DecodeSlices decodes a frame of up to MaxFrameBytes from the data of its slices. The limit holds for what comes out of the decoder. Errors wrap
// ErrFrame.
func DecodeSlices(data []byte, compressed bool) (*Frame, error) {
	if compressed {
		d, err := decoder()
		if err != nil {
			return nil, fmt.Errorf("open decoder: %w", err)
		}
		if data, err = d.DecodeAll(data, nil); err != nil {
			return nil, fmt.Errorf("decompress frame (%v): %w", err, ErrFrame)
		}
	}
	f := &Frame{}
	if err := msgpack.Unmarshal(data, f); err != nil {
		return nil, fmt.Errorf("decode frame (%v): %w", err, ErrFrame)
	}
	if f.Kind == KindSlice {
		return nil, fmt.Errorf("slice within slices: %w", ErrFrame)
	}
	return f, nil
}
