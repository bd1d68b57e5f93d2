package statemachine

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// Major types of CBOR items, and the value of null (RFC 8949, section 3).
const (
	majorUint   = 0
	majorMap    = 5
	majorSimple = 7
	simpleNull  = 22
)

// shortArguments is the number of arguments that stand in the first byte of an item.
const shortArguments = 24

// appendHead appends the head of an item in its shortest form.
func appendHead(dst []byte, major byte, n uint64) []byte {
	first := major << 5
	switch {
	case n < shortArguments:
		return append(dst, first|byte(n))
	case n <= 0xff:
		return append(dst, first|shortArguments, byte(n))
	case n <= 0xffff:
		return binary.BigEndian.AppendUint16(append(dst, first|shortArguments+1), uint16(n))
	case n <= 0xffff_ffff:
		return binary.BigEndian.AppendUint32(append(dst, first|shortArguments+2), uint32(n))
	}

	return binary.BigEndian.AppendUint64(append(dst, first|shortArguments+3), n)
}

// stream decodes a large item in parts: the pairs of a map one by one.
type stream struct {
	r         *bufio.Reader
	decoder   *cbor.Decoder
	headBytes int // size of the last head
}

func newStream(r io.Reader) *stream {
	br := bufio.NewReader(r)

	return &stream{r: br, decoder: cbor.NewDecoder(br)}
}

// decode decodes the next whole item.
func (st *stream) decode(v any) error {
	err := st.decoder.Decode(v)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}

	return err
}

// mapLength reads the head of a map and returns the number of its pairs, which follow. It is 0 for null.
func (st *stream) mapLength() (int, error) {
	// The decoder has read ahead.
	st.r = bufio.NewReader(io.MultiReader(st.decoder.Buffered(), st.r))
	defer func() { st.decoder = cbor.NewDecoder(st.r) }()
	major, n, err := st.head()
	switch {
	case err != nil:
		return 0, err
	case major == majorSimple && n == simpleNull:
		return 0, nil
	case major != majorMap:
		return 0, fmt.Errorf("major type %d instead of a map", major)
	case n > math.MaxInt32:
		return 0, fmt.Errorf("a map of %d pairs", n)
	}

	return int(n), nil
}

// head reads the head of an item of definite length.
func (st *stream) head() (major byte, n uint64, err error) {
	first, err := st.r.ReadByte()
	if err != nil {
		return 0, 0, unexpected(err)
	}
	major, n = first>>5, uint64(first&0x1f)
	st.headBytes = 1
	if n < shortArguments {
		return major, n, nil
	}
	if n > shortArguments+3 {
		return 0, 0, fmt.Errorf("the first byte %#x begins no item of definite length", first)
	}
	var b [8]byte
	size := 1 << (n - shortArguments)
	if _, err := io.ReadFull(st.r, b[8-size:]); err != nil {
		return 0, 0, unexpected(err)
	}
	st.headBytes += size

	return major, binary.BigEndian.Uint64(b[:]), nil
}

// end returns an error unless nothing follows.
func (st *stream) end() error {
	switch err := st.decoder.Skip(); {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}

	return errors.New("more follows the end of the state")
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}

	return err
}
