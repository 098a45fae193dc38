package ticket

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/state/catalog"
)

// shardOf returns the shard of an object's page.
func shardOf(id catalog.ID) int {
	return int(xxhash.Sum64String(id.String()) % pageShards)
}

// checkNumber compares a ticket's number with the numbers of the tickets that last changed its objects. It returns nil if the ticket
// may be applied, errAlreadyApplied if it has been applied already, and otherwise ErrOvertaken or ErrNumberReused.
func checkNumber(t *Ticket, h *Head, objects map[catalog.ID]*catalog.Object) error {
	digest := t.Digest()
	for i := range h.Recent {
		r := &h.Recent[i]
		if r.Number == t.Number && r.Result == ResultAccepted && r.Digest == digest {
			return errAlreadyApplied
		}
	}
	same := 0
	for _, o := range t.Objects {
		current := objects[o.ID]
		if current == nil || current.Ticket < t.Number {
			continue
		}
		if current.Ticket > t.Number {
			return fmt.Errorf("%s took ticket %d: %w", o.ID, current.Ticket, ErrOvertaken)
		}
		if !sameState(current, o) {
			return fmt.Errorf("%s took another ticket %d: %w", o.ID, t.Number, ErrNumberReused)
		}
		same++
	}
	if same == len(t.Objects) {
		return errAlreadyApplied
	}
	if same > 0 {
		return fmt.Errorf("number %d: %w", t.Number, ErrNumberReused)
	}
	return nil
}

var errAlreadyApplied = errors.New("ticket already applied")

func sameState(a, b *catalog.Object) bool {
	return a.Deleted == b.Deleted && string(a.State) == string(b.State)
}

// newPage is a page that must be written before the head that refers to it.
type newPage struct {
	ref  PageRef
	data []byte
}

// applyTicket returns the head that results from a ticket, and the pages to write before it.
func applyTicket(t *Ticket, h *Head, objects map[catalog.ID]*catalog.Object) (*Head, []newPage, error) {
	changedShards := make(map[int]bool)
	updated := make(map[catalog.ID]*catalog.Object, len(objects)+len(t.Objects))
	for id, o := range objects {
		updated[id] = o
	}
	for _, o := range t.Objects {
		stored := *o
		stored.Ticket = t.Number
		updated[o.ID] = &stored
		changedShards[shardOf(o.ID)] = true
	}
	if err := checkReferences(updated); err != nil {
		return nil, nil, err
	}
	pages, err := encodePages(updated, changedShards)
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

// checkReferences returns ErrInvalid if an endpoint or a workspace refers to a deployment or a service that doesn't exist.
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

func encodePages(objects map[catalog.ID]*catalog.Object, changedShards map[int]bool) ([]newPage, error) {
	byShard := make(map[int][]*catalog.Object, len(changedShards))
	for id, o := range objects {
		if shard := shardOf(id); changedShards[shard] {
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
	updated := make([]PageRef, 0, len(byShard))
	for _, ref := range byShard {
		updated = append(updated, ref)
	}
	sort.Slice(updated, func(i, j int) bool { return updated[i].Shard < updated[j].Shard })
	return updated
}
