package hosted

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// serve executes a request, or rejects it without executing it if the version differs or all slots are taken.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request, body string) {
	id := r.Header.Get("Request-Id")
	e.mu.Lock()
	f := e.fault
	e.arrivals = append(e.arrivals, time.Now())
	e.mu.Unlock()
	if e.refuse(w, r, body, f) {
		return
	}
	if f.StartDelay > 0 {
		e.sleep(r, f.StartDelay)
		if r.Context().Err() != nil {
			return
		}
	}
	e.mu.Lock()
	var err error
	wrongVersion := r.Header.Get("Expect-Version") != "" && r.Header.Get("Expect-Version") != strconv.Itoa(e.version)
	full := f.Full || e.running >= e.cfg.Slots
	if !wrongVersion && !full {
		e.running++
		lastEvent, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		run := Run{id, e.cfg.ID, r.Header.Get("Tenant-Id"), r.RequestURI, body, lastEvent, e.cfg.Software, r.Header.Clone()}
		e.runs = append(e.runs, run)
		e.addToCache(r)
		err = e.appendJournal(JournalEntry{Run: &run, AnswerSaysLeaving: saysLeaving(w), AnswerLimit: statedLimit(w)})
	}
	e.mu.Unlock()
	switch {
	case err != nil:
		// A request that the journal does not hold must not run.
		panic(http.ErrAbortHandler)
	case wrongVersion:
		e.misdirect(w, r)
		return
	case full:
		e.reject(w, id, retryHint{})
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if f.CrashOn != "" && strings.Contains(body, f.CrashOn) {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	if f.DropAnswers {
		panic(http.ErrAbortHandler)
	}
	if f.Stray || f.Trailing {
		e.writeRaw(w, id, f)
		return
	}
	if f.Unframed {
		e.writeUnframed(w, r, id, f)
		return
	}
	e.respond(w, r, id, f)
}

// retryHint is the time at which an endpoint wants further requests, and its text in the answer. The zero value gives none.
type retryHint struct {
	text string
	at   time.Time
}

// drawRetry returns the time to come back with which a request is rejected, or the zero value if it isn't.
func (f EndpointFault) drawRetry() retryHint {
	switch {
	case f.RetryAfter > 0:
		return retryInSeconds(f.RetryAfter)
	case f.RandomRetryAfter > 0 && rand.IntN(2) == 0:
		return randomRetry(f.RandomRetryAfter)
	}
	return retryHint{}
}

func retryInSeconds(d time.Duration) retryHint {
	return retryHint{strconv.FormatFloat(d.Seconds(), 'f', -1, 64), time.Now().Add(d)}
}

// randomRetry returns a random time up to a limit, in whole or fractional seconds or as a date, which may be rounded up to the next second.
func randomRetry(limit time.Duration) retryHint {
	d := rand.N(limit)
	switch rand.IntN(3) {
	case 0:
		return retryInSeconds(d.Truncate(time.Second) + time.Second)
	case 1:
		return retryInSeconds(d)
	}
	at := time.Now().Add(d).Truncate(time.Second).Add(time.Second)
	return retryHint{at.UTC().Format(http.TimeFormat), at}
}

// reject answers a request without executing it.
func (e *Endpoint) reject(w http.ResponseWriter, id string, hint retryHint) {
	rejection := Rejection{id, hint.at}
	e.mu.Lock()
	e.countTurnedAway(time.Now())
	err := e.appendJournal(JournalEntry{Rejected: &rejection, AnswerSaysLeaving: saysLeaving(w), AnswerLimit: statedLimit(w)})
	e.mu.Unlock()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Not-Executed", "1")
	if hint.text != "" {
		w.Header().Set("Retry-After", hint.text)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// saysLeaving reports whether an answer states that the endpoint leaves.
func saysLeaving(w http.ResponseWriter) bool { return w.Header().Get(leavingHeader) != "" }

// statedLimit returns the number of requests per second that an answer states, or zero.
func statedLimit(w http.ResponseWriter) float64 {
	// An answer without the header has no limit.
	limit, _ := strconv.ParseFloat(w.Header().Get(limitHeader), 64)
	return limit
}

// rawSignals returns the header lines of an answer that is written to the connection directly, if it states that the endpoint leaves or
// its limit.
func rawSignals(w http.ResponseWriter) string {
	lines := ""
	for _, name := range []string{leavingHeader, limitHeader} {
		if value := w.Header().Get(name); value != "" {
			lines += name + ": " + value + "\r\n"
		}
	}
	return lines
}

// Seal returns the signature that an endpoint puts on its response to a request.
func Seal(endpoint, id string) string { return endpoint + "." + id }

func (e *Endpoint) respond(w http.ResponseWriter, r *http.Request, id string, f EndpointFault) {
	w.Header().Set("Request-Id", id)
	if !f.Unsealed {
		w.Header().Set("Response-Seal", Seal(e.cfg.ID, id))
	}
	if f.Status != 0 {
		w.WriteHeader(f.Status)
		// A write error means that the caller has disconnected.
		_, _ = io.WriteString(w, strings.Repeat("x", f.StatusBody))
		return
	}
	if e.cfg.Events == 0 {
		e.sleep(r, e.cfg.Work)
		e.writeBody(w, id, f)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if f.CrashOnPart != "" && hasPart(r, f.CrashOnPart) {
		e.sleep(r, e.cfg.Work)
		_ = http.NewResponseController(w).Flush()
		e.crash()
		panic(http.ErrAbortHandler)
	}
	lastEvent, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		lastEvent = 0
	}
	for n := lastEvent + 1; n <= e.cfg.Events; n++ {
		e.sleep(r, e.cfg.Work)
		if f.EndlessEvent && n > 1 {
			e.writeEndlessLine(w)
			return
		}
		if f.CutAfter > 0 && n > f.CutAfter {
			// Sends part of an event and then aborts the connection.
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(n)+"\ndata: ha")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, Event(n)); err != nil || r.Context().Err() != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// writeBody writes the body of a plain call's response.
func (e *Endpoint) writeBody(w http.ResponseWriter, id string, f EndpointFault) {
	body := Body(id)
	if f.LongBody > 0 {
		body += strings.Repeat(".", f.LongBody-len(body))
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if f.CutAfter > 0 {
		_, _ = io.WriteString(w, body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	// A write error means that the caller has disconnected.
	_, _ = io.WriteString(w, body)
}

// hasPart reports whether a request's prompt has a part.
func hasPart(r *http.Request, id string) bool {
	for _, part := range strings.Split(r.Header.Get("Prompt-Prefix"), ",") {
		if name, _, _ := strings.Cut(part, ":"); name == id {
			return true
		}
	}
	return false
}

// writeEndlessLine writes until the caller closes the connection.
func (e *Endpoint) writeEndlessLine(w http.ResponseWriter) {
	block := strings.Repeat("x", endlessBlockBytes)
	for {
		if _, err := io.WriteString(w, block); err != nil {
			return
		}
		e.endlessBytes.Add(endlessBlockBytes)
	}
}

// endlessBlockBytes is the size of one write of an endless line.
const endlessBlockBytes = 16 << 10

// EndlessBytes returns how many bytes of endless lines were written.
func (e *Endpoint) EndlessBytes() int64 { return e.endlessBytes.Load() }

func (e *Endpoint) sleep(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// Body returns the response body of a call that is not streamed.
func Body(id string) string { return "answer to " + id }

// Event returns the text of the n-th event of a stream; the first is 1.
func Event(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

// Stream returns the text of a complete stream with the given number of events.
func Stream(events int) string {
	text := ""
	for n := 1; n <= events; n++ {
		text += Event(n)
	}
	return text
}

// writeRaw writes to the connection directly, since net/http sends no more than one response to a request.
func (e *Endpoint) writeRaw(w http.ResponseWriter, id string, f EndpointFault) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	text := ""
	if f.Stray {
		text += e.rawResponse("someone-elses-request", "")
	}
	text += e.rawResponse(id, rawSignals(w))
	if f.Trailing {
		text += e.rawResponse("someone-elses-request", "")
	}
	_, _ = io.WriteString(conn, text)
	// Leaves the peer time to read. Whether it closes or reuses the connection, it must ignore the bytes after the response.
	time.Sleep(50 * time.Millisecond)
}

// writeUnframed writes to the connection directly, since net/http would send chunks.
func (e *Endpoint) writeUnframed(w http.ResponseWriter, r *http.Request, id string, f EndpointFault) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	lastEvent, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		lastEvent = 0
	}
	// Write errors mean that the caller has disconnected.
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\n%sContent-Type: text/event-stream\r\n\r\n", id, Seal(e.cfg.ID, id), rawSignals(w))
	if f.CrashOnPart != "" && hasPart(r, f.CrashOnPart) {
		_ = conn.Close()
		e.crash()
		return
	}
	if e.cfg.Events == 0 {
		body := Body(id)
		if f.CrashAfter > 0 {
			body = body[:len(body)/2]
			defer e.crash()
		}
		_, _ = io.WriteString(conn, body)
		return
	}
	for n := lastEvent + 1; n <= e.cfg.Events; n++ {
		if f.CutAfter > 0 && n > f.CutAfter {
			_, _ = io.WriteString(conn, "id: "+strconv.Itoa(n)+"\ndata: ha")
			return
		}
		if f.CrashAfter > 0 && n > f.CrashAfter {
			e.crash()
			return
		}
		e.sleep(r, e.cfg.Work)
		if _, err := io.WriteString(conn, Event(n)); err != nil {
			return
		}
	}
}

func (e *Endpoint) rawResponse(id, extraHeader string) string {
	body := Body(id)
	if e.cfg.Events > 0 {
		body = Stream(e.cfg.Events)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		id, Seal(e.cfg.ID, id), extraHeader, len(body), body)
}
