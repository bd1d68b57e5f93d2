package peer

import (
	"net"
	"sync"
)

// maxPendingBytes bounds the bytes that wait to be written to one connection; a single
// write may exceed it.
const maxPendingBytes = 1 << 20

// coalescer combines the small writes of many streams into few system calls. A
// write returns once its bytes are queued; an error of the connection comes back
// with a later write, and ends the session as it does without the queue.
type coalescer struct {
	net.Conn
	mu          sync.Mutex
	changed     *sync.Cond
	pending     []byte
	spareBuffer []byte // the buffer written last, reused for pending
	err         error
	closed      bool
}

func newCoalescer(conn net.Conn) *coalescer {
	co := &coalescer{Conn: conn}
	co.changed = sync.NewCond(&co.mu)
	go co.flushLoop()

	return co
}

// Write queues b. It blocks while more than maxPendingBytes are queued.
func (co *coalescer) Write(b []byte) (int, error) {
	co.mu.Lock()
	defer co.mu.Unlock()

	for len(co.pending) > maxPendingBytes && co.err == nil && !co.closed {
		co.changed.Wait()
	}
	if co.closed {
		return 0, net.ErrClosed
	}
	if co.err != nil {
		return 0, co.err
	}
	co.pending = append(co.pending, b...)
	co.changed.Broadcast()

	return len(b), nil
}

// flushLoop writes what is queued until the connection is closed or fails.
func (co *coalescer) flushLoop() {
	co.mu.Lock()
	defer co.mu.Unlock()

	for {
		for len(co.pending) == 0 && !co.closed {
			co.changed.Wait()
		}
		if len(co.pending) == 0 || co.err != nil {
			_ = co.Conn.Close()

			return
		}
		b := co.pending
		co.pending = co.spareBuffer[:0]
		co.changed.Broadcast()
		co.mu.Unlock()
		_, err := co.Conn.Write(b)
		co.mu.Lock()
		if co.spareBuffer = b; cap(b) > maxRetainedBytes {
			co.spareBuffer = nil
		}
		if err != nil {
			co.err = err
		}
	}
}

// Close returns at once; flushLoop writes what is queued and then closes the connection.
func (co *coalescer) Close() error {
	co.mu.Lock()
	defer co.mu.Unlock()

	co.closed = true
	co.changed.Broadcast()

	return nil
}
