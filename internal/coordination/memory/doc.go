// Package memory decides how a process divides its memory and its connections among clients: what a request may hold, and which request or
// connection gives way when either runs short. It holds no locks; the caller serializes the calls.
package memory
