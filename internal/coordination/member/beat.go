package member

import "github.com/cespare/xxhash/v2"

// Info is what one instance says of itself, and what others repeat.
type Info struct {
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Zone     string
	Address  string
	// Incarnation changes with every start of the instance's process.
	Incarnation string
	// Counter rises with every heartbeat of one incarnation.
	Counter uint64
	Status
	// StartMilli is the start of the incarnation in Unix milliseconds; of two incarnations the later one counts.
	StartMilli int64
}

// Count is the last heartbeat that an incarnation is known to have counted, and what it then said, in a few bytes.
type Count struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       uint32
	Counter  uint64
	Status
}

// Status is what changes of an instance between heartbeats.
type Status struct {
	Revision     uint64
	Leaving      bool
	PlatformDown bool
}

// Heartbeat is a heartbeat: the sender, the counts of many members, and all that is known of a few.
//
// A count is a tenth of the size of an Info, so that counts can go round a large fleet often and the rest seldom.
type Heartbeat struct {
	From    Info
	Counts  []Count
	Members []Info
}

// id shortens an incarnation; two members with one id would keep each other live for a while, which costs time only.
func (i *Info) id() uint32 { return uint32(xxhash.Sum64String(i.Incarnation)) }

// Target is an instance that a heartbeat goes to.
type Target struct {
	Name    string
	Address string
}
