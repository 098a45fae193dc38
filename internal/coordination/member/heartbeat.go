package member

import "github.com/cespare/xxhash/v2"

// Info describes one instance, as reported by the instance itself and relayed by others.
type Info struct {
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Zone     string
	Address  string
	// Incarnation changes with every start of the instance's process.
	Incarnation string
	// Counter is the incarnation's heartbeat counter, which increases with every heartbeat.
	Counter uint64
	Status
	// StartMilli is the start time of the incarnation in Unix milliseconds. Of two incarnations, the later one is in force.
	StartMilli int64
}

// Count is the compact form of an Info: the highest known heartbeat counter of an incarnation, and the status reported with it.
type Count struct {
	_msgpack struct{} `msgpack:",as_array"`
	// ID is the short form of the incarnation.
	ID      uint32
	Counter uint64
	Status
}

// Status is the part of an instance's description that may change from one heartbeat to the next.
type Status struct {
	// Revision is the instance's configuration revision.
	Revision uint64
	// Leaving is true if the instance takes no more duties.
	Leaving bool
	// PlatformDown is true if the instance can't reach the platform.
	PlatformDown bool
}

// Heartbeat carries the sender's Info, the Counts of many members and the Infos of a few.
//
// A Count is a tenth of the size of an Info, so in a large fleet Counts are disseminated often and Infos rarely.
type Heartbeat struct {
	From    Info
	Counts  []Count
	Members []Info
}

// shortID returns a hash of the incarnation. If the hashes of two members collide, the heartbeats of one keep the other live for a while,
// which only delays the detection of its failure.
func (info *Info) shortID() uint32 { return uint32(xxhash.Sum64String(info.Incarnation)) }

// Target is an instance to which a heartbeat is sent.
type Target struct {
	Name    string
	Address string
}
