// Package caller implements the HTTP API for the programs that send prompts and service calls.
package caller
