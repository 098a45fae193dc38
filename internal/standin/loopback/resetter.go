package loopback

import (
	"fmt"
	"io"
	"net"
)

// readBeforeAnswer is how many bytes of a request a resetter reads before it answers: less than a long upload.
const readBeforeAnswer = 64 << 10

// StartResetter answers HTTP requests at the returned address with a raw response once it has read a little of them, and then resets their
// connections. It ends with the returned listener.
func StartResetter(response string) (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start resetter: %w", err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAndReset(conn, response)
		}
	}()
	return listener, nil
}

// answerAndReset serves one connection. Errors are ignored: the client may have closed it.
func answerAndReset(conn net.Conn, response string) {
	_, _ = io.ReadFull(conn, make([]byte, readBeforeAnswer))
	_, _ = io.WriteString(conn, response)
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}
