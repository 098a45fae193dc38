package origin

import (
	"maps"
	"time"

	"gypsumvale/internal/state/clock"
)

// Source is how an instance knows at which software version a stream began.
type Source string

// Sources, as they are logged.
const (
	// Sent means that this instance has sent the stream's first event to its caller, or passes its next events on.
	Sent Source = "sent"
	// Begun means that this instance has placed the request and heard of its first event, or was told of it as a request that runs.
	Begun Source = "begun"
	// Told means that the entry that sent the stream, or the instance that placed it, has told this one.
	Told Source = "told"
	// Registrar means that another instance has answered this one's query.
	Registrar Source = "registrar"
	// Recorded means that the stream is in the journal in the store.
	Recorded Source = "journal"
	// Sole means that no other version can have begun a stream, as far as the list of endpoints and the record of versions tell.
	Sole Source = "sole"
	// Cache means that only engines of one version have read the prompt's last part.
	Cache Source = "cache"
)

// Origin is where a stream began.
type Origin struct {
	Service, Software string
	// Source is how that is known here, and At is since when.
	Source Source
	At     clock.Instant
	// Until is when the stream can't be taken up any more, since its caller's deadline has passed.
	Until clock.Instant
	// Own is true if this instance has sent the stream to its caller.
	Own bool
	// Placed is true if the request was placed there and isn't known to have begun. It may have been placed elsewhere since.
	Placed bool
}

// merge returns what is known of a stream from two records: where it began, if either knows that, or where it was placed, if it was only placed at
// one version. An earlier record of where it began stays as it is.
func (o Origin) merge(later Origin) Origin {
	merged := o
	switch {
	case o.Placed && !later.Placed:
		merged = later
	case o.Placed && (o.Service != later.Service || o.Software != later.Software):
		merged.Software = severalVersions
	}
	merged.Until, merged.Own = max(o.Until, later.Until), o.Own || later.Own
	return merged
}

// Known reports whether the origin names a version.
func (o Origin) Known() bool { return o.Software != severalVersions }

// Table holds where streams began. A stream is identified by a hash of the attempt that brought its first event.
type Table struct{ streams map[uint64]Origin }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{streams: make(map[uint64]Origin)} }

// Record records where a stream began or was placed. Where it began stays as it was recorded first, except that its time may grow.
func (t *Table) Record(stream uint64, o Origin) {
	if held, ok := t.streams[stream]; ok {
		o = held.merge(o)
	}
	t.streams[stream] = o
}

// Lookup returns where a stream began, or false if that isn't known.
func (t *Table) Lookup(stream uint64) (Origin, bool) {
	o, ok := t.streams[stream]
	return o, ok
}

// All returns all streams that are known.
func (t *Table) All() map[uint64]Origin { return maps.Clone(t.streams) }

// Own returns the streams that this instance has sent to their callers.
func (t *Table) Own() map[uint64]Origin {
	own := make(map[uint64]Origin)
	for stream, o := range t.streams {
		if o.Own {
			own[stream] = o
		}
	}
	return own
}

// Sweep drops the streams that can't be taken up any more.
func (t *Table) Sweep(now clock.Instant) {
	for stream, o := range t.streams {
		if o.Until.Before(now) {
			delete(t.streams, stream)
		}
	}
}

// readersPeriod is how long Readers remembers a part at least.
const readersPeriod = 30 * time.Second

// Readers tracks which software versions have read parts of prompts, as the engines' caches report them. The last part of a prompt belongs to one
// request, so that the only version that has read it is the one that began its stream. It is what can be learned again from the engines after
// all instances have lost their memory.
//
//	the last part was read by                 the stream
//	engines of one version                    began there
//	engines of several versions               may have begun at any of them
//	no engine that is followed                may have begun at one that is gone
type Readers struct {
	// current and previous hold the version by part, or severalVersions; previous is dropped and current replaces it once per readersPeriod.
	current, previous map[uint64]string
	rotatedAt         clock.Instant
}

// severalVersions stands for several versions, and is the name of none.
const severalVersions = "\x00"

// NewReaders returns an empty tracker.
func NewReaders() *Readers {
	return &Readers{current: make(map[uint64]string), previous: make(map[uint64]string)}
}

// Record records that an engine of a software version has read a part, which is identified by a hash.
func (r *Readers) Record(now clock.Instant, part uint64, software string) {
	if now.Sub(r.rotatedAt) >= readersPeriod {
		r.previous, r.current, r.rotatedAt = r.current, make(map[uint64]string), now
	}
	if held := r.version(part); held != "" && held != software {
		software = severalVersions
	}
	r.current[part] = software
}

// Lookup returns the only software version that has read a part, or false if there is none or several.
func (r *Readers) Lookup(part uint64) (string, bool) {
	version := r.version(part)
	return version, version != "" && version != severalVersions
}

// Contradicts reports whether another software version than a given one has read a part.
func (r *Readers) Contradicts(part uint64, software string) bool {
	version := r.version(part)
	return version != "" && version != software
}

func (r *Readers) version(part uint64) string {
	if version, ok := r.current[part]; ok {
		return version
	}
	return r.previous[part]
}
