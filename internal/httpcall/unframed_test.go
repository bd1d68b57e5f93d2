package httpcall_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/httpcall"
)

// Guards against the sizes of chunks that reach callers as a part of the body, as the head does not say that it
// is in chunks.
var _ = ginkgo.Describe("a body that ends with its connection", func() {
	const stream = "Content-Type: text/event-stream; charset=utf-8\r\n"
	for _, tc := range []struct {
		name, fields, body string
		isWhole            bool
	}{
		{"may be empty", "", "", true},
		{"may begin with a number", "", "5\r\ntext\r\n\r\n", true},
		{"may end like one in chunks", "", "text\r\n0\r\n\r\n", true},
		{"may be a number", "", "0\r\n", true},
		{"may hold events", stream, "id: 1\ndata: a\n\n", true},
		{"may hold events with another end of lines", stream, "id: 1\r\ndata: a\r\n\r\n", true},
		{"is not in chunks", "", "4\r\ntext\r\n0\r\n\r\n", false},
		{"is not in chunks with extensions", "", "4;a=b\r\ntext\r\n0\r\n\r\n", false},
		{"does not hold events in chunks, without an end either", stream, "1f\r\nid: 1\ndata: a\n\n", false},
	} {
		ginkgo.It(tc.name+", also in pieces", func() {
			ln := serveOnce(func(co *net.TCPConn, _ *bufio.Reader, rq *http.Request) {
				_, _ = io.WriteString(co, "HTTP/1.1 200 OK\r\n"+tc.fields+"\r\n")
				_, _ = io.Copy(io.Discard, rq.Body)
				for _, piece := range strings.Split(tc.body, "") {
					_, _ = io.WriteString(co, piece)
					time.Sleep(10 * time.Microsecond)
				}
			})
			defer ln.Close()
			body, err := post(context.Background(), httpcall.NewClient("", true), ln, strings.NewReader("x"))
			if tc.isWhole {
				Expect(err).NotTo(HaveOccurred())
				Expect(body).To(Equal(tc.body))
			} else {
				Expect(err).To(HaveOccurred(), "%q", body)
			}
		})
	}
})
