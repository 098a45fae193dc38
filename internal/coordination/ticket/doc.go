// Package ticket applies numbered changes to the configuration. Each change is atomic, as it takes effect with one compare-and-swap of
// the head.
package ticket
