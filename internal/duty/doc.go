// Package duty provides periodic execution and cancellable sleeps for background goroutines.
package duty
