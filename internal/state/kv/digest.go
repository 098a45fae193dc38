package kv

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a digest of the keys and revisions of a set of items, which instances of all releases compute alike.
func Digest(items []Item) uint64 {
	h := xxhash.New()
	for _, item := range items {
		for _, text := range []string{item.Key, strconv.FormatUint(uint64(item.Revision), 10)} {
			// xxhash.Digest never returns an error on a write.
			_, _ = h.WriteString(text)
			_, _ = h.Write([]byte{0})
		}
	}
	return h.Sum64()
}
