// Package fairshare divides the slots of a service among workspaces where there are not enough.
// Every process counts the slots that each workspace uses and wants there and reports them to the
// leading controller, which returns max-min fair shares. A process whose shares are too old is fair
// among its own requests only. Nothing here does input or output, and time is an argument.
package fairshare

import (
	"cmp"
	"slices"
)

// Claim is what a workspace wants of a service.
type Claim struct {
	Weight float64 // 1 if it is 0
	Demand float64 // slots that it uses or waits for
}

func (cl Claim) weight() float64 {
	if cl.Weight <= 0 {
		return 1
	}

	return cl.Weight
}

// Divide returns the max-min fair shares of a capacity: no claim gets more than its demand, and
// what claims leave is divided among the others by weight.
func Divide(capacity float64, claims []Claim) []float64 {
	out := make([]float64, len(claims))
	order := make([]int, len(claims))
	weights := 0.0
	for i := range claims {
		order[i] = i
		weights += claims[i].weight()
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(claims[a].Demand/claims[a].weight(), claims[b].Demand/claims[b].weight()), cmp.Compare(a, b))
	})
	for _, i := range order {
		out[i] = min(max(claims[i].Demand, 0), max(capacity, 0)*claims[i].weight()/weights)
		capacity -= out[i]
		weights -= claims[i].weight()
	}

	return out
}

// Key names a workspace at a service.
type Key struct {
	Service   string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
}

func (ke Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(ke.Service, other.Service), cmp.Compare(ke.Workspace, other.Workspace))
}

// Count is what a process counted of a workspace at a service.
type Count struct {
	Key     Key     `cbor:"1,keyasint"`
	Use     float64 `cbor:"2,keyasint"` // slots in use
	Waiting float64 `cbor:"3,keyasint"` // requests and items that wait for a slot
}

// Report is what a process counted. A later one replaces those before it.
type Report struct {
	Process  string  `cbor:"1,keyasint"`
	BornMs   int64   `cbor:"2,keyasint"` // start of the process
	Sequence uint64  `cbor:"3,keyasint"` // rises with each report of the process
	Counts   []Count `cbor:"4,keyasint"`
}

// Share is the share of a workspace at a service and its use by all processes.
type Share struct {
	Key   Key     `cbor:"1,keyasint"`
	Share float64 `cbor:"2,keyasint"` // slots
	Use   float64 `cbor:"3,keyasint"`
}

// Reply answers a report with the shares of the workspaces in it, at the services for which
// anything waits anywhere.
type Reply struct {
	Term     uint64  `cbor:"1,keyasint"` // of the controller that divides the services
	Revision uint64  `cbor:"2,keyasint"` // rises with each reply of a term
	Sequence uint64  `cbor:"3,keyasint"` // of the report
	AgeMs    int64   `cbor:"4,keyasint"` // of the oldest report that the shares are made of
	Shares   []Share `cbor:"5,keyasint"`
}

// Backlog is the outstanding work of all processes at a service, in seconds of one slot.
type Backlog struct {
	Waiting   float64
	InFlight  float64
	PerSecond float64 // how much of it the backend servers do per second, 0 if unknown
}

// Clears returns the seconds in which the waiting work and more work is done, 0 if unknown.
func (ba Backlog) Clears(more float64) float64 {
	if ba.PerSecond <= 0 {
		return 0
	}

	return (ba.Waiting + more) / ba.PerSecond
}
