package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// refuse answers a request that a fault makes the endpoint refuse, and reports whether it has.
func (e *Endpoint) refuse(w http.ResponseWriter, r *http.Request, body string, f EndpointFault) bool {
	if f.RepeatRefusals {
		e.serveRepeatingRefusals(w, r, body, f)
		return true
	}
	hint := f.drawRetry()
	if hint.text == "" {
		return false
	}
	e.reject(w, r.Header.Get("Request-Id"), hint)
	return true
}

// refusedFirst reports whether the request is to be refused because it arrives for the first time.
func (e *Endpoint) refusedFirst(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refused[id] {
		return false
	}
	if e.refused == nil {
		e.refused = make(map[string]bool)
	}
	e.refused[id] = true
	return true
}

const refusedLine = "HTTP/1.1 503 Service Unavailable\r\n"

// serveRepeatingRefusals takes over the connection of a request. It refuses requests that arrive for the first time and executes the others;
// a copy of each refusal precedes the answer to the next request on the connection, since net/http sends one response to a request.
func (e *Endpoint) serveRepeatingRefusals(w http.ResponseWriter, r *http.Request, body string, f EndpointFault) {
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	repeated := ""
	for {
		id := r.Header.Get("Request-Id")
		if repeated != "" {
			e.repeatedRefusals.Add(1)
		}
		if !e.refusedFirst(id) {
			if !e.runOnConnection(conn, r, body, repeated) {
				return
			}
			repeated = ""
		} else {
			hint := retryInSeconds(f.RetryAfter)
			refusal := fmt.Sprintf("Not-Executed: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n", hint.text)
			identified := refusedLine + "Request-Id: " + id + "\r\n" + refusal
			if e.recordRejection(Rejection{id, hint.at}) != nil {
				return
			}
			time.Sleep(f.StartDelay)
			if _, err := io.WriteString(conn, repeated+identified); err != nil {
				return
			}
			repeated = identified
			if f.AnonymousCopies {
				repeated = refusedLine + refusal
			}
		}
		if r, body, err = e.awaitRequest(conn, rw.Reader); err != nil {
			return
		}
	}
}

// recordRejection writes a rejection to the journal.
func (e *Endpoint) recordRejection(rejection Rejection) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.appendJournal(JournalEntry{Rejected: &rejection})
}

// repeatsRefusals reports whether the endpoint is up and still has the fault RepeatRefusals.
func (e *Endpoint) repeatsRefusals() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault.RepeatRefusals && !e.stopped
}

const (
	// refusalPollInterval is how often connections with repeated refusals check that the fault is still set.
	refusalPollInterval = 50 * time.Millisecond
	// requestReadTimeout is how long a request may take to arrive that has begun to.
	requestReadTimeout = 5 * time.Second
)

// errFaultEnded is returned once the fault of a connection was replaced by another.
var errFaultEnded = errors.New("the fault has ended")

// awaitRequest reads the next request on a connection, or returns an error soon after the endpoint has ended or the fault was replaced.
func (e *Endpoint) awaitRequest(conn net.Conn, from *bufio.Reader) (*http.Request, string, error) {
	for {
		if err := conn.SetReadDeadline(time.Now().Add(refusalPollInterval)); err != nil {
			return nil, "", fmt.Errorf("await request: %w", err)
		}
		// Peek leaves what has arrived in the buffer, so that a request isn't torn by the deadline.
		_, err := from.Peek(1)
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, "", fmt.Errorf("await request: %w", err)
		}
		if !e.repeatsRefusals() {
			return nil, "", errFaultEnded
		}
	}
	if err := conn.SetReadDeadline(time.Now().Add(requestReadTimeout)); err != nil {
		return nil, "", fmt.Errorf("await request: %w", err)
	}
	return readRequest(from)
}

// RepeatedRefusals returns how many copies of refusals were sent where other answers were due.
func (e *Endpoint) RepeatedRefusals() int64 { return e.repeatedRefusals.Load() }

// runOnConnection executes a request and answers it behind the bytes of an earlier answer.
func (e *Endpoint) runOnConnection(conn net.Conn, r *http.Request, body, earlier string) bool {
	if _, err := io.WriteString(conn, earlier); err != nil {
		return false
	}
	id := r.Header.Get("Request-Id")
	run := Run{id, e.cfg.ID, r.Header.Get("Tenant-Id"), r.RequestURI, body, 0, e.cfg.Software, r.Header.Clone()}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	err := e.appendJournal(JournalEntry{Run: &run})
	e.mu.Unlock()
	if err != nil {
		return false
	}
	time.Sleep(e.cfg.Work)
	_, err = io.WriteString(conn, e.rawResponse(id, ""))
	return err == nil
}

func readRequest(from *bufio.Reader) (*http.Request, string, error) {
	r, err := http.ReadRequest(from)
	if err != nil {
		return nil, "", fmt.Errorf("read request: %w", err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, "", fmt.Errorf("read request: %w", err)
	}
	return r, string(body), nil
}
