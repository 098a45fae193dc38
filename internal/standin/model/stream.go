package model

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"gypsumvale/internal/protocol/answer"
	"gypsumvale/internal/protocol/engine"
	"gypsumvale/internal/standin/wire"
	"gypsumvale/internal/state/piece"
)

// stream is an answer that outlives the connection that asked for it.
type stream struct {
	version string
	prompt  string
	tokens  int
	cancel  context.CancelFunc

	mu      sync.Mutex
	made    int
	grown   chan struct{}
	ended   bool
	chunks  engine.Chunk
	readers int
}

func (st *stream) matches(req *engine.Request) bool {
	return st.prompt == req.Prompt && st.version == req.Version && st.tokens == req.MaxTokens
}

func (st *stream) join() {
	st.mu.Lock()
	st.readers++
	st.mu.Unlock()
}

// run makes the tokens of one stream.
func (s *Server) run(ctx context.Context, req engine.Request, st *stream) {
	defer s.dropLater(req.Stream, st)
	if !s.batch.enter(ctx, req.Priority) {
		st.finish(false)
		return
	}
	defer s.batch.leave()
	s.prefill(ctx, &req, st)
	for n := range req.MaxTokens {
		if !s.sleep(ctx, s.cfg.TokenTime) {
			st.finish(false)
			return
		}
		st.grow(n + 1)
	}
	s.count(func(c *Stats) { c.Tokens += int64(req.MaxTokens) })
	st.finish(true)
}

// prefill takes what the cache has, fetches what the store has, and recomputes the rest.
func (s *Server) prefill(ctx context.Context, req *engine.Request, st *stream) {
	total := piece.EstimateTokens(req.Prompt)
	warm := s.cache.prefix(req.Pieces)
	fetched := 0
	if req.Store != "" && len(req.Blocks) > warm {
		fetched = s.fetch(ctx, req.Store, req.Blocks[warm:])
	}
	recomputed := max(total-(warm+fetched)*piece.Tokens, 0)
	s.sleep(ctx, time.Duration(float64(recomputed)/s.cfg.PrefillPerSecond*float64(time.Second)))
	s.cache.add(req.Pieces)
	st.mu.Lock()
	st.chunks.Reused = warm * piece.Tokens
	st.chunks.Fetched = fetched * piece.Tokens
	st.chunks.Recomputed = recomputed
	st.mu.Unlock()
	s.count(func(c *Stats) {
		c.Prefilled += int64(recomputed)
		c.Reused += int64(warm * piece.Tokens)
		c.Fetched += int64(fetched * piece.Tokens)
	})
}

// sleep passes time at the engine's present speed.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	s.mu.Lock()
	slow := max(s.fault.Slow, 1)
	s.mu.Unlock()
	t := time.NewTimer(time.Duration(float64(d) * slow))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (st *stream) grow(n int) {
	st.mu.Lock()
	st.made = n
	close(st.grown)
	st.grown = make(chan struct{})
	st.mu.Unlock()
}

func (st *stream) finish(whole bool) {
	st.mu.Lock()
	st.ended = true
	st.chunks.End = whole
	close(st.grown)
	st.grown = make(chan struct{})
	st.mu.Unlock()
}

// dropLater keeps a stream for a while, so that a caller whose entry died can resume it.
func (s *Server) dropLater(name string, st *stream) {
	time.AfterFunc(s.cfg.StreamRetention, func() {
		s.mu.Lock()
		if s.streams[name] == st {
			delete(s.streams, name)
		}
		s.mu.Unlock()
	})
}

// send writes the stream's chunks to one reader, with the faults that are set.
func (s *Server) send(w http.ResponseWriter, r *http.Request, req *engine.Request, st *stream) {
	defer s.leave(req.Stream, st)
	out := newSender(w, req, s.draw())
	next := req.From
	for {
		st.mu.Lock()
		made, ended, whole, grown, last := st.made, st.ended, st.chunks.End, st.grown, st.chunks
		st.mu.Unlock()
		for ; next < made; next++ {
			if !out.token(next, Token(req.Prompt, st.version, next), st.version) {
				wire.Sever(w)
				return
			}
		}
		if ended {
			if !whole {
				wire.Sever(w)
				return
			}
			out.end(req, st.version, last)
			return
		}
		select {
		case <-grown:
		case <-r.Context().Done():
			return
		}
	}
}

// leave cancels a stream without a name when its reader goes; a named one goes on for whoever resumes it.
func (s *Server) leave(name string, st *stream) {
	st.mu.Lock()
	st.readers--
	abandoned := st.readers == 0 && name == ""
	st.mu.Unlock()
	if abandoned {
		st.cancel()
	}
}

// draw decides which faults an answer has.
func (s *Server) draw() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	roll := func(p float64) float64 {
		if p > 0 && s.random.Float64() < p {
			return 1
		}
		return 0
	}
	f := s.fault
	return Fault{Truncate: roll(f.Truncate), Repeat: roll(f.Repeat), Foreign: roll(f.Foreign), Drop: roll(f.Drop)}
}

// sender writes chunks, with the faults drawn for this answer.
type sender struct {
	w       *json.Encoder
	flush   http.Flusher
	attempt string
	fault   Fault
	spoilAt int
}

func newSender(w http.ResponseWriter, req *engine.Request, fault Fault) *sender {
	w.Header().Set("Content-Type", "application/x-ndjson")
	flusher, _ := w.(http.Flusher)
	spoilAt := req.From + (req.MaxTokens-req.From)/2
	return &sender{w: json.NewEncoder(w), flush: flusher, attempt: req.Attempt, fault: fault, spoilAt: spoilAt}
}

func (o *sender) token(n int, text, version string) bool {
	c := engine.Chunk{Attempt: o.attempt, Version: version, Seq: n, Text: text}
	if n == o.spoilAt {
		if o.fault.Truncate > 0 {
			return false
		}
		if o.fault.Drop > 0 {
			return true
		}
		if o.fault.Foreign > 0 {
			o.write(engine.Chunk{Attempt: "foreign", Version: version, Seq: n, Text: "foreign "})
		}
		if o.fault.Repeat > 0 {
			o.write(c)
		}
	}
	return o.write(c)
}

func (o *sender) write(c engine.Chunk) bool {
	if err := o.w.Encode(&c); err != nil {
		return false
	}
	o.flush.Flush()
	return true
}

func (o *sender) end(req *engine.Request, version string, last engine.Chunk) {
	chunks := make([]string, req.MaxTokens)
	for n := range chunks {
		chunks[n] = Token(req.Prompt, version, n)
	}
	last.Attempt = o.attempt
	last.Version = version
	last.Count = req.MaxTokens
	last.Digest = answer.Digest(chunks)
	o.write(last)
}
