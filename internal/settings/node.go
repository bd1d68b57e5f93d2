package settings

import (
	"cmp"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Timing of the replica groups of nodes, for a platform that considers a VM healthy
// again a few seconds after its return.
const (
	// NodeElection is the election timeout. It is well above the time of a round trip
	// with two slow disk syncs.
	NodeElection = 500 * time.Millisecond
	// NodeHeartbeat is the period of a leader's heartbeats.
	NodeHeartbeat = 100 * time.Millisecond
	// NodeReplaceAfter is how long a voter must be unreachable before a spare replaces
	// it: three election timeouts, so that a short pause causes no membership change.
	NodeReplaceAfter = 1500 * time.Millisecond
)

// Node holds the settings of a process that a platform starts. They contain the
// process's own name, location and addresses and the addresses of some controllers,
// from which it receives everything else.
type Node struct {
	Name              string
	FailureDomain     string
	Region            string            // of this process
	Regions           map[string]string // region of each failure domain
	BindIP            string            // IP number to listen on and to dial from
	ClientAddress     string            // listens for clients; "" if the process serves none
	ReadinessAddress  string            // listens for the balancer's readiness checks
	ControlAddress    string            // listens for operators and backend servers
	PeerAddress       string            // announced to the other processes of the deployment
	PeerListen        string            // listens for the other processes; "" for PeerAddress
	Controllers       []string          // peer addresses of some controllers; for a controller, including its own
	MayBootstrap      bool              // set if the deployment starts for the first time, with empty disks
	DataFolder        string            // "" if the node has no disk
	ToleratedFailures int               // number of VMs that may be lost at the same time, with their disks
	MemoryBytes       int64             // the process is terminated above this limit
	MaxFiles          int               // file descriptors that the process may open; 0 if that is not known
	UsageAddress      string            // of the platform's interface for usage reports; "" for none

	HeartbeatPeriod time.Duration // period of the heartbeats of backend servers
	FreshnessBound  time.Duration // maximum age of the replicated state at which requests are accepted; 0 for no limit
	ApplyBound      time.Duration // time within which an acknowledged configuration must be in force everywhere; 0 for no limit
	StopGrace       time.Duration // from the stop signal until the process is killed
	UsageWindow     time.Duration // length of a usage window
	ReacquireDelay  time.Duration // how long a former lease holder must wait before it takes the lease over from its successor
}

// Voters returns the number of voters that a replica group needs to survive the loss
// of ToleratedFailures VMs.
func (no *Node) Voters() int { return 2*no.ToleratedFailures + 1 }

// RegionOf returns the region of a failure domain, "" if it is not known.
func (no *Node) RegionOf(failureDomain string) string {
	if re, ok := no.Regions[failureDomain]; ok {
		return re
	}
	if failureDomain == no.FailureDomain {
		return no.Region
	}

	return ""
}

// OwnRegion returns the region of this process, "" if it is not known.
func (no *Node) OwnRegion() string { return cmp.Or(no.Region, no.Regions[no.FailureDomain]) }

// Validate checks the settings of a node.
func (no *Node) Validate() error {
	switch {
	case no.Name == "":
		return result.New(result.InvalidSettings, "settings: the name of the node is not set")
	case no.BindIP == "":
		return result.New(result.InvalidSettings, "settings: node %s: the IP number to bind to is not set", no.Name)
	case len(no.Controllers) == 0:
		return result.New(result.InvalidSettings, "settings: node %s: at least one controller address must be set", no.Name)
	case no.ToleratedFailures < 0:
		return result.New(result.InvalidSettings, "settings: node %s: the number of losses is %d, must not be negative", no.Name, no.ToleratedFailures)
	}

	return nil
}

// RequireDisk returns an error if the node has no data folder.
func (no *Node) RequireDisk() error {
	if no.DataFolder == "" {
		return result.New(result.InvalidSettings, "settings: node %s: the data folder is not set, but its role needs one", no.Name)
	}

	return nil
}
