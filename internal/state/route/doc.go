// Package route holds the operator's configuration of a hosted system as immutable tables of routes, services, stores and workspaces.
package route
