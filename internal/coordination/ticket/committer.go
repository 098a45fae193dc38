package ticket

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/state/catalog"
	"gypsumvale/internal/state/kv"
)

// Store is the part of the key-value service that tickets are stored in.
type Store interface {
	// Get returns the value of a key. Errors are kv.ErrNotFound and kv.ErrUnavailable.
	Get(ctx context.Context, key string) (kv.Value, error)
	// Put writes a value if the key is at the given version, and returns the new version. Errors are kv.ErrConflict and
	// kv.ErrUnavailable.
	Put(ctx context.Context, key string, data []byte, version kv.Version) (kv.Version, error)
	// Delete removes a key if it is at the given version. Version 0 matches any version.
	Delete(ctx context.Context, key string, version kv.Version) error
}

// Committer validates tickets and commits them. Every instance may run one concurrently, since commits are compare-and-swap writes of
// the head.
type Committer struct {
	Store Store
	// Now returns the wall-clock time for audit records.
	Now func() time.Time
}

const retryInterval = 30 * time.Millisecond

// Submit validates and commits a ticket, and returns the configuration's revision once the ticket is accepted.
//
// It returns ErrInvalid, ErrOvertaken or ErrNumberReused if the ticket is refused. After any other error, the ticket may or may not have
// been accepted.
func (c *Committer) Submit(ctx context.Context, t *Ticket) (catalog.Revision, error) {
	for {
		revision, err := c.try(ctx, t)
		if err == nil || isRefusal(err) || ctx.Err() != nil {
			return revision, err
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("ticket %d undecided: %w", t.Number, err)
		case <-time.After(retryInterval):
		}
	}
}

func isRefusal(err error) bool {
	return errors.Is(err, ErrInvalid) || errors.Is(err, ErrOvertaken) || errors.Is(err, ErrNumberReused)
}

// try reads the head, decides on the ticket and writes the new head. If the reply to that write is lost, the next try finds the ticket
// already applied.
func (c *Committer) try(ctx context.Context, t *Ticket) (catalog.Revision, error) {
	value, head, err := c.readHead(ctx)
	if err != nil {
		return 0, err
	}
	objects, err := ReadObjects(ctx, c.Store, head, nil)
	if err != nil {
		return 0, fmt.Errorf("read objects: %w", err)
	}
	verdict := t.Check()
	if verdict == nil {
		verdict = checkNumber(t, head, objects)
	}
	if errors.Is(verdict, errAlreadyApplied) {
		return head.Revision, nil
	}
	var next *Head
	var pages []newPage
	if verdict == nil {
		next, pages, verdict = applyTicket(t, head, objects)
	}
	if verdict != nil {
		return 0, c.refuse(ctx, t, value.Version, head, verdict)
	}
	return c.accept(ctx, t, value.Version, head, next, pages)
}

func (c *Committer) accept(ctx context.Context, t *Ticket, version kv.Version, old, next *Head, pages []newPage) (catalog.Revision, error) {
	for i := range pages {
		if err := c.createPage(ctx, pages[i].ref.Path(), pages[i].data); err != nil {
			return 0, err
		}
	}
	r := c.record(t, ResultAccepted, "")
	r.Revision = next.Revision
	next.Recent = append(next.Recent, r)
	if err := c.replaceHead(ctx, version, next); err != nil {
		return 0, err
	}
	c.deleteUnused(ctx, old, next)
	return next.Revision, nil
}

// refuse writes the refusal to the audit trail before it is returned to the caller.
func (c *Committer) refuse(ctx context.Context, t *Ticket, version kv.Version, head *Head, verdict error) error {
	next := *head
	r := c.record(t, resultOf(verdict), verdict.Error())
	if last := len(head.Recent) - 1; last >= 0 && sameRefusal(&head.Recent[last], &r) {
		return verdict
	}
	next.Recent = append(append([]Record(nil), head.Recent...), r)
	if err := c.replaceHead(ctx, version, &next); err != nil {
		return err
	}
	return verdict
}

// sameRefusal reports whether two records are of the same refusal. It is recorded once only, so that a retry after a lost reply, or a
// caller in a loop, doesn't fill the audit trail.
func sameRefusal(a, b *Record) bool {
	return a.Number == b.Number && a.Digest == b.Digest && a.Result == b.Result && a.Operator == b.Operator
}

func resultOf(err error) Result {
	switch {
	case errors.Is(err, ErrOvertaken):
		return ResultOvertaken
	case errors.Is(err, ErrNumberReused):
		return ResultNumberReused
	}
	return ResultInvalid
}

func (c *Committer) record(t *Ticket, result Result, detail string) Record {
	const maxDetail = 200
	if len(detail) > maxDetail {
		detail = detail[:maxDetail]
	}
	return Record{Number: t.Number, Operator: t.Operator, Digest: t.Digest(), Result: result, Detail: detail, UnixMilli: c.Now().UnixMilli()}
}

func (c *Committer) readHead(ctx context.Context) (kv.Value, *Head, error) {
	value, err := c.Store.Get(ctx, HeadPath)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return kv.Value{}, nil, fmt.Errorf("read head: %w", err)
	}
	head, err := DecodeHead(value.Data)
	if err != nil {
		return kv.Value{}, nil, fmt.Errorf("read head: %w", err)
	}
	return value, head, nil
}

// replaceHead writes the head if it is still at the given version. It first moves old records to an audit page, so that the head stays
// small and no record is lost.
//
// The page number determines which records are on an audit page, so instances that race write identical pages.
func (c *Committer) replaceHead(ctx context.Context, version kv.Version, next *Head) error {
	if len(next.Recent) > recentLimit {
		half := recentLimit / 2
		data, err := msgpack.Marshal(next.Recent[:half])
		if err != nil {
			return fmt.Errorf("encode audit page: %w", err)
		}
		if err := c.createPage(ctx, auditPath(next.AuditPages), data); err != nil {
			return err
		}
		next.Recent = next.Recent[half:]
		next.AuditPages++
	}
	data, err := next.Encode()
	if err != nil {
		return fmt.Errorf("switch head: %w", err)
	}
	if _, err := c.Store.Put(ctx, HeadPath, data, version); err != nil {
		return fmt.Errorf("switch head: %w", err)
	}
	return nil
}

// createPage creates an immutable page. If it exists already, its content is the same.
func (c *Committer) createPage(ctx context.Context, path string, data []byte) error {
	_, err := c.Store.Put(ctx, path, data, 0)
	if err != nil && !errors.Is(err, kv.ErrConflict) {
		return fmt.Errorf("put page: %w", err)
	}
	return nil
}

// deleteUnused deletes the pages that the new head no longer refers to. A reader that finds such a page missing must read the head
// again.
func (c *Committer) deleteUnused(ctx context.Context, old, next *Head) {
	used := make(map[PageRef]bool, len(next.Pages))
	for _, ref := range next.Pages {
		used[ref] = true
	}
	for _, ref := range old.Pages {
		if !used[ref] {
			// If the delete fails, the unused page only takes up a few kilobytes.
			_ = c.Store.Delete(ctx, ref.Path(), 0)
		}
	}
}

// Audit returns the newest audit records up to a limit, oldest first.
func (c *Committer) Audit(ctx context.Context, limit int) ([]Record, error) {
	_, head, err := c.readHead(ctx)
	if err != nil {
		return nil, err
	}
	records := head.Recent
	for n := head.AuditPages - 1; n >= 0 && len(records) < limit; n-- {
		value, err := c.Store.Get(ctx, auditPath(n))
		if err != nil {
			return nil, fmt.Errorf("read audit page %d: %w", n, err)
		}
		var page []Record
		if err := msgpack.Unmarshal(value.Data, &page); err != nil {
			return nil, fmt.Errorf("decode audit page %d: %w", n, err)
		}
		records = append(page, records...)
	}
	return records[max(0, len(records)-limit):], nil
}

// PageSource provides configuration pages, from a cache, a peer or the key-value service.
type PageSource interface {
	// Get returns the value of a key. Errors are kv.ErrNotFound and kv.ErrUnavailable.
	Get(ctx context.Context, key string) (kv.Value, error)
}

// PageCache holds the encoded pages of the latest head.
type PageCache map[PageRef][]byte

// ReadObjects returns all objects of a head. It reads pages that are not in the cache from the source and adds them to the cache.
func ReadObjects(ctx context.Context, source PageSource, head *Head, cache PageCache) (map[catalog.ID]*catalog.Object, error) {
	objects := make(map[catalog.ID]*catalog.Object)
	for _, ref := range head.Pages {
		data, ok := cache[ref]
		if !ok {
			value, err := source.Get(ctx, ref.Path())
			if err != nil {
				return nil, fmt.Errorf("get page: %w", err)
			}
			data = value.Data
		}
		list, err := DecodePage(ref, data)
		if err != nil {
			return nil, fmt.Errorf("get page: %w", err)
		}
		if cache != nil {
			cache[ref] = data
		}
		for _, o := range list {
			objects[o.ID] = o
		}
	}
	return objects, nil
}
