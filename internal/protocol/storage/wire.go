package storage

import "gypsumvale/internal/state/piece"

// Event reports that a store has committed or freed a block.
type Event struct {
	Seq        uint64     `json:"seq"`
	Name       piece.Name `json:"name"`
	Generation uint64     `json:"generation"`
	Digest     string     `json:"digest,omitempty"`
	Bytes      int64      `json:"bytes,omitempty"`
	Freed      bool       `json:"freed,omitempty"`
}

// Events is a page of a store's events.
type Events struct {
	Events []Event `json:"events"`
	// Next is the position from which the next page is read.
	Next uint64 `json:"next"`
	// Reset is true if the store doesn't know the reader's run and position, for example after a restart. The page then starts at the
	// store's first event, and the reader must discard its state.
	Reset bool `json:"reset,omitempty"`
	// RunID identifies one run of the store and changes when it restarts.
	RunID      string `json:"life"`
	UsedBytes  int64  `json:"used_bytes"`
	LimitBytes int64  `json:"limit_bytes"`
}

// Headers of requests and answers for blocks.
const (
	HeaderGeneration = "Block-Generation"
	HeaderDigest     = "Block-Digest"
	HeaderBytes      = "Block-Bytes"
)
