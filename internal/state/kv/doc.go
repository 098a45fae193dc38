// Package kv defines the values and errors of the platform's key-value service and metadata store.
package kv
