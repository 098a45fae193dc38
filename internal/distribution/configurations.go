package distribution

import (
	"fmt"
	"sync"

	"gypsumvale/internal/coordination/document"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/state/route"
)

// Schema divides and decodes configurations, by their segments or as a whole.
type Schema interface {
	document.Decoder
	IsConfiguration(key string) bool
	Split(text []byte) (*document.Document, error)
	Configuration(item kv.Item) (*route.Table, error)
}

// Configurations holds the texts of the newest configurations, and the last one that was decoded. It is safe for concurrent use.
type Configurations struct {
	schema  Schema
	history document.History

	mu      sync.Mutex
	decoded document.Version
}

// NewConfigurations returns an empty set.
func NewConfigurations(schema Schema) *Configurations { return &Configurations{schema: schema} }

// Digest returns the digest of the newest text, or zero.
func (c *Configurations) Digest() uint64 { return c.history.Digest() }

// Divide returns the document of a configuration, or nil for a text that can't be divided: decoding it as a whole tells why.
func (c *Configurations) Divide(item kv.Item) *document.Document {
	doc, err := c.schema.Split(item.Data)
	if err != nil {
		return nil
	}
	c.history.Share(doc)
	return doc
}

// Add adds a document that was written at a revision, so that peers get what differs from theirs.
func (c *Configurations) Add(revision kv.Revision, doc *document.Document) {
	c.history.Add(revision, doc)
}

// Receive returns the document of an item that came as a delta, or nil if it didn't. If the delta doesn't fit, all texts are dropped, so that the whole
// is requested next; the error wraps document.ErrDelta or peer.ErrFrame.
func (c *Configurations) Receive(item *peer.Item) (*document.Document, error) {
	if len(item.Delta) == 0 {
		return nil, nil
	}
	delta, err := peer.DecodeDelta(item.Delta)
	if err != nil {
		c.history.Reset()
		return nil, fmt.Errorf("read delta: %w", err)
	}
	doc, err := c.history.Apply(delta)
	if err != nil {
		c.history.Reset()
		return nil, fmt.Errorf("apply delta: %w", err)
	}
	return doc, nil
}

// Shorten replaces the newest configuration among items by its delta from the one that a peer has, if its query says that it reads deltas.
func (c *Configurations) Shorten(items []peer.Item, query *peer.SyncRequest) {
	for i := range items {
		if !query.Deltas || !c.schema.IsConfiguration(items[i].Key) {
			continue
		}
		delta := c.history.Encoded(kv.Revision(items[i].Revision), query.ConfigurationDigest, peer.EncodeDelta)
		if delta != nil {
			items[i].Data, items[i].Delta = nil, delta
		}
	}
}

// Table decodes a configuration, from its document if that isn't nil, as far as it isn't that of the last one. The error is that of the schema.
func (c *Configurations) Table(item kv.Item, doc *document.Document) (*route.Table, error) {
	if doc == nil {
		return c.schema.Configuration(item) //nolint:wrapcheck // The error is that of the schema.
	}
	c.mu.Lock()
	base := c.decoded
	c.mu.Unlock()
	table, err := document.BuildTable(doc, base, c.schema)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", item.Key, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decoded = document.Version{Document: doc, Table: table}
	return table, nil
}
