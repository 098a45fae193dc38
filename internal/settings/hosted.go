package settings

import (
	"fmt"
	"strconv"
	"time"
)

// Edge says whom an entry instance serves.
type Edge string

// Edges.
const (
	// EdgeNative is the product's own interface.
	EdgeNative Edge = "native"
	// EdgeHosted is a platform's balancer, with routes that its operator keeps in the platform's store.
	EdgeHosted Edge = "hosted"
)

// Hosted is the settings of gypsum-entry on a hosted platform.
type Hosted struct {
	Name    string
	Zone    string
	Callers string
	// Readiness is the address that the balancer asks.
	Readiness string
	Peers     string
	// Advertise is the address under which other instances reach Peers.
	Advertise string
	// Metrics is the address of counters and histograms; empty serves none.
	Metrics string

	Store string

	// MaxRevocationDelay is the longest time that a key may be used after it was taken away.
	MaxRevocationDelay time.Duration
	// MaxLeavingDelay is the longest time that a leaving endpoint may get new requests.
	MaxLeavingDelay time.Duration
	// StopTimeout is the time between the signal to stop and the end of the process by force.
	StopTimeout time.Duration
	// Lease is the span within which two holders may not take turns.
	Lease time.Duration
	// OldWeightsGrace is the longest time that older weights may be used after newer ones were named.
	OldWeightsGrace time.Duration
	// RetryShare and RetrySlack bound requests sent again, over all instances: a share of all requests, and a number in each window.
	RetryShare   float64
	RetryReserve int

	// PrefillRate is the prompt tokens that a healthy engine reads in a second.
	PrefillRate int
	// MaxLoads is the most weight orders under way at once in a small service; a large one has a share of its engines.
	MaxLoads int
	// MemoryMB is the memory that the process may use, in MB.
	MemoryMB int
	// Threads is the number of operating system threads that run the program's code at once.
	Threads int
	// CPUCores is this instance's share of the time of one core; instances with the most lead.
	CPUCores float64
	// LinkMbps is the rate of this instance's link, in Mbit/s; instances with the widest read the store for the others.
	LinkMbps float64

	LogLevel  string
	LogFormat string
}

// ReadEdge returns whom the file's instance serves; native if it doesn't say.
func ReadEdge(path string) (Edge, error) {
	r, err := readFile(path)
	if err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	return Edge(r.choice("instance", "edge", string(EdgeNative), string(EdgeHosted))), nil
}

// ReadHosted reads and checks a file; a *FaultsError lists all that is wrong.
func ReadHosted(path string) (*Hosted, error) {
	r, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return hostedFrom(r, path)
}

// ParseHosted reads and checks the content of a file that is known by a name.
func ParseHosted(name string, data []byte) (*Hosted, error) {
	r, err := newReader(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return hostedFrom(r, name)
}

func hostedFrom(r *reader, path string) (*Hosted, error) {
	r.choice("instance", "edge", string(EdgeHosted))
	h := &Hosted{
		Name:               r.name("instance", "name"),
		Zone:               r.name("instance", "zone"),
		Callers:            r.address("instance", "callers"),
		Readiness:          r.address("instance", "readiness"),
		Peers:              r.address("instance", "peers"),
		Advertise:          r.optionalAddress("instance", "advertise"),
		Metrics:            r.optionalAddress("instance", "metrics"),
		Store:              r.address("platform", "store"),
		MaxRevocationDelay: r.duration("bounds", "revocation", time.Second, time.Hour, 5*time.Second),
		MaxLeavingDelay:    r.duration("bounds", "leaving", 200*time.Millisecond, time.Minute, 2*time.Second),
		StopTimeout:        r.duration("bounds", "grace", time.Second, 10*time.Minute, 8*time.Second),
		Lease:              r.duration("bounds", "lease", time.Second, time.Minute, 3*time.Second),
		OldWeightsGrace:    r.duration("bounds", "old_weights", 2*time.Second, time.Hour, 8*time.Second),
		RetryShare:         r.number("bounds", "retry_share", 0, 1, 0.2),
		RetryReserve:       r.integer("bounds", "retry_slack", 0, 1000000, 100),
		PrefillRate:        r.integer("engine", "prefill_tokens_per_second", 1, 100000000, 20000),
		MaxLoads:           r.integer("engine", "loads", 1, 1000, 3),
		MemoryMB:           r.integer("process", "memory", 16, 1<<20, 128),
		Threads:            r.integer("process", "threads", 1, 1024, 1),
		CPUCores:           r.number("process", "processor", 0.001, 1024, 1),
		LinkMbps:           r.number("process", "link", 0.001, 1e6, 1000),
		LogLevel:           r.choice("log", "level", "info", "debug", "warn", "error"),
		LogFormat:          r.choice("log", "format", "json", "console"),
	}
	if h.Advertise == "" {
		h.Advertise = h.Peers
	}
	return h, r.finish(path)
}

func (r *reader) optionalAddress(section, key string) string {
	if v, ok := r.raw(section, key); !ok || v == "" {
		return ""
	}
	return r.address(section, key)
}

func (r *reader) number(section, key string, lowest, highest, otherwise float64) float64 {
	v, ok := r.raw(section, key)
	if !ok {
		return otherwise
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || f < lowest || f > highest {
		r.fault(section, key, v, fmt.Sprintf("must be a number from %g to %g", lowest, highest))
	}
	return f
}
