package transfer

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrSlice is returned for a slice that doesn't fit the ones before it, or that exceeds a limit.
var ErrSlice = errors.New("malformed slice")

// Assembly puts the slices that arrive over a connection together. The zero value has none.
type Assembly struct {
	open map[uint64][]byte
	held int
}

// Add adds a slice of a frame with a number and a length, which may be up to limit bytes, and returns the frame's encoding once it is complete.
//
// Memory is taken as bytes arrive, never for the announced length.
func (a *Assembly) Add(number uint64, length, limit int, data []byte) (encoding []byte, err error) {
	had, known := a.open[number]
	switch {
	case length <= 0 || length > limit:
		return nil, fmt.Errorf("frame of %d bytes, limit %d: %w", length, limit, ErrSlice)
	case len(data) == 0 || len(had)+len(data) > length:
		return nil, fmt.Errorf("slice of %d bytes after %d of %d: %w", len(data), len(had), length, ErrSlice)
	case !known && len(a.open) >= MaxTransfers:
		return nil, fmt.Errorf("more than %d frames at once: %w", MaxTransfers, ErrSlice)
	}
	had = append(had, data...)
	a.held += len(data)
	if len(had) == length {
		delete(a.open, number)
		a.held -= length
		return had, nil
	}
	if a.open == nil {
		a.open = make(map[uint64][]byte)
	}
	a.open[number] = had
	return nil, nil
}

// Held returns the number of bytes of incomplete frames.
func (a *Assembly) Held() int { return a.held }
