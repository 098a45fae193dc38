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

// stream is an answer that is generated independently of the connections that read it.
type stream struct {
	version string
	prompt  string
	tokens  int
	cancel  context.CancelFunc

	mu        sync.Mutex
	generated int
	changed   chan struct{}
	ended     bool
	last      engine.Chunk
	readers   int
}

func (st *stream) matches(req *engine.Request) bool {
	return st.prompt == req.Prompt && st.version == req.Version && st.tokens == req.MaxTokens
}

func (st *stream) addReader() {
	st.mu.Lock()
	st.readers++
	st.mu.Unlock()
}

// generateStream waits for a slot and then generates the tokens of one stream.
func (s *Server) generateStream(ctx context.Context, req engine.Request, st *stream) {
	defer s.expireStream(req.Stream, st)
	if !s.batch.acquire(ctx, req.Priority) {
		st.finish(false)
		return
	}
	defer s.batch.release()
	s.prefill(ctx, &req, st)
	for n := range req.MaxTokens {
		if !s.sleep(ctx, s.cfg.TokenTime) {
			st.finish(false)
			return
		}
		st.setGenerated(n + 1)
	}
	s.count(func(c *Stats) { c.Tokens += int64(req.MaxTokens) })
	st.finish(true)
}

// prefill reuses the cached prefix, fetches further pieces from the cache store, and recomputes the rest.
func (s *Server) prefill(ctx context.Context, req *engine.Request, st *stream) {
	total := piece.EstimateTokens(req.Prompt)
	cached := s.cache.cachedPrefix(req.Pieces)
	fetched := 0
	if req.Store != "" && len(req.Blocks) > cached {
		fetched = s.fetch(ctx, req.Store, req.Blocks[cached:])
	}
	recomputed := max(total-(cached+fetched)*piece.Tokens, 0)
	s.sleep(ctx, time.Duration(float64(recomputed)/s.cfg.PrefillPerSecond*float64(time.Second)))
	s.cache.add(req.Pieces)
	st.mu.Lock()
	st.last.Reused = cached * piece.Tokens
	st.last.Fetched = fetched * piece.Tokens
	st.last.Recomputed = recomputed
	st.mu.Unlock()
	s.count(func(c *Stats) {
		c.Prefilled += int64(recomputed)
		c.Reused += int64(cached * piece.Tokens)
		c.Fetched += int64(fetched * piece.Tokens)
	})
}

// sleep waits for a duration, multiplied by the slowdown that is set, and reports whether it passed before the context ended.
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

func (st *stream) setGenerated(n int) {
	st.mu.Lock()
	st.generated = n
	close(st.changed)
	st.changed = make(chan struct{})
	st.mu.Unlock()
}

func (st *stream) finish(complete bool) {
	st.mu.Lock()
	st.ended = true
	st.last.End = complete
	close(st.changed)
	st.changed = make(chan struct{})
	st.mu.Unlock()
}

// expireStream deletes a stream after the configured retention period. Until then, a caller whose instance died can resume it.
func (s *Server) expireStream(name string, st *stream) {
	time.AfterFunc(s.cfg.StreamRetention, func() {
		s.mu.Lock()
		if s.streams[name] == st {
			delete(s.streams, name)
		}
		s.mu.Unlock()
	})
}

// sendStream writes a stream's chunks to one reader, starting at the requested one and with randomly drawn faults.
func (s *Server) sendStream(w http.ResponseWriter, r *http.Request, req *engine.Request, st *stream) {
	defer s.removeReader(req.Stream, st)
	out := newChunkWriter(w, req, s.drawFaults())
	next := req.From
	for {
		st.mu.Lock()
		generated, ended, complete, changed, last := st.generated, st.ended, st.last.End, st.changed, st.last
		st.mu.Unlock()
		for ; next < generated; next++ {
			if !out.token(next, Token(req.Prompt, st.version, next), st.version) {
				wire.Sever(w)
				return
			}
		}
		if ended {
			if !complete {
				wire.Sever(w)
				return
			}
			out.end(req, st.version, last)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// removeReader cancels an unnamed stream when its last reader disconnects. A named stream continues, so that it can be resumed.
func (s *Server) removeReader(name string, st *stream) {
	st.mu.Lock()
	st.readers--
	abandoned := st.readers == 0 && name == ""
	st.mu.Unlock()
	if abandoned {
		st.cancel()
	}
}

// drawFaults draws the faults of one answer. In the result, a share above zero means that the answer has the fault.
func (s *Server) drawFaults() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	draw := func(p float64) float64 {
		if p > 0 && s.random.Float64() < p {
			return 1
		}
		return 0
	}
	f := s.fault
	return Fault{Truncate: draw(f.Truncate), Repeat: draw(f.Repeat), Foreign: draw(f.Foreign), Drop: draw(f.Drop)}
}

// chunkWriter writes the chunks of one answer. The faults drawn for the answer apply to the chunk faultAt, halfway through it.
type chunkWriter struct {
	encoder *json.Encoder
	flusher http.Flusher
	attempt string
	fault   Fault
	faultAt int
}

func newChunkWriter(w http.ResponseWriter, req *engine.Request, fault Fault) *chunkWriter {
	w.Header().Set("Content-Type", "application/x-ndjson")
	flusher, _ := w.(http.Flusher)
	faultAt := req.From + (req.MaxTokens-req.From)/2
	return &chunkWriter{encoder: json.NewEncoder(w), flusher: flusher, attempt: req.Attempt, fault: fault, faultAt: faultAt}
}

// token writes one token with its faults and returns false if the connection is to be closed.
func (cw *chunkWriter) token(n int, text, version string) bool {
	c := engine.Chunk{Attempt: cw.attempt, Version: version, Seq: n, Text: text}
	if n == cw.faultAt {
		if cw.fault.Truncate > 0 {
			return false
		}
		if cw.fault.Drop > 0 {
			return true
		}
		if cw.fault.Foreign > 0 {
			cw.write(engine.Chunk{Attempt: "foreign", Version: version, Seq: n, Text: "foreign "})
		}
		if cw.fault.Repeat > 0 {
			cw.write(c)
		}
	}
	return cw.write(c)
}

func (cw *chunkWriter) write(c engine.Chunk) bool {
	if err := cw.encoder.Encode(&c); err != nil {
		return false
	}
	cw.flusher.Flush()
	return true
}

func (cw *chunkWriter) end(req *engine.Request, version string, last engine.Chunk) {
	chunks := make([]string, req.MaxTokens)
	for n := range chunks {
		chunks[n] = Token(req.Prompt, version, n)
	}
	last.Attempt = cw.attempt
	last.Version = version
	last.Count = req.MaxTokens
	last.Digest = answer.Digest(chunks)
	cw.write(last)
}
