package ledger

import (
	"context"
	"fmt"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"gypsumvale/internal/state/claim"
	"gypsumvale/internal/state/kv"
)

// PageStore is the part of the key-value service that a committer needs.
type PageStore interface {
	// Get returns a value, kv.ErrNotFound or kv.ErrUnavailable.
	Get(ctx context.Context, key string) (kv.Value, error)
	// Put writes if the key is at the version, and returns the new one, kv.ErrConflict or kv.ErrUnavailable.
	Put(ctx context.Context, key string, data []byte, version kv.Version) (kv.Version, error)
}

const (
	ringLength   = 4096
	cachedPages  = 256
	commitBudget = 2 * time.Second
	attemptPause = 10 * time.Millisecond
)

// ErrBusy says that a shard's ring is full.
var ErrBusy = errors.New("ledger writer busy")

type request struct {
	op     claim.Op
	answer chan Answer
}

// Committer writes changes to pages, a goroutine for each shard.
type Committer struct {
	pages PageStore
	rings [claim.Shards]chan request
	wg    conc.WaitGroup
}

// NewCommitter returns a committer; Run starts it.
func NewCommitter(pages PageStore) *Committer {
	c := &Committer{pages: pages}
	for i := range c.rings {
		c.rings[i] = make(chan request, ringLength)
	}
	return c
}

// Run serves until the context ends, then writes what waits.
func (c *Committer) Run(ctx context.Context) {
	for i := range c.rings {
		w := newShardWriter(c.pages)
		ring := c.rings[i]
		c.wg.Go(func() { w.run(ctx, ring) })
	}
	c.wg.Wait()
}

// Submit makes a change and returns the verdict; any error leaves the effect unknown, but for ErrBusy.
func (c *Committer) Submit(ctx context.Context, op claim.Op) (claim.Result, error) {
	req := request{op: op, answer: make(chan Answer, 1)}
	select {
	case c.rings[op.PageID().Shard] <- req:
	default:
		return claim.Result{}, fmt.Errorf("submit to shard %d: %w", op.PageID().Shard, ErrBusy)
	}
	select {
	case a := <-req.answer:
		return a.Result, a.Err
	case <-ctx.Done():
		return claim.Result{}, fmt.Errorf("wait for ledger write: %w", ctx.Err())
	}
}

type cachedPage struct {
	page    *claim.Page
	version kv.Version
}

type shardWriter struct {
	pages    PageStore
	gatherer *Batcher
	cache    *lru.Cache[claim.PageID, cachedPage]
}

func newShardWriter(pages PageStore) *shardWriter {
	// New fails only for a size below one.
	cache, _ := lru.New[claim.PageID, cachedPage](cachedPages)
	return &shardWriter{pages: pages, gatherer: NewBatcher(), cache: cache}
}

func (w *shardWriter) run(ctx context.Context, ring <-chan request) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if due, ok := w.gatherer.Due(); ok {
			timer.Reset(time.Until(due))
		}
		select {
		case <-ctx.Done():
			w.flush(ring)
			return
		case req := <-ring:
			w.gatherer.Add(time.Now(), req.op, req.answer)
			w.drain(ring)
		case <-timer.C:
		}
		w.commitAll(w.gatherer.Take(time.Now()))
	}
}

func (w *shardWriter) drain(ring <-chan request) {
	for {
		select {
		case req := <-ring:
			w.gatherer.Add(time.Now(), req.op, req.answer)
		default:
			return
		}
	}
}

func (w *shardWriter) flush(ring <-chan request) {
	w.drain(ring)
	w.commitAll(w.gatherer.TakeAll())
}

// commitAll writes different pages side by side, since each is a key of its own.
func (w *shardWriter) commitAll(batches []Batch) {
	var wg conc.WaitGroup
	for i := range batches {
		wg.Go(func() { w.commit(&batches[i]) })
	}
	wg.Wait()
}

func (w *shardWriter) commit(b *Batch) {
	ctx, cancel := context.WithTimeout(context.Background(), commitBudget)
	defer cancel()
	results, err := w.write(ctx, b)
	for i := range b.Pending {
		if err != nil {
			b.Pending[i].Answer <- Answer{Err: err}
			continue
		}
		b.Pending[i].Answer <- Answer{Result: results[i]}
	}
}

// write repeats read, apply and compare-and-swap until a write is known to have happened or the budget ends.
//
// A lost reply needs no case of its own: the page is read again, and a change that is already there is granted.
func (w *shardWriter) write(ctx context.Context, b *Batch) ([]claim.Result, error) {
	for {
		results, err := w.try(ctx, b)
		if err == nil {
			return results, nil
		}
		w.cache.Remove(b.Page)
		if errors.Is(err, kv.ErrNotSent) {
			return nil, fmt.Errorf("write page %s: %w", b.Page.Path(), err)
		}
		if loadErr := w.load(ctx, b.Page); loadErr != nil && !pause(ctx) {
			return nil, fmt.Errorf("write page %s: %w", b.Page.Path(), loadErr)
		}
		if ctx.Err() != nil {
			return nil, fmt.Errorf("write page %s: %w", b.Page.Path(), err)
		}
	}
}

var errStale = errors.New("cached page lacks a claim that must be there")

func (w *shardWriter) try(ctx context.Context, b *Batch) ([]claim.Result, error) {
	cached, known := w.cache.Get(b.Page)
	if !known {
		// A new page is taken to be absent; the compare-and-swap tells if it is not.
		cached.page, _ = claim.Decode(nil)
	}
	results := make([]claim.Result, len(b.Pending))
	changed := false
	for i := range b.Pending {
		result, differs := cached.page.Apply(&b.Pending[i].Op)
		if result.Verdict == claim.VerdictNotHolder && cached.version == 0 && !known {
			return nil, errStale
		}
		results[i] = result
		changed = changed || differs
	}
	if !changed {
		return results, w.confirm(ctx, b, cached, results)
	}
	data, err := cached.page.Encode()
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	version, err := w.pages.Put(ctx, b.Page.Path(), data, cached.version)
	if err != nil {
		return nil, fmt.Errorf("put: %w", err)
	}
	w.cache.Add(b.Page, cachedPage{page: cached.page, version: version})
	return results, nil
}

// confirm reads the page again when an outcome found no claim of its own, since the cached page may be old.
func (w *shardWriter) confirm(ctx context.Context, b *Batch, cached cachedPage, results []claim.Result) error {
	for i := range results {
		if results[i].Verdict != claim.VerdictNotHolder {
			continue
		}
		v, err := w.pages.Get(ctx, b.Page.Path())
		if errors.Is(err, kv.ErrNotFound) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("confirm: %w", err)
		}
		if v.Version != cached.version {
			return errStale
		}
		return nil
	}
	return nil
}

func (w *shardWriter) load(ctx context.Context, id claim.PageID) error {
	v, err := w.pages.Get(ctx, id.Path())
	if errors.Is(err, kv.ErrNotFound) {
		v, err = kv.Value{}, nil
	}
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	page, err := claim.Decode(v.Data)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	w.cache.Add(id, cachedPage{page: page, version: v.Version})
	return nil
}

func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(attemptPause):
		return true
	}
}
