package storage_test

import (
	"testing"

	"github.com/tamarackbay/tamarackbay/internal/storage"
)

// FuzzOpen opens a store whose log segment holds arbitrary bytes. Open must not panic, and
// the entries that it recovers must have no gap.
func FuzzOpen(f *testing.F) {
	f.Add(storage.EncodeHeader(1))
	f.Add([]byte{1, 0, 0, 0, 9, 9, 9, 9, 2})
	f.Fuzz(func(t *testing.T, b []byte) {
		d := newDisk()
		d.files[dir+"/log-0000000000000001"] = &memoryFile{data: b, synced: len(b)}
		_, re, err := storage.Open(d.operations(), dir, 1)
		if err != nil {
			return
		}
		for i, en := range re.Entries {
			if en.Index != uint64(i)+1 {
				t.Fatalf("entry %d has index %d", i, en.Index)
			}
		}
	})
}
