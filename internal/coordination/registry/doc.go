// Package registry tracks the registered endpoints and decides which of them may be used.
package registry
