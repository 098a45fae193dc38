// Package entry implements an entry instance: it serves prompts, service calls and operators, runs the background tasks of the
// instance, and exchanges messages with its peers.
package entry
