package peer_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tamarackbay/tamarackbay/internal/peer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/suite"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

func TestPeer(t *testing.T) {
	suite.Run(t, "peer")
}

func pair(mux peer.Mux) (*peer.Listener, *peer.Session, error) {
	li, err := peer.Listen("127.0.0.1:0", peer.Config{Hello: &wire.Hello{Name: "server", Protocol: peer.ProtocolVersion}, Mux: mux})
	if err != nil {
		return nil, nil, err
	}
	go func() { _ = li.Serve() }()
	se, err := peer.Dial(context.Background(), li.Address(), peer.Config{Hello: &wire.Hello{Name: "client", Protocol: peer.ProtocolVersion}, Mux: mux})

	return li, se, err
}

var _ = Describe("a session", func() {
	var li *peer.Listener
	var se *peer.Session
	ended := make(chan struct{}, 1)
	BeforeEach(func() {
		var err error
		li, se, err = pair(peer.Mux{
			"echo": func(_ context.Context, st *peer.Stream) error {
				var m wire.Hello
				if err := st.Request(&m); err != nil {
					return err
				}

				return st.Reply(&m)
			},
			"refuse": func(context.Context, *peer.Stream) error {
				return result.New(result.ServerDraining, "no").WithExecution(result.Ran).WithRetryAfter(time.Second)
			},
			"three": func(_ context.Context, st *peer.Stream) error {
				for range 3 {
					if err := st.Send(&wire.Empty{}); err != nil {
						return err
					}
				}

				return nil
			},
			"wait": func(ctx context.Context, _ *peer.Stream) error {
				<-ctx.Done()
				ended <- struct{}{}

				return ctx.Err()
			},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { se.Close(); li.Close() })
	})

	It("carries calls, errors with their execution, and streams with an end mark", func() {
		var m wire.Hello
		Expect(se.Call(context.Background(), "echo", &wire.Hello{Name: "x"}, &m)).To(Succeed())
		Expect(m.GetName()).To(Equal("x"))
		err := se.Call(context.Background(), "refuse", &wire.Empty{}, &wire.Empty{})
		Expect(result.From(err).Code).To(Equal(result.ServerDraining))
		Expect(result.From(err).Execution).To(Equal(result.Ran))
		Expect(result.From(err).RetryAfter).To(Equal(time.Second))
		st, err := se.Open(context.Background(), "three", &wire.Empty{})
		Expect(err).NotTo(HaveOccurred())
		for range 3 {
			Expect(st.Recv(&wire.Empty{})).To(Succeed())
		}
		Expect(errors.Is(st.Recv(&wire.Empty{}), io.EOF)).To(BeTrue())
	})

	It("ends the handler when the caller closes its stream, and the call at its deadline", func() {
		st, err := se.Open(context.Background(), "wait", &wire.Empty{})
		Expect(err).NotTo(HaveOccurred())
		st.Close()
		Eventually(ended, 2*time.Second).Should(Receive())
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(se.Call(ctx, "wait", &wire.Empty{}, &wire.Empty{})).NotTo(Succeed())
	})

	It("distinguishes a cut stream from an ended one", func() {
		st, err := se.Open(context.Background(), "wait", &wire.Empty{})
		Expect(err).NotTo(HaveOccurred())
		li.Close()
		err = st.Recv(&wire.Empty{})
		Expect(result.Is(err, result.StreamCut)).To(BeTrue(), "%v", err)
		Expect(result.From(err).Execution).To(Equal(result.ExecutionUnknown))
	})

	It("does not let a late close or cancel of one call affect the next one", func() {
		for range 300 {
			ctx, cancel := context.WithCancel(context.Background())
			st, err := se.Open(ctx, "three", &wire.Empty{})
			Expect(err).NotTo(HaveOccurred())
			stop := context.AfterFunc(ctx, st.Close)
			for range 3 {
				Expect(st.Recv(&wire.Empty{})).To(Succeed())
			}
			Expect(errors.Is(st.Recv(&wire.Empty{}), io.EOF)).To(BeTrue())
			st.Close() // the next call may use the yamux stream
			go cancel()
			var m wire.Hello
			Expect(se.Call(context.Background(), "echo", &wire.Hello{Name: "next"}, &m)).To(Succeed())
			Expect(m.GetName()).To(Equal("next"))
			st.Close()
			stop()
		}
	})

	It("is refused to a process that uses another protocol version", func() {
		_, err := peer.Dial(context.Background(), li.Address(), peer.Config{Hello: &wire.Hello{Protocol: 99}})
		Expect(err).To(MatchError(ContainSubstring("protocol 99")))
	})
})

// slowConn returns from each write only after a pause, like a process that is not scheduled
// right after it.
type slowConn struct{ net.Conn }

func (co slowConn) Write(b []byte) (int, error) {
	n, err := co.Conn.Write(b)
	time.Sleep(5 * time.Millisecond)

	return n, err
}

// Guards against a refusal that the dialer never reads: the listener closed the session
// while the dialer's write of the hello had not returned, which failed the write.
var _ = Describe("a hello that is refused", func() {
	It("is answered before the session ends, however late the dialer is scheduled", func() {
		li, se, err := pair(nil)
		Expect(err).NotTo(HaveOccurred())
		defer li.Close()
		defer se.Close()
		for range 20 {
			conn, err := net.Dial("tcp", li.Address())
			Expect(err).NotTo(HaveOccurred())
			ys, err := yamux.Client(slowConn{conn}, nil)
			Expect(err).NotTo(HaveOccurred())
			st, err := ys.OpenStream()
			Expect(err).NotTo(HaveOccurred())
			hello, err := proto.Marshal(&wire.Hello{Protocol: 99})
			Expect(err).NotTo(HaveOccurred())
			call, err := proto.Marshal(&wire.Call{Method: "raw.hello", TimeoutMs: 1000, Payload: hello})
			Expect(err).NotTo(HaveOccurred())
			_, err = st.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(call))), call...))
			Expect(err).NotTo(HaveOccurred())
			answer, err := io.ReadAll(st)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(answer)).To(ContainSubstring("protocol 99"))
			Expect(ys.Close()).To(Succeed())
		}
	})
})

// BenchmarkCall measures a call with both ends of the session in one process.
func BenchmarkCall(b *testing.B) {
	li, se, err := pair(peer.Mux{"echo": func(_ context.Context, st *peer.Stream) error { return st.Reply(&wire.LoadReply{WindowSeconds: 1}) }})
	if err != nil {
		b.Fatal(err)
	}
	defer li.Close()
	defer se.Close()
	b.Run("alone", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if err := se.Call(context.Background(), "echo", &wire.Load{Server: "x"}, &wire.LoadReply{}); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.SetParallelism(8)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if err := se.Call(context.Background(), "echo", &wire.Load{Server: "x"}, &wire.LoadReply{}); err != nil {
					b.Error(err)
				}
			}
		})
	})
}
