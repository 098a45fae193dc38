package route

import "time"

// Kind says what may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce requests run at most once for each of a caller's attempts.
	AtMostOnce
	// Stream requests are answered by numbered events; they run once unless the route is resumable.
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

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route says where requests with a host and a path prefix go, and what may be done with them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time from a request's arrival to the end of its answer.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event, that the operator wants.
	TargetLatency time.Duration
	// TargetEventGap is the pause between two events that the operator wants at most; zero is not said.
	TargetEventGap time.Duration
	// Priority is the rank among routes; zero is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is the most endpoints that may run one request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// HasPrompt says that requests carry a prompt for a model engine.
	HasPrompt bool
	// Resumable streams may go on at another endpoint behind their last event.
	Resumable bool
}

// Repeatable reports whether a request of this route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a request; x is a number drawn evenly, and picks by the targets' weights.
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

// Engine is what is known of a service's model engines.
type Engine struct {
	// Slots is the number of requests that an endpoint runs at once.
	Slots int
	// CacheTokens is the number of tokens that an endpoint's memory holds.
	CacheTokens int
	// TokenBytes is the size of one token's KV cache.
	TokenBytes int
	// LinkBitsPerSecond is the rate of an endpoint's transfers of KV cache.
	LinkBitsPerSecond float64
	// MaxEventPolls is the number of waiting calls for cache events that an endpoint holds for all its callers.
	MaxEventPolls int
	Models        []string
}

// Service is a set of endpoints that do the same work.
type Service struct {
	Name string
	// MaxConnections is the number that an endpoint accepts from all callers together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Store keeps KV cache for the engines.
type Store struct {
	Name              string
	Address           string
	Zone              string
	CacheTokens       int
	LinkBitsPerSecond float64
	// FirstByteDelay is the time that each transfer waits in addition.
	FirstByteDelay time.Duration
	// Managed stores free nothing on their own.
	Managed bool
}

// Workspace is a customer of the system.
type Workspace struct {
	Name string
	// Priority goes before the route's if it is set.
	Priority *int
	// Isolated workspaces share no cached context with others.
	Isolated bool
	Keys     []string
}

// Limits bound what callers may send, and how long they may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
