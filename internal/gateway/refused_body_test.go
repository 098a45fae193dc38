package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/event"
	"gypsumvale/internal/gateway"
	"gypsumvale/internal/settings"
	"gypsumvale/platform"
)

// hiddenRequest stands in a body, and must never be served.
const hiddenRequest = "POST /book/ HTTP/1.1\r\nHost: " + testHost + "\r\nRequest-Id: hidden\r\nCredential: " + testKey +
	"\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"

// frame returns the header that announces a body in pieces, and the pieces as they are sent.
func frame(chunked bool, pieces ...string) (string, []string) {
	if len(strings.Join(pieces, "")) == 0 {
		chunked = false
	}
	if !chunked {
		return fmt.Sprintf("Content-Length: %d", len(strings.Join(pieces, ""))), pieces
	}
	// The pieces are parts of one chunk, so that what a piece begins with would be parsed if it were taken for a request.
	framed := append([]string(nil), pieces...)
	framed[0] = fmt.Sprintf("%x\r\n%s", len(strings.Join(pieces, "")), pieces[0])
	framed[len(framed)-1] += "\r\n0\r\n\r\n"
	return "Transfer-Encoding: chunked", framed
}

// refusedCase is a request that is refused before its body has been read.
type refusedCase struct {
	status  int
	head    string
	padding int
}

// timing is when the pieces of a body are sent.
type timing struct {
	name  string
	pause time.Duration
	// pieces is how many are sent of all, or zero for all, and settled is true if the client must get the refusal.
	pieces  int
	settled bool
}

// play sends a refused request with its body and then another request, and returns what is wrong.
func (c refusedCase) play(address, id string, chunked bool, when timing) error {
	hidden := hiddenRequest
	if when.name == "late" {
		// Its answer shows that it was served. One with a valid key has none, as the time limit of the refused request ends the context of its
		// connection.
		hidden = strings.Replace(hidden, testKey, "unknown", 1)
	}
	framing, pieces := frame(chunked, strings.Repeat("p", c.padding), hidden, "end of the body")
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return err
	}
	head := strings.ReplaceAll(c.head, "ID", id)
	if _, err := io.WriteString(conn, head+framing+"\r\n\r\n"); err != nil {
		return err
	}
	if when.pieces > 0 {
		pieces = pieces[:when.pieces]
	} else if when.name != "late" {
		pieces = append(pieces, strings.Replace(hiddenRequest, "hidden", id+"-next", 1))
	}
	var writeErr error
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for i, p := range pieces {
			if i > 0 {
				time.Sleep(when.pause)
			}
			if _, writeErr = io.WriteString(conn, p); writeErr != nil {
				return
			}
		}
	}()
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	<-sent
	switch {
	case err != nil && when.settled:
		return fmt.Errorf("no complete refusal: %w", err)
	case err == nil && resp.StatusCode != c.status:
		return fmt.Errorf("status %d", resp.StatusCode)
	case when.name == "late":
		if next, err := http.ReadResponse(r, nil); err == nil {
			_ = next.Body.Close()
			return fmt.Errorf("another response, with status %d", next.StatusCode)
		}
	}
	return nil
}

// Guards against the rest of a refused request's body being served as a request, and against refusals that are lost since their connection
// is reset.
func TestRefusedBodies(t *testing.T) {
	t.Parallel()
	Convey("the body of a refused request is never served as a request", t, func() {
		s := startSite(0)
		// On a busy machine the configuration may be unconfirmed for longer than the tests' usual bound, and requests get 503.
		e := s.addEntryWith(func(cfg *settings.Hosted) { cfg.MaxRevocationDelay = time.Minute })
		e.expectReady(true)
		head := func(path string, lines ...string) string {
			return "POST " + path + " HTTP/1.1\r\nHost: " + testHost + "\r\n" + strings.Join(append(lines, ""), "\r\n")
		}
		const id, key = "Request-Id: ID", "Credential: " + testKey
		cases := []refusedCase{
			{http.StatusBadRequest, head("/book/", key), 200},
			{http.StatusUnauthorized, head("/book/", id, "Credential: unknown"), 200},
			{http.StatusNotFound, head("/removed/", id, key), 200},
			{http.StatusNotFound, head("/removed/", id, key), 1 << 20},
			{http.StatusNotFound, head("/removed/", id, key, "Expect: 100-continue"), 200},
			{http.StatusRequestEntityTooLarge, head("/book/", id, key), 1 << 17},
			{http.StatusRequestTimeout, head("/book/", id, key, "Deadline-Ms: 1"), 200},
		}
		timings := []timing{
			{"in pieces", 300 * time.Millisecond, 0, true}, {"late", 1300 * time.Millisecond, 0, false},
			{"never", 30 * time.Millisecond, 1, true}, {"at once", 0, 0, true},
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		var faults []string
		for i, c := range cases {
			for j, when := range timings {
				if c.status == http.StatusRequestTimeout && when.name == "at once" {
					// A body that has arrived with its head isn't late.
					continue
				}
				for _, chunked := range []bool{false, true} {
					wg.Go(func() {
						if err := c.play(e.cfg.Callers, fmt.Sprintf("refused-%d-%d-%v", i, j, chunked), chunked, when); err != nil {
							mu.Lock()
							defer mu.Unlock()
							faults = append(faults, fmt.Sprintf("case %d, status %d, chunked %v, %s: %v", i, c.status, chunked, when.name, err))
						}
					})
				}
			}
		}
		wg.Wait()
		// A hidden request would run after the one second for which a refused connection is read.
		time.Sleep(1500 * time.Millisecond)
		for _, endpoint := range s.endpoints {
			for _, run := range endpoint.Runs() {
				if run.RequestID == "hidden" {
					faults = append(faults, run.RequestID+" ran")
				}
			}
		}
		So(faults, ShouldBeEmpty)
	})
}

// seen records the requests that a server parses.
type seen struct {
	mu  sync.Mutex
	ids []string
}

func (s *seen) take() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.ids
	s.ids = nil
	return ids
}

// FuzzRefusedBody checks that no part of a refused request's body is parsed as a request, whatever its bytes and however they are split. The
// node has no configuration, and so refuses every request with 503 before it reads the body.
func FuzzRefusedBody(f *testing.F) {
	for _, chunked := range []bool{false, true} {
		f.Add([]byte(hiddenRequest), uint16(10), uint16(0), chunked, uint16(20))
		f.Add([]byte("x"+hiddenRequest), uint16(1), uint16(60), chunked, uint16(20))
		f.Add([]byte(hiddenRequest+hiddenRequest), uint16(len(hiddenRequest)), uint16(3), chunked, uint16(0))
		f.Add([]byte("\r\n0\r\n\r\n"+hiddenRequest), uint16(2), uint16(5), chunked, uint16(0))
		f.Add([]byte("x"+hiddenRequest), uint16(1), uint16(60000), chunked, uint16(1100))
		f.Add(bytes.Repeat([]byte(hiddenRequest), 1000), uint16(5000), uint16(40000), chunked, uint16(20))
	}
	cfg := &settings.Hosted{Name: "fuzz", Zone: "a", MemoryMB: 64, Bounds: settings.Bounds{MaxRevocationDelay: time.Second}}
	node := gateway.New(cfg, event.Discard(), gateway.Dependencies{
		Store: platform.NewStoreClient("127.0.0.1:1"), Schema: platform.StoreSchema{}, Headers: platform.HeaderCodec{},
		Engines: platform.NewEngineClient(), Caches: platform.NewCacheClient(),
	})
	requests := &seen{}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.mu.Lock()
		requests.ids = append(requests.ids, r.Header.Get("Request-Id"))
		requests.mu.Unlock()
		node.ServeHTTP(w, r)
	})}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	listener, closed := gateway.Protect(node, inner, server), make(chan struct{}, 1)
	record := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		record(c, state)
		if state == http.StateClosed {
			closed <- struct{}{}
		}
	}
	go func() { _ = server.Serve(listener) }()
	f.Cleanup(func() { _ = server.Close() })
	f.Fuzz(func(t *testing.T, body []byte, first, second uint16, chunked bool, pauseMs uint16) {
		a := min(int(first), len(body))
		b := min(a+int(second), len(body))
		framing, pieces := frame(chunked, string(body[:a]), string(body[a:b]), string(body[b:]))
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_, _ = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: first\r\n"+framing+"\r\n\r\n")
			for _, p := range pieces {
				_, _ = io.WriteString(conn, p)
				time.Sleep(time.Duration(pauseMs%1500) * time.Millisecond)
			}
			_, _ = io.WriteString(conn, "GET /b HTTP/1.1\r\nHost: h\r\nRequest-Id: second\r\nConnection: close\r\n\r\n")
			if half, ok := conn.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
		}()
		r := bufio.NewReader(conn)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("no refusal: %v", err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("status %d: %v", resp.StatusCode, err)
		}
		_ = resp.Body.Close()
		<-sent
		// The server closes the connection after its last response.
		_, _ = io.Copy(io.Discard, r)
		_ = conn.Close()
		<-closed
		ids := strings.Join(requests.take(), " ")
		if ids != "first" && ids != "first second" {
			t.Fatalf("requests parsed: %q", ids)
		}
	})
}
