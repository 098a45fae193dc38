// Package retry decides what to do after an attempt at an endpoint.
package retry
