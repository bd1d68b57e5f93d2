package httpcall_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/httpcall"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "httpcall") }

var _ = ginkgo.Describe("a client that adapts to the servers' keep-alive time", func() {
	ginkgo.It("keeps idle connections for the shortest time that a server announced", func() {
		var opened atomic.Int64
		announced := ""
		sv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if announced != "" {
				w.Header().Set("Keep-Alive", announced)
			}
		}))
		sv.Config.ConnState = func(_ net.Conn, st http.ConnState) {
			if st == http.StateNew {
				opened.Add(1)
			}
		}
		sv.Start()
		defer sv.Close()
		cl := httpcall.NewAdaptive(httpcall.Config{KeepAlive: true, Idle: 20 * time.Millisecond})
		get := func() {
			rs, err := cl.Get(sv.URL)
			Expect(err).NotTo(HaveOccurred())
			Expect(rs.Body.Close()).To(Succeed())
		}
		get()
		time.Sleep(60 * time.Millisecond)
		get()
		Expect(opened.Load()).To(Equal(int64(2)))

		announced = "timeout=9223372036854775" // overflows as a duration, and would end the idle time
		for range 3 {
			get()
			time.Sleep(60 * time.Millisecond)
		}
		get()
		Expect(opened.Load()).To(Equal(int64(5)))
		opened.Store(2)

		announced = "timeout=60"
		get()
		get() // opens the first connection that is kept for longer
		time.Sleep(60 * time.Millisecond)
		get()
		Expect(opened.Load()).To(Equal(int64(3)))

		announced = "timeout=120, max=5"
		get()
		get()
		Expect(opened.Load()).To(Equal(int64(3)), "a longer time that a server announces later changes nothing")
	})
})

// Guards against a request that was given up during a partition and reaches its server when the
// partition heals: the bytes of a connection that is closed in the usual way stay queued.
var _ = ginkgo.Describe("a request that is given up", func() {
	for _, tc := range []struct {
		name    string
		isReset bool
		want    error
	}{
		{"resets its connection, so that nothing of it is sent any more", true, syscall.ECONNRESET},
		{"is sent to its end otherwise", false, io.ErrUnexpectedEOF},
	} {
		ginkgo.It(tc.name, func() {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			defer ln.Close()
			ctx, cancel := context.WithCancel(context.Background())
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				cl := httpcall.New(httpcall.Config{KeepAlive: true, ResetOnClose: tc.isReset})
				_, _ = httpcall.JSON(ctx, cl, http.MethodPost, "http://"+ln.Addr().String(), strings.Repeat("x", 32<<20), nil) // it is given up
			}()
			co, err := ln.Accept()
			Expect(err).NotTo(HaveOccurred())
			defer co.Close()
			time.Sleep(50 * time.Millisecond) // more is written than the server has room for
			cancel()
			<-sent
			rq, err := http.ReadRequest(bufio.NewReader(co))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, rq.Body)
			Expect(errors.Is(err, tc.want)).To(BeTrue(), "%v", err)
		})
	}
})
