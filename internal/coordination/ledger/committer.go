package ledger

import (
	"context"
	"fmt"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"gypsumvale/internal/state/claim"
	"gypsumvale/internal/state/kv"
)

// PageStore is the part of the key-value service that a committer uses.
type PageStore interface {
	// Get returns the value of a key. Errors are kv.ErrNotFound and kv.ErrUnavailable.
	Get(ctx context.Context, key string) (kv.Value, error)
	// Put writes a value if the key is at the given version, and returns the new version. Errors are kv.ErrConflict and
	// kv.ErrUnavailable.
	Put(ctx context.Context, key string, data []byte, version kv.Version) (kv.Version, error)
}

const (
	queueLength         = 4096
	cachedPages         = 256
	commitTimeout       = 2 * time.Second
	commitRetryInterval = 10 * time.Millisecond
)

// ErrBusy is returned when a shard's queue is full.
var ErrBusy = errors.New("ledger writer busy")

type request struct {
	op     claim.Op
	answer chan Answer
}

// Committer writes changes to pages, with one goroutine per shard.
type Committer struct {
	pages  PageStore
	queues [claim.Shards]chan request
	wg     conc.WaitGroup
}

// NewCommitter returns a committer. Run must be called to start it.
func NewCommitter(pages PageStore) *Committer {
	c := &Committer{pages: pages}
	for i := range c.queues {
		c.queues[i] = make(chan request, queueLength)
	}
	return c
}

// Run processes changes until the context is done, then writes the pending ones and returns.
func (c *Committer) Run(ctx context.Context) {
	for i := range c.queues {
		w := newShardWriter(c.pages)
		queue := c.queues[i]
		c.wg.Go(func() { w.run(ctx, queue) })
	}
	c.wg.Wait()
}

// Submit applies a change and returns the verdict. After ErrBusy, the change has not been applied; after any other error, it may or
// may not have taken effect.
func (c *Committer) Submit(ctx context.Context, op claim.Op) (claim.Result, error) {
	req := request{op: op, answer: make(chan Answer, 1)}
	select {
	case c.queues[op.PageID().Shard] <- req:
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
	pages   PageStore
	batcher *Batcher
	cache   *lru.Cache[claim.PageID, cachedPage]
}

func newShardWriter(pages PageStore) *shardWriter {
	// New only fails for a size below one.
	cache, _ := lru.New[claim.PageID, cachedPage](cachedPages)
	return &shardWriter{pages: pages, batcher: NewBatcher(), cache: cache}
}

func (w *shardWriter) run(ctx context.Context, queue <-chan request) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if due, ok := w.batcher.Due(); ok {
			timer.Reset(time.Until(due))
		}
		select {
		case <-ctx.Done():
			w.flush(queue)
			return
		case req := <-queue:
			w.batcher.Add(time.Now(), req.op, req.answer)
			w.drain(queue)
		case <-timer.C:
		}
		w.commitAll(w.batcher.Take(time.Now()))
	}
}

func (w *shardWriter) drain(queue <-chan request) {
	for {
		select {
		case req := <-queue:
			w.batcher.Add(time.Now(), req.op, req.answer)
		default:
			return
		}
	}
}

func (w *shardWriter) flush(queue <-chan request) {
	w.drain(queue)
	w.commitAll(w.batcher.TakeAll())
}

// commitAll writes the pages in parallel, since each is a separate key.
func (w *shardWriter) commitAll(batches []Batch) {
	var wg conc.WaitGroup
	for i := range batches {
		wg.Go(func() { w.commit(&batches[i]) })
	}
	wg.Wait()
}

func (w *shardWriter) commit(b *Batch) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
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

// write repeats read, apply and compare-and-swap until a write is known to have succeeded or the context is done.
//
// A lost reply needs no special case: the page is read again, and a change that is already on it is granted.
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
		if loadErr := w.load(ctx, b.Page); loadErr != nil && !waitRetry(ctx) {
			return nil, fmt.Errorf("write page %s: %w", b.Page.Path(), loadErr)
		}
		if ctx.Err() != nil {
			return nil, fmt.Errorf("write page %s: %w", b.Page.Path(), err)
		}
	}
}

var errStale = errors.New("cached page is out of date")

func (w *shardWriter) try(ctx context.Context, b *Batch) ([]claim.Result, error) {
	cached, known := w.cache.Get(b.Page)
	if !known {
		// Assume that the page doesn't exist yet; if it does, the compare-and-swap fails.
		cached.page, _ = claim.Decode(nil)
	}
	results := make([]claim.Result, len(b.Pending))
	changed := false
	for i := range b.Pending {
		result, modified := cached.page.Apply(&b.Pending[i].Op)
		if result.Verdict == claim.VerdictNotHolder && cached.version == 0 && !known {
			return nil, errStale
		}
		results[i] = result
		changed = changed || modified
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

// confirm reads the page again if a change found its claim missing or held by another attempt, since the cached page may be out of date:
// another writer may have stored that attempt's outcome.
func (w *shardWriter) confirm(ctx context.Context, b *Batch, cached cachedPage, results []claim.Result) error {
	missing := hasVerdict(results, claim.VerdictNotHolder)
	if !missing && !hasVerdict(results, claim.VerdictHeld) {
		return nil
	}
	v, err := w.pages.Get(ctx, b.Page.Path())
	switch {
	case errors.Is(err, kv.ErrNotFound):
		return nil
	case err != nil && missing:
		return fmt.Errorf("confirm: %w", err)
	case err != nil:
		// While the page can't be read, the claim's holder may still answer for it.
		return nil
	case v.Version > cached.version:
		return errStale
	}
	return nil
}

func hasVerdict(results []claim.Result, verdict claim.Verdict) bool {
	return slices.ContainsFunc(results, func(r claim.Result) bool { return r.Verdict == verdict })
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

func waitRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(commitRetryInterval):
		return true
	}
}
