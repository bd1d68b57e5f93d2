package group

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

const (
	identityFile   = "identity.json"
	identityFormat = 1
	replicaIDBytes = 8
)

// identity identifies a replica. It is stored in the data folder: a replica whose
// folder was emptied gets a new ID and never votes under the old one.
type identity struct {
	Format    int                   `json:"format"`
	Name      string                `json:"name"`
	Replica   consensus.ReplicaID   `json:"replica"`
	Cluster   string                `json:"cluster,omitempty"` // "" until formed or joined
	Bootstrap []consensus.ReplicaID `json:"bootstrap,omitempty"`
	// Peers are the last known addresses of the members. A restarted replica needs them
	// because the replicated addresses are applied only after a leader is elected.
	Peers map[consensus.ReplicaID]string `json:"peers,omitempty"`
	// Rejoins is set if the data of an earlier identity was set aside. The replica then never forms
	// a group, which would lose that data without notice: it waits until its group admits it.
	Rejoins bool `json:"rejoins,omitempty"`
	// HasLog is set once the log was begun, before the replica votes. Without its log it could vote again in
	// a term in which it has voted, and for a replica that lacks what it has acknowledged.
	HasLog   bool   `json:"hasLog,omitempty"`
	Checksum string `json:"checksum,omitempty"` // of the file
}

func newIdentity(name string) identity {
	return identity{Format: identityFormat, Name: name, Replica: newReplicaID(name)}
}

// loadIdentity returns the stored identity, or a new one that is not stored yet if the data folder
// is empty.
func loadIdentity(files storage.Files, dir, name string) (identity, error) {
	path := filepath.Join(dir, identityFile)
	b, err := files.Read(path)
	if errors.Is(err, fs.ErrNotExist) {
		hadData, err := hasFormerData(files, dir)
		switch {
		case err != nil:
			return identity{}, err
		case hadData:
			return identity{}, result.New(result.DataFolderDamaged, "group: %s is missing, but the folder holds data of a replica", path)
		}

		return newIdentity(name), nil
	}
	if err != nil {
		return identity{}, result.New(result.DataFolderWrite, "group: reading %s: %v", path, err).WithCause(err)
	}

	return decodeIdentity(path, name, b)
}

func decodeIdentity(path, name string, b []byte) (identity, error) {
	// Checked first: all formats have the same checksum.
	if sum, ok := storedChecksum(b); ok && sum != checksumOf(b) {
		return identity{}, result.New(result.DataFolderDamaged, "group: %s: the checksum is %s instead of %s", path, checksumOf(b), sum)
	}
	var header struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(b, &header); err != nil {
		return identity{}, result.New(result.DataFolderDamaged, "group: decoding %s: %v", path, err)
	}
	if header.Format > identityFormat {
		return identity{}, result.New(result.DataFolderNewer, "group: %s: format %d is newer than %d, the newest that this program reads", path, header.Format, identityFormat)
	}
	var id identity
	if err := json.Unmarshal(b, &id); err != nil {
		return identity{}, result.New(result.DataFolderDamaged, "group: decoding %s: %v", path, err)
	}
	switch {
	case id.Replica == "":
		return identity{}, result.New(result.DataFolderDamaged, "group: %s names no replica", path)
	case id.Name != name:
		return identity{}, result.New(result.DataFolderForeign, "group: %s: belongs to the process %q, but the settings name it %q", path, id.Name, name)
	}

	return id, nil
}

// checksumPattern finds the checksum of an identity.
var checksumPattern = regexp.MustCompile(`"checksum": "([0-9a-f]{16})"`)

// noChecksum stands for the checksum while it is computed.
const noChecksum = "0000000000000000"

// storedChecksum returns the checksum in the identity b. Versions that stored none wrote JSON that
// does not have this key.
func storedChecksum(b []byte) (string, bool) {
	at := checksumPattern.FindSubmatchIndex(b)
	if at == nil {
		return "", bytes.Contains(b, []byte(`"checksum"`))
	}

	return string(b[at[2]:at[3]]), true
}

// checksumOf returns the checksum of the identity b: the xxHash64 of all its bytes, with zeros in
// place of the checksum.
func checksumOf(b []byte) string {
	if at := checksumPattern.FindSubmatchIndex(b); at != nil {
		b = slices.Clone(b)
		copy(b[at[2]:at[3]], noChecksum)
	}

	return fmt.Sprintf("%016x", xxhash.Sum64(b))
}

func (id identity) encode() ([]byte, error) {
	id.Checksum = noChecksum
	b, err := json.MarshalIndent(id, "", "  ")
	if err != nil {
		return nil, err
	}
	at := checksumPattern.FindSubmatchIndex(b)
	copy(b[at[2]:at[3]], checksumOf(b))

	return b, nil
}

func (id identity) save(files storage.Files, dir string) error {
	b, err := id.encode()
	if err != nil {
		return err
	}
	if err := files.MkdirAll(dir); err != nil {
		return result.New(result.DataFolderWrite, "group: creating the data folder %s: %v", dir, err).WithCause(err)
	}
	if err := files.WriteAtomic(filepath.Join(dir, identityFile), b); err != nil {
		return result.New(result.DataFolderWrite, "group: saving the identity in %s: %v", dir, err).WithCause(err)
	}

	return nil
}

func (id identity) isFormed() bool { return id.Cluster != "" }

func newReplicaID(name string) consensus.ReplicaID {
	return consensus.ReplicaID(name + "-" + randomHex(replicaIDBytes))
}

func randomHex(n int) string {
	b := make([]byte, n)
	if _, err := rand.Read(b); err != nil {
		panic(err) // crypto/rand never fails on the supported systems
	}

	return hex.EncodeToString(b)
}

func clusterID(bootstrap []consensus.ReplicaID) string {
	parts := make([]string, len(bootstrap))
	for i, id := range bootstrap {
		parts[i] = string(id)
	}
	s := sha256.Sum256([]byte(strings.Join(parts, "\n")))

	return hex.EncodeToString(s[:8])
}
