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

// identity is what makes a replica itself. It lives in the data folder: an
// emptied folder makes a new replica, which never votes under the old name.
type identity struct {
	Format    int                   `json:"format"`
	Name      string                `json:"name"`
	Replica   consensus.ReplicaID   `json:"replica"`
	Cluster   string                `json:"cluster,omitempty"` // "" until formed or joined
	Bootstrap []consensus.ReplicaID `json:"bootstrap,omitempty"`
	// Peers are the addresses of the members when they were last known: after a
	// restart the replicated ones are not applied before a leader is elected.
	Peers map[consensus.ReplicaID]string `json:"peers,omitempty"`
}

func loadIdentity(files storage.Files, dir, name string) (identity, error) {
	if err := files.MkdirAll(dir); err != nil {
		return identity{}, result.New(result.DataFolderWrite, "group: %s: %v", dir, err)
	}

	path := filepath.Join(dir, identityFile)
	b, err := files.Read(path)
	if errors.Is(err, fs.ErrNotExist) {
		id := identity{Format: identityFormat, Name: name, Replica: newReplicaID(name)}

		return id, id.save(files, dir)
	}
	if err != nil {
		return identity{}, result.New(result.DataFolderWrite, "group: %s: %v", path, err)
	}

	var id identity
	if err := json.Unmarshal(b, &id); err != nil {
		return identity{}, result.New(result.DataFolderDamaged, "group: %s: %v", path, err)
	}
	switch {
	case id.Format > identityFormat:
		return identity{}, result.New(result.DataFolderNewer, "group: %s: format %d, this program knows %d", path, id.Format, identityFormat)
	case id.Name != name:
		return identity{}, result.New(result.DataFolderForeign, "group: %s: belongs to %q, the settings say %q", path, id.Name, name)
	}

	return id, id.save(files, dir) // shows at once whether the folder can be written
}

func (id identity) save(files storage.Files, dir string) error {
	b, err := json.MarshalIndent(id, "", "  ")
	if err != nil {
		return err
	}
	if err := files.WriteAtomic(filepath.Join(dir, identityFile), b); err != nil {
		return result.New(result.DataFolderWrite, "group: %s: %v", dir, err)
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
