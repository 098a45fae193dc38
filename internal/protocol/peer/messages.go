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

// Want asks for all that is known of some members, named by the short form of their incarnations.
type Want struct{ IDs []uint32 }

// Ask asks a group's owner for an endpoint; times go as what remains, so that no clock is shared.
type Ask struct {
	Group     group.Key
	Ask       group.GrantRequest
	Remaining time.Duration
	// Adopt names the endpoint of a grant that another owner gave, or is empty.
	Adopt string
}

// Granted answers an ask.
type Granted struct {
	Granted  bool
	Endpoint string
	Version  string
	Warm     bool
	// RetryAfter is the time until a refused caller should come back.
	RetryAfter time.Duration
}

// Withdraw drops an ask or an unused grant.
type Withdraw struct {
	Group group.Key
	ID    uint64
}

// Done ends a grant or reports on its progress.
type Done struct {
	Group group.Key
	ID    uint64
	// Ratio is the quotient of real and expected time, or zero.
	Ratio float64
}

// Claim forwards a change to the preferred writer of a ledger shard.
type Claim struct{ Op claim.Op }

// Claimed answers a forwarded change.
type Claimed struct{ Result claim.Result }

// Inquire asks the holder of a claim about it.
type Inquire struct {
	Holder    string
	Nonce     claim.Nonce
	Remaining time.Duration
}

// Inquired answers an inquiry; Gone says that the asked instance is another incarnation.
type Inquired struct {
	Gone   bool
	Report ledger.AttemptReport
}

// Pull asks for configuration newer than a revision, and for pages by path.
type Pull struct {
	Above uint64
	Pages []string
}

// Page is one configuration page.
type Page struct {
	Path string
	Data []byte
}

// Pulled answers a pull; Head is empty if the asked instance has nothing newer.
type Pulled struct {
	Head  []byte
	Pages []Page
}

// Roster passes the platform's list on, with the time that has passed since it was read.
//
// An unchanged list goes as its digest only; who doesn't have that list reads it from the platform.
type Roster struct {
	Digest    uint64
	Instances []platform.Instance
	Age       time.Duration
}

// Link asks a store's link owner for the stored prefix of a context and the use of the link.
type Link struct {
	Store  string
	Pieces []piece.Name
	// Within is the longest time that waiting and fetching may take.
	Within time.Duration
}

// Linked answers a link ask; no blocks means that recomputing is as fast.
type Linked struct {
	Blocks []engine.Block
	// Wait is the time until the link is free for this transfer.
	Wait time.Duration
}

// Export asks a store's link owner to have an endpoint's pieces written to the store.
type Export struct {
	Store    string
	Endpoint string
	Pieces   []piece.Name
}

// Revision says that a newer configuration is there.
type Revision struct{ Revision uint64 }

// Register notes which endpoint runs a stream.
type Register struct {
	Stream   string
	Endpoint string
}

// Find asks for the endpoint that runs a stream.
type Find struct{ Stream string }

// Found answers a find.
type Found struct{ Endpoint string }

// Suspect shares that a request was in flight at an endpoint's crash.
type Suspect struct {
	Digest   string
	Endpoint string
}
