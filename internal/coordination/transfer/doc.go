// Package transfer decides in which order a connection sends its frames and how it divides large ones into slices, and puts the slices that
// arrive together again.
package transfer
