// Package dialer opens TCP connections that notice a silent peer: one that has
// lost its power, or stands behind a partition, answers nothing and resets
// nothing.
package dialer

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveIdle is how long a connection is idle before the kernel probes it: the
// shortest time that the socket option can hold.
const keepAliveIdle = time.Second

// Config describes connections.
type Config struct {
	Bind    string        // IP number that is dialled from, "" for any
	Timeout time.Duration // of opening a connection
	Silence time.Duration // unacknowledged for so long, a connection is cut; 0 leaves it to the kernel
}

// New returns a dialer of TCP connections.
func New(cfg Config) *net.Dialer {
	nd := &net.Dialer{Timeout: cfg.Timeout}
	if cfg.Bind != "" {
		nd.LocalAddr = &net.TCPAddr{IP: net.ParseIP(cfg.Bind)}
	}
	if cfg.Silence > 0 {
		nd.KeepAliveConfig = keepAlive()
		nd.ControlContext = func(_ context.Context, _, _ string, rc syscall.RawConn) error {
			return setUserTimeout(rc, cfg.Silence)
		}
	}

	return nd
}

// Listen listens on address; connections that it accepts notice a silent peer too.
func Listen(address string, silence time.Duration) (net.Listener, error) {
	lc := net.ListenConfig{}
	if silence > 0 {
		lc.KeepAliveConfig = keepAlive()
		lc.Control = func(_, _ string, rc syscall.RawConn) error { return setUserTimeout(rc, silence) }
	}

	return lc.Listen(context.Background(), "tcp", address)
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: 2}
}

// setUserTimeout also bounds how long keep-alive probes stay unanswered.
func setUserTimeout(rc syscall.RawConn, d time.Duration) error {
	var err error
	if cerr := rc.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	}); cerr != nil {
		return cerr
	}

	return err
}
