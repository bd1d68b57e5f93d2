package intake

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/payload"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

const (
	// defaultStandstill is how long the body of a request may stand still where the configuration of the
	// budget does not say it.
	defaultStandstill = 10 * time.Second
	// discardTimeout bounds the time for which the rest of a small body is read after its request was
	// refused, so that its connection can be used again.
	discardTimeout = 250 * time.Millisecond
	// The first chunk of a body has firstChunkBytes. Each further one is as large as all before it, but
	// not larger than maxChunkBytes: a body holds at most twice what has arrived.
	firstChunkBytes = 4 << 10
	maxChunkBytes   = 256 << 10
	// fieldBytes is what a header field takes beside its bytes.
	fieldBytes = 128
	// uncountedHeadBytes is the size of a head up to which it is not counted: that of nearly all
	// requests. The bound of connections covers it.
	uncountedHeadBytes = 4 << 10
)

// aLongTimeAgo is a deadline that ends a read at once.
var aLongTimeAgo = time.Unix(1, 0)

// Limits are the limits of one request.
type Limits struct {
	HeadBytes int64 // of the request line and the header, 0 for none
	BodyBytes int64
}

// CheckHead returns HeaderTooLarge or BodyTooLarge if the head of a request shows that it is over a
// limit.
func CheckHead(r *http.Request, li Limits) error {
	if n, _ := headBytes(r); li.HeadBytes > 0 && n > li.HeadBytes {
		return result.New(result.HeaderTooLarge, "intake: the head of the request has %d bytes, the limit is %d", n, li.HeadBytes).WithExecution(result.NotRun)
	}
	if r.ContentLength > li.BodyBytes {
		return result.New(result.BodyTooLarge, "intake: the body has %d bytes, the limit is %d", r.ContentLength, li.BodyBytes).WithExecution(result.NotRun)
	}

	return nil
}

// headBytes returns the size of a request's head and the memory that it takes.
func headBytes(r *http.Request) (size, memory int64) {
	size, fields := int64(len(r.Method)+len(r.RequestURI)+len(r.Host)), int64(0)
	for name, vs := range r.Header {
		for _, v := range vs {
			size += int64(len(name) + len(v))
			fields++
		}
	}

	return size, size + fields*fieldBytes
}

// Read reads the body of a request. The caller closes the lease when the request has been answered. On
// an error the connection is closed after the answer, without reading on.
//
// Errors are BodyTooLarge, BodyTooSlow if the body stands still, ProcessOverloaded if there is no room
// for it, and MalformedBody. None of these requests has run.
func (bu *Budget) Read(w http.ResponseWriter, r *http.Request, li Limits) (payload.Chunks, *Lease, error) {
	rc := http.NewResponseController(w)
	le := bu.open(r.Context().Value(connectionKey{}), func() { _ = rc.SetReadDeadline(aLongTimeAgo) })
	body, err := le.readHeadAndBody(rc, r, li.BodyBytes)
	if err == nil && !le.complete() {
		err = bu.evicted()
	}
	if err != nil {
		le.Close()
		CloseAfterAnswer(w)

		return nil, nil, err
	}
	_ = rc.SetReadDeadline(time.Time{})

	return body, le, nil
}

func (bu *Budget) evicted() error {
	bu.mu.Lock()
	defer bu.mu.Unlock()

	return bu.refusal()
}

func (le *Lease) readHeadAndBody(rc *http.ResponseController, r *http.Request, limit int64) (payload.Chunks, error) {
	if _, memory := headBytes(r); memory > uncountedHeadBytes {
		if err := le.Grow(memory); err != nil {
			return nil, err
		}
	}
	if r.ContentLength == 0 {
		return nil, nil
	}

	var out payload.Chunks
	for size := int64(0); ; {
		n := min(max(size, firstChunkBytes), maxChunkBytes, limit+1-size) // the byte beyond the limit shows that it is exceeded
		if r.ContentLength > 0 {
			n = min(n, r.ContentLength-size)
		}
		if err := le.Grow(n); err != nil {
			return nil, err
		}
		chunk, err := le.readChunk(rc, r.Body, make([]byte, n))
		if len(chunk) > 0 {
			out = append(out, chunk)
		}
		size += int64(len(chunk))
		switch {
		case size > limit:
			return nil, result.New(result.BodyTooLarge, "intake: the body is over %d bytes", limit).WithExecution(result.NotRun)
		case err != nil && !errors.Is(err, io.EOF):
			return nil, le.readError(err)
		case err != nil || size == r.ContentLength:
			return out, nil
		}
	}
}

// readChunk fills a chunk. It returns what it has read, with io.EOF at the end of the body.
func (le *Lease) readChunk(rc *http.ResponseController, body io.Reader, chunk []byte) ([]byte, error) {
	for read := 0; ; {
		_ = rc.SetReadDeadline(le.budget.cfg.Now().Add(le.budget.cfg.Standstill))
		if le.yielded() { // after the deadline was set, which the eviction may have set before
			return nil, os.ErrDeadlineExceeded
		}
		n, err := body.Read(chunk[read:])
		read += n
		le.arrived(n)
		if err != nil || read == len(chunk) {
			return chunk[:read], err
		}
	}
}

func (le *Lease) readError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case le.yielded():
		return le.budget.evicted()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.New(result.BodyTooSlow, "intake: the body stood still for %v", le.budget.cfg.Standstill).WithExecution(result.NotRun)
	case errors.As(err, &tooLarge):
		return result.New(result.BodyTooLarge, "intake: the body is over %d bytes", tooLarge.Limit).WithExecution(result.NotRun)
	}

	return result.New(result.MalformedBody, "intake: body: %v", err).WithExecution(result.NotRun)
}

// Discard prepares the refusal of a request whose body was not read. A small body is read on for
// discardTimeout at most, so that its connection can be used again; otherwise the connection is closed
// after the answer.
func Discard(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.ContentLength == 0:
	case r.ContentLength > 0 && r.ContentLength <= SmallBytes:
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
	default:
		CloseAfterAnswer(w)
	}
}

// CloseAfterAnswer closes the connection of a request after its answer. What is left of the body is
// not read.
func CloseAfterAnswer(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(aLongTimeAgo)
	// A body over its limit makes net/http wait a moment between the answer and the close. Otherwise the
	// bytes that are not read reset the connection, and the client may lose the answer.
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
}

// Send sends the rest of an answer that the lease holds. A client that reads nothing of it for
// writeStandstill, or is behind minPace while the budget is full, is disconnected, with an error.
func (le *Lease) Send(w http.ResponseWriter, r *http.Request, b []byte) error {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	if ok {
		le.reopen(c, func() { _ = c.TCPConn.Close() })
	}
	for len(b) > 0 {
		n, err := w.Write(b[:min(len(b), writeBytes)])
		if err != nil {
			return err
		}
		b = b[n:]
		if !le.arrived(n) {
			return result.New(result.ProcessOverloaded, "intake: the client reads its answer too slowly")
		}
	}
	le.complete()

	return nil
}
