// Package throttle decides how many requests an endpoint gets that has named the rate which it takes from all entries together.
package throttle
