package admin

import (
	"gypsumvale/internal/coordination/ticket"
	"gypsumvale/internal/state/catalog"
)

// TicketAnswer is the end of an accepted ticket.
type TicketAnswer struct {
	Number   uint64           `json:"number"`
	Revision catalog.Revision `json:"revision"`
	Result   ticket.Result    `json:"result"`
}

// Instance is one entry instance as the asked one sees it.
type Instance struct {
	Name        string           `json:"name"`
	Zone        string           `json:"zone"`
	Address     string           `json:"address"`
	Incarnation string           `json:"incarnation"`
	Revision    catalog.Revision `json:"revision"`
	Leaving     bool             `json:"leaving"`
}

// Endpoint is one endpoint as the asked instance sees it.
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

// Store is one store.
type Store struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Owner   string `json:"owner"`
}

// State is what the asked instance is and has.
type State struct {
	Name        string           `json:"name"`
	Zone        string           `json:"zone"`
	Incarnation string           `json:"incarnation"`
	Ready       bool             `json:"ready"`
	Stopping    bool             `json:"stopping"`
	Revision    catalog.Revision `json:"revision"`
	// PossiblyBehind says that the platform can't be asked, so that a newer configuration may exist.
	PossiblyBehind bool  `json:"possibly_behind"`
	PlatformDown   bool  `json:"platform_down"`
	InFlight       int64 `json:"in_flight"`
	Members        int   `json:"members"`
	Objects        int   `json:"objects"`
	// ControlBytesIn and ControlBytesOut count the peer protocol's traffic since the start.
	ControlBytesIn  int64 `json:"control_bytes_in"`
	ControlBytesOut int64 `json:"control_bytes_out"`
	PlatformCalls   int64 `json:"platform_calls"`
}
