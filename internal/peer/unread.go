package peer

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnread reports whether bytes wait in the kernel to be read from a TCP connection.
func hasUnread(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false // it is closed
	}
	n := 0
	err = rc.Control(func(fd uintptr) {
		n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) // 0 if it fails
	})

	return err == nil && n > 0
}
