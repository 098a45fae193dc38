// Package storage implements the client of cache stores.
package storage
