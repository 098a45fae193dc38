// Package keyvalue implements the client of the platform's key-value service.
package keyvalue
