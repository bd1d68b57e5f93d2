// Package codec encodes records as CBOR into buffers of the caller. The buffer pool of the
// CBOR library is not used, because its buffers would stay as large as the largest snapshot.
package codec

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
)

var encoder = func() cbor.UserBufferEncMode {
	em, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constant
	}

	return em
}()

// Append appends the CBOR encoding of v to dst.
func Append(dst []byte, v any) ([]byte, error) {
	buf := bytes.NewBuffer(dst)
	if err := encoder.MarshalToBuffer(v, buf); err != nil {
		return nil, err
	}

	return buf.Bytes(), nil
}
