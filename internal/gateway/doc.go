// Package gateway serves callers on a hosted platform: it reads routes, endpoints and weight versions from the platform's metadata store.
package gateway
