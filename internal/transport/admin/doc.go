// Package admin implements the HTTP API for operators.
package admin
