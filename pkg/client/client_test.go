package client_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/plainservice"
	"github.com/tamarackbay/tamarackbay/internal/suite"
	"github.com/tamarackbay/tamarackbay/pkg/client"
)

func TestSuite(t *testing.T) { suite.Run(t, "client") }

// uploadBytes is the size of a request's body that the buffers of two sockets do not hold.
const uploadBytes = 16 << 20

// startRaw starts a server that answers each request with the given bytes before it has read the body, and
// resets the connection then, or reads the request and ends the connection.
func startRaw(answer string, resets bool) net.Listener {
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
				rq, err := http.ReadRequest(bufio.NewReader(co))
				if err != nil {
					return
				}
				_, _ = io.WriteString(co, answer)
				if resets {
					time.Sleep(2 * time.Millisecond)
					_ = co.(*net.TCPConn).SetLinger(0)

					return
				}
				_, _ = io.Copy(io.Discard, rq.Body)
			}()
		}
	}()

	return ln
}

// Guards against broken answers that callers of the own interface, and gateways that call plain services for
// them, take for whole.
var _ = ginkgo.Describe("a broken answer", func() {
	ctx := context.Background()
	callers := []struct {
		name string
		call func(address string, body []byte) (string, error)
	}{
		{"of a gateway", func(address string, body []byte) (string, error) {
			b, err := client.New(client.Config{Gateways: []string{"http://" + address}}).Call(ctx, http.MethodPost, "r", "/x", body, "")

			return string(b), err
		}},
		{"of a plain service", func(address string, body []byte) (string, error) {
			var out []byte
			err := plainservice.New(address, "").Do(ctx, plainservice.Request{ID: "i", Method: http.MethodPost, Path: "/x", Body: body},
				func(int, http.Header) error { return nil }, func(b []byte) error {
					out = append(out, b...)

					return nil
				})

			return string(out), err
		}},
	}
	for _, ca := range callers {
		for _, tc := range []struct {
			name, answer string
			bytes        int
			resets       bool
			isWhole      bool
		}{
			{"is not one without a length", "HTTP/1.1 200 OK\r\n\r\ntext", 1, false, true},
			{"is not one without a length that comes before the upload is in", "HTTP/1.1 200 OK\r\n\r\ntext", uploadBytes, false, true},
			{"is one that is cut by a reset during the upload", "HTTP/1.1 200 OK\r\n\r\ntext", uploadBytes, true, false},
			{"is one with a blank in the name of a field", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n", 1, false, false},
			{"is one with status 000", "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\ntext", 1, false, false},
		} {
			ginkgo.It(ca.name+" "+tc.name, func() {
				ln := startRaw(tc.answer, tc.resets)
				defer ln.Close()
				body, err := ca.call(ln.Addr().String(), make([]byte, tc.bytes))
				if tc.isWhole {
					Expect(err).NotTo(HaveOccurred())
					Expect(body).To(Equal("text"))
				} else {
					Expect(err).To(HaveOccurred(), "%q", body)
				}
			})
		}
	}
})
