// Package recall estimates how long an endpoint takes to serve a request and to recompute its context.
package recall
