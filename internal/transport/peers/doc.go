// Package peers sends messages between entry instances over authenticated TCP connections.
package peers
