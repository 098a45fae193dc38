// Package listeners starts and stops a process's HTTP servers together.
package listeners
