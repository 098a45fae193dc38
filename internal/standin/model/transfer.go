package model

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"gypsumvale/internal/protocol/engine"
	"gypsumvale/internal/protocol/storage"
	"gypsumvale/internal/standin/depot"
	"gypsumvale/internal/standin/wire"
	"gypsumvale/internal/state/piece"
)

const transferTimeout = 10 * time.Second

var errBlock = errors.New("block not usable")

// fetch imports blocks in order and returns how many are good; the first bad one ends it.
func (s *Server) fetch(ctx context.Context, store string, blocks []engine.Block) int {
	for i := range blocks {
		if err := fetchBlock(ctx, store, &blocks[i]); err != nil {
			s.count(func(c *Stats) { c.BadBlocks++ })
			return i
		}
	}
	return len(blocks)
}

// fetchBlock reads one block; generation and digest decide whether it may be used.
func fetchBlock(ctx context.Context, store string, b *engine.Block) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, blockURL(store, b.Name), nil)
	if err != nil {
		return fmt.Errorf("fetch block: %w", err)
	}
	req.Header.Set(storage.HeaderGeneration, strconv.FormatUint(b.Generation, 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("fetch block: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("fetch block: %w", err)
	}
	if resp.StatusCode != http.StatusOK || depot.Digest(data) != b.Digest || string(data) != content(b.Name) {
		return fmt.Errorf("fetch block %s, status %d: %w", b.Name, resp.StatusCode, errBlock)
	}
	return nil
}

func blockURL(store string, name piece.Name) string {
	return "http://" + store + "/blocks/" + string(name)
}

// content is what the stand-in writes in place of a piece's keys and values.
func content(name piece.Name) string { return "keys and values of " + string(name) }

// export writes pieces that the cache still has to a store, in the background.
func (s *Server) export(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var req engine.Export
	if !wire.Decode(w, r, &req) {
		return
	}
	n := s.cache.prefix(req.Pieces)
	go s.exportPieces(req.Store, req.Pieces[:n])
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) exportPieces(store string, names []piece.Name) {
	ctx, cancel := context.WithTimeout(s.life, transferTimeout)
	defer cancel()
	for _, name := range names {
		if err := s.exportPiece(ctx, store, name); err != nil {
			return
		}
	}
}

func (s *Server) exportPiece(ctx context.Context, store string, name piece.Name) error {
	generation, err := begin(ctx, store, name, s.cfg.ExportBytes)
	if err != nil || generation == "" {
		return err
	}
	data := []byte(content(name))
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, blockURL(store, name), bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("export piece: %w", err)
	}
	req.Header.Set(storage.HeaderGeneration, generation)
	req.Header.Set(storage.HeaderDigest, depot.Digest(data))
	return do(req)
}

// begin opens a pending block; an empty generation says that the store has the piece.
func begin(ctx context.Context, store string, name piece.Name, size int64) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, blockURL(store, name), nil)
	if err != nil {
		return "", fmt.Errorf("begin block: %w", err)
	}
	req.Header.Set(storage.HeaderBytes, strconv.FormatInt(size, 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", fmt.Errorf("begin block: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusConflict {
		return "", nil
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("begin block, status %d: %w", resp.StatusCode, errBlock)
	}
	return resp.Header.Get(storage.HeaderGeneration), nil
}

func do(req *http.Request) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("call store: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("call store, status %d: %w", resp.StatusCode, errBlock)
	}
	return nil
}

// order loads a weight version, unless the engine checks fencing numbers and the order's is old.
func (s *Server) order(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var o engine.Order
	if !wire.Decode(w, r, &o) {
		return
	}
	s.mu.Lock()
	if o.Fence < s.fence {
		s.stats.StaleOrders++
		if s.cfg.ChecksFence {
			s.mu.Unlock()
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.fence = o.Fence
	s.stats.Orders++
	s.loading = true
	s.mu.Unlock()
	err := s.loadWeights(r.Context(), o.Version)
	s.mu.Lock()
	s.loading = false
	if err == nil {
		s.version = o.Version
		s.stats.Loads++
	}
	s.mu.Unlock()
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
	}
}

// loadWeights reads the version from the weight store if there is one, and passes the load time.
func (s *Server) loadWeights(ctx context.Context, version string) error {
	if s.cfg.WeightStore != "" {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.cfg.WeightStore+"/weights/"+version, nil)
		if err != nil {
			return fmt.Errorf("load weights: %w", err)
		}
		if err := do(req); err != nil {
			return fmt.Errorf("load weights: %w", err)
		}
		return nil
	}
	s.sleep(ctx, s.cfg.WeightLoadTime)
	return nil
}
