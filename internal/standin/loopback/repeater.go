package loopback

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// StartRepeater answers HTTP requests at the returned address with the given raw responses in turn. A copy of each response precedes the next
// one on its connection. It ends with the returned listener.
func StartRepeater(responses ...string) (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start repeater: %w", err)
	}
	pending := make(chan string, len(responses))
	for _, text := range responses {
		pending <- text
	}
	close(pending)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go repeat(conn, pending)
		}
	}()
	return listener, nil
}

// repeat serves one connection.
func repeat(conn net.Conn, pending <-chan string) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for repeated := ""; ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		text, ok := <-pending
		if !ok {
			return
		}
		if _, err := io.WriteString(conn, repeated+text); err != nil {
			return
		}
		repeated = text
	}
}

// RawResponse returns a raw HTTP response with a body.
func RawResponse(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}
