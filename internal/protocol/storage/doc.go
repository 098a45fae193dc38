// Package storage defines the wire types of store instances.
package storage
