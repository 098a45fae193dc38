// Package piece computes the names of the pieces of KV cache into which a context is divided.
package piece
