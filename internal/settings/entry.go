package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Seed is a peer that an instance contacts at startup.
type Seed struct {
	Name    string
	Zone    string
	Address string
}

// Operator is a user of the administration API and the digest of its token.
type Operator struct {
	Name        string
	TokenDigest string
}

// TLS holds the paths of a listener's certificate and key. If both are empty, the listener doesn't use TLS.
type TLS struct {
	CertFile string
	KeyFile  string
}

// Entry holds the settings of gypsum-entry with the native edge.
type Entry struct {
	Name      string
	Zone      string
	Callers   string
	Operators string
	Peers     string

	KeyValue        string
	InstanceList    string
	WritesPerSecond int
	ReadsPerSecond  int

	Secret string
	Seeds  []Seed

	Administrators []Operator

	RequestTimeout time.Duration
	StopTimeout    time.Duration
	MaxRequests    int

	PrefillPerSecond int
	TokenTime        time.Duration
	PieceBytes       int

	// MemoryMB is the memory limit of the process, in MiB. It is zero if the file names none.
	MemoryMB float64
	// MaxConnections and BuffersMB limit the connections of callers and the memory for their data. Zero derives them from MemoryMB.
	MaxConnections int
	BuffersMB      float64

	CallersTLS   TLS
	OperatorsTLS TLS

	LogLevel  string
	LogFormat string
}

const (
	minSecretLength = 16
	maxRate         = 100000
	digestHexLength = 64
)

// ReadEntry reads and validates a file. If settings are invalid, it returns a *FaultsError that lists all of them.
func ReadEntry(path string) (*Entry, error) {
	r, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return newEntry(r, path)
}

// ParseEntry validates the content of a file. The name is used in errors only.
func ParseEntry(name string, data []byte) (*Entry, error) {
	r, err := newReader(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return newEntry(r, name)
}

func newEntry(r *reader, path string) (*Entry, error) {
	e := &Entry{
		Name:             r.name("instance", "name"),
		Zone:             r.name("instance", "zone"),
		Callers:          r.address("instance", "callers"),
		Operators:        r.address("instance", "operators"),
		Peers:            r.address("instance", "peers"),
		KeyValue:         r.address("platform", "keyvalue"),
		InstanceList:     r.address("platform", "list"),
		WritesPerSecond:  r.integer("platform", "writes_per_second", 1, maxRate, 200),
		ReadsPerSecond:   r.integer("platform", "reads_per_second", 1, maxRate, 500),
		Secret:           r.secret("peers", "secret", minSecretLength),
		Seeds:            r.seeds(),
		Administrators:   r.operators(),
		RequestTimeout:   r.duration("limits", "request_timeout", 100*time.Millisecond, time.Hour, 2*time.Minute),
		StopTimeout:      r.duration("limits", "stop_timeout", 100*time.Millisecond, 10*time.Minute, 30*time.Second),
		MaxRequests:      r.integer("limits", "max_requests", 1, 100000, 4096),
		PrefillPerSecond: r.integer("engine", "prefill_tokens_per_second", 1, 100000000, 20000),
		TokenTime:        r.duration("engine", "token_time", time.Microsecond, time.Minute, 20*time.Millisecond),
		PieceBytes:       r.integer("engine", "piece_bytes", 1, 1<<40, 16<<20),
		MemoryMB:         r.float("process", "memory", 16, 1<<20, 0),
		MaxConnections:   r.integer("process", "connections", 1, 1000000, 0),
		BuffersMB:        r.float("process", "buffers", 5, 1<<20, 0),
		CallersTLS:       r.tls("callers"),
		OperatorsTLS:     r.tls("operators"),
		LogLevel:         r.choice("log", "level", "info", "debug", "warn", "error"),
		LogFormat:        r.choice("log", "format", "json", "console"),
	}
	return e, r.result(path)
}

// seeds parses a list of the form "name@zone@ip:port, ...".
func (r *reader) seeds() []Seed {
	var seeds []Seed
	for _, item := range r.list("peers", "seeds") {
		parts := strings.Split(item, "@")
		valid := len(parts) == 3 && namePattern.MatchString(parts[0]) && namePattern.MatchString(parts[1])
		if valid {
			_, err := netip.ParseAddrPort(parts[2])
			valid = err == nil
		}
		if !valid {
			r.addFault("peers", "seeds", item, "each must be name@zone@ip:port")
			continue
		}
		seeds = append(seeds, Seed{Name: parts[0], Zone: parts[1], Address: parts[2]})
	}
	return seeds
}

// operators parses a list of the form "name:digest, ...".
func (r *reader) operators() []Operator {
	var list []Operator
	for _, item := range r.list("operators", "tokens") {
		name, digest, ok := strings.Cut(item, ":")
		if _, err := hex.DecodeString(digest); !ok || err != nil || len(digest) != digestHexLength || !namePattern.MatchString(name) {
			r.addFault("operators", "tokens", name,
				"each must be name:digest, where digest is the 64 hexadecimal digits printed by gypsumctl digest")
			continue
		}
		list = append(list, Operator{Name: name, TokenDigest: digest})
	}
	if len(list) == 0 {
		r.addFault("operators", "tokens", "", "must name at least one operator")
	}
	return list
}

func (r *reader) tls(listener string) TLS {
	cert, _ := r.lookup("tls", listener+"_cert")
	key, _ := r.lookup("tls", listener+"_key")
	if (cert == "") != (key == "") {
		r.addFault("tls", listener+"_cert", cert, "must be set together with "+listener+"_key")
	}
	return TLS{CertFile: cert, KeyFile: key}
}
