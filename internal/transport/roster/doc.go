// Package roster implements the client of the platform's instance list.
package roster
