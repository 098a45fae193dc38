package peers

import (
	"net"

	"golang.org/x/sys/unix"
)

// maxUnsentBytes is how much the kernel takes beyond what it has sent: a small frame can't pass what waits there.
const maxUnsentBytes = 32 << 10

// limitUnsent keeps what waits for the link in the outbox, where small frames pass large ones.
func limitUnsent(raw net.Conn) {
	c, ok := raw.(*net.TCPConn)
	if !ok {
		return
	}
	control, err := c.SyscallConn()
	if err != nil {
		return
	}
	// Where the kernel knows no such limit, small frames wait longer.
	_ = control.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}
