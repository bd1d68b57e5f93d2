package settings

import (
	"time"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Times of the replicated groups of nodes, on a platform that counts a VM as whole
// again a few seconds after it is back.
const (
	// NodeElection is the election timeout, well above a round trip with two slow
	// syncs of a disk.
	NodeElection  = 500 * time.Millisecond
	NodeHeartbeat = 100 * time.Millisecond
	// NodeReplaceAfter is the silence after which a spare takes a voter's place:
	// three election timeouts, so that a short pause costs no membership change.
	NodeReplaceAfter = 1500 * time.Millisecond
)

// Node holds the settings of a process that a platform starts: it is told its own
// place and a few controllers, and learns everything else from these.
type Node struct {
	Name             string
	FailureDomain    string
	BindIP           string   // that is listened on and dialled from
	ClientAddress    string   // for clients, "" where the process serves none
	ReadinessAddress string   // asked by the balancer
	ControlAddress   string   // for operators and backend servers
	PeerAddress      string   // for own processes, as they are told
	PeerListen       string   // listened on for own processes, "" for PeerAddress
	Controllers      []string // peer addresses of some controllers, one's own among them
	MayForm          bool     // the whole system starts for the first time, with empty disks
	DataFolder       string   // "" where there is no disk
	Losses           int      // VMs that may be lost at the same time, disks included
	MemoryBytes      int64    // the process is ended above it
	DutiesAddress    string   // of the platform's interface for usage, "" for none

	BeatPeriod     time.Duration // of the heartbeats of backend servers
	FreshnessBound time.Duration // a process that has heard nothing for longer refuses work, 0 for never
	StopGrace      time.Duration // between the stop signal and the end by force
	UsageWindow    time.Duration // length of a usage window
	TurnPause      time.Duration // in which a holder of a lease may not follow its own successor
}

// Voters returns how many VMs hold a replica, so that Losses of them may be lost.
func (no *Node) Voters() int { return 2*no.Losses + 1 }

// Validate checks the settings of a node.
func (no *Node) Validate() error {
	switch {
	case no.Name == "":
		return result.New(result.InvalidSettings, "settings: the node has no name")
	case no.BindIP == "":
		return result.New(result.InvalidSettings, "settings: node %s has no IP number", no.Name)
	case len(no.Controllers) == 0:
		return result.New(result.InvalidSettings, "settings: node %s is told of no controller", no.Name)
	case no.Losses < 0:
		return result.New(result.InvalidSettings, "settings: node %s: %d losses", no.Name, no.Losses)
	}

	return nil
}

// RequireDisk returns an error where the node has no data folder.
func (no *Node) RequireDisk() error {
	if no.DataFolder == "" {
		return result.New(result.InvalidSettings, "settings: node %s has no data folder, its role needs one", no.Name)
	}

	return nil
}
