package httpcall_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/httpcall"
)

// uploadBytes is the size of a request's body that the buffers of two sockets do not hold.
const uploadBytes = 16 << 20

const unframedAnswer = "HTTP/1.1 200 OK\r\n\r\npart"

// serveOnce accepts connections and passes each to serve with the head of its first request.
func serveOnce(serve func(co *net.TCPConn, br *bufio.Reader, rq *http.Request)) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() {
		for {
			co, err := ln.Accept()
			if err != nil {
				return // the listener was closed
			}
			go func() {
				defer co.Close()
				br := bufio.NewReader(co)
				if rq, err := http.ReadRequest(br); err == nil {
					serve(co.(*net.TCPConn), br, rq)
				}
			}()
		}
	}()

	return ln
}

// post sends a request with a body and reads its answer to the end.
func post(ctx context.Context, hc *http.Client, ln net.Listener, body io.Reader) (string, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ln.Addr().String(), body)
	Expect(err).NotTo(HaveOccurred())
	rs, err := hc.Do(rq)
	if err != nil {
		return "", err
	}
	defer rs.Body.Close()
	b, err := io.ReadAll(rs.Body)

	return string(b), err
}

// Guards against a part of an answer without a length that is taken for the whole: if the write of the
// request meets the reset of the connection, the read of the answer after it reports a regular end.
var _ = ginkgo.Describe("an answer without a length that comes during the upload", func() {
	for _, tc := range []struct {
		name    string
		times   int
		end     func(co *net.TCPConn, br *bufio.Reader)
		isWhole bool
	}{
		{"is broken if the connection is reset", 20, func(co *net.TCPConn, _ *bufio.Reader) {
			time.Sleep(2 * time.Millisecond)
			_ = co.SetLinger(0)
		}, false},
		{"is broken if the server ends the connection and reads nothing more", 20, func(*net.TCPConn, *bufio.Reader) {}, false},
		{"is broken if the server never reads the request", 1, func(co *net.TCPConn, _ *bufio.Reader) {
			_ = co.CloseWrite()
			time.Sleep(time.Second)
		}, false},
		{"is whole if the server reads the request to its end", 20, func(co *net.TCPConn, br *bufio.Reader) {
			_ = co.CloseWrite()
			_, _ = io.Copy(io.Discard, br)
		}, true},
	} {
		ginkgo.It(tc.name, func() {
			ln := serveOnce(func(co *net.TCPConn, br *bufio.Reader, _ *http.Request) {
				_, _ = io.WriteString(co, unframedAnswer)
				tc.end(co, br)
			})
			defer ln.Close()
			hc := httpcall.NewClient("", true)
			for range tc.times {
				ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
				body, err := post(ctx, hc, ln, bytes.NewReader(make([]byte, uploadBytes)))
				cancel()
				if tc.isWhole {
					Expect(err).NotTo(HaveOccurred())
					Expect(body).To(Equal("part"))

					continue
				}
				Expect(err).To(HaveOccurred(), "%q", body)
			}
		})
	}
})

// BenchmarkExchange measures a small request and its answer on a kept connection.
func BenchmarkExchange(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	sv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for _, name := range []string{"Attempt-Id", "Server-Stamp", "Server-Load", "Weight-Versions"} {
			w.Header().Set(name, "9c41d07be2a35f68")
		}
		_, _ = io.WriteString(w, "answer")
	})}
	defer sv.Close()
	go func() { _ = sv.Serve(ln) }()
	hc := httpcall.NewClient("", true)
	b.ReportAllocs()
	for b.Loop() {
		rs, err := hc.Post("http://"+ln.Addr().String(), "text/plain", bytes.NewReader([]byte("request")))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, rs.Body)
		_ = rs.Body.Close()
	}
}
