// Package endpoint implements the client of model engines and plain services.
package endpoint
