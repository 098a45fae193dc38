// Package wire holds the HTTP helpers that all simulated services share.
package wire
