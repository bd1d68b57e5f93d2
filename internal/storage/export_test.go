package storage

import (
	"encoding/binary"
	"slices"
	"time"

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

// EncodeSnapshotWithoutDigest returns a snapshot file in format version 2, as it was written before the
// digest was added, with records of so many bytes of data.
func EncodeSnapshotWithoutDigest(sn consensus.Snapshot, recordBytes int) []byte {
	b, err := appendCBOR(EncodeHeader(2), recordEntry, withoutData(sn))
	if err != nil {
		panic(err) // a snapshot always encodes
	}
	for part := range slices.Chunk(sn.Data, recordBytes) {
		b = appendRecord(b, recordSnapshotData, part)
	}

	return appendRecord(b, recordSnapshotEnd, binary.LittleEndian.AppendUint64(nil, uint64(len(sn.Data))))
}

// SetPause replaces the pause between the pieces of a snapshot.
func (st *Store) SetPause(pause func(d time.Duration)) { st.pause = pause }
