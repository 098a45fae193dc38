package route

import (
	"cmp"
	"fmt"
	"maps"
	"net"
	"slices"
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
	// ambiguous is true if two routes have the same host and prefix or two workspaces the same key, so that their order counts.
	ambiguous bool
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
	t.addServices(p.Services)
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
		slices.SortStableFunc(routes, compareRoutes)
		for i := 1; i < len(routes); i++ {
			t.ambiguous = t.ambiguous || routes[i].Prefix == routes[i-1].Prefix
		}
	}
	for _, w := range p.Workspaces {
		for _, key := range w.Keys {
			t.ambiguous = t.ambiguous || t.byKey[key] != nil
			t.byKey[key] = w
		}
	}
	return t, nil
}

func (t *Table) addServices(services []*Service) {
	for _, s := range services {
		t.Services[s.Name] = s
	}
}

// compareRoutes orders the routes of a host: longer prefixes first. The order of prefixes of the same length doesn't matter for requests.
func compareRoutes(a, b *Route) int {
	if c := cmp.Compare(len(b.Prefix), len(a.Prefix)); c != 0 {
		return c
	}
	return strings.Compare(a.Prefix, b.Prefix)
}

// With returns a table with the version, limits, services and stores of head, and with this one's routes and workspaces but for those that were
// removed or added; removed ones are the same values as here. It takes less time than building a table, and returns nil if it can't tell the result
// without that. The error is ErrInvalid.
func (t *Table) With(head, removed, added *TableParts) (*Table, error) {
	if t.ambiguous {
		return nil, nil
	}
	n := &Table{
		Version: head.Version, Limits: head.Limits, Services: make(map[string]*Service, len(head.Services)), Stores: head.Stores,
		byHost: t.byHost, byKey: t.byKey, workspaces: t.workspaces + len(added.Workspaces) - len(removed.Workspaces),
		longestStream: t.longestStream,
	}
	n.addServices(head.Services)
	if len(removed.Routes)+len(added.Routes) > 0 {
		n.byHost = maps.Clone(t.byHost)
	}
	own := make(map[string]bool)
	for _, r := range removed.Routes {
		if !n.removeRoute(r, own) {
			return nil, nil
		}
		if r.Kind == Stream && r.Timeout == n.longestStream {
			n.longestStream = n.findLongestStream()
		}
	}
	for _, r := range added.Routes {
		if err := validateRoute(r); err != nil {
			return nil, fmt.Errorf("configuration %d: %w", head.Version, err)
		}
		if !n.addRoute(r, own) {
			return nil, nil
		}
	}
	return n.withWorkspaces(removed.Workspaces, added.Workspaces), nil
}

func (t *Table) findLongestStream() time.Duration {
	var longest time.Duration
	for _, routes := range t.byHost {
		for _, r := range routes {
			if r.Kind == Stream {
				longest = max(longest, r.Timeout)
			}
		}
	}
	return longest
}

// ownRoutes returns a host's routes for a change; own holds the hosts whose routes aren't shared with another table.
func (t *Table) ownRoutes(host string, own map[string]bool) []*Route {
	if !own[host] {
		own[host] = true
		t.byHost[host] = slices.Clone(t.byHost[host])
	}
	return t.byHost[host]
}

// removeRoute removes a route, and reports whether it was there.
func (t *Table) removeRoute(r *Route, own map[string]bool) bool {
	host := normalizeHost(r.Host)
	routes := t.ownRoutes(host, own)
	i, found := slices.BinarySearchFunc(routes, r, compareRoutes)
	if !found || routes[i] != r {
		return false
	}
	if t.byHost[host] = slices.Delete(routes, i, i+1); len(t.byHost[host]) == 0 {
		delete(t.byHost, host)
	}
	return true
}

// addRoute adds a route, and reports false if there is another one with its prefix.
func (t *Table) addRoute(r *Route, own map[string]bool) bool {
	host := normalizeHost(r.Host)
	routes := t.ownRoutes(host, own)
	i, found := slices.BinarySearchFunc(routes, r, compareRoutes)
	if found {
		return false
	}
	t.byHost[host] = slices.Insert(routes, i, r)
	if r.Kind == Stream {
		t.longestStream = max(t.longestStream, r.Timeout)
	}
	return true
}

// withWorkspaces changes the workspaces of a table that isn't in use yet, and returns it, or nil if two of them have the same key.
func (t *Table) withWorkspaces(removed, added []*Workspace) *Table {
	if len(removed)+len(added) == 0 {
		return t
	}
	t.byKey = maps.Clone(t.byKey)
	for _, w := range removed {
		for _, key := range w.Keys {
			delete(t.byKey, key)
		}
	}
	for _, w := range added {
		for _, key := range w.Keys {
			if t.byKey[key] != nil {
				return nil
			}
			t.byKey[key] = w
		}
	}
	return t
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
