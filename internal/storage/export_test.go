package storage

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
)

// EncodeHeader returns a file that holds only a header with the given format version.
func EncodeHeader(format int) []byte {
	h, err := cbor.Marshal(fileHeader{Format: format})
	if err != nil {
		panic(err)
	}

	return appendRecord(nil, recordHeader, h)
}

// EncodeSnapshotV1 returns a snapshot file in format version 1.
func EncodeSnapshotV1(sn consensus.Snapshot) []byte {
	b, err := appendCBOR(EncodeHeader(1), recordEntry, sn)
	if err != nil {
		panic(err) // a snapshot always encodes
	}

	return b
}
