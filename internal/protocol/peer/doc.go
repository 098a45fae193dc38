// Package peer defines the messages between entry instances and their framing: a length prefix followed by msgpack.
package peer
