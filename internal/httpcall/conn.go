package httpcall

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// conn is a connection to a server that checks the answers that it reads.
//
// An answer without a length ends with its connection, so the end must be a regular one. Only one system call
// gets the error of a connection that was reset. If that is a write of the request, the next read reports a
// regular end.
type conn struct {
	net.Conn

	mu        sync.Mutex
	method    string // of the current request
	head      headChecker
	isHeadDue bool       // the head of the answer to the current request has not been read
	bodyLeft  int64      // bytes of the answer's body that have not been read, or unknownLength
	answerErr error      // why the answer is invalid
	changed   *sync.Cond // signals changes of the fields below
	isSending bool       // the request has not been written in full
	writes    int        // calls of Write in progress
	writeErr  error      // why the request could not be written
	isClosed  bool
}

func newConn(co net.Conn) *conn {
	out := &conn{Conn: co, bodyLeft: unknownLength}
	out.changed = sync.NewCond(&out.mu)

	return out
}

// beginRequest is called before a request is written.
func (co *conn) beginRequest(method string) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.isSending = true
	co.method, co.head, co.isHeadDue = method, headChecker{}, true
}

// endRequest is called when net/http has passed on the last byte of a request, or has failed to. A rest
// may still be in its buffer.
func (co *conn) endRequest(err error) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.isSending = false
	co.recordWrite(err)
}

// recordWrite records the outcome of a write. The caller must hold co.mu.
func (co *conn) recordWrite(err error) {
	if co.writeErr == nil {
		co.writeErr = err
	}
	co.changed.Broadcast()
}

func (co *conn) Write(b []byte) (int, error) {
	co.mu.Lock()
	co.writes++
	co.mu.Unlock()

	n, err := co.Conn.Write(b)

	co.mu.Lock()
	defer co.mu.Unlock()
	co.writes--
	co.recordWrite(err)

	return n, err
}

// Read reads what the server has sent. It returns an error in place of an invalid answer, and io.EOF only after
// the request has been written. Bytes of a further answer are dropped, and end the connection.
func (co *conn) Read(b []byte) (int, error) {
	if _, err := co.checkAnswer(nil); err != nil {
		return 0, err
	}
	n, err := co.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = co.awaitRequest()
	}
	surplus, aerr := co.checkAnswer(b[:n])
	if aerr != nil {
		return 0, aerr
	}
	if surplus > 0 {
		return n - surplus, io.EOF // net/http does not send another request on the connection then
	}

	return n, err
}

// checkAnswer checks bytes that were read. It returns how many of the last ones belong to another answer. An
// error is returned again by all later calls, as net/http may drop one.
func (co *conn) checkAnswer(b []byte) (surplus int, err error) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.answerErr != nil || len(b) == 0 {
		return 0, co.answerErr
	}
	if co.isHeadDue {
		rest, isEnd, err := co.head.check(b)
		co.answerErr = err
		if err != nil || !isEnd {
			return 0, err
		}
		co.isHeadDue, co.bodyLeft, b = false, co.head.bodyLength(co.method), rest
	}
	if co.bodyLeft == unknownLength {
		return 0, nil
	}
	n := min(co.bodyLeft, int64(len(b)))
	co.bodyLeft -= n
	b = b[n:]
	co.answerErr = checkSurplus(b)

	return len(b), co.answerErr
}

// headStart is how a head begins.
var headStart = []byte("HTTP/1.")

// checkSurplus returns an error if bytes after an answer are not the beginning of another one. They may belong to
// its body, and the length in its head be wrong (RFC 9112, 6.3).
func checkSurplus(b []byte) error {
	n := min(len(b), len(headStart))
	if !bytes.Equal(b[:n], headStart[:n]) {
		return &headError{"bytes follow the body that it announces"}
	}

	return nil
}

// awaitRequest waits until the request has been written, which a server that has ended its answer may
// still read. It returns io.EOF then, and another error if the request can't be written. Without an answer it
// returns io.EOF at once.
func (co *conn) awaitRequest() error {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.isHeadDue {
		return io.EOF
	}
	for (co.isSending || co.writes > 0) && co.writeErr == nil && !co.isClosed {
		co.changed.Wait()
	}
	switch {
	case co.writeErr != nil:
		return fmt.Errorf("httpcall: the connection ended before the request was written: %w", co.writeErr)
	case co.isClosed:
		return net.ErrClosed
	}

	return io.EOF
}

func (co *conn) Close() error {
	co.mu.Lock()
	co.isClosed = true
	co.changed.Broadcast()
	co.mu.Unlock()

	return co.Conn.Close()
}
