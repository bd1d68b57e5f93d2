package soak_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// Offsets and codes of the kernel's socket filters, of linux/filter.h and linux/bpf_common.h.
const (
	loadWord       = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS
	jumpIfEqual    = unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K
	jumpIfAtLeast  = unix.BPF_JMP | unix.BPF_JGE | unix.BPF_K
	returnConstant = unix.BPF_RET | unix.BPF_K

	sourceAddress = 0xfff00000 + 12 // SKF_NET_OFF, and the offset in an IPv4 header
	randomWord    = 0xfffff000 + 56 // SKF_AD_OFF + SKF_AD_RANDOM

	passPacket, dropPacket = math.MaxUint32, 0
)

// packetLoss is the share of the packets from one IPv4 address that a socket does not receive.
type packetLoss struct {
	from  string // empty for any
	share float64
}

// losePackets lets the kernel drop packets that a TCP socket would receive, as a link that loses them does:
// opening packets at a listener, data and acknowledgements at a connection. The sender's kernel sends them again
// at its own times. What the socket itself sends arrives: to an opener, a lost answer is like a lost
// opening packet. It replaces the losses before, and none ends them.
func losePackets(so syscall.Conn, losses ...packetLoss) error {
	rc, err := so.SyscallConn()
	if err != nil {
		return err
	}
	set := func(fd uintptr) error {
		if len(losses) == 0 {
			return unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		}
		fi := filterOf(losses)

		return unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(fi)), Filter: &fi[0]})
	}
	var serr error
	err = rc.Control(func(fd uintptr) { serr = set(fd) })
	if errors.Is(serr, unix.ENOENT) {
		serr = nil // there was no filter
	}

	return errors.Join(err, serr)
}

// filterOf returns the program of a socket filter.
func filterOf(losses []packetLoss) []unix.SockFilter {
	var out []unix.SockFilter
	for _, lo := range losses {
		drop := []unix.SockFilter{{Code: returnConstant, K: dropPacket}}
		if lo.share < 1 {
			drop = append([]unix.SockFilter{
				{Code: loadWord, K: randomWord},
				{Code: jumpIfAtLeast, K: uint32(lo.share * math.MaxUint32), Jt: 1},
			}, drop...)
		}
		if lo.from != "" {
			ip := net.ParseIP(lo.from).To4()
			source := uint32(ip[0])<<24 | uint32(ip[1])<<16 | uint32(ip[2])<<8 | uint32(ip[3])
			out = append(out, unix.SockFilter{Code: loadWord, K: sourceAddress}, unix.SockFilter{Code: jumpIfEqual, K: source, Jf: uint8(len(drop))})
		}
		out = append(out, drop...)
	}

	return append(out, unix.SockFilter{Code: returnConstant, K: passPacket})
}

// Guards against a forwarder that accepts connections whose first packet a link would lose, and that loses or repeats
// bytes.
var _ = ginkgo.Describe("lost packets", func() {
	const (
		opener, other, acceptor = "127.97.1.1", "127.97.1.2", "127.97.2.1"
		dialTimeout             = 500 * time.Millisecond
		openingTimeout          = time.Second // TCP_TIMEOUT_INIT of Linux
	)
	var ne *network
	var address string
	var target net.Listener
	var reached atomic.Int64 // connections to the target
	dial := func(from string, timeout time.Duration) (net.Conn, time.Duration, error) {
		di := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
		began := time.Now()
		co, err := di.Dial("tcp", address)

		return co, time.Since(began), err
	}
	ginkgo.BeforeEach(func() {
		var err error
		target, err = net.Listen("tcp", acceptor+":0")
		Expect(err).NotTo(HaveOccurred())
		reached.Store(0)
		ln := target // the next spec sets target, which the goroutine may still read
		go func() {
			for {
				co, err := ln.Accept()
				if err != nil {
					return // closed
				}
				reached.Add(1)
				go func() {
					defer co.Close()
					_, _ = io.Copy(co, co) // ends with the connection
				}()
			}
		}()
		ne = newNetwork()
		free, err := net.Listen("tcp", acceptor+":0")
		Expect(err).NotTo(HaveOccurred())
		address = free.Addr().String()
		Expect(free.Close()).To(Succeed())
		Expect(ne.forward(address, target.Addr().String(), false)).To(Succeed())
	})
	ginkgo.AfterEach(func() {
		ne.close()
		Expect(target.Close()).To(Succeed())
	})

	for _, li := range []linkFault{{loss: 1}, {isCut: true, retransmits: true}, {isMuted: true, retransmits: true}} {
		ginkgo.It(fmt.Sprintf("make the opener's dial time out, and the target is not reached: %+v", li), func() {
			ne.setFault(li, pair{opener, acceptor})
			_, took, err := dial(opener, dialTimeout)
			var timeout net.Error
			Expect(errors.As(err, &timeout) && timeout.Timeout()).To(BeTrue(), "%v", err)
			Expect(took).To(BeNumerically("~", dialTimeout, dialTimeout/5))
			co, took, err := dial(other, dialTimeout)
			Expect(err).NotTo(HaveOccurred(), "another opener is not affected")
			Expect(took).To(BeNumerically("<", dialTimeout/2))
			Expect(co.Close()).To(Succeed())
			Eventually(reached.Load, dialTimeout, "1ms").Should(BeEquivalentTo(1))
			// The opening packet is sent again at the times of the opener's kernel.
			time.AfterFunc(dialTimeout, ne.clearFaults)
			co, took, err = dial(opener, 4*openingTimeout)
			Expect(err).NotTo(HaveOccurred())
			Expect(co.Close()).To(Succeed())
			Expect(took).To(BeNumerically("~", openingTimeout, openingTimeout/4))
		})
	}

	ginkgo.It("are sent again, and the receiver gets the bytes once", func() {
		const share, size, chunks = 0.2, 1000, 40
		ne.setFault(linkFault{loss: share}, pair{opener, acceptor})
		co, _, err := dial(opener, 20*time.Second)
		Expect(err).NotTo(HaveOccurred())
		defer co.Close()
		sent := make([]byte, size*chunks)
		for i := range sent {
			sent[i] = byte(rand.IntN(256))
		}
		began := time.Now()
		go func() {
			for b := sent; len(b) > 0; b = b[size:] {
				_, _ = co.Write(b[:size]) // seen below
				time.Sleep(time.Millisecond)
			}
		}()
		got := make([]byte, len(sent))
		Expect(co.SetReadDeadline(began.Add(20 * time.Second))).To(Succeed())
		_, err = io.ReadFull(co, got)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(got, sent)).To(BeTrue())
		rc, err := co.(*net.TCPConn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		Expect(rc.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			Expect(err).NotTo(HaveOccurred())
			Expect(info.Total_retrans).To(BeNumerically(">", 0), "segments that the opener sent again")
		})).To(Succeed())
		Expect(co.SetReadDeadline(time.Now().Add(500 * time.Millisecond))).To(Succeed())
		_, err = co.Read(got)
		Expect(err).To(MatchError(os.ErrDeadlineExceeded), "nothing arrives twice")
	})
})
