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
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/encoding/protowire"
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
	// largeMessageBytes is the size from which memory is reserved for a message before it is read, and
	// from which a record is sent without a copy.
	largeMessageBytes = 64 << 10
	// maxWriteBytes bounds what is passed to yamux at once, as a session retains a buffer of the largest
	// write. maxRetainedBytes bounds the other buffers that are kept for further messages.
	maxWriteBytes    = 32 << 10
	maxRetainedBytes = 32 << 10
)

// Message is a request or a message of an answer.
type Message = proto.Message

// Handler answers one call. It may send any number of messages on st before it returns.
type Handler func(ctx context.Context, st *Stream) error

// Mux maps methods to their handlers.
type Mux map[string]Handler

// Session is one connection between two processes.
type Session struct {
	yamuxSession *yamux.Session
	mux          Mux
	remote       *wire.Hello
	streamSlots  chan struct{} // bounds the accepted streams that are served at once
	// received bounds the large requests that are received or handled at once, to receivedBytes; nil
	// for no bound.
	received      *semaphore.Weighted
	receivedBytes int64
	conn          net.Conn // below TLS; nil at the end that accepted it
	done          chan struct{}
	closeOnce     sync.Once

	mu   sync.Mutex
	idle []*reusableStream // ready for another call, in the order of their last use
}

// reusableStream is a yamux stream that carries one call after the other.
type reusableStream struct {
	yamuxStream *yamux.Stream
	reader      *bufio.Reader
}

func newReusableStream(ys *yamux.Stream) *reusableStream {
	return &reusableStream{yamuxStream: ys, reader: bufio.NewReaderSize(ys, readBufferBytes)}
}

// maxIdleStreams bounds the streams that a session retains for further calls.
const maxIdleStreams = 128

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

	return &Session{yamuxSession: ys, mux: mux, streamSlots: make(chan struct{}, maxSessionStreams), done: make(chan struct{})}, nil
}

// Remote returns what the other end reported in its hello.
func (se *Session) Remote() *wire.Hello { return se.remote }

// HasUnread reports whether bytes from the peer wait to be read, to which a process that was frozen, or has too
// little time, has not come. It is known only at the end that dialed.
func (se *Session) HasUnread() bool { return hasUnread(se.conn) }

// Done is closed when the session has ended.
func (se *Session) Done() <-chan struct{} { return se.done }

// Close ends the session and every stream of it.
func (se *Session) Close() {
	se.closeOnce.Do(func() {
		close(se.done)
		_ = se.yamuxSession.Close()
	})
}

// serve accepts streams until the session ends.
func (se *Session) serve() {
	defer se.Close()

	for {
		ys, err := se.yamuxSession.AcceptStream()
		if err != nil {
			return
		}

		select {
		case se.streamSlots <- struct{}{}:
			go func() {
				defer func() { <-se.streamSlots }()
				se.handleStream(ys)
			}()
		default:
			_ = ys.Close()
		}
	}
}

// handleStream answers the calls of one stream until the caller closes it.
func (se *Session) handleStream(ys *yamux.Stream) {
	defer ys.Close()

	rs := newReusableStream(ys)
	for se.handleCall(rs) {
	}
}

// handleCall answers one call and reports whether the stream may carry another.
func (se *Session) handleCall(rs *reusableStream) bool {
	st := &Stream{stream: rs, session: se}
	release := func() {}
	defer func() { release() }()
	if se.received != nil {
		st.reserve = func(bytes int64) error {
			n := min(bytes, se.receivedBytes)
			ctx, cancel := context.WithTimeout(context.Background(), defaultCallTimeout)
			defer cancel()
			if err := se.received.Acquire(ctx, n); err != nil {
				return result.New(result.ProcessOverloaded, "peer: no room for a message of %d bytes", bytes)
			}
			release = sync.OnceFunc(func() { se.received.Release(n) })

			return nil
		}
	}
	var ca wire.Call
	if err := st.read(&ca); err != nil {
		return false
	}

	timeout := time.Duration(ca.GetTimeoutMs()) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_ = rs.yamuxStream.SetWriteDeadline(time.Now().Add(timeout))

	st.payload, st.reserve = ca.GetPayload(), nil
	h, ok := se.mux[ca.GetMethod()]
	if !ok {
		h = func(context.Context, *Stream) error {
			return result.New(result.Internal, "peer: unknown method %q", ca.GetMethod())
		}
	}
	if isRaw(ca.GetMethod()) {
		_ = st.sendEnd(h(ctx, st)) // the caller notices a lost error by the end of the stream

		return false
	}

	// The next byte is the next call. A read error means that the caller has closed the
	// stream, which cancels this call.
	next := make(chan bool, 1)
	go func() {
		_, err := rs.reader.Peek(1)
		if err != nil {
			cancel()
		}
		next <- err == nil
	}()
	err := h(ctx, st)
	st.payload = nil
	release()
	if st.sendEnd(err) != nil {
		return false
	}
	st.lastPayload, st.writeBuffer = nil, nil
	rs.yamuxStream.Shrink()

	return <-next
}

// Stream carries the messages of one call.
type Stream struct {
	stream      *reusableStream
	session     *Session
	isSingleUse bool // the underlying stream carries no further call
	writeMu     sync.Mutex
	writeBuffer []byte
	payload     []byte
	lastPayload []byte // is sent with the end mark
	// reserve is called with the size of a large message before it is read; nil if nothing is reserved.
	reserve func(bytes int64) error

	mu       sync.Mutex
	ended    bool // the end mark was received
	released bool
}

// rawPrefix marks methods whose caller sends further messages after the request.
const rawPrefix = "raw."

func isRaw(method string) bool { return strings.HasPrefix(method, rawPrefix) }

// Session returns the session of the stream.
func (st *Stream) Session() *Session { return st.session }

// Request decodes the request of the call.
func (st *Stream) Request(m proto.Message) error {
	if err := proto.Unmarshal(st.payload, m); err != nil {
		return result.New(result.MalformedBody, "peer: decoding a request: %v", err)
	}

	return nil
}

// RequestRecord decodes the request of a call that carries a CBOR record in a
// wire.Payload.
func (st *Stream) RequestRecord(out any) error {
	var pa wire.Payload
	if err := st.Request(&pa); err != nil {
		return err
	}
	if err := cbor.Unmarshal(pa.GetRecord(), out); err != nil {
		return result.New(result.MalformedBody, "peer: decoding the record of a request: %v", err)
	}

	return nil
}

// ReplyRecord is Reply with a CBOR record in a wire.Payload.
func (st *Stream) ReplyRecord(v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return result.New(result.Internal, "peer: encoding the record of a reply: %v", err)
	}

	return st.Reply(&wire.Payload{Record: b})
}

// Send sends one message of the answer.
func (st *Stream) Send(m proto.Message) error {
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}

	return st.write(&wire.Frame{Payload: b})
}

// Reply sets the last message of the answer, which is sent together with the end mark
// when the handler has returned. The handler returns the error of Reply.
func (st *Stream) Reply(m proto.Message) error {
	b, err := proto.Marshal(m)
	st.lastPayload = b

	return err
}

func (st *Stream) sendEnd(err error) error {
	fr := &wire.Frame{End: true, Payload: st.lastPayload}
	if err != nil {
		er := result.From(err)
		fr.Code, fr.Execution, fr.Message = uint32(er.Code), uint32(er.Execution), er.Message
		fr.RetryAfterMs = uint32(er.RetryAfter.Milliseconds())
	}

	return st.write(fr)
}

func (st *Stream) write(m proto.Message) error {
	st.writeMu.Lock()
	defer st.writeMu.Unlock()

	b := append(st.writeBuffer[:0], 0, 0, 0, 0)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return err
	}
	binary.LittleEndian.PutUint32(b, uint32(len(b)-4))
	if st.writeBuffer = b; cap(b) > maxRetainedBytes {
		st.writeBuffer = nil
	}

	return st.stream.write(b)
}

// write writes b in parts of at most maxWriteBytes.
func (rs *reusableStream) write(b []byte) error {
	for part := range slices.Chunk(b, maxWriteBytes) {
		if _, err := rs.yamuxStream.Write(part); err != nil {
			return err
		}
	}

	return nil
}

func (st *Stream) read(m proto.Message) error {
	var h [4]byte
	if _, err := io.ReadFull(st.stream.reader, h[:]); err != nil {
		return err
	}

	n := binary.LittleEndian.Uint32(h[:])
	if n > maxMessageBytes {
		return result.New(result.BodyTooLarge, "peer: message of %d bytes is longer than the limit", n)
	}
	if n > largeMessageBytes && st.reserve != nil {
		if err := st.reserve(int64(n)); err != nil {
			return err
		}
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(st.stream.reader, b); err != nil {
		return err
	}
	if n > maxRetainedBytes {
		st.stream.yamuxStream.Shrink()
	}

	return proto.Unmarshal(b, m)
}

// largeRecord returns the record of a request if it is so large that it should not be copied, nil
// otherwise.
func largeRecord(req proto.Message) []byte {
	if pa, ok := req.(*wire.Payload); ok && len(pa.GetRecord()) > largeMessageBytes {
		return pa.GetRecord()
	}

	return nil
}

// Numbers of the fields that writeRecord encodes.
var (
	callPayload   = (*wire.Call)(nil).ProtoReflect().Descriptor().Fields().ByName("payload").Number()
	payloadRecord = (*wire.Payload)(nil).ProtoReflect().Descriptor().Fields().ByName("record").Number()
)

// writeRecord writes a wire.Call whose payload is a wire.Payload with a record, without a copy of the
// record.
func (st *Stream) writeRecord(method string, timeoutMs uint32, record []byte) error {
	recordHead := protowire.AppendTag(nil, payloadRecord, protowire.BytesType)
	recordHead = protowire.AppendVarint(recordHead, uint64(len(record)))
	head, err := proto.Marshal(&wire.Call{Method: method, TimeoutMs: timeoutMs})
	if err != nil {
		return err
	}
	head = protowire.AppendTag(head, callPayload, protowire.BytesType)
	head = protowire.AppendVarint(head, uint64(len(recordHead)+len(record)))
	head = append(head, recordHead...)

	st.writeMu.Lock()
	defer st.writeMu.Unlock()
	if err := st.stream.write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(head)+len(record))), head...)); err != nil {
		return err
	}

	return st.stream.write(record)
}

// errStreamCut reports that the stream ended before its end mark.
var errStreamCut = errors.New("peer: the stream ended before its end mark")

// Recv reads the next message of the answer. It returns io.EOF if the end mark carries
// neither a message nor an error, and after the end mark.
func (st *Stream) Recv(m proto.Message) error {
	if st.isEnded() {
		return io.EOF
	}

	var fr wire.Frame
	if err := st.read(&fr); err != nil {
		var er *result.Error
		if errors.As(err, &er) {
			return er
		}

		return result.New(result.StreamCut, "%v: %v", errStreamCut, err).WithExecution(result.ExecutionUnknown)
	}
	if !fr.GetEnd() {
		return proto.Unmarshal(fr.GetPayload(), m)
	}

	st.mu.Lock()
	st.ended = true
	st.mu.Unlock()
	switch {
	case fr.GetCode() == 0 && len(fr.GetPayload()) > 0:
		return proto.Unmarshal(fr.GetPayload(), m)
	case fr.GetCode() == 0:
		return io.EOF
	}

	return &result.Error{
		Code: result.Code(fr.GetCode()), Execution: result.Execution(fr.GetExecution()), Message: fr.GetMessage(),
		RetryAfter: time.Duration(fr.GetRetryAfterMs()) * time.Millisecond,
	}
}

func (st *Stream) isEnded() bool {
	st.mu.Lock()
	defer st.mu.Unlock()

	return st.ended
}

// Close ends the call and cancels the handler's context. If the end mark was received,
// the underlying stream is retained for another call.
func (st *Stream) Close() {
	st.mu.Lock()
	defer st.mu.Unlock()

	if st.released {
		return
	}
	st.released = true
	if st.isSingleUse || !st.ended || !st.session.releaseStream(st.stream) {
		_ = st.stream.yamuxStream.Close()
	}
}

// releaseStream retains a stream whose call has ended, and returns false if enough are idle.
func (se *Session) releaseStream(rs *reusableStream) bool {
	se.mu.Lock()
	defer se.mu.Unlock()

	if len(se.idle) >= maxIdleStreams {
		return false
	}
	se.idle = append(se.idle, rs)

	return true
}

// acquireStream returns an idle stream or opens a new one.
func (se *Session) acquireStream() (*reusableStream, error) {
	se.mu.Lock()
	if n := len(se.idle); n > 0 {
		rs := se.idle[n-1]
		se.idle = se.idle[:n-1]
		se.mu.Unlock()

		return rs, nil
	}
	se.mu.Unlock()

	ys, err := se.yamuxSession.OpenStream()
	if err != nil {
		return nil, err
	}

	return newReusableStream(ys), nil
}

// Open starts a call whose answer is read with Recv. The caller closes the stream.
func (se *Session) Open(ctx context.Context, method string, req proto.Message) (*Stream, error) {
	record, payload := largeRecord(req), []byte(nil)
	if record == nil {
		var err error
		if payload, err = proto.Marshal(req); err != nil {
			return nil, err
		}
	}

	dl, ok := ctx.Deadline()
	if !ok {
		dl = time.Now().Add(defaultCallTimeout)
	}
	left := time.Until(dl)
	if left <= 0 {
		return nil, result.New(result.DeadlinePassed, "peer: %s: %v", method, context.DeadlineExceeded)
	}
	rs, err := se.acquireStream()
	if err != nil {
		return nil, result.New(result.BackendUnreachable, "peer: %s: %v", method, err)
	}

	st := &Stream{stream: rs, session: se, isSingleUse: isRaw(method)}
	_ = rs.yamuxStream.SetDeadline(dl)
	timeoutMs := uint32(left.Milliseconds()) + 1
	if record != nil {
		err = st.writeRecord(method, timeoutMs, record)
	} else {
		err = st.write(&wire.Call{Method: method, TimeoutMs: timeoutMs, Payload: payload})
	}
	if err != nil {
		st.Close()

		return nil, result.New(result.BackendUnreachable, "peer: %s: %v", method, err).WithExecution(result.ExecutionUnknown)
	}

	return st, nil
}

// Call makes a call with one request and one answer.
func (se *Session) Call(ctx context.Context, method string, req, reply proto.Message) error {
	return se.call(ctx, method, req, reply, nil)
}

func (se *Session) call(ctx context.Context, method string, req, reply proto.Message, reserve func(bytes int64) error) error {
	st, err := se.Open(ctx, method, req)
	if err != nil {
		return err
	}
	defer st.Close()
	st.reserve = reserve

	stop := context.AfterFunc(ctx, st.Close)
	defer stop()

	if err := st.Recv(reply); err != nil {
		if errors.Is(err, io.EOF) {
			return nil // the handler sent no message
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
func (st *Stream) SetDeadline(t time.Time) { _ = st.stream.yamuxStream.SetDeadline(t) }
