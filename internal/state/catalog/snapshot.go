package catalog

import (
	"encoding/hex"
	"fmt"
	"sort"

	"github.com/zeebo/blake3"
)

// Revision counts the accepted tickets. A higher revision is newer.
type Revision uint64

// Snapshot is one revision of the accepted configuration. It is immutable once built.
type Snapshot struct {
	Revision    Revision
	Objects     map[ID]*Object
	Workspaces  map[string]*Workspace
	Deployments map[string]*Deployment
	Services    map[string]*Service
	Endpoints   map[string]*Endpoint
	Stores      map[string]*Store

	workspaceByKeyDigest map[string]*Workspace
	pools                map[string][]*Endpoint
}

// NewSnapshot builds a snapshot with its indexes. The error is ErrInvalid if an object breaks a rule.
func NewSnapshot(revision Revision, objects []*Object) (*Snapshot, error) {
	s := &Snapshot{
		Revision:             revision,
		Objects:              make(map[ID]*Object, len(objects)),
		Workspaces:           make(map[string]*Workspace),
		Deployments:          make(map[string]*Deployment),
		Services:             make(map[string]*Service),
		Endpoints:            make(map[string]*Endpoint),
		Stores:               make(map[string]*Store),
		workspaceByKeyDigest: make(map[string]*Workspace),
		pools:                make(map[string][]*Endpoint),
	}
	for _, o := range objects {
		if err := s.add(o); err != nil {
			return nil, fmt.Errorf("build snapshot %d: %w", revision, err)
		}
	}
	for _, pool := range s.pools {
		sort.Slice(pool, func(i, j int) bool { return pool[i].Name < pool[j].Name })
	}
	return s, nil
}

func (s *Snapshot) add(o *Object) error {
	s.Objects[o.ID] = o
	if o.Deleted {
		return nil
	}
	state, err := o.decode()
	if err != nil {
		return fmt.Errorf("decode object: %w", err)
	}
	switch v := state.(type) {
	case *Workspace:
		s.Workspaces[v.Name] = v
		for _, digest := range v.KeyDigests {
			s.workspaceByKeyDigest[digest] = v
		}
	case *Deployment:
		s.Deployments[v.Name] = v
	case *Service:
		s.Services[v.Name] = v
	case *Endpoint:
		s.Endpoints[v.Name] = v
		s.pools[v.Pool()] = append(s.pools[v.Pool()], v)
	case *Store:
		s.Stores[v.Name] = v
	}
	return nil
}

// WorkspaceByKey returns the workspace of a caller's bearer key, or nil.
func (s *Snapshot) WorkspaceByKey(key string) *Workspace {
	return s.workspaceByKeyDigest[KeyDigest(key)]
}

// Pool returns the endpoints of a deployment or service in a zone, sorted by name. The caller may modify the slice.
func (s *Snapshot) Pool(pool, zone string) []*Endpoint {
	var members []*Endpoint
	for _, e := range s.pools[pool] {
		if e.Zone == zone {
			members = append(members, e)
		}
	}
	return members
}

// PoolZones returns the sorted zones that have endpoints of a pool.
func (s *Snapshot) PoolZones(pool string) []string {
	seen := make(map[string]bool)
	var zones []string
	for _, e := range s.pools[pool] {
		if !seen[e.Zone] {
			seen[e.Zone] = true
			zones = append(zones, e.Zone)
		}
	}
	sort.Strings(zones)
	return zones
}

// Allows reports whether a workspace may use a deployment.
func (w *Workspace) Allows(deployment string) bool { return contains(w.Deployments, deployment) }

// AllowsService reports whether a workspace may use a service.
func (w *Workspace) AllowsService(service string) bool { return contains(w.Services, service) }

// Repeatable reports whether a call with this HTTP method may be retried.
func (s *Service) Repeatable(method string) bool { return contains(s.RepeatableMethods, method) }

// KeyDigest returns the BLAKE3 digest of a key or token in hexadecimal digits, which is stored in its place.
func KeyDigest(key string) string {
	sum := blake3.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func contains(list []string, want string) bool {
	for _, item := range list {
		if item == want {
			return true
		}
	}
	return false
}
