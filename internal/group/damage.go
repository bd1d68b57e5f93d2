package group

import (
	"context"
	"errors"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

const (
	// groupFolder holds the log and the snapshots of the replica, inside the data folder.
	groupFolder = "group-1"
	// damagedFolder keeps files that could not be read, inside the data folder, for the operator.
	damagedFolder = "damaged"
	// maxDamagedBytes bounds what damagedFolder keeps: the largest state known, 25 MB, with the log
	// after it, and about half of the smallest disk.
	maxDamagedBytes = 64 << 20
)

// isDamage reports whether err says that the data folder holds files that can't be read. A folder
// of a newer format or of another process is not damaged, and neither is a disk that refuses.
func isDamage(err error) bool { return result.Is(err, result.DataFolderDamaged) }

// openFolder loads the identity and the state of the replica. Data that is damaged is set aside,
// and the replica gets a new identity, as if its disk had been emptied: under its old one it could
// vote again in a term in which it has voted. While the disk refuses writes, the identity is not
// stored yet: it must be saved before use.
func (gr *Group) openFolder() error {
	files, dir := gr.cfg.Files, gr.cfg.DataFolder
	id, err := loadIdentity(files, dir, gr.cfg.Name)
	if err == nil && id.isFormed() {
		gr.identity = id // for the configuration of the node
		if err = gr.checkLog(id); err == nil {
			gr.opened, err = openState(gr.nodeConfig())
		}
		if storage.IsTransient(err) {
			err = nil // Run tries again
		}
	}
	if isDamage(err) {
		id, err = gr.replaceIdentity(id, err)
	}
	if err != nil {
		return err
	}
	gr.identity, gr.damagedBytes = id, gr.sizeOfDamaged()
	if err := id.save(files, dir); !storage.IsTransient(err) { // fails early if the folder is not writable
		return err
	}

	return nil
}

// checkLog returns an error if the log that an identity was used with is missing.
func (gr *Group) checkLog(id identity) error {
	if !id.HasLog {
		return nil
	}
	dir := filepath.Join(gr.cfg.DataFolder, groupFolder)
	names, err := listFolder(gr.cfg.Files, dir)
	if err != nil || slices.ContainsFunc(names, storage.IsLog) {
		return err
	}

	return result.New(result.DataFolderDamaged, "group: %s holds no log, but replica %s has begun one", dir, id.Replica)
}

// recordLog stores that the log was begun.
func (gr *Group) recordLog(ctx context.Context) error {
	id := gr.identity
	if id.HasLog {
		return nil
	}
	id.HasLog = true

	return gr.storeIdentity(ctx, id)
}

// replaceIdentity sets the damaged data of the replica id aside and returns its new identity.
func (gr *Group) replaceIdentity(id identity, damage error) (identity, error) {
	hadData, err := hasFormerData(gr.cfg.Files, gr.cfg.DataFolder)
	if err != nil {
		return identity{}, err
	}
	next := newIdentity(gr.cfg.Name)
	next.Peers, next.Rejoins = id.Peers, hadData || id.HasLog
	gr.cfg.Log.WithError(damage).WithFields(log.Fields{
		"folder": filepath.Join(gr.cfg.DataFolder, damagedFolder), "replica": id.Replica, "newReplica": next.Replica, "hadData": next.Rejoins,
	}).Error("the data folder is damaged: its files are set aside, and the replica joins its group as a new one")

	return next, gr.setAside()
}

// hasFormerData reports whether the data folder holds files of a replica that has lost its
// identity, which happens when the process ends while they are set aside.
func hasFormerData(files storage.Files, dir string) (bool, error) {
	for _, sub := range []string{groupFolder, damagedFolder} {
		names, err := listFolder(files, filepath.Join(dir, sub))
		if err != nil || len(names) > 0 {
			return len(names) > 0, err
		}
	}

	return false, nil
}

// listFolder returns the names in a folder, none if it does not exist.
func listFolder(files storage.Files, dir string) ([]string, error) {
	names, err := files.List(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, folderError(dir, err)
	}

	return names, nil
}

func folderError(path string, err error) error {
	return result.New(result.DataFolderWrite, "group: %s: %v", path, err).WithCause(err)
}

// setAside moves the identity and the files of the replica to damagedFolder. The identity is moved
// first: if the process ends in between, the files that remain are never used with it again, and
// the next start goes on here.
func (gr *Group) setAside() error {
	files, dir := gr.cfg.Files, gr.cfg.DataFolder
	from, to := filepath.Join(dir, groupFolder), filepath.Join(dir, damagedFolder)
	names, err := listFolder(files, from)
	if err != nil {
		return err
	}
	id := filepath.Join(dir, identityFile)
	hasIdentity, err := exists(files, id)
	if err != nil {
		return err
	}
	if len(names) > 0 && hasIdentity {
		// One set is kept. Without an identity the set in the folder is the one that is being moved.
		if err := removeAll(files, to); err != nil {
			return err
		}
	}
	if err := files.MkdirAll(to); err != nil {
		return folderError(to, err)
	}
	if hasIdentity {
		if err := files.Rename(id, filepath.Join(to, identityFile)); err != nil {
			return folderError(id, err)
		}
		if err := files.SyncDir(dir); err != nil {
			return folderError(dir, err)
		}
	}
	for _, name := range names {
		if err := files.Rename(filepath.Join(from, name), filepath.Join(to, name)); err != nil {
			return folderError(filepath.Join(from, name), err)
		}
	}
	if err := gr.boundDamaged(to); err != nil {
		return err
	}
	for _, changed := range []string{to, dir} {
		if err := files.SyncDir(changed); err != nil {
			return folderError(changed, err)
		}
	}

	return nil
}

func exists(files storage.Files, path string) (bool, error) {
	_, err := files.Size(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, folderError(path, err)
	}

	return true, nil
}

func removeAll(files storage.Files, dir string) error {
	names, err := listFolder(files, dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := files.Remove(filepath.Join(dir, name)); err != nil {
			return folderError(filepath.Join(dir, name), err)
		}
	}

	return nil
}

// boundDamaged removes damaged files beyond maxDamagedBytes: first unfinished ones, then the oldest
// segments of the log, then the oldest snapshots.
func (gr *Group) boundDamaged(dir string) error {
	names, err := listFolder(gr.cfg.Files, dir)
	if err != nil {
		return err
	}
	slices.SortStableFunc(names, func(a, b string) int {
		if d := damagedRank(a) - damagedRank(b); d != 0 {
			return d
		}

		return strings.Compare(b, a) // newest first
	})
	kept := int64(0)
	for _, name := range names {
		path := filepath.Join(dir, name)
		n, err := gr.cfg.Files.Size(path)
		if err != nil {
			return folderError(path, err)
		}
		if kept += n; kept <= maxDamagedBytes {
			continue
		}
		kept -= n
		gr.cfg.Log.WithFields(log.Fields{"file": path, "bytes": n, "limit": maxDamagedBytes}).Warn("damaged file removed, the folder is full")
		if err := gr.cfg.Files.Remove(path); err != nil {
			return folderError(path, err)
		}
	}

	return nil
}

// damagedRank returns the order in which damaged files are kept.
func damagedRank(name string) int {
	switch {
	case name == identityFile:
		return 0
	case storage.IsUnfinished(name):
		return 3
	case strings.HasPrefix(name, "snapshot-"):
		return 1
	}

	return 2
}

// sizeOfDamaged returns how many bytes of damaged files the data folder keeps.
func (gr *Group) sizeOfDamaged() int64 {
	dir := filepath.Join(gr.cfg.DataFolder, damagedFolder)
	names, err := listFolder(gr.cfg.Files, dir)
	if err != nil {
		return 0 // only a gauge
	}
	sum := int64(0)
	for _, name := range names {
		if n, err := gr.cfg.Files.Size(filepath.Join(dir, name)); err == nil {
			sum += n
		}
	}

	return sum
}
