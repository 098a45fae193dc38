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

// streamBufferBytes is read at a time; events are a few hundred bytes.
const streamBufferBytes = 4 << 10

// errDisorder says that an event is not behind the last one that the caller has.
var errDisorder = errors.New("event out of order")

// eventSplitter cuts a stream into whole events and tells their numbers.
type eventSplitter struct {
	pending []byte
	// last is the number of the last whole event handed out, and next that of the event being read.
	last int64
	next int64
}

// take adds bytes and returns the whole events among what it has; the error is errDisorder.
func (s *eventSplitter) take(data []byte) ([]byte, error) {
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
			return nil, errDisorder
		}
		if s.next != 0 {
			s.last = s.next
		}
		s.next = 0
		end = pos
	}
	whole := append([]byte(nil), s.pending[:end]...)
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return whole, nil
}

// relay hands on a stream as it comes. Only whole events go out, so that another endpoint can go on behind the last one.
func (j *job) relay(ctx context.Context, choice *placement.Choice, resp *upstream.Response, dog *watchdog) (retry.Outcome, placement.Outcome) {
	splitter := eventSplitter{last: j.lastEvent}
	flusher := http.NewResponseController(j.w)
	buf := make([]byte, streamBufferBytes)
	started := false
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			dog.hear()
			events, disorder := splitter.take(buf[:n])
			if disorder != nil {
				return j.failed(ctx, choice, disorder)
			}
			if len(events) > 0 {
				if !started {
					started = true
					j.node.placer.firstEvent(&j.ask, j.owner)
				}
				if err := j.forward(resp, flusher, events); err != nil {
					return retry.Broken, placement.OutcomeWithdrawn
				}
				j.lastEvent = splitter.last
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if err := j.forward(resp, flusher, splitter.pending); err != nil {
				return retry.Broken, placement.OutcomeWithdrawn
			}
			return retry.Answered, placement.OutcomeAnswered
		case err != nil:
			return j.failed(ctx, choice, err)
		}
	}
}

func (j *job) forward(resp *upstream.Response, flusher *http.ResponseController, data []byte) error {
	j.writeHead(resp.Status, resp.Header)
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
