package storage_test

import (
	"bytes"
	"errors"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sort"

	"github.com/tamarackbay/tamarackbay/internal/storage"
)

// memoryDisk is an in-memory file system that loses unsynced data in a crash.
type memoryDisk struct {
	files           map[string]*memoryFile // files as the running process sees them
	durable         map[string]*memoryFile // files whose folder entry was synced
	fault           func(op, path string) error
	shortWriteBytes int // writes stop short after this many bytes; -1 disables it
	readBytes       int // read from parts of files so far
}

type memoryFile struct {
	data   []byte
	synced int
	// After a failed sync the system takes what was written for stored; it is gone after a crash.
	lostFrom, lostTo int
}

// lose makes the file lose in a crash what was not synced yet.
func (f *memoryFile) lose() { f.lostFrom, f.lostTo = f.synced, len(f.data) }

var errDisk = errors.New("disk fault")

func newDisk() *memoryDisk {
	return &memoryDisk{files: map[string]*memoryFile{}, durable: map[string]*memoryFile{}, shortWriteBytes: -1, fault: func(string, string) error { return nil }}
}

// crash retains synced data and a random prefix of the data after it.
func (d *memoryDisk) crash(rnd *rand.Rand) {
	d.files = map[string]*memoryFile{}
	for p, f := range d.durable {
		n := f.synced
		if extra := len(f.data) - n; extra > 0 {
			n += rnd.IntN(extra + 1)
		}
		f.data, f.synced = f.data[:n:n], n
		clear(f.data[min(f.lostFrom, n):min(f.lostTo, n)])
		d.files[p] = f
	}
	d.fault = func(string, string) error { return nil }
}

func (d *memoryDisk) open(path string, truncate bool) (storage.File, error) {
	if err := d.fault("open", path); err != nil {
		return storage.File{}, err
	}
	f, ok := d.files[path]
	if !ok || truncate {
		f = &memoryFile{}
		d.files[path] = f
	}

	return storage.File{
		Write: func(b []byte) (int, error) {
			if err := d.fault("write", path); err != nil {
				return 0, err
			}
			if d.shortWriteBytes >= 0 && len(b) > d.shortWriteBytes {
				f.data = append(f.data, b[:d.shortWriteBytes]...)

				return d.shortWriteBytes, errDisk
			}
			f.data = append(f.data, b...)

			return len(b), nil
		},
		Sync: func() error {
			if err := d.fault("sync", path); err != nil {
				return err
			}
			f.synced = len(f.data)

			return nil
		},
		Close: func() error { return nil },
	}, nil
}

func (d *memoryDisk) operations() storage.Files {
	return storage.Files{
		MkdirAll: func(dir string) error { return d.fault("mkdir", dir) },
		Append:   func(p string) (storage.File, error) { return d.open(p, false) },
		Create:   func(p string) (storage.File, error) { return d.open(p, true) },
		Read: func(p string) ([]byte, error) {
			f, ok := d.files[p]
			if !ok {
				return nil, fs.ErrNotExist
			}

			return slices.Clone(f.data), nil
		},
		Open: func(p string) (storage.ReadFile, error) {
			f, ok := d.files[p]
			if !ok {
				return storage.ReadFile{}, fs.ErrNotExist
			}
			readAt := func(b []byte, offset int64) (int, error) {
				d.readBytes += len(b)

				return bytes.NewReader(f.data).ReadAt(b, offset)
			}

			return storage.ReadFile{ReadAt: readAt, Close: func() error { return nil }}, d.fault("openToRead", p)
		},
		Size: func(p string) (int64, error) {
			f, ok := d.files[p]
			if !ok {
				return 0, fs.ErrNotExist
			}

			return int64(len(f.data)), nil
		},
		Rename: func(from, to string) error {
			if err := d.fault("rename", to); err != nil {
				return err
			}
			d.files[to] = d.files[from]
			delete(d.files, from)

			return nil
		},
		Remove: func(p string) error {
			delete(d.files, p)

			return d.fault("remove", p)
		},
		Truncate: func(p string, size int64) error {
			if err := d.fault("truncate", p); err != nil {
				return err
			}
			if d.files[p] == nil {
				return fs.ErrNotExist
			}
			d.files[p].data = d.files[p].data[:size]
			d.files[p].synced = int(size)
			d.files[p].lostTo = max(min(d.files[p].lostTo, int(size)), d.files[p].lostFrom)

			return nil
		},
		SyncDir: func(dir string) error {
			if err := d.fault("syncDir", dir); err != nil {
				return err
			}
			for p := range d.durable {
				if filepath.Dir(p) == dir {
					delete(d.durable, p)
				}
			}
			for p, f := range d.files {
				if filepath.Dir(p) == dir {
					d.durable[p] = f
				}
			}

			return nil
		},
		List: func(dir string) ([]string, error) {
			var out []string
			for p := range d.files {
				if filepath.Dir(p) == dir {
					out = append(out, filepath.Base(p))
				}
			}
			sort.Strings(out)

			return out, nil
		},
	}
}
