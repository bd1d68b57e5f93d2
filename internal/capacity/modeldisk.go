package capacity

import (
	"errors"
	"sync"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/storage"
)

const (
	modelDiskBytes = 120e6            // read or written in a second
	modelDiskSync  = time.Millisecond // time of a sync
)

var errPowerLost = errors.New("capacity: the disk has no power")

// modelDisk gives files the speed of the modelled disk of a VM. Each use waits for those that came before.
// Syncs of the disk below are left out.
type modelDisk struct {
	powerLost chan struct{}

	mu   sync.Mutex
	idle time.Time // when the last use ends
}

func newModelDisk() *modelDisk { return &modelDisk{powerLost: make(chan struct{})} }

// cutPower fails all uses from now on, also those that wait.
func (md *modelDisk) cutPower() { close(md.powerLost) }

func (md *modelDisk) use(d time.Duration) error {
	md.mu.Lock()
	now := time.Now()
	if md.idle.Before(now) {
		md.idle = now
	}
	md.idle = md.idle.Add(d)
	wait := md.idle.Sub(now)
	md.mu.Unlock()

	select {
	case <-md.powerLost:
		return errPowerLost
	case <-time.After(wait):
		return nil
	}
}

func (md *modelDisk) transfer(bytes int) error {
	return md.use(time.Duration(float64(bytes) / modelDiskBytes * float64(time.Second)))
}

// files returns the operations on the files of the disk.
func (md *modelDisk) files() storage.Files {
	fi := storage.OSFiles()
	fi.Append, fi.Create = md.writer(fi.Append), md.writer(fi.Create)
	read := fi.Read
	fi.Read = func(path string) ([]byte, error) {
		b, err := read(path)
		if err != nil {
			return nil, err
		}

		return b, md.transfer(len(b))
	}
	open := fi.Open
	fi.Open = func(path string) (storage.ReadFile, error) {
		f, err := open(path)
		if err != nil {
			return f, err
		}
		readAt := f.ReadAt
		f.ReadAt = func(b []byte, offset int64) (int, error) {
			n, err := readAt(b, offset)
			if terr := md.transfer(n); terr != nil {
				return 0, terr
			}

			return n, err
		}

		return f, nil
	}
	fi.SyncDir = func(string) error { return md.use(modelDiskSync) }

	return fi
}

// writer returns open with files that take the time of the disk.
func (md *modelDisk) writer(open func(path string) (storage.File, error)) func(path string) (storage.File, error) {
	return func(path string) (storage.File, error) {
		f, err := open(path)
		if err != nil {
			return f, err
		}
		write := f.Write
		f.Write = func(b []byte) (int, error) {
			if err := md.transfer(len(b)); err != nil {
				return 0, err
			}

			return write(b)
		}
		f.Sync = func() error { return md.use(modelDiskSync) }

		return f, nil
	}
}
