package storage

import (
	"path/filepath"
	"strings"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

const partSuffix = ".part"

// part is a snapshot that is being received, in a file of its own until it is complete.
type part struct {
	path     string
	file     File // not open after a failed write
	snapshot consensus.Snapshot
	bytes    int64 // written without a failure
	unsynced int
	size     uint64 // of the data in them
	ended    bool   // the records after the data are written
	renamed  bool
	// isSuspect is set after a failed sync, which may have dropped what was written before: a later one that
	// succeeds does not store it.
	isSuspect bool
}

// IsUnfinished reports whether a file of a folder is a snapshot that was not completely written or received.
func IsUnfinished(name string) bool {
	return strings.HasSuffix(name, ".tmp") || strings.HasSuffix(name, partSuffix)
}

// saveReceived stores received parts of a snapshot, which need not survive a crash, and the whole once all
// were received.
func (st *Store) saveReceived(rd *consensus.Ready) error {
	if rd.Snapshot != nil && rd.Snapshot.Index == st.received {
		return nil // what follows was refused
	}
	// Parts before the last beginning are dropped.
	first := 0
	for i := range rd.Chunks {
		if rd.Chunks[i].Offset == 0 {
			first = i
		}
	}
	for _, ch := range rd.Chunks[first:] {
		if err := st.saveChunk(ch); err != nil {
			return st.failWith(err)
		}
	}
	if rd.Snapshot == nil {
		return nil
	}
	if err := st.finishPart(*rd.Snapshot); err != nil {
		return st.failWith(err)
	}
	if err := st.AdoptSnapshot(*rd.Snapshot, true); err != nil {
		return err
	}
	st.received = rd.Snapshot.Index

	return nil
}

func (st *Store) saveChunk(ch consensus.SnapshotChunk) error {
	if ch.Offset == 0 {
		if err := st.beginPart(ch.Snapshot); err != nil {
			return err
		}
	}
	pa := st.part
	end := ch.Offset + uint64(len(ch.Data))
	switch {
	case pa == nil || ch.Offset > pa.size || pa.snapshot.Index != ch.Snapshot.Index:
		return result.New(result.Internal, "storage: %s: a part at %d of the snapshot at %d does not follow what is stored", st.dir, ch.Offset, ch.Snapshot.Index)
	case end <= pa.size:
		return nil // stored before a later one was refused
	}
	if err := st.appendPart(appendRecord(nil, recordSnapshotData, ch.Data)); err != nil {
		return err
	}
	pa.size = end

	return nil
}

// beginPart creates the file of a snapshot that is being received, and removes the former one.
func (st *Store) beginPart(sn consensus.Snapshot) error {
	if err := st.dropPart(); err != nil {
		return err
	}
	b, err := appendSnapshotHead(nil, st.group, sn)
	if err != nil {
		return err
	}
	path := st.snapshotPath(sn.Index) + partSuffix
	f, err := st.files.Create(path)
	if err != nil {
		return err
	}
	st.part = &part{path: path, file: f, snapshot: sn}

	return st.appendPart(b)
}

// dropPart removes the file of a snapshot that is being received, if there is one.
func (st *Store) dropPart() error {
	pa := st.part
	if pa == nil {
		return nil
	}
	pa.close()
	st.part = nil
	if pa.renamed {
		return nil
	}

	return st.remove(pa.path)
}

func (pa *part) close() {
	if pa.file.Close != nil {
		_ = pa.file.Close() // what was written is synced before it is used
	}
	pa.file = File{}
}

// appendPart appends to the file of the snapshot that is being received. What a failed write has left
// behind is cut off first.
func (st *Store) appendPart(b []byte) error {
	pa := st.part
	if pa.file.Write == nil {
		if err := st.files.Truncate(pa.path, pa.bytes); err != nil {
			return err
		}
		f, err := st.files.Append(pa.path)
		if err != nil {
			return err
		}
		pa.file = f
	}
	err := writeAll(pa.file, b)
	if pa.unsynced += len(b); err == nil && pa.unsynced >= snapshotSyncBytes {
		err = pa.sync()
	}
	if err != nil {
		pa.close()

		return err
	}
	pa.bytes += int64(len(b))

	return nil
}

func (pa *part) sync() error {
	pa.unsynced = 0
	err := pa.file.Sync()
	pa.isSuspect = pa.isSuspect || err != nil

	return err
}

// rewritePart writes the file of the snapshot that is being received anew, from what the system holds of it.
// Damage is found when the state is restored from it.
func (st *Store) rewritePart() error {
	pa := st.part
	pa.close()
	old, err := st.files.Open(pa.path)
	if err != nil {
		return err
	}
	defer func() { _ = old.Close() }() // it was only read

	err = st.files.writeAtomic(pa.path, func(f File) error {
		b := make([]byte, maxPieceBytes)
		for at := int64(0); at < pa.bytes; {
			n := min(pa.bytes-at, maxPieceBytes)
			if read, err := old.ReadAt(b[:n], at); read < int(n) {
				return err
			}
			if err := writeAll(f, b[:n]); err != nil {
				return err
			}
			at += n
		}

		return nil
	})
	pa.isSuspect = pa.isSuspect && err != nil

	return err
}

// finishPart makes the received snapshot a stored one. It goes on where a call that failed stopped.
func (st *Store) finishPart(sn consensus.Snapshot) error {
	pa := st.part
	if pa == nil || pa.snapshot.Index != sn.Index || pa.size != sn.Size {
		return result.New(result.Internal, "storage: %s: the snapshot at %d with %d bytes was not received", st.dir, sn.Index, sn.Size)
	}
	if !pa.ended {
		if err := st.appendPart(snapshotEnd(sn.Size, sn.Digest)); err != nil {
			return err
		}
		pa.ended = true
	}
	if !pa.renamed {
		if err := st.securePart(); err != nil {
			return err
		}
		if err := st.files.Rename(pa.path, st.snapshotPath(sn.Index)); err != nil {
			return err
		}
		pa.renamed = true
	}

	return st.files.SyncDir(st.dir)
}

// securePart makes all that was written of the snapshot that is being received survive a crash.
func (st *Store) securePart() error {
	switch pa := st.part; {
	case pa.isSuspect:
		return st.rewritePart()
	case pa.unsynced > 0:
		return pa.sync()
	}

	return nil
}

// removeParts removes what a former process received of a snapshot.
func (st *Store) removeParts(names []string) {
	for _, name := range names {
		if strings.HasSuffix(name, partSuffix) {
			_ = st.files.Remove(filepath.Join(st.dir, name)) // the next snapshot that is adopted removes it too
		}
	}
}
