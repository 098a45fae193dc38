package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is the capacity of the queue of lines. At 300 bytes per line a full queue takes 300 KB.
const queueLines = 1024

// sink is a zapcore.WriteSyncer that writes lines asynchronously. If the queue is full, it drops and counts the line rather than block the
// goroutine that logs.
type sink struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	quit    chan struct{}
	done    chan struct{}
	once    sync.Once
}

func newSink(out io.Writer) *sink {
	s := &sink{out: out, queue: make(chan []byte, queueLines), quit: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a copy of a line. It never fails and never blocks.
func (s *sink) Write(line []byte) (int, error) {
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: zap requires it, and close writes the queued lines.
func (s *sink) Sync() error { return nil }

func (s *sink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.queue:
			s.writeBatch(line)
		case <-s.quit:
			for len(s.queue) > 0 {
				s.writeBatch(<-s.queue)
			}
			return
		}
	}
}

// maxBatchBytes limits the size of one write call. Writes to a pipe of up to 4,096 bytes (PIPE_BUF) are atomic, so that lines of processes
// that share a pipe don't interleave.
const maxBatchBytes = 4096

// writeBatch writes a line together with the queued ones, in batches of up to maxBatchBytes.
func (s *sink) writeBatch(batch []byte) {
	for len(s.queue) > 0 {
		line := <-s.queue
		if len(batch)+len(line) > maxBatchBytes {
			s.flush(batch)
			batch = nil
		}
		batch = append(batch, line...)
	}
	s.flush(batch)
}

// flush writes complete lines, followed by the number of lines dropped since the last time. A failed write is ignored, since without
// standard output there is nowhere to report it.
func (s *sink) flush(batch []byte) {
	_, _ = s.out.Write(batch)
	if n := s.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(s.out, "{\"level\":\"warn\",\"event\":%d,\"msg\":\"log lines dropped\",\"lines\":%d}\n", LogLinesDropped, n)
	}
}

func (s *sink) close() {
	s.once.Do(func() { close(s.quit) })
	<-s.done
}
