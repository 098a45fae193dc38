// Package hosted simulates a hosted platform for tests: a metadata store, and the endpoints that register with it.
package hosted
