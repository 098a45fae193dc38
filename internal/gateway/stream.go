package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/coordination/retry"
	"gypsumvale/internal/transport/upstream"
)

const (
	// streamBufferBytes is the size of one read; events are a few hundred bytes long.
	streamBufferBytes = 4 << 10
	// maxEventBytes limits one event: a faulty endpoint may send bytes without end that never complete one.
	maxEventBytes = 256 << 10
)

var (
	// errOutOfOrder is returned for an event whose number is not higher than that of the last one sent to the caller.
	errOutOfOrder = errors.New("event out of order")
	// errIncompleteStream is returned for a stream that ends inside an event, or before its first one.
	errIncompleteStream = errors.New("stream ends inside an event")
	// errEventTooLong is returned for an event of more than maxEventBytes.
	errEventTooLong = errors.New("event too long")
)

// eventSplitter splits a stream into complete events and tracks their numbers.
type eventSplitter struct {
	pending []byte
	// last is the number of the last complete event returned, and next is that of the event being read.
	last int64
	next int64
}

// push adds bytes and returns the events that are now complete; its errors are errOutOfOrder and errEventTooLong.
func (s *eventSplitter) push(data []byte) ([]byte, error) {
	s.pending = append(s.pending, data...)
	end := 0
	for pos := 0; ; {
		i := bytes.IndexByte(s.pending[pos:], '\n')
		if i < 0 {
			break
		}
		line := bytes.TrimSuffix(s.pending[pos:pos+i], []byte{'\r'})
		pos += i + 1
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(id)), 10, 64); err == nil {
				s.next = n
			}
		}
		if len(line) > 0 {
			continue
		}
		if s.next != 0 && s.next <= s.last {
			return nil, errOutOfOrder
		}
		if s.next != 0 {
			s.last = s.next
		}
		s.next = 0
		end = pos
	}
	complete := append([]byte(nil), s.pending[:end]...)
	s.pending = append(s.pending[:0], s.pending[end:]...)
	if len(s.pending) > maxEventBytes {
		return nil, errEventTooLong
	}
	return complete, nil
}

// forwardStream forwards a stream as it arrives. Only complete events are sent, so that another endpoint can continue after the last one.
func (j *job) forwardStream(
	ctx context.Context, choice *placement.Choice, resp *upstream.Response, wd *watchdog,
) (retry.Outcome, placement.Outcome) {
	splitter := eventSplitter{last: j.lastEvent}
	flusher := http.NewResponseController(j.w)
	buf := make([]byte, streamBufferBytes)
	heldBytes := 2 * streamBufferBytes
	held := j.node.guard.HoldStream(int64(heldBytes))
	defer held.Release()
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			wd.received()
			events, orderErr := splitter.push(buf[:n])
			if orderErr != nil {
				return j.classifyError(ctx, choice, orderErr)
			}
			if size := streamBufferBytes + cap(splitter.pending); size > heldBytes {
				held.Take(int64(size - heldBytes))
				heldBytes = size
			}
			if len(events) > 0 {
				if !j.begun {
					j.recordFirstEvent()
				}
				if err := j.writeEvents(resp, flusher, events); err != nil {
					j.writeFailed = true
					return retry.Broken, placement.OutcomeWithdrawn
				}
				j.lastEvent = splitter.last
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if err := j.checkEnd(resp, &splitter); err != nil {
				return j.classifyError(ctx, choice, err)
			}
			if err := j.writeEvents(resp, flusher, splitter.pending); err != nil {
				j.writeFailed = true
				return retry.Broken, placement.OutcomeWithdrawn
			}
			return retry.Answered, placement.OutcomeAnswered
		case err != nil:
			return j.classifyError(ctx, choice, err)
		}
	}
}

// checkEnd returns errIncompleteStream if a stream has been broken off although its body is complete by its framing: it ends inside an event
// or, if only the connection's end shows the end of the body, before the first one.
func (j *job) checkEnd(resp *upstream.Response, s *eventSplitter) error {
	if len(bytes.TrimLeft(s.pending, "\r\n")) > 0 || !resp.Framed && !j.begun {
		return errIncompleteStream
	}
	return nil
}

func (j *job) writeEvents(resp *upstream.Response, flusher *http.ResponseController, data []byte) error {
	j.writeHead(resp.Status, resp.Header, true)
	if len(data) == 0 {
		return nil
	}
	if _, err := j.w.Write(data); err != nil {
		return fmt.Errorf("write events: %w", err)
	}
	if err := flusher.Flush(); err != nil {
		return fmt.Errorf("flush events: %w", err)
	}
	return nil
}
