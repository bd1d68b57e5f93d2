package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/tamarackbay/tamarackbay/internal/meter"
)

const (
	// filesShare is the divisor of a process's file descriptors that gives how many connections of
	// clients it accepts: a request needs another one for its backend server.
	filesShare = 2
	// connectionMemoryShare is the divisor of a process's memory that gives what connections may take,
	// and connectionBytes what one takes at most: the kernel's buffer of what has arrived and is not
	// read, twice SocketBytes, and the buffers and the stack that serve it.
	connectionMemoryShare = 4
	connectionBytes       = 2*SocketBytes + 24<<10
	// SocketBytes is the size of the kernel's buffers of a connection of a client.
	SocketBytes = 32 << 10
	// minConnections is the least bound of connections.
	minConnections = 16
	// writeStandstill is how long a client may read nothing of its answer, and writeBytes the part of an
	// answer for which that is judged.
	writeStandstill = 10 * time.Second
	writeBytes      = 64 << 10
)

// ConnectionsConfig configures Connections.
type ConnectionsConfig struct {
	MemoryBytes int64 // of the process; 0 if it is not known
	Files       int   // file descriptors that the process may open; 0 if that is not known
	Budget      *Budget
	Meter       *meter.Meter
	Log         log.Interface
}

// Connections bounds the connections of clients. If there are too many, the one yields that has been
// without a request for the longest time, or whose request is furthest behind its pace. It is safe for
// concurrent use.
type Connections struct {
	cfg  ConnectionsConfig
	max  int
	logs *rate.Limiter

	mu   sync.Mutex
	open map[*connection]struct{}
}

// connection is an accepted connection of a client.
type connection struct {
	*net.TCPConn
	owner *Connections

	// Guarded by the owner's mutex.
	isServing bool      // a request has been received on it and is not answered yet
	since     time.Time // when it was accepted, or its last request was answered
}

// NewConnections returns an empty set of connections.
func NewConnections(cfg ConnectionsConfig) *Connections {
	return &Connections{
		cfg: cfg, max: maxConnections(cfg.MemoryBytes, cfg.Files), logs: rate.NewLimiter(rate.Every(logPeriod), 1), open: map[*connection]struct{}{},
	}
}

// maxConnections returns the bound of connections, 0 for none.
func maxConnections(memory int64, files int) int {
	n := 0
	if files > 0 {
		n = files / filesShare
	}
	if memory > 0 {
		if byMemory := int(memory / connectionMemoryShare / connectionBytes); n == 0 || byMemory < n {
			n = byMemory
		}
	}
	if n == 0 {
		return 0
	}

	return max(n, minConnections)
}

// Max returns the bound of connections, 0 for none.
func (co *Connections) Max() int { return co.max }

// Listen returns a listener whose connections are bounded.
func (co *Connections) Listen(ln net.Listener) net.Listener { return &listener{ln, co} }

type listener struct {
	net.Listener
	owner *Connections
}

// Accept implements net.Listener.
func (li *listener) Accept() (net.Conn, error) {
	for {
		conn, err := li.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tc, ok := conn.(*net.TCPConn)
		if !ok {
			_ = conn.Close()

			return nil, errors.New("intake: the listener does not accept TCP connections")
		}
		if c := li.owner.add(tc); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// add takes a connection, or returns nil if there is no room for it.
func (co *Connections) add(tc *net.TCPConn) *connection {
	co.mu.Lock()
	defer co.mu.Unlock()

	if co.max > 0 && len(co.open) >= co.max && !co.makeRoom() {
		co.cfg.Meter.Count("connections.refused")
		co.report("connection refused, all others are in use")

		return nil
	}
	c := &connection{TCPConn: tc, owner: co, since: time.Now()}
	co.open[c] = struct{}{}

	return c
}

// makeRoom closes a connection. The caller holds mu.
func (co *Connections) makeRoom() bool {
	var oldest *connection
	for c := range co.open {
		if !c.isServing && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	if oldest == nil {
		oldest = co.slowest()
	}
	if oldest == nil {
		return false
	}
	delete(co.open, oldest)
	_ = oldest.TCPConn.Close()
	co.cfg.Meter.Count("connections.yielded")
	co.report("connection closed, another one needs its place")

	return true
}

// slowest returns the connection whose request is furthest behind its pace, nil if none is. The caller
// holds mu.
func (co *Connections) slowest() *connection {
	if co.cfg.Budget == nil {
		return nil
	}
	c, _ := co.cfg.Budget.behind().(*connection)
	if _, ok := co.open[c]; !ok {
		return nil
	}

	return c
}

// report logs a change, with at most one line each logPeriod. The caller holds mu.
func (co *Connections) report(what string) {
	if co.logs.Allow() {
		co.cfg.Log.WithFields(log.Fields{"connections": len(co.open), "limit": co.max}).Warn(what)
	}
}

type connectionKey struct{}

// Context returns the context of a connection's requests, for http.Server.ConnContext.
func (co *Connections) Context(ctx context.Context, conn net.Conn) context.Context {
	if tc, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = tc.NetConn() // below TLS
	}

	return context.WithValue(ctx, connectionKey{}, conn)
}

// Handler returns a handler that records which connections serve a request.
func (co *Connections) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
			co.setServing(c, true)
			defer co.setServing(c, false)
		}
		h.ServeHTTP(w, r)
	})
}

func (co *Connections) setServing(c *connection, isServing bool) {
	now := time.Now()
	co.mu.Lock()
	defer co.mu.Unlock()

	c.isServing, c.since = isServing, now
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()

	return c.TCPConn.Close()
}

// Write implements net.Conn. It fails if the client reads nothing for writeStandstill.
func (c *connection) Write(b []byte) (int, error) {
	written := 0
	for {
		part := b[written:min(written+writeBytes, len(b))]
		if err := c.SetWriteDeadline(time.Now().Add(writeStandstill)); err != nil {
			return written, err
		}
		n, err := c.TCPConn.Write(part)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// Measure sets the gauges of the connections.
func (co *Connections) Measure() {
	co.mu.Lock()
	defer co.mu.Unlock()

	co.cfg.Meter.Gauge("connections.open", int64(len(co.open)))
	co.cfg.Meter.Gauge("connections.limit", int64(co.max))
}
