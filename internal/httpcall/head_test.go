package httpcall_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/httpcall"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

const soundHead = "HTTP/1.1 200 OK\r\nX-Note: a\r\nContent-Length: 4\r\n\r\n"

// Guards against heads that net/http accepts although they are not ones by the grammar of the protocol.
var _ = ginkgo.Describe("the head of an answer", func() {
	for _, tc := range []struct {
		name, answer string
		isValid      bool
	}{
		{"is valid", soundHead, true},
		{"is valid after those of interim answers", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + soundHead, true},
		{"may not be damaged in an interim answer", "HTTP/1.1 103 Early Hints\r\nLink : a\r\n\r\n" + soundHead, false},
		{"may not be damaged after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n" + strings.Replace(soundHead, "X-Note:", "X-Note :", 1), false},
		{"has no blank in the name of a field", strings.Replace(soundHead, "X-Note", "X Note", 1), false},
		{"has no folded lines", strings.Replace(soundHead, "X-Note", " X-Note", 1), false},
		{"has no line feed alone as the end of a line", strings.Replace(soundHead, "a\r\n", "a\n", 1), false},
		{"has no line feed alone as its end", strings.Replace(soundHead, "\r\n\r\n", "\r\n\n", 1), false},
		{"has one blank after the version", strings.Replace(soundHead, "1.1 ", "1.1  ", 1), false},
		{"has a status of digits", strings.Replace(soundHead, "200", "+20", 1), false},
		{"has a status of 100 or more", strings.Replace(soundHead, "200", "000", 1), false},
		{"has a status below 600", strings.Replace(soundHead, "200", "600", 1), false},
		{"has a status that ends a request", strings.Replace(soundHead, "200", "101", 1), false},
		{"has no reason of another status", strings.Replace(soundHead, "200 OK", "200 Bad Gateway", 1), false},
		{"has no chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"has no length beside chunks", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n", false},
		{"announces no body with a status that has none", "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\n", false},
		{"has a version that is spoken", strings.Replace(soundHead, "1.1", "3.1", 1), false},
	} {
		ginkgo.It(tc.name+", also in pieces, and leaves its connection unused otherwise", func() {
			var opened atomic.Int64
			ln := serveOnce(func(co *net.TCPConn, br *bufio.Reader, rq *http.Request) {
				opened.Add(1)
				for err := error(nil); err == nil; rq, err = http.ReadRequest(br) {
					pieces := []string{tc.answer + "text"}
					if rq.URL.Path == "/pieces" {
						pieces = strings.Split(pieces[0], "")
					}
					_, _ = io.Copy(io.Discard, rq.Body)
					for _, piece := range pieces {
						_, _ = io.WriteString(co, piece)
						time.Sleep(time.Duration(len(pieces)-1) * time.Microsecond)
					}
				}
			})
			defer ln.Close()
			hc := httpcall.NewClient("", true)
			for _, path := range []string{"/", "/pieces", "/"} {
				rq, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+ln.Addr().String()+path, strings.NewReader("x"))
				Expect(err).NotTo(HaveOccurred())
				rq.GetBody = nil
				rs, err := hc.Do(rq)
				if !tc.isValid {
					Expect(err).To(HaveOccurred())
					Expect(httpcall.Failure("call", err).Execution).To(Equal(result.ExecutionUnknown))

					continue
				}
				Expect(err).NotTo(HaveOccurred())
				b, err := io.ReadAll(rs.Body)
				Expect(err).NotTo(HaveOccurred())
				Expect(string(b)).To(Equal("text"))
			}
			if tc.isValid {
				Expect(opened.Load()).To(Equal(int64(1)))
			} else {
				Expect(opened.Load()).To(Equal(int64(3)))
			}
		})
	}

	ginkgo.It("may have status 204 and no length, or one of 0", func() {
		for _, field := range []string{"", "Content-Length: 0\r\n"} {
			ln := serveOnce(func(co *net.TCPConn, _ *bufio.Reader, _ *http.Request) {
				_, _ = io.WriteString(co, "HTTP/1.1 204 No Content\r\n"+field+"\r\n")
			})
			_, err := post(context.Background(), httpcall.NewClient("", true), ln, strings.NewReader("x"))
			Expect(err).NotTo(HaveOccurred())
			Expect(ln.Close()).To(Succeed())
		}
	})

	for _, tc := range []struct {
		name, surplus string
		isValid       bool
	}{
		{"does not announce less than the body", "x", false},
		{"is valid if another answer follows", soundHead + "next", true},
	} {
		ginkgo.It(tc.name+", and leaves its connection unused then", func() {
			var opened atomic.Int64
			ln := serveOnce(func(co *net.TCPConn, br *bufio.Reader, rq *http.Request) {
				opened.Add(1)
				for err := error(nil); err == nil; rq, err = http.ReadRequest(br) {
					_, _ = io.Copy(io.Discard, rq.Body)
					_, _ = io.WriteString(co, soundHead+"text"+tc.surplus)
				}
			})
			defer ln.Close()
			hc := httpcall.NewClient("", true)
			for n := range int64(20) {
				body, err := post(context.Background(), hc, ln, io.MultiReader(strings.NewReader("x"))) // not repeated by net/http
				if tc.isValid {
					Expect(err).NotTo(HaveOccurred())
					Expect(body).To(Equal("text"))
				} else {
					Expect(err).To(HaveOccurred(), "%q", body)
				}
				Expect(opened.Load()).To(Equal(n + 1))
			}
		})
	}

	// Guards against bytes of a head that hide where the body ends, wherever they are.
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nX-Note: a\r\nContent-Length: 4\r\nConnection: close\r\n\r\ntext",
		"HTTP/1.1 200 OK\r\nX-Note: a\r\nTransfer-Encoding: chunked\r\nServer-Stamp: a\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
	} {
		ginkgo.It(fmt.Sprintf("with one byte replaced brings no other body: %.60q", answer), func() {
			ln := serveOnce(func(co *net.TCPConn, _ *bufio.Reader, rq *http.Request) {
				var at, value int
				_, _ = fmt.Sscanf(rq.URL.Path, "/%d/%d", &at, &value)
				_, _ = io.Copy(io.Discard, rq.Body)
				_, _ = io.WriteString(co, answer[:at]+string([]byte{byte(value)})+answer[at+1:])
			})
			defer ln.Close()
			hc := httpcall.New(httpcall.Config{})
			for at := range strings.Index(answer, "\r\n\r\n") + len("\r\n\r\n") {
				for _, value := range []byte("\x00\t\n\r !\"+,-./0123456789:;=AZaz~\x7f\x80\xff") {
					rs, err := hc.Get(fmt.Sprintf("http://%s/%d/%d", ln.Addr(), at, value))
					if err != nil {
						continue
					}
					b, err := io.ReadAll(rs.Body)
					_ = rs.Body.Close()
					if err == nil {
						Expect(string(b)).To(Equal("text"), "byte %d is %q", at, value)
						Expect(rs.StatusCode).To(And(BeNumerically(">=", 200), BeNumerically("<", 600)))
					}
				}
			}
		})
	}
})
