package storage

import "gypsumvale/internal/state/piece"

// Event says that a store has committed or freed a block.
type Event struct {
	Seq        uint64     `json:"seq"`
	Name       piece.Name `json:"name"`
	Generation uint64     `json:"generation"`
	Digest     string     `json:"digest,omitempty"`
	Bytes      int64      `json:"bytes,omitempty"`
	Freed      bool       `json:"freed,omitempty"`
}

// Events is a page of a store's events; Next is where to go on.
type Events struct {
	Events []Event `json:"events"`
	Next   uint64  `json:"next"`
	// Reset says that events before the first one are lost, so that the reader must start from a listing.
	Reset bool `json:"reset,omitempty"`
	// RunID changes when the store starts anew.
	RunID      string `json:"life"`
	UsedBytes  int64  `json:"used_bytes"`
	LimitBytes int64  `json:"limit_bytes"`
}

// Headers of blocks.
const (
	HeaderGeneration = "Block-Generation"
	HeaderDigest     = "Block-Digest"
	HeaderBytes      = "Block-Bytes"
)
