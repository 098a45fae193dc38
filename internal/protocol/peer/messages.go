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
type Heartbeat struct {
	Heartbeat member.Heartbeat `msgpack:"Beat"`
}

// MemberRequest requests the full information about some members, named by the short IDs of their incarnations.
type MemberRequest struct{ IDs []uint32 }

// GrantRequest requests an endpoint from a group's owner. Times are sent as the time that remains, so that the two instances need no
// common clock.
type GrantRequest struct {
	Group     group.Key
	Request   group.GrantRequest `msgpack:"Ask"`
	Remaining time.Duration
	// AdoptEndpoint names the endpoint of a grant that the new owner of a group takes over from the former one, or is empty.
	AdoptEndpoint string `msgpack:"Adopt"`
}

// GrantReply is the reply to a request for an endpoint.
type GrantReply struct {
	Granted  bool
	Endpoint string
	Version  string
	// RunID identifies the run of the endpoint's process. It is empty if unknown, or from an earlier release.
	RunID string `msgpack:"RunID,omitempty"`
	// Warm is true if the endpoint served the same conversation last.
	Warm bool
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
}

// WithdrawGrant cancels a pending request or an unused grant.
type WithdrawGrant struct {
	Group group.Key
	ID    uint64
}

// GrantUpdate ends a grant or reports its progress, depending on the kind of the message.
type GrantUpdate struct {
	Group group.Key
	ID    uint64
	// Ratio is the actual time divided by the expected time, or zero if unknown.
	Ratio float64
}

// Claim forwards a ledger change to the preferred writer of its shard.
type Claim struct{ Op claim.Op }

// ClaimReply is the reply to a forwarded change.
type ClaimReply struct{ Result claim.Result }

// ClaimStatusRequest queries the state of a claim from its holder.
type ClaimStatusRequest struct {
	Holder    string
	Nonce     claim.Nonce
	Remaining time.Duration
}

// ClaimStatusReply is the reply to a query for the state of a claim. Gone is true if the queried instance is another incarnation than the
// claim's holder.
type ClaimStatusReply struct {
	Gone   bool
	Report ledger.AttemptReport
}

// ConfigRequest requests the configuration if it is newer than the revision Above, and pages by path.
type ConfigRequest struct {
	Above uint64
	Pages []string
}

// Page is one configuration page.
type Page struct {
	Path string
	Data []byte
}

// ConfigReply is the reply with the configuration. Head is empty if the replying instance has no newer one.
type ConfigReply struct {
	Head  []byte
	Pages []Page
}

// InstanceList forwards the platform's instance list, with the time that has passed since it was read.
//
// For an unchanged list only the digest is sent; a receiver that doesn't have this list reads it from the platform.
type InstanceList struct {
	Digest    uint64
	Instances []platform.Instance
	Age       time.Duration
}

// LinkRequest requests the stored prefix of a context from the owner of a store's link, which reserves the link for the transfer.
type LinkRequest struct {
	Store  string
	Pieces []piece.Name
	// MaxTime limits the sum of the waiting and the transfer time.
	MaxTime time.Duration `msgpack:"Within"`
}

// LinkReply is the reply with the blocks of a stored prefix. It has none if recomputing the prefix is as fast as fetching it.
type LinkReply struct {
	Blocks []engine.Block
	// Wait is the time until the link is free for this transfer.
	Wait time.Duration
}

// ExportRequest requests that an endpoint writes pieces of its cache to a store. It is sent to the owner of the store's link.
type ExportRequest struct {
	Store    string
	Endpoint string
	Pieces   []piece.Name
}

// RevisionNotice announces that a newer configuration exists.
type RevisionNotice struct{ Revision uint64 }

// RegisterStream records which endpoint runs a stream.
type RegisterStream struct {
	Stream   string
	Endpoint string
}

// FindStream queries which endpoint runs a stream.
type FindStream struct{ Stream string }

// FindStreamReply is the reply to a query for the endpoint of a stream. Endpoint is empty if the stream is unknown.
type FindStreamReply struct{ Endpoint string }

// CrashReport reports that a request was in flight at an endpoint when the endpoint crashed.
type CrashReport struct {
	Digest   string
	Endpoint string
	// RunID identifies the run of the endpoint's process that has ended. It is empty if unknown, or from an earlier release.
	RunID string `msgpack:"RunID,omitempty"`
	// Service and Parts are the service and the shared parts of the request's prompt. Parts is nil if the answer had begun.
	Service string
	Parts   []string
	// Answering is true if the head of the answer had arrived.
	Answering bool
	// SentAge and BrokenAge are the times since the request was sent and since its exchange broke.
	SentAge   time.Duration
	BrokenAge time.Duration
	// Number is higher than those of the sender's earlier reports and retractions. It is zero from an earlier release.
	Number uint64 `msgpack:",omitempty"`
	// StartMilli identifies the incarnation of the endpoint; zero if unknown, or from an earlier release.
	StartMilli int64 `msgpack:",omitempty"`
}

// CrashRetraction takes back the sender's earlier reports of an endpoint's crashes. An earlier release doesn't know it and goes on counting them.
type CrashRetraction struct {
	Endpoint string
	// FirstAge and LastAge are the times since the first and the last exchange broke that the reports were about.
	FirstAge, LastAge time.Duration
	// Alive is true if the endpoint's incarnation has proved to be alive, so that reports of other instances were wrong as well.
	Alive bool `msgpack:",omitempty"`
	// Number is higher than those of the reports that are taken back.
	Number uint64
}

// PartsCleared reports that an answer has begun to a request with parts on which engines were suspected to crash.
type PartsCleared struct {
	Service string
	Parts   []string
	// Age is the most time that may have passed since the answer began, or zero if it has just begun.
	Age time.Duration `msgpack:",omitempty"`
}
