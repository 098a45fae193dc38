package peer

import (
	"time"

	"gypsumvale/internal/coordination/group"
	"gypsumvale/internal/coordination/ledger"
	"gypsumvale/internal/coordination/member"
	"gypsumvale/internal/protocol/engine"
	"gypsumvale/internal/protocol/platform"
	"gypsumvale/internal/state/claim"
	"gypsumvale/internal/state/piece"
)

// Empty is a message without content.
type Empty struct{}

// Beat carries a heartbeat.
type Beat struct{ Beat member.Heartbeat }

// Want requests the full information about some members, named by the short IDs of their incarnations.
type Want struct{ IDs []uint32 }

// Ask requests an endpoint from a group's owner. Times are sent as the time that remains, so that the two instances
// need no common clock.
type Ask struct {
	Group     group.Key
	Ask       group.GrantRequest
	Remaining time.Duration
	// Adopt names the endpoint of a grant that the new owner of a group takes over from the former one, or is empty.
	Adopt string
}

// Granted is the reply to a request for an endpoint.
type Granted struct {
	Granted  bool
	Endpoint string
	Version  string
	// Warm is true if the endpoint served the same conversation last.
	Warm bool
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
}

// Withdraw cancels a waiting request or an unused grant.
type Withdraw struct {
	Group group.Key
	ID    uint64
}

// Done ends a grant or reports its progress, depending on the kind of the message.
type Done struct {
	Group group.Key
	ID    uint64
	// Ratio is the actual time divided by the expected time, or zero if unknown.
	Ratio float64
}

// Claim forwards a ledger change to the preferred writer of its shard.
type Claim struct{ Op claim.Op }

// Claimed is the reply to a forwarded change.
type Claimed struct{ Result claim.Result }

// Inquire queries the state of a claim from its holder.
type Inquire struct {
	Holder    string
	Nonce     claim.Nonce
	Remaining time.Duration
}

// Inquired is the reply to a query for the state of a claim. Gone is true if the queried instance is another incarnation than the claim's
// holder.
type Inquired struct {
	Gone   bool
	Report ledger.AttemptReport
}

// Pull requests the configuration if it is newer than the revision Above, and pages by path.
type Pull struct {
	Above uint64
	Pages []string
}

// Page is one configuration page.
type Page struct {
	Path string
	Data []byte
}

// Pulled is the reply with the configuration. Head is empty if the replying instance has no newer one.
type Pulled struct {
	Head  []byte
	Pages []Page
}

// Roster forwards the platform's instance list, with the time that has passed since it was read.
//
// For an unchanged list only the digest is sent; a receiver that doesn't have this list reads it from the platform.
type Roster struct {
	Digest    uint64
	Instances []platform.Instance
	Age       time.Duration
}

// Link requests the stored prefix of a context from the owner of a store's link, which reserves the link for the transfer.
type Link struct {
	Store  string
	Pieces []piece.Name
	// Within limits the sum of the waiting and the transfer time.
	Within time.Duration
}

// Linked is the reply with the blocks of a stored prefix. It has none if recomputing the prefix is as fast as fetching it.
type Linked struct {
	Blocks []engine.Block
	// Wait is the time until the link is free for this transfer.
	Wait time.Duration
}

// Export requests that an endpoint writes pieces of its cache to a store. It is sent to the owner of the store's link.
type Export struct {
	Store    string
	Endpoint string
	Pieces   []piece.Name
}

// Revision announces that a newer configuration exists.
type Revision struct{ Revision uint64 }

// Register records which endpoint runs a stream.
type Register struct {
	Stream   string
	Endpoint string
}

// Find queries which endpoint runs a stream.
type Find struct{ Stream string }

// Found is the reply to a query for the endpoint of a stream. Endpoint is empty if the stream is unknown.
type Found struct{ Endpoint string }

// Suspect reports that a request was in flight at an endpoint when the endpoint crashed.
type Suspect struct {
	Digest   string
	Endpoint string
}
