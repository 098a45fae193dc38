package admin

import (
	"gypsumvale/internal/coordination/ticket"
	"gypsumvale/internal/state/catalog"
)

// TicketAnswer is the response to an accepted ticket.
type TicketAnswer struct {
	Number   uint64           `json:"number"`
	Revision catalog.Revision `json:"revision"`
	Result   ticket.Result    `json:"result"`
}

// Instance describes an entry instance as known to the instance that answers.
type Instance struct {
	Name        string           `json:"name"`
	Zone        string           `json:"zone"`
	Address     string           `json:"address"`
	Incarnation string           `json:"incarnation"`
	Revision    catalog.Revision `json:"revision"`
	Leaving     bool             `json:"leaving"`
}

// Endpoint describes an endpoint as known to the instance that answers.
type Endpoint struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Pool    string `json:"pool"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Version string `json:"version"`
	Leaving bool   `json:"leaving"`
	Usable  bool   `json:"usable"`
}

// Store describes a cache store and the instance that grants its link.
type Store struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Owner   string `json:"owner"`
}

// State describes the instance that answers.
type State struct {
	Name        string           `json:"name"`
	Zone        string           `json:"zone"`
	Incarnation string           `json:"incarnation"`
	Ready       bool             `json:"ready"`
	Stopping    bool             `json:"stopping"`
	Revision    catalog.Revision `json:"revision"`
	// PossiblyBehind is true while the platform is unreachable, so that a newer configuration may exist.
	PossiblyBehind bool  `json:"possibly_behind"`
	PlatformDown   bool  `json:"platform_down"`
	InFlight       int64 `json:"in_flight"`
	Members        int   `json:"members"`
	Objects        int   `json:"objects"`
	// ControlBytesIn and ControlBytesOut count the bytes of the peer protocol since the process started.
	ControlBytesIn  int64 `json:"control_bytes_in"`
	ControlBytesOut int64 `json:"control_bytes_out"`
	PlatformCalls   int64 `json:"platform_calls"`
}
