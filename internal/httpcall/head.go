package httpcall

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// headError says why the head of an answer is not a valid one.
type headError struct{ reason string }

func (he *headError) Error() string { return "httpcall: invalid head of an answer: " + he.reason }

// headChecker checks the head of an answer by the grammar of RFC 9112. net/http also accepts blanks in
// names of fields, folded lines, line feeds without carriage returns and further blanks in the status
// line. One damaged byte can then hide the field that frames the body, or move the end of the head.
type headChecker struct {
	line      []byte // start of a line whose end has not been read
	status    int    // 0 before the status line
	isOld     bool   // HTTP/1.0, which has no transfer encodings
	isEncoded bool   // has a Transfer-Encoding
	hasLength bool   // has a Content-Length
	length    int64  // the Content-Length, in bytes
}

// check checks the next bytes of an answer. It reports whether the head of the final answer ends in them, and
// returns what comes after it.
func (hc *headChecker) check(b []byte) (rest []byte, isEnd bool, err error) {
	for len(b) > 0 && !isEnd {
		n := bytes.IndexByte(b, '\n') + 1
		if n == 0 {
			hc.line = append(hc.line, b...) // net/http limits the size of a head

			return nil, false, nil
		}
		line := b[:n]
		if len(hc.line) > 0 {
			line = append(hc.line, line...)
			hc.line = nil
		}
		b = b[n:]
		if isEnd, err = hc.checkLine(line); err != nil {
			return nil, false, err
		}
	}

	return b, isEnd, nil
}

var lineEnd = []byte("\r\n")

// checkLine checks a line with its end and reports whether it ends the head of the final answer.
func (hc *headChecker) checkLine(line []byte) (isEnd bool, err error) {
	text, ok := bytes.CutSuffix(line, lineEnd)
	switch {
	case !ok:
		return false, &headError{"a line does not end with CR LF"}
	case hc.status == 0:
		return false, hc.checkStatusLine(text)
	case len(text) > 0:
		return false, hc.checkField(text)
	case hc.status < http.StatusOK: // the head of an interim answer
		*hc = headChecker{}

		return false, nil
	}

	return true, hc.checkFraming()
}

// checkFraming returns an error if the fields of a head contradict each other, or the status, about where the
// body ends. net/http drops one of them.
func (hc *headChecker) checkFraming() error {
	switch {
	case hc.isEncoded && hc.isOld:
		return &headError{"it has a Transfer-Encoding, and HTTP/1.0 has none"}
	case hc.isEncoded && hc.hasLength:
		return &headError{"it has both a Transfer-Encoding and a Content-Length"}
	case hc.status == http.StatusNoContent && (hc.isEncoded || hc.length > 0):
		return &headError{"it announces a body, and an answer with status 204 has none"}
	}

	return nil
}

// unknownLength is the length of a body that the head does not tell.
const unknownLength = -1

// bodyLength returns the length of the body in bytes after a head that was checked, or unknownLength.
func (hc *headChecker) bodyLength(method string) int64 {
	switch {
	case method == http.MethodHead || hc.status == http.StatusNoContent || hc.status == http.StatusNotModified:
		return 0
	case hc.hasLength:
		return hc.length
	}

	return unknownLength
}

// Starts of a status line in the versions of the protocol that are spoken.
var (
	statusLinePrefix    = []byte("HTTP/1.1 ")
	oldStatusLinePrefix = []byte("HTTP/1.0 ")
)

// Fields that say where the body ends.
var (
	encodingField = []byte("Transfer-Encoding")
	lengthField   = []byte("Content-Length")
)

const (
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// lengthBits is the size of a length that fits into an int64.
	lengthBits = 63
	// maxStatus is the highest status that RFC 9110 allows.
	maxStatus = 599
)

func (hc *headChecker) checkStatusLine(text []byte) error {
	rest, ok := bytes.CutPrefix(text, statusLinePrefix)
	if !ok {
		rest, hc.isOld = bytes.CutPrefix(text, oldStatusLinePrefix)
	}
	if !ok && !hc.isOld {
		return &headError{"the status line has no version of HTTP/1"}
	}
	code, reason, ok := bytes.Cut(rest, []byte(" "))
	status, err := strconv.ParseUint(string(code), 10, 16)
	if !ok || err != nil || len(code) != statusDigits || !httpguts.ValidHeaderFieldValue(string(reason)) {
		return &headError{"the status line is malformed"}
	}
	hc.status = int(status)
	if other, ok := statusByText[string(reason)]; ok && other != hc.status && !(isSuccess(other) && isSuccess(hc.status)) {
		return &headError{fmt.Sprintf("status %d has the reason of %d", hc.status, other)}
	}
	if hc.status < http.StatusContinue || hc.status > maxStatus || hc.status == http.StatusSwitchingProtocols {
		return &headError{fmt.Sprintf("no answer to a request has status %03d", hc.status)}
	}

	return nil
}

// statusByText has the statuses by the reasons that the standards name for them, without "OK", which some
// servers send with each status.
var statusByText = func() map[string]int {
	out := map[string]int{}
	for status := http.StatusContinue; status <= maxStatus; status++ {
		if text := http.StatusText(status); text != "" && status != http.StatusOK {
			out[text] = status
		}
	}

	return out
}()

// isSuccess reports whether a status is a success. Servers send some of them with the reason of another one.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

func (hc *headChecker) checkField(text []byte) error {
	name, value, ok := bytes.Cut(text, []byte(":"))
	if !ok || !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) {
		return &headError{"a field is malformed"}
	}
	switch {
	case bytes.EqualFold(name, encodingField):
		hc.isEncoded = true
	case bytes.EqualFold(name, lengthField):
		length, _ := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, lengthBits) // net/http refuses others
		hc.hasLength, hc.length = true, int64(length)
	}

	return nil
}
