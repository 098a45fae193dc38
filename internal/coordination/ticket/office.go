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

// Store is the part of the key-value service that tickets need.
type Store interface {
	// Get returns a value, kv.ErrNotFound or kv.ErrUnavailable.
	Get(ctx context.Context, key string) (kv.Value, error)
	// Put writes if the key is at the version, and returns the new one, kv.ErrConflict or kv.ErrUnavailable.
	Put(ctx context.Context, key string, data []byte, version kv.Version) (kv.Version, error)
	// Delete removes a key at a version; a version of zero removes any.
	Delete(ctx context.Context, key string, version kv.Version) error
}

// Committer decides tickets; any instance may run one, since the head's version alone decides races.
type Committer struct {
	Store Store
	// Now is the wall clock for audit records.
	Now func() time.Time
}

const retryPause = 30 * time.Millisecond

// Submit decides a ticket and returns the revision in which it is accepted.
//
// The error is ErrInvalid, ErrOvertaken or ErrReused when the ticket is refused, and anything else when its end is unknown.
func (o *Committer) Submit(ctx context.Context, t *Ticket) (catalog.Revision, error) {
	for {
		revision, err := o.try(ctx, t)
		if err == nil || refused(err) || ctx.Err() != nil {
			return revision, err
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("ticket %d undecided: %w", t.Number, err)
		case <-time.After(retryPause):
		}
	}
}

func refused(err error) bool {
	return errors.Is(err, ErrInvalid) || errors.Is(err, ErrOvertaken) || errors.Is(err, ErrNumberReused)
}

// try reads the head, decides, and switches it; a lost reply shows as a repeat on the next try.
func (o *Committer) try(ctx context.Context, t *Ticket) (catalog.Revision, error) {
	value, head, err := o.readHead(ctx)
	if err != nil {
		return 0, err
	}
	objects, err := ReadObjects(ctx, o.Store, head, nil)
	if err != nil {
		return 0, fmt.Errorf("read objects: %w", err)
	}
	verdict := t.Check()
	if verdict == nil {
		verdict = judge(t, head, objects)
	}
	if errors.Is(verdict, errRepeat) {
		return head.Revision, nil
	}
	var next *Head
	var pages []newPage
	if verdict == nil {
		next, pages, verdict = change(t, head, objects)
	}
	if verdict != nil {
		return 0, o.refuse(ctx, t, value.Version, head, verdict)
	}
	return o.accept(ctx, t, value.Version, head, next, pages)
}

func (o *Committer) accept(ctx context.Context, t *Ticket, version kv.Version, old, next *Head, pages []newPage) (catalog.Revision, error) {
	for i := range pages {
		if err := o.putPage(ctx, pages[i].ref.Path(), pages[i].data); err != nil {
			return 0, err
		}
	}
	r := o.record(t, ResultAccepted, "")
	r.Revision = next.Revision
	next.Recent = append(next.Recent, r)
	if err := o.switchHead(ctx, version, next); err != nil {
		return 0, err
	}
	o.deleteReplaced(ctx, old, next)
	return next.Revision, nil
}

// refuse puts the refusal on the audit trail before it is told.
func (o *Committer) refuse(ctx context.Context, t *Ticket, version kv.Version, head *Head, verdict error) error {
	next := *head
	r := o.record(t, resultOf(verdict), verdict.Error())
	if last := len(head.Recent) - 1; last >= 0 && sameRefusal(&head.Recent[last], &r) {
		return verdict
	}
	next.Recent = append(append([]Record(nil), head.Recent...), r)
	if err := o.switchHead(ctx, version, &next); err != nil {
		return err
	}
	return verdict
}

// sameRefusal keeps a lost reply, or a caller in a loop, from filling the trail with one refusal.
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

func (o *Committer) record(t *Ticket, result Result, detail string) Record {
	const maxDetail = 200
	if len(detail) > maxDetail {
		detail = detail[:maxDetail]
	}
	return Record{Number: t.Number, Operator: t.Operator, Digest: t.Digest(), Result: result, Detail: detail, UnixMilli: o.Now().UnixMilli()}
}

func (o *Committer) readHead(ctx context.Context) (kv.Value, *Head, error) {
	value, err := o.Store.Get(ctx, HeadPath)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return kv.Value{}, nil, fmt.Errorf("read head: %w", err)
	}
	head, err := DecodeHead(value.Data)
	if err != nil {
		return kv.Value{}, nil, fmt.Errorf("read head: %w", err)
	}
	return value, head, nil
}

// switchHead moves old records to an audit page first, so that the head stays small and no record is lost.
//
// The records that a page takes follow from its number alone, so racing instances write the same page.
func (o *Committer) switchHead(ctx context.Context, version kv.Version, next *Head) error {
	if len(next.Recent) > recentLimit {
		half := recentLimit / 2
		data, err := msgpack.Marshal(next.Recent[:half])
		if err != nil {
			return fmt.Errorf("encode audit page: %w", err)
		}
		if err := o.putPage(ctx, auditPath(next.AuditPages), data); err != nil {
			return err
		}
		next.Recent = next.Recent[half:]
		next.AuditPages++
	}
	data, err := next.Encode()
	if err != nil {
		return fmt.Errorf("switch head: %w", err)
	}
	if _, err := o.Store.Put(ctx, HeadPath, data, version); err != nil {
		return fmt.Errorf("switch head: %w", err)
	}
	return nil
}

// putPage creates an immutable page; one that is there already has the same content.
func (o *Committer) putPage(ctx context.Context, path string, data []byte) error {
	_, err := o.Store.Put(ctx, path, data, 0)
	if err != nil && !errors.Is(err, kv.ErrConflict) {
		return fmt.Errorf("put page: %w", err)
	}
	return nil
}

// deleteReplaced drops pages that the new head doesn't name; a reader that still wants one reads the head again.
func (o *Committer) deleteReplaced(ctx context.Context, old, next *Head) {
	kept := make(map[PageRef]bool, len(next.Pages))
	for _, ref := range next.Pages {
		kept[ref] = true
	}
	for _, ref := range old.Pages {
		if !kept[ref] {
			// A page that stays behind costs a few kilobytes and nothing else.
			_ = o.Store.Delete(ctx, ref.Path(), 0)
		}
	}
}

// Audit returns the newest records, oldest first, up to a limit.
func (o *Committer) Audit(ctx context.Context, limit int) ([]Record, error) {
	_, head, err := o.readHead(ctx)
	if err != nil {
		return nil, err
	}
	records := head.Recent
	for n := head.AuditPages - 1; n >= 0 && len(records) < limit; n-- {
		value, err := o.Store.Get(ctx, auditPath(n))
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

// PageSource returns a page's data, from a cache, a peer or the key-value service.
type PageSource interface {
	// Get returns a value, kv.ErrNotFound or kv.ErrUnavailable.
	Get(ctx context.Context, key string) (kv.Value, error)
}

// PageCache keeps the decoded pages of the latest head.
type PageCache map[PageRef][]byte

// ReadObjects returns all objects of a head; pages in the cache aren't read again.
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
