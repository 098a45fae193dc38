// Package freshness tracks whether the configuration held by this instance is confirmed to be current.
package freshness
