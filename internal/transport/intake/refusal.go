package intake

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// A body is read to its end before its refusal if it takes no more than restTimeout and maxRestBytes, as most bodies do. Otherwise the
	// connection serves no other request: what comes later must not be parsed as one.
	restTimeout  = 5 * time.Millisecond
	maxRestBytes = 64 << 10
	// drainTimeout is how long a client may take to send the rest of its body and still get the refusal.
	drainTimeout = time.Second
)

// Refuse has a function write the refusal of a request whose body has not been read to its end. It closes the connection afterwards, unless
// the rest of the body is there already and reading it was never interrupted. The refusal must state its length, as otherwise it would end only
// after Refuse has returned.
func Refuse(w http.ResponseWriter, r *http.Request, write func()) {
	control := http.NewResponseController(w)
	if r.ContentLength == 0 || reusable(r) && readRest(r, control) {
		write()
		return
	}
	w.Header().Set("Connection", "close")
	write()
	if control.Flush() == nil {
		drain(r.Context(), drainTimeout)
	}
}

// reusable reports whether the connection of a request may serve another one. If a read deadline has ended a read, net/http ends the context of the
// connection, which all later requests on it share; while a body gives way, that may be about to happen.
func reusable(r *http.Request) bool {
	c := connOf(r.Context())
	return r.Context().Err() == nil && (c == nil || !c.interrupted)
}

// readRest reads the rest of a body that is not needed, and reports whether it has read it to its end.
func readRest(r *http.Request, control *http.ResponseController) bool {
	// With this header, reading would ask the client for the body.
	if r.Header.Get("Expect") != "" || control.SetReadDeadline(time.Now().Add(restTimeout)) != nil {
		return false
	}
	n, err := io.CopyN(io.Discard, r.Body, maxRestBytes)
	return n < maxRestBytes && errors.Is(err, io.EOF)
}
