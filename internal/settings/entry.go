package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Seed is a peer named in the settings.
type Seed struct {
	Name    string
	Zone    string
	Address string
}

// Operator is who may use the administration API.
type Operator struct {
	Name        string
	TokenDigest string
}

// TLS names the files of a listener's certificate; both empty means no TLS.
type TLS struct {
	CertFile string
	KeyFile  string
}

// Entry is the settings of gypsum-entry.
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

	CallersTLS   TLS
	OperatorsTLS TLS

	LogLevel  string
	LogFormat string
}

const (
	minSecret     = 16
	maxRate       = 100000
	digestHexSize = 64
)

// ReadEntry reads and checks a file; a *FaultsError lists all that is wrong.
func ReadEntry(path string) (*Entry, error) {
	r, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return entryFrom(r, path)
}

// ParseEntry reads and checks the content of a file that is known by a name.
func ParseEntry(name string, data []byte) (*Entry, error) {
	r, err := newReader(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return entryFrom(r, name)
}

func entryFrom(r *reader, path string) (*Entry, error) {
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
		Secret:           r.text("peers", "secret", minSecret),
		Seeds:            r.seeds(),
		Administrators:   r.operators(),
		RequestTimeout:   r.duration("limits", "request_timeout", 100*time.Millisecond, time.Hour, 2*time.Minute),
		StopTimeout:      r.duration("limits", "stop_timeout", 100*time.Millisecond, 10*time.Minute, 30*time.Second),
		MaxRequests:      r.integer("limits", "max_requests", 1, 100000, 4096),
		PrefillPerSecond: r.integer("engine", "prefill_tokens_per_second", 1, 100000000, 20000),
		TokenTime:        r.duration("engine", "token_time", time.Microsecond, time.Minute, 20*time.Millisecond),
		PieceBytes:       r.integer("engine", "piece_bytes", 1, 1<<40, 16<<20),
		CallersTLS:       r.tls("callers"),
		OperatorsTLS:     r.tls("operators"),
		LogLevel:         r.choice("log", "level", "info", "debug", "warn", "error"),
		LogFormat:        r.choice("log", "format", "json", "console"),
	}
	return e, r.finish(path)
}

// seeds reads "name@zone@ip:port, ...".
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
			r.fault("peers", "seeds", item, "each must be name@zone@ip:port")
			continue
		}
		seeds = append(seeds, Seed{Name: parts[0], Zone: parts[1], Address: parts[2]})
	}
	return seeds
}

// operators reads "name:digest, ...".
func (r *reader) operators() []Operator {
	var list []Operator
	for _, item := range r.list("operators", "tokens") {
		name, digest, ok := strings.Cut(item, ":")
		if _, err := hex.DecodeString(digest); !ok || err != nil || len(digest) != digestHexSize || !namePattern.MatchString(name) {
			r.fault("operators", "tokens", name, "each must be name:digest, a digest being the 64 hexadecimal digits that gypsumctl digest prints")
			continue
		}
		list = append(list, Operator{Name: name, TokenDigest: digest})
	}
	if len(list) == 0 {
		r.fault("operators", "tokens", "", "must name at least one operator")
	}
	return list
}

func (r *reader) tls(listener string) TLS {
	cert, _ := r.raw("tls", listener+"_cert")
	key, _ := r.raw("tls", listener+"_key")
	if (cert == "") != (key == "") {
		r.fault("tls", listener+"_cert", cert, "must be set together with "+listener+"_key")
	}
	return TLS{CertFile: cert, KeyFile: key}
}
