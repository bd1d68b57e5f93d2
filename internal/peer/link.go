package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/semaphore"

	"github.com/tamarackbay/tamarackbay/internal/dialer"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/wire"
)

// ProtocolVersion is sent in each Hello; a process of another version is refused. Processes of version 1
// apply no departures from the controllers' log and return no pings.
const ProtocolVersion = 2

const (
	methodHello   = rawPrefix + "hello"
	dialTimeout   = 2 * time.Second
	helloTimeout  = 2 * time.Second
	redialPeriod  = 250 * time.Millisecond
	acceptBackoff = 50 * time.Millisecond
	// refusalTimeout is how long a session stays open after its hello was refused, unless
	// the dialer closes it. A dialer whose session ends earlier may not read the reason.
	refusalTimeout = time.Second
)

// Config describes this process's end of sessions.
type Config struct {
	Hello      *wire.Hello
	Mux        Mux
	Bind       string // local IP number to dial from, "" for any
	ServerTLS  *tls.Config
	ClientTLS  *tls.Config
	AckTimeout time.Duration // a session whose peer acknowledges nothing for so long is ended; 0 leaves that to the yamux keep-alive
	// DialTimeout bounds the opening of a connection; 0 means dialTimeout. The first packet to
	// a VM that is just starting is lost, and TCP repeats it only after a second. The handshakes on a
	// connection have helloTimeout, since a busy processor delays them.
	DialTimeout time.Duration
	// MaxReceivedBytes bounds the large requests that a listener receives or handles at once; 0 for no
	// bound. A request that alone exceeds it is handled when no other one is.
	MaxReceivedBytes int64
	Log              log.Interface // logs opened and lost sessions; may be nil
}

const (
	// shortSession is the duration below which a session that ended counts as a sign that its
	// peer is too busy to serve it.
	shortSession = 2 * time.Second
	// maxRedialPause bounds the pause after short sessions, before jitter.
	maxRedialPause = 2 * time.Second
	// handshakeTime is how long a peer must have sent bytes to count as reachable. A handshake and the
	// first messages take less unless a processor is busy.
	handshakeTime = 500 * time.Millisecond
	// maxReadGap is the longest time from the last read on a connection to the first one on the next, for a peer
	// that could be reached without a break.
	maxReadGap = time.Second
)

// redialPause returns the pause before a session is opened again: at most a quarter of
// DialTimeout where that is set, doubled with each short session in a row, and spread by half in
// both directions, so that the processes which a busy peer has lost don't all return at once. A
// peer that can't be reached is tried at the same pace, since that costs it nothing. random is
// from [0, 1).
func (c *Config) redialPause(shortSessions int, random float64) time.Duration {
	pause := redialPeriod
	if c.DialTimeout > 0 {
		pause = min(redialPeriod, c.DialTimeout/4)
	}
	for range shortSessions {
		pause = min(2*pause, max(pause, maxRedialPause))
	}

	return time.Duration((0.5 + random) * float64(pause))
}

// Listener accepts sessions.
type Listener struct {
	cfg      Config
	ln       net.Listener
	received *semaphore.Weighted // nil without Config.MaxReceivedBytes

	mu       sync.Mutex
	sessions map[*Session]struct{}
	closed   bool
}

// Listen listens on an address, an IP number with a port.
func Listen(address string, cfg Config) (*Listener, error) {
	ln, err := dialer.Listen(address, dialer.ListenConfig{AckTimeout: cfg.AckTimeout})
	if err != nil {
		return nil, result.New(result.AddressInUse, "peer: listen on %s: %v", address, err)
	}
	if cfg.ServerTLS != nil {
		ln = tls.NewListener(ln, cfg.ServerTLS)
	}

	li := &Listener{cfg: cfg, ln: ln, sessions: map[*Session]struct{}{}}
	if cfg.MaxReceivedBytes > 0 {
		li.received = semaphore.NewWeighted(cfg.MaxReceivedBytes)
	}

	return li, nil
}

// Address returns the address of the listener.
func (li *Listener) Address() string { return li.ln.Addr().String() }

// Serve accepts sessions until Close.
func (li *Listener) Serve() error {
	for {
		conn, err := li.ln.Accept()
		if err != nil {
			if li.isClosed() {
				return nil
			}
			time.Sleep(acceptBackoff)

			continue
		}
		go li.accept(conn)
	}
}

func (li *Listener) isClosed() bool {
	li.mu.Lock()
	defer li.mu.Unlock()

	return li.closed
}

func (li *Listener) accept(conn net.Conn) {
	se, err := newSession(conn, false, li.cfg.Mux)
	if err != nil {
		_ = conn.Close()

		return
	}
	if !li.add(se) {
		se.Close()

		return
	}
	defer li.remove(se)

	if err := li.receiveHello(se); err != nil {
		select {
		case <-se.yamuxSession.CloseChan():
		case <-se.Done():
		case <-time.After(refusalTimeout):
		}
		se.Close()

		return
	}
	se.received, se.receivedBytes = li.received, li.cfg.MaxReceivedBytes
	se.serve()
}

// receiveHello answers the first call of a session, which must be the hello, and stores
// what the other end reported.
func (li *Listener) receiveHello(se *Session) error {
	timer := time.AfterFunc(helloTimeout, se.Close)
	defer timer.Stop()

	ys, err := se.yamuxSession.AcceptStream()
	if err != nil {
		return err
	}
	defer ys.Close()

	hello := make(chan *wire.Hello, 1)
	first := &Session{yamuxSession: se.yamuxSession, done: se.done, mux: Mux{methodHello: func(_ context.Context, st *Stream) error {
		var he wire.Hello
		if err := st.Request(&he); err != nil {
			return err
		}
		if he.GetProtocol() != ProtocolVersion {
			return result.New(result.Internal, "peer: the other process uses protocol %d, this process uses protocol %d", he.GetProtocol(), ProtocolVersion)
		}
		hello <- &he

		return st.Reply(li.cfg.Hello)
	}}}
	first.handleCall(newReusableStream(ys))

	select {
	case he := <-hello:
		se.remote = he

		return nil
	default:
		return result.New(result.Internal, "peer: the first call was not a hello")
	}
}

func (li *Listener) add(se *Session) bool {
	li.mu.Lock()
	defer li.mu.Unlock()

	if li.closed {
		return false
	}
	li.sessions[se] = struct{}{}

	return true
}

func (li *Listener) remove(se *Session) {
	li.mu.Lock()
	defer li.mu.Unlock()

	delete(li.sessions, se)
}

// Close stops listening and ends all sessions.
func (li *Listener) Close() {
	li.mu.Lock()
	li.closed = true
	sessions := make([]*Session, 0, len(li.sessions))
	for se := range li.sessions {
		sessions = append(sessions, se)
	}
	li.mu.Unlock()

	_ = li.ln.Close()
	for _, se := range sessions {
		se.Close()
	}
}

// Dial opens a session to address and exchanges hellos.
func Dial(ctx context.Context, address string, cfg Config) (*Session, error) {
	return open(ctx, address, cfg, nil, nil)
}

// observedConn calls onRead when bytes have arrived.
type observedConn struct {
	net.Conn
	onRead func()
}

// Read reads from the connection.
func (oc *observedConn) Read(b []byte) (int, error) {
	n, err := oc.Conn.Read(b)
	if n > 0 {
		oc.onRead()
	}

	return n, err
}

// open is Dial, and calls onConnect with the connection once it was made and onRead when bytes have arrived on
// it, unless they are nil.
func open(ctx context.Context, address string, cfg Config, onConnect func(conn net.Conn), onRead func()) (*Session, error) {
	limit := cfg.DialTimeout
	if limit == 0 {
		limit = dialTimeout
	}
	nd := dialer.New(dialer.Config{Bind: cfg.Bind, Timeout: limit, AckTimeout: cfg.AckTimeout})
	conn, err := nd.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, result.New(result.BackendUnreachable, "peer: dial %s: %v", address, err)
	}
	raw := conn
	if onConnect != nil {
		onConnect(raw)
	}
	if onRead != nil {
		conn = &observedConn{Conn: conn, onRead: onRead}
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	if cfg.ClientTLS != nil {
		tc := tls.Client(conn, cfg.ClientTLS)
		if err := tc.HandshakeContext(ctx); err != nil {
			_ = conn.Close()

			return nil, result.New(result.BackendUnreachable, "peer: TLS with %s: %v", address, err)
		}
		conn = tc
	}

	se, err := newSession(conn, true, cfg.Mux)
	if err != nil {
		_ = conn.Close()

		return nil, err
	}
	var he wire.Hello
	if err := se.Call(ctx, methodHello, cfg.Hello, &he); err != nil {
		se.Close()

		return nil, err
	}
	se.remote, se.conn = &he, raw
	go se.serve()

	return se, nil
}

// Link keeps one session to an address open and dials again when it ends.
type Link struct {
	cfg     Config
	address string
	onUp    func(se *Session)

	retry chan struct{} // ends the pause before the next session

	mu        sync.Mutex
	session   *Session
	changed   chan struct{}
	readSince time.Time // since when bytes have been read; a new connection after a gap of maxReadGap begins anew
	readAt    time.Time // when the last ones were read
	conn      net.Conn  // the connection in use, nil for none
	hasRead   bool      // bytes were read from it
}

// NewLink returns a link. onUp is called with each new session and may be nil.
func NewLink(address string, cfg Config, onUp func(se *Session)) *Link {
	return &Link{cfg: cfg, address: address, onUp: onUp, changed: make(chan struct{}), retry: make(chan struct{}, 1)}
}

// Run keeps the session open until ctx ends.
func (li *Link) Run(ctx context.Context) {
	defer li.setSession(nil)

	short := 0       // short sessions in a row
	failing := false // a log line says that no session can be opened
	for ctx.Err() == nil {
		isConnected := false
		se, err := open(ctx, li.address, li.cfg, func(conn net.Conn) {
			isConnected = true
			li.setConn(conn)
		}, li.recordRead)
		began := time.Now()
		if err == nil {
			failing = false
			li.logState("peer session opened", log.Fields{"shortSessions": short})
			li.setSession(se)
			if li.onUp != nil {
				go li.onUp(se)
			}
			select {
			case <-se.Done():
			case <-ctx.Done():
				se.Close()
			}
			li.setSession(nil)
			if ctx.Err() == nil {
				li.logState("peer session lost", log.Fields{"ms": time.Since(began).Milliseconds(), "shortSessions": short})
			}
		} else if !failing && ctx.Err() == nil {
			failing = true
			li.logState("peer session can't be opened", log.Fields{"connected": isConnected, "shortSessions": short, "error": err.Error()})
		}

		switch {
		case !isConnected:
		case time.Since(began) < shortSession:
			short++
		default:
			short = 0
		}
		select {
		case <-li.retry: // of an earlier pause
		default:
		}
		select {
		case <-ctx.Done():
		case <-li.retry:
		case <-time.After(li.cfg.redialPause(short, rand.Float64())):
		}
	}
}

func (li *Link) logState(what string, fl log.Fields) {
	if li.cfg.Log != nil {
		fl["peer"] = li.address
		li.cfg.Log.WithFields(fl).Info(what)
	}
}

// RetryNow ends the pause before the next session, if there is one.
func (li *Link) RetryNow() {
	select {
	case li.retry <- struct{}{}:
	default:
	}
}

func (li *Link) recordRead() {
	li.mu.Lock()
	defer li.mu.Unlock()

	now := time.Now()
	if !li.hasRead && now.Sub(li.readAt) > maxReadGap {
		li.readSince = now
	}
	li.readAt, li.hasRead = now, true
}

// IsReachable reports whether bytes have arrived from the peer within a time, or wait to be read, and that for
// handshakeTime already. An open connection shows less: the kernel accepts connections to a process that is frozen.
func (li *Link) IsReachable(within time.Duration) bool {
	li.mu.Lock()
	defer li.mu.Unlock()

	return time.Since(li.readSince) >= handshakeTime && (time.Since(li.readAt) < within || (li.hasRead && hasUnread(li.conn)))
}

func (li *Link) setConn(conn net.Conn) {
	li.mu.Lock()
	defer li.mu.Unlock()

	li.conn, li.hasRead = conn, false
}

func (li *Link) setSession(se *Session) {
	li.mu.Lock()
	defer li.mu.Unlock()

	li.session = se
	close(li.changed)
	li.changed = make(chan struct{})
}

// Session returns the open session, or nil.
func (li *Link) Session() *Session {
	li.mu.Lock()
	defer li.mu.Unlock()

	return li.session
}

// Wait waits for the open session and returns it.
func (li *Link) Wait(ctx context.Context) (*Session, error) {
	for {
		li.mu.Lock()
		se, changed := li.session, li.changed
		li.mu.Unlock()
		if se != nil {
			return se, nil
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return nil, result.New(result.BackendUnreachable, "peer: no session to %s: %v", li.address, ctx.Err())
		}
	}
}
