// Package peer carries calls between tamarackbay's own processes: yamux streams
// that hold length-prefixed protobuf messages. Both ends of a session may call.
package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

const (
	maxMessageBytes    = 32 << 20
	maxSessionStreams  = 8192
	defaultCallTimeout = 10 * time.Second
	keepAlivePeriod    = 5 * time.Second
	writeTimeout       = 10 * time.Second
	streamWindowBytes  = 1 << 20
	readBufferBytes    = 4096
)

// Handler answers one call. It may send any number of messages on st before it returns.
type Handler func(ctx context.Context, st *Stream) error

// Mux finds the handler of a method.
type Mux map[string]Handler

// Session is one connection between two processes.
type Session struct {
	ys      *yamux.Session
	mux     Mux
	remote  *wire.Hello
	streams chan struct{}
	done    chan struct{}
	once    sync.Once
}

func yamuxConfig() *yamux.Config {
	yc := yamux.DefaultConfig()
	yc.AcceptBacklog = maxSessionStreams
	yc.KeepAliveInterval = keepAlivePeriod
	yc.ConnectionWriteTimeout = writeTimeout
	yc.MaxStreamWindowSize = streamWindowBytes
	yc.StreamOpenTimeout = writeTimeout
	yc.StreamCloseTimeout = writeTimeout
	yc.LogOutput = io.Discard

	return yc
}

func newSession(conn net.Conn, isClient bool, mux Mux) (*Session, error) {
	open := yamux.Server
	if isClient {
		open = yamux.Client
	}
	ys, err := open(newCoalescer(conn), yamuxConfig())
	if err != nil {
		return nil, err
	}

	return &Session{ys: ys, mux: mux, streams: make(chan struct{}, maxSessionStreams), done: make(chan struct{})}, nil
}

// Remote returns what the other end said of itself.
func (se *Session) Remote() *wire.Hello { return se.remote }

// Done is closed when the session has ended.
func (se *Session) Done() <-chan struct{} { return se.done }

// Close ends the session and every stream of it.
func (se *Session) Close() {
	se.once.Do(func() {
		close(se.done)
		_ = se.ys.Close()
	})
}

// serve accepts streams until the session ends.
func (se *Session) serve() {
	defer se.Close()

	for {
		ys, err := se.ys.AcceptStream()
		if err != nil {
			return
		}

		select {
		case se.streams <- struct{}{}:
			go func() {
				defer func() { <-se.streams }()
				se.handle(ys)
			}()
		default:
			_ = ys.Close()
		}
	}
}

func (se *Session) handle(ys *yamux.Stream) {
	defer ys.Close()

	st := &Stream{ys: ys, rd: bufio.NewReaderSize(ys, readBufferBytes), session: se}
	_ = ys.SetReadDeadline(time.Now().Add(defaultCallTimeout))
	var ca wire.Call
	if err := st.read(&ca); err != nil {
		return
	}

	timeout := time.Duration(ca.GetTimeoutMs()) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultCallTimeout
	}
	_ = ys.SetDeadline(time.Now().Add(timeout))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()

	st.payload = ca.GetPayload()
	h, ok := se.mux[ca.GetMethod()]
	if !ok {
		_ = st.finish(result.New(result.Internal, "peer: unknown method %q", ca.GetMethod()))

		return
	}
	if !st.isRaw(ca.GetMethod()) {
		go st.watchCancel(cancel)
	}
	_ = st.finish(h(ctx, st))
}

// Stream carries the messages of one call.
type Stream struct {
	ys      *yamux.Stream
	rd      *bufio.Reader
	wmu     sync.Mutex
	buf     []byte
	payload []byte
	last    []byte // goes out with the end mark
	session *Session
	ended   bool
}

// rawPrefix marks methods whose caller goes on sending messages.
const rawPrefix = "raw."

func (st *Stream) isRaw(method string) bool {
	return len(method) > len(rawPrefix) && method[:len(rawPrefix)] == rawPrefix
}

// watchCancel ends the handler's context when the caller closes the stream.
func (st *Stream) watchCancel(cancel context.CancelFunc) {
	_, _ = st.rd.ReadByte()
	cancel()
}

// Session returns the session of the stream.
func (st *Stream) Session() *Session { return st.session }

// Request decodes the request of the call.
func (st *Stream) Request(m proto.Message) error {
	if err := proto.Unmarshal(st.payload, m); err != nil {
		return result.New(result.MalformedBody, "peer: %v", err)
	}

	return nil
}

// Send sends one message of the answer.
func (st *Stream) Send(m proto.Message) error {
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}

	return st.write(&wire.Frame{Payload: b})
}

// Reply sends the last message of the answer together with its end mark. The
// handler returns what it returns.
func (st *Stream) Reply(m proto.Message) error {
	b, err := proto.Marshal(m)
	st.last = b

	return err
}

func (st *Stream) finish(err error) error {
	fr := &wire.Frame{End: true, Payload: st.last}
	if err != nil {
		er := result.From(err)
		fr.Code, fr.Execution, fr.Message = uint32(er.Code), uint32(er.Execution), er.Message
		fr.RetryAfterMs = uint32(er.RetryAfter.Milliseconds())
	}

	return st.write(fr)
}

func (st *Stream) write(m proto.Message) error {
	st.wmu.Lock()
	defer st.wmu.Unlock()

	b := append(st.buf[:0], 0, 0, 0, 0)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return err
	}
	binary.LittleEndian.PutUint32(b, uint32(len(b)-4))
	st.buf = b
	_, err = st.ys.Write(b)

	return err
}

func (st *Stream) read(m proto.Message) error {
	var h [4]byte
	if _, err := io.ReadFull(st.rd, h[:]); err != nil {
		return err
	}

	n := binary.LittleEndian.Uint32(h[:])
	if n > maxMessageBytes {
		return result.New(result.BodyTooLarge, "peer: message of %d bytes", n)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(st.rd, b); err != nil {
		return err
	}

	return proto.Unmarshal(b, m)
}

// errCut says that the stream ended before its end mark.
var errCut = errors.New("peer: the stream ended before its end mark")

// Recv reads the next message of the answer. It returns io.EOF after the end mark alone.
func (st *Stream) Recv(m proto.Message) error {
	if st.ended {
		return io.EOF
	}

	var fr wire.Frame
	if err := st.read(&fr); err != nil {
		var er *result.Error
		if errors.As(err, &er) {
			return er
		}

		return result.New(result.StreamCut, "%v: %v", errCut, err).With(result.Unknown)
	}
	if !fr.GetEnd() {
		return proto.Unmarshal(fr.GetPayload(), m)
	}

	st.ended = true
	if fr.GetCode() == 0 {
		if len(fr.GetPayload()) > 0 {
			return proto.Unmarshal(fr.GetPayload(), m)
		}

		return io.EOF
	}

	return &result.Error{
		Code: result.Code(fr.GetCode()), Execution: result.Execution(fr.GetExecution()), Message: fr.GetMessage(),
		RetryAfter: time.Duration(fr.GetRetryAfterMs()) * time.Millisecond,
	}
}

// Close ends the stream; the handler's context ends with it.
func (st *Stream) Close() { _ = st.ys.Close() }

// Open starts a call whose answer is read with Recv. The stream ends with ctx.
func (se *Session) Open(ctx context.Context, method string, req proto.Message) (*Stream, error) {
	payload, err := proto.Marshal(req)
	if err != nil {
		return nil, err
	}

	dl, ok := ctx.Deadline()
	if !ok {
		dl = time.Now().Add(defaultCallTimeout)
	}
	left := time.Until(dl)
	if left <= 0 {
		return nil, result.New(result.DeadlinePassed, "peer: %s: %v", method, context.DeadlineExceeded)
	}
	ys, err := se.ys.OpenStream()
	if err != nil {
		return nil, result.New(result.BackendUnreachable, "peer: %s: %v", method, err)
	}

	st := &Stream{ys: ys, rd: bufio.NewReaderSize(ys, readBufferBytes), session: se}
	_ = ys.SetDeadline(dl)
	if err := st.write(&wire.Call{Method: method, TimeoutMs: uint32(left.Milliseconds()) + 1, Payload: payload}); err != nil {
		_ = ys.Close()

		return nil, result.New(result.BackendUnreachable, "peer: %s: %v", method, err).With(result.Unknown)
	}

	return st, nil
}

// Call makes a call with one request and one answer.
func (se *Session) Call(ctx context.Context, method string, req, reply proto.Message) error {
	st, err := se.Open(ctx, method, req)
	if err != nil {
		return err
	}
	defer st.Close()

	stop := context.AfterFunc(ctx, func() { _ = st.ys.SetDeadline(time.Unix(1, 0)) })
	defer stop()

	if err := st.Recv(reply); err != nil {
		if errors.Is(err, io.EOF) {
			return nil // the handler had nothing to say
		}

		return err
	}
	var rest wire.Empty
	if err := st.Recv(&rest); !errors.Is(err, io.EOF) {
		return err
	}

	return nil
}

// Write sends one message on a raw stream.
func (st *Stream) Write(m proto.Message) error { return st.write(m) }

// Read reads one message of a raw stream.
func (st *Stream) Read(m proto.Message) error { return st.read(m) }

// SetDeadline bounds the next reads and writes of a raw stream.
func (st *Stream) SetDeadline(t time.Time) { _ = st.ys.SetDeadline(t) }
