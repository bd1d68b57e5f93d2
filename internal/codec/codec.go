// Package codec encodes records as CBOR into buffers of the caller. The buffer pool of the
// CBOR library is not used, because its buffers would stay as large as the largest snapshot.
package codec

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
)

var (
	unsorted = newEncoder(cbor.EncOptions{})
	sorted   = newEncoder(cbor.EncOptions{Sort: cbor.SortBytewiseLexical})
)

func newEncoder(options cbor.EncOptions) cbor.UserBufferEncMode {
	em, err := options.UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constant
	}

	return em
}

// Append appends the CBOR encoding of v to dst.
func Append(dst []byte, v any) ([]byte, error) { return appendWith(unsorted, dst, v) }

// AppendSorted is Append with the keys of maps in their order, so that equal values are encoded to equal
// bytes.
func AppendSorted(dst []byte, v any) ([]byte, error) { return appendWith(sorted, dst, v) }

func appendWith(encoder cbor.UserBufferEncMode, dst []byte, v any) ([]byte, error) {
	buf := bytes.NewBuffer(dst)
	if err := encoder.MarshalToBuffer(v, buf); err != nil {
		return nil, err
	}

	return buf.Bytes(), nil
}
