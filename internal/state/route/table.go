package route

import (
	"fmt"
	"net"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalid is returned for a configuration that breaks a rule and can't be adopted.
var ErrInvalid = errors.New("invalid configuration")

// Table is one version of the configuration. It is immutable once built.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]*Service
	Stores   []*Store

	byHost     map[string][]*Route
	byKey      map[string]*Workspace
	workspaces int
	// longestStream is the longest timeout of a route with streams.
	longestStream time.Duration
}

// TableParts holds the parts of a configuration from which a table is built.
type TableParts struct {
	Version    uint64
	Limits     Limits
	Routes     []*Route
	Services   []*Service
	Stores     []*Store
	Workspaces []*Workspace
}

// NewTable validates the parts and builds a table with its indexes. The error is ErrInvalid.
func NewTable(p *TableParts) (*Table, error) {
	t := &Table{
		Version:    p.Version,
		Limits:     p.Limits,
		Services:   make(map[string]*Service, len(p.Services)),
		Stores:     p.Stores,
		byHost:     make(map[string][]*Route),
		byKey:      make(map[string]*Workspace),
		workspaces: len(p.Workspaces),
	}
	for _, s := range p.Services {
		t.Services[s.Name] = s
	}
	for _, r := range p.Routes {
		if err := validateRoute(r); err != nil {
			return nil, fmt.Errorf("configuration %d: %w", p.Version, err)
		}
		host := normalizeHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		if r.Kind == Stream {
			t.longestStream = max(t.longestStream, r.Timeout)
		}
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, w := range p.Workspaces {
		for _, key := range w.Keys {
			t.byKey[key] = w
		}
	}
	return t, nil
}

func validateRoute(r *Route) error {
	switch {
	case r.Kind < Idempotent || r.Kind > Stream:
		return fmt.Errorf("route %q: unknown kind: %w", r.Name, ErrInvalid)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("route %q: prefix %q must begin and end with a slash: %w", r.Name, r.Prefix, ErrInvalid)
	case r.Timeout <= 0:
		return fmt.Errorf("route %q: timeout must be positive: %w", r.Name, ErrInvalid)
	case len(r.Targets) == 0:
		return fmt.Errorf("route %q: no service: %w", r.Name, ErrInvalid)
	}
	for _, target := range r.Targets {
		if target.Weight < 0 {
			return fmt.Errorf("route %q: negative weight of %q: %w", r.Name, target.Service, ErrInvalid)
		}
	}
	return nil
}

// Match returns the route of a host with the longest prefix that matches the raw, undecoded path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// TableSize holds the numbers of routes, keys and workspaces in a table.
type TableSize struct {
	Routes     int
	Keys       int
	Workspaces int
}

// Size returns the table's size, for logs.
func (t *Table) Size() TableSize {
	s := TableSize{Keys: len(t.byKey), Workspaces: t.workspaces}
	for _, routes := range t.byHost {
		s.Routes += len(routes)
	}
	return s
}

// RequiresKeys reports whether callers need keys: they do once a workspace is configured.
func (t *Table) RequiresKeys() bool { return t.workspaces > 0 }

// Workspace returns the workspace that a key belongs to, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.byKey[key] }

// normalizeHost removes the port and folds the case, as routes are selected by the host's name alone.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// LongestStream returns the longest timeout of a route with streams.
func (t *Table) LongestStream() time.Duration { return t.longestStream }
