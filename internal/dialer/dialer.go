// Package dialer opens TCP connections that detect a silent peer. A peer that lost
// power or is cut off by a partition neither answers nor resets its connections.
package dialer

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveIdle is how long a connection is idle before the kernel probes it. One
// second is the shortest time that the socket option allows.
const keepAliveIdle = time.Second

// Config configures a dialer.
type Config struct {
	Bind       string        // local IP number to dial from, "" for any
	Timeout    time.Duration // for opening a connection
	AckTimeout time.Duration // a connection is cut if the peer acknowledges nothing for this long; 0 for the kernel's limit
	// ResetOnClose resets connections when they are closed, and drops what the peer has not
	// acknowledged. Otherwise the kernel goes on to send it, also after a partition has healed.
	ResetOnClose bool
}

// New returns a dialer of TCP connections.
func New(cfg Config) *net.Dialer {
	nd := &net.Dialer{Timeout: cfg.Timeout}
	if cfg.Bind != "" {
		nd.LocalAddr = &net.TCPAddr{IP: net.ParseIP(cfg.Bind)}
	}
	if cfg.AckTimeout > 0 {
		nd.KeepAliveConfig = keepAlive()
	}
	nd.ControlContext = func(_ context.Context, _, _ string, rc syscall.RawConn) error {
		if cfg.ResetOnClose {
			if err := setResetOnClose(rc); err != nil {
				return err
			}
		}
		if cfg.AckTimeout > 0 {
			return setUserTimeout(rc, cfg.AckTimeout)
		}

		return nil
	}

	return nd
}

// ListenConfig configures Listen.
type ListenConfig struct {
	AckTimeout  time.Duration // as in Config
	SocketBytes int           // size of the kernel's buffers of each accepted connection; 0 leaves that to the kernel
}

// Listen listens on address. Accepted connections detect a silent peer, too.
func Listen(address string, cfg ListenConfig) (net.Listener, error) {
	lc := net.ListenConfig{}
	if cfg.AckTimeout > 0 {
		lc.KeepAliveConfig = keepAlive()
	}
	lc.Control = func(_, _ string, rc syscall.RawConn) error {
		if cfg.SocketBytes > 0 {
			if err := setSocketBytes(rc, cfg.SocketBytes); err != nil {
				return err
			}
		}
		if cfg.AckTimeout > 0 {
			return setUserTimeout(rc, cfg.AckTimeout)
		}

		return nil
	}

	return lc.Listen(context.Background(), "tcp", address)
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: 2}
}

// setResetOnClose makes the kernel reset a connection when it is closed.
func setResetOnClose(rc syscall.RawConn) error {
	return control(rc, func(fd int) error {
		return unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
}

// setUserTimeout sets how long sent data and keep-alive probes may stay unacknowledged
// before the kernel cuts the connection.
func setUserTimeout(rc syscall.RawConn, d time.Duration) error {
	return control(rc, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// setSocketBytes sets the sizes of the kernel's buffers of what has arrived and of what is to be sent.
// Accepted connections inherit them.
func setSocketBytes(rc syscall.RawConn, n int) error {
	return control(rc, func(fd int) error {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, n); err != nil {
			return err
		}

		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, n)
	})
}

func control(rc syscall.RawConn, set func(fd int) error) error {
	var err error
	if cerr := rc.Control(func(fd uintptr) { err = set(int(fd)) }); cerr != nil {
		return cerr
	}

	return err
}
