package storage

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/codec"
	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// FormatVersion is the version of the files that this package writes.
//
// Version 2 stores the data of a snapshot in separate records: first the metadata, then the data in
// records of any size, its total size and the digest of the snapshot, which was added later and which
// earlier programs ignore. Version 1 can still be read.
const FormatVersion = 2

// maxRetainedBytes bounds the buffer that is kept for the next write.
const maxRetainedBytes = 1 << 20

// maxSegmentBytes is the size of a log segment above which a new one is started.
const maxSegmentBytes = 16 << 20

type fileHeader struct {
	Format int               `cbor:"1,keyasint"`
	Group  consensus.GroupID `cbor:"2,keyasint"`
	First  uint64            `cbor:"3,keyasint"` // index of the snapshot when the segment started; it covers all entries up to here
	Last   uint64            `cbor:"4,keyasint"` // index of the last entry of the log when the segment started; 0 if that was not recorded
}

type segment struct {
	name      string
	lastIndex uint64 // highest index of the entries in the segment
}

// Store stores the log and the snapshot of one group. It is not safe for concurrent use,
// except for WriteSnapshot. After a failed write the state of the disk is unknown, so that all
// further writes fail too until Resume has repaired it; WriteSnapshot alone neither checks for
// a failure nor records one.
type Store struct {
	files        Files
	dir          string
	group        consensus.GroupID
	currentFile  File
	currentBytes int  // synced size of the current segment
	hasHeader    bool // the current segment's header is stored
	recovered    recoveredTail
	sequence     int
	segments     []segment
	hardState    consensus.HardState
	lastIndex    uint64 // of the log
	snapshot     consensus.Snapshot
	part         *part  // nil unless a snapshot is being received
	received     uint64 // index of the last snapshot that was received and adopted
	encodeBuffer []byte
	failure      error
	pause        func(d time.Duration) // between the pieces of a snapshot
}

// recoveredTail is the newest segment that Open read, until it is cut and synced.
type recoveredTail struct {
	path string // "" once nothing is left to do
	size int64  // up to its last whole record
	torn bool
}

// Recovered is the state that Open read from the disk.
type Recovered struct {
	HardState consensus.HardState
	Snapshot  consensus.Snapshot
	Entries   []consensus.Entry
	TornBytes int // size of the incomplete record that Open cut off the end of the log
}

// restoreFunc takes the data of a snapshot, of which it need not read the end.
type restoreFunc func(sn consensus.Snapshot, data io.Reader) error

// Open recovers the state stored in the folder dir as OpenWith does, and returns the data of the snapshot
// in Recovered.
func Open(files Files, dir string, group consensus.GroupID) (*Store, *Recovered, error) {
	var data []byte
	st, re, err := OpenWith(files, dir, group, func(_ consensus.Snapshot, r io.Reader) (err error) {
		data, err = io.ReadAll(r)

		return err
	})
	if err != nil {
		return nil, nil, err
	}
	re.Snapshot.Data = data

	return st, re, nil
}

// OpenWith recovers the state stored in the folder dir and starts a new segment. It passes the data of the
// stored snapshot, if there is one, to restore, whose error it returns. If only the disk refuses to be
// written, the store is returned all the same, and Failure reports the error.
func OpenWith(files Files, dir string, group consensus.GroupID, restore restoreFunc) (*Store, *Recovered, error) {
	if err := files.MkdirAll(dir); err != nil {
		return nil, nil, fileError(dir, err)
	}

	st := &Store{files: files, dir: dir, group: group, pause: time.Sleep}
	names, err := files.List(dir)
	if err != nil {
		return nil, nil, fileError(dir, err)
	}

	st.removeParts(names)
	re := &Recovered{}
	if err := st.readSnapshots(names, re, restore); err != nil {
		return nil, nil, err
	}
	if err := st.readSegments(names, re); err != nil {
		return nil, nil, err
	}
	st.hardState, st.snapshot, st.lastIndex = re.HardState, withoutData(re.Snapshot), re.Snapshot.Index+uint64(len(re.Entries))
	st.addSegment()
	if err := st.openSegment(); err != nil {
		if !IsTransient(err) {
			return nil, nil, err
		}
		st.failure = err
	}

	return st, re, nil
}

func fileError(path string, err error) error {
	return result.New(result.DataFolderWrite, "storage: %s: %v", path, err).WithCause(err)
}

// IsTransient reports whether a failed write may succeed later. A missing permission does not
// change by itself.
func IsTransient(err error) bool {
	return result.Is(err, result.DataFolderWrite) && !errors.Is(err, fs.ErrPermission)
}

func damagedError(path string, offset int, what string) error {
	return result.New(result.DataFolderDamaged, "storage: %s: offset %d: %s", path, offset, what)
}

func checkHeader(path string, body []byte) (fileHeader, error) {
	var h fileHeader
	if err := cbor.Unmarshal(body, &h); err != nil {
		return h, damagedError(path, 0, err.Error())
	}
	if h.Format > FormatVersion {
		return h, result.New(result.DataFolderNewer, "storage: %s: file format %d is newer than the supported format %d", path, h.Format, FormatVersion)
	}

	return h, nil
}

// IsLog reports whether a file of a folder is a segment of the log. There is one at least once Open has returned
// without a failure.
func IsLog(name string) bool { return strings.HasPrefix(name, "log-") }

func (st *Store) readSegments(names []string, re *Recovered) error {
	var logs []string
	for _, name := range names {
		if IsLog(name) {
			logs = append(logs, name)
		}
	}

	for i, name := range logs {
		if err := st.readSegment(name, i == len(logs)-1, re); err != nil {
			return err
		}
	}

	return nil
}

// secureRecovered cuts the incomplete record off the newest segment that was read and syncs it.
// A killed process may have written to it without a sync, but all recovered entries count as
// stored from now on.
func (st *Store) secureRecovered() error {
	path := st.recovered.path
	if path == "" {
		return nil
	}
	if st.recovered.torn {
		if err := st.files.Truncate(path, st.recovered.size); err != nil {
			return fileError(path, err)
		}
	}
	f, err := st.files.Append(path)
	if err != nil {
		return fileError(path, err)
	}
	defer func() { _ = f.Close() }() // nothing was written
	if err := f.Sync(); err != nil {
		return fileError(path, err)
	}
	st.recovered = recoveredTail{}

	return nil
}

func (st *Store) readSegment(name string, isLast bool, re *Recovered) error {
	path := filepath.Join(st.dir, name)
	b, err := st.files.Read(path)
	if err != nil {
		return fileError(path, err)
	}
	if _, err := fmt.Sscanf(name, "log-%d", &st.sequence); err != nil {
		return damagedError(path, 0, "the file name is not that of a log segment")
	}

	st.recovered = recoveredTail{path: path}
	sg := segment{name: name}
	for off := 0; off < len(b); {
		kind, body, size, ok := readRecord(b[off:])
		if !ok {
			if !isLast || hasRecordAfter(b[off:]) {
				return damagedError(path, off, "invalid record in the middle of the log")
			}
			re.TornBytes += len(b) - off
			st.recovered = recoveredTail{path: path, size: int64(off), torn: true}

			break
		}
		if err := st.recoverRecord(path, off, kind, body, &sg, re); err != nil {
			return err
		}
		off += size
	}
	st.segments = append(st.segments, sg)

	return nil
}

func (st *Store) recoverRecord(path string, off int, kind byte, body []byte, sg *segment, re *Recovered) error {
	switch kind {
	case recordHeader:
		h, err := checkHeader(path, body)
		if end := re.Snapshot.Index + uint64(len(re.Entries)); err == nil && h.Last > end {
			return damagedError(path, off, fmt.Sprintf("the log held entries up to %d when this segment was started, but only those up to %d are left", h.Last, end))
		}

		return err
	case recordHardState:
		if err := cbor.Unmarshal(body, &re.HardState); err != nil {
			return damagedError(path, off, err.Error())
		}
	case recordEntry:
		var en consensus.Entry
		if err := cbor.Unmarshal(body, &en); err != nil {
			return damagedError(path, off, err.Error())
		}
		sg.lastIndex = max(sg.lastIndex, en.Index)
		if en.Index <= re.Snapshot.Index {
			return nil
		}

		at := en.Index - re.Snapshot.Index - 1
		if at > uint64(len(re.Entries)) {
			return damagedError(path, off, fmt.Sprintf("entry %d follows a gap in the log", en.Index))
		}
		re.Entries = append(re.Entries[:at], en)
	default:
		return damagedError(path, off, fmt.Sprintf("unknown record kind %d", kind))
	}

	return nil
}

// startSegment ends the current segment and starts the next one.
func (st *Store) startSegment() error {
	if st.currentFile.Close != nil {
		_ = st.currentFile.Close()
	}
	st.addSegment()
	if err := st.openSegment(); err != nil {
		return st.failWith(err)
	}

	return nil
}

func (st *Store) addSegment() {
	st.sequence++
	st.currentFile, st.currentBytes, st.hasHeader = File{}, 0, false
	st.segments = append(st.segments, segment{name: fmt.Sprintf("log-%016d", st.sequence)})
}

// openSegment opens the current segment for writing and stores its header, unless that is
// stored already.
func (st *Store) openSegment() error {
	if err := st.secureRecovered(); err != nil {
		return err
	}
	path := st.currentPath()
	f, err := st.files.Append(path)
	if err != nil {
		return fileError(path, err)
	}
	st.currentFile = f
	if st.hasHeader {
		return nil
	}
	h, err := cbor.Marshal(fileHeader{Format: FormatVersion, Group: st.group, First: st.snapshot.Index, Last: st.lastIndex})
	if err != nil {
		return fileError(path, err)
	}
	b := appendRecord(nil, recordHeader, h)
	if st.hardState != (consensus.HardState{}) {
		if b, err = appendCBOR(b, recordHardState, st.hardState); err != nil {
			return fileError(path, err)
		}
	}
	if err := st.writeSynced(b); err != nil {
		return err
	}
	if err := st.files.SyncDir(st.dir); err != nil {
		return fileError(st.dir, err)
	}
	st.hasHeader = true

	return nil
}

func (st *Store) currentPath() string {
	return filepath.Join(st.dir, st.segments[len(st.segments)-1].name)
}

// Failure returns the error after which all writes fail, nil if there is none.
func (st *Store) Failure() error { return st.failure }

// Resume repairs the store after a failed write: it cuts off what that write left behind, so
// that the caller can repeat the write. It returns an error while the disk still refuses, and
// for damage that it can't repair.
func (st *Store) Resume() error {
	if st.failure == nil || !IsTransient(st.failure) {
		return st.failure
	}
	if st.currentFile.Close != nil {
		_ = st.currentFile.Close() // the failed write is cut off below
		st.currentFile = File{}
	}
	path := st.currentPath()
	if err := st.cutUnsynced(path); err != nil {
		return fileError(path, err)
	}
	if err := st.openSegment(); err != nil {
		return err
	}
	st.failure = nil

	return nil
}

// cutUnsynced removes what was written to the current segment after its last sync.
func (st *Store) cutUnsynced(path string) error {
	if err := st.files.Truncate(path, int64(st.currentBytes)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}

	return nil
}

func appendCBOR(dst []byte, kind byte, v any) ([]byte, error) {
	at := len(dst)
	dst, err := codec.Append(beginRecord(dst, kind), v)
	if err != nil {
		return nil, err
	}
	finishRecord(dst[at:])

	return dst, nil
}

func (st *Store) failWith(err error) error {
	if !result.Is(err, result.DataFolderWrite) && !result.Is(err, result.Internal) {
		err = fileError(st.dir, err)
	}
	st.failure = err

	return err
}

func (st *Store) writeSynced(b []byte) error {
	if err := writeAll(st.currentFile, b); err != nil {
		return st.failWith(err)
	}
	if err := st.currentFile.Sync(); err != nil {
		return st.failWith(err)
	}
	st.currentBytes += len(b)

	return nil
}

// Save stores the chunks of rd, its snapshot, which must have been received in chunks, then its hard state
// and entries with one sync. After an error, all further writes fail until Resume, after which the call can
// be repeated.
func (st *Store) Save(rd *consensus.Ready) error {
	if st.failure != nil {
		return st.failure
	}
	if err := st.saveReceived(rd); err != nil {
		return err
	}
	if rd.HardState == nil && len(rd.Entries) == 0 {
		return nil
	}

	var err error
	b := st.encodeBuffer[:0]
	if rd.HardState != nil {
		st.hardState = *rd.HardState
		if b, err = appendCBOR(b, recordHardState, st.hardState); err != nil {
			return st.failWith(err)
		}
	}
	sg := &st.segments[len(st.segments)-1]
	for i := range rd.Entries {
		if b, err = appendCBOR(b, recordEntry, &rd.Entries[i]); err != nil {
			return st.failWith(err)
		}
		sg.lastIndex = max(sg.lastIndex, rd.Entries[i].Index)
	}
	if st.encodeBuffer = b; cap(b) > maxRetainedBytes {
		st.encodeBuffer = nil
	}
	if err := st.writeSynced(b); err != nil {
		return err
	}
	if n := len(rd.Entries); n > 0 {
		st.lastIndex = rd.Entries[n-1].Index
	}
	if st.currentBytes > maxSegmentBytes {
		return st.startSegment()
	}

	return nil
}

// remove removes a file, which a removal that failed before may have done already.
func (st *Store) remove(path string) error {
	if err := st.files.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}

	return nil
}

func (st *Store) syncFolder() error {
	if err := st.files.SyncDir(st.dir); err != nil {
		return st.failWith(err)
	}

	return nil
}

// Close closes the current segment.
func (st *Store) Close() error {
	if st.part != nil {
		st.part.close()
	}
	if st.currentFile.Close == nil {
		return nil
	}

	return st.currentFile.Close()
}
