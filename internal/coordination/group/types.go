package group

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Class divides requests by expected service time.
type Class uint8

// Request classes.
const (
	ClassShort Class = iota
	ClassLong
	classCount
)

// String returns the class's label in metrics and reports.
func (c Class) String() string {
	if c == ClassLong {
		return "long"
	}
	return "short"
}

// Key identifies one group, which is a subset of a pool's endpoints in one availability zone.
type Key struct {
	Pool  string
	Zone  string
	Index int
}

// String returns the group's name, which is the subject for choosing its owner by rendezvous hashing.
func (k Key) String() string { return fmt.Sprintf("%s@%s#%d", k.Pool, k.Zone, k.Index) }

// Member describes one endpoint of a group to the group's owner.
type Member struct {
	Name  string
	Slots int
	// Leaving is true if the endpoint accepts no new work.
	Leaving bool
	// Version is the weight version that the endpoint is running, or empty if unknown.
	Version string
	// RunID identifies the run of the endpoint's process, or is empty if unknown.
	RunID string
}

// GrantRequest is a request to a group's owner for the grant of a slot on an endpoint.
type GrantRequest struct {
	// ID is unique among the grant requests of Entry.
	ID    uint64
	Entry string
	// Connection is the number of the connection over which the request came, or zero for a request of this process.
	Connection uint64 `msgpack:"-"`
	Workspace  string
	Share      int
	Class      Class
	// Cost is the expected service time on a healthy endpoint.
	Cost time.Duration
	// First is the expected time to the first token on a healthy endpoint, or zero if unknown.
	First    time.Duration
	Deadline time.Time
	// Context identifies the conversation. The endpoint that served it last may still have it cached.
	Context string
	// Version, if set, restricts the grant to endpoints with that weight version, as a resumed response requires.
	Version string
	// Avoid lists the endpoints on which the request has already failed.
	Avoid []string
	// Suspect is true if an endpoint crashed while it served this request.
	Suspect bool
}

// GrantID identifies a grant request, and the grant that answers it, across instances.
type GrantID struct {
	Entry string
	ID    uint64
}

// ActionKind is the kind of an owner's response.
type ActionKind uint8

// Kinds of responses.
const (
	ActionGrant ActionKind = iota + 1
	ActionRefuse
)

// Action is an owner's response to one grant request.
type Action struct {
	Kind     ActionKind
	ID       GrantID
	Endpoint string
	Version  string
	RunID    string
	// Warm is true if the endpoint was the last one to serve the conversation.
	Warm bool
	// RetryAfter is the earliest time at which a refused caller should retry.
	RetryAfter time.Time
}

// Errors returned for grant requests. Match them with errors.Is.
var (
	// ErrRefused is returned when a group can't serve the request by its deadline.
	ErrRefused = errors.New("no endpoint free before the deadline")
	// ErrNoOwner is returned when a group has no reachable owner.
	ErrNoOwner = errors.New("no group owner reachable")
	// ErrNoEndpoint is returned when no endpoint of a pool accepts new work.
	ErrNoEndpoint = errors.New("no endpoint accepts new work")
)
