// Package link tracks the blocks of a cache store, schedules transfers on the link to it and selects blocks for eviction.
package link
