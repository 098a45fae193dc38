package route

import "time"

// Kind determines whether the requests of a route may run more than once.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce requests run at most once for each attempt of a caller.
	AtMostOnce
	// Stream requests are answered by numbered events. They run at most once unless the route is resumable.
	Stream
)

// String returns the label used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "once"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Target is a service that receives a share of a route's requests, in proportion to its weight.
type Target struct {
	Service string
	Weight  int
}

// Route maps requests by host and path prefix to services, with the limits and the rules for retries that apply to them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout limits the time from a request's arrival to the end of its answer.
	Timeout time.Duration
	// TargetLatency is the operator's target for the time to the answer, or to the first event of a stream.
	TargetLatency time.Duration
	// TargetEventGap is the operator's target for the longest pause between two events; zero if none is configured.
	TargetEventGap time.Duration
	// Priority orders routes by urgency; zero is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is the largest number of endpoints that may run one request.
	MaxAttempts int
	// Public routes are open to callers without a key.
	Public bool
	// HasPrompt is true if the requests carry a prompt for a model engine.
	HasPrompt bool
	// Resumable streams may continue after their last event at another endpoint.
	Resumable bool
	// AllowedRegions lists the regions whose endpoints and cache stores the requests may use; if it is empty, all.
	AllowedRegions []string
}

// Repeatable reports whether a request of this route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a request, chosen by the targets' weights, or an empty string if all weights are zero. The values of x
// must be uniformly distributed.
func (r *Route) Pick(x uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total == 0 {
		return ""
	}
	n := int(x % uint64(total))
	for _, t := range r.Targets {
		if n < t.Weight {
			return t.Service
		}
		n -= t.Weight
	}
	return ""
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an endpoint runs concurrently.
	Slots int
	// CacheTokens is the capacity of an endpoint's KV cache, in tokens.
	CacheTokens int
	// TokenBytes is the size of one token's KV cache.
	TokenBytes int
	// LinkBitsPerSecond is the rate at which an endpoint transfers KV cache.
	LinkBitsPerSecond float64
	// MaxEventPolls is the number of pending long polls for cache events that an endpoint accepts from all its callers together.
	MaxEventPolls int
	// Stride is the largest number of tokens in an event of a stream; zero if it is unknown.
	Stride int
	Models []string
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name string
	// MaxConnections is the number of connections that an endpoint accepts from all callers together.
	MaxConnections int
	// WarmupTime is how long an endpoint is cold after its start under traffic.
	WarmupTime time.Duration
	// WarmupRate is the number of requests per second that a cold endpoint bears; zero sets no limit.
	WarmupRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Store is a cache store, which holds KV cache for the engines.
type Store struct {
	Name              string
	Address           string
	Zone              string
	CacheTokens       int
	LinkBitsPerSecond float64
	// FirstByteDelay is the time to the first byte of each transfer, in addition to the time that the link's rate gives.
	FirstByteDelay time.Duration
	// Managed stores evict nothing by themselves: parts must be freed by a call.
	Managed bool
}

// Workspace is a customer of the system.
type Workspace struct {
	Name string
	// Priority overrides the route's priority if it is not nil.
	Priority *int
	// Isolated workspaces share no cached context with other workspaces.
	Isolated bool
	Keys     []string
	// AllowedRegions lists the regions whose endpoints and cache stores the workspace's requests may use; if it is empty, all.
	AllowedRegions []string
}

// Limits are the limits on the size of callers' requests and on the time that callers may take to send them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
