package group

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Class separates work by its expected length.
type Class uint8

// Classes of work.
const (
	ClassShort Class = iota
	ClassLong
	classCount
)

// String returns the label used in metrics and reports.
func (c Class) String() string {
	if c == ClassLong {
		return "long"
	}
	return "short"
}

// Key names one group: some endpoints of a pool in one zone.
type Key struct {
	Pool  string
	Zone  string
	Index int
}

// String returns the group's name, as ranked among entries.
func (k Key) String() string { return fmt.Sprintf("%s@%s#%d", k.Pool, k.Zone, k.Index) }

// Member is one endpoint of a group as its owner is told of it.
type Member struct {
	Name  string
	Slots int
	// Leaving says that the endpoint takes no new work.
	Leaving bool
	// Version is the weight version that the endpoint runs, or empty if unknown.
	Version string
}

// GrantRequest is one request's wish for an endpoint.
type GrantRequest struct {
	// ID is unique for the asking entry.
	ID        uint64
	Entry     string
	Workspace string
	Share     int
	Class     Class
	// Cost is the service time expected on a healthy endpoint.
	Cost time.Duration
	// First is the time to the first token expected there; zero isn't known.
	First    time.Duration
	Deadline time.Time
	// Context names the conversation, whose last endpoint may still hold its cache.
	Context string
	// Version restricts the ask to endpoints with a weight version, for a resumed answer.
	Version string
	// Avoid names endpoints on which the request has failed.
	Avoid []string
	// Suspect says that the request was on an endpoint that crashed.
	Suspect bool
}

// GrantID names an ask across entries.
type GrantID struct {
	Entry string
	ID    uint64
}

// ActionKind is the type of an owner's answer.
type ActionKind uint8

// Kinds of answers.
const (
	ActionGrant ActionKind = iota + 1
	ActionRefuse
)

// Action is an owner's answer to one ask.
type Action struct {
	Kind     ActionKind
	ID       GrantID
	Endpoint string
	Version  string
	// Warm says that the endpoint served the conversation last.
	Warm bool
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Time
}

// Errors of grants, matched with errors.Is.
var (
	// ErrRefused says that the group can't serve the request by its deadline.
	ErrRefused = errors.New("no endpoint free before the deadline")
	// ErrNoOwner says that no owner of a group could be reached.
	ErrNoOwner = errors.New("no group owner in reach")
	// ErrNoEndpoint says that a pool has no endpoint that takes new work.
	ErrNoEndpoint = errors.New("no endpoint takes new work")
)
