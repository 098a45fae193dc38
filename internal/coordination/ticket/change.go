package ticket

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/state/catalog"
)

// shardOf returns the page on which an object lies.
func shardOf(id catalog.ID) int {
	return int(xxhash.Sum64String(id.String()) % pageShards)
}

// judge applies the rule of numbers: it returns nil for a ticket that may be applied,
// errRepeat for one that has been, and else ErrOvertaken or ErrReused.
func judge(t *Ticket, h *Head, objects map[catalog.ID]*catalog.Object) error {
	digest := t.Digest()
	for i := range h.Recent {
		r := &h.Recent[i]
		if r.Number == t.Number && r.Result == ResultAccepted && r.Digest == digest {
			return errRepeat
		}
	}
	same := 0
	for _, o := range t.Objects {
		known := objects[o.ID]
		if known == nil || known.Ticket < t.Number {
			continue
		}
		if known.Ticket > t.Number {
			return fmt.Errorf("%s took ticket %d: %w", o.ID, known.Ticket, ErrOvertaken)
		}
		if !sameState(known, o) {
			return fmt.Errorf("%s took another ticket %d: %w", o.ID, t.Number, ErrNumberReused)
		}
		same++
	}
	if same == len(t.Objects) {
		return errRepeat
	}
	if same > 0 {
		return fmt.Errorf("number %d: %w", t.Number, ErrNumberReused)
	}
	return nil
}

var errRepeat = errors.New("ticket repeated")

func sameState(a, b *catalog.Object) bool {
	return a.Deleted == b.Deleted && string(a.State) == string(b.State)
}

// newPage is a page that a change writes before it switches the head.
type newPage struct {
	ref  PageRef
	data []byte
}

// change returns the head after a ticket, and the pages that it needs.
func change(t *Ticket, h *Head, objects map[catalog.ID]*catalog.Object) (*Head, []newPage, error) {
	touched := make(map[int]bool)
	next := make(map[catalog.ID]*catalog.Object, len(objects)+len(t.Objects))
	for id, o := range objects {
		next[id] = o
	}
	for _, o := range t.Objects {
		stored := *o
		stored.Ticket = t.Number
		next[o.ID] = &stored
		touched[shardOf(o.ID)] = true
	}
	if err := checkReferences(next); err != nil {
		return nil, nil, err
	}
	pages, err := encodePages(next, touched)
	if err != nil {
		return nil, nil, err
	}
	return &Head{
		Revision:   h.Revision + 1,
		Pages:      replaceRefs(h.Pages, pages),
		Recent:     append([]Record(nil), h.Recent...),
		AuditPages: h.AuditPages,
	}, pages, nil
}

// checkReferences keeps a ticket from leaving an endpoint or a workspace that names nothing.
func checkReferences(objects map[catalog.ID]*catalog.Object) error {
	list := make([]*catalog.Object, 0, len(objects))
	for _, o := range objects {
		list = append(list, o)
	}
	s, err := catalog.NewSnapshot(0, list)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	for _, e := range s.Endpoints {
		if e.Deployment != "" && s.Deployments[e.Deployment] == nil {
			return fmt.Errorf("endpoint %s: unknown deployment %s: %w", e.Name, e.Deployment, ErrInvalid)
		}
		if e.Service != "" && s.Services[e.Service] == nil {
			return fmt.Errorf("endpoint %s: unknown service %s: %w", e.Name, e.Service, ErrInvalid)
		}
	}
	return checkWorkspaces(s)
}

func checkWorkspaces(s *catalog.Snapshot) error {
	owners := make(map[string]string)
	for _, w := range s.Workspaces {
		for _, d := range w.Deployments {
			if s.Deployments[d] == nil {
				return fmt.Errorf("workspace %s: unknown deployment %s: %w", w.Name, d, ErrInvalid)
			}
		}
		for _, name := range w.Services {
			if s.Services[name] == nil {
				return fmt.Errorf("workspace %s: unknown service %s: %w", w.Name, name, ErrInvalid)
			}
		}
		for _, digest := range w.KeyDigests {
			if owners[digest] != "" {
				return fmt.Errorf("workspaces %s and %s share a key: %w", owners[digest], w.Name, ErrInvalid)
			}
			owners[digest] = w.Name
		}
	}
	return nil
}

func encodePages(objects map[catalog.ID]*catalog.Object, touched map[int]bool) ([]newPage, error) {
	byShard := make(map[int][]*catalog.Object, len(touched))
	for id, o := range objects {
		if shard := shardOf(id); touched[shard] {
			byShard[shard] = append(byShard[shard], o)
		}
	}
	pages := make([]newPage, 0, len(byShard))
	for shard, list := range byShard {
		sort.Slice(list, func(i, j int) bool { return list[i].String() < list[j].String() })
		data, err := msgpack.Marshal(list)
		if err != nil {
			return nil, fmt.Errorf("encode page %d: %w", shard, err)
		}
		pages = append(pages, newPage{ref: PageRef{Shard: shard, Digest: pageDigest(data)}, data: data})
	}
	return pages, nil
}

func replaceRefs(refs []PageRef, pages []newPage) []PageRef {
	byShard := make(map[int]PageRef, len(refs)+len(pages))
	for _, ref := range refs {
		byShard[ref.Shard] = ref
	}
	for i := range pages {
		byShard[pages[i].ref.Shard] = pages[i].ref
	}
	next := make([]PageRef, 0, len(byShard))
	for _, ref := range byShard {
		next = append(next, ref)
	}
	sort.Slice(next, func(i, j int) bool { return next[i].Shard < next[j].Shard })
	return next
}
