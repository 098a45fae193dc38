// Package proxy provides a TCP proxy that delays, stalls and resets connections.
package proxy
