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
	n.mu.Lock()
	st.Applied = n.machine.Applied()
	if t, ok := re.TermAt(st.Applied); ok && re.Role() == consensus.RoleLeader {
		st.IsSettled = t == re.Term()
	}
	if n.unstored != nil {
		st.Leader = n.heardLeader
	}
	old := n.status
	n.status = st
	n.mu.Unlock()
	if n.onStatus != nil {
		n.onStatus(old, st)
	}

	if re.Role() != consensus.RoleLeader && len(n.pendingProposals) > 0 {
		n.failPending(result.New(result.NotLeader, "group: this replica lost leadership while the request was pending").WithExecution(result.ExecutionUnknown))
	}
}

func (n *node) getStatus() Status {
	n.mu.RLock()
	defer n.mu.RUnlock()

	return n.status
}
