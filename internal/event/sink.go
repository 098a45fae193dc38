package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// ringLines is the most lines that wait to be written; at 300 bytes a line they take 300 KB.
const ringLines = 1024

// sink writes lines in a goroutine of its own; a line that finds the ring full is dropped and counted, so that nobody waits.
type sink struct {
	out     io.Writer
	ring    chan []byte
	dropped atomic.Int64
	quit    chan struct{}
	done    chan struct{}
	once    sync.Once
}

func newSink(out io.Writer) *sink {
	s := &sink{out: out, ring: make(chan []byte, ringLines), quit: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a copy of a line; it never fails and never waits.
func (s *sink) Write(line []byte) (int, error) {
	select {
	case s.ring <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync is a part of zap's interface; close waits for what is queued.
func (s *sink) Sync() error { return nil }

func (s *sink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.ring:
			s.write(line)
		case <-s.quit:
			for len(s.ring) > 0 {
				s.write(<-s.ring)
			}
			return
		}
	}
}

// batchBytes bounds what one system call writes: a pipe takes up to 4,096 bytes (PIPE_BUF) in one piece, so that lines of processes which
// share a pipe aren't torn.
const batchBytes = 4096

// write writes a line and those that wait behind it.
func (s *sink) write(batch []byte) {
	for len(s.ring) > 0 {
		line := <-s.ring
		if len(batch)+len(line) > batchBytes {
			s.flush(batch)
			batch = nil
		}
		batch = append(batch, line...)
	}
	s.flush(batch)
}

// flush writes whole lines. There is nowhere to report that standard output is gone.
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
