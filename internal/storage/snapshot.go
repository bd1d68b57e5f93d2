package storage

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
)

// readSnapshots reads all snapshots, and passes the newest to restore.
func (st *Store) readSnapshots(names []string, re *Recovered, restore restoreFunc) error {
	var paths []string // oldest first
	for _, name := range names {
		if strings.HasPrefix(name, "snapshot-") && !IsUnfinished(name) {
			paths = append(paths, filepath.Join(st.dir, name))
		}
	}
	for i, path := range paths {
		if i < len(paths)-1 {
			if _, err := st.readSnapshot(path, nil); err != nil {
				return err
			}

			continue
		}
		sn, err := st.readSnapshot(path, restore)
		if err != nil {
			return err
		}
		re.Snapshot = sn
	}

	return nil
}

// readSnapshot reads a snapshot to its end, passes its data to restore, unless that is nil, and returns
// its metadata.
func (st *Store) readSnapshot(path string, restore restoreFunc) (consensus.Snapshot, error) {
	sr, err := openSnapshot(st.files, path)
	if err != nil {
		return consensus.Snapshot{}, err
	}
	defer func() { _ = sr.Close() }() // it was only read

	if restore != nil {
		if err := restore(sr.Snapshot(), sr); err != nil {
			return consensus.Snapshot{}, err
		}
	}
	if _, err := io.Copy(io.Discard, sr); err != nil {
		return consensus.Snapshot{}, err
	}

	return sr.Snapshot(), nil
}

// SaveSnapshot stores sn. A snapshot received from the leader replaces the entire log.
func (st *Store) SaveSnapshot(sn consensus.Snapshot, received bool) error {
	if st.failure != nil {
		return st.failure
	}
	stored, err := st.writeSnapshot(sn, nil, func(w io.Writer) error {
		_, err := w.Write(sn.Data)

		return err
	})
	if err != nil {
		st.failure = err

		return err
	}

	return st.AdoptSnapshot(stored, received)
}

// WriteSnapshot writes a snapshot with the metadata sn next to the stored snapshot, and returns the
// metadata with the size and the digest. The data is what encode writes; only a piece of it is held in
// memory. WriteSnapshot may run concurrently with all other calls, and leaves half of the disk to them.
// The caller must then call AdoptSnapshot or DropSnapshot. An error of encode is returned as it is.
func (st *Store) WriteSnapshot(sn consensus.Snapshot, encode func(w io.Writer) error) (consensus.Snapshot, error) {
	return st.writeSnapshot(sn, st.pause, encode)
}

func (st *Store) writeSnapshot(sn consensus.Snapshot, pause func(d time.Duration), encode func(w io.Writer) error) (consensus.Snapshot, error) {
	var encodeErr error
	err := st.files.writeAtomic(st.snapshotPath(sn.Index), func(f File) error {
		pw, err := newPieceWriter(f, pause, st.group, sn)
		if err != nil {
			return err
		}
		if err := encode(pw); err != nil {
			if pw.err == nil {
				encodeErr = err
			}

			return err
		}
		err = pw.finish()
		sn.Size, sn.Digest = pw.size, pw.digest.Sum64()

		return err
	})
	switch {
	case encodeErr != nil:
		return consensus.Snapshot{}, encodeErr
	case err != nil:
		return consensus.Snapshot{}, fileError(st.dir, err)
	}

	return withoutData(sn), nil
}

// DropSnapshot removes a written snapshot that is not adopted because a newer one is stored.
func (st *Store) DropSnapshot(index uint64) error {
	if st.failure != nil || index == st.snapshot.Index {
		return st.failure
	}
	if err := st.remove(st.snapshotPath(index)); err != nil {
		return st.failWith(err)
	}

	return st.syncFolder()
}

// AdoptSnapshot makes a written snapshot the stored one and removes the older snapshot and
// the log segments that it covers, or all older segments if it was received from the leader.
func (st *Store) AdoptSnapshot(sn consensus.Snapshot, received bool) error {
	if st.failure != nil {
		return st.failure
	}
	st.snapshot = withoutData(sn)
	if received {
		st.lastIndex = sn.Index
		if err := st.startSegment(); err != nil {
			return err
		}
	}
	if err := st.removeOldSnapshots(); err != nil {
		return st.failWith(err)
	}

	if err := st.removeCoveredSegments(received); err != nil {
		return err
	}
	if st.part != nil && st.part.snapshot.Index <= sn.Index {
		if err := st.dropPart(); err != nil {
			return st.failWith(err)
		}
	}

	return nil
}

// removeOldSnapshots removes all snapshots before the stored one, also those that a failed
// write left behind.
func (st *Store) removeOldSnapshots() error {
	names, err := st.files.List(st.dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		var index uint64
		if _, err := fmt.Sscanf(name, "snapshot-%d", &index); err != nil || index >= st.snapshot.Index {
			continue
		}
		if err := st.remove(filepath.Join(st.dir, name)); err != nil {
			return err
		}
	}

	return nil
}

// removeCoveredSegments removes the segments that the snapshot covers, oldest first. If
// all is set, it removes all segments but the current one.
func (st *Store) removeCoveredSegments(all bool) error {
	for len(st.segments) > 1 && (all || st.segments[0].lastIndex <= st.snapshot.Index) {
		if err := st.remove(filepath.Join(st.dir, st.segments[0].name)); err != nil {
			return st.failWith(err)
		}
		st.segments = st.segments[1:]
	}

	return st.syncFolder()
}

func (st *Store) snapshotPath(index uint64) string {
	return filepath.Join(st.dir, fmt.Sprintf("snapshot-%016d", index))
}

// withoutData returns the metadata of a snapshot, which stays in memory. The data is read
// from the disk when a replica needs the snapshot.
func withoutData(sn consensus.Snapshot) consensus.Snapshot {
	sn.Data = nil

	return sn
}
