package origin

import (
	"context"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"io/fs"
	"path/filepath"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/storage"
)

const (
	// syncPeriod bounds what a loss of power takes: records that were written in it. It is not
	// waited for, since a sync would delay the first event of each stream, and one for each
	// stream would compete with those of the replica's log.
	syncPeriod = 100 * time.Millisecond
	// reopenPeriod is the time between two tries to write to a disk that refuses writes.
	reopenPeriod = time.Second
	// maxSegmentRecords bounds the records of a segment. There are two.
	maxSegmentRecords = MaxOrigins / 2
	// rewriteAfter is the age of a written record from which the same record is written again, so
	// that a stream that goes on does not expire on the disk.
	rewriteAfter = Retention / 4

	currentSegment  = "current"
	previousSegment = "previous"
	// batchHeaderBytes is the length of the checksum and size before each batch, 4 bytes each.
	batchHeaderBytes = 8
)

// FileConfig configures a File.
type FileConfig struct {
	Folder string
	Files  storage.Files
	Now    func() time.Duration // monotonic
	WallMs func() int64
	Log    log.Interface
}

// File keeps the origins that a controller has recorded on its disk, so that they survive the
// loss of all processes at once. It holds two segments of bounded size and replaces the older
// one. Records are an aid: if the disk refuses them or is damaged, their streams are refused
// after a restart, and everything else goes on.
type File struct {
	cfg   FileConfig
	dirty chan struct{}

	mu        sync.Mutex
	out       storage.File // Write is nil while the segment is not open
	size      int64        // bytes of complete batches in the current segment
	count     int          // records in it
	begunMs   int64        // time of its first batch
	refused   bool         // the last write failed
	refusedAt time.Duration
	lost      int64 // records that were not written
	isClosed  bool
}

// batch is a group of records as stored.
type batch struct {
	AtMs    int64    `cbor:"1,keyasint"` // Unix milliseconds
	Records []Record `cbor:"2,keyasint"`
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// OpenFile adds the records in a folder to a table, apart from those that are older than
// Retention, and returns the File for further ones.
func OpenFile(cfg FileConfig, ta *Table) *File {
	fi := &File{cfg: cfg, dirty: make(chan struct{}, 1)}
	if err := cfg.Files.MkdirAll(cfg.Folder); err != nil {
		fi.noteRefusal(err)
	}
	fi.load(previousSegment, ta)
	fi.size, fi.count, fi.begunMs = fi.load(currentSegment, ta)

	return fi
}

func (fi *File) path(segment string) string { return filepath.Join(fi.cfg.Folder, segment) }

// load adds the records of a segment to the table, up to the first batch that is damaged or
// incomplete.
func (fi *File) load(segment string, ta *Table) (size int64, count int, begunMs int64) {
	b, err := fi.cfg.Files.Read(fi.path(segment))
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			fi.cfg.Log.WithError(err).WithField("segment", segment).Warn("origins of streams not read from the disk")
		}

		return 0, 0, 0
	}
	whole := len(b)
	for len(b) > 0 {
		ba, n, ok := decodeBatch(b)
		if !ok {
			fi.cfg.Log.WithFields(log.Fields{"segment": segment, "readBytes": size, "bytes": whole}).
				Warn("origins of streams on the disk are damaged or incomplete, the rest of the segment is not used")

			break
		}
		if begunMs == 0 {
			begunMs = ba.AtMs
		}
		// A clock that was set back makes a record appear younger, never older.
		if age := time.Duration(max(0, fi.cfg.WallMs()-ba.AtMs)) * time.Millisecond; age <= Retention {
			ta.addAged(ba.Records, age)
		}
		size, count, b = size+int64(n), count+len(ba.Records), b[n:]
	}

	return size, count, begunMs
}

func encodeBatch(ba batch) ([]byte, error) {
	body, err := cbor.Marshal(ba)
	if err != nil {
		return nil, err
	}
	b := make([]byte, batchHeaderBytes, batchHeaderBytes+len(body))
	binary.LittleEndian.PutUint32(b, crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint32(b[4:], uint32(len(body)))

	return append(b, body...), nil
}

// decodeBatch returns the batch at the start of b and its size, or false if there is none that
// is complete and intact.
func decodeBatch(b []byte) (ba batch, size int, ok bool) {
	if len(b) < batchHeaderBytes {
		return ba, 0, false
	}
	n := int64(binary.LittleEndian.Uint32(b[4:]))
	if n > int64(len(b)-batchHeaderBytes) {
		return ba, 0, false
	}
	body := b[batchHeaderBytes : batchHeaderBytes+int(n)]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(b) || cbor.Unmarshal(body, &ba) != nil {
		return ba, 0, false
	}

	return ba, batchHeaderBytes + int(n), true
}

// Append writes records. They survive the end of the process when it returns, and a loss of
// power after syncPeriod.
func (fi *File) Append(records []Record) {
	if len(records) == 0 {
		return
	}
	fi.mu.Lock()
	defer fi.mu.Unlock()

	if fi.isClosed || (fi.refused && fi.cfg.Now()-fi.refusedAt < reopenPeriod) {
		fi.lost += int64(len(records))

		return
	}
	if err := fi.write(batch{AtMs: fi.cfg.WallMs(), Records: records}); err != nil {
		fi.lost += int64(len(records))
		fi.noteRefusal(err)

		return
	}
	if fi.refused {
		fi.refused = false
		fi.cfg.Log.WithField("lost", fi.lost).Info("origins of streams are written to the disk again")
	}
	select {
	case fi.dirty <- struct{}{}:
	default:
	}
}

// noteRefusal records a failed write. The segment is opened again before the next one.
func (fi *File) noteRefusal(err error) {
	if !fi.refused {
		fi.cfg.Log.WithError(err).Warn("origins of streams not written to the disk, they are kept in memory only")
	}
	fi.refused, fi.refusedAt = true, fi.cfg.Now()
	fi.closeSegment()
}

func (fi *File) closeSegment() {
	if fi.out.Write != nil {
		_ = fi.out.Close() // what was not written is counted as lost
		fi.out = storage.File{}
	}
}

func (fi *File) write(ba batch) error {
	b, err := encodeBatch(ba)
	if err != nil {
		return err
	}
	if fi.count > 0 && (fi.count >= maxSegmentRecords || ba.AtMs-fi.begunMs >= Retention.Milliseconds()) {
		if err := fi.replacePrevious(); err != nil {
			return err
		}
	}
	if fi.out.Write == nil {
		if err := fi.openSegment(); err != nil {
			return err
		}
	}
	n, err := fi.out.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return err
	}
	if fi.count == 0 {
		fi.begunMs = ba.AtMs
	}
	fi.size, fi.count = fi.size+int64(len(b)), fi.count+len(ba.Records)

	return nil
}

// openSegment opens the current segment and removes what follows its complete batches.
func (fi *File) openSegment() error {
	if err := fi.cfg.Files.MkdirAll(fi.cfg.Folder); err != nil {
		return err
	}
	out, err := fi.cfg.Files.Append(fi.path(currentSegment))
	if err != nil {
		return err
	}
	if err := fi.cfg.Files.Truncate(fi.path(currentSegment), fi.size); err != nil {
		_ = out.Close() // nothing was written to it

		return err
	}
	fi.out = out

	return fi.cfg.Files.SyncDir(fi.cfg.Folder)
}

// replacePrevious makes the current segment the previous one and begins an empty one. The
// records of the replaced one are older than Retention, or there are too many.
func (fi *File) replacePrevious() error {
	if fi.out.Write != nil {
		if err := fi.out.Sync(); err != nil {
			return err
		}
	}
	fi.closeSegment()
	if err := fi.cfg.Files.Rename(fi.path(currentSegment), fi.path(previousSegment)); err != nil {
		return err
	}
	fi.size, fi.count, fi.begunMs = 0, 0, 0

	return nil
}

// Run syncs what was written, at most once each syncPeriod, until ctx ends.
func (fi *File) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-fi.dirty:
		case <-ctx.Done():
			continue
		}
		select {
		case <-time.After(syncPeriod):
		case <-ctx.Done():
		}
		fi.sync()
	}
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.isClosed = true
	fi.closeSegment()
}

// sync syncs the current segment. Appends go on meanwhile.
func (fi *File) sync() {
	fi.mu.Lock()
	out := fi.out
	fi.mu.Unlock()
	if out.Write == nil {
		return
	}
	// A segment that was replaced meanwhile is closed, and was synced before.
	if err := out.Sync(); err != nil && !errors.Is(err, fs.ErrClosed) {
		fi.cfg.Log.WithError(err).Warn("origins of streams not synced to the disk")
	}
}

// Lost returns the number of records that were not written.
func (fi *File) Lost() int64 {
	fi.mu.Lock()
	defer fi.mu.Unlock()

	return fi.lost
}
