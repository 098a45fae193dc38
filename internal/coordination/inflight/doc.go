// Package inflight tracks the placed requests of this instance while they run, and which instances count them as load.
package inflight
