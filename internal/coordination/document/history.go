package document

import (
	"sync"

	"gypsumvale/internal/state/kv"
)

// maxDocuments is the number of versions that a History keeps: those that instances still have while changes follow each other. They share most of
// their segments.
const maxDocuments = 4

// History holds the newest versions, to tell an instance that has one of them what it lacks. The zero value is empty, and it is safe for concurrent
// use.
type History struct {
	mu sync.Mutex
	// documents holds the newest version last, which was written at revision.
	documents []*Document
	revision  kv.Revision
	// encoded holds encodings of deltas to the newest version by the digest of their base: many instances have the same one.
	encoded map[uint64][]byte
}

// Newest returns the newest version and its revision, or nil and zero.
func (h *History) Newest() (*Document, kv.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest(), h.revision
}

func (h *History) newest() *Document {
	if len(h.documents) == 0 {
		return nil
	}
	return h.documents[len(h.documents)-1]
}

// Digest returns the digest of the newest version, or zero.
func (h *History) Digest() uint64 {
	if d, _ := h.Newest(); d != nil {
		return d.digest
	}
	return 0
}

// Add adds the version that was written at a revision, unless it has a newer one. Share shares its segments with those here.
func (h *History) Add(revision kv.Revision, d *Document) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision < h.revision {
		return
	}
	kept := make([]*Document, 0, maxDocuments)
	for _, e := range h.documents {
		if e.digest != d.digest {
			kept = append(kept, e)
		}
	}
	if len(kept) == maxDocuments {
		kept = kept[1:]
	}
	h.documents, h.revision, h.encoded = append(kept, d), revision, nil
}

// Share replaces segments of a version that isn't in use yet by equal ones of the newest version.
func (h *History) Share(d *Document) {
	if newest, _ := h.Newest(); newest != nil {
		d.Share(newest)
	}
}

// Apply returns the document that a delta makes out of a version. If that is here already, it is the one here, whose segments are decoded. Errors wrap
// ErrDelta.
func (h *History) Apply(delta *Delta) (*Document, error) {
	h.mu.Lock()
	base, held := h.find(delta.Base), h.find(delta.Digest)
	h.mu.Unlock()
	if held != nil {
		return held, nil
	}
	return delta.Apply(base)
}

func (h *History) find(digest uint64) *Document {
	for _, d := range h.documents {
		if d.digest == digest {
			return d
		}
	}
	return nil
}

// Reset drops all versions, so that the next one is received whole.
func (h *History) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.documents, h.encoded = nil, nil
}

// Encoded returns the encoding of the delta to the newest version from the one with a digest, or from nothing if that isn't known. encode is called
// once for each base. The result is nil if the version that was written at the given revision isn't the newest one, or if encode returns nil.
func (h *History) Encoded(revision kv.Revision, base uint64, encode func(*Delta) []byte) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := h.newest()
	if newest == nil || revision != h.revision {
		return nil
	}
	from := h.find(base)
	if from == nil {
		base = 0
	}
	data, ok := h.encoded[base]
	if !ok {
		data = encode(Diff(from, newest))
		if h.encoded == nil {
			h.encoded = make(map[uint64][]byte)
		}
		h.encoded[base] = data
	}
	return data
}
