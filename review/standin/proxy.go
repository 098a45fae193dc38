//go:build review

package main

import (
	"net"
	"sync"
)

// link is a proxy that forwards connections to an address until it is cut. While it is cut, nothing passes and nothing is closed.
type link struct {
	address string
	target  string

	mu sync.Mutex
	// open is closed while the link isn't cut.
	open chan struct{}
	cut  bool
	// held holds the connections that were open when the link was cut.
	held []net.Conn
}

func newLink(target string) (*link, error) {
	l := &link{address: freeAddress(), target: target, open: make(chan struct{})}
	close(l.open)
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn)
		}
	}()
	return l, nil
}

// setCut cuts the link, or heals it. Connections that were open during a cut are reset when it ends, as a peer that missed what was sent would do.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut == l.cut {
		return
	}
	l.cut = cut
	if cut {
		l.open = make(chan struct{})
		return
	}
	for _, conn := range l.held {
		_ = conn.Close()
	}
	l.held = nil
	close(l.open)
}

// wait waits until the link isn't cut, and reports whether it was.
func (l *link) wait(conn net.Conn) bool {
	l.mu.Lock()
	open, cut := l.open, l.cut
	if cut {
		l.held = append(l.held, conn)
	}
	l.mu.Unlock()
	<-open
	return cut
}

func (l *link) forward(client net.Conn) {
	defer client.Close()
	if l.wait(client) {
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer server.Close()
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			if l.wait(client) {
				return
			}
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pass(server, client)
	go pass(client, server)
	<-done
}
