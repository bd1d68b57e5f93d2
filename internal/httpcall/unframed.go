package httpcall

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
)

// maxSizeLineBytes bounds the line with the size of a chunk.
const maxSizeLineBytes = 64

// lastChunk ends a body in chunks after a chunk with data.
var lastChunk = []byte("\r\n0\r\n\r\n")

var errHiddenChunks = errors.New("httpcall: the body is in chunks, and the head does not say so")

// unframedBody is the body of an answer that ends with its connection. A damaged byte in the name of
// Transfer-Encoding makes a body in chunks look like one. Reading it returns an error then: for a stream of
// events, in which no line is a number, before the first of them, and at the end for other answers.
type unframedBody struct {
	io.ReadCloser
	isStream bool
	line     []byte // first line, up to maxSizeLineBytes of it
	tail     []byte // last bytes, as many as lastChunk has
}

// wrapUnframed replaces the body of an answer that has neither a length nor chunks.
func wrapUnframed(rs *http.Response) {
	if rs.ContentLength >= 0 || len(rs.TransferEncoding) > 0 || rs.Uncompressed {
		return
	}
	media, _, _ := mime.ParseMediaType(rs.Header.Get("Content-Type")) // "" if it is malformed
	rs.Body = &unframedBody{ReadCloser: rs.Body, isStream: media == "text/event-stream"}
}

func (ub *unframedBody) Read(b []byte) (int, error) {
	n, err := ub.ReadCloser.Read(b)
	ub.observe(b[:n])
	if (ub.isStream || errors.Is(err, io.EOF) && bytes.Equal(ub.tail, lastChunk)) && ub.beginsWithSize() {
		return 0, errHiddenChunks
	}

	return n, err
}

// observe keeps the first line and the last bytes of the body.
func (ub *unframedBody) observe(b []byte) {
	if len(ub.line) < maxSizeLineBytes && !bytes.HasSuffix(ub.line, lineEnd[1:]) {
		first, _, _ := bytes.Cut(b, lineEnd[1:])
		ub.line = append(ub.line, b[:min(len(first)+1, len(b), maxSizeLineBytes-len(ub.line))]...)
	}
	ub.tail = append(ub.tail, b[max(len(b)-len(lastChunk), 0):]...)
	ub.tail = ub.tail[max(len(ub.tail)-len(lastChunk), 0):]
}

// beginsWithSize reports whether the first line is the size of a chunk.
func (ub *unframedBody) beginsWithSize() bool {
	line, ok := bytes.CutSuffix(ub.line, lineEnd)
	size, _, _ := bytes.Cut(line, []byte(";"))
	_, err := strconv.ParseUint(string(size), 16, 63)

	return ok && err == nil
}
