package peer

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"gypsumvale/internal/coordination/document"
	"gypsumvale/internal/state/kv"
)

// Item is an item of the metadata store.
type Item struct {
	Key      string
	Data     []byte
	Revision uint64
	// Delta makes the configuration out of one that the receiver has, in place of Data, if the receiver's request says that it reads deltas.
	Delta []byte `msgpack:",omitempty"`
}

// Items returns items as they are sent.
func Items(items []kv.Item) []Item {
	list := make([]Item, len(items))
	for i, item := range items {
		list[i] = Item{Key: item.Key, Data: item.Data, Revision: uint64(item.Revision)}
	}
	return list
}

// StoreItems returns items as the store has them. Those with a delta have no data.
func StoreItems(items []Item) []kv.Item {
	list := make([]kv.Item, len(items))
	for i, item := range items {
		list[i] = kv.Item{Key: item.Key, Data: item.Data, Revision: kv.Revision(item.Revision)}
	}
	return list
}

// RemoveEras replaces the revisions of a reply by their numbers, for a release that doesn't know eras.
func (r *SyncReply) RemoveEras() {
	number := func(revision *uint64) { *revision = kv.Revision(*revision).Number() }
	number(&r.OperatorRevision)
	number(&r.RegistrationsRevision)
	number(&r.Revision)
	for _, items := range [][]Item{r.OperatorItems, r.SystemKeys} {
		for i := range items {
			number(&items[i].Revision)
		}
	}
}

// EncodeDelta returns the compressed encoding of a delta, or nil if it can't be encoded or is too long for a frame.
func EncodeDelta(d *document.Delta) []byte {
	data, err := msgpack.Marshal(d)
	if err != nil {
		return nil
	}
	e, err := encoder()
	if err != nil {
		return nil
	}
	if data = e.EncodeAll(data, nil); len(data) > MaxFrameBytes/2 {
		return nil
	}
	return data
}

// DecodeDelta decodes a delta. Errors wrap ErrFrame.
func DecodeDelta(data []byte) (*document.Delta, error) {
	d, err := deltaDecoder()
	if err != nil {
		return nil, fmt.Errorf("open decoder: %w", err)
	}
	data, err = d.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress delta (%v): %w", err, ErrFrame)
	}
	delta := &document.Delta{}
	if err := msgpack.Unmarshal(data, delta); err != nil {
		return nil, fmt.Errorf("decode delta (%v): %w", err, ErrFrame)
	}
	return delta, nil
}
