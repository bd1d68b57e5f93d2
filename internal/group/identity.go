package group

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io/fs"
	"path/filepath"
	"strings"

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
}

// loadIdentity returns the stored identity, or a new one for an empty data folder. An error
// that is transient comes with an identity that is not stored yet: it must be saved before use.
func loadIdentity(files storage.Files, dir, name string) (identity, error) {
	path := filepath.Join(dir, identityFile)
	b, err := files.Read(path)
	if errors.Is(err, fs.ErrNotExist) {
		id := identity{Format: identityFormat, Name: name, Replica: newReplicaID(name)}

		return id, id.save(files, dir)
	}
	if err != nil {
		return identity{}, result.New(result.DataFolderDamaged, "group: reading %s: %v", path, err)
	}

	var id identity
	if err := json.Unmarshal(b, &id); err != nil {
		return identity{}, result.New(result.DataFolderDamaged, "group: decoding %s: %v", path, err)
	}
	switch {
	case id.Format > identityFormat:
		return identity{}, result.New(result.DataFolderNewer, "group: %s: format %d is newer than %d, the newest that this program reads", path, id.Format, identityFormat)
	case id.Name != name:
		return identity{}, result.New(result.DataFolderForeign, "group: %s: belongs to the process %q, but the settings name it %q", path, id.Name, name)
	}

	return id, id.save(files, dir) // fails early if the folder is not writable
}

func (id identity) save(files storage.Files, dir string) error {
	b, err := json.MarshalIndent(id, "", "  ")
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
