// Package admin implements the administration API, which operators use over HTTP.
package admin
