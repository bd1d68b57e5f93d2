// Package codec encodes records of any size without keeping buffers: those of the
// library would stay as large as the largest snapshot.
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

// Append appends v to dst, in CBOR.
func Append(dst []byte, v any) ([]byte, error) {
	buf := bytes.NewBuffer(dst)
	if err := encoder.MarshalToBuffer(v, buf); err != nil {
		return nil, err
	}

	return buf.Bytes(), nil
}
