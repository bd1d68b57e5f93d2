package soak_test

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// pair identifies connections by the host that opens them and the one that accepts them.
type pair struct{ from, to string }

// linkFault is the current fault of the connections of a pair. The zero value is no fault.
type linkFault struct {
	delay   time.Duration // added to each chunk in both directions
	isCut   bool          // no bytes pass from the opener to the acceptor
	isMuted bool          // no bytes pass from the acceptor to the opener
	loss    float64       // share of the transmissions of a chunk that are lost
	// retransmits says that what was held back or lost is sent again after timeouts that double, and
	// that the sender's connection ends after acknowledgementTimeout. Otherwise the bytes pass at once
	// when the fault ends.
	retransmits bool
}

const (
	// retransmissionTimeout is the first timeout of TCP on a short link: TCP_RTO_MIN of Linux.
	retransmissionTimeout = 200 * time.Millisecond
	// acknowledgementTimeout is the TCP_USER_TIMEOUT that the programs set.
	acknowledgementTimeout = 1500 * time.Millisecond
)

// network forwards connections over loopback and injects faults into them. Bytes that are
// held back are forwarded once the fault ends, as TCP would retransmit them.
type network struct {
	mu        sync.Mutex
	changed   chan struct{} // closed and replaced with each change of faults
	faults    map[pair]linkFault
	conns     map[net.Conn]pair
	listeners []net.Listener
	bytes     atomic.Int64 // forwarded between the programs
	wg        sync.WaitGroup
}

func newNetwork() *network {
	return &network{changed: make(chan struct{}), faults: map[pair]linkFault{}, conns: map[net.Conn]pair{}}
}

// forward listens on address and forwards each connection to target. If isOwn is set, target
// belongs to one of the programs and the bytes are counted.
func (ne *network) forward(address, target string, isOwn bool) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	ne.mu.Lock()
	ne.listeners = append(ne.listeners, ln)
	ne.mu.Unlock()
	ne.wg.Go(func() {
		for {
			co, err := ln.Accept()
			if err != nil {
				return // the listener was closed
			}
			from := co.RemoteAddr().(*net.TCPAddr).IP.String()
			ne.wg.Go(func() { ne.serve(co, target, pair{from, to}, isOwn) })
		}
	})

	return nil
}

// serve forwards one connection until either side closes it.
func (ne *network) serve(co net.Conn, target string, pa pair, isOwn bool) {
	defer co.Close()
	// From the address of the opener, by which the stand-ins tell the machines apart.
	di := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(pa.from)}}
	up, err := di.Dial("tcp", target)
	if err != nil {
		reset(co) // target does not listen

		return
	}
	defer up.Close()
	ne.mu.Lock()
	ne.conns[co], ne.conns[up] = pa, pa
	ne.mu.Unlock()
	defer func() {
		ne.mu.Lock()
		delete(ne.conns, co)
		delete(ne.conns, up)
		ne.mu.Unlock()
	}()

	done, ended := make(chan struct{}, 2), make(chan struct{})
	var end sync.Once
	copyTo := func(dst, src net.Conn, isBack bool) {
		b := make([]byte, 32<<10)
		for {
			n, err := src.Read(b)
			if n > 0 {
				if isOwn {
					ne.bytes.Add(int64(n))
				}
				if !ne.applyFault(pa, isBack) || isClosed(ended) {
					reset(src)
					isFirst := false
					end.Do(func() { close(ended); isFirst = true })
					if isFirst {
						return // the receiver learns of it when it sends something
					}

					break
				}
				if _, werr := dst.Write(b[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					reset(dst)
				}

				break
			}
		}
		done <- struct{}{}
	}
	go copyTo(up, co, false)
	go copyTo(co, up, true)
	<-done
}

func isClosed(ch chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// forwardedBytes returns the number of bytes forwarded between the programs so far.
func (ne *network) forwardedBytes() int64 { return ne.bytes.Load() }

// applyFault blocks while the direction of a chunk is cut, and then delays the chunk. It returns false if
// the sender's connection ends first, as what was retransmitted is not acknowledged.
func (ne *network) applyFault(pa pair, isBack bool) bool {
	began := time.Now()
	for timeout := retransmissionTimeout; ; timeout *= 2 {
		ne.mu.Lock()
		li, changed := ne.faults[pa], ne.changed
		ne.mu.Unlock()
		isCut := (isBack && li.isMuted) || (!isBack && li.isCut)
		switch {
		case li.retransmits && (isCut || rand.Float64() < li.loss):
			wait := min(timeout, acknowledgementTimeout-time.Since(began))
			if wait <= 0 {
				return false
			}
			time.Sleep(wait)
		case isCut:
			<-changed
		default:
			time.Sleep(li.delay)

			return true
		}
	}
}

// setFault sets the fault of pairs.
func (ne *network) setFault(li linkFault, pairs ...pair) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	for _, pa := range pairs {
		ne.faults[pa] = li
	}
	close(ne.changed)
	ne.changed = make(chan struct{})
}

// clearFaults ends the faults of all pairs.
func (ne *network) clearFaults() {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	clear(ne.faults)
	close(ne.changed)
	ne.changed = make(chan struct{})
}

// reset resets the open connections of pairs.
func (ne *network) reset(pairs ...pair) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	for co, pa := range ne.conns {
		for _, p := range pairs {
			if pa == p {
				reset(co)
			}
		}
	}
}

// close closes all listeners and connections and waits for their goroutines.
func (ne *network) close() {
	ne.clearFaults()
	ne.mu.Lock()
	for _, ln := range ne.listeners {
		_ = ln.Close()
	}
	for co := range ne.conns {
		_ = co.Close()
	}
	ne.mu.Unlock()
	ne.wg.Wait()
}

// reset closes a connection so that the other end receives a reset.
func reset(co net.Conn) {
	if tc, ok := co.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // fails only on a closed connection
	}
	_ = co.Close()
}
