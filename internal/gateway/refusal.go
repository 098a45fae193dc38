package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/state/clock"
)

// refusal is an answer of the system's own.
type refusal struct {
	status int
	reason string
	// comeBack is when a request that did not run may be sent again; zero is not said.
	comeBack clock.Instant
}

// refuse says that the request has not run and never will.
func refuse(reason string, comeBack clock.Instant) *refusal {
	return &refusal{http.StatusServiceUnavailable, reason, comeBack}
}

// answer sends an answer of the system's own.
func (j *job) answer(refused *refusal) {
	h := j.w.Header()
	if j.head != nil {
		for name, values := range j.node.outside.Headers.LocalReplyHeader(j.head.ID) {
			h[name] = values
		}
	}
	now := clock.Now()
	if refused.comeBack != 0 {
		h.Set("Retry-After", j.node.outside.Headers.RetryAfter(max(0, refused.comeBack.Sub(now))))
	}
	// A struct of one string always encodes.
	body, _ := json.Marshal(struct {
		Error string `json:"error"`
	}{refused.reason})
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	control := http.NewResponseController(j.w)
	// Without full duplex the library would read the body before the answer goes out, or close the connection behind it.
	unread := !j.bodyRead && j.r.ContentLength != 0 && j.r.Header.Get("Expect") == "" && control.EnableFullDuplex() == nil
	j.w.WriteHeader(refused.status)
	// A caller that has gone needs no answer.
	_, _ = j.w.Write(body)
	j.end("refused", refused.reason, refused.status)
	if unread {
		j.discardBody(control)
	}
}

const (
	// discardBytes and discardSpan bound what is read of a body after its request has been rejected: most callers that send too much send
	// little more, and send it at once.
	discardBytes = 1 << 20
	discardSpan  = time.Second
)

// discardBody reads on after an answer, since closing a connection with unread bytes resets it, and the caller loses the answer.
func (j *job) discardBody(control *http.ResponseController) {
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(discardSpan)) != nil {
		// The caller has gone.
		return
	}
	if _, err := io.CopyN(io.Discard, j.r.Body, discardBytes); errors.Is(err, io.EOF) {
		// Without a deadline again the connection serves on; the library closes one whose body was not read to its end.
		_ = control.SetReadDeadline(time.Time{})
	}
}
