// Package layout generates a complete installation on stand-ins: the address, settings and command line of every process, and the
// ticket with the initial configuration.
package layout
