package engine

import "gypsumvale/internal/state/piece"

// Block is one piece of KV cache in a store, as a reader must find it.
type Block struct {
	Name       piece.Name `json:"name"`
	Generation uint64     `json:"generation"`
	Digest     string     `json:"digest"`
	Bytes      int64      `json:"bytes"`
}

// Request asks an engine for one attempt at an answer.
type Request struct {
	Attempt string `json:"attempt"`
	// Stream names the answer across attempts, so that an engine that still has it resumes it.
	Stream    string       `json:"stream"`
	Model     string       `json:"model"`
	Version   string       `json:"version"`
	Prompt    string       `json:"prompt"`
	MaxTokens int          `json:"max_tokens"`
	Priority  int          `json:"priority"`
	Pieces    []piece.Name `json:"pieces"`
	// From is the number of the first token that is wanted.
	From int `json:"from"`
	// Store and Blocks say where a prefix of the pieces can be fetched.
	Store  string  `json:"store,omitempty"`
	Blocks []Block `json:"blocks,omitempty"`
}

// Chunk is one line of an engine's answer.
type Chunk struct {
	Attempt string `json:"attempt"`
	Version string `json:"version"`
	Seq     int    `json:"seq"`
	Text    string `json:"text,omitempty"`
	End     bool   `json:"end,omitempty"`
	// Count and Digest cover every token of the answer and come with the end.
	Count      int    `json:"count,omitempty"`
	Digest     string `json:"digest,omitempty"`
	Reused     int    `json:"reused,omitempty"`
	Fetched    int    `json:"fetched,omitempty"`
	Recomputed int    `json:"recomputed,omitempty"`
}

// Load is an engine's report of its load, which may be old.
type Load struct {
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Version string `json:"version"`
	// Loading says that an order is being carried out.
	Loading bool `json:"loading"`
	// RunID names one run of the engine's process.
	RunID string `json:"life"`
	Fence uint64 `json:"fence"`
}

// CacheEvent says that an engine keeps or has evicted a piece.
type CacheEvent struct {
	Seq     uint64     `json:"seq"`
	Name    piece.Name `json:"name"`
	Evicted bool       `json:"evicted,omitempty"`
}

// Order tells an engine to load a weight version.
type Order struct {
	Fence   uint64 `json:"fence"`
	Version string `json:"version"`
}

// Export tells an engine to write pieces to a store.
type Export struct {
	Store  string       `json:"store"`
	Pieces []piece.Name `json:"pieces"`
}
