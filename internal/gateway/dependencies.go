package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/coordination/rollout"
	"gypsumvale/internal/distribution"
	"gypsumvale/internal/protocol/exchange"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/state/registration"
)

// Store is the platform's metadata store; its errors are those of package kv.
type Store interface {
	Get(ctx context.Context, key string) (kv.Item, error)
	Range(ctx context.Context, prefix, after string) (kv.Listing, error)
	Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Listing, error)
	Commit(ctx context.Context, t kv.Transaction) (kv.Revision, error)
	Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error)
	Renew(ctx context.Context, lease kv.Lease) error
	End(ctx context.Context, lease kv.Lease) error
}

// StoreSchema decodes the items that operators and endpoints write to the metadata store.
type StoreSchema interface {
	distribution.Schema
	OperatorPrefix() string
	RegistrationPrefix() string
	IsTargetVersion(key string) bool
	EvacuatedZone(key string) (zone string, ok bool)
	TargetVersion(item kv.Item) (model string, version int, err error)
	Registration(item kv.Item) (*registration.Registration, error)
}

// HeaderCodec translates the headers of requests and answers between the platform's format and this system's types.
type HeaderCodec interface {
	ReadHead(h http.Header, arrived clock.Instant) (*exchange.Head, error)
	WriteHead(h http.Header, d *exchange.Dispatch, now clock.Instant)
	// WriteForwarded sets the headers that were removed from a caller's request, for a peer that serves it.
	WriteForwarded(h http.Header, f *exchange.Forward, now clock.Instant)
	ReadReply(status int, h http.Header) exchange.Reply
	ReplyHeader(h http.Header) http.Header
	LocalReplyHeader(id string) http.Header
	RetryAfter(d time.Duration) string
}

// Engines sends orders to model engines and reads their reports.
type Engines interface {
	Report(ctx context.Context, id, address string) (rollout.Report, error)
	// ReportCall returns the target and the header of a GET request for a report, for a connection of the caller's, and DecodeReport the report in
	// the body of its answer.
	ReportCall(id string) (target string, header http.Header)
	DecodeReport(r io.Reader) (rollout.Report, error)
	Order(ctx context.Context, address string, o *rollout.LoadOrder) (rollout.OrderResult, error)
	// Observe sets a function that is called with the head of each answer; endpoint is empty if the call named none.
	Observe(observe func(endpoint, address string, reply *exchange.Reply))
}

// Caches reads the updates and contents of engines' and stores' caches, and orders stores to free parts.
type Caches interface {
	Updates(ctx context.Context, address string, since int64, wait time.Duration) (placement.CacheUpdate, error)
	List(ctx context.Context, address string) (placement.StoreListing, error)
	Free(ctx context.Context, f *placement.FreeOrder) error
	// Observe sets a function that is called with the head of each answer; endpoint is empty if the call named none.
	Observe(observe func(endpoint, address string, reply *exchange.Reply))
}

// Dependencies holds a node's clients of the platform.
type Dependencies struct {
	Store   Store
	Schema  StoreSchema
	Headers HeaderCodec
	Engines Engines
	Caches  Caches
	// Delay measures whether this instance is behind; nil selects a pipe.
	Delay DelayProbe
	// DialEndpoint opens a connection to an endpoint for a request; nil selects TCP.
	DialEndpoint func(ctx context.Context, network, address string) (net.Conn, error)
}
