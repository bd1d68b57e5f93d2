package statemachine

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/codec"
)

// RestoreWhole restores a snapshot as programs did that decoded it as one item.
func RestoreWhole(data []byte) (*Machine, error) {
	var sn snapshot
	if err := cbor.Unmarshal(data, &sn); err != nil {
		return nil, err
	}

	return restore(sn)
}

// EncodeWhole encodes the state in data as programs did that encoded it as one item, with the jobs in the
// place of their key and null if there are none.
func EncodeWhole(data []byte) ([]byte, error) {
	var sn snapshot
	if err := cbor.Unmarshal(data, &sn); err != nil {
		return nil, err
	}
	type withJobs struct {
		snapshot
		Jobs any `cbor:"15,keyasint"`
	}

	return codec.Append(nil, withJobs{snapshot: sn, Jobs: sn.Jobs})
}
