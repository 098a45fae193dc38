// Package clock provides a monotonic clock that keeps running while the instance is suspended.
package clock
