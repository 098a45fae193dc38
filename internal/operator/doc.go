// Package operator implements the operators' command line, gypsumctl, on top of the administration API.
package operator
