package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Edge is the kind of clients that an entry instance serves.
type Edge string

// Edges.
const (
	// EdgeNative serves the product's own HTTP API to callers directly.
	EdgeNative Edge = "native"
	// EdgeHosted serves a hosted platform's load balancer, with routes that the platform's operator keeps in the platform's store.
	EdgeHosted Edge = "hosted"
)

// Hosted holds the settings of gypsum-entry with the hosted edge.
type Hosted struct {
	Name    string
	Zone    string
	Callers string
	// Readiness is the listening address for the load balancer's readiness probes.
	Readiness string
	Peers     string
	// Advertise is the address at which other instances reach Peers. It defaults to Peers.
	Advertise string
	// Forwards is the listening address for requests that instances hand over which can't reach the endpoints. If it is empty, this instance
	// takes none over.
	Forwards string
	// Metrics is the listening address of the Prometheus endpoint. If it is empty, metrics are not served.
	Metrics string

	Store string

	Bounds

	// PrefillRate is the prefill rate of a healthy engine, in prompt tokens per second.
	PrefillRate int
	// MemoryMB is the memory limit of the process, in MiB.
	MemoryMB float64
	// MaxConnections limits the connections of callers. Zero derives the limit from MemoryMB and the process's limit of descriptors.
	MaxConnections int
	// BuffersMB limits the memory for callers' data, in MiB. Zero derives the limit from MemoryMB.
	BuffersMB float64
	// Threads is the number of operating system threads that execute Go code at the same time (GOMAXPROCS).
	Threads int
	// CPUCores is the CPU time available to this instance, in cores. Instances with the highest value are preferred as leader.
	CPUCores float64
	// LinkMbps is the bandwidth of this instance's network link, in Mbit/s. In each zone the instance with the highest value reads the
	// store and relays the updates to the others.
	LinkMbps float64
	// Regions maps zones to their regions.
	Regions map[string]string

	LogLevel  string
	LogFormat string

	// Digest identifies the content of the file.
	Digest string
}

// Bounds are the settings that a running process adopts when its file changes.
type Bounds struct {
	// MaxRevocationDelay is the longest time for which a key may still be accepted after it was revoked.
	MaxRevocationDelay time.Duration
	// MaxApplyDelay is the longest time until a configuration is in force after it was written.
	MaxApplyDelay time.Duration
	// MaxLeavingDelay is the longest time for which an endpoint may still receive new requests after it announced that it is leaving.
	MaxLeavingDelay time.Duration
	// StopTimeout is the time from the platform's stop signal until it kills the process.
	StopTimeout time.Duration
	// Lease is the minimum time before a lease may pass from one holder to another.
	Lease time.Duration
	// OldWeightsGrace is the longest time for which an older weight version may still be used after a newer one was announced.
	OldWeightsGrace time.Duration
	// RetryShare and RetryReserve limit the retries of all instances together: RetryShare as a share of all requests, and RetryReserve as
	// a number that is allowed on top in each window.
	RetryShare   float64
	RetryReserve float64
	// MaxLoads limits the weight orders in progress at the same time in a small service. In a large one the limit is a share of its engines.
	MaxLoads int
	// WarmupExcess and WarmupTolerance bound the requests that a cold endpoint may get in any second: WarmupExcess times the rate that the
	// operator configures for its service, and WarmupTolerance on top.
	WarmupExcess    float64
	WarmupTolerance float64
}

// Digest identifies the values of the bounds. It is the same on all instances that hold the same bounds.
func (b *Bounds) Digest() string { return digest(fmt.Appendf(nil, "%+v", *b)) }

// ErrNeedsRestart is wrapped by the errors of CheckReload.
var ErrNeedsRestart = errors.New("changed settings need a restart")

// CheckReload reports whether a running process can adopt the settings of next: only bounds may differ. Otherwise the error names the keys.
func (h *Hosted) CheckReload(next *Hosted) error {
	var keys []string
	for _, fixed := range []struct {
		key        string
		old, value any
	}{
		{"[instance] name", h.Name, next.Name}, {"[instance] zone", h.Zone, next.Zone}, {"[instance] callers", h.Callers, next.Callers},
		{"[instance] readiness", h.Readiness, next.Readiness}, {"[instance] peers", h.Peers, next.Peers},
		{"[instance] advertise", h.Advertise, next.Advertise}, {"[instance] metrics", h.Metrics, next.Metrics},
		{"[instance] forwards", h.Forwards, next.Forwards},
		{"[platform] store", h.Store, next.Store}, {"[engine] prefill_tokens_per_second", h.PrefillRate, next.PrefillRate},
		{"[process] memory", h.MemoryMB, next.MemoryMB},
		{"[process] connections", h.MaxConnections, next.MaxConnections}, {"[process] buffers", h.BuffersMB, next.BuffersMB},
		{"[process] threads", h.Threads, next.Threads},
		{"[process] processor", h.CPUCores, next.CPUCores}, {"[process] link", h.LinkMbps, next.LinkMbps},
		{"[log] level", h.LogLevel, next.LogLevel}, {"[log] format", h.LogFormat, next.LogFormat}, {"[zones]", fmt.Sprint(h.Regions), fmt.Sprint(next.Regions)},
	} {
		if fixed.old != fixed.value {
			keys = append(keys, fixed.key)
		}
	}
	if len(keys) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrNeedsRestart, strings.Join(keys, ", "))
}

// ReadEdge returns the edge that a file selects. The default is EdgeNative.
func ReadEdge(path string) (Edge, error) {
	r, err := readFile(path)
	if err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	return Edge(r.choice("instance", "edge", string(EdgeNative), string(EdgeHosted))), nil
}

// ReadHosted reads and validates a file. If settings are invalid, it returns a *FaultsError that lists all of them.
func ReadHosted(path string) (*Hosted, error) {
	r, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return newHosted(r, path)
}

// ParseHosted validates the content of a file. The name is used in errors only.
func ParseHosted(name string, data []byte) (*Hosted, error) {
	r, err := newReader(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return newHosted(r, name)
}

func newHosted(r *reader, path string) (*Hosted, error) {
	r.choice("instance", "edge", string(EdgeHosted))
	h := &Hosted{
		Name:      r.name("instance", "name"),
		Zone:      r.name("instance", "zone"),
		Callers:   r.address("instance", "callers"),
		Readiness: r.address("instance", "readiness"),
		Peers:     r.address("instance", "peers"),
		Advertise: r.optionalAddress("instance", "advertise"),
		Forwards:  r.optionalAddress("instance", "forwards"),
		Metrics:   r.optionalAddress("instance", "metrics"),
		Store:     r.address("platform", "store"),
		Bounds: Bounds{
			MaxRevocationDelay: r.duration("bounds", "revocation", time.Second, time.Hour, 5*time.Second),
			MaxApplyDelay:      r.duration("bounds", "apply", 200*time.Millisecond, time.Hour, 3*time.Second),
			MaxLeavingDelay:    r.duration("bounds", "leaving", 200*time.Millisecond, time.Minute, 2*time.Second),
			StopTimeout:        r.duration("bounds", "grace", time.Second, 10*time.Minute, 8*time.Second),
			Lease:              r.duration("bounds", "lease", time.Second, time.Minute, 3*time.Second),
			OldWeightsGrace:    r.duration("bounds", "old_weights", 2*time.Second, time.Hour, 8*time.Second),
			RetryShare:         r.float("bounds", "retry_share", 0, 1, 0.2),
			RetryReserve:       r.float("bounds", "retry_slack", 0, 1000000, 100),
			MaxLoads:           r.integer("engine", "loads", 1, 1000, 3),
			WarmupExcess:       r.float("bounds", "warmup_excess", 0, 1000, 1),
			WarmupTolerance:    r.float("bounds", "warmup_tolerance", 0, 1000000, 0),
		},
		PrefillRate:    r.integer("engine", "prefill_tokens_per_second", 1, 100000000, 20000),
		MemoryMB:       r.float("process", "memory", 16, 1<<20, 128),
		MaxConnections: r.integer("process", "connections", 1, 1000000, 0),
		BuffersMB:      r.float("process", "buffers", 5, 1<<20, 0),
		Threads:        r.integer("process", "threads", 1, 1024, 1),
		CPUCores:       r.float("process", "processor", 0.001, 1024, 1),
		LinkMbps:       r.float("process", "link", 0.001, 1e6, 1000),
		Regions:        r.names("zones"),
		LogLevel:       r.choice("log", "level", "info", "debug", "warn", "error"),
		LogFormat:      r.choice("log", "format", "json", "console"),
		Digest:         r.digest,
	}
	if h.Advertise == "" {
		h.Advertise = h.Peers
	}
	return h, r.result(path)
}

func (r *reader) optionalAddress(section, key string) string {
	if v, ok := r.lookup(section, key); !ok || v == "" {
		return ""
	}
	return r.address(section, key)
}

// names reads a section whose keys and values are names.
func (r *reader) names(section string) map[string]string {
	s, err := r.file.GetSection(section)
	if err != nil {
		return nil
	}
	values := make(map[string]string)
	for _, key := range s.KeyStrings() {
		values[key] = r.name(section, key)
		if !namePattern.MatchString(key) {
			r.addFault(section, key, values[key], "must have a key of 1 to 64 characters of a-z, 0-9, . and -")
		}
	}
	return values
}

func (r *reader) float(section, key string, minValue, maxValue, defaultValue float64) float64 {
	v, ok := r.lookup(section, key)
	if !ok {
		return defaultValue
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || f < minValue || f > maxValue {
		r.addFault(section, key, v, fmt.Sprintf("must be a number from %g to %g", minValue, maxValue))
	}
	return f
}
