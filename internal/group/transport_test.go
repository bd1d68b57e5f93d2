package group

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
)

var _ = ginkgo.Describe("a message between replicas", func() {
	ginkgo.It("loses no field on its way: a chunk without its transfer would be joined with those of another leader", func() {
		m := consensus.Message{
			Kind: consensus.MessageSnapshot, Group: 1, From: "a", To: "b", Term: 3, Index: 4, LogTerm: 2, Commit: 5, Round: 6, Reject: true, Force: true,
			Hint: 7, Entries: []consensus.Entry{{Index: 5, Term: 2, Kind: consensus.EntryNoop, Data: []byte("x")}}, SnapshotOffset: 8, SnapshotDone: true,
			SnapshotTransfer: 9, SnapshotDigest: 1 << 63, Chunk: []byte("chunk"),
			Membership: consensus.Membership{Voters: []consensus.ReplicaID{"a", "b"}, Learners: []consensus.ReplicaID{"c"}},
		}
		Expect(fromWire(toWire(m))).To(Equal(m))
	})
})
