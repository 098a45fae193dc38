package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
)

const (
	// The range from firstPort up to, but not including, lastPort lies below the kernel's ephemeral ports, which start at 32768 on Linux.
	firstPort = 10000
	lastPort  = 32000
)

var (
	mu       sync.Mutex
	nextPort = firstPort
)

// Host returns an IP address of 127.0.0.0/8 that no other process gets from this package.
func Host() string {
	pid := os.Getpid()
	// The second byte starts at 64 to avoid the commonly used addresses near 127.0.0.1. Process IDs have 22 bits.
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}

// Ports reserves n consecutive free ports of Host and returns the first. It fails if none are left.
func Ports(n int) (int, error) {
	mu.Lock()
	defer mu.Unlock()
	for nextPort+n <= lastPort {
		first := nextPort
		nextPort += n
		if allFree(first, n) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d consecutive free ports on %s below %d", n, Host(), lastPort)
}

// FreeAddress reserves one port of Host and returns the address. It fails if no port is left.
func FreeAddress() (string, error) {
	port, err := Ports(1)
	if err != nil {
		return "", fmt.Errorf("reserve address: %w", err)
	}
	return fmt.Sprintf("%s:%d", Host(), port), nil
}

// allFree tries to listen on each port, as a server that listens on all IP addresses occupies the port on Host too.
func allFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", Host(), port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}
