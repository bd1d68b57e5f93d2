package group

import (
	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Status describes a replica for operators.
type Status struct {
	Replica    consensus.ReplicaID  `json:"replica"`
	Role       string               `json:"role"`
	Leader     consensus.ReplicaID  `json:"leader"`
	Term       uint64               `json:"term"`
	Commit     uint64               `json:"commit"`
	Applied    uint64               `json:"applied"`
	Membership consensus.Membership `json:"membership"`
	// IsSettled reports whether this replica leads and has applied everything that
	// earlier leaders committed.
	IsSettled bool `json:"isSettled"`
}

// updateStatus publishes the state of the replica. Once it is not the leader any more, all
// pending proposals fail, because their outcome is unknown here.
func (n *node) updateStatus() {
	re := n.replica
	st := Status{
		Replica: re.ID(), Role: re.Role().String(), Leader: re.Leader(), Term: re.Term(),
		Commit: re.Commit(), Membership: re.Membership(),
	}
	if n.unstored != nil {
		st.Leader = n.heardLeader
	}
	old := n.getStatus()
	n.status.Store(&st)
	if n.onStatus != nil {
		n.onStatus(old, n.getStatus())
	}

	if re.Role() != consensus.RoleLeader && len(n.pendingProposals) > 0 {
		n.failPending(result.New(result.NotLeader, "group: this replica lost leadership while the request was pending").WithExecution(result.ExecutionUnknown))
	}
}

// getStatus returns the published state with what is applied. It waits for nothing.
func (n *node) getStatus() Status {
	st, at := *n.status.Load(), n.applier.position.Load()
	st.Applied, st.Commit = at.index, max(st.Commit, at.index)
	st.IsSettled = st.Role == consensus.RoleLeader.String() && at.term == st.Term

	return st
}
