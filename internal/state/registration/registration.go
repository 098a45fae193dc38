package registration

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Registration is the newest registration of an endpoint.
type Registration struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Leaving endpoints finish the requests that they run and get no new ones.
	Leaving bool
	// Software is the version of the endpoint's software, SoftwareUnnamed if its registration names none, or empty if it comes from an instance of
	// an earlier release. It isn't part of the digests, since it changes only with a restart, and earlier releases don't know it.
	Software string `msgpack:",omitempty"`
	// Versions maps each model that the endpoint runs to its weight version.
	Versions map[string]int
	// StartMilli is the time of the endpoint's start, in Unix milliseconds. A new value means that the endpoint has lost all earlier state.
	StartMilli int64 `msgpack:"Born"`
	// WarmupTime is the time, from when the registration was written, until the endpoint is expected to reach its full speed, or WarmupUnknown.
	WarmupTime time.Duration `msgpack:"Cold"`
	// Warmups counts how many times the endpoint has become cold while it was cold, as seen by the instance that read the registration.
	Warmups int `msgpack:",omitempty"`
}

// SoftwareUnnamed is the Software of a registration that names none. All of these count as one version.
const SoftwareUnnamed = "unnamed"

// WarmupUnknown is the WarmupTime of a registration that doesn't name it.
const WarmupUnknown time.Duration = -1

// Incarnation identifies one run of an endpoint.
type Incarnation struct {
	ID         string
	StartMilli int64
}

// Incarnation returns the endpoint's current run.
func (r *Registration) Incarnation() Incarnation {
	return Incarnation{ID: r.ID, StartMilli: r.StartMilli}
}

// Digest returns a digest of the fields that matter for placement. Of WarmupTime it is only whether the endpoint is cold, since the time
// changes with each heartbeat.
func (r *Registration) Digest() uint64 {
	h := r.hash()
	if r.WarmupTime > 0 {
		writeInt(h, int64(r.Warmups)+1)
	}
	return h.Sum64()
}

// BaseDigest returns the digest of all fields but those that tell whether the endpoint is cold.
func (r *Registration) BaseDigest() uint64 { return r.hash().Sum64() }

func (r *Registration) hash() *xxhash.Digest {
	h := xxhash.New()
	writeString := func(s string) {
		writeInt(h, int64(len(s)))
		// Write on a hash never returns an error.
		_, _ = h.WriteString(s)
	}
	writeString(r.ID)
	writeString(r.Service)
	writeString(r.Address)
	writeString(r.Zone)
	writeInt(h, int64(r.Slots))
	writeInt(h, r.StartMilli)
	if r.Leaving {
		writeInt(h, 1)
	}
	versions := uint64(0)
	for model, v := range r.Versions {
		// The hashes are summed, so that the result doesn't depend on the map's order.
		versions += xxhash.Sum64String(model) * uint64(v)
	}
	writeInt(h, int64(versions))
	return h
}

func writeInt(h *xxhash.Digest, n int64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:])
}
