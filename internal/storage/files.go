// Package storage stores a group's log and snapshots in the data folder. It syncs files and
// their folders before it returns, so that everything it reported as stored survives a crash.
package storage

import (
	"os"
	"path/filepath"
	"sort"
)

// File is a file that is open for writing.
type File struct {
	Write func(b []byte) (int, error)
	Sync  func() error
	Close func() error
}

// ReadFile is a file that is open for reading. ReadAt reads as io.ReaderAt does.
type ReadFile struct {
	ReadAt func(b []byte, offset int64) (int, error)
	Close  func() error
}

// Files holds the file operations that the package uses. Tests inject faults by replacing them.
type Files struct {
	MkdirAll func(dir string) error
	Append   func(path string) (File, error)
	Create   func(path string) (File, error)
	Read     func(path string) ([]byte, error)
	Open     func(path string) (ReadFile, error) // removing the file does not end the reading
	Size     func(path string) (int64, error)    // in bytes
	Rename   func(from, to string) error
	Remove   func(path string) error
	Truncate func(path string, size int64) error
	SyncDir  func(dir string) error
	List     func(dir string) ([]string, error)
}

// OSFiles returns operations on the file system of the operating system.
func OSFiles() Files {
	return Files{
		MkdirAll: func(dir string) error { return os.MkdirAll(dir, 0o700) },
		Append: func(path string) (File, error) {
			return openFile(path, os.O_WRONLY|os.O_CREATE|os.O_APPEND)
		},
		Create: func(path string) (File, error) {
			return openFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC)
		},
		Read:     os.ReadFile,
		Open:     openToRead,
		Size:     size,
		Rename:   os.Rename,
		Remove:   os.Remove,
		Truncate: truncate,
		SyncDir:  syncDir,
		List:     list,
	}
}

func openFile(path string, flag int) (File, error) {
	f, err := os.OpenFile(path, flag, 0o600)
	if err != nil {
		return File{}, err
	}

	return File{Write: f.Write, Sync: f.Sync, Close: f.Close}, nil
}

func openToRead(path string) (ReadFile, error) {
	f, err := os.Open(path)
	if err != nil {
		return ReadFile{}, err
	}

	return ReadFile{ReadAt: f.ReadAt, Close: f.Close}, nil
}

func size(path string) (int64, error) {
	fi, err := os.Stat(path)
	if err != nil {
		return 0, err
	}

	return fi.Size(), nil
}

func truncate(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()

	if err := f.Truncate(size); err != nil {
		return err
	}

	return f.Sync()
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()

	return d.Sync()
}

func list(dir string) ([]string, error) {
	des, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}

	names := make([]string, 0, len(des))
	for _, de := range des {
		names = append(names, de.Name())
	}
	sort.Strings(names)

	return names, nil
}

// WriteAtomic replaces the file at path with the concatenated parts. After a crash, path
// holds either the old or the new file. After a failed write, the space of the new file is
// free again.
func (fi Files) WriteAtomic(path string, parts ...[]byte) error {
	return fi.writeAtomic(path, func(f File) error {
		for _, b := range parts {
			if err := writeAll(f, b); err != nil {
				return err
			}
		}

		return nil
	})
}

// writeAtomic replaces the file at path as WriteAtomic does, with what write writes.
func (fi Files) writeAtomic(path string, write func(f File) error) error {
	tmp := path + ".tmp"
	err := fi.create(tmp, write)
	if err == nil {
		err = fi.Rename(tmp, path)
	}
	if err != nil {
		_ = fi.Remove(tmp) // the write's own error is reported

		return err
	}

	return fi.SyncDir(filepath.Dir(path))
}

// create creates a file that holds what write writes, and syncs it.
func (fi Files) create(path string, write func(f File) error) error {
	f, err := fi.Create(path)
	if err != nil {
		return err
	}
	err = write(f)
	if err == nil {
		err = f.Sync()
	}
	if err != nil {
		_ = f.Close() // the write's own error is reported

		return err
	}

	return f.Close()
}
