// Package api defines the wire types and error codes of the interfaces for callers and operators.
package api
