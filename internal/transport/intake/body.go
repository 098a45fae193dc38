package intake

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/coordination/memory"
)

// Errors of ReadBody, matched with errors.Is.
var (
	// ErrTooLarge is returned for a body over the limit.
	ErrTooLarge = errors.New("body too large")
	// ErrNoMemory is returned for a body that finds no room, or that had to give way to others.
	ErrNoMemory = errors.New("no memory for the body")
	// ErrLate is returned for a body that isn't complete at its deadline.
	ErrLate = errors.New("body late")
)

const (
	// firstStep is the memory allocated for a body at first, unless it is known to be shorter. It doubles from there.
	firstStep = 16 << 10
	// unknownStep is the same for a body of unknown length.
	unknownStep = 4 << 10
)

// Held is the memory that a request holds. A nil Held holds none.
type Held struct {
	guard  *Guard
	charge *memory.Charge
}

// Release returns the memory.
func (h *Held) Release() {
	if h == nil {
		return
	}
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	h.guard.account.Close(h.charge)
}

func (g *Guard) hold(u memory.Use, evict func()) *Held {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Held{g, g.account.Open(u, evict)}
}

// interrupted is a read deadline in the past, which ends a read in progress.
var interrupted = time.Unix(1, 0)

// ReadRequest reads the body of a request to its end by a deadline. The caller releases the memory once it no longer needs the body; after an
// error none is held. Errors wrap ErrTooLarge, ErrNoMemory, ErrLate or the error of the connection.
func (g *Guard) ReadRequest(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, *Held, error) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	control := http.NewResponseController(w)
	// An error shows with the first read.
	_ = control.SetReadDeadline(deadline)
	body, held, err := g.ReadBody(r.Body, r.ContentLength, limit, func() { _ = control.SetReadDeadline(interrupted) })
	switch {
	case err == nil:
		// net/http goes on reading to notice that the client leaves, and would take the end of the deadline for that.
		_ = control.SetReadDeadline(time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = ErrLate
	}
	if c := connOf(r.Context()); c != nil && (errors.Is(err, ErrLate) || errors.Is(err, ErrNoMemory)) {
		c.interrupted = true
	}
	return body, held, err
}

// ReadBody reads a body to its end. The length is -1 if it isn't known. interrupt must end the read in progress when the body gives way to
// others. The caller releases the memory once it no longer needs the body; after an error none is held.
//
// Errors wrap ErrTooLarge, ErrNoMemory or the reader's error.
func (g *Guard) ReadBody(r io.Reader, length, limit int64, interrupt func()) ([]byte, *Held, error) {
	if length > limit {
		return nil, nil, ErrTooLarge
	}
	if length == 0 {
		return nil, nil, nil
	}
	h := g.hold(memory.Bodies, interrupt)
	body, err := h.read(r, length, limit)
	g.mu.Lock()
	complete := g.account.Complete(h.charge)
	g.mu.Unlock()
	if err == nil && complete {
		return body, h, nil
	}
	h.Release()
	if !complete {
		// The reader's error is that of the interruption.
		err = ErrNoMemory
	}
	if errors.Is(err, errNoSpace) {
		g.count(reasonBodies)
		err = ErrNoMemory
	}
	return nil, nil, err
}

// errNoSpace is returned by read if the body can't grow.
var errNoSpace = errors.New("no space")

func (h *Held) read(r io.Reader, length, limit int64) ([]byte, error) {
	end, size := limit, int64(unknownStep)
	if length > 0 {
		end, size = length, firstStep
	}
	size = min(size, end)
	if !h.guard.grow(h.charge, size) {
		return nil, errNoSpace
	}
	body := make([]byte, 0, size)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err //nolint:wrapcheck // The caller wraps it.
		case len(body) < cap(body):
			h.recordProgress()
			continue
		case int64(len(body)) == end:
			return body, expectEnd(r)
		}
		if body, err = h.enlarge(body, min(2*int64(cap(body)), end)); err != nil {
			return nil, err
		}
	}
}

// expectEnd returns ErrTooLarge unless a reader is at its end.
func expectEnd(r io.Reader) error {
	var b [1]byte
	switch _, err := io.ReadFull(r, b[:]); {
	case err == nil:
		return ErrTooLarge
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err //nolint:wrapcheck // The caller wraps it.
	}
}

// enlarge returns a copy of a body with a larger capacity.
func (h *Held) enlarge(body []byte, size int64) ([]byte, error) {
	if !h.guard.grow(h.charge, size) {
		return nil, errNoSpace
	}
	larger := append(make([]byte, 0, size), body...)
	h.guard.mu.Lock()
	h.guard.account.Shrink(h.charge, int64(cap(body)))
	h.guard.mu.Unlock()
	return larger, nil
}

func (h *Held) recordProgress() {
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	h.guard.account.RecordProgress(h.charge)
}

// replyStep is the memory allocated at first for a reply of unknown length.
const replyStep = 4 << 10

// ReadReply reads a reply to its end, or until it reaches a limit or finds no room; whole is true if it was read to its end. The length is -1 if it
// isn't known. The caller releases the memory, also after an error.
func (g *Guard) ReadReply(r io.Reader, length, limit int64) (body []byte, whole bool, held *Held, err error) {
	held = g.hold(memory.Responses, nil)
	size := int64(replyStep)
	if length >= 0 {
		// The byte more shows the end of a reader that doesn't report it together with the last byte.
		size = length + 1
	}
	for {
		size = min(size, limit)
		if !g.grow(held.charge, size-int64(cap(body))) {
			return body, false, held, nil
		}
		body = append(make([]byte, 0, size), body...)
		for len(body) < cap(body) {
			n, err := r.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if errors.Is(err, io.EOF) {
				return body, int64(len(body)) < limit, held, nil
			}
			if err != nil {
				return body, false, held, err //nolint:wrapcheck // The caller wraps it.
			}
		}
		if size == limit {
			return body, false, held, nil
		}
		size *= 2
	}
}

// HoldStream counts n bytes of a stream in progress. The caller releases them.
func (g *Guard) HoldStream(n int64) *Held {
	h := g.hold(memory.Streams, nil)
	h.Take(n)
	return h
}

// Take holds n bytes more, whether there is room for them or not.
func (h *Held) Take(n int64) {
	h.guard.mu.Lock()
	evicted := h.guard.account.Take(h.charge, n)
	h.guard.mu.Unlock()
	h.guard.evict(evicted)
}
