package flood_test

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/standin/hosted"
)

const (
	// connectionClients is the number of clients that send no complete header section, and bodyClients of those that send bodies.
	connectionClients = 900
	bodyClients       = 200
	// bodyBytes is within the operator's limit of 4 MiB; all bodies together exceed the bound on memory three times.
	bodyBytes = 1 << 20
	// missingBytes is how much most bodies lack.
	missingBytes = 10
	// writeTimeout ends the wait of a client whose bytes the entry doesn't read.
	writeTimeout = 10 * time.Second
)

// client writes to its connection and stops at the first error. The entry may refuse it at any time.
type client struct {
	conn net.Conn
	err  error
}

func (c *client) write(data []byte) {
	if c.err == nil {
		c.err = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	if c.err == nil {
		_, c.err = c.conn.Write(data)
	}
}

// flood runs clients at the same time and returns once all have sent what they send. Their connections stay open until the test ends.
func (e *entry) flood(clients int, send func(i int, c *client)) {
	var wg sync.WaitGroup
	open := make([]net.Conn, clients)
	for i := range clients {
		wg.Go(func() {
			conn, err := net.Dial("tcp", e.callers)
			if err != nil {
				return
			}
			open[i] = conn
			send(i, &client{conn: conn})
		})
	}
	Reset(func() {
		for _, conn := range open {
			if conn != nil {
				_ = conn.Close()
			}
		}
	})
	wg.Wait()
}

func (e *entry) requestHead(i int, framing string) []byte {
	return []byte(e.head(i) + framing + "\r\n\r\n")
}

// complete reports whether a client completes its body, which one in ten does.
func complete(i int) bool { return i%10 == 0 }

// Guards against memory and descriptors held by header sections that are too long or never end.
func TestHeaderSections(t *testing.T) {
	Convey("an entry stays within its bounds with header sections over the limit and without end", t, func() {
		Convey("on the hosted edge", func() { headerSections(t, startHosted(t)) })
		Convey("on the native edge", func() { headerSections(t, startNative(t)) })
	})
}

func headerSections(t *testing.T, e *entry) {
	line := []byte("X-Fill: " + strings.Repeat("h", 1000) + "\r\n")
	e.flood(connectionClients, func(i int, c *client) {
		c.write([]byte("GET " + hosted.ReadPath + " HTTP/1.1\r\nHost: " + hosted.SiteHostname + "\r\n"))
		lines := 60
		if i%3 == 0 {
			lines = 1000
		}
		for range lines {
			c.write(line)
		}
	})
	e.expectWithinBounds(t)
}

// Guards against memory and descriptors held by clients that send line ends in place of a request.
func TestEmptyLines(t *testing.T) {
	Convey("an entry stays within its bounds with endless empty lines before a request", t, func() {
		Convey("on the hosted edge", func() { emptyLines(t, startHosted(t)) })
		Convey("on the native edge", func() { emptyLines(t, startNative(t)) })
	})
}

func emptyLines(t *testing.T, e *entry) {
	lines := bytes.Repeat([]byte("\r\n"), 2048)
	e.flood(connectionClients, func(i int, c *client) {
		// The first empty lines follow a request whose body ends before them, where HTTP allows one.
		if i%2 == 0 {
			c.write(e.requestHead(i, "Content-Length: 0"))
		}
		for range 50 {
			c.write(lines)
		}
	})
	e.expectWithinBounds(t)
}

// Guards against memory held by bodies of legal size that never end.
func TestBodies(t *testing.T) {
	Convey("an entry stays within its bounds with many large bodies, in one piece and piece by piece", t, func() {
		Convey("on the hosted edge", func() { bodies(t, startHosted(t)) })
		Convey("on the native edge", func() { bodies(t, startNative(t)) })
	})
}

func bodies(t *testing.T, e *entry) {
	e.flood(bodyClients, func(i int, c *client) {
		c.write(e.requestHead(i, fmt.Sprintf("Content-Length: %d", bodyBytes)))
		body := bytes.Repeat([]byte("b"), bodyBytes)
		if !complete(i) {
			body = body[:bodyBytes-missingBytes]
		}
		if i%2 == 0 {
			c.write(body)
			return
		}
		for len(body) > 0 {
			n := min(len(body), 16<<10)
			c.write(body[:n])
			body = body[n:]
			time.Sleep(time.Millisecond)
		}
	})
	e.expectWithinBounds(t)
}

// Guards against memory held by bodies in chunks that never end.
func TestChunkedBodies(t *testing.T) {
	Convey("an entry stays within its bounds with many bodies in large and in very small chunks", t, func() {
		Convey("on the hosted edge", func() { chunkedBodies(t, startHosted(t)) })
		Convey("on the native edge", func() { chunkedBodies(t, startNative(t)) })
	})
}

func chunkedBodies(t *testing.T, e *entry) {
	small := bytes.Repeat([]byte("10\r\nsixteen bytes ..\r\n"), 512)
	large := append(append([]byte("40000\r\n"), bytes.Repeat([]byte("l"), 256<<10)...), "\r\n"...)
	e.flood(bodyClients, func(i int, c *client) {
		c.write(e.requestHead(i, "Transfer-Encoding: chunked"))
		chunk, size := large, 256<<10
		if i%2 == 0 {
			chunk, size = small, 512*16
		}
		for sent := size; sent < bodyBytes; sent += size {
			c.write(chunk)
		}
		if !complete(i) {
			chunk = chunk[:len(chunk)-missingBytes]
		}
		c.write(chunk)
		if complete(i) {
			c.write([]byte("0\r\n\r\n"))
		}
	})
	e.expectWithinBounds(t)
}
