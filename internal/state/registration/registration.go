package registration

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Registration is an endpoint's newest entry.
type Registration struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Leaving endpoints finish what they run and get nothing new.
	Leaving bool
	// Versions holds the weight version of each model that the endpoint runs.
	Versions map[string]int
	// StartMilli is the Unix millisecond of the endpoint's start; a new one says that it knows nothing of before.
	StartMilli int64
	// WarmupTime is when the endpoint is expected to reach its full speed, as time that remained when the entry was written.
	WarmupTime time.Duration
}

// Incarnation names one run of an endpoint.
type Incarnation struct {
	ID         string
	StartMilli int64
}

// Incarnation returns the name of this run.
func (r *Registration) Incarnation() Incarnation {
	return Incarnation{ID: r.ID, StartMilli: r.StartMilli}
}

// Digest names the registration by all that matters for its use.
func (r *Registration) Digest() uint64 {
	var h xxhash.Digest
	h.Reset()
	text := func(s string) {
		number(&h, int64(len(s)))
		// A digest never returns an error.
		_, _ = h.WriteString(s)
	}
	text(r.ID)
	text(r.Service)
	text(r.Address)
	text(r.Zone)
	number(&h, int64(r.Slots))
	number(&h, r.StartMilli)
	if r.Leaving {
		number(&h, 1)
	}
	versions := uint64(0)
	for model, v := range r.Versions {
		// A sum doesn't depend on the order of a map.
		versions += xxhash.Sum64String(model) * uint64(v)
	}
	number(&h, int64(versions))
	return h.Sum64()
}

func number(h *xxhash.Digest, n int64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:])
}
