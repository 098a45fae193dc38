package intake

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// ReadEnd is how reading from a client's connection has ended. net/http ends the context of a request with each of these.
type ReadEnd string

// Ways in which reading ends.
const (
	// ReadOpen: reading goes on.
	ReadOpen ReadEnd = "open"
	// ReadClosed: the client has closed its connection or the sending side of it.
	ReadClosed ReadEnd = "closed"
	// ReadReset: the client has reset its connection.
	ReadReset ReadEnd = "reset"
	// ReadTimedOut: a read deadline of this process has passed.
	ReadTimedOut ReadEnd = "timed_out"
	// ReadAborted: this process has closed the connection.
	ReadAborted ReadEnd = "aborted"
	// ReadFailed: reading has failed in another way.
	ReadFailed ReadEnd = "failed"
)

func readEndOf(err error) ReadEnd {
	switch {
	case errors.Is(err, io.EOF):
		return ReadClosed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ReadTimedOut
	case errors.Is(err, syscall.ECONNRESET):
		return ReadReset
	case errors.Is(err, net.ErrClosed):
		return ReadAborted
	}
	return ReadFailed
}

// ReadEndOf returns how reading from the connection of a request has ended, given the request's context. It is empty if the context isn't that of a
// request on a guarded listener.
func ReadEndOf(ctx context.Context) ReadEnd {
	c := connOf(ctx)
	if c == nil {
		return ""
	}
	end, _ := c.readEnd.Load().(ReadEnd)
	return end
}
