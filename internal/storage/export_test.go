package storage

import "github.com/fxamacker/cbor/v2"

// EncodeHeader returns a segment of a format version.
func EncodeHeader(format int) []byte {
	h, err := cbor.Marshal(fileHeader{Format: format})
	if err != nil {
		panic(err)
	}

	return appendRecord(nil, recordHeader, h)
}
