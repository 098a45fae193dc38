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

// Heartbeat carries a heartbeat.
type Heartbeat struct{ Heartbeat member.Heartbeat }

// MemberRequest asks for all that is known of some members, named by the short form of their incarnations.
type MemberRequest struct{ IDs []uint32 }

// GrantRequest asks a group's owner for an endpoint; times go as what remains, so that no clock is shared.
type GrantRequest struct {
	Group     group.Key
	Request   group.GrantRequest
	Remaining time.Duration
	// AdoptEndpoint names the endpoint of a grant that another owner gave, or is empty.
	AdoptEndpoint string
}

// GrantReply answers an ask.
type GrantReply struct {
	Granted  bool
	Endpoint string
	Version  string
	Warm     bool
	// RetryAfter is the time until a refused caller should come back.
	RetryAfter time.Duration
}

// WithdrawGrant drops an ask or an unused grant.
type WithdrawGrant struct {
	Group group.Key
	ID    uint64
}

// GrantUpdate ends a grant or reports on its progress.
type GrantUpdate struct {
	Group group.Key
	ID    uint64
	// Ratio is the quotient of real and expected time, or zero.
	Ratio float64
}

// Claim forwards a change to the preferred writer of a ledger shard.
type Claim struct{ Op claim.Op }

// ClaimReply answers a forwarded change.
type ClaimReply struct{ Result claim.Result }

// ClaimStatusRequest asks the holder of a claim about it.
type ClaimStatusRequest struct {
	Holder    string
	Nonce     claim.Nonce
	Remaining time.Duration
}

// ClaimStatusReply answers an inquiry; Gone says that the asked instance is another incarnation.
type ClaimStatusReply struct {
	Gone   bool
	Report ledger.AttemptReport
}

// ConfigRequest asks for configuration newer than a revision, and for pages by path.
type ConfigRequest struct {
	Above uint64
	Pages []string
}

// Page is one configuration page.
type Page struct {
	Path string
	Data []byte
}

// ConfigReply answers a pull; Head is empty if the asked instance has nothing newer.
type ConfigReply struct {
	Head  []byte
	Pages []Page
}

// InstanceList passes the platform's list on, with the time that has passed since it was read.
//
// An unchanged list goes as its digest only; who doesn't have that list reads it from the platform.
type InstanceList struct {
	Digest    uint64
	Instances []platform.Instance
	Age       time.Duration
}

// LinkRequest asks a store's link owner for the stored prefix of a context and the use of the link.
type LinkRequest struct {
	Store  string
	Pieces []piece.Name
	// MaxTime is the longest time that waiting and fetching may take.
	MaxTime time.Duration
}

// LinkReply answers a link ask; no blocks means that recomputing is as fast.
type LinkReply struct {
	Blocks []engine.Block
	// Wait is the time until the link is free for this transfer.
	Wait time.Duration
}

// ExportRequest asks a store's link owner to have an endpoint's pieces written to the store.
type ExportRequest struct {
	Store    string
	Endpoint string
	Pieces   []piece.Name
}

// RevisionNotice says that a newer configuration is there.
type RevisionNotice struct{ Revision uint64 }

// RegisterStream notes which endpoint runs a stream.
type RegisterStream struct {
	Stream   string
	Endpoint string
}

// FindStream asks for the endpoint that runs a stream.
type FindStream struct{ Stream string }

// FindStreamReply answers a find.
type FindStreamReply struct{ Endpoint string }

// CrashReport shares that a request was in flight at an endpoint's crash.
type CrashReport struct {
	Digest   string
	Endpoint string
}
