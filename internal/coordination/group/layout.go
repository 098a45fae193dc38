package group

import (
	"gypsumvale/internal/state/catalog"
)

// MaxSize is the maximum number of endpoints in a group.
const MaxSize = 8

// Count returns the number of groups into which the given number of endpoints is divided.
func Count(endpoints int) int { return (endpoints + MaxSize - 1) / MaxSize }

// Keys returns the keys of a pool's groups in a zone.
func Keys(s *catalog.Snapshot, pool, zone string) []Key {
	n := Count(len(s.Pool(pool, zone)))
	keys := make([]Key, n)
	for i := range keys {
		keys[i] = Key{Pool: pool, Zone: zone, Index: i}
	}
	return keys
}

// Endpoints returns the endpoints of one group, sorted by name. Endpoints that are adjacent in the pool's order belong to different groups.
func Endpoints(s *catalog.Snapshot, key Key) []*catalog.Endpoint {
	pool := s.Pool(key.Pool, key.Zone)
	n := Count(len(pool))
	var members []*catalog.Endpoint
	for i, e := range pool {
		if i%max(n, 1) == key.Index {
			members = append(members, e)
		}
	}
	return members
}

// KeyOf returns the key of an endpoint's group. ok is false if the endpoint isn't in the configuration.
func KeyOf(s *catalog.Snapshot, endpoint *catalog.Endpoint) (key Key, ok bool) {
	pool := s.Pool(endpoint.Pool(), endpoint.Zone)
	for i, e := range pool {
		if e.Name == endpoint.Name {
			return Key{Pool: endpoint.Pool(), Zone: endpoint.Zone, Index: i % Count(len(pool))}, true
		}
	}
	return Key{}, false
}
