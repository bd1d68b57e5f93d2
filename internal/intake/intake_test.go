package intake_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/intake"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "intake") }

// memory gives a budget of 256 KiB.
const memory = 3 * 256 << 10

// clock is a time that a test sets.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (cl *clock) Now() time.Time {
	cl.mu.Lock()
	defer cl.mu.Unlock()

	return cl.now
}

func (cl *clock) advance(d time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.now = cl.now.Add(d)
}

var _ = ginkgo.Describe("a budget", func() {
	ginkgo.It("leaves a part to small requests", func() {
		bu := intake.NewBudget(intake.Config{MemoryBytes: memory})
		large := bu.Hold()
		Expect(large.Grow(bu.Capacity() * 15 / 16)).To(Succeed())
		another := bu.Hold()
		err := another.Grow(intake.SmallBytes + 1)
		Expect(result.Is(err, result.ProcessOverloaded)).To(BeTrue())
		Expect(result.From(err).Execution).To(Equal(result.NotRun))
		Expect(result.From(err).RetryAfter).To(BeNumerically(">", 0))
		small := bu.Hold()
		Expect(small.Grow(intake.SmallBytes)).To(Succeed())
		large.Close()
		Expect(another.Grow(intake.SmallBytes + 1)).To(Succeed())
		another.Close()
		small.Close()
		small.Close() // gives nothing back twice
		Expect(bu.Used()).To(BeZero())
	})

	ginkgo.It("holds what a request has not given back", func() {
		bu := intake.NewBudget(intake.Config{MemoryBytes: memory})
		le := bu.Hold()
		Expect(le.Grow(1000)).To(Succeed())
		le.Shrink(400)
		Expect(bu.Used()).To(Equal(int64(600)))
		le.Shrink(4000)
		Expect(bu.Used()).To(BeZero())
	})
})

// server serves bodies within a budget. It answers with the size of the body, after release is closed.
type server struct {
	budget  *intake.Budget
	clock   *clock
	address string
	release chan struct{}
	close   func()
}

func startServer(max int, limits intake.Limits) *server {
	sv := &server{clock: &clock{now: time.Now()}, release: make(chan struct{})}
	lo := &log.Logger{Handler: discard.Default, Level: log.FatalLevel}
	sv.budget = intake.NewBudget(intake.Config{MemoryBytes: memory, Now: sv.clock.Now, Standstill: 2 * time.Second})
	co := intake.NewConnections(intake.ConnectionsConfig{Files: 2 * max, Budget: sv.budget, Meter: meter.New(), Log: lo})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	hs := &http.Server{ConnContext: co.Context, Handler: co.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := intake.CheckHead(r, limits)
		if err != nil {
			intake.CloseAfterAnswer(w)
			w.WriteHeader(result.Lookup(result.From(err).Code).Status)

			return
		}
		body, le, err := sv.budget.Read(w, r, limits)
		if err != nil {
			w.WriteHeader(result.Lookup(result.From(err).Code).Status)

			return
		}
		defer le.Close()
		if r.URL.Path == "/wait" {
			<-sv.release
		}
		_, _ = fmt.Fprint(w, body.Len())
	}))}
	go func() { _ = hs.Serve(co.Listen(ln)) }()
	sv.address, sv.close = ln.Addr().String(), func() { _ = hs.Close() }

	return sv
}

// dial opens a connection and writes text.
func (sv *server) dial(text string) net.Conn {
	conn, err := net.Dial("tcp", sv.address)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(conn, text)
	Expect(err).NotTo(HaveOccurred())

	return conn
}

// status reads an answer and returns its status, 0 if the connection broke.
func status(conn net.Conn) int {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	rs, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}

	return rs.StatusCode
}

const head = "POST / HTTP/1.1\r\nHost: h\r\n"

var _ = ginkgo.Describe("a body", func() {
	const limit = 200 << 10
	var sv *server
	ginkgo.BeforeEach(func() { sv = startServer(100, intake.Limits{HeadBytes: 2000, BodyBytes: limit}) })
	ginkgo.AfterEach(func() { sv.close() })

	for _, tc := range []struct {
		name, text string
		status     int
	}{
		{"of the largest size is read", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", limit) + strings.Repeat("x", limit), http.StatusOK},
		{"of the largest size is read in chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("5000\r\n"+strings.Repeat("x", 0x5000)+"\r\n", 10) + "0\r\n\r\n", http.StatusOK},
		{"is read in chunks of one byte", head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 5000) + "0\r\n\r\n", http.StatusOK},
		{"over the limit is refused once it is announced", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", limit+1), http.StatusRequestEntityTooLarge},
		{"over the limit is refused when it exceeds it", head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("5000\r\n"+strings.Repeat("x", 0x5000)+"\r\n", 11), http.StatusRequestEntityTooLarge},
		{"after a head over the limit is refused", head + "X: " + strings.Repeat("x", 2000) + "\r\nContent-Length: 9\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"that is not one is refused", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", http.StatusBadRequest},
	} {
		ginkgo.It(tc.name, func() {
			conn := sv.dial(tc.text)
			defer conn.Close()
			Expect(status(conn)).To(Equal(tc.status))
			Eventually(sv.budget.Used, "5s").Should(BeZero())
		})
	}

	ginkgo.It("leaves its connection usable", func() {
		conn := sv.dial(strings.Repeat(head+"Content-Length: 3\r\n\r\nabc", 1))
		defer conn.Close()
		Expect(status(conn)).To(Equal(http.StatusOK))
		_, err := io.WriteString(conn, head+"Content-Length: 3\r\n\r\nabc")
		Expect(err).NotTo(HaveOccurred())
		Expect(status(conn)).To(Equal(http.StatusOK))
	})

	ginkgo.It("that stands still is refused as too slow", func() {
		conn := sv.dial(head + "Content-Length: 100\r\n\r\nx")
		defer conn.Close()
		Expect(status(conn)).To(Equal(http.StatusRequestTimeout))
	})

	ginkgo.It("that stopped yields to one that needs its room, and one that moves does not", func() {
		part := strings.Repeat("x", 150<<10)
		stopped := sv.dial(head + fmt.Sprintf("Content-Length: %d\r\n\r\n", limit) + part)
		defer stopped.Close()
		Eventually(sv.budget.Used, "5s").Should(BeNumerically(">=", 150<<10))

		refused := sv.dial(head + fmt.Sprintf("Content-Length: %d\r\n\r\n", limit) + part)
		defer refused.Close()
		Expect(status(refused)).To(Equal(http.StatusServiceUnavailable), "nobody is behind the pace")

		sv.clock.advance(1500 * time.Millisecond)
		served := sv.dial(head + fmt.Sprintf("Content-Length: %d\r\n\r\n", 150<<10) + part)
		defer served.Close()
		Expect(status(served)).To(Equal(http.StatusOK))
		Expect(status(stopped)).To(Equal(http.StatusServiceUnavailable))
	})

	ginkgo.It("that is complete does not yield", func() {
		part := strings.Repeat("x", 150<<10)
		served := sv.dial("POST /wait HTTP/1.1\r\nHost: h\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n", 150<<10) + part)
		defer served.Close()
		Eventually(sv.budget.Used, "5s").Should(BeNumerically(">=", 150<<10))
		time.Sleep(50 * time.Millisecond) // its last bytes are read
		sv.clock.advance(time.Minute)
		refused := sv.dial(head + fmt.Sprintf("Content-Length: %d\r\n\r\n", limit) + part)
		defer refused.Close()
		Expect(status(refused)).To(Equal(http.StatusServiceUnavailable))
		close(sv.release)
		Expect(status(served)).To(Equal(http.StatusOK))
	})
})

var _ = ginkgo.Describe("connections", func() {
	const most = 20
	var sv *server
	ginkgo.BeforeEach(func() { sv = startServer(most, intake.Limits{BodyBytes: 1 << 10}) })
	ginkgo.AfterEach(func() { sv.close() })

	ginkgo.It("that are without a request yield, the oldest first", func() {
		var idle []net.Conn
		for range most {
			conn := sv.dial("")
			defer conn.Close()
			idle = append(idle, conn)
			time.Sleep(2 * time.Millisecond)
		}
		conn := sv.dial(head + "Content-Length: 0\r\n\r\n")
		defer conn.Close()
		Expect(status(conn)).To(Equal(http.StatusOK))
		Expect(status(idle[0])).To(BeZero())
		_, err := io.WriteString(idle[most-1], head+"Content-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(status(idle[most-1])).To(Equal(http.StatusOK))
	})

	ginkgo.It("whose requests are being served do not yield", func() {
		for range most {
			conn := sv.dial("POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
			defer conn.Close()
		}
		time.Sleep(100 * time.Millisecond)
		conn, err := net.Dial("tcp", sv.address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, _ = io.WriteString(conn, head+"Content-Length: 0\r\n\r\n") // the connection may be closed already
		Expect(status(conn)).To(BeZero())
		close(sv.release)
	})

	ginkgo.It("whose bodies stopped yield", func() {
		for range most {
			conn := sv.dial(head + "Content-Length: 100\r\n\r\nx")
			defer conn.Close()
		}
		time.Sleep(100 * time.Millisecond)
		sv.clock.advance(1500 * time.Millisecond)
		conn := sv.dial(head + "Content-Length: 0\r\n\r\n")
		defer conn.Close()
		Expect(status(conn)).To(Equal(http.StatusOK))
	})
})

// benchmarkRead measures the path of a request with a body of some size.
func benchmarkRead(b *testing.B, size int, read func(w http.ResponseWriter, r *http.Request)) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	hs := &http.Server{Handler: http.HandlerFunc(read)}
	go func() { _ = hs.Serve(ln) }()
	defer hs.Close()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	text := append([]byte(head+fmt.Sprintf("Content-Length: %d\r\n\r\n", size)), bytes.Repeat([]byte("x"), size)...)
	br := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(text); err != nil {
			b.Fatal(err)
		}
		rs, err := http.ReadResponse(br, nil)
		if err != nil {
			b.Fatal(err)
		}
		_ = rs.Body.Close()
	}
}

func BenchmarkRead(b *testing.B) {
	bu := intake.NewBudget(intake.Config{MemoryBytes: 112 << 20})
	limits := intake.Limits{HeadBytes: 16384, BodyBytes: 32 << 20}
	for _, size := range []int{0, 800, 64 << 10, 4 << 20} {
		b.Run(fmt.Sprintf("intake/%d", size), func(b *testing.B) {
			benchmarkRead(b, size, func(w http.ResponseWriter, r *http.Request) {
				if err := intake.CheckHead(r, limits); err != nil {
					b.Error(err)
				}
				_, le, err := bu.Read(w, r, limits)
				if err != nil {
					b.Error(err)

					return
				}
				le.Close()
			})
		})
		b.Run(fmt.Sprintf("io.ReadAll/%d", size), func(b *testing.B) {
			benchmarkRead(b, size, func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limits.BodyBytes)); err != nil {
					b.Error(err)
				}
			})
		})
	}
}
