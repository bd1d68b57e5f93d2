package storage

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
)

// EncodeHeader returns a segment of a format version.
func EncodeHeader(format int) []byte {
	h, err := cbor.Marshal(fileHeader{Format: format})
	if err != nil {
		panic(err)
	}

	return appendRecord(nil, recordHeader, h)
}

// EncodeSnapshotV1 returns a file with a snapshot as version 1 wrote it.
func EncodeSnapshotV1(sn consensus.Snapshot) []byte {
	b, err := appendCBOR(EncodeHeader(1), recordEntry, sn)
	if err != nil {
		panic(err) // snapshots can be encoded
	}

	return b
}
