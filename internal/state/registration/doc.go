// Package registration defines the registrations that endpoints write to the platform's store.
package registration
