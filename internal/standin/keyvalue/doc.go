// Package keyvalue simulates the platform's key-value service, with rate limits, outages and lost replies.
package keyvalue
