package hosted

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// serve runs a request, or rejects it as not run.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request, body string) {
	id := r.Header.Get("Request-Id")
	e.mu.Lock()
	var err error
	f := e.fault
	wrongVersion := r.Header.Get("Expect-Version") != "" && r.Header.Get("Expect-Version") != strconv.Itoa(e.version)
	full := f.Full || e.running >= e.cfg.Slots
	if !wrongVersion && !full {
		e.running++
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		run := Run{id, e.cfg.ID, r.Header.Get("Tenant-Id"), r.RequestURI, body, last, r.Header.Clone()}
		e.runs = append(e.runs, run)
		err = e.record(JournalEntry{Run: &run})
	}
	e.mu.Unlock()
	switch {
	case err != nil:
		// What isn't on record may not run.
		panic(http.ErrAbortHandler)
	case wrongVersion:
		w.Header().Set("Instance-Id", e.cfg.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case full:
		w.Header().Set("Request-Id", id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
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
		e.raw(w, id, f)
		return
	}
	e.answer(w, r, id, f)
}

// Seal returns the signature of an endpoint's answer to a request.
func Seal(endpoint, id string) string { return endpoint + "." + id }

func (e *Endpoint) answer(w http.ResponseWriter, r *http.Request, id string, f EndpointFault) {
	w.Header().Set("Request-Id", id)
	if !f.Unsealed {
		w.Header().Set("Response-Seal", Seal(e.cfg.ID, id))
	}
	if f.Status != 0 {
		w.WriteHeader(f.Status)
		return
	}
	if e.cfg.Events == 0 {
		e.sleep(r, e.cfg.Work)
		// A caller that has gone needs no answer.
		_, _ = io.WriteString(w, Body(id))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	for n := last + 1; n <= e.cfg.Events; n++ {
		e.sleep(r, e.cfg.Work)
		if f.CutAfter > 0 && n > f.CutAfter {
			// Half an event goes out before the end.
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

func (e *Endpoint) sleep(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// Body returns the answer of a plain call.
func Body(id string) string { return "answer to " + id }

// Event returns one event of a stream.
func Event(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

// Stream returns a whole stream.
func Stream(events int) string {
	text := ""
	for n := 1; n <= events; n++ {
		text += Event(n)
	}
	return text
}

// raw writes answers that no library would.
func (e *Endpoint) raw(w http.ResponseWriter, id string, f EndpointFault) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	text := ""
	if f.Stray {
		text += e.rawAnswer("someone-elses-request")
	}
	text += e.rawAnswer(id)
	if f.Trailing {
		text += e.rawAnswer("someone-elses-request")
	}
	_, _ = io.WriteString(conn, text)
	// The other side closes or keeps the connection; it must not use what came behind the answer.
	time.Sleep(50 * time.Millisecond)
}

func (e *Endpoint) rawAnswer(id string) string {
	body := Body(id)
	if e.cfg.Events > 0 {
		body = Stream(e.cfg.Events)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, Seal(e.cfg.ID, id), len(body), body)
}
