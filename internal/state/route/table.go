package route

import (
	"fmt"
	"net"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// ErrInvalid says that a configuration breaks a rule and can't be adopted.
var ErrInvalid = errors.New("invalid configuration")

// Table is one version of the configuration; it is frozen once built.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]*Service
	Stores   []*Store

	byHost     map[string][]*Route
	byKey      map[string]*Workspace
	workspaces int
}

// TableParts is what a table is built from.
type TableParts struct {
	Version    uint64
	Limits     Limits
	Routes     []*Route
	Services   []*Service
	Stores     []*Store
	Workspaces []*Workspace
}

// NewTable checks the parts and builds the indexes; the error is ErrInvalid.
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
		if err := checkRoute(r); err != nil {
			return nil, fmt.Errorf("configuration %d: %w", p.Version, err)
		}
		host := normalHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
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

func checkRoute(r *Route) error {
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

// Match returns the route with the longest prefix of a raw path on a host, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// TableSize counts what a table holds.
type TableSize struct {
	Routes     int
	Keys       int
	Workspaces int
}

// Size returns how much the table holds, for logs.
func (t *Table) Size() TableSize {
	s := TableSize{Keys: len(t.byKey), Workspaces: t.workspaces}
	for _, routes := range t.byHost {
		s.Routes += len(routes)
	}
	return s
}

// RequiresKeys reports whether callers need keys.
func (t *Table) RequiresKeys() bool { return t.workspaces > 0 }

// Workspace returns the holder of a key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.byKey[key] }

// normalHost drops a port and the case, neither of which selects a route.
func normalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
